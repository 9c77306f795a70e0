#pragma once

// Messages between entry hosts. A message may be lost, delayed, duplicated or delivered out of order;
// receivers must tolerate that.
//
// Example:
//   transport.send(HostId("h2"), PeerMessage { PeerChannel::Agreement, encoded });

#include "cornelpond/core/base/Ids.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace cornelpond {

/// The module that receives a peer message. The numbers are sent on the wire and never change meaning.
enum class PeerChannel : uint8_t {
    Agreement = 1,
    Membership = 2,
    Forward = 3, ///< API requests forwarded to a group's leader, and the answers.
    Announcements = 4, ///< Announcements of backend servers that the sender received.
    Shares = 5, ///< Slot shares of backend servers.
    Configuration = 6,
    HandOver = 7, ///< Queued tasks that are handed over to another data centre.
    Claims = 8, ///< Claims of idempotency keys, between an entry host and the leader of the key's home data centre.
    Orders = 9, ///< Orders to workers that another host sends on behalf of the leader, and the answers.
};

/// The name of the channel in metrics; "unknown" for a number that this version does not know.
constexpr std::string_view peerChannelName(PeerChannel channel)
{
    switch (channel) {
    case PeerChannel::Agreement:
        return "agreement";
    case PeerChannel::Membership:
        return "membership";
    case PeerChannel::Forward:
        return "forward";
    case PeerChannel::Announcements:
        return "announcements";
    case PeerChannel::Shares:
        return "shares";
    case PeerChannel::Configuration:
        return "configuration";
    case PeerChannel::HandOver:
        return "handOver";
    case PeerChannel::Claims:
        return "claims";
    case PeerChannel::Orders:
        return "orders";
    }
    return "unknown";
}

struct PeerMessage {
    PeerChannel channel = PeerChannel::Agreement;
    std::string payload; ///< Encoded by the channel's module.
};

class Transport {
public:
    using Receiver = std::function<void(HostId const& from, PeerMessage const& message)>;

    virtual ~Transport() = default;

    /// Queues a message; drops it when the peer is unreachable or the queue to it is full.
    virtual void send(HostId const& to, PeerMessage message) = 0;

    /// True while the link to the peer is up.
    virtual bool isReachable(HostId const& peer) const = 0;
};

} // namespace cornelpond
