#pragma once

// Ranks ready stages: the order in which they are placed on workers.
//
// Designed for: bursts of long jobs beside short urgent ones, and overload. Stages that can still finish in time come
// before those that are already late; those so late that nobody waits for the result any more come last. Late jobs of
// which two fifths have started stay with those in time: a job needs all its tasks, and large jobs get workers bit by bit.
//
// Example:
//   std::sort(ready.begin(), ready.end(), [](auto const& a, auto const& b) { return a.rank < b.rank; });

#include "cornelpond/core/jobs/JobTable.h"

#include <vector>

namespace cornelpond {

/// A job that takes longer than this many times its objective is too late to be useful.
constexpr int64_t tooLateFactor = 3;

/// By when a job should be done, in the leader's steady time.
struct JobObjective {
    TimePoint acceptedAt;
    std::vector<Duration> criticalPaths; ///< By stage: estimated run time of the longest dependency chain from its start to the job's end.
    Duration latencyObjective; ///< From acceptance to completion.
    double maxRunTimeStretch = 1; ///< With which a job that was accepted just now is still in time.
};

/// Lower ranks are placed first.
struct StageRank {
    unsigned priorityBand = 0; ///< 0 for service tasks, else 1 plus the job's priority.
    /// Bands within a priority.
    enum class Lateness : uint8_t {
        InTime, ///< Or late, but largely started.
        Late,
        TooLate, ///< To be useful.
    };

    Lateness lateness = Lateness::InTime;
    TimePoint dueAt;

    bool isUseful() const { return this->lateness != Lateness::TooLate; }
    bool operator<(StageRank const& other) const;
};

/// Of the stages of a queue's jobs, service tasks excepted.
constexpr unsigned priorityBandOf(uint32_t priority)
{
    return 1 + priority;
}

/// One stage of one occurrence that has tasks waiting for a worker.
struct ReadyStage {
    JobRecord const* job = nullptr;
    uint32_t occurrence = 0;
    uint32_t stage = 0;
    StageRank rank;
    TimePoint acceptedAt; ///< When the job was accepted, or when the scheduled occurrence was due.
};

/// The latency objective is the longest critical path times the queue's stretch factor, plus the queue's latency
/// target; without a queue, the longest critical path. The job must have a stage.
JobObjective objectiveOf(JobSpec const& job, QueueSpec const* queue, TimePoint acceptedAt);

/// `occurrence`: the one that the stage belongs to. `acceptedAt`: when the job was accepted, or when the scheduled
/// occurrence was due. `runTimeStretch`: how much longer than estimated tasks like the stage's take; a job that was
/// accepted just now is in time whatever it is.
StageRank rankOf(JobRecord const& job, OccurrenceRecord const& occurrence, uint32_t stage, JobObjective const& objective, TimePoint acceptedAt, TimePoint now, double runTimeStretch = 1);

} // namespace cornelpond
