#include "cornelpond/core/relay/OrderRelay.h"

#include <type_traits>
#include <utility>

namespace cornelpond {

namespace {

    constexpr unsigned failuresPerRoute = 2; ///< In a row, before the other route is tried.

    OrderAnswer answerWithResult(OrderResult result)
    {
        OrderAnswer answer;
        answer.result = result;
        return answer;
    }

    std::function<void(RenewAnswer const&)> asRenewDone(WorkerOrders::Done done)
    {
        return [done = std::move(done)](RenewAnswer const& answer) { done(answer.order); };
    }

} // namespace

OrderRelay::OrderRelay(Clock const& clock, Timers& timers, WorkerOrders& direct, DispatchTimes orderTimes, uint64_t firstId, OrderRelayHooks hooks, OrderRelayTimes times)
    : clock(clock)
    , timers(timers)
    , direct(direct)
    , orderTimes(orderTimes)
    , hooks(std::move(hooks))
    , times(times)
    , nextId(firstId)
{
}

OrderRelay::~OrderRelay()
{
    for (auto const& [host, timer] : this->flushTimers)
        this->timers.cancel(timer);
    this->timers.cancel(this->timeoutTimer);
}

HostId OrderRelay::chooseRelay(WorkerTarget const& worker)
{
    HostId relay = this->hooks.relayFor(worker);
    auto const route = this->routes.find(worker.id);
    if (relay.empty() || route == this->routes.end())
        return relay;
    if (route->second.directSince && this->clock.now() - *route->second.directSince > this->times.directRouteDuration)
        route->second.directSince.reset();
    return route->second.directSince ? HostId() : relay;
}

/// Counts failures in a row, and switches to the other route after every `failuresPerRoute` of them.
void OrderRelay::recordRouteResult(WorkerId const& worker, OrderResult result)
{
    bool const isFailure = result == OrderResult::Unknown || result == OrderResult::NotSent;
    auto const found = this->routes.find(worker);
    if (!isFailure) {
        if (found != this->routes.end() && !found->second.directSince)
            this->routes.erase(found);
        else if (found != this->routes.end())
            found->second.consecutiveFailures = 0;
        return;
    }
    Route& route = this->routes[worker];
    route.consecutiveFailures++;
    if (route.consecutiveFailures % failuresPerRoute != 0)
        return;
    if (route.directSince)
        route.directSince.reset();
    else
        route.directSince = this->clock.now();
}

OrderRelay::RenewDone OrderRelay::withRouteTracking(WorkerId const& worker, RenewDone done)
{
    return [this, alive = std::weak_ptr<bool>(this->lifetime), worker, done = std::move(done)](RenewAnswer const& answer) {
        if (alive.expired())
            return;
        this->recordRouteResult(worker, answer.order.result);
        done(answer);
    };
}

void OrderRelay::start(WorkerTarget const& worker, StartOrder const& order, Done done)
{
    this->send(worker, order, this->orderTimes.orderTimeout, std::move(done));
}

void OrderRelay::stop(WorkerTarget const& worker, StopOrder const& order, Done done)
{
    this->send(worker, order, this->orderTimes.orderTimeout, std::move(done));
}

void OrderRelay::throttle(WorkerTarget const& worker, ThrottleOrder const& order, Done done)
{
    this->send(worker, order, this->orderTimes.orderTimeout, std::move(done));
}

/// Only results of renewals decide which route is used: there is always a renewal in flight, and other orders may fail
/// for reasons of their own.
void OrderRelay::renew(WorkerTarget const& worker, RenewOrder const& order, RenewDone done)
{
    this->send(worker, order, order.maxWait + this->orderTimes.orderTimeout, this->withRouteTracking(worker.id, std::move(done)));
}

template <typename Order, typename Handler>
void OrderRelay::send(WorkerTarget const& worker, Order const& order, Duration timeout, Handler done)
{
    HostId const relay = this->chooseRelay(worker);
    if (relay.empty())
        this->sendDirectly(worker, order, std::move(done));
    else if constexpr (std::is_same_v<Handler, Done>)
        this->sendViaRelay(relay, worker, order, timeout, asRenewDone(std::move(done)));
    else
        this->sendViaRelay(relay, worker, order, timeout, std::move(done));
}

template <typename Order, typename Handler>
void OrderRelay::sendDirectly(WorkerTarget const& worker, Order const& order, Handler done)
{
    if constexpr (std::is_same_v<Order, StartOrder>)
        this->direct.start(worker, order, std::move(done));
    else if constexpr (std::is_same_v<Order, StopOrder>)
        this->direct.stop(worker, order, std::move(done));
    else if constexpr (std::is_same_v<Order, ThrottleOrder>)
        this->direct.throttle(worker, order, std::move(done));
    else
        this->direct.renew(worker, order, std::move(done));
}

/// Never relayed: permit requests are rare, and the policy service gives a turn only to the leader's own address.
void OrderRelay::requestPermits(TaskRef const& stage, std::vector<WorkerId> const& workers, Duration timeout, std::function<void(PermitAnswer const&)> done)
{
    this->direct.requestPermits(stage, workers, timeout, std::move(done));
}

template <typename Order>
void OrderRelay::sendViaRelay(HostId const& relay, WorkerTarget const& worker, Order const& order, Duration timeout, RenewDone done)
{
    uint64_t const id = this->nextId++;
    this->openOrders.emplace(id, OpenOrder { relay, this->clock.now() + timeout + this->times.answerMargin, std::move(done) });
    this->outgoingBatch(relay, this->times.orderBatchDelay).orders.push_back({ id, worker, order });
    if (this->openOrders.size() == 1)
        this->checkTimeouts();
}

RelayBatch& OrderRelay::outgoingBatch(HostId const& to, Duration delay)
{
    if (!this->flushTimers.count(to))
        this->flushTimers[to] = this->timers.after(delay, [this, to] { this->flush(to); });
    return this->outgoingBatches[to];
}

void OrderRelay::flush(HostId const& to)
{
    this->flushTimers.erase(to);
    RelayBatch const batch = std::move(this->outgoingBatches[to]);
    this->outgoingBatches.erase(to);
    if (this->hooks.isReachable(to)) {
        this->hooks.send(to, encodeRelayBatch(batch));
        return;
    }
    std::vector<uint64_t> unsent;
    for (auto const& relayed : batch.orders)
        unsent.push_back(relayed.id);
    this->failAll(unsent, OrderResult::NotSent);
}

void OrderRelay::onMessage(HostId const& from, std::string const& payload)
{
    RelayBatch const batch = decodeRelayBatch(payload);
    for (auto const& relayed : batch.orders)
        this->executeOrder(from, relayed);
    for (auto const& relayed : batch.answers) {
        auto const found = this->openOrders.find(relayed.id);
        if (found == this->openOrders.end() || found->second.relay != from)
            continue; // Too late, as the order has ended as Unknown; or from a host that is not its relay.
        if (auto const* renewed = std::get_if<RenewAnswer>(&relayed.answer))
            this->finish(relayed.id, *renewed);
        else
            this->finish(relayed.id, { std::get<OrderAnswer>(relayed.answer), 0, WorkerListing() });
    }
}

void OrderRelay::executeOrder(HostId const& from, RelayedOrder const& relayed)
{
    auto const reply = [this, alive = std::weak_ptr<bool>(this->lifetime), from, id = relayed.id](auto const& answer) {
        if (!alive.expired())
            this->queueAnswer(from, { id, answer });
    };
    std::visit([&](auto const& order) { this->sendDirectly(relayed.worker, order, reply); }, relayed.order);
}

void OrderRelay::queueAnswer(HostId const& to, RelayedAnswer answer)
{
    this->outgoingBatch(to, this->times.answerBatchDelay).answers.push_back(std::move(answer));
}

void OrderRelay::finish(uint64_t id, RenewAnswer const& answer)
{
    auto const found = this->openOrders.find(id);
    if (found == this->openOrders.end())
        return;
    OpenOrder const order = std::move(found->second);
    this->openOrders.erase(found);
    order.done(answer);
}

void OrderRelay::failAll(std::vector<uint64_t> const& ids, OrderResult result)
{
    for (uint64_t const id : ids)
        this->finish(id, { answerWithResult(result), 0, WorkerListing() });
}

void OrderRelay::onPeerDown(HostId const& peer)
{
    std::vector<uint64_t> lost;
    for (auto const& [id, order] : this->openOrders) {
        if (order.relay == peer)
            lost.push_back(id);
    }
    this->failAll(lost, OrderResult::Unknown);
}

void OrderRelay::checkTimeouts()
{
    std::vector<uint64_t> overdue;
    for (auto const& [id, order] : this->openOrders) {
        if (this->clock.now() >= order.deadline)
            overdue.push_back(id);
    }
    this->failAll(overdue, OrderResult::Unknown);
    this->timers.cancel(this->timeoutTimer);
    if (!this->openOrders.empty())
        this->timeoutTimer = this->timers.after(this->times.timeoutCheckInterval, [this] { this->checkTimeouts(); });
}

} // namespace cornelpond
