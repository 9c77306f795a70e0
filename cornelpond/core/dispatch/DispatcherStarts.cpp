// Start orders: when they are sent, and what each answer means for the attempt.

#include "cornelpond/core/dispatch/Dispatcher.h"

#include <algorithm>

namespace cornelpond {

namespace {

    constexpr unsigned maxStartOrders = 3; ///< Per attempt; then the attempt is withdrawn and its task placed again.
    constexpr Duration startRetryDelay = Duration::milliseconds(100);
    constexpr Duration startRefusedPause = Duration::milliseconds(300);

} // namespace

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

void Dispatcher::sendStart(WorkerView& view, PlacedAttempt& attempt)
{
    TimePoint const now = this->clock.now();
    if (!this->jobs.isWanted(attempt.task, { attempt.number, view.profile.id }) || !this->hooks.mayStart(view.profile, attempt.task, attempt.number)) {
        if (!attempt.startsSent)
            this->conclude(view, attempt, AttemptEnd::Refused, "not started");
        else
            this->stop(view, attempt);
        return;
    }
    // A start that was committed before the end as done must not follow it to the workers. A process that has not seen the present
    // generation may still carry out a start of the same attempt for a former one.
    if (this->proposedFinishes.count(attempt.task) || !view.hasClock || view.mayReceiveFormerOrders || !this->hooks.canSendOrders() || view.isStopOverdue(now, this->times)) {
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
    if (!attempt.isStartUncertain)
        attempt.openStartSince = now;
    attempt.isStartInFlight = true;
    this->orders.start(view.target(), order, this->ifStillLeading([this, worker = view.profile.id, sent = this->sendContext(view), key = AttemptKey { attempt.task, attempt.number }](OrderAnswer const& answer) {
        this->onStartAnswered(worker, sent, key, answer);
    }));
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
    if (answer.result != OrderResult::Unknown)
        this->acknowledgeHeldEnds(*view);
    if (attempt->isEndProposed)
        return;
    // Why an earlier incarnation did not carry out the order tells nothing of this one: not that it is replaced or superseded,
    // nor that the attempt is closed there.
    bool const mayBeCarriedOut = answer.result == OrderResult::Accepted || answer.result == OrderResult::Unknown;
    this->handleStartAnswer(*view, *attempt, isFromOldIncarnation && !mayBeCarriedOut ? OrderResult::NotDone : answer.result);
}

void Dispatcher::reportSeen(WorkerView const& view, AttemptKey const& key, char const* source) const
{
    if (this->hooks.onAttemptSeen)
        this->hooks.onAttemptSeen({ key.first, key.second, view.profile.id }, source);
}

void Dispatcher::handleStartAnswer(WorkerView& view, PlacedAttempt& attempt, OrderResult result)
{
    TimePoint const now = this->clock.now();
    switch (result) {
    case OrderResult::Accepted:
        if (this->hooks.onStartAccepted)
            this->hooks.onStartAccepted(attempt.task);
        this->reportSeen(view, { attempt.task, attempt.number }, "answer");
        if (attempt.phase == PlacedAttempt::Phase::Starting) {
            attempt.phase = PlacedAttempt::Phase::Running;
            attempt.confirmedAt = now;
        }
        return;
    case OrderResult::RefusedOld:
        // The attempt ended there or was stopped; the listing shows which.
        attempt.isStopping = true;
        attempt.refusedAsOldAt = now;
        attempt.stopOrders.confirm(now);
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

} // namespace cornelpond
