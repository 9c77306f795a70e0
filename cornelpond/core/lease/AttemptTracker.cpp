#include "cornelpond/core/lease/AttemptTracker.h"

#include <algorithm>

namespace cornelpond {

void AttemptTracker::reset(TimePoint since)
{
    this->leaderSince = since;
    this->traces.clear();
}

AttemptTracker::Trace& AttemptTracker::traceOf(TaskId const& task, AttemptNumber attempt)
{
    Trace& trace = this->traces[task];
    if (trace.attempt == attempt)
        return trace;
    trace = Trace();
    trace.attempt = attempt;
    trace.mayRunUntil = this->leaderSince + this->times.lease * 2 + this->times.driftMargin;
    return trace;
}

AttemptTracker::Trace const* AttemptTracker::find(TaskId const& task, AttemptNumber attempt) const
{
    auto const found = this->traces.find(task);
    return found != this->traces.end() && found->second.attempt == attempt ? &found->second : nullptr;
}

void AttemptTracker::onStartSent(TaskId const& task, AttemptNumber attempt, TimePoint now)
{
    Trace& trace = this->traceOf(task, attempt);
    trace.mayRunUntil = std::max(trace.mayRunUntil, now + this->times.lease * 2 + this->times.driftMargin);
    if (!trace.startSent)
        trace.firstStart = now;
    trace.startSent = true;
}

void AttemptTracker::onReported(TaskId const& task, AttemptNumber attempt, WorkerAnnouncement const& announcement, TimePoint now)
{
    Trace& trace = this->traceOf(task, attempt);
    trace.mayRunUntil = std::max(trace.mayRunUntil, now + this->times.lease + this->times.driftMargin);
    bool const isNewest = trace.incarnation != announcement.incarnation || trace.number < announcement.number;
    if (!isNewest)
        return;
    trace.incarnation = announcement.incarnation;
    trace.number = announcement.number;
}

bool AttemptTracker::mayRun(TaskId const& task, AttemptNumber attempt, WorkerAnnouncement const& announcement, TimePoint now) const
{
    Trace const* trace = this->find(task, attempt);
    if (!trace)
        return now < this->leaderSince + this->times.lease * 2 + this->times.driftMargin;
    bool const droppedByItsProcess = trace->incarnation == announcement.incarnation && trace->number < announcement.number;
    return !droppedByItsProcess && now < trace->mayRunUntil;
}

TimePoint AttemptTracker::firstStart(TaskId const& task, AttemptNumber attempt, TimePoint now) const
{
    Trace const* trace = this->find(task, attempt);
    return trace && trace->startSent ? trace->firstStart : now;
}

} // namespace cornelpond
