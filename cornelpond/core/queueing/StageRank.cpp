#include "cornelpond/core/queueing/StageRank.h"

#include <algorithm>
#include <tuple>

namespace cornelpond {

namespace {

    /// By stage: run time of the longest dependency chain from it to the end. Stages depend on earlier ones only.
    std::vector<Duration> criticalPathsOf(JobSpec const& job)
    {
        std::vector<Duration> paths(job.stages.size());
        for (size_t i = job.stages.size(); i-- > 0;) {
            paths[i] = paths[i] + job.stages[i].estimatedRunTime;
            for (auto const dependency : job.stages[i].dependsOn)
                paths[dependency] = std::max(paths[dependency], paths[i]);
        }
        return paths;
    }

    /// True when at most three fifths of the occurrence's estimated work wait for workers.
    bool hasLargelyStarted(JobRecord const& job, OccurrenceRecord const& occurrence)
    {
        int64_t all = 0;
        int64_t waiting = 0;
        for (size_t i = 0; i < occurrence.stages.size(); i++) {
            StageSpec const& stage = job.spec.stages[i];
            all += stage.taskWork() * static_cast<int64_t>(stage.taskCount);
            waiting += stage.taskWork() * static_cast<int64_t>(occurrence.stages[i].waitingCount);
        }
        return waiting * 5 <= all * 3;
    }

} // namespace

bool StageRank::operator<(StageRank const& other) const
{
    return std::tie(this->priorityBand, this->lateness, this->dueAt) < std::tie(other.priorityBand, other.lateness, other.dueAt);
}

JobObjective objectiveOf(JobSpec const& job, QueueSpec const* queue, TimePoint acceptedAt)
{
    JobObjective objective;
    objective.acceptedAt = acceptedAt;
    objective.criticalPaths = criticalPathsOf(job);
    Duration const longest = *std::max_element(objective.criticalPaths.begin(), objective.criticalPaths.end());
    double const stretch = queue ? queue->stretchFactor : 1;
    Duration const target = queue ? queue->latencyTarget : Duration();
    objective.latencyObjective = longest.scaled(stretch) + target;
    constexpr double usableShare = 0.9; // The rest is for commits and orders.
    if (longest > Duration())
        objective.maxRunTimeStretch = std::max(usableShare * objective.latencyObjective.toSeconds() / longest.toSeconds(), 1.0);
    return objective;
}

StageRank rankOf(JobRecord const& job, OccurrenceRecord const& occurrence, uint32_t stage, JobObjective const& objective, TimePoint acceptedAt, TimePoint now, double runTimeStretch)
{
    StageRank rank;
    if (job.spec.stages[stage].isService) {
        rank.dueAt = acceptedAt;
        return rank;
    }
    rank.priorityBand = priorityBandOf(job.priority);
    TimePoint const due = acceptedAt + objective.latencyObjective;
    TimePoint const finish = now + objective.criticalPaths[stage];
    rank.dueAt = due;
    TimePoint const expectedFinish = now + objective.criticalPaths[stage].scaled(std::min(runTimeStretch, objective.maxRunTimeStretch));
    if (finish > acceptedAt + objective.latencyObjective * tooLateFactor)
        rank.lateness = StageRank::Lateness::TooLate;
    else if (expectedFinish > due && !hasLargelyStarted(job, occurrence))
        rank.lateness = StageRank::Lateness::Late;
    return rank;
}

} // namespace cornelpond
