#pragma once

// The payload of the heartbeats that an entry host sends to all others. Kept small, since at the target
// cluster size the heartbeats are most of the control traffic.
//
// Example:
//   std::string const payload = encodeHostReport(report);
//   HostReport const report = decodeHostReport(payload);

#include "cornelpond/core/base/Ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cornelpond {

/// A group that the sender leads.
struct LedGroup {
    GroupId group;
    Term term;
};

struct HostReport {
    uint64_t incarnation = 0; ///< Differs between two processes of the same host.
    bool isLeaving = false; ///< The host is shutting down gracefully.
    bool hasDisk = false;
    bool hasConfiguration = false; ///< False on a host without a disk that has got no configuration from a peer yet.
    ConfigVersion configVersion; ///< In force at the sender.
    std::vector<LedGroup> ledGroups;
};

std::string encodeHostReport(HostReport const& report);

/// Throws Error(MalformedJson).
HostReport decodeHostReport(std::string_view payload);

} // namespace cornelpond
