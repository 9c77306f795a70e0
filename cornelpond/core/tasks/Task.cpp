#include "cornelpond/core/tasks/Task.h"

#include <stdexcept>

namespace cornelpond {

bool operator==(TaskSpec const& left, TaskSpec const& right)
{
    return left.id == right.id && left.association == right.association && left.taskClass == right.taskClass
        && left.resources == right.resources && left.labels == right.labels && left.workers.text() == right.workers.text()
        && left.expectedRunTimeMs == right.expectedRunTimeMs && left.command == right.command && left.maxFailures == right.maxFailures;
}

bool isEnded(TaskState state)
{
    return state == TaskState::Finished || state == TaskState::Failed || state == TaskState::Cancelled;
}

bool hasWorker(TaskState state)
{
    return state == TaskState::Starting || state == TaskState::Running || state == TaskState::Checkpointing;
}

std::string_view taskStateName(TaskState state)
{
    switch (state) {
    case TaskState::Queued:
        return "queued";
    case TaskState::Starting:
        return "starting";
    case TaskState::Running:
        return "running";
    case TaskState::Checkpointing:
        return "checkpointing";
    case TaskState::Finished:
        return "finished";
    case TaskState::Failed:
        return "failed";
    case TaskState::Cancelled:
        return "cancelled";
    }
    throw std::logic_error("unknown task state");
}

std::string_view taskClassName(TaskClass taskClass)
{
    return taskClass == TaskClass::Batch ? "batch" : "latency-critical";
}

std::string_view attemptOutcomeName(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Finished:
        return "finished";
    case AttemptOutcome::Failed:
        return "failed";
    case AttemptOutcome::Stopped:
        return "stopped";
    case AttemptOutcome::Lost:
        return "lost";
    case AttemptOutcome::Cancelled:
        return "cancelled";
    case AttemptOutcome::NeverStarted:
        return "neverStarted";
    }
    throw std::logic_error("unknown attempt outcome");
}

} // namespace cornelpond
