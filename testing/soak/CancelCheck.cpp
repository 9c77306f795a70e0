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

/// Precondition: hasLimits(). The time from which the bounds on starts and runs count: that of the acknowledgement, or of the time limit for it.
TimePoint CancelCheck::effectiveSince(Cancel const& cancel) const
{
    return cancel.acknowledgedAt ? *cancel.acknowledgedAt : std::max(*cancel.dueSince, this->calmSince()) + acknowledgementBound;
}

void CancelCheck::onCancelSent(JobId const& job, TaskLength length, bool isAccepted)
{
    Cancel cancel;
    cancel.sentAt = this->clock.now();
    cancel.length = length;
    this->cancels.emplace(job, cancel);
    if (isAccepted)
        this->onAccepted(job);
}

void CancelCheck::onAccepted(JobId const& job)
{
    auto const found = this->cancels.find(job);
    if (found != this->cancels.end() && !found->second.dueSince)
        found->second.dueSince = this->clock.now();
}

void CancelCheck::onCancelAcknowledged(JobId const& job)
{
    this->onCancelSent(job, TaskLength::Short, false);
    Cancel& cancel = this->cancels.at(job);
    if (cancel.acknowledgedAt)
        return;
    cancel.acknowledgedAt = this->clock.now();
    cancel.isAcknowledgementJudged |= this->clock.now() >= this->calmSince();
}

void CancelCheck::onTaskStarted(JobId const& job, TimePoint orderedAt)
{
    auto const found = this->cancels.find(job);
    if (found == this->cancels.end())
        return;
    Cancel& cancel = found->second;
    cancel.lastStartAt = this->clock.now();
    cancel.mayRun = true;
    if (!hasLimits(cancel))
        return;
    Duration const delay = orderedAt - this->effectiveSince(cancel);
    if (cancel.isStartReported || orderedAt < this->calmSince() || delay <= startBound)
        return;
    cancel.isStartReported = true;
    this->onViolation(fmt::format("a task of job {} was started {:.1f} s after its cancel {}", job.value(), delay.toSeconds(), cancel.acknowledgedAt ? "was acknowledged" : "had to be acknowledged"));
}

/// Only jobs that may run are looked up, so that each tick can afford it.
void CancelCheck::watchRuns()
{
    for (auto& [job, cancel] : this->cancels) {
        if (!cancel.mayRun)
            continue;
        cancel.mayRun = this->runningCount(job);
        if (!cancel.mayRun)
            continue;
        cancel.lastRunAt = this->clock.now();
        if (!hasLimits(cancel))
            continue;
        Duration const calmRun = this->clock.now() - this->runsCountSince(cancel);
        if (calmRun <= this->longestCalmRun)
            continue;
        this->longestCalmRun = calmRun;
        this->longestCalmRunJob = job;
    }
}

void CancelCheck::onTick()
{
    this->watchRuns();
    TimePoint const now = this->clock.now();
    if (now < this->nextCheck || now < this->calmSince())
        return;
    this->nextCheck = now + checkInterval;
    for (auto& [job, cancel] : this->cancels) {
        if (!hasLimits(cancel))
            continue;
        this->checkAcknowledgement(job, cancel);
        this->checkRuns(job, cancel);
    }
}

void CancelCheck::checkAcknowledgement(JobId const& job, Cancel& cancel)
{
    bool const isLate = !cancel.acknowledgedAt && this->clock.now() > this->effectiveSince(cancel);
    cancel.isAcknowledgementJudged |= isLate;
    if (!isLate || cancel.isLateReported)
        return;
    cancel.isLateReported = true;
    this->onViolation(fmt::format("the cancel of job {} was not acknowledged within {} s of calm", job.value(), acknowledgementBound.toSeconds()));
}

TimePoint CancelCheck::runsCountSince(Cancel const& cancel) const
{
    TimePoint const since = std::max(this->effectiveSince(cancel), this->calmSince());
    return cancel.lastStartAt ? std::max(since, *cancel.lastStartAt + contactTime) : since;
}

void CancelCheck::checkRuns(JobId const& job, Cancel& cancel)
{
    if (cancel.isRunReported || this->clock.now() - this->runsCountSince(cancel) <= startBound + stopTimeout)
        return;
    cancel.isRunJudged = true;
    size_t const running = this->runningCount(job);
    if (!running)
        return;
    cancel.isRunReported = true;
    this->onViolation(fmt::format("{} tasks of job {} run on, {:.1f} s after its cancel {}", running, job.value(), (this->clock.now() - this->effectiveSince(cancel)).toSeconds(),
        cancel.acknowledgedAt ? "was acknowledged" : "had to be acknowledged"));
}

bool CancelCheck::isJudged() const
{
    return std::all_of(this->cancels.begin(), this->cancels.end(), [](auto const& entry) { return entry.second.isRunJudged || !hasLimits(entry.second); });
}

CancelSummary CancelCheck::summary() const
{
    CancelSummary summary;
    summary.cancels = this->cancels.size();
    summary.longestCalmRun = this->longestCalmRun;
    summary.longestCalmRunJob = this->longestCalmRunJob;
    for (auto const& [job, cancel] : this->cancels) {
        bool const isLasting = cancel.length == TaskLength::Lasting && cancel.lastRunAt;
        summary.lasting += isLasting;
        summary.judgedAcknowledgements += cancel.isAcknowledgementJudged;
        summary.judgedRuns += cancel.isRunJudged;
        summary.lastingJudgedRuns += isLasting && cancel.isRunJudged;
        if (isLasting)
            summary.stopTimes.push_back(*cancel.lastRunAt - cancel.sentAt);
    }
    std::sort(summary.stopTimes.begin(), summary.stopTimes.end());
    return summary;
}

std::string CancelCheck::pendingReason() const
{
    for (auto const& [job, cancel] : this->cancels) {
        if (!cancel.acknowledgedAt && cancel.dueSince)
            return "the cancel of job " + job.value() + " is not acknowledged";
        if (this->runningCount(job))
            return "tasks of cancelled job " + job.value() + " run";
    }
    return "";
}

} // namespace cornelpond
