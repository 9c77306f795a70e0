#include "cornelpond/core/queueing/JobProgress.h"

#include <algorithm>
#include <vector>

namespace cornelpond {

JobSize sizeOf(JobSpec const& job)
{
    JobSize size;
    for (auto const& stage : job.stages) {
        constexpr int64_t milliCoresPerCore = 1000;
        size.taskCount += stage.taskCount;
        size.largestTaskMilliCores = std::max(size.largestTaskMilliCores, stage.need.milliCores);
        size.coreMs += static_cast<int64_t>(stage.taskCount) * stage.taskWork() / milliCoresPerCore;
    }
    return size;
}

size_t sizeClassOf(JobSize const& size)
{
    constexpr int64_t msPerSecond = 1000;
    auto const& bounds = sizeClassBoundsCoreSeconds;
    return static_cast<size_t>(std::find_if(bounds.begin(), bounds.end(), [&](int64_t bound) { return size.coreMs <= bound * msPerSecond; }) - bounds.begin());
}

std::string_view jobOutcomeName(JobOutcome outcome)
{
    constexpr std::array<std::string_view, 5> names = { "inTime", "late", "tooLate", "failed", "cancelled" };
    return names.at(static_cast<size_t>(outcome));
}

JobOutcome outcomeOf(JobState state, Duration lasted, Duration latencyObjective)
{
    if (state == JobState::Failed)
        return JobOutcome::Failed;
    if (state == JobState::Cancelled)
        return JobOutcome::Cancelled;
    if (lasted <= latencyObjective)
        return JobOutcome::InTime;
    return lasted <= latencyObjective * tooLateFactor ? JobOutcome::Late : JobOutcome::TooLate;
}

PassedOver& PassedOver::operator+=(PassedOver const& other)
{
    this->byLaterJobs += other.byLaterJobs;
    this->byLowerRank += other.byLowerRank;
    return *this;
}

WaitingSummary summarizeWaiting(Span<ReadyStage const> waiting, TimePoint now)
{
    WaitingSummary summary;
    for (auto const& ready : waiting) {
        StageSpec const& stage = ready.job->spec.stages[ready.stage];
        WaitingTasks& tasks = stage.isService ? summary.service : stage.isBestEffort ? summary.bestEffort
                                                                                     : summary.shortTasks;
        tasks.count += ready.job->occurrences.at(ready.occurrence).stages[ready.stage].waitingCount;
        tasks.oldest = std::max(tasks.oldest, now - ready.acceptedAt);
    }
    return summary;
}

void countPassedOver(Span<ReadyStage const> ready, Span<StagePlacement const> placements, std::function<void(JobId const&, PassedOver const&)> const& count)
{
    std::vector<size_t> started;
    for (size_t i = 0; i < placements.size(); i++) {
        if (placements[i].starts)
            started.push_back(i);
    }
    for (size_t i = 0; i < placements.size(); i++) {
        if (!placements[i].lacksWorker)
            continue;
        PassedOver passedOver;
        for (size_t const other : started) {
            if (ready[other].rank.priorityBand != ready[i].rank.priorityBand || ready[other].job == ready[i].job)
                continue;
            if (other > i)
                passedOver.byLowerRank += placements[other].starts;
            else if (ready[other].acceptedAt > ready[i].acceptedAt)
                passedOver.byLaterJobs += placements[other].starts;
        }
        if (passedOver.byLaterJobs || passedOver.byLowerRank)
            count(ready[i].job->spec.id, passedOver);
    }
}

} // namespace cornelpond
