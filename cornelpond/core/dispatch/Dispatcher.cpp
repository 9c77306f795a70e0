#include "cornelpond/core/dispatch/Dispatcher.h"

#include <algorithm>
#include <utility>

namespace cornelpond {

namespace {

    constexpr unsigned maxStartOrders = 3; ///< Per attempt; then the attempt is withdrawn and its task placed again.
    constexpr Duration startRetryDelay = Duration::milliseconds(100);
    constexpr Duration stopRetryDelay = Duration::milliseconds(500); ///< Workers take up to 400 to 900 ms to stop a task.
    constexpr Duration attemptCheckInterval = Duration::milliseconds(50);
    /// Attempts that await no order are checked this often, in case one is not wanted any more.
    constexpr Duration fullCheckInterval = Duration::milliseconds(500);
    constexpr Duration startRefusedPause = Duration::milliseconds(300);
    constexpr Duration uncommittedEndsRenewalDelay = Duration::milliseconds(100); ///< Between renewals while listed ends await their commit.
    constexpr uint64_t generationsPerEpoch = uint64_t(1) << 20U; ///< Keeps the epochs of orders below 2^53, which JSON numbers hold exactly.
    constexpr Duration clockReversalThreshold = Duration::milliseconds(500); ///< A steady clock that is further back belongs to a new incarnation of the worker.

