#include "cornelpond/core/lease/AttemptTracker.h"

#include <algorithm>

namespace cornelpond {

void AttemptTracker::reset(TimePoint leaderSince)
{
    this->leaderSince = leaderSince;
    this->trackedAttempts.clear();
}

AttemptTracker::TrackedAttempt& AttemptTracker::track(TaskId const& task, AttemptNumber attempt)
{
    TrackedAttempt& tracked = this->trackedAttempts[task];
    if (tracked.attempt == attempt)
        return tracked;
    tracked = TrackedAttempt();
    tracked.attempt = attempt;
    tracked.canRunUntil = this->leaderSince + this->times.lease * 2 + this->times.driftMargin;
    return tracked;
}

AttemptTracker::TrackedAttempt const* AttemptTracker::find(TaskId const& task, AttemptNumber attempt) const
{
    auto const found = this->trackedAttempts.find(task);
    return found != this->trackedAttempts.end() && found->second.attempt == attempt ? &found->second : nullptr;
}

void AttemptTracker::onStartSent(TaskId const& task, AttemptNumber attempt, TimePoint now)
{
    TrackedAttempt& tracked = this->track(task, attempt);
    tracked.canRunUntil = std::max(tracked.canRunUntil, now + this->times.lease * 2 + this->times.driftMargin);
    if (!tracked.isStartSent)
        tracked.firstStartSentAt = now;
    tracked.isStartSent = true;
}

void AttemptTracker::onReported(TaskId const& task, AttemptNumber attempt, WorkerAnnouncement const& announcement, TimePoint now)
{
    TrackedAttempt& tracked = this->track(task, attempt);
    tracked.canRunUntil = std::max(tracked.canRunUntil, now + this->times.lease + this->times.driftMargin);
    bool const isNewest = tracked.incarnation != announcement.incarnation || tracked.lastAnnouncementNumber < announcement.number;
    if (!isNewest)
        return;
    tracked.incarnation = announcement.incarnation;
    tracked.lastAnnouncementNumber = announcement.number;
}

bool AttemptTracker::canStillRun(TaskId const& task, AttemptNumber attempt, WorkerAnnouncement const& announcement, TimePoint now) const
{
    TrackedAttempt const* tracked = this->find(task, attempt);
    if (!tracked)
        return now < this->leaderSince + this->times.lease * 2 + this->times.driftMargin;
    bool const isLeftOutByItsProcess = tracked->incarnation == announcement.incarnation && tracked->lastAnnouncementNumber < announcement.number;
    return !isLeftOutByItsProcess && now < tracked->canRunUntil;
}

TimePoint AttemptTracker::firstStartSentAt(TaskId const& task, AttemptNumber attempt, TimePoint now) const
{
    TrackedAttempt const* tracked = this->find(task, attempt);
    return tracked && tracked->isStartSent ? tracked->firstStartSentAt : now;
}

} // namespace cornelpond
