#include "cornelpond/core/dispatch/WorkerView.h"

#include <algorithm>

namespace cornelpond {

void StopProgress::confirm(TimePoint now)
{
    if (!this->confirmedAt)
        this->confirmedAt = now;
}

StopProgress StopProgress::begunAgain() const
{
    StopProgress next;
    if (this->isOpen()) {
        next.sent = this->sent;
        next.firstSentAt = this->firstSentAt;
    }
    return next;
}

void StopProgress::noteListed(TimePoint requestedAt)
{
    constexpr Duration maxStopTime = Duration::seconds(1); // Workers take up to 400 to 900 ms to stop a task.
    this->isOutlived |= this->confirmedAt && requestedAt - *this->confirmedAt > maxStopTime;
}

Resources PlacedAttempt::reserved() const
{
    return this->stage->reservedPerTask();
}

bool PlacedAttempt::awaitsStop(TimePoint listedAt) const
{
    // A listing that arrived since and lacks it shows that it does not run, or not yet.
    bool const mayRun = this->phase == Phase::Running || listedAt <= this->stopOrders.firstSentAt;
    return this->hasUnconfirmedStop() && mayRun;
}

WorkerView::WorkerView(WorkerProfile profile, TimePoint now)
    : profile(std::move(profile))
    , lastLeaseExtensionAt(now)
    , lastAnswerAt(now)
    , lastAnnouncedAt(now)
{
}

PlacedAttempt& WorkerView::place(PlacedAttempt attempt)
{
    AttemptKey const key { attempt.task, attempt.number };
    auto const [entry, isNew] = this->placed.emplace(key, std::move(attempt));
    PlacedAttempt& placedAttempt = entry->second;
    this->hasOpenOrders = true;
    if (isNew) {
        this->updateTotals(placedAttempt, 1);
        this->pendingStartCount += placedAttempt.isStartPending;
    }
    this->leastFreeMilliCores = std::min(this->leastFreeMilliCores, this->freeResources().milliCores);
    return placedAttempt;
}

/// Adds the attempt to the totals (`direction` 1) or subtracts it (`direction` -1).
void WorkerView::updateTotals(PlacedAttempt const& attempt, int direction)
{
    this->noteChange();
    Resources const amount = attempt.reserved();
    Resources const shortAmount = attempt.stage->isShort() ? amount : Resources();
    if (direction > 0) {
        this->reserved += amount;
        this->shortTaskReserved += shortAmount;
    } else {
        this->reserved -= amount;
        this->shortTaskReserved -= shortAmount;
    }
    int64_t const milliCores = attempt.stage->need.milliCores * direction;
    if (attempt.isBestEffort() && !attempt.isThrottledStart)
        this->bestEffortImages.add(attempt.image, attempt.stage->need.milliCores, direction);
    if (attempt.isThrottledStart)
        this->throttledStartCount += static_cast<unsigned>(direction);
    if (attempt.isService()) {
        this->serviceMilliCores += milliCores;
        if (attempt.stage->latencyTarget > Duration())
            this->serviceImages.add(attempt.image, attempt.stage->need.milliCores, direction);
    }
}

void WorkerView::remove(AttemptKey const& key)
{
    auto const found = this->placed.find(key);
    if (found == this->placed.end())
        return;
    this->updateTotals(found->second, -1);
    this->pendingStartCount -= found->second.isStartPending;
    this->placed.erase(found);
}

void WorkerView::settleStart(PlacedAttempt& attempt)
{
    if (!attempt.isStartPending)
        return;
    attempt.isStartPending = false;
    this->pendingStartCount--;
    this->noteChange();
}

PlacedAttempt* WorkerView::find(TaskRef const& task, AttemptNumber attempt)
{
    auto const found = this->placed.find(std::pair<TaskRef const&, AttemptNumber>(task, attempt));
    return found == this->placed.end() ? nullptr : &found->second;
}

void WorkerView::startIdleWindow()
{
    this->leastFreeMilliCoresBefore = this->leastFreeMilliCores;
    this->leastFreeMilliCores = this->freeResources().milliCores;
}

bool WorkerView::isLeaseExpired(TimePoint now, DispatchTimes const& times) const
{
    return now > std::max(this->lastLeaseExtensionAt + times.leaseDuration, this->formerOrdersLeaseEnd) + times.leaseMargin;
}

void WorkerView::refreshOpenStops()
{
    this->openStopSince.reset();
    auto const consider = [this](StopProgress const& stop) {
        if (!this->openStopSince || stop.firstSentAt < *this->openStopSince)
            this->openStopSince = stop.firstSentAt;
    };
    for (auto const& [key, attempt] : this->placed) {
        if (attempt.awaitsStop(this->lastAnswerAt))
            consider(attempt.stopOrders);
    }
    for (auto const& [key, orphan] : this->orphanedAttempts) {
        if (orphan.awaitsStop())
            consider(orphan.stopOrders);
    }
}

TimePoint WorkerView::oldestOpenStart() const
{
    TimePoint oldest = TimePoint::infiniteFuture();
    for (auto const& [key, attempt] : this->placed) {
        if (attempt.phase == PlacedAttempt::Phase::Starting && (attempt.isStartInFlight || attempt.isStartUncertain))
            oldest = std::min(oldest, attempt.openStartSince);
    }
    return oldest;
}

bool WorkerView::canTakeTasks(TimePoint now, DispatchTimes const& times) const
{
    return this->hasListing && this->hasClock && !this->mayReceiveFormerOrders && !this->hasHigherEpoch && !this->profile.isDraining && !this->isEvacuated && this->isAnswering(now, times)
        && now >= this->startsPausedUntil && !this->isStopOverdue(now, times) && std::none_of(this->orphanedAttempts.begin(), this->orphanedAttempts.end(), [](auto const& entry) { return entry.second.isListed; });
}

size_t WorkerView::countTasksOfStage(TaskRef const& stage) const
{
    return static_cast<size_t>(std::count_if(this->placed.begin(), this->placed.end(), [&](auto const& entry) {
        TaskRef const& task = entry.second.task;
        return task.stage == stage.stage && task.occurrence == stage.occurrence && task.job == stage.job;
    }));
}

void WorkerView::noteAddressChange(TimePoint now)
{
    this->addressChangedAt = now;
    this->hasListing = false;
    this->nextRenewalAt = now;
}

void WorkerView::noteGenerationSeen(TimePoint now, DispatchTimes const& times)
{
    this->mayReceiveFormerOrders = false;
    this->formerOrdersLeaseEnd = now + times.longestLeaseOnSlowClock();
}

void WorkerView::resetForNewIncarnation(uint64_t newGeneration, TimePoint now, DispatchTimes const& times)
{
    this->noteChange();
    this->generation = newGeneration;
    this->mayReceiveFormerOrders = true;
    this->formerOrdersLeaseEnd = now + times.orderTimeout + times.longestLeaseOnSlowClock();
    this->hasOpenOrders = true;
    this->hasClock = false;
    this->hasListing = false;
    this->addressChangedAt.reset();
    this->listingBornMs = 0;
    this->acknowledgedEnds = 0;
    this->deliveredAcknowledgedEnds = 0;
    this->listedEnds.clear();
    this->endsListedAt.clear();
    this->bestEffortSpeedPercent = fullSpeedPercent;
    this->nextRenewalAt = now;
    // A start order to the earlier incarnation that got no answer may still be executed by this one.
    for (auto& [key, attempt] : this->placed) {
        if (attempt.phase != PlacedAttempt::Phase::Proposed) {
            attempt.isInherited = true;
            attempt.phase = PlacedAttempt::Phase::Starting; // What the earlier incarnation ran has ended with it.
        }
        attempt.refusedAsOldAt.reset();
        attempt.stopOrders = attempt.stopOrders.begunAgain();
        attempt.isStopping |= attempt.isStartUncertain;
        if (!attempt.isStartUncertain)
            continue;
        OrphanedAttempt& orphan = this->orphanedAttempts[key];
        orphan.isListed = false;
        orphan.stopOrders = StopProgress();
        orphan.forgetAt = now + times.maxOrderDelay;
    }
}

} // namespace cornelpond
