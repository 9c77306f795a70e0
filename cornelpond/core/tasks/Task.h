#pragma once

// A task: its specification, its state and its attempts.
//
// Example:
//   Task const* task = table.find(TaskId("plan-7"));
//   if (task && isEnded(task->state))
//       ...

#include "cornelpond/core/base/Ids.h"
#include "cornelpond/core/base/Resources.h"
#include "cornelpond/core/selector/Selector.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cornelpond {

enum class TaskClass : uint8_t {
    LatencyCritical = 0, ///< Service replicas and urgent one-off tasks; may preempt batch tasks.
    Batch = 1,
};

/// A task as its submitter described it; never changes once the submission is committed.
struct TaskSpec {
    TaskId id; ///< Chosen by the submitter; resending the same content is idempotent.
    AssociationId association;
    TaskClass taskClass = TaskClass::Batch;
    Resources resources; ///< Declared need, reserved on the worker for each attempt.
    Labels labels;
    Selector workers; ///< Which workers may run it.
    int64_t expectedRunTimeMs = 0; ///< Declared; 0 means unknown.
    std::string command; ///< Opaque to cornelpond; passed to the worker.
    uint32_t maxFailures = 3; ///< The task has failed when this many attempts have failed.
};

bool operator==(TaskSpec const& left, TaskSpec const& right);

enum class TaskState : uint8_t {
    Queued = 0,
    Starting = 1, ///< The attempt is committed; no worker has confirmed it yet.
    Running = 2,
    Checkpointing = 3, ///< Asked to checkpoint and stop.
    Finished = 4,
    Failed = 5,
    Cancelled = 6,
};

/// True for Finished, Failed and Cancelled.
bool isEnded(TaskState state);

/// True while the task holds a reservation on a worker.
bool hasWorker(TaskState state);

std::string_view taskStateName(TaskState state);
std::string_view taskClassName(TaskClass taskClass);

/// How one attempt ended. The numbers are stored and sent, so they must not change.
enum class AttemptOutcome : uint8_t {
    Finished = 0,
    Failed = 1,
    Stopped = 2, ///< Stopped on request, with a checkpoint when one was made.
    Lost = 3, ///< Ended without a result: the worker's lease expired, or the worker does not report the attempt and it can no longer run.
    Cancelled = 4, ///< Stopped because the task was cancelled.
    NeverStarted = 5, ///< The worker never confirmed the attempt, and it can no longer start.
};

std::string_view attemptOutcomeName(AttemptOutcome outcome);

/// One ended attempt. Shown to operators; placement avoids workers on which the task failed.
struct AttemptRecord {
    AttemptNumber attempt;
    WorkerId worker;
    AttemptOutcome outcome = AttemptOutcome::Finished;
    int64_t endedAtMs = 0;
};

/// Ended attempts kept in a task's record; older ones are dropped.
constexpr size_t maxAttemptHistory = 8;

/// A task's whole record in the replicated state.
struct Task {
    TaskSpec spec;
    TaskState state = TaskState::Queued;
    AttemptNumber attempt; ///< The latest attempt; 0 before the first.
    WorkerId worker; ///< Set while hasWorker(state) is true.
    std::string incarnation; ///< The worker process that the latest attempt was committed for.
    CheckpointId checkpoint; ///< The latest one; empty when none.
    bool cancelRequested = false; ///< A cancellation is committed; a worker may still run the latest attempt.
    uint32_t failures = 0;
    uint32_t evictions = 0;
    uint64_t sequence = 0; ///< Order of submission in this group.
    int64_t submittedAtMs = 0; ///< Wall clock; for display only.
    int64_t endedAtMs = 0;
    std::vector<AttemptRecord> history; ///< The latest ended attempts, oldest first.
};

} // namespace cornelpond
