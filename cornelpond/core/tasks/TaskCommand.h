#pragma once

// The commands of the task state machine, as stored in the replicated log.
//
// Example:
//   log.propose(encodeTaskCommands({ StartAttempt { task, attempt, worker } }), done);

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

/// Reserves resources on the worker for the attempt. The start is sent only once this is committed.
struct StartAttempt {
    TaskId task;
    AttemptNumber attempt; ///< Must be one more than the task's latest.
    WorkerId worker;
    std::string incarnation = std::string(); ///< The only worker process that may take the start.
};

/// Records that the worker confirmed that it runs the attempt.
struct ConfirmAttempt {
    TaskId task;
    AttemptNumber attempt;
};

/// Asks the worker to checkpoint and stop the attempt.
struct EvictAttempt {
    TaskId task;
    AttemptNumber attempt;
};

/// Ends the attempt and its reservation. The task has then ended or is queued again, depending on the
/// outcome, on earlier failures and on whether it is being cancelled.
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

/// Cancels every task whose labels match at the time when the command is applied.
struct CancelMatching {
    Selector selector;
    int64_t cancelledAtMs = 0;
};

/// A drained worker gets no new tasks; attempts that run there continue.
struct SetWorkerDrained {
    WorkerId worker;
    bool drained = true;
};

/// Removes the records of the tasks that ended first and keeps their ids as retired.
struct RemoveEndedTasks {
    int64_t endedBeforeMs = 0; ///< Records of tasks that ended earlier are removed.
    uint64_t maxKeptRecords = 0; ///< Of the other records, at most this many are kept: those that ended last.
    int64_t forgetIdsBeforeMs = 0; ///< Retired ids of tasks that ended earlier may be used again.
};

using TaskCommand = std::variant<SubmitTask, StartAttempt, ConfirmAttempt, EvictAttempt, EndAttempt, CancelTask, CancelMatching, SetWorkerDrained, RemoveEndedTasks>;

/// Several commands that are committed as one log entry and applied in order.
using TaskCommandBatch = std::vector<TaskCommand>;

std::string encodeTaskCommands(TaskCommandBatch const& commands);

/// Throws Error(StorageDamaged) for bytes that this version cannot read, Error(MalformedJson) for bytes
/// that are not CBOR, and Error(SchemaViolation) or Error(BadSelector) for an invalid specification or
/// selector.
TaskCommandBatch decodeTaskCommands(std::string_view bytes);

} // namespace cornelpond
