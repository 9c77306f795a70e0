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
struct SlotShareReport {
    BackendServerId server;
    uint32_t slots = 0; ///< All of the server's.
    uint32_t heldSlots = 0; ///< Leased slots that the holder may use or still does; the floor is not counted.
    uint32_t wantedSlots = 0; ///< Leased slots that it could use.
};

/// Holder to owner, several times a second. The answer's lease counts from when this was sent.
struct SlotShareRequest {
    uint64_t incarnation = 0; ///< Random for each process.
    uint64_t requestNumber = 0;
    Term lastGrantTerm; ///< Of the latest grant taken in,
    uint64_t lastGrantNumber = 0; ///< and its number.
    std::vector<SlotShareReport> servers;
};

struct SlotShare {
    BackendServerId server;
    uint32_t slots = 0; ///< Leased, beyond the floor.
};

/// Owner to holder; replaces all earlier grants.
struct SlotShareGrant {
    Term term; ///< Of the owner's leadership.
    uint64_t grantNumber = 0; ///< Rises within the term.
    uint64_t incarnation = 0; ///< Of the request that it answers,
    uint64_t requestNumber = 0; ///< and its number.
    Duration lease;
    std::vector<SlotShare> servers;
};

using SlotShareMessage = std::variant<SlotShareRequest, SlotShareGrant>;

std::string encodeSlotShareMessage(SlotShareMessage const& message);

/// Throws Error(MalformedJson).
SlotShareMessage decodeSlotShareMessage(std::string_view bytes);

/// Slots of the server that a host may use without asking anyone: half of them, spread over the hosts
/// and rotated by server; all for a sole host. `hosts` is sorted and alike on every host.
uint32_t guaranteedSlots(BackendServerId const& server, uint32_t slots, HostId const& host, Span<HostId const> hosts);

} // namespace cornelpond
