#include "cornelpond/core/lease/AttemptTracker.h"

#include <algorithm>

namespace cornelpond {

void AttemptTracker::reset(TimePoint since)
{
    this->leaderSince = since;
    this->trackedAttempts.clear();
}

AttemptTracker::TrackedAttempt& AttemptTracker::track(TaskId const& task, AttemptNumber attempt)
{
    TrackedAttempt& trace = this->trackedAttempts[task];
    if (trace.attempt == attempt)
        return trace;
    trace = TrackedAttempt();
    trace.attempt = attempt;
    trace.canRunUntil = this->leaderSince + this->times.lease * 2 + this->times.driftMargin;
    return trace;
}

AttemptTracker::TrackedAttempt const* AttemptTracker::find(TaskId const& task, AttemptNumber attempt) const
{
    auto const found = this->trackedAttempts.find(task);
    return found != this->trackedAttempts.end() && found->second.attempt == attempt ? &found->second : nullptr;
}

void AttemptTracker::onStartSent(TaskId const& task, AttemptNumber attempt, TimePoint now)
{
    TrackedAttempt& trace = this->track(task, attempt);
    trace.canRunUntil = std::max(trace.canRunUntil, now + this->times.lease * 2 + this->times.driftMargin);
    if (!trace.isStartSent)
        trace.firstStartSentAt = now;
    trace.isStartSent = true;
}

void AttemptTracker::onReported(TaskId const& task, AttemptNumber attempt, WorkerAnnouncement const& announcement, TimePoint now)
{
    TrackedAttempt& trace = this->track(task, attempt);
    trace.canRunUntil = std::max(trace.canRunUntil, now + this->times.lease + this->times.driftMargin);
    bool const isNewest = trace.incarnation != announcement.incarnation || trace.lastAnnouncementNumber < announcement.number;
    if (!isNewest)
        return;
    trace.incarnation = announcement.incarnation;
    trace.lastAnnouncementNumber = announcement.number;
}

bool AttemptTracker::canStillRun(TaskId const& task, AttemptNumber attempt, WorkerAnnouncement const& announcement, TimePoint now) const
{
    TrackedAttempt const* trace = this->find(task, attempt);
    if (!trace)
        return now < this->leaderSince + this->times.lease * 2 + this->times.driftMargin;
    bool const droppedByItsProcess = trace->incarnation == announcement.incarnation && trace->lastAnnouncementNumber < announcement.number;
    return !droppedByItsProcess && now < trace->canRunUntil;
}

TimePoint AttemptTracker::firstStartSentAt(TaskId const& task, AttemptNumber attempt, TimePoint now) const
{
    TrackedAttempt const* trace = this->find(task, attempt);
    return trace && trace->isStartSent ? trace->firstStartSentAt : now;
}

} // namespace cornelpond
