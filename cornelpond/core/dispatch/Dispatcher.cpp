#include "cornelpond/core/dispatch/Dispatcher.h"

#include <iterator>
#include <utility>

namespace cornelpond {

namespace {

    constexpr Duration attemptCheckInterval = Duration::milliseconds(50);
    /// Attempts that await no order are checked this often, in case one is not wanted any more.
    constexpr Duration fullCheckInterval = Duration::milliseconds(500);

} // namespace

Dispatcher::Dispatcher(Clock const& clock, EventSink& events, WorkerOrders& orders, DispatchTimes times, JobTable const& jobs, DispatcherHooks hooks)
    : clock(clock)
    , events(events)
    , orders(orders)
    , times(times)
    , jobs(jobs)
    , hooks(std::move(hooks))
    , endedJobs(clock, events, jobs, this->times, this->views)
    , processChanges(times)
{
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::lead(Term newEpoch, WorkerRoster const& roster)
{
    this->leading = true;
    this->epoch = newEpoch;
    this->lastGeneration = 0;
    this->leadershipToken = std::make_shared<bool>(true);
    this->views.clear();
    this->proposedFinishes.clear();
    for (auto const& [id, profile] : roster.all())
        this->addView(profile, roster.isSettled(id));
    this->jobs.forEachLiveAttempt([this](TaskRef const& task, TaskRecord const& record, Attempt const& attempt) { this->inheritAttempt(task, record, attempt); });
    this->reportTakeOver();
    this->endedJobs.lead();
}

/// The generation is higher than that of an earlier view of the same worker. This leader or an earlier one may have sent orders to a
/// former process before it learned of the present one.
void Dispatcher::addView(WorkerProfile const& profile, bool isSettled)
{
    TimePoint const now = this->clock.now();
    WorkerView& view = this->views.emplace(profile.id, WorkerView(profile, now)).first->second;
    view.generation = ++this->lastGeneration;
    view.isSettled = isSettled;
    auto const change = this->processChanges.find(profile.id, now);
    view.mayReceiveFormerOrders = change || !isSettled;
    if (!change)
        return;
    view.formerOrdersLeaseEnd = *change + this->times.orderTimeout + this->times.longestLeaseOnSlowClock();
    this->reportFormerOrders(view, "earlier process");
}

/// Takes over an attempt that an earlier leader committed.
void Dispatcher::inheritAttempt(TaskRef const& task, TaskRecord const& record, Attempt const& attempt)
{
    WorkerView* view = this->findWorker(attempt.worker);
    if (!view) {
        this->reportConcludedWithoutWorker(task, attempt.number, attempt.worker, true);
        this->hooks.proposeEnd({ task, attempt.number, attempt.worker, AttemptEnd::Lost, std::string() });
        return;
    }
    PlacedAttempt& placed = this->reserve(*view, task, attempt.number);
    placed.phase = PlacedAttempt::Phase::Starting;
    placed.isInherited = true;
    placed.placedAt.reset();
    view->settleStart(placed);
    placed.checkpoint = record.checkpoint;
    // The worker's listing does not include the throttled speed; only best-effort tasks are throttled.
    if (placed.isBestEffort())
        placed.acknowledgedSpeedPercent.reset();
}

void Dispatcher::resign()
{
    this->leading = false;
    this->leadershipToken.reset();
    this->views.clear();
    this->endedJobs.resign();
}

WorkerView* Dispatcher::findWorker(WorkerId const& worker)
{
    auto const found = this->views.find(worker);
    return found == this->views.end() ? nullptr : &found->second;
}

void Dispatcher::onWorkerChanged(WorkerProfile const& profile, bool isOtherProcess)
{
    if (isOtherProcess)
        this->processChanges.note(profile.id, this->clock.now());
    if (!this->leading)
        return;
    WorkerView* view = this->findWorker(profile.id);
    if (!view) {
        this->addView(profile, !isOtherProcess);
        this->events.emit(Event(EventId::WorkerJoined).with("worker", profile.id).with("dataCentre", profile.dataCentre).with("rack", profile.rack).with("bornMs", profile.bornMs));
        return;
    }
    if (view->profile.bornMs > profile.bornMs)
        return; // The worker has listed as a later process since this was announced.
    view->isSettled &= !isOtherProcess;
    bool const isNewIncarnation = view->profile.bornMs != profile.bornMs;
    bool const isElsewhere = view->profile.address != profile.address;
    if (profile.isDraining && !view->profile.isDraining)
        this->events.emit(Event(EventId::DrainChanged).with("worker", profile.id).with("draining", 1));
    view->profile = profile;
    view->noteChange();
    if (isNewIncarnation) {
        this->events.emit(Event(EventId::WorkerJoined).with("worker", profile.id).with("bornMs", profile.bornMs).with("reason", "came back under the old id"));
        this->onNewIncarnation(*view, "announcement");
    } else if (isElsewhere) {
        view->noteAddressChange(this->clock.now());
    }
    this->hooks.onCapacityChanged();
}

void Dispatcher::onWorkerRemoved(WorkerId const& worker)
{
    this->processChanges.note(worker, this->clock.now());
    if (!this->leading)
        return;
    this->events.emit(Event(EventId::WorkerLost).with("worker", worker).with("reason", "removed"));
    auto const found = this->views.find(worker);
    if (found == this->views.end())
        return;
    this->concludeAll(found->second, "worker removed");
    this->views.erase(found);
}

void Dispatcher::onWorkerSettled(WorkerId const& worker)
{
    WorkerView* view = this->findWorker(worker);
    if (view && view->mayReceiveFormerOrders)
        return; // There is a later process by now than the one that was settled.
    this->processChanges.forget(worker);
    if (view)
        view->isSettled = true;
}

void Dispatcher::onWorkerAnnounced(WorkerId const& worker)
{
    if (WorkerView* view = this->findWorker(worker))
        view->lastAnnouncedAt = this->clock.now();
}

PlacedAttempt& Dispatcher::reserve(WorkerView& worker, TaskRef const& task, AttemptNumber attempt, std::optional<unsigned> startSpeedPercent)
{
    PlacedAttempt placed;
    placed.task = task;
    placed.number = attempt;
    placed.placedAt = this->clock.now();
    placed.stage = &this->jobs.findSpec(task.job)->stages[task.stage];
    placed.image = this->imageIds.idOf(placed.stage->image);
    placed.isThrottledStart = startSpeedPercent.has_value();
    placed.targetSpeedPercent = startSpeedPercent.value_or(placed.targetSpeedPercent);
    return worker.place(std::move(placed));
}

void Dispatcher::onEndApplied(CommitEnd const& end)
{
    if (!this->leading)
        return;
    if (end.end == AttemptEnd::Done)
        this->proposedFinishes.erase(end.task);
    WorkerView* view = this->findWorker(end.worker);
    PlacedAttempt const* ended = view ? view->find(end.task, end.attempt) : nullptr;
    this->endedJobs.onEndApplied(end, ended);
    if (ended && ended->isBestEffort())
        view->bestEffortLeftAt = this->clock.now();
    // First, so that the attempt's record does not outlive the job's, whatever the orders below meet.
    if (view)
        view->remove({ end.task, end.attempt });
    if (end.end == AttemptEnd::Done)
        this->stopCopies(end.task);
    if (!view)
        return;
    this->acknowledgeEnds(*view);
    this->hooks.onCapacityChanged();
    if (!view->listedEnds.empty())
        return;
    // At once: until a renewal reaches the worker, further ends there are not noticed.
    view->nextRenewalAt = this->clock.now();
    if (!view->hasHigherEpoch && this->hooks.canSendOrders())
        this->renewWhenDue(*view);
}

void Dispatcher::onTick()
{
    if (!this->leading)
        return;
    bool const canSendOrders = this->hooks.canSendOrders();
    this->endedJobs.onTick(canSendOrders);
    if (!canSendOrders)
        return;
    for (auto at = this->views.begin(); at != this->views.end();) {
        // checkWorker() may remove the worker from the map at once.
        auto const next = std::next(at);
        this->checkWorker(at->second);
        at = next;
    }
}

void Dispatcher::checkWorker(WorkerView& view)
{
    TimePoint const now = this->clock.now();
    if (view.hasHigherEpoch)
        return;
    this->renewWhenDue(view);
    if (now < view.nextCheckAt)
        return;
    view.nextCheckAt = now + attemptCheckInterval;
    if (view.openStopSince)
        this->noteOpenStops(view);
    this->settleProcess(view);
    bool const isSilent = now - view.lastAnswerAt > this->times.silenceTimeout;
    if (isSilent && view.isLeaseExpired(now, this->times)) {
        this->onLeaseExpired(view);
        return;
    }
    this->checkOrphanedAttempts(view);
    this->checkAttempts(view);
}

void Dispatcher::checkAttempts(WorkerView& view)
{
    TimePoint const now = this->clock.now();
    bool const isFullCheck = now >= view.nextFullCheckAt;
    if (!isFullCheck && !view.hasOpenOrders)
        return;
    if (isFullCheck)
        view.nextFullCheckAt = now + fullCheckInterval;
    bool hasOpenOrders = false;
    for (auto& [key, attempt] : view.placed) {
        if (attempt.isEndProposed || attempt.phase == PlacedAttempt::Phase::Proposed)
            continue;
        this->attemptCheckCount++;
        if (isFullCheck && !attempt.isStopping && !this->jobs.isWanted(attempt.task, { attempt.number, view.profile.id }))
            this->stop(view, attempt);
        hasOpenOrders |= this->sendDueOrder(view, attempt);
    }
    view.hasOpenOrders = hasOpenOrders;
}

/// Sends the order that the attempt awaits, if it is due. True when it awaits one or its answer.
bool Dispatcher::sendDueOrder(WorkerView& view, PlacedAttempt& attempt)
{
    TimePoint const now = this->clock.now();
    bool const awaitsStart = attempt.phase == PlacedAttempt::Phase::Starting && !attempt.isInherited;
    bool const awaitsThrottle = attempt.targetSpeedPercent != attempt.acknowledgedSpeedPercent;
    if (attempt.isStopping && !attempt.stopOrders.isInFlight && now >= attempt.stopOrders.nextAt && view.hasListing)
        this->sendStop(view, attempt, attempt.stopOrders.nextWay());
    else if (awaitsStart && !attempt.isStopping && !attempt.isStartInFlight && now >= attempt.nextStartAt)
        this->sendStart(view, attempt);
    else if (awaitsThrottle && !attempt.isThrottleInFlight && attempt.phase == PlacedAttempt::Phase::Running)
        this->sendThrottle(view, attempt);
    return attempt.isStopping || awaitsStart || awaitsThrottle;
}

void Dispatcher::throttle(WorkerView& view, PlacedAttempt& attempt, unsigned percent)
{
    attempt.targetSpeedPercent = percent;
    view.hasOpenOrders = true;
    bool const isDue = !attempt.isThrottleInFlight && attempt.phase == PlacedAttempt::Phase::Running && percent != attempt.acknowledgedSpeedPercent;
    if (isDue && this->hooks.canSendOrders())
        this->sendThrottle(view, attempt);
}

void Dispatcher::sendThrottle(WorkerView& view, PlacedAttempt& attempt)
{
    attempt.isThrottleInFlight = true;
    unsigned const percent = attempt.targetSpeedPercent;
    ThrottleOrder const order { attempt.task, attempt.number, percent, this->orderEpoch(view) };
    this->orders.throttle(view.target(), order, this->ifStillLeading([this, worker = view.profile.id, key = AttemptKey { attempt.task, attempt.number }, percent, generation = view.generation](OrderAnswer const& answer) {
        WorkerView* answering = this->findWorker(worker);
        PlacedAttempt* throttled = answering ? answering->find(key) : nullptr;
        if (!throttled)
            return;
        throttled->isThrottleInFlight = false;
        if (answering->generation != generation)
            return; // Another process of the worker has carried it out, or none.
        if (answer.result == OrderResult::Accepted) {
            throttled->acknowledgedSpeedPercent = percent;
            throttled->throttleConfirmedAt = this->clock.now();
            return;
        }
        this->events.emit(Event(EventId::OrderFailed).with("order", "throttle").with("task", key.first.text()).with("worker", worker).with("result", std::string(orderResultName(answer.result))));
    }));
}

} // namespace cornelpond
