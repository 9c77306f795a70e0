#pragma once

// What an entry host tells all others with each heartbeat. Kept small: at the target size it is most of
// the control traffic.
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
    bool isLeaving = false; ///< The host shuts down gracefully.
    bool hasDisk = false;
    bool hasConfiguration = false; ///< False: a host without disk that no peer has told yet.
    ConfigVersion configVersion; ///< In force at the sender.
    std::vector<LedGroup> ledGroups;
};

std::string encodeHostReport(HostReport const& report);

/// Throws Error(MalformedJson).
HostReport decodeHostReport(std::string_view payload);

} // namespace cornelpond
