#pragma once

// The leader's soft knowledge of attempts whose worker announces itself without them: until when each
// may still run or be started by a delayed command.
//
// Example:
//   AttemptTracker tracker(times);
//   tracker.reset(clock.now());                              // leadership began
//   tracker.onStartSent(task, attempt, clock.now());
//   if (!tracker.mayRun(task, attempt, announcement, clock.now()))
//       endAttempt(task);
//
// A worker takes a start within a lease of the announcement that the start names, and may by then have
// had a later announcement answered. So a start sent at T may lead to an attempt that nobody reports
// until T plus two leases. An attempt that was reported at T lives no longer than T plus one lease
// unless it is reported again. Both bounds get the drift margin. The one shortcut: the same worker
// process reported the attempt before and leaves it out of a later announcement.

#include "cornelpond/core/lease/WorkerTable.h"

#include <unordered_map>

namespace cornelpond {

class AttemptTracker {
public:
    explicit AttemptTracker(LeaseTimes times)
        : times(times)
    {
    }

    /// Forgets everything; an earlier leader may have sent starts until `leaderSince`.
    void reset(TimePoint leaderSince);

    void onStartSent(TaskId const& task, AttemptNumber attempt, TimePoint now);
    void onReported(TaskId const& task, AttemptNumber attempt, WorkerAnnouncement const& announcement, TimePoint now);
    void forget(TaskId const& task) { this->trackedAttempts.erase(task); }

    /// For an attempt that `announcement`, just received, leaves out: false once it cannot run any more.
    bool canStillRun(TaskId const& task, AttemptNumber attempt, WorkerAnnouncement const& announcement, TimePoint now) const;

    /// When this leader first sent the attempt's start; `now` when it never did.
    TimePoint firstStartSentAt(TaskId const& task, AttemptNumber attempt, TimePoint now) const;

    size_t size() const { return this->trackedAttempts.size(); }

private:
    struct TrackedAttempt {
        AttemptNumber attempt;
        TimePoint canRunUntil;
        TimePoint firstStartSentAt;
        bool isStartSent = false;
        std::string incarnation; ///< Of the process that reported it last; empty when none did.
        AnnouncementNumber lastAnnouncementNumber;
    };

    TrackedAttempt& track(TaskId const& task, AttemptNumber attempt);
    TrackedAttempt const* find(TaskId const& task, AttemptNumber attempt) const;

    LeaseTimes times;
    TimePoint leaderSince;
    std::unordered_map<TaskId, TrackedAttempt> trackedAttempts;
};

} // namespace cornelpond
