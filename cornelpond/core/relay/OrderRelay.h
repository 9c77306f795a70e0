#pragma once

// Sends the leader's orders to workers in batches through other control hosts, the relays, so that the leader needs
// no connection to most workers. On a relay, sends the orders to the workers and returns their answers.
//
// Designed for: the load pattern that RelayChoice.h describes.
//
// Example:
//   OrderRelay relay(clock, timers, direct, times, random.next(), hooks);
//   JobService service(clock, events, relay, times, limits);
//   relay.onMessage(from, payload); // a message of PeerChannel::Orders
//
// When renewals of a worker fail, orders to it alternate between the direct route and its relay. An order whose
// answer is lost ends as Unknown: the relay may still send it on, as a worker may execute an order late. Epochs, leases
// and attempt numbers protect relayed orders as they do direct ones. They do not protect a worker that has been restarted
// under its id, with no memory and a new clock. So starts and leases name the process of the worker that they are meant for,
// and each batch of orders names the time, on the relay's clock, at which the leader gives them up: a relay that was paused
// or overloaded until then starts nothing and extends no lease, but still sends the stops. Loop thread only.

#include "cornelpond/core/base/Event.h"
#include "cornelpond/core/dispatch/WorkerView.h"
#include "cornelpond/core/relay/ExecutedStarts.h"
#include "cornelpond/core/relay/RelayMessage.h"
#include "cornelpond/ports/Clock.h"
#include "cornelpond/ports/Timers.h"
#include "cornelpond/ports/WorkerOrders.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <unordered_map>

namespace cornelpond {

struct OrderRelayHooks {
    /// The host that relays orders to the worker; empty: this host sends them itself.
    std::function<HostId(WorkerTarget const& worker)> relayFor;
    std::function<bool(HostId const& host)> isReachable;
    /// Whether the host knows listings that contain only what has changed; hosts of earlier versions do not.
    std::function<bool(HostId const& host)> knowsListingChanges;
    /// Whether the host knows batches with deadlines; hosts of earlier versions do not.
    std::function<bool(HostId const& host)> knowsDeadlines;
    /// Whether the host, while it is reachable, knows orders for one process of a worker. One that does not would send them to
    /// any, so it is no relay.
    std::function<bool(HostId const& host)> knowsProcesses;
    std::function<void(HostId const& to, std::string payload)> send;
    /// Logs what became of an order of another host. May be unset.
    std::function<void(Event const& event)> emit;
};

struct OrderRelayTimes {
    /// How long orders and answers wait for others to share their message: the orders of one commit, the answers of
    /// many workers. Short compared with a round trip.
    Duration orderBatchDelay = Duration::milliseconds(2);
    Duration answerBatchDelay = Duration::milliseconds(8);
    /// The same while more than `busyAnswersPerSecond` go to one host: at its leader each message costs processor time
    /// that decisions need more than the answers need the few milliseconds. Listings with ends wait less, as the next stage of a
    /// job may wait for them: like orders, or for `answerBatchDelay` while answers are many.
    Duration busyAnswerBatchDelay = Duration::milliseconds(20);
    int64_t busyAnswersPerSecond = 250;
    /// Added to the timeout of a direct order: two batch delays and a round trip between hosts.
    Duration answerMargin = Duration::milliseconds(250);
    /// Between checks for overdue answers.
    Duration timeoutCheckInterval = Duration::milliseconds(50);
    /// After so long on the direct route the relay is used again.
    Duration directRouteDuration = Duration::seconds(5);
    /// How long the reading of another host's clock with the least delay is preferred to later ones. Bounds its error by drift.
    Duration clockReadingRetention = Duration::seconds(5);
    /// How long listings are remembered without a new one.
    Duration listingRetention = Duration::seconds(10);
};

struct OrderRelayCounters {
    uint64_t ordersRelayed = 0; ///< Orders that this host passed to a relay.
    uint64_t batchesSent = 0; ///< Messages with orders or answers.
    uint64_t batchesReceived = 0;
    uint64_t answersReceived = 0; ///< From relays, listings included.
    uint64_t listingsReceived = 0; ///< Accepted renewals among them.
    uint64_t listingChangesReceived = 0; ///< Listings that contained only what had changed.
    uint64_t listingRowsReceived = 0; ///< Running and ended attempts that the listings and changes contained.
    uint64_t ordersExpired = 0; ///< Orders of other hosts that arrived after their deadline.
    std::map<OrderResult, uint64_t> startsExecuted; ///< Starts of other hosts that have ended, also those that arrived too late to be sent.
    std::map<OrderResult, uint64_t> stopsExecuted; ///< Stops of other hosts that have ended.
};

class OrderRelay final : public WorkerOrders {
public:
    /// References must outlive the object; all hooks except `emit` must be set. `firstId` must be random, so that a late
    /// answer to an earlier process of this host matches no order of this one, and no listing that such a process sent has
    /// the number of one that this one sends.
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

    /// Ends the open orders that were passed to the host as Unknown.
    void onPeerDown(HostId const& peer);

