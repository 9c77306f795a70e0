#include "cornelpond/core/dispatch/WorkerView.h"

#include <algorithm>

namespace cornelpond {

Resources PlacedAttempt::reserved() const
{
    Resources amount = this->stage->need;
    if (this->stage->isBestEffort)
        amount.milliCores = 0;
    return amount;
}

WorkerView::WorkerView(WorkerProfile profile, TimePoint now)
    : profile(std::move(profile))
    , lastPromise(now)
    , lastAnswer(now)
    , lastAnnounced(now)
{
}

PlacedAttempt& WorkerView::place(PlacedAttempt attempt)
{
    AttemptKey const key { attempt.task, attempt.number };
    auto const [entry, isNew] = this->placed.emplace(key, std::move(attempt));
    PlacedAttempt& held = entry->second;
    if (isNew)
        this->count(held, 1);
    return held;
}

/// Adds the attempt to the sums, or takes it out again.
void WorkerView::count(PlacedAttempt const& attempt, int direction)
{
    Resources const amount = attempt.reserved();
    if (direction > 0)
        this->reserved += amount;
    else
        this->reserved -= amount;
    int64_t const milliCores = attempt.stage->need.milliCores * direction;
    if (attempt.isBestEffort() && !attempt.isTrickling)
        this->bestEffortImages.add(attempt.image, attempt.stage->need.milliCores, direction);
    if (attempt.isTrickling)
        this->tricklingTasks += static_cast<unsigned>(direction);
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
    this->count(found->second, -1);
    this->placed.erase(found);
}

PlacedAttempt* WorkerView::find(AttemptKey const& key)
{
    auto const found = this->placed.find(key);
    return found == this->placed.end() ? nullptr : &found->second;
}

bool WorkerView::isLeaseOver(TimePoint now, DispatchTimes const& times) const
{
    return now > this->lastPromise + times.lease + times.leaseMargin;
}

bool WorkerView::takesTasks(TimePoint now, DispatchTimes const& times) const
{
    return this->isListed && this->knowsClock && !this->isSuperseded && !this->profile.isDraining && this->isAnswering(now, times)
        && now >= this->roomRefusedUntil && std::none_of(this->strays.begin(), this->strays.end(), [](auto const& stray) { return stray.second.isListed; });
}

size_t WorkerView::countOfStage(TaskRef const& stage) const
{
    return static_cast<size_t>(std::count_if(this->placed.begin(), this->placed.end(), [&](auto const& entry) {
        TaskRef const& task = entry.second.task;
        return task.stage == stage.stage && task.occurrence == stage.occurrence && task.job == stage.job;
    }));
}

void WorkerView::startNewLife(TimePoint now, Duration lateOrder)
{
    this->knowsClock = false;
    this->isListed = false;
    this->acknowledgedEnds = 0;
    this->acknowledgementTaken = 0;
    this->listedEnds.clear();
    this->throttle = fullSpeed;
    this->nextRenew = now;
    // A start for the former life that got no answer may still be carried out by this one.
    for (auto& [key, attempt] : this->placed) {
        attempt.isInherited |= attempt.phase != PlacedAttempt::Phase::Proposed;
        attempt.stopConfirmedAt.reset();
        attempt.isStopping |= attempt.startIsUncertain;
        if (!attempt.startIsUncertain)
            continue;
        StrayAttempt& stray = this->strays[key];
        stray.isListed = false;
        stray.forgetAt = now + lateOrder;
    }
}

} // namespace cornelpond
