#pragma once

// What workers and the data centre's leader tell each other. A worker announces itself about once a
// second; the answer renews all its leases at once and carries commands.

#include "cornelpond/core/base/Duration.h"
#include "cornelpond/core/base/Ids.h"
#include "cornelpond/core/base/Resources.h"
#include "cornelpond/core/selector/Selector.h"
#include "cornelpond/core/tasks/Task.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cornelpond {

enum class ReportedAttemptState : uint8_t {
    Running = 0,
    Ended = 1, ///< Kept and reported until the leader acknowledges it.
};

/// One attempt as a worker reports it.
struct ReportedAttempt {
    TaskId task;
    AttemptNumber attempt;
    ReportedAttemptState state = ReportedAttemptState::Running;
    AttemptOutcome outcome = AttemptOutcome::Finished; ///< Only when ended.
    CheckpointId checkpoint; ///< The latest one; empty when none.
    Resources reserved; ///< What the attempt was started with.
    Resources used; ///< Mean since the last announcement.
};

struct WorkerAnnouncement {
    WorkerId worker;
    std::string incarnation; ///< Differs for each start of the worker process.
    AnnouncementNumber number;
    RackId rack;
    Labels labels;
    Resources capacity;
    std::string commandAddress; ///< "IP:port" where the worker takes pushed commands; empty for none.
    std::vector<ReportedAttempt> held;
};

enum class WorkerCommandKind : uint8_t {
    Start = 0,
    Stop = 1, ///< Checkpoint when possible, then stop.
    AcknowledgeEnd = 2, ///< The ended attempt is on record; stop reporting it.
    Throttle = 3, ///< Run at `percent` of the reserved processors.
};

struct WorkerCommand {
    WorkerCommandKind kind = WorkerCommandKind::Start;
    TaskId task;
    AttemptNumber attempt;
    Term epoch; ///< The leader's term; a worker refuses an older one than it has seen.
    Resources resources; ///< Start only.
    CheckpointId checkpoint; ///< Start only: resume from here.
    std::string command; ///< Start only.
    int64_t percent = 100; ///< Throttle only.
};

/// Answers an announcement, or pushes commands between two of them. A worker refuses one that names
/// another incarnation than its own, or an announcement that it sent longer than a lease ago.
struct AnnouncementAnswer {
    AnnouncementNumber number; ///< Of the announcement that is answered.
    std::string incarnation; ///< Of the process that sent it.
    Term epoch;
    Duration lease; ///< Counted by the worker from when it sent the announcement.
    std::vector<WorkerCommand> commands;
};

/// Throws Error(SchemaViolation).
WorkerAnnouncement workerAnnouncementFromJson(nlohmann::json const& value);
nlohmann::json toJson(WorkerAnnouncement const& announcement);
nlohmann::json toJson(AnnouncementAnswer const& answer);
AnnouncementAnswer announcementAnswerFromJson(nlohmann::json const& value);

} // namespace cornelpond
