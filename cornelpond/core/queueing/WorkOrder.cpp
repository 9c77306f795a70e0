#include "cornelpond/core/queueing/WorkOrder.h"

#include <algorithm>
#include <tuple>

namespace cornelpond {

namespace {

    /// Up to so many times its objective a job that is late still counts for something.
    constexpr int64_t lateFactor = 3;

    /// Longest chains from each stage to the end, by stage.
    std::vector<Duration> chainsFrom(JobSpec const& job)
    {
        std::vector<Duration> chains(job.stages.size());
        for (size_t i = job.stages.size(); i-- > 0;) {
            chains[i] = chains[i] + job.stages[i].estimate;
            for (auto const earlier : job.stages[i].after)
                chains[earlier] = std::max(chains[earlier], chains[i]);
        }
        return chains;
    }

} // namespace

bool WorkRank::operator<(WorkRank const& other) const
{
    return std::tie(this->band, this->lateness, this->due) < std::tie(other.band, other.lateness, other.due);
}

JobObjective objectiveOf(JobSpec const& job, QueueSpec const* queue, TimePoint acceptedAt)
{
    JobObjective objective;
    objective.acceptedAt = acceptedAt;
    objective.chains = chainsFrom(job);
    Duration const longest = *std::max_element(objective.chains.begin(), objective.chains.end());
    double const stretch = queue ? queue->stretch : 1;
    Duration const target = queue ? queue->latencyTarget : Duration();
    objective.objective = Duration::microseconds(static_cast<int64_t>(static_cast<double>(longest.toMicroseconds()) * stretch)) + target;
    return objective;
}

WorkRank rankOf(JobRecord const& job, uint32_t stage, JobObjective const& objective, TimePoint acceptedAt, TimePoint now)
{
    WorkRank rank;
    if (job.spec.stages[stage].isService) {
        rank.due = acceptedAt;
        return rank;
    }
    rank.band = 1 + job.priority;
    TimePoint const due = acceptedAt + objective.objective;
    TimePoint const finish = now + objective.chains[stage];
    rank.due = due;
    if (finish > acceptedAt + objective.objective * lateFactor)
        rank.lateness = 2;
    else if (finish > due)
        rank.lateness = 1;
    return rank;
}

} // namespace cornelpond
