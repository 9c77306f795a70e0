// The ends of attempts that their worker does not list: those that cannot run any more.

#include "cornelpond/core/dispatch/Dispatcher.h"

#include <algorithm>

namespace cornelpond {

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
    if (auto const closedAt = attempt.closedAt())
        return *closedAt <= sentAt;
    if (attempt.isStartUncertain || attempt.isStartInFlight)
        return false;
    bool const isConfirmed = attempt.phase == PlacedAttempt::Phase::Running;
    // The worker has seen this leader's epoch, so it refuses starts that earlier leaders sent; what an earlier
    // incarnation of the worker ran has ended with it. But this incarnation may have accepted a start meanwhile.
    if (attempt.isInherited)
        return !isConfirmed || attempt.confirmedAt < sentAt;
    return isConfirmed && attempt.confirmedAt < sentAt;
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

} // namespace cornelpond
