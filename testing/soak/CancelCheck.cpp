#include "testing/soak/CancelCheck.h"

#include <fmt/format.h>

#include <algorithm>

namespace cornelpond {

namespace {

    /// After a fault, until the hosts are in touch with each other again.
    constexpr Duration contactTime = Duration::seconds(3);
    constexpr Duration acknowledgementBound = Duration::seconds(6);
    constexpr Duration startBound = Duration::seconds(5); ///< From the acknowledgement to the last start of a task.
    constexpr Duration stopTimeout = Duration::milliseconds(400);
    constexpr Duration checkInterval = Duration::milliseconds(50);

} // namespace

CancelCheck::CancelCheck(Clock& clock, std::function<size_t(JobId const&)> runningCount, std::function<void(std::string const&)> onViolation)
    : clock(clock)
    , runningCount(std::move(runningCount))
    , onViolation(std::move(onViolation))
    , faultsEndAt(clock.now())
{
}

void CancelCheck::noteFaultUntil(TimePoint end)
{
    this->faultsEndAt = std::max(this->faultsEndAt, end);
}

TimePoint CancelCheck::calmSince() const
{
    return this->faultsEndAt + contactTime;
}

/// The time from which the bounds on starts and runs count: that of the acknowledgement, or of the time limit for it.
TimePoint CancelCheck::effectiveSince(Cancel const& cancel) const
{
    return cancel.acknowledgedAt ? *cancel.acknowledgedAt : std::max(cancel.sentAt, this->calmSince()) + acknowledgementBound;
}

void CancelCheck::onCancelSent(JobId const& job)
{
    Cancel cancel;
    cancel.sentAt = this->clock.now();
    this->cancels.emplace(job, cancel);
}

void CancelCheck::onCancelAcknowledged(JobId const& job)
{
    this->onCancelSent(job);
    Cancel& cancel = this->cancels.at(job);
    if (!cancel.acknowledgedAt)
        cancel.acknowledgedAt = this->clock.now();
}

void CancelCheck::onTaskStarted(JobId const& job, TimePoint orderedAt)
{
    auto const found = this->cancels.find(job);
    if (found == this->cancels.end())
        return;
    Cancel& cancel = found->second;
    cancel.lastStartAt = this->clock.now();
    Duration const delay = orderedAt - this->effectiveSince(cancel);
    if (cancel.isStartReported || orderedAt < this->calmSince() || delay <= startBound)
        return;
    cancel.isStartReported = true;
    this->onViolation(fmt::format("a task of job {} was started {:.1f} s after its cancel {}", job.value(), delay.toSeconds(), cancel.acknowledgedAt ? "was acknowledged" : "had to be acknowledged"));
}

void CancelCheck::onTick()
{
    TimePoint const now = this->clock.now();
    if (now < this->nextCheck || now < this->calmSince())
        return;
    this->nextCheck = now + checkInterval;
    for (auto& [job, cancel] : this->cancels) {
        this->checkAcknowledgement(job, cancel);
        this->checkRuns(job, cancel);
    }
}

void CancelCheck::checkAcknowledgement(JobId const& job, Cancel& cancel)
{
    bool const isLate = !cancel.acknowledgedAt && this->clock.now() > this->effectiveSince(cancel);
    if (!isLate || cancel.isLateReported)
        return;
    cancel.isLateReported = true;
    this->onViolation(fmt::format("the cancel of job {} was not acknowledged within {} s of calm", job.value(), acknowledgementBound.toSeconds()));
}

void CancelCheck::checkRuns(JobId const& job, Cancel& cancel)
{
    TimePoint since = std::max(this->effectiveSince(cancel), this->calmSince());
    if (cancel.lastStartAt)
        since = std::max(since, *cancel.lastStartAt + contactTime);
    if (cancel.isRunReported || this->clock.now() - since <= startBound + stopTimeout)
        return;
    size_t const running = this->runningCount(job);
    if (!running)
        return;
    cancel.isRunReported = true;
    this->onViolation(fmt::format("{} tasks of job {} run on, {:.1f} s after its cancel {}", running, job.value(), (this->clock.now() - this->effectiveSince(cancel)).toSeconds(),
        cancel.acknowledgedAt ? "was acknowledged" : "had to be acknowledged"));
}

std::string CancelCheck::pendingReason() const
{
    for (auto const& [job, cancel] : this->cancels) {
        if (!cancel.acknowledgedAt)
            return "the cancel of job " + job.value() + " is not acknowledged";
        if (this->runningCount(job))
            return "tasks of cancelled job " + job.value() + " run";
    }
    return "";
}

} // namespace cornelpond
