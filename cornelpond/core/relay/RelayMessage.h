#pragma once

// What the leader and the hosts that pass on its orders tell each other, in batches.
//
// Example:
//   RelayBatch batch;
//   batch.orders.push_back({ 17, target, StopOrder { task, attempt, epoch } });
//   transport.send(relay, { PeerChannel::Orders, encodeRelayBatch(batch) });

#include "cornelpond/ports/WorkerOrders.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cornelpond {

/// An order for one worker. `id` is the leader's, and comes back with the answer.
struct RelayedOrder {
    uint64_t id = 0;
    WorkerTarget worker;
    std::variant<StartOrder, StopOrder, ThrottleOrder, RenewOrder> order;
};

struct RelayedAnswer {
    uint64_t id = 0;
    std::variant<OrderAnswer, RenewAnswer> answer;
};

/// Orders travel from the leader, answers to it; a batch may hold both.
struct RelayBatch {
    std::vector<RelayedOrder> orders;
    std::vector<RelayedAnswer> answers;
};

std::string encodeRelayBatch(RelayBatch const& batch);

/// Throws Error(MalformedMessage).
RelayBatch decodeRelayBatch(std::string_view bytes);

} // namespace cornelpond
