#pragma once

// The commands of the task state machine, as they stand in the replicated log.
//
// Example:
//   log.propose(encodeTaskCommand(StartAttempt { task, attempt, worker }), done);

#include "cornelpond/core/tasks/Task.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cornelpond {

struct SubmitTask {
    TaskSpec spec;
    int64_t submittedAtMs = 0;
};

/// Reserves the worker for the attempt; must be committed before the start is sent.
struct StartAttempt {
    TaskId task;
    AttemptNumber attempt; ///< Exactly one above the task's latest.
    WorkerId worker;
    std::string incarnation = std::string(); ///< The worker process that the start is meant for; no other one may take it.
};

/// The worker confirmed that it runs the attempt.
struct ConfirmAttempt {
    TaskId task;
    AttemptNumber attempt;
};

/// Asks the attempt to checkpoint and stop.
struct EvictAttempt {
    TaskId task;
    AttemptNumber attempt;
};

/// Frees the worker; what follows depends on the outcome.
struct EndAttempt {
    TaskId task;
    AttemptNumber attempt;
    AttemptOutcome outcome = AttemptOutcome::Finished;
    CheckpointId checkpoint; ///< Empty when no newer checkpoint exists.
    int64_t endedAtMs = 0;
};

struct CancelTask {
    TaskId task;
    int64_t cancelledAtMs = 0;
};

/// Cancels every task whose labels match when the command is applied.
struct CancelMatching {
    Selector selector;
    int64_t cancelledAtMs = 0;
};

/// A drained worker gets nothing new; what runs there goes on.
struct SetWorkerDrained {
    WorkerId worker;
    bool drained = true;
};

/// Drops the records of tasks that ended longest ago; their ids stay known as retired.
struct RemoveEndedTasks {
    int64_t endedBeforeMs = 0; ///< Older ones are dropped.
    uint64_t maxKeptRecords = 0; ///< Of the others only the latest so many stay.
    int64_t forgetIdsBeforeMs = 0; ///< Retired ids of tasks that ended earlier may be used again.
};

using TaskCommand = std::variant<SubmitTask, StartAttempt, ConfirmAttempt, EvictAttempt, EndAttempt, CancelTask, CancelMatching, SetWorkerDrained, RemoveEndedTasks>;

/// Several commands that are committed together, in order.
using TaskCommandBatch = std::vector<TaskCommand>;

std::string encodeTaskCommands(TaskCommandBatch const& commands);

/// Throws Error(StorageDamaged) for bytes this version cannot read.
TaskCommandBatch decodeTaskCommands(std::string_view bytes);

} // namespace cornelpond