    /// The way of the next order that awaits no renewal: by turns, as a route or a pooled connection may fail without notice.
    StopWay nextStopWay(StopProgress const& progress)
    {
        return progress.sent % 2 ? StopWay::OtherRoute : StopWay::Usual;
    }

} // namespace

Dispatcher::Dispatcher(Clock const& clock, EventSink& events, WorkerOrders& orders, DispatchTimes times, JobTable const& jobs, DispatcherHooks hooks)
    : clock(clock)
    , events(events)
    , orders(orders)
    , times(times)
    , jobs(jobs)
    , hooks(std::move(hooks))
{
}

Dispatcher::~Dispatcher() = default;

/// Wraps the handler of an answer so that answers that arrive after a change of leader are dropped.
template <typename Handler>
WorkerOrders::Done Dispatcher::ifStillLeading(Handler handler)
{
    return [token = WeakLeadershipToken(this->leadershipToken), handler = std::move(handler)](OrderAnswer const& answer) {
        if (!token.expired())
            handler(answer);
    };
}

void Dispatcher::lead(Term newEpoch, WorkerRoster const& roster)
{
    this->leading = true;
    this->epoch = newEpoch;
    this->lastGeneration = 0;
    this->leadershipToken = std::make_shared<bool>(true);
    this->views.clear();
    this->proposedFinishes.clear();
    for (auto const& [id, profile] : roster.all())
        this->addView(profile);
    this->jobs.forEachLiveAttempt([this](TaskRef const& task, TaskRecord const& record, Attempt const& attempt) { this->inheritAttempt(task, record, attempt); });
    this->reportTakeOver();
}

void Dispatcher::noteProcessChange(WorkerId const& worker)
{
    TimePoint const now = this->clock.now();
    for (auto at = this->processChanges.begin(); at != this->processChanges.end();)
        at = now - at->second > this->times.maxOrderDelay ? this->processChanges.erase(at) : std::next(at);
    this->processChanges[worker] = now;
}

/// The generation is higher than that of an earlier view of the same worker. This leader or an earlier one may have sent orders to a
/// former process before it learned of the present one.
void Dispatcher::addView(WorkerProfile const& profile)
{
    TimePoint const now = this->clock.now();
    WorkerView& view = this->views.emplace(profile.id, WorkerView(profile, now)).first->second;
    view.generation = ++this->lastGeneration;
    auto const change = this->processChanges.find(profile.id);
    if (change == this->processChanges.end() || now - change->second > this->times.maxOrderDelay)
        return;
    view.mayReceiveFormerOrders = true;
    view.formerOrdersLeaseEnd = change->second + this->times.orderTimeout + this->times.longestLeaseOnSlowClock();
    this->reportFormerOrders(view, "earlier process");
}

Term Dispatcher::orderEpoch(WorkerView const& view) const
{
    return Term(this->epoch.value() * generationsPerEpoch + std::min(view.generation, generationsPerEpoch - 1));
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
}

WorkerView* Dispatcher::findWorker(WorkerId const& worker)
{
    auto const found = this->views.find(worker);
    return found == this->views.end() ? nullptr : &found->second;
}

void Dispatcher::onWorkerChanged(WorkerProfile const& profile, bool isOtherProcess)
{
    if (isOtherProcess)
        this->noteProcessChange(profile.id);
    if (!this->leading)
        return;
    WorkerView* view = this->findWorker(profile.id);
    if (!view) {
        this->addView(profile);
        this->events.emit(Event(EventId::WorkerJoined).with("worker", profile.id).with("dataCentre", profile.dataCentre).with("rack", profile.rack).with("bornMs", profile.bornMs));
        return;
    }
    if (view->profile.bornMs > profile.bornMs)
        return; // The worker has listed as a later process since this was announced.
    bool const isNewIncarnation = view->profile.bornMs != profile.bornMs;
    if (profile.isDraining && !view->profile.isDraining)
        this->events.emit(Event(EventId::DrainChanged).with("worker", profile.id).with("draining", 1));
    view->profile = profile;
    view->noteChange();
    if (isNewIncarnation) {
        this->events.emit(Event(EventId::WorkerJoined).with("worker", profile.id).with("bornMs", profile.bornMs).with("reason", "came back under the old id"));
        this->onNewIncarnation(*view, "announcement");
    }
    this->hooks.onCapacityChanged();
}

void Dispatcher::onWorkerRemoved(WorkerId const& worker)
{
    this->noteProcessChange(worker);
    if (!this->leading)
        return;
    this->events.emit(Event(EventId::WorkerLost).with("worker", worker).with("reason", "removed"));
    auto const found = this->views.find(worker);
    if (found == this->views.end())
        return;
    this->concludeAll(found->second, "worker removed");
    this->views.erase(found);
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

void Dispatcher::onStartApplied(CommitStart const& start)
{
    if (!this->leading) {
        this->reportFurtherAttempt(start);
        return;
    }
    WorkerView* view = this->findWorker(start.worker);
    if (!view) {
        this->reportConcludedWithoutWorker(start.task, start.attempt, start.worker, false);
        this->hooks.proposeEnd({ start.task, start.attempt, start.worker, AttemptEnd::Lost, std::string() });
        return;
    }
    AttemptKey const key { start.task, start.attempt };
    PlacedAttempt* attempt = view->find(key);
    if (!attempt)
        attempt = &this->reserve(*view, start.task, start.attempt);
    attempt->phase = PlacedAttempt::Phase::Starting;
    view->hasOpenOrders = true;
    attempt->checkpoint = this->jobs.findTask(start.task)->checkpoint;
    this->sendStart(*view, *attempt);
}

void Dispatcher::onStartRefused(CommitStart const& start)
{
    WorkerView* view = this->leading ? this->findWorker(start.worker) : nullptr;
    PlacedAttempt const* attempt = view ? view->find({ start.task, start.attempt }) : nullptr;
    // The log may hold the same start twice: the second is refused, but the first has taken effect.
    if (attempt && attempt->phase == PlacedAttempt::Phase::Proposed)
        view->remove({ start.task, start.attempt });
}

void Dispatcher::onEndApplied(CommitEnd const& end)
{
    if (!this->leading)
        return;
    if (end.end == AttemptEnd::Done) {
        this->proposedFinishes.erase(end.task);
        this->stopCopies(end.task);
    }
    WorkerView* view = this->findWorker(end.worker);
    if (!view)
        return;
    PlacedAttempt const* ended = view->find(end.task, end.attempt);
    if (ended && ended->isBestEffort())
        view->bestEffortLeftAt = this->clock.now();
    view->remove({ end.task, end.attempt });
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
    if (!this->leading || !this->hooks.canSendOrders())
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
        this->sendStop(view, attempt, nextStopWay(attempt.stopOrders));
    else if (awaitsStart && !attempt.isStopping && !attempt.isStartInFlight && now >= attempt.nextStartAt)
        this->sendStart(view, attempt);
    else if (awaitsThrottle && !attempt.isThrottleInFlight && attempt.phase == PlacedAttempt::Phase::Running)
        this->sendThrottle(view, attempt);
    return attempt.isStopping || awaitsStart || awaitsThrottle;
}

void Dispatcher::checkOrphanedAttempts(WorkerView& view)
{
    TimePoint const now = this->clock.now();
    for (auto at = view.orphanedAttempts.begin(); at != view.orphanedAttempts.end();) {
        if (!at->second.stopOrders.isInFlight && now >= at->second.stopOrders.nextAt && view.hasListing)
            this->stopOrphanedAttempt(view, at->first, at->second, nextStopWay(at->second.stopOrders));
        bool const isOver = !at->second.isListed && now >= at->second.forgetAt;
        at = isOver ? view.orphanedAttempts.erase(at) : std::next(at);
    }
}

/// The worker has killed all attempts that ran there when their lease expired.
void Dispatcher::onLeaseExpired(WorkerView& view)
{
    TimePoint const now = this->clock.now();
    if (this->concludeAll(view, "lease over"))
        this->events.emit(Event(EventId::WorkerLost).with("worker", view.profile.id).with("reason", "lease over").with("silentMs", now - view.lastAnswerAt));
    constexpr int64_t removeAfterLeases = 3; // A worker is removed after this many leases without an answer or announcement.
    Duration const silence = now - std::max(view.lastAnswerAt, view.lastAnnouncedAt);
    if (view.placed.empty() && silence > this->times.leaseDuration * removeAfterLeases) {
        view.nextCheckAt = now + this->times.leaseDuration;
        this->hooks.removeWorker(view.profile);
    }
}

Dispatcher::SendContext Dispatcher::sendContext(WorkerView const& view) const
{
    TimePoint const now = this->clock.now();
    return { view.generation, view.profile.bornMs, view.hasClock ? view.estimatedClock(now) : Duration(), now };
}

void Dispatcher::renewWhenDue(WorkerView& view)
{
    TimePoint const now = this->clock.now();
    if (!view.isRenewalInFlight && now >= view.nextRenewalAt && now >= view.renewalHeldUntil)
        this->sendRenewal(view);
}

void Dispatcher::sendRenewal(WorkerView& view)
{
    TimePoint const now = this->clock.now();
    bool const isSilent = now - view.lastAnswerAt > this->times.silenceTimeout;
    this->acknowledgeEnds(view);
    RenewOrder order;
    order.epoch = this->orderEpoch(view);
    order.acknowledgedEnds = view.acknowledgedEnds > view.deliveredAcknowledgedEnds ? view.acknowledgedEnds : 0;
    order.processBornMs = view.listingBornMs;
    order.extendsLease = view.hasClock && !isSilent && !view.consecutiveRenewalFailures;
    order.maxWait = view.hasListing && !view.mayReceiveFormerOrders && !view.consecutiveRenewalFailures && view.listedEnds.empty() ? this->times.longPollWait : Duration();
    this->noteOpenStops(view);
    TimePoint const leaseBase = view.leaseBase(now);
    order.extendsLease &= leaseBase + this->times.leaseDuration > now;
    if (order.extendsLease) {
        order.leaseUntil = view.estimatedClock(leaseBase) + this->times.leaseDuration;
        view.lastLeaseExtensionAt = std::max(view.lastLeaseExtensionAt, leaseBase);
    }
    view.isRenewalInFlight = true;
    this->orders.renew(view.target(), order, [this, token = WeakLeadershipToken(this->leadershipToken), worker = view.profile.id, sent = this->sendContext(view)](RenewAnswer const& answer) {
        if (!token.expired())
            this->onRenewalAnswered(worker, sent, answer);
    });
}

void Dispatcher::onRenewalAnswered(WorkerId const& worker, SendContext const& sent, RenewAnswer const& answer)
{
    WorkerView* view = this->findWorker(worker);
    if (!view)
        return;
    view->isRenewalInFlight = false;
    if (answer.order.result != OrderResult::Accepted) {
        this->onRenewalFailed(*view, sent.generation, answer.order.result);
        return;
    }
    bool const isFromOldIncarnation = view->generation != sent.generation && answer.listing.bornMs == sent.bornMs;
    if (isFromOldIncarnation) {
        view->nextRenewalAt = this->clock.now();
        return;
    }
    if (view->consecutiveRenewalFailures)
        this->events.emit(Event(EventId::WorkerReached).with("worker", worker).with("silentMs", this->clock.now() - view->lastAnswerAt));
    if (view->generation == sent.generation)
        view->deliveredAcknowledgedEnds = std::max(view->deliveredAcknowledgedEnds, answer.acknowledgedEnds);
    this->updateClock(*view, answer.order, answer.listing.bornMs);
    this->handleListing(*view, sent, answer.listing);
}

void Dispatcher::onRenewalFailed(WorkerView& view, uint64_t generation, OrderResult result)
{
    TimePoint const now = this->clock.now();
    this->countRefused(view, generation, result);
    if (view.generation != generation) {
        if (result == OrderResult::RefusedEpoch)
            this->events.emit(Event(EventId::OrderFailed).with("order", "renewal").with("worker", view.profile.id).with("result", std::string(orderResultName(result))).with("formerProcess", 1));
        view.nextRenewalAt = now; // The renewal was sent to an earlier incarnation, and tells nothing of this one.
        return;
    }
    if (result == OrderResult::RefusedEpoch) {
        this->onHigherEpoch(view);
        return;
    }
    if (result == OrderResult::OtherLife) {
        this->removeReplacedWorker(view);
        return;
    }
    if (!view.consecutiveRenewalFailures)
        this->events.emit(Event(EventId::WorkerSilent).with("worker", view.profile.id).with("result", std::string(orderResultName(result))).with("sinceAnswerMs", now - view.lastAnswerAt));
    view.consecutiveRenewalFailures++;
    view.nextRenewalAt = now + std::min(this->times.minRetryDelay * static_cast<int64_t>(view.consecutiveRenewalFailures), this->times.maxRetryDelay);
}

/// The worker has seen a higher epoch and refuses this leader's orders: sends it no more.
void Dispatcher::onHigherEpoch(WorkerView& view)
{
    if (view.hasHigherEpoch)
        return;
    view.hasHigherEpoch = true;
    this->events.emit(Event(EventId::WorkerSuperseded).with("worker", view.profile.id).with("epoch", this->epoch));
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
    this->noteProcessChange(view.profile.id);
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

void Dispatcher::handleListing(WorkerView& view, SendContext const& sent, WorkerListing const& listing)
{
    TimePoint const now = this->clock.now();
    if (listing.bornMs && view.profile.bornMs && listing.bornMs != view.profile.bornMs) {
        view.profile.bornMs = listing.bornMs;
        this->onNewIncarnation(view, "listing");
    }
    bool const hasSeenGeneration = view.generation == sent.generation;
    if (hasSeenGeneration && view.mayReceiveFormerOrders) {
        view.noteGenerationSeen(now, this->times);
        this->reportFormerOrders(view, "first answer");
    }
    bool const isFirst = !view.hasListing;
    view.hasListing = true;
    view.listingBornMs = listing.bornMs;
    view.consecutiveRenewalFailures = 0;
    view.lastAnswerAt = now;
    this->handleRunningAttempts(view, listing);
    this->handleListedEnds(view, listing);
    // Until the process has seen the present generation, it may still accept a start for a former one.
    if (listing.isComplete && hasSeenGeneration)
        this->concludeMissing(view, sent.at);
    this->acknowledgeEnds(view);
    view.nextRenewalAt = view.listedEnds.empty() ? now : now + uncommittedEndsRenewalDelay;
    view.renewalHeldUntil = now + this->times.orderTimeout; // Set before the stop is sent: it may end at once.
    if (!this->sendOverdueStop(view))
        view.renewalHeldUntil = now;
    this->hooks.onListingRead(view);
    if (isFirst)
        this->hooks.onCapacityChanged();
}

void Dispatcher::handleRunningAttempts(WorkerView& view, WorkerListing const& listing)
{
    TimePoint const now = this->clock.now();
    for (auto& [key, orphan] : view.orphanedAttempts)
        orphan.isListed = false;
    view.listingCount++;
    for (auto const& row : listing.running) {
        PlacedAttempt* attempt = view.find(row.task, row.attempt);
        if (!attempt || attempt->phase == PlacedAttempt::Phase::Proposed) {
            auto const [orphan, isNew] = view.orphanedAttempts.try_emplace({ row.task, row.attempt });
            orphan->second.isListed = true;
            if (isNew)
                this->events.emit(Event(EventId::StrayAttempt).with("worker", view.profile.id).with("task", row.task.text()).with("attempt", row.attempt));
            continue;
        }
        if (attempt->phase != PlacedAttempt::Phase::Running) {
            attempt->phase = PlacedAttempt::Phase::Running;
            attempt->confirmedAt = now;
        }
        view.settleStart(*attempt);
        attempt->lastListing = view.listingCount;
        attempt->isInherited = false;
        attempt->progressPercent = row.progressPercent;
        attempt->latencyMsOrMilliCores = row.latencyMsOrMilliCores;
        if (!row.checkpoint.empty())
            attempt->checkpoint = row.checkpoint;
    }
}

void Dispatcher::handleListedEnds(WorkerView& view, WorkerListing const& listing)
{
    view.listedEnds.clear();
    for (auto const& end : listing.ended) {
        if (end.number <= view.acknowledgedEnds) {
            view.deliveredAcknowledgedEnds = 0; // The acknowledgement was lost; send it again.
            continue;
        }
        view.listedEnds.push_back(end);
        PlacedAttempt* attempt = view.find(end.task, end.attempt);
        if (attempt && attempt->phase != PlacedAttempt::Phase::Proposed) {
            this->proposeEnd(view, *attempt, end.end, end.checkpoint.empty() ? attempt->checkpoint : end.checkpoint);
        } else if (!attempt && this->isLateFinish(end)) {
            this->proposedFinishes.insert(end.task);
            this->hooks.proposeEnd({ end.task, end.attempt, view.profile.id, end.end, end.checkpoint });
        }
    }
}

/// True when the attempt was concluded while its worker could not be reached, but finished its task there.
bool Dispatcher::isLateFinish(ListedEnd const& end) const
{
    return end.end == AttemptEnd::Done && this->jobs.canFinishLate(end.task, end.attempt);
}

/// Concludes attempts that are missing from the worker's latest listing and cannot run any more.
void Dispatcher::concludeMissing(WorkerView& view, TimePoint sentAt)
{
    for (auto& [key, attempt] : view.placed) {
        if (attempt.isEndProposed || attempt.lastListing == view.listingCount || !canConclude(attempt, sentAt))
            continue;
        this->conclude(view, attempt, AttemptEnd::Lost, "not listed");
    }
}

/// Whether an attempt that is missing from a listing can never run again. `sentAt`: when the listing was requested.
bool Dispatcher::canConclude(PlacedAttempt const& attempt, TimePoint sentAt)
{
    if (attempt.phase == PlacedAttempt::Phase::Proposed)
        return false;
    if (attempt.stopConfirmedAt)
        return *attempt.stopConfirmedAt <= sentAt;
    if (attempt.isStartUncertain || attempt.isStartInFlight)
        return false;
    bool const isConfirmed = attempt.phase == PlacedAttempt::Phase::Running;
    // The worker has seen this leader's epoch, so it refuses starts that earlier leaders sent; what an earlier
    // incarnation of the worker ran has ended with it. But this incarnation may have accepted a start meanwhile.
    if (attempt.isInherited)
        return !isConfirmed || attempt.confirmedAt < sentAt;
    return isConfirmed && attempt.confirmedAt < sentAt;
}

/// Acknowledges listed ends, in their order, so that the worker may drop them: those that are committed or belong to
/// an attempt that had ended before. An end as done must stay listed while another attempt of its task is live: the
/// start order of that attempt may still be in flight.
void Dispatcher::acknowledgeEnds(WorkerView& view)
{
    auto const isOpen = [&](ListedEnd const& end) {
        bool const hasLiveAttempt = end.end == AttemptEnd::Done && this->jobs.hasLiveNonServiceAttempt(end.task);
        return hasLiveAttempt || this->jobs.isLive(end.task, { end.attempt, view.profile.id }) || this->isLateFinish(end);
    };
    auto const firstOpen = std::find_if(view.listedEnds.begin(), view.listedEnds.end(), isOpen);
    if (firstOpen != view.listedEnds.begin())
        view.acknowledgedEnds = std::max(view.acknowledgedEnds, std::prev(firstOpen)->number);
    view.listedEnds.erase(view.listedEnds.begin(), firstOpen);
}

void Dispatcher::sendStart(WorkerView& view, PlacedAttempt& attempt)
{
    TimePoint const now = this->clock.now();
    if (!this->jobs.isWanted(attempt.task, { attempt.number, view.profile.id })) {
        if (!attempt.startsSent)
            this->conclude(view, attempt, AttemptEnd::Refused, "not started");
        else
            this->stop(view, attempt);
        return;
    }
    // A start that was committed before the end as done must not follow it to the workers.
    if (this->proposedFinishes.count(attempt.task) || !view.hasClock || !this->hooks.canSendOrders() || view.isStopOverdue(now, this->times)) {
        attempt.nextStartAt = now + startRetryDelay;
        return;
    }
    StartOrder order;
    order.task = attempt.task;
    order.attempt = attempt.number;
    order.payload = this->jobs.find(attempt.task.job)->spec.payload;
    TimePoint const leaseBase = view.leaseBase(now);
    order.leaseUntil = view.estimatedClock(leaseBase) + this->times.leaseDuration;
    order.epoch = this->orderEpoch(view);
    order.checkpoint = attempt.stage->savesCheckpoints ? attempt.checkpoint : std::string();
    order.permit = this->hooks.permitFor(attempt.task, view.profile.id);
    order.processBornMs = view.listingBornMs;
    view.lastLeaseExtensionAt = std::max(view.lastLeaseExtensionAt, leaseBase);
    attempt.startsSent++;
    attempt.isStartInFlight = true;
    this->orders.start(view.target(), order, this->ifStillLeading([this, worker = view.profile.id, sent = this->sendContext(view), key = AttemptKey { attempt.task, attempt.number }](OrderAnswer const& answer) {
        this->onStartAnswered(worker, sent, key, answer);
    }));
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

void Dispatcher::onStartAnswered(WorkerId const& worker, SendContext const& sent, AttemptKey const& key, OrderAnswer const& answer)
{
    WorkerView* view = this->findWorker(worker);
    this->processTotals.startsNotSent += answer.result == OrderResult::OtherProcess;
    if (view) {
        this->countRefused(*view, sent.generation, answer.result);
        this->reportAnsweringProcess(*view, key, sent, answer);
        this->checkAnsweringProcess(*view, sent, answer);
    }
    PlacedAttempt* attempt = view ? view->find(key) : nullptr;
    if (!attempt)
        return;
    attempt->isStartInFlight = false;
    view->settleStart(*attempt);
    view->hasOpenOrders = true;
    bool const isFromOldIncarnation = view->generation != sent.generation;
    if (!isFromOldIncarnation)
        this->updateClock(*view, answer, view->profile.bornMs);
    if (answer.result != OrderResult::Accepted) {
        this->events.emit(Event(EventId::AttemptRefused)
                              .with("task", key.first.text())
                              .with("attempt", key.second)
                              .with("worker", worker)
                              .with("result", std::string(orderResultName(answer.result)))
                              .with("starts", attempt->startsSent)
                              .with("formerProcess", static_cast<int>(isFromOldIncarnation)));
    }
    if (attempt->isEndProposed)
        return;
    // Why an earlier incarnation did not carry out the order tells nothing of this one: not that it is replaced or superseded,
    // nor that the attempt is closed there.
    bool const mayBeCarriedOut = answer.result == OrderResult::Accepted || answer.result == OrderResult::Unknown;
    this->handleStartAnswer(*view, *attempt, isFromOldIncarnation && !mayBeCarriedOut ? OrderResult::NotDone : answer.result);
}

void Dispatcher::handleStartAnswer(WorkerView& view, PlacedAttempt& attempt, OrderResult result)
{
    TimePoint const now = this->clock.now();
    switch (result) {
    case OrderResult::Accepted:
        if (this->hooks.onStartAccepted)
            this->hooks.onStartAccepted(attempt.task);
        if (attempt.phase == PlacedAttempt::Phase::Starting) {
            attempt.phase = PlacedAttempt::Phase::Running;
            attempt.confirmedAt = now;
        }
        return;
    case OrderResult::RefusedOld:
        // The attempt ended there or was stopped; the listing shows which.
        attempt.isStopping = true;
        attempt.stopConfirmedAt = now;
        attempt.stopOrders.isConfirmed = true;
        attempt.stopOrders.nextAt = TimePoint::infiniteFuture();
        return;
    case OrderResult::RefusedRoom:
    case OrderResult::RefusedPermit:
    case OrderResult::Invalid:
        if (result == OrderResult::RefusedPermit)
            this->hooks.onPermitRefused(attempt.task, view.profile.id);
        else
            view.startsPausedUntil = now + startRefusedPause;
        if (attempt.isStartUncertain)
            this->stop(view, attempt);
        else
            this->conclude(view, attempt, AttemptEnd::Refused, "not started");
        return;
    case OrderResult::RefusedEpoch:
        this->onHigherEpoch(view);
        return;
    case OrderResult::OtherLife:
        this->removeReplacedWorker(view);
        return;
    case OrderResult::Unknown:
        attempt.isStartUncertain = true;
        this->retryOrWithdrawStart(view, attempt);
        return;
    case OrderResult::OtherProcess:
    case OrderResult::RefusedLate:
    case OrderResult::NotDone:
    case OrderResult::NotSent:
        this->retryOrWithdrawStart(view, attempt);
        return;
    }
}

void Dispatcher::retryOrWithdrawStart(WorkerView& view, PlacedAttempt& attempt)
{
    attempt.nextStartAt = this->clock.now() + startRetryDelay;
    // A start sent to an earlier incarnation of the worker is not sent again.
    if (attempt.startsSent < maxStartOrders && !attempt.isInherited)
        return;
    view.startsPausedUntil = this->clock.now() + startRefusedPause;
    if (attempt.isStartUncertain)
        this->stop(view, attempt);
    else
        this->conclude(view, attempt, AttemptEnd::Refused, "not started");
}

void Dispatcher::stop(WorkerView& view, PlacedAttempt& attempt)
{
    if (attempt.isStopping || attempt.isEndProposed || attempt.phase == PlacedAttempt::Phase::Proposed)
        return;
    attempt.isStopping = true;
    view.hasOpenOrders = true;
    if (view.hasListing && this->hooks.canSendOrders())
        this->sendStop(view, attempt, nextStopWay(attempt.stopOrders));
}

void Dispatcher::stopUnwanted(JobId const& job)
{
    this->jobs.forEachLiveAttemptOf(job, [this](TaskRef const& task, TaskRecord const&, Attempt const& attempt) { this->stopIfUnwanted(task, attempt); });
}

/// Stops the other attempts of a task that is done.
void Dispatcher::stopCopies(TaskRef const& task)
{
    TaskRecord const* record = this->jobs.findTask(task);
    if (!record)
        return;
    for (auto const& attempt : record->liveAttempts)
        this->stopIfUnwanted(task, attempt);
}

void Dispatcher::stopIfUnwanted(TaskRef const& task, Attempt const& attempt)
{
    WorkerView* view = this->jobs.isWanted(task, attempt) ? nullptr : this->findWorker(attempt.worker);
    PlacedAttempt* placed = view ? view->find(task, attempt.number) : nullptr;
    if (placed)
        this->stop(*view, *placed);
}

/// Counts a stop order that is sent now, and logs it unless it is the first one or one was confirmed.
void Dispatcher::noteStopSent(WorkerView& view, AttemptKey const& key, StopProgress& progress, StopWay way)
{
    TimePoint const now = this->clock.now();
    if (!progress.sent)
        progress.firstSentAt = now;
    else if (!progress.isConfirmed) {
        this->stopTotals.repeated++;
        this->events.emit(Event(EventId::StopRepeated)
                              .with("task", key.first.text())
                              .with("attempt", key.second)
                              .with("worker", view.profile.id)
                              .with("sent", progress.sent)
                              .with("way", std::string(stopWayName(way)))
                              .with("lastResult", std::string(orderResultName(progress.lastResult)))
                              .with("ageMs", now - progress.firstSentAt));
    }
    progress.sent++;
    progress.isInFlight = true;
    progress.nextAt = now + stopRetryDelay;
    if (progress.sent == 1 || way == StopWay::RenewalConnection)
        progress.nextOnRenewalConnectionAt = now + stopRetryDelay;
    this->stopTotals.sent++;
    if (!view.openStopSince)
        view.openStopSince = progress.firstSentAt;
}

void Dispatcher::sendStop(WorkerView& view, PlacedAttempt& attempt, StopWay way)
{
    this->noteStopSent(view, { attempt.task, attempt.number }, attempt.stopOrders, way);
    StopOrder const order { attempt.task, attempt.number, this->orderEpoch(view), way };
    this->orders.stop(view.target(), order, this->ifStillLeading([this, worker = view.profile.id, sent = this->sendContext(view), way, key = AttemptKey { attempt.task, attempt.number }](OrderAnswer const& answer) {
        WorkerView* answering = this->findWorker(worker);
        if (!answering)
            return;
        this->checkAnsweringProcess(*answering, sent, answer);
        PlacedAttempt* stopped = answering->find(key);
        if (!stopped) {
            this->releaseRenewal(*answering, way);
            return;
        }
        if (answer.result == OrderResult::Accepted && !stopped->stopConfirmedAt && answering->generation == sent.generation) {
            stopped->stopConfirmedAt = this->clock.now();
            if (stopped->stopOrders.sent)
                this->stopTotals.confirmationTime.observe(*stopped->stopConfirmedAt - stopped->stopOrders.firstSentAt);
        }
        this->onStopAnswered(*answering, stopped->stopOrders, way, sent.generation, answer.result);
        if (answering->generation != sent.generation)
            return; // This incarnation may still carry out a start order that the earlier one never got.
        if (answer.result == OrderResult::OtherLife)
            this->removeReplacedWorker(*answering);
        else if (answer.result == OrderResult::RefusedEpoch)
            this->onHigherEpoch(*answering);
    }));
}

void Dispatcher::stopOrphanedAttempt(WorkerView& view, AttemptKey const& key, OrphanedAttempt& orphan, StopWay way)
{
    this->noteStopSent(view, key, orphan.stopOrders, way);
    this->orders.stop(view.target(), { key.first, key.second, this->orderEpoch(view), way }, this->ifStillLeading([this, worker = view.profile.id, sent = this->sendContext(view), way, key](OrderAnswer const& answer) {
        WorkerView* answering = this->findWorker(worker);
        if (!answering)
            return;
        this->checkAnsweringProcess(*answering, sent, answer);
        auto const found = answering->orphanedAttempts.find(key);
        if (found == answering->orphanedAttempts.end()) {
            this->releaseRenewal(*answering, way);
            return;
        }
        if (answer.result == OrderResult::Accepted && answering->generation == sent.generation)
            found->second.forgetAt = this->clock.now();
        this->onStopAnswered(*answering, found->second.stopOrders, way, sent.generation, answer.result);
    }));
}

/// Sends the unconfirmed stop that has waited longest for a connection of a renewal, if one is due for repetition. Call when no
/// other order to the worker uses the connection of its latest renewal. False when there is none.
bool Dispatcher::sendOverdueStop(WorkerView& view)
{
    TimePoint const now = this->clock.now();
    bool const mayHaveStops = view.hasOpenOrders || !view.orphanedAttempts.empty();
    if (!mayHaveStops || !this->hooks.canSendOrders() || view.hasHigherEpoch)
        return false;
    TimePoint dueAt = now;
    PlacedAttempt* attempt = nullptr;
    for (auto& [key, placed] : view.placed) {
        if (placed.hasUnconfirmedStop() && placed.stopOrders.nextOnRenewalConnectionAt <= dueAt) {
            attempt = &placed;
            dueAt = placed.stopOrders.nextOnRenewalConnectionAt;
        }
    }
    AttemptKey const* orphanKey = nullptr;
    for (auto const& [key, orphan] : view.orphanedAttempts) {
        if (orphan.awaitsStop() && orphan.stopOrders.nextOnRenewalConnectionAt <= dueAt) {
            orphanKey = &key;
            dueAt = orphan.stopOrders.nextOnRenewalConnectionAt;
        }
    }
    if (orphanKey)
        this->stopOrphanedAttempt(view, *orphanKey, view.orphanedAttempts.at(*orphanKey), StopWay::RenewalConnection);
    else if (attempt)
        this->sendStop(view, *attempt, StopWay::RenewalConnection);
    return orphanKey || attempt;
}

void Dispatcher::onStopAnswered(WorkerView& view, StopProgress& progress, StopWay way, uint64_t generation, OrderResult result)
{
    progress.isInFlight = false;
    progress.lastResult = result;
    this->countRefused(view, generation, result);
    bool const isAccepted = result == OrderResult::Accepted && view.generation == generation;
    progress.isConfirmed |= isAccepted;
    this->noteOpenStops(view);
    // Further stops take their turns on the connection, as long as it works and the renewal can wait.
    bool const isConnectionFree = way == StopWay::RenewalConnection && isAccepted && this->clock.now() < view.renewalHeldUntil;
    if (!isConnectionFree || !this->sendOverdueStop(view))
        this->releaseRenewal(view, way);
}

/// Lets the next renewal be sent, after a stop order that held it up was answered.
void Dispatcher::releaseRenewal(WorkerView& view, StopWay way)
{
    if (way == StopWay::RenewalConnection)
        view.renewalHeldUntil = this->clock.now();
}

void Dispatcher::noteOpenStops(WorkerView& view)
{
    TimePoint const now = this->clock.now();
    std::optional<TimePoint> const before = view.openStopSince;
    view.refreshOpenStops();
    // The lease of a silent worker is not extended anyway.
    bool const isWithheld = view.isStopOverdue(now, this->times) && !view.consecutiveRenewalFailures;
    if (isWithheld == view.isLeaseWithheld)
        return;
    view.isLeaseWithheld = isWithheld;
    this->events.emit(Event(EventId::LeaseWithheld)
                          .with("worker", view.profile.id)
                          .with("withheld", static_cast<int>(isWithheld))
                          .with("ageMs", now - view.openStopSince.value_or(before.value_or(now))));
    if (!isWithheld)
        this->hooks.onCapacityChanged();
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
    this->orders.throttle(view.target(), order, this->ifStillLeading([this, worker = view.profile.id, key = AttemptKey { attempt.task, attempt.number }, percent](OrderAnswer const& answer) {
        WorkerView* answering = this->findWorker(worker);
        PlacedAttempt* throttled = answering ? answering->find(key) : nullptr;
        if (!throttled)
            return;
        throttled->isThrottleInFlight = false;
        if (answer.result == OrderResult::Accepted) {
            throttled->acknowledgedSpeedPercent = percent;
            throttled->throttleConfirmedAt = this->clock.now();
            return;
        }
        this->events.emit(Event(EventId::OrderFailed).with("order", "throttle").with("task", key.first.text()).with("worker", worker).with("result", std::string(orderResultName(answer.result))));
    }));
}

/// Proposes an end that the worker did not list itself.
void Dispatcher::conclude(WorkerView& view, PlacedAttempt& attempt, AttemptEnd end, char const* reason)
{
    if (attempt.isEndProposed)
        return;
    TimePoint const now = this->clock.now();
    this->events.emit(Event(EventId::AttemptConcluded)
                          .with("task", attempt.task.text())
                          .with("attempt", attempt.number)
                          .with("worker", view.profile.id)
                          .with("reason", reason)
                          .with("answerAgeMs", now - view.lastAnswerAt)
                          .with("promiseAgeMs", now - view.lastLeaseExtensionAt)
                          .with("formerOrdersLeaseMs", view.formerOrdersLeaseEnd - now)
                          .with("formerOrders", static_cast<int>(view.mayReceiveFormerOrders))
                          .with("epoch", this->orderEpoch(view))
                          .with("bornMs", view.profile.bornMs)
                          .with("inherited", static_cast<int>(attempt.isInherited))
                          .with("starts", attempt.startsSent)
                          .with("stopping", static_cast<int>(attempt.isStopping)));
    this->proposeEnd(view, attempt, end, attempt.checkpoint);
}

/// Concludes every committed attempt on the worker as lost. True when the end of at least one was not proposed before.
bool Dispatcher::concludeAll(WorkerView& view, char const* reason)
{
    bool hadAttempts = false;
    for (auto& [key, attempt] : view.placed) {
        if (attempt.isEndProposed || attempt.phase == PlacedAttempt::Phase::Proposed)
            continue;
        hadAttempts = true;
        this->conclude(view, attempt, AttemptEnd::Lost, reason);
    }
    return hadAttempts;
}

void Dispatcher::proposeEnd(WorkerView& view, PlacedAttempt& attempt, AttemptEnd end, std::string const& checkpoint)
{
    if (attempt.isEndProposed)
        return;
    attempt.isEndProposed = true;
    this->hooks.proposeEnd({ attempt.task, attempt.number, view.profile.id, end, checkpoint });
}

/// Another worker answers at this one's address, so this one is gone.
void Dispatcher::removeReplacedWorker(WorkerView& view)
{
    if (view.hasHigherEpoch)
        return;
    // An announcement of a former process may have given that address, while the present one still runs what is placed there.
    if (!view.hasListing && !view.placed.empty() && !view.isLeaseExpired(this->clock.now(), this->times)) {
        view.nextRenewalAt = this->clock.now() + this->times.silenceTimeout;
        return;
    }
    constexpr char const* reason = "another worker answers at its address";
    this->events.emit(Event(EventId::WorkerLost).with("worker", view.profile.id).with("reason", reason));
    this->concludeAll(view, reason);
    view.hasListing = false;
    view.nextRenewalAt = this->clock.now() + this->times.silenceTimeout;
    this->hooks.removeWorker(view.profile);
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

void Dispatcher::reportTakeOver()
{
    size_t attempts = 0;
    for (auto const& [id, view] : this->views)
        attempts += view.placed.size();
    this->events.emit(Event(EventId::AttemptsInherited)
                          .with("attempts", attempts)
                          .with("workers", this->views.size())
                          .with("workersWithFormerOrders", this->formerOrderWorkers().mayReceive)
                          .with("epoch", this->epoch.value() * generationsPerEpoch));
}

void Dispatcher::reportFormerOrders(WorkerView const& view, char const* source)
{
    TimePoint const now = this->clock.now();
    this->events.emit(Event(EventId::FormerOrdersCounted)
                          .with("worker", view.profile.id)
                          .with("source", source)
                          .with("bornMs", view.profile.bornMs)
                          .with("epoch", this->orderEpoch(view))
                          .with("formerOrdersLeaseMs", view.formerOrdersLeaseEnd - now));
}

void Dispatcher::reportConcludedWithoutWorker(TaskRef const& task, AttemptNumber attempt, WorkerId const& worker, bool isInherited)
{
    this->events.emit(Event(EventId::AttemptConcluded)
                          .with("task", task.text())
                          .with("attempt", attempt)
                          .with("worker", worker)
                          .with("reason", "worker not known")
                          .with("inherited", static_cast<int>(isInherited)));
}

/// The leader logs each attempt when it decides on it; the other hosts keep a trace of those that replace an earlier one.
void Dispatcher::reportFurtherAttempt(CommitStart const& start)
{
    if (start.attempt > AttemptNumber(1))
        this->events.emit(Event(EventId::FurtherAttemptCommitted).with("task", start.task.text()).with("attempt", start.attempt).with("worker", start.worker));
}

void Dispatcher::reportAnsweringProcess(WorkerView const& view, AttemptKey const& key, SendContext const& sent, OrderAnswer const& answer)
{
    if (!isFromLaterProcess(sent, answer))
        return;
    this->processTotals.startsByOtherProcess++;
    this->events.emit(Event(EventId::StartByOtherProcess)
                          .with("task", key.first.text())
                          .with("attempt", key.second)
                          .with("worker", view.profile.id)
                          .with("processBornMs", sent.bornMs)
                          .with("result", std::string(orderResultName(answer.result)))
                          .with("clockMs", answer.workerClock)
                          .with("expectedClockMs", sent.workerClock)
                          .with("sinceSentMs", this->clock.now() - sent.at));
}

/// Counts an order that was refused because the worker has executed one for a later process.
void Dispatcher::countRefused(WorkerView const& view, uint64_t generation, OrderResult result)
{
    this->processTotals.ordersRefused += view.generation != generation && result == OrderResult::RefusedEpoch;
}

} // namespace cornelpond
