#pragma once

// The size of a job, and what happened to it while it waited for workers. For logs and metrics.
//
// Example:
//   JobProgress progress;
//   progress.size = sizeOf(job.spec);
//   countPassedOver(ready, placements, [&](JobId const& job, PassedOver const& count) { progressOf(job).passedOver += count; });

#include "cornelpond/core/base/Span.h"
#include "cornelpond/core/queueing/StageRank.h"

#include <array>
#include <functional>
#include <string_view>

namespace cornelpond {

/// Of one run through a job's stages, by the client's estimates.
struct JobSize {
    uint64_t taskCount = 0;
    int64_t largestTaskMilliCores = 0;
    int64_t coreMs = 0; ///< Cores times run time, summed over all tasks.
};

JobSize sizeOf(JobSpec const& job);

/// Upper bounds of the size classes in core-seconds; a last class holds larger jobs.
constexpr std::array<int64_t, 5> sizeClassBoundsCoreSeconds { 1, 4, 16, 64, 256 };

constexpr size_t sizeClassCount = sizeClassBoundsCoreSeconds.size() + 1;

/// Index of the size class; `sizeClassBoundsCoreSeconds.size()` for the last one.
size_t sizeClassOf(JobSize const& size);

/// How a job ended, for metrics.
enum class JobOutcome {
    InTime, ///< Completed within its objective.
    Late,
    TooLate, ///< Completed, but too late to be useful.
    Failed,
    Cancelled,
};

std::string_view jobOutcomeName(JobOutcome outcome);

/// `state` must be that of an ended job. `lasted`: from its acceptance to its end.
JobOutcome outcomeOf(JobState state, Duration lasted, Duration latencyObjective);

/// Starts of other tasks of the same priority while a ready task of a job found no worker.
struct PassedOver {
    uint64_t byLaterJobs = 0; ///< Starts of jobs that were accepted later and ranked ahead.
    uint64_t byLowerRank = 0; ///< Starts of stages that ranked behind.

    PassedOver& operator+=(PassedOver const& other);
};

/// Tasks that wait for a worker, by class.
struct WaitingTasks {
    size_t count = 0;
    Duration oldest; ///< Time since the acceptance of their oldest job, or since its occurrence was due.
};

struct WaitingSummary {
    WaitingTasks shortTasks;
    WaitingTasks bestEffort;
    WaitingTasks service;

    size_t count() const { return this->shortTasks.count + this->bestEffort.count + this->service.count; }
};

/// `waiting`: all ready stages.
WaitingSummary summarizeWaiting(Span<ReadyStage const> waiting, TimePoint now);

struct JobProgress {
    JobSize size;
    uint64_t starts = 0;
    Duration firstStart; ///< From acceptance to the first decision to start a task; zero before it.
    Duration lastStart; ///< From acceptance to the latest decision to start a task.
    PassedOver passedOver;
};

/// What one pass did for one ready stage.
struct StagePlacement {
    size_t starts = 0;
    bool lacksWorker = false; ///< A task of the stage found no worker.
};

/// Calls `count` for each stage that lacked a worker while others started. `placements` holds the result for the
/// ready stage of the same index; both are in order of rank.
void countPassedOver(Span<ReadyStage const> ready, Span<StagePlacement const> placements, std::function<void(JobId const&, PassedOver const&)> const& count);

} // namespace cornelpond
