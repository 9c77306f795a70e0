#pragma once

// In which order ready stages get room.
//
// Load pattern it answers: bursts of long jobs beside short urgent ones, and more work than fits: what can
// still be done in time comes before what is late already, and what nobody waits for any more comes last.
//
// Example:
//   std::sort(ready.begin(), ready.end(), [](auto const& a, auto const& b) { return a.rank < b.rank; });

#include "cornelpond/core/jobs/JobTable.h"

#include <vector>

namespace cornelpond {

/// When a job ought to be done, as the leader reckons it on its own steady clock.
struct JobObjective {
    TimePoint acceptedAt;
    std::vector<Duration> criticalPaths; ///< By stage: estimated run time of the longest chain from it to the end.
    Duration latencyObjective; ///< From acceptance.
};

/// Lower comes first.
struct StageRank {
    unsigned priorityBand = 0; ///< Service tasks, then by priority.
    unsigned lateness = 0; ///< 0 in time, 1 late, 2 too late to count.
    TimePoint dueAt;

    bool operator<(StageRank const& other) const;
};

/// One stage of one occurrence that has tasks waiting for a worker.
struct ReadyStage {
    JobRecord const* job = nullptr;
    uint32_t occurrence = 0;
    uint32_t stage = 0;
    StageRank rank;
};

JobObjective objectiveOf(JobSpec const& job, QueueSpec const* queue, TimePoint acceptedAt);

/// `acceptedAt`: of the job, or when its occurrence fell due.
StageRank rankOf(JobRecord const& job, uint32_t stage, JobObjective const& objective, TimePoint acceptedAt, TimePoint now);

} // namespace cornelpond
