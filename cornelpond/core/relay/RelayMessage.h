#pragma once

// Messages between the leader and the relays: batches of orders to workers and of their answers.
//
// Example:
//   RelayBatch batch;
//   batch.orders.push_back({ 17, target, StopOrder { task, attempt, epoch } });
//   transport.send(relay, { PeerChannel::Orders, encodeRelayBatch(batch) });

#include "cornelpond/core/base/Duration.h"
#include "cornelpond/core/relay/ListingChange.h"
#include "cornelpond/ports/WorkerOrders.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cornelpond {

/// An order for one worker. The leader chooses `id`, and the answer repeats it.
struct RelayedOrder {
    uint64_t id = 0;
    WorkerTarget worker;
    std::variant<StartOrder, StopOrder, ThrottleOrder, RenewOrder> order;
    /// For a renewal: the number of the listing that the leader holds, 0 if none; the answer is then a NumberedListingAnswer
    /// or a ListingChangeAnswer. Unset: a RenewAnswer, for leaders that know nothing else.
    std::optional<uint64_t> heldListing = std::nullopt;
};

/// Answers a renewal with the whole listing. A relay gives no two listings the same number, also across its restarts, so
/// that the number names the content; the id of a renewal would not, as an order that comes twice is executed twice.
struct NumberedListingAnswer {
    uint64_t listing = 0; ///< Its number.
    RenewAnswer answer;
};

/// Answers a renewal with what has changed since the listing that the order names.
struct ListingChangeAnswer {
    OrderAnswer order;
    uint64_t acknowledgedEnds = 0; ///< As in RenewAnswer.
    uint64_t heldListing = 0; ///< As in the order.
    ListingChange change;
    uint64_t listing = 0; ///< The number of the changed listing.
};

struct RelayedAnswer {
    uint64_t id = 0;
    std::variant<OrderAnswer, RenewAnswer, NumberedListingAnswer, ListingChangeAnswer> answer;
};

/// Orders are sent by the leader, answers to it; a batch may hold both.
struct RelayBatch {
    std::vector<RelayedOrder> orders;
    std::vector<RelayedAnswer> answers;
    /// The sender's steady clock. Unset: the batch holds no deadline either, and hosts of earlier versions can read it.
    std::optional<TimePoint> senderClock;
    /// On the receiver's steady clock: later it must not carry out starts and throttles, nor extend leases. Unset: not known.
    std::optional<TimePoint> deadline;
};

std::string encodeRelayBatch(RelayBatch const& batch);

/// Throws Error(MalformedMessage).
RelayBatch decodeRelayBatch(std::string_view bytes);

} // namespace cornelpond
