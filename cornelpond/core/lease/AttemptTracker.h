#pragma once

// Tracks, for attempts that their worker's announcements leave out, until when each may still run or be started by
// a delayed command. Soft state of the leader.
//
// Example:
//   AttemptTracker tracker(times);
//   tracker.reset(clock.now()); // when leadership begins
//   tracker.onStartSent(task, attempt, clock.now());
//   if (!tracker.canStillRun(task, attempt, announcement, clock.now()))
//       endAttempt(task);
//
// A worker accepts a start within one lease of the announcement that the start names, and by then a later
// announcement may have been answered. So a start sent at T may lead to an attempt that is not reported until T plus
// two leases. An attempt reported at T runs no longer than T plus one lease unless it is reported again. The drift
// margin is added to both bounds. An attempt is known to have ended earlier in one case: the worker process that
// reported it leaves it out of a later announcement.

#include "cornelpond/core/lease/WorkerTable.h"

#include <unordered_map>

namespace cornelpond {

class AttemptTracker {
public:
    explicit AttemptTracker(LeaseTimes times)
        : times(times)
    {
    }

    /// Clears all attempts. Earlier leaders may have sent starts until `leaderSince`.
    void reset(TimePoint leaderSince);

    void onStartSent(TaskId const& task, AttemptNumber attempt, TimePoint now);
    void onReported(TaskId const& task, AttemptNumber attempt, WorkerAnnouncement const& announcement, TimePoint now);
    void forget(TaskId const& task) { this->trackedAttempts.erase(task); }

    /// For an attempt that the `announcement` received at `now` leaves out: false once it can no longer run.
    bool canStillRun(TaskId const& task, AttemptNumber attempt, WorkerAnnouncement const& announcement, TimePoint now) const;

    /// When this leader first sent the attempt's start; `now` if it did not.
    TimePoint firstStartSentAt(TaskId const& task, AttemptNumber attempt, TimePoint now) const;

    size_t size() const { return this->trackedAttempts.size(); }

private:
    struct TrackedAttempt {
        AttemptNumber attempt;
        TimePoint canRunUntil;
        TimePoint firstStartSentAt;
        bool isStartSent = false;
        std::string incarnation; ///< Of the worker process that reported it last; empty if none has.
        AnnouncementNumber lastAnnouncementNumber;
    };

    TrackedAttempt& track(TaskId const& task, AttemptNumber attempt);
    TrackedAttempt const* find(TaskId const& task, AttemptNumber attempt) const;

    LeaseTimes times;
    TimePoint leaderSince;
    std::unordered_map<TaskId, TrackedAttempt> trackedAttempts;
};

} // namespace cornelpond
