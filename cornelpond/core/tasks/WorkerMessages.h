#pragma once

// The messages between a worker and the leader of its data centre. A worker sends an announcement, its
// heartbeat, about once a second. The answer renews its lease, which covers all its attempts, and carries
// commands.

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
    Ended = 1, ///< Reported until the leader acknowledges the end.
};

/// One attempt as a worker reports it.
struct ReportedAttempt {
    TaskId task;
    AttemptNumber attempt;
    ReportedAttemptState state = ReportedAttemptState::Running;
    AttemptOutcome outcome = AttemptOutcome::Finished; ///< Only when ended.
    CheckpointId checkpoint; ///< The latest one; empty when none.
    Resources reserved; ///< From the attempt's start command.
    Resources used; ///< Mean use since the last announcement.
};

struct WorkerAnnouncement {
    WorkerId worker;
    std::string incarnation; ///< Identifies the worker process; differs for each start of it.
    AnnouncementNumber number;
    RackId rack;
    Labels labels;
    Resources capacity;
    std::string commandAddress; ///< "IP:port" for pushed commands; empty when the worker takes none.
    std::vector<ReportedAttempt> held;
};

enum class WorkerCommandKind : uint8_t {
    Start = 0,
    Stop = 1, ///< Checkpoint when possible, then stop.
    AcknowledgeEnd = 2, ///< The attempt's end is committed or no longer matters; stop reporting it.
    Throttle = 3, ///< Limit the attempt to `percent` of its reserved processors.
};

struct WorkerCommand {
    WorkerCommandKind kind = WorkerCommandKind::Start;
    TaskId task;
    AttemptNumber attempt;
    Term epoch; ///< The leader's term; a worker refuses a lower one than it has seen.
    Resources resources; ///< Start only.
    CheckpointId checkpoint; ///< Start only: resume from this one; empty for none.
    std::string command; ///< Start only.
    int64_t percent = 100; ///< Throttle only.
};

/// Answers an announcement, or pushes commands between two announcements. A worker refuses an answer
/// that names another incarnation than its own, or an announcement that it sent more than a lease ago.
struct AnnouncementAnswer {
    AnnouncementNumber number; ///< Of the answered announcement; of the latest one when pushed.
    std::string incarnation; ///< Of the worker process that sent the announcement.
    Term epoch;
    Duration lease; ///< The worker counts it from when it sent the announcement.
    std::vector<WorkerCommand> commands;
};

/// Throws Error(SchemaViolation).
WorkerAnnouncement workerAnnouncementFromJson(nlohmann::json const& value);
nlohmann::json toJson(WorkerAnnouncement const& announcement);
nlohmann::json toJson(AnnouncementAnswer const& answer);
AnnouncementAnswer announcementAnswerFromJson(nlohmann::json const& value);

} // namespace cornelpond
