#pragma once

// Passes orders to workers on through other control hosts, in batches, so that the leader keeps no connection
// to most workers; on those hosts, carries the orders out and returns the answers.
//
// Load pattern it answers: see RelayChoice.h.
//
// Example:
//   OrderRelay relay(clock, timers, direct, times, random.next(), hooks);
//   JobService service(clock, events, relay, times, limits);
//   relay.onMessage(from, payload); // of PeerChannel::Orders
//
// A worker that cannot be reached through its relay is tried directly by turns. An order whose answer is lost
// counts as Unknown: the relay may still carry it out, as a worker may carry out an order late. Epochs, leases
// and attempt numbers hold for relayed orders as for direct ones. Loop thread only.

#include "cornelpond/core/dispatch/WorkerView.h"
#include "cornelpond/core/relay/RelayMessage.h"
#include "cornelpond/ports/Clock.h"
#include "cornelpond/ports/Timers.h"
#include "cornelpond/ports/WorkerOrders.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace cornelpond {

struct OrderRelayHooks {
    /// The host that passes orders on to the worker; empty: this one.
    std::function<HostId(WorkerTarget const& worker)> relayFor;
    std::function<bool(HostId const& host)> isReachable;
    std::function<void(HostId const& to, std::string payload)> send;
};

struct OrderRelayTimes {
    /// Orders of one commit and answers of many workers share a message; short beside a round trip.
    Duration orderBatchDelay = Duration::milliseconds(2);
    Duration answerBatchDelay = Duration::milliseconds(8);
    /// Of an answer beyond a direct order's timeout: two batches and a round trip between hosts.
    Duration answerMargin = Duration::milliseconds(250);
    /// Between checks for answers that are overdue.
    Duration timeoutCheckInterval = Duration::milliseconds(50);
    /// After so long on the direct way the relay is tried again.
    Duration directRouteDuration = Duration::seconds(5);
};

class OrderRelay final : public WorkerOrders {
public:
    /// References must outlive the object; all hooks must be set. `firstId` is random, so that a late answer
    /// to an earlier process of this host matches no order of this one.
    OrderRelay(Clock const& clock, Timers& timers, WorkerOrders& direct, DispatchTimes orderTimes, uint64_t firstId, OrderRelayHooks hooks, OrderRelayTimes times = OrderRelayTimes());
    ~OrderRelay() override;
    OrderRelay(OrderRelay const&) = delete;
    OrderRelay& operator=(OrderRelay const&) = delete;

    void start(WorkerTarget const& worker, StartOrder const& order, Done done) override;
    void stop(WorkerTarget const& worker, StopOrder const& order, Done done) override;
    void throttle(WorkerTarget const& worker, ThrottleOrder const& order, Done done) override;
    void renew(WorkerTarget const& worker, RenewOrder const& order, std::function<void(RenewAnswer const&)> done) override;
    void requestPermits(TaskRef const& stage, std::vector<WorkerId> const& workers, Duration timeout, std::function<void(PermitAnswer const&)> done) override;

    /// Throws Error(MalformedMessage).
    void onMessage(HostId const& from, std::string const& payload);

    /// What is open with the host ends as Unknown.
    void onPeerDown(HostId const& peer);

    size_t openOrderCount() const { return this->openOrders.size(); }

private:
    using RenewDone = std::function<void(RenewAnswer const&)>;

    struct OpenOrder {
        HostId relay;
        TimePoint deadline;
        RenewDone done; ///< The listing stays empty for other orders.
    };

    /// How well the ways to a worker work.
    struct Route {
        unsigned consecutiveFailures = 0; ///< In a row, by any way.
        std::optional<TimePoint> directSince;
    };

    HostId chooseRelay(WorkerTarget const& worker);
    template <typename Order, typename Answered>
    void send(WorkerTarget const& worker, Order const& order, Duration timeout, Answered done);
    template <typename Order, typename Answered>
    void sendDirectly(WorkerTarget const& worker, Order const& order, Answered done);
    template <typename Order>
    void sendViaRelay(HostId const& relay, WorkerTarget const& worker, Order const& order, Duration timeout, RenewDone done);
    RenewDone withRouteTracking(WorkerId const& worker, RenewDone done);
    void recordRouteResult(WorkerId const& worker, OrderResult result);
    void executeOrder(HostId const& from, RelayedOrder const& relayed);
    void queueAnswer(HostId const& to, RelayedAnswer answer);
    RelayBatch& outgoingBatch(HostId const& to, Duration delay);
    void flush(HostId const& to);
    void finish(uint64_t id, RenewAnswer const& answer);
    void failAll(std::vector<uint64_t> const& ids, OrderResult result);
    void checkTimeouts();

    Clock const& clock;
    Timers& timers;
    WorkerOrders& direct;
    DispatchTimes orderTimes;
    OrderRelayHooks hooks;
    OrderRelayTimes times;
    uint64_t nextId;
    std::map<uint64_t, OpenOrder> openOrders;
    std::map<WorkerId, Route> routes; ///< Of workers with failures or on the direct way.
    std::map<HostId, RelayBatch> outgoingBatches;
    std::map<HostId, TimerId> flushTimers;
    TimerId timeoutTimer;
    std::shared_ptr<bool> lifetime = std::make_shared<bool>(true); ///< Answers of the direct way check it.
};

} // namespace cornelpond
