// The delivery of stop orders: which attempts are stopped, by which way and how often, and the lease that open stops withhold.

#include "cornelpond/core/dispatch/Dispatcher.h"

namespace cornelpond {

namespace {

    constexpr Duration stopRetryDelay = Duration::milliseconds(500); ///< Workers take up to 400 to 900 ms to stop a task.

} // namespace

void Dispatcher::checkOrphanedAttempts(WorkerView& view)
{
    TimePoint const now = this->clock.now();
    for (auto at = view.orphanedAttempts.begin(); at != view.orphanedAttempts.end();) {
        if (!at->second.stopOrders.isInFlight && now >= at->second.stopOrders.nextAt && view.hasListing)
            this->stopOrphanedAttempt(view, at->first, at->second, at->second.stopOrders.nextWay());
        bool const isOver = !at->second.isListed && now >= at->second.forgetAt;
        at = isOver ? view.orphanedAttempts.erase(at) : std::next(at);
    }
}

void Dispatcher::stop(WorkerView& view, PlacedAttempt& attempt)
{
    if (attempt.isStopping || attempt.isEndProposed || attempt.phase == PlacedAttempt::Phase::Proposed)
        return;
    attempt.isStopping = true;
    view.hasOpenOrders = true;
    if (view.hasListing && this->hooks.canSendOrders())
        this->sendStop(view, attempt, attempt.stopOrders.nextWay());
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
    else if (progress.isOpen()) {
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
        bool const isFirstConfirmation = answer.result == OrderResult::Accepted && !stopped->stopOrders.confirmedAt && answering->generation == sent.generation;
        if (isFirstConfirmation && stopped->stopOrders.sent)
            this->stopTotals.confirmationTime.observe(this->clock.now() - stopped->stopOrders.firstSentAt);
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
    if (isAccepted)
        progress.confirm(this->clock.now());
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

} // namespace cornelpond
