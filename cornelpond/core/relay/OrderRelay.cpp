#include "cornelpond/core/relay/OrderRelay.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace cornelpond {

namespace {

    constexpr unsigned failuresPerRoute = 2; ///< In a row, before the other route is tried.
    constexpr size_t maxExecutedStarts = 50000; ///< Bounds memory.
    constexpr Duration answerRateWindow = Duration::milliseconds(200);

    OrderAnswer answerWithResult(OrderResult result)
    {
        OrderAnswer answer;
        answer.result = result;
        return answer;
    }

    bool listsEnds(RelayedAnswer const& relayed)
    {
        if (auto const* change = std::get_if<ListingChangeAnswer>(&relayed.answer))
            return !change->change.ended.empty();
        if (auto const* numbered = std::get_if<NumberedListingAnswer>(&relayed.answer))
            return !numbered->answer.listing.ended.empty();
        auto const* renewed = std::get_if<RenewAnswer>(&relayed.answer);
        return renewed && !renewed->listing.ended.empty();
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
    , executedStarts(maxExecutedStarts)
{
}

OrderRelay::~OrderRelay()
{
    this->timers.cancel(this->flushTimer);
    this->timers.cancel(this->timeoutTimer);
}

HostId OrderRelay::chooseRelay(WorkerTarget const& worker)
{
    HostId relay = this->hooks.relayFor(worker);
    if (!relay.empty() && this->hooks.isReachable(relay) && !this->hooks.knowsProcesses(relay))
        return HostId();
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
    bool const isUsuallyRelayed = !this->chooseRelay(worker).empty();
    HostId const relay = this->hooks.relayFor(worker);
    if (order.way != StopWay::OtherRoute)
        this->send(worker, order, this->orderTimes.orderTimeout, std::move(done));
    else if (isUsuallyRelayed || relay.empty())
        this->direct.stop(worker, order, std::move(done));
    else
        this->sendViaRelay(relay, worker, order, this->orderTimes.orderTimeout, asRenewDone(std::move(done)));
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
    TimePoint const deadline = this->clock.now() + timeout + this->times.answerMargin;
    RelayedOrder relayed { id, worker, order, std::nullopt };
    OpenOrder open { relay, std::move(done), WorkerId() };
    if (std::is_same_v<Order, RenewOrder> && this->hooks.knowsListingChanges(relay)) {
        ListingMemory::Entry const* held = this->heldListings.find(worker.id, relay);
        open.listingWorker = worker.id;
        relayed.heldListing = held ? held->number : 0;
    }
    this->openOrders.emplace(id, std::move(open));
    this->deadlines.emplace(deadline, id);
    this->totals.ordersRelayed++;
    this->outgoingBatch(relay, this->times.orderBatchDelay).orders.push_back(std::move(relayed));
    this->scheduleTimeoutCheck();
}

RelayBatch& OrderRelay::outgoingBatch(HostId const& to, Duration delay)
{
    TimePoint const dueAt = this->clock.now() + delay;
    if (!this->flushAt || dueAt < *this->flushAt) {
        this->timers.cancel(this->flushTimer);
        this->flushAt = dueAt;
        this->flushTimer = this->timers.after(delay, [this] { this->flushAll(); });
    }
    return this->outgoingBatches[to];
}

/// All batches at once: one timer for each host would wake the loop for each of them.
void OrderRelay::flushAll()
{
    this->flushAt.reset();
    auto batches = std::move(this->outgoingBatches);
    this->outgoingBatches.clear();
    for (auto& [to, batch] : batches)
        this->flush(to, batch);
}

void OrderRelay::flush(HostId const& to, RelayBatch& batch)
{
    if (this->hooks.isReachable(to)) {
        if (this->hooks.knowsDeadlines(to))
            this->setDeadline(to, batch);
        this->totals.batchesSent++;
        this->hooks.send(to, encodeRelayBatch(batch));
        return;
    }
    std::vector<uint64_t> unsent;
    for (auto const& relayed : batch.orders)
        unsent.push_back(relayed.id);
    this->failAll(unsent, OrderResult::NotSent);
}

/// Gives the batch this host's clock and, once the receiver's clock is known, the time at which this host gives its orders up.
void OrderRelay::setDeadline(HostId const& to, RelayBatch& batch) const
{
    TimePoint const now = this->clock.now();
    batch.senderClock = now;
    auto const known = this->peerClocks.find(to);
    if (known != this->peerClocks.end() && !batch.orders.empty())
        batch.deadline = known->second.at(now) + this->orderTimes.orderTimeout + this->times.answerMargin;
}

/// A message that was delayed makes the clock look further back: of the readings of some seconds, the most advanced is kept.
void OrderRelay::noteClock(HostId const& peer, TimePoint reading)
{
    TimePoint const now = this->clock.now();
    auto const [known, isNew] = this->peerClocks.try_emplace(peer, ClockReading { reading, now });
    bool const isOutdated = now - known->second.readAt > this->times.clockReadingRetention;
    if (!isNew && (isOutdated || reading >= known->second.at(now)))
        known->second = { reading, now };
}

void OrderRelay::onMessage(HostId const& from, std::string const& payload)
{
    RelayBatch batch = decodeRelayBatch(payload);
    this->totals.batchesReceived++;
    if (batch.senderClock)
        this->noteClock(from, *batch.senderClock);
    bool const isExpired = batch.deadline && this->clock.now() > *batch.deadline;
    for (auto& relayed : batch.orders) {
        if (isExpired)
            this->executeExpired(from, std::move(relayed));
        else
            this->executeOrder(from, relayed);
    }
    for (auto& relayed : batch.answers)
        this->handleAnswer(from, relayed);
}

void OrderRelay::handleAnswer(HostId const& from, RelayedAnswer& relayed)
{
    this->totals.answersReceived++;
    auto const found = this->openOrders.find(relayed.id);
    if (found == this->openOrders.end() || found->second.relay != from)
        return; // Too late, as the order has ended as Unknown; or from a host that is not its relay.
    OpenOrder const order = std::move(found->second);
    this->openOrders.erase(found);
    if (auto* change = std::get_if<ListingChangeAnswer>(&relayed.answer))
        this->finishWithChange(order, std::move(*change));
    else if (auto* numbered = std::get_if<NumberedListingAnswer>(&relayed.answer))
        this->finishWithListing(order, std::move(*numbered));
    else if (auto const* renewed = std::get_if<RenewAnswer>(&relayed.answer)) {
        this->countListing(*renewed);
        order.done(*renewed);
    } else
        order.done({ std::get<OrderAnswer>(relayed.answer), 0, WorkerListing() });
}

void OrderRelay::countListing(RenewAnswer const& answer)
{
    if (answer.order.result != OrderResult::Accepted)
        return;
    this->totals.listingsReceived++;
    this->totals.listingRowsReceived += answer.listing.running.size() + answer.listing.ended.size();
}

void OrderRelay::finishWithListing(OpenOrder const& order, NumberedListingAnswer numbered)
{
    this->countListing(numbered.answer);
    if (numbered.answer.order.result != OrderResult::Accepted || order.listingWorker.empty()) {
        order.done(numbered.answer);
        return;
    }
    this->forgetOldListings();
    order.done(this->heldListings.remember(order.listingWorker, { order.relay, numbered.listing, std::move(numbered.answer), this->clock.now() }).answer);
}

void OrderRelay::finishWithChange(OpenOrder const& order, ListingChangeAnswer answer)
{
    ListingMemory::Entry* held = this->heldListings.find(order.listingWorker, order.relay);
    if (!held || held->number != answer.heldListing) {
        // Another answer came first, or the listing was forgotten. The next renewal asks for a whole listing.
        this->heldListings.forget(order.listingWorker);
        order.done({ answerWithResult(OrderResult::Unknown), 0, WorkerListing() });
        return;
    }
    this->totals.listingsReceived++;
    this->totals.listingChangesReceived++;
    this->totals.listingRowsReceived += answer.change.changed.size() + answer.change.added.size() + answer.change.ended.size();
    held->number = answer.listing;
    held->rememberedAt = this->clock.now();
    held->answer.order = answer.order;
    held->answer.acknowledgedEnds = answer.acknowledgedEnds;
    try {
        applyListingChange(held->answer.listing, std::move(answer.change));
    } catch (Error const&) {
        this->heldListings.forget(order.listingWorker);
        order.done({ answerWithResult(OrderResult::Unknown), 0, WorkerListing() });
        throw;
    }
    order.done(held->answer);
}

void OrderRelay::executeOrder(HostId const& from, RelayedOrder const& relayed, bool isExpired)
{
    if (auto const* renew = std::get_if<RenewOrder>(&relayed.order); renew && relayed.heldListing) {
        this->executeRenewal(from, relayed, *renew);
        return;
    }
    auto const reply = [this, alive = std::weak_ptr<bool>(this->lifetime), from, id = relayed.id](auto const& answer) {
        if (!alive.expired())
            this->queueAnswer(from, { id, answer });
    };
    std::visit([&](auto const& order) {
        using Order = std::decay_t<decltype(order)>;
        if constexpr (std::is_same_v<Order, StartOrder> || std::is_same_v<Order, StopOrder>)
            this->sendDirectly(relayed.worker, order, this->withReport(from, relayed.worker, order, isExpired, reply));
        else
            this->sendDirectly(relayed.worker, order, reply);
    },
        relayed.order);
}

/// The part of an order's event that is known before the order is sent.
template <typename Order>
Event OrderRelay::executionEvent(HostId const& leader, WorkerTarget const& worker, Order const& order, bool isExpired) const
{
    constexpr bool isStart = std::is_same_v<Order, StartOrder>;
    Event event(isStart ? EventId::RelayedStartExecuted : EventId::RelayedStopExecuted);
    event.with("leader", leader).with("task", order.task.text()).with("attempt", order.attempt).with("worker", worker.id).with("epoch", order.epoch);
    if constexpr (isStart)
        event.with("processBornMs", order.processBornMs).with("leaseUntilMs", order.leaseUntil);
    event.with("expired", static_cast<int>(isExpired));
    return event;
}

/// Counts and logs the result of an order before it passes on the answer.
template <typename Order>
WorkerOrders::Done OrderRelay::withReport(HostId const& leader, WorkerTarget const& worker, Order const& order, bool isExpired, Done done)
{
    auto& counts = std::is_same_v<Order, StartOrder> ? this->totals.startsExecuted : this->totals.stopsExecuted;
    TimePoint const receivedAt = this->clock.now();
    std::optional<Event> event;
    std::optional<ExecutedStarts::Key> startKey; ///< Unset for a stop.
    if (this->hooks.emit) {
        event = this->executionEvent(leader, worker, order, isExpired);
        ExecutedStarts::Key const key = ExecutedStarts::keyOf(order.task, order.attempt, worker.id);
        if constexpr (std::is_same_v<Order, StartOrder>) {
            startKey = key;
            this->executedStarts.onSent(key, receivedAt);
        } else
            this->addStartBefore(*event, key);
    }
    return [this, alive = std::weak_ptr<bool>(this->lifetime), &counts, event = std::move(event), startKey, receivedAt, done = std::move(done)](OrderAnswer const& answer) {
        if (alive.expired())
            return;
        counts[answer.result]++;
        if (startKey)
            this->executedStarts.onAnswered(*startKey, answer.result);
        if (event)
            this->reportExecution(*event, receivedAt, answer);
        done(answer);
    };
}

/// What this relay knows, when a stop arrives, of the starts of the same attempt.
void OrderRelay::addStartBefore(Event& event, ExecutedStarts::Key key) const
{
    ExecutedStart const* start = this->executedStarts.find(key);
    std::string result = "notKnown";
    if (start)
        result = start->result ? orderResultName(*start->result) : "open";
    event.with("starts", start ? start->orders : 0)
        .with("startResult", result)
        .with("sinceStartMs", start ? (this->clock.now() - start->sentAt).toMilliseconds() : -1);
}

void OrderRelay::reportExecution(Event event, TimePoint receivedAt, OrderAnswer const& answer) const
{
    event.with("result", std::string(orderResultName(answer.result))).with("lastedMs", this->clock.now() - receivedAt);
    if (answer.hasClock)
        event.with("clockMs", answer.workerClock);
    this->hooks.emit(event);
}

/// Carries out what is safe at any time and for any process of the worker, as the leader has given the order up: a stop, and the
/// question for the listing.
void OrderRelay::executeExpired(HostId const& from, RelayedOrder relayed)
{
    this->totals.ordersExpired++;
    auto const refuse = [this, from, id = relayed.id](OrderAnswer const& answer) { this->queueAnswer(from, { id, answer }); };
    if (auto const* start = std::get_if<StartOrder>(&relayed.order)) {
        this->withReport(from, relayed.worker, *start, true, refuse)(answerWithResult(OrderResult::NotSent));
        return;
    }
    if (std::holds_alternative<ThrottleOrder>(relayed.order)) {
        refuse(answerWithResult(OrderResult::NotSent));
        return;
    }
    if (auto* renew = std::get_if<RenewOrder>(&relayed.order)) {
        renew->extendsLease = false;
        renew->acknowledgedEnds = 0; // The leader sends the acknowledgement again.
    }
    this->executeOrder(from, relayed, true);
}

/// For a leader of an earlier version, which names no process, passes an acknowledgement on only to the process of which the
/// leader holds a listing from this relay: another process of the worker, to which a connection may be open already, would
/// forget ends of its own.
void OrderRelay::executeRenewal(HostId const& from, RelayedOrder const& relayed, RenewOrder const& given)
{
    RenewOrder order = given;
    ListingMemory::Entry const* held = this->sentListings.find(relayed.worker.id, from);
    bool const isNamed = order.processBornMs;
    if (!isNamed && held && held->number == relayed.heldListing) {
        order.processBornMs = held->answer.listing.bornMs;
    } else if (!isNamed && order.acknowledgedEnds) {
        order.acknowledgedEnds = 0;
        order.maxWait = Duration(); // The unacknowledged ends are listed again at once.
    }
    this->direct.renew(relayed.worker, order, [this, alive = std::weak_ptr<bool>(this->lifetime), from, relayed](RenewAnswer const& answer) {
        if (!alive.expired())
            this->queueAnswer(from, this->answerWithChange(from, relayed, answer));
    });
}

/// What has changed since the listing that the leader holds, or the whole listing when this host does not remember it.
RelayedAnswer OrderRelay::answerWithChange(HostId const& leader, RelayedOrder const& relayed, RenewAnswer const& answer)
{
    if (answer.order.result != OrderResult::Accepted)
        return { relayed.id, answer };
    TimePoint const now = this->clock.now();
    this->forgetOldListings();
    ListingMemory::Entry* sent = this->sentListings.find(relayed.worker.id, leader);
    std::optional<ListingChange> change;
    if (sent && sent->number == relayed.heldListing)
        change = listingChange(sent->answer.listing, answer.listing);
    uint64_t const number = this->nextId++;
    if (!change) {
        this->sentListings.remember(relayed.worker.id, { leader, number, answer, now });
        return { relayed.id, NumberedListingAnswer { number, answer } };
    }
    // The rows must stay in the order in which the leader holds them.
    applyListingChange(sent->answer.listing, *change);
    sent->number = number;
    sent->rememberedAt = now;
    return { relayed.id, ListingChangeAnswer { answer.order, answer.acknowledgedEnds, *relayed.heldListing, std::move(*change), number } };
}

void OrderRelay::forgetOldListings()
{
    TimePoint const now = this->clock.now();
    if (now < this->nextForgetAt)
        return;
    this->nextForgetAt = now + this->times.listingRetention / 2;
    this->heldListings.forgetOlderThan(now - this->times.listingRetention);
    this->sentListings.forgetOlderThan(now - this->times.listingRetention);
}

void OrderRelay::queueAnswer(HostId const& to, RelayedAnswer answer)
{
    this->outgoingBatch(to, this->answerDelay(to, listsEnds(answer))).answers.push_back(std::move(answer));
}

/// Counts an answer to the host, and returns how long it may wait for others.
Duration OrderRelay::answerDelay(HostId const& to, bool hasEnds)
{
    TimePoint const now = this->clock.now();
    AnswerRate& rate = this->answerRates[to];
    Duration const elapsed = now - rate.windowStart;
    if (elapsed >= answerRateWindow) {
        constexpr int64_t microsecondsPerSecond = 1000 * 1000;
        rate.isBusy = rate.answersInWindow * microsecondsPerSecond > this->times.busyAnswersPerSecond * elapsed.toMicroseconds();
        rate.windowStart = now;
        rate.answersInWindow = 0;
    }
    rate.answersInWindow++;
    if (hasEnds)
        return rate.isBusy ? this->times.answerBatchDelay : this->times.orderBatchDelay;
    return rate.isBusy ? this->times.busyAnswerBatchDelay : this->times.answerBatchDelay;
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
    this->answerRates.erase(peer);
    std::vector<uint64_t> lost;
    for (auto const& [id, order] : this->openOrders) {
        if (order.relay == peer)
            lost.push_back(id);
    }
    std::sort(lost.begin(), lost.end());
    this->failAll(lost, OrderResult::Unknown);
}

void OrderRelay::scheduleTimeoutCheck()
{
    if (this->isTimeoutCheckDue || this->deadlines.empty())
        return;
    this->isTimeoutCheckDue = true;
    this->timeoutTimer = this->timers.after(this->times.timeoutCheckInterval, [this] {
        this->isTimeoutCheckDue = false;
        this->checkTimeouts();
    });
}

void OrderRelay::checkTimeouts()
{
    TimePoint const now = this->clock.now();
    std::vector<uint64_t> overdue;
    while (!this->deadlines.empty() && this->deadlines.top().first <= now) {
        overdue.push_back(this->deadlines.top().second);
        this->deadlines.pop();
    }
    this->failAll(overdue, OrderResult::Unknown); // Answered orders among them are no longer open.
    this->scheduleTimeoutCheck();
}

} // namespace cornelpond
