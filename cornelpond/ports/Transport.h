#pragma once

// Messages between entry hosts. Delivery may fail, be late, be doubled or come out of order; the
// receivers are built for that.
//
// Example:
//   transport.send(HostId("h2"), PeerMessage { PeerChannel::Agreement, encoded });

#include "cornelpond/core/base/Ids.h"

#include <cstdint>
#include <functional>
#include <string>

namespace cornelpond {

/// Which module a peer message is for; sent on the wire, so numbers never change meaning.
enum class PeerChannel : uint8_t {
    Agreement = 1,
    Membership = 2,
    Forward = 3, ///< An API request passed to a group's leader, and its answer.
    Announcements = 4, ///< Backend servers seen by the sender.
    Shares = 5, ///< Slot shares of backend servers.
    Configuration = 6,
    HandOver = 7, ///< Queued tasks that move to another data centre.
    Claims = 8, ///< Idempotency keys, between an entry host and the leader of the key's home.
    Orders = 9, ///< Orders to workers that the leader has another host carry out, and the answers.
};

struct PeerMessage {
    PeerChannel channel = PeerChannel::Agreement;
    std::string payload; ///< CBOR, owned by the channel's module.
};

class Transport {
public:
    using Receiver = std::function<void(HostId const& from, PeerMessage const& message)>;

    virtual ~Transport() = default;

    /// Queues a message; drops it when the peer is out of reach or its queue is full.
    virtual void send(HostId const& to, PeerMessage message) = 0;

    /// True while the link to the peer is up.
    virtual bool isReachable(HostId const& peer) const = 0;
};

} // namespace cornelpond
