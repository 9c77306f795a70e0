#pragma once

// Messages between the leader and the relays: batches of orders to workers and of their answers.
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

/// An order for one worker. The leader chooses `id`, and the answer repeats it.
struct RelayedOrder {
    uint64_t id = 0;
    WorkerTarget worker;
    std::variant<StartOrder, StopOrder, ThrottleOrder, RenewOrder> order;
};

struct RelayedAnswer {
    uint64_t id = 0;
    std::variant<OrderAnswer, RenewAnswer> answer;
};

/// Orders are sent by the leader, answers to it; a batch may hold both.
struct RelayBatch {
    std::vector<RelayedOrder> orders;
    std::vector<RelayedAnswer> answers;
};

std::string encodeRelayBatch(RelayBatch const& batch);

/// Throws Error(MalformedMessage).
RelayBatch decodeRelayBatch(std::string_view bytes);

} // namespace cornelpond