    size_t openOrderCount() const { return this->openOrders.size(); }
    OrderRelayCounters const& counters() const { return this->totals; }

private:
    using RenewDone = std::function<void(RenewAnswer const&)>;

    struct OpenOrder {
        HostId relay;
        RenewDone done; ///< For orders other than renewals the listing stays empty.
        WorkerId listingWorker; ///< Whose listing is remembered; empty when the answer contains none or is from a host of an earlier version.
    };

    using Deadline = std::pair<TimePoint, uint64_t>; ///< With the order's id.

    /// The rate of the answers to one host, over windows of a fixed length.
    struct AnswerRate {
        TimePoint windowStart;
        int64_t answersInWindow = 0;
        bool isBusy = false; ///< By the last complete window.
    };

    /// An estimate of another host's steady clock. It lags by the delay of the message that was read.
    struct ClockReading {
        TimePoint reading;
        TimePoint readAt; ///< On this host's clock.

        TimePoint at(TimePoint now) const { return this->reading + (now - this->readAt); }
    };

    /// Which route the orders to a worker take, and how many of its renewals have failed in a row.
    struct Route {
        unsigned consecutiveFailures = 0; ///< Of renewals, by either route.
        std::optional<TimePoint> directSince; ///< Unset: through the relay.
    };

    HostId chooseRelay(WorkerTarget const& worker);
    template <typename Order, typename Handler>
    void send(WorkerTarget const& worker, Order const& order, Duration timeout, Handler done);
    template <typename Order, typename Handler>
    void sendDirectly(WorkerTarget const& worker, Order const& order, Handler done);
    template <typename Order>
    void sendViaRelay(HostId const& relay, WorkerTarget const& worker, Order const& order, Duration timeout, RenewDone done);
    RenewDone withRouteTracking(WorkerId const& worker, RenewDone done);
    void recordRouteResult(WorkerId const& worker, OrderResult result);
    void noteClock(HostId const& peer, TimePoint reading);
    void setDeadline(HostId const& to, RelayBatch& batch) const;
    void executeOrder(HostId const& from, RelayedOrder const& relayed, bool isExpired = false);
    void executeExpired(HostId const& from, RelayedOrder relayed);
    template <typename Order>
    Event executionEvent(HostId const& leader, WorkerTarget const& worker, Order const& order, bool isExpired) const;
    template <typename Order>
    Done withReport(HostId const& leader, WorkerTarget const& worker, Order const& order, bool isExpired, Done done);
    void reportExecution(Event event, TimePoint receivedAt, OrderAnswer const& answer) const;
    void addStartBefore(Event& event, ExecutedStarts::Key key) const;
    void handleAnswer(HostId const& from, RelayedAnswer& relayed);
    void countListing(RenewAnswer const& answer);
    void finishWithListing(OpenOrder const& order, NumberedListingAnswer numbered);
    void finishWithChange(OpenOrder const& order, ListingChangeAnswer answer);
    void executeRenewal(HostId const& from, RelayedOrder const& relayed, RenewOrder const& given);
    RelayedAnswer answerWithChange(HostId const& leader, RelayedOrder const& relayed, RenewAnswer const& answer);
    void forgetOldListings();
    void queueAnswer(HostId const& to, RelayedAnswer answer);
    RelayBatch& outgoingBatch(HostId const& to, Duration delay);
    Duration answerDelay(HostId const& to, bool hasEnds);
    void flushAll();
    void flush(HostId const& to, RelayBatch& batch);
    void finish(uint64_t id, RenewAnswer const& answer);
    void failAll(std::vector<uint64_t> const& ids, OrderResult result);
    void scheduleTimeoutCheck();
    void checkTimeouts();

    Clock const& clock;
    Timers& timers;
    WorkerOrders& direct;
    DispatchTimes orderTimes;
    OrderRelayHooks hooks;
    OrderRelayTimes times;
    uint64_t nextId; ///< Of orders and listings.
    std::unordered_map<uint64_t, OpenOrder> openOrders;
    std::priority_queue<Deadline, std::vector<Deadline>, std::greater<Deadline>> deadlines; ///< Of open orders, and of answered ones until they would have been due.
    std::map<WorkerId, Route> routes; ///< Of workers with failed renewals or on the direct route.
    std::map<HostId, RelayBatch> outgoingBatches;
    std::map<HostId, AnswerRate> answerRates;
    std::map<HostId, ClockReading> peerClocks; ///< Of hosts that have sent their clock.
    TimerId flushTimer;
    std::optional<TimePoint> flushAt; ///< Unset: no batch waits.
    TimerId timeoutTimer;
    ListingMemory heldListings; ///< On the leader: as the relays listed them.
    ListingMemory sentListings; ///< On a relay: as the leader holds them.
    ExecutedStarts executedStarts; ///< On a relay, for the lines of stops.
    TimePoint nextForgetAt;
    bool isTimeoutCheckDue = false; ///< `timeoutTimer` is running.
    OrderRelayCounters totals;
    std::shared_ptr<bool> lifetime = std::make_shared<bool>(true); ///< Handlers of direct answers check it.
};

} // namespace cornelpond
