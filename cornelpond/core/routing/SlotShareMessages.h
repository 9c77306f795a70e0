#pragma once

// Messages by which the entry hosts of a data centre divide the slots of backend servers, and their CBOR
// encoding.
//
// Example:
//   transport.send(owner, PeerMessage { PeerChannel::Shares, encodeSlotShareMessage(request) });

#include "cornelpond/core/base/Duration.h"
#include "cornelpond/core/base/Ids.h"
#include "cornelpond/core/base/Span.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cornelpond {

/// A holder's use of one backend server.
struct SlotShareReport {
    BackendServerId server;
    uint32_t slots = 0; ///< Slots of the server that the entry hosts of the data centre share.
    uint32_t heldSlots = 0; ///< Leased slots that the holder may use or that its attempts still occupy, without guaranteed slots.
    uint32_t wantedSlots = 0; ///< Leased slots that the holder could use, without guaranteed slots.
};

/// Sent by a holder to the owner several times a second. The lease of the answer counts from the time at which
/// the request was sent.
struct SlotShareRequest {
    uint64_t incarnation = 0; ///< Chosen at random by each process.
    uint64_t requestNumber = 0;
    Term lastGrantTerm; ///< Term of the latest grant that the holder has applied.
    uint64_t lastGrantNumber = 0; ///< Number of that grant.
    std::vector<SlotShareReport> servers;
};

struct SlotShare {
    BackendServerId server;
    uint32_t slots = 0; ///< Leased slots, in addition to the guaranteed ones.
};

/// The owner's answer to a holder's request; replaces all earlier grants.
struct SlotShareGrant {
    Term term; ///< Term in which the owner leads.
    uint64_t grantNumber = 0; ///< Increases within the term.
    uint64_t incarnation = 0; ///< Of the process whose request it answers.
    uint64_t requestNumber = 0; ///< Of that request.
    Duration lease;
    std::vector<SlotShare> servers;
};

using SlotShareMessage = std::variant<SlotShareRequest, SlotShareGrant>;

std::string encodeSlotShareMessage(SlotShareMessage const& message);

/// Throws Error(MalformedJson) when the bytes are not one encoded message.
SlotShareMessage decodeSlotShareMessage(std::string_view bytes);

/// Slots of the server that `host` may use without a lease. Half of the slots are divided evenly among `hosts`;
/// which hosts get one slot of the remainder depends on the server's id. A single host gets all slots, a host
/// outside `hosts` none. `hosts` must be sorted and the same on every host.
uint32_t guaranteedSlots(BackendServerId const& server, uint32_t slots, HostId const& host, Span<HostId const> hosts);

} // namespace cornelpond
