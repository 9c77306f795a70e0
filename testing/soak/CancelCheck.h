#pragma once

// Checks that cancels take effect: each is acknowledged in time, and no task of a cancelled job is started or runs on
// afterwards. The time limits count only calm time, in which no fault is near. A cancel is judged once such a limit has
// passed, whether it was kept or not.
//
// Example:
//   CancelCheck check(clock, [&](JobId const& job) { return fleet.runningCount(job); }, report);
//   check.onCancelSent(job, TaskLength::Lasting);
//   check.noteFaultUntil(clock.now());
//   check.onTick();
//   check.summary().judgedRuns;

#include "cornelpond/core/jobs/JobSpec.h"
#include "cornelpond/ports/Clock.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cornelpond {

/// How long the tasks of a job run unless they are stopped.
enum class TaskLength {
    Short, ///< They may end by themselves before a cancel is judged.
    Lasting, ///< They outlast the time limits of a cancel.
};

/// What a run has shown about cancels.
struct CancelSummary {
    size_t cancels = 0; ///< Jobs for which a cancel was sent.
    size_t lasting = 0; ///< Of these, jobs with tasks that last, of which some ran when the cancel was sent or later.
    size_t judgedAcknowledgements = 0; ///< Cancels that were acknowledged in calm time, or were not within its limit.
    size_t judgedRuns = 0; ///< Cancels after which the limit for runs has passed in calm time.
    size_t lastingJudgedRuns = 0; ///< Of these, those counted in `lasting`.
    Duration longestCalmRun; ///< The longest that tasks of a cancelled job have run of the time for which it may, judged or not.
    JobId longestCalmRunJob;
    std::vector<Duration> stopTimes; ///< From the first cancel of each of `lasting` to the end of its last run so far, ascending.
};

class CancelCheck {
public:
    /// `runningCount` returns how many tasks of a job run; `onViolation` is called once for each job and kind of violation.
    CancelCheck(Clock& clock, std::function<size_t(JobId const&)> runningCount, std::function<void(std::string const&)> onViolation);

    /// A fault is in effect until `end`.
    void noteFaultUntil(TimePoint end);

    /// To be called for each cancel that is sent, repeated ones included. Unless the job is accepted, its cancel may be
    /// denied; the time limits count from its acceptance then, or from an acknowledgement.
    void onCancelSent(JobId const& job, TaskLength length = TaskLength::Short, bool isAccepted = true);
    /// The submission of a job was answered after its cancel was sent.
    void onAccepted(JobId const& job);
    void onCancelAcknowledged(JobId const& job);

    /// `orderedAt`: when the order to start a task of the job reached the worker.
    void onTaskStarted(JobId const& job, TimePoint orderedAt);

    void onTick();

    /// Why the cancels have not all taken effect; empty once they have.
    std::string pendingReason() const;

    /// True once each cancel has been judged for runs.
    bool isJudged() const;
    CancelSummary summary() const;

private:
    struct Cancel {
        TimePoint sentAt; ///< The first time.
        std::optional<TimePoint> dueSince; ///< When it was sent for an accepted job; unset while the job is not accepted.
        std::optional<TimePoint> acknowledgedAt;
        std::optional<TimePoint> lastStartAt;
        std::optional<TimePoint> lastRunAt; ///< When tasks of the job were last seen running after the cancel.
        TaskLength length = TaskLength::Short;
        bool mayRun = true; ///< No task has been seen to be absent since the cancel or the last start.
        bool isAcknowledgementJudged = false;
        bool isRunJudged = false;
        bool isLateReported = false;
        bool isRunReported = false;
        bool isStartReported = false;
    };

    static bool hasLimits(Cancel const& cancel) { return cancel.dueSince || cancel.acknowledgedAt; }
    TimePoint calmSince() const;
    TimePoint runsCountSince(Cancel const& cancel) const;
    TimePoint effectiveSince(Cancel const& cancel) const;
    void checkAcknowledgement(JobId const& job, Cancel& cancel);
    void checkRuns(JobId const& job, Cancel& cancel);
    void watchRuns();

    Clock& clock;
    std::function<size_t(JobId const&)> runningCount;
    std::function<void(std::string const&)> onViolation;
    std::map<JobId, Cancel> cancels;
    TimePoint faultsEndAt;
    TimePoint nextCheck;
    Duration longestCalmRun;
    JobId longestCalmRunJob;
};

} // namespace cornelpond
