#pragma once

// The replicated commands of the job table, and their stored form.
//
// Example:
//   log.propose(encodeJobCommand(CancelJob { JobId("plan-7"), wallMs }), done);

#include "cornelpond/core/jobs/JobSpec.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cornelpond {

/// How an attempt ended. Stored, so numbers never change meaning.
enum class AttemptEnd : uint8_t {
    Done = 1,
    Failed = 2, ///< By the task's own fault or the worker's; counts against the queue's limit.
    Stopped = 3, ///< On our order.
    LeaseExpired = 4,
    PeerEnded = 5, ///< Another member of its gang ended.
    GangIncomplete = 6, ///< Its gang did not come together in time.
    Lost = 7, ///< Its worker is gone, or never had it and never will.
    Refused = 8, ///< The worker did not take it.
};

std::string_view attemptEndName(AttemptEnd end);

struct SubmitJob {
    JobSpec job;
    QueueId queue;
    int64_t acceptedWallMs = 0;
};

struct CancelJob {
    JobId job;
    int64_t wallMs = 0;
};

struct CommitStart {
    TaskRef task;
    AttemptNumber attempt;
    WorkerId worker;
};

struct CommitEnd {
    TaskRef task;
    AttemptNumber attempt;
    WorkerId worker;
    AttemptEnd end = AttemptEnd::Done;
    std::string checkpoint; ///< Empty: none.
};

/// An occurrence of a schedule has fallen due.
struct OpenOccurrence {
    JobId job;
    uint32_t occurrence = 0;
};

/// Drops the record of a job that ended long ago.
struct RemoveJob {
    JobId job;
};

using TaskUpdate = std::variant<CommitStart, CommitEnd, OpenOccurrence, RemoveJob>;

/// What one pass of the scheduler decided, committed together.
struct UpdateTasks {
    std::vector<TaskUpdate> updates;
    int64_t wallMs = 0;
};

using JobCommand = std::variant<SubmitJob, CancelJob, UpdateTasks>;

std::string encodeJobCommand(JobCommand const& command);

/// Throws Error(MalformedMessage).
JobCommand decodeJobCommand(std::string_view bytes);

} // namespace cornelpond
