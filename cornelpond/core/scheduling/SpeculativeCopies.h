#pragma once

// Decides which running tasks get a second attempt on another worker, where their stage allows that. The first attempt to finish
// counts, and the other one is stopped.
//
// Designed for: workers that slow down, hang or are cut off, and hold up a stage whose other tasks are done, while there is room.
//
// Example:
//   SpeculativeCopies copies(clock, dispatcher, times);
//   copies.onTaskDone(task, took);
//   for (auto const& candidate : copies.candidates(job))
//       startElsewhere(candidate);

#include "cornelpond/core/dispatch/Dispatcher.h"

#include <map>
#include <optional>
#include <vector>

namespace cornelpond {

/// One running attempt of a task.
struct CopyInputs {
    Duration running; ///< Since it was placed.
    std::optional<Duration> typicalRunTime; ///< Median of the stage's tasks that are done; unset while fewer than half are.
    bool isWorkerAnswering = true;
    uint32_t failures = 0; ///< Of the task.
    uint32_t maxAttempts = 1; ///< The job fails with this many failures.
};

/// True when a second attempt is expected to finish first: the worker does not answer, or the attempt takes much longer than
/// other tasks of its stage did. False where two further failures would fail the job.
bool shouldStartCopy(CopyInputs const& inputs);

struct CopyCandidate {
    TaskRef task;
    WorkerId runsOn;
    bool isWorkerAnswering = true;
    Duration running;
};

class SpeculativeCopies {
public:
    /// References must outlive the object.
    SpeculativeCopies(Clock const& clock, Dispatcher& dispatch, DispatchTimes const& times);

    /// For a task of a stage that allows copies.
    void onTaskDone(TaskRef const& task, Duration took);
    void forgetJob(JobId const& job);
    /// To be called when the leadership changes.
    void clear() { this->runTimes.clear(); }

    /// Tasks of the job that should get a second attempt now.
    std::vector<CopyCandidate> candidates(JobRecord const& job);

private:
    std::optional<Duration> typicalRunTime(TaskRef const& task, StageRecord const& stage) const;
    std::optional<CopyCandidate> candidate(JobRecord const& job, TaskRef const& task, TaskRecord const& record, std::optional<Duration> const& typical);

    Clock const& clock;
    Dispatcher& dispatch;
    DispatchTimes const& times;
    std::map<TaskRef, std::vector<Duration>> runTimes; ///< Of finished tasks, by the first task of the stage; sorted.
};

} // namespace cornelpond
