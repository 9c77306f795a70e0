#pragma once

// The replicated commands of the job table and their stored encoding.
//
// Example:
//   log.propose(encodeJobCommand(CancelJob { JobId("plan-7"), wallMs }), done);

#include "cornelpond/core/jobs/JobSpec.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cornelpond {

/// How an attempt ended. The numbers are stored and sent to other hosts, so they never change meaning.
enum class AttemptEnd : uint8_t {
    Done = 1,
    Failed = 2, ///< By a fault of the task or the worker; counts towards QueueSpec::maxAttempts.
    Stopped = 3, ///< By a stop order.
    LeaseExpired = 4,
    PeerEnded = 5, ///< Another member of its gang ended.
    GangIncomplete = 6, ///< The other members of its gang did not start in time.
    Lost = 7, ///< Its worker is gone, or does not run it and never will.
    Refused = 8, ///< The worker did not start it.
};

std::string_view attemptEndName(AttemptEnd end);

/// True for an end that a worker listed, which shows that it ran the attempt. Lost tells nothing: the order may have been on its way.
bool isEndOfRun(AttemptEnd end);

struct SubmitJob {
    JobSpec job;
    QueueId queue;
    int64_t acceptedWallMs = 0; ///< Milliseconds since the Unix epoch, like every `wallMs` here.
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

/// Opens an occurrence of a scheduled job that has fallen due.
struct OpenOccurrence {
    JobId job;
    uint32_t occurrence = 0;
};

/// Removes the record of a job that ended long ago.
struct RemoveJob {
    JobId job;
};

/// Notes that a worker was seen to run a task of the job. Earlier versions ignore it.
struct MarkBegun {
    JobId job;
};

using TaskUpdate = std::variant<CommitStart, CommitEnd, OpenOccurrence, RemoveJob, MarkBegun>;

/// The decisions of one scheduler pass, committed together.
struct UpdateTasks {
    std::vector<TaskUpdate> updates;
    int64_t wallMs = 0;
};

using JobCommand = std::variant<SubmitJob, CancelJob, UpdateTasks>;

std::string encodeJobCommand(JobCommand const& command);

/// Throws Error(MalformedMessage).
JobCommand decodeJobCommand(std::string_view bytes);

} // namespace cornelpond
