#pragma once

// Checks that cancels take effect: each is acknowledged in time, and no task of a cancelled job is started or runs on
// afterwards. The time limits count only calm time, in which no fault is near.
//
// Example:
//   CancelCheck check(clock, [&](JobId const& job) { return fleet.runningCount(job); }, report);
//   check.onCancelSent(job);
//   check.noteFaultUntil(clock.now());
//   check.onTick();

#include "cornelpond/core/jobs/JobSpec.h"
#include "cornelpond/ports/Clock.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace cornelpond {

class CancelCheck {
public:
    /// `runningCount` returns how many tasks of a job run; `onViolation` is called once for each job and kind of violation.
    CancelCheck(Clock& clock, std::function<size_t(JobId const&)> runningCount, std::function<void(std::string const&)> onViolation);

    /// A fault is in effect until `end`.
    void noteFaultUntil(TimePoint end);

    /// To be called for each cancel that is sent for an accepted job, repeated ones included.
    void onCancelSent(JobId const& job);
    void onCancelAcknowledged(JobId const& job);

    /// `orderedAt`: when the order to start a task of the job reached the worker.
    void onTaskStarted(JobId const& job, TimePoint orderedAt);

    void onTick();

    /// Why the cancels have not all taken effect; empty once they have.
    std::string pendingReason() const;

private:
    struct Cancel {
        TimePoint sentAt; ///< The first time.
        std::optional<TimePoint> acknowledgedAt;
        std::optional<TimePoint> lastStartAt;
        bool isLateReported = false;
        bool isRunReported = false;
        bool isStartReported = false;
    };

    TimePoint calmSince() const;
    TimePoint effectiveSince(Cancel const& cancel) const;
    void checkAcknowledgement(JobId const& job, Cancel& cancel);
    void checkRuns(JobId const& job, Cancel& cancel);

    Clock& clock;
    std::function<size_t(JobId const&)> runningCount;
    std::function<void(std::string const&)> onViolation;
    std::map<JobId, Cancel> cancels;
    TimePoint faultsEndAt;
    TimePoint nextCheck;
};

} // namespace cornelpond
