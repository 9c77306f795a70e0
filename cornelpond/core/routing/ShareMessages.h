#pragma once

// What the entry hosts of a data centre tell each other about the slots of backend servers.
//
// Example:
//   transport.send(owner, PeerMessage { PeerChannel::Shares, encodeShareMessage(request) });

#include "cornelpond/core/base/Duration.h"
#include "cornelpond/core/base/Ids.h"
#include "cornelpond/core/base/Span.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cornelpond {

/// One backend server, as a holder reports it.
struct ShareReport {
    BackendServerId server;
    uint32_t slots = 0; ///< All of the server's.
    uint32_t held = 0; ///< Leased slots that the holder may use or still does; the floor is not counted.
    uint32_t wanted = 0; ///< Leased slots that it could use.
};

/// Holder to owner, several times a second. The answer's lease counts from when this was sent.
struct ShareRequest {
    uint64_t incarnation = 0; ///< Random for each process.
    uint64_t number = 0;
    Term seenTerm; ///< Of the latest grant taken in,
    uint64_t seenGrant = 0; ///< and its number.
    std::vector<ShareReport> servers;
};

struct ShareOfServer {
    BackendServerId server;
    uint32_t slots = 0; ///< Leased, beyond the floor.
};

/// Owner to holder; replaces all earlier grants.
struct ShareGrant {
    Term term; ///< Of the owner's leadership.
    uint64_t number = 0; ///< Rises within the term.
    uint64_t incarnation = 0; ///< Of the request that it answers,
    uint64_t request = 0; ///< and its number.
    Duration lease;
    std::vector<ShareOfServer> servers;
};

using ShareMessage = std::variant<ShareRequest, ShareGrant>;

std::string encodeShareMessage(ShareMessage const& message);

/// Throws Error(MalformedJson).
ShareMessage decodeShareMessage(std::string_view bytes);

/// Slots of the server that a host may use without asking anyone: half of them, spread over the hosts
/// and rotated by server; all for a sole host. `hosts` is sorted and alike on every host.
uint32_t floorOf(BackendServerId const& server, uint32_t slots, HostId const& host, Span<HostId const> hosts);

} // namespace cornelpond
