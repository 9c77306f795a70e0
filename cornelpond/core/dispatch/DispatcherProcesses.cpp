// The processes of a worker: how a new one is noticed, and what it may have received for a former one.

#include "cornelpond/core/dispatch/Dispatcher.h"

#include <algorithm>

namespace cornelpond {

namespace {

    constexpr Duration clockReversalThreshold = Duration::milliseconds(500); ///< A steady clock that is further back belongs to a new incarnation of the worker.
    constexpr Duration settleRetryDelay = Duration::seconds(5); ///< In case the proposal is not committed.

} // namespace

Term Dispatcher::orderEpoch(WorkerView const& view) const
{
    return Term(this->epoch.value() * generationsPerEpoch + std::min(view.generation, generationsPerEpoch - 1));
}

Dispatcher::SendContext Dispatcher::sendContext(WorkerView const& view) const
{
    TimePoint const now = this->clock.now();
    return { view.generation, view.profile.bornMs, view.hasClock ? view.estimatedClock(now) : Duration(), now };
}

void Dispatcher::onNewIncarnation(WorkerView& view, char const* source)
{
    TimePoint const now = this->clock.now();
    auto const openStarts = std::count_if(view.placed.begin(), view.placed.end(), [](auto const& entry) { return entry.second.isStartInFlight || entry.second.isStartUncertain; });
    Event event(EventId::WorkerProcessReplaced);
    event.with("worker", view.profile.id).with("bornMs", view.profile.bornMs).with("source", source).with("leaseOrderAgeMs", now - view.lastLeaseExtensionAt);
    if (view.hasClock)
        event.with("formerClockMs", view.estimatedClock(now));
    event.with("openStarts", static_cast<int64_t>(openStarts)).with("formerBornMs", view.listingBornMs);
    this->processTotals.replaced++;
    this->processChanges.note(view.profile.id, now);
    view.resetForNewIncarnation(++this->lastGeneration, now, this->times);
    this->events.emit(event.with("epoch", this->orderEpoch(view)).with("formerOrdersLeaseMs", view.formerOrdersLeaseEnd - now));
}

/// A clock that went back means a new incarnation of the worker when `isIncarnationKnown` is false. When it is true,
/// incarnations are told apart by their start, and the answer was overtaken by a later one: its clock is outdated.
void Dispatcher::updateClock(WorkerView& view, OrderAnswer const& answer, bool isIncarnationKnown)
{
    if (!answer.hasClock)
        return;
    TimePoint const now = this->clock.now();
    bool const wentBack = view.hasClock && answer.workerClock + clockReversalThreshold < view.workerClock;
    if (wentBack && isIncarnationKnown)
        return;
    if (wentBack)
        this->onNewIncarnation(view, "clock");
    view.workerClock = answer.workerClock;
    view.workerClockReadAt = now;
    view.hasClock = true;
}

/// True when the answer's clock is behind that of the process for which the order was sent: a later one has carried it out.
bool Dispatcher::isFromLaterProcess(SendContext const& sent, OrderAnswer const& answer)
{
    return answer.hasClock && answer.workerClock + clockReversalThreshold < sent.workerClock;
}

void Dispatcher::checkAnsweringProcess(WorkerView& view, SendContext const& sent, OrderAnswer const& answer)
{
    bool const isLaterProcess = answer.result == OrderResult::OtherProcess || isFromLaterProcess(sent, answer);
    if (view.generation == sent.generation && isLaterProcess)
        this->onNewIncarnation(view, "order");
}

/// Commits once for each process that no lease can be left which an order for a former one extended.
void Dispatcher::settleProcess(WorkerView& view)
{
    TimePoint const now = this->clock.now();
    if (view.isSettled || view.mayReceiveFormerOrders || now <= view.formerOrdersLeaseEnd + this->times.leaseMargin || now < view.nextSettleAt)
        return;
    view.nextSettleAt = now + settleRetryDelay;
    this->hooks.settleProcess(view.profile);
}

FormerOrderWorkers Dispatcher::formerOrderWorkers() const
{
    FormerOrderWorkers workers;
    for (auto const& [id, view] : this->views) {
        workers.mayReceive += view.mayReceiveFormerOrders;
        workers.mayHoldLease += view.formerOrdersLeaseEnd > this->clock.now();
    }
    return workers;
}

/// Counts an order that was refused because the worker has executed one for a later process.
void Dispatcher::countRefused(WorkerView const& view, uint64_t generation, OrderResult result)
{
    this->processTotals.ordersRefused += view.generation != generation && result == OrderResult::RefusedEpoch;
}

} // namespace cornelpond
