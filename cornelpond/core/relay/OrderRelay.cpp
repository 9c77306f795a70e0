#include "cornelpond/core/relay/OrderRelay.h"

#include <type_traits>
#include <utility>

namespace cornelpond {

namespace {

    constexpr unsigned failuresPerWay = 2; ///< In a row, before the other way is tried.

    OrderAnswer unanswered(OrderResult result)
    {
        OrderAnswer answer;
        answer.result = result;
        return answer;
    }

    std::function<void(RenewAnswer const&)> orderOnly(WorkerOrders::Done done)
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
    for (auto const& [host, timer] : this->flushes)
        this->timers.cancel(timer);
    this->timers.cancel(this->timeoutTimer);
}

HostId OrderRelay::relayOf(WorkerTarget const& worker)
{
    HostId relay = this->hooks.relayFor(worker);
    auto const way = this->ways.find(worker.id);
    if (relay.empty() || way == this->ways.end())
        return relay;
    if (way->second.directSince && this->clock.now() - *way->second.directSince > this->times.directFor)
        way->second.directSince.reset();
    return way->second.directSince ? HostId() : relay;
}

/// Counts failures of the way that is in use, and changes over to the other.
void OrderRelay::note(WorkerId const& worker, OrderResult result)
{
    bool const isFailure = result == OrderResult::Unknown || result == OrderResult::NotSent;
    auto const found = this->ways.find(worker);
    if (!isFailure) {
        if (found != this->ways.end() && !found->second.directSince)
            this->ways.erase(found);
        else if (found != this->ways.end())
            found->second.failures = 0;
        return;
    }
    Way& way = this->ways[worker];
    way.failures++;
    if (way.failures % failuresPerWay != 0)
        return;
    if (way.directSince)
        way.directSince.reset();
    else
        way.directSince = this->clock.now();
}

OrderRelay::RenewDone OrderRelay::watched(WorkerId const& worker, RenewDone done)
{
    return [this, alive = std::weak_ptr<bool>(this->lifetime), worker, done = std::move(done)](RenewAnswer const& answer) {
        if (alive.expired())
            return;
        this->note(worker, answer.order.result);
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

/// Only renewals judge the ways: there is always one under way, and other orders fail for reasons of their own.
void OrderRelay::renew(WorkerTarget const& worker, RenewOrder const& order, RenewDone done)
{
    this->send(worker, order, order.wait + this->orderTimes.orderTimeout, this->watched(worker.id, std::move(done)));
}

template <typename Order, typename Answered>
void OrderRelay::send(WorkerTarget const& worker, Order const& order, Duration timeout, Answered done)
{
    HostId const relay = this->relayOf(worker);
    if (relay.empty())
        this->sendDirectly(worker, order, std::move(done));
    else if constexpr (std::is_same_v<Answered, Done>)
        this->pass(relay, worker, order, timeout, orderOnly(std::move(done)));
    else
        this->pass(relay, worker, order, timeout, std::move(done));
}

template <typename Order, typename Answered>
void OrderRelay::sendDirectly(WorkerTarget const& worker, Order const& order, Answered done)
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

/// Rare, and only the leader's own address has a turn at the policy service.
void OrderRelay::askPermits(TaskRef const& stage, std::vector<WorkerId> const& workers, Duration timeout, std::function<void(PermitAnswer const&)> done)
{
    this->direct.askPermits(stage, workers, timeout, std::move(done));
}

template <typename Order>
void OrderRelay::pass(HostId const& relay, WorkerTarget const& worker, Order const& order, Duration timeout, RenewDone done)
{
    uint64_t const id = this->nextId++;
    this->open.emplace(id, Open { relay, this->clock.now() + timeout + this->times.margin, std::move(done) });
    this->outgoing(relay, this->times.orderBatch).orders.push_back({ id, worker, order });
    if (this->open.size() == 1)
        this->checkTimeouts();
}

RelayBatch& OrderRelay::outgoing(HostId const& to, Duration delay)
{
    if (!this->flushes.count(to))
        this->flushes[to] = this->timers.after(delay, [this, to] { this->flush(to); });
    return this->batches[to];
}

void OrderRelay::flush(HostId const& to)
{
    this->flushes.erase(to);
    RelayBatch const batch = std::move(this->batches[to]);
    this->batches.erase(to);
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
        this->carryOut(from, relayed);
    for (auto const& relayed : batch.answers) {
        auto const found = this->open.find(relayed.id);
        if (found == this->open.end() || found->second.relay != from)
            continue; // Too late: it has counted as Unknown.
        if (auto const* renewed = std::get_if<RenewAnswer>(&relayed.answer))
            this->finish(relayed.id, *renewed);
        else
            this->finish(relayed.id, { std::get<OrderAnswer>(relayed.answer), 0, WorkerListing() });
    }
}

void OrderRelay::carryOut(HostId const& from, RelayedOrder const& relayed)
{
    auto const reply = [this, alive = std::weak_ptr<bool>(this->lifetime), from, id = relayed.id](auto const& answer) {
        if (!alive.expired())
            this->answer(from, { id, answer });
    };
    std::visit([&](auto const& order) { this->sendDirectly(relayed.worker, order, reply); }, relayed.order);
}

void OrderRelay::answer(HostId const& to, RelayedAnswer answer)
{
    this->outgoing(to, this->times.answerBatch).answers.push_back(std::move(answer));
}

void OrderRelay::finish(uint64_t id, RenewAnswer const& answer)
{
    auto const found = this->open.find(id);
    if (found == this->open.end())
        return;
    Open const order = std::move(found->second);
    this->open.erase(found);
    order.done(answer);
}

void OrderRelay::failAll(std::vector<uint64_t> const& ids, OrderResult result)
{
    for (uint64_t const id : ids)
        this->finish(id, { unanswered(result), 0, WorkerListing() });
}

void OrderRelay::onPeerDown(HostId const& peer)
{
    std::vector<uint64_t> lost;
    for (auto const& [id, order] : this->open) {
        if (order.relay == peer)
            lost.push_back(id);
    }
    this->failAll(lost, OrderResult::Unknown);
}

void OrderRelay::checkTimeouts()
{
    std::vector<uint64_t> overdue;
    for (auto const& [id, order] : this->open) {
        if (this->clock.now() >= order.deadline)
            overdue.push_back(id);
    }
    this->failAll(overdue, OrderResult::Unknown);
    this->timers.cancel(this->timeoutTimer);
    if (!this->open.empty())
        this->timeoutTimer = this->timers.after(this->times.timeoutCheck, [this] { this->checkTimeouts(); });
}

} // namespace cornelpond
