#include "cornelpond/core/dispatch/EndedJobReport.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace cornelpond {

namespace {

    constexpr Duration checkInterval = Duration::milliseconds(500);
    constexpr Duration firstReportAfter = Duration::seconds(2);
    constexpr Duration reportInterval = Duration::seconds(2);
    constexpr size_t maxLinesPerCheck = 50;
    constexpr size_t maxAttemptsPerLine = 32;

    char const* nameOf(PlacedAttempt::Phase phase)
    {
        switch (phase) {
        case PlacedAttempt::Phase::Proposed:
            return "proposed";
        case PlacedAttempt::Phase::Starting:
            return "starting";
        case PlacedAttempt::Phase::Running:
            return "running";
        }
        return "";
    }

    /// -1 without a time.
    int64_t ageMs(TimePoint now, std::optional<TimePoint> since)
    {
        return since ? (now - *since).toMilliseconds() : -1;
    }

    void addStops(Event& event, StopProgress const& stops)
    {
        bool const hasResult = stops.sent > 1 || (stops.sent && !stops.isInFlight);
        event.with("stops", stops.sent)
            .with("stopInFlight", static_cast<int>(stops.isInFlight))
            .with("confirmed", static_cast<int>(stops.confirmedAt.has_value()))
            .with("lastResult", std::string(hasResult ? orderResultName(stops.lastResult) : "none"));
    }

} // namespace

EndedJobReport::EndedJobReport(Clock const& clock, EventSink& events, JobTable const& jobs, DispatchTimes const& times, std::map<WorkerId, WorkerView>& workers)
    : clock(clock)
    , events(events)
    , jobs(jobs)
    , times(times)
    , workers(workers)
{
}

void EndedJobReport::lead()
{
    this->endedJobs.clear();
    int64_t const wallMs = this->clock.wallMilliseconds();
    for (auto const& [id, job] : this->jobs.all()) {
        if (job.state != JobState::Active && job.liveAttemptCount)
            this->add(job, Duration::milliseconds(std::max<int64_t>(wallMs - job.endedWallMs, 0)), "notKnown", true);
    }
}

void EndedJobReport::onJobEnded(JobRecord const& job, bool hasBegun)
{
    if (job.state == JobState::Cancelled || job.liveAttemptCount)
        this->add(job, Duration(), hasBegun ? "running" : "queued", false);
}

void EndedJobReport::add(JobRecord const& job, Duration age, char const* stateBefore, bool isInherited)
{
    this->events.emit(Event(EventId::JobStopsBegun)
                          .with("job", job.spec.id)
                          .with("queue", job.queue)
                          .with("state", std::string(jobStateName(job.state)))
                          .with("before", stateBefore)
                          .with("inherited", static_cast<int>(isInherited))
                          .with("sinceEndedMs", age)
                          .with("attempts", job.liveAttemptCount)
                          .with("live", this->liveAttempts(job.spec.id)));
    if (!job.liveAttemptCount)
        return;
    TimePoint const now = this->clock.now();
    EndedJob ended;
    ended.endedAt = now - age;
    ended.nextReportAt = std::max(now, ended.endedAt + firstReportAfter);
    ended.attempts = job.liveAttemptCount;
    this->endedJobs.insert_or_assign(job.spec.id, ended);
}

/// The first live attempts, each as occurrence.stage.index/attempt@worker:phase.
std::string EndedJobReport::liveAttempts(JobId const& job)
{
    std::string text;
    size_t count = 0;
    this->jobs.forEachLiveAttemptOf(job, [&](TaskRef const& task, TaskRecord const&, Attempt const& attempt) {
        if (count++ >= maxAttemptsPerLine)
            return;
        text += text.empty() ? "" : ",";
        text += std::to_string(task.occurrence) + '.' + std::to_string(task.stage) + '.' + std::to_string(task.index) + '/' + std::to_string(attempt.number.value());
        ((text += '@') += attempt.worker.value()) += ':';
        text += this->phaseName(task, attempt);
    });
    return text;
}

PlacedAttempt* EndedJobReport::findPlaced(TaskRef const& task, Attempt const& attempt)
{
    auto const worker = this->workers.find(attempt.worker);
    return worker == this->workers.end() ? nullptr : worker->second.find(task, attempt.number);
}

char const* EndedJobReport::phaseName(TaskRef const& task, Attempt const& attempt)
{
    if (!this->workers.count(attempt.worker))
        return "workerNotKnown";
    PlacedAttempt const* placed = this->findPlaced(task, attempt);
    return placed ? nameOf(placed->phase) : "notPlaced";
}

void EndedJobReport::onEndApplied(CommitEnd const& end, PlacedAttempt const* attempt)
{
    auto const found = this->endedJobs.find(end.task.job);
    if (found == this->endedJobs.end())
        return;
    EndedJob& ended = found->second;
    ended.stops += attempt ? attempt->stopOrders.sent : 0;
    JobRecord const* job = this->jobs.find(end.task.job);
    if (job && job->liveAttemptCount)
        return;
    this->events.emit(Event(EventId::JobStopsDone)
                          .with("job", end.task.job)
                          .with("state", std::string(this->jobs.stateName(end.task.job)))
                          .with("lastedMs", this->clock.now() - ended.endedAt)
                          .with("attempts", ended.attempts)
                          .with("stops", ended.stops)
                          .with("lastTask", end.task.text())
                          .with("lastWorker", end.worker)
                          .with("lastOutcome", std::string(attemptEndName(end.end))));
    this->endedJobs.erase(found);
}

void EndedJobReport::onTick(bool canSendOrders)
{
    TimePoint const now = this->clock.now();
    if (now < this->nextCheckAt)
        return;
    this->nextCheckAt = now + checkInterval;
    this->linesLeft = maxLinesPerCheck;
    for (auto& [id, ended] : this->endedJobs) {
        if (now < ended.nextReportAt)
            continue;
        ended.nextReportAt = now + reportInterval;
        this->reportAttempts(id, ended, canSendOrders);
    }
    this->reportOrphans(canSendOrders);
    if (this->suppressedLines)
        this->events.emit(Event(EventId::EventsSuppressed).with("suppressed", std::string(eventInfo(EventId::AttemptOutlivesJob).name)).with("lines", std::exchange(this->suppressedLines, 0)));
}

/// False when the lines of the present check are used up.
bool EndedJobReport::takeLine()
{
    if (!this->linesLeft) {
        this->suppressedLines++;
        return false;
    }
    this->linesLeft--;
    return true;
}

void EndedJobReport::reportAttempts(JobId const& id, EndedJob const& ended, bool canSendOrders)
{
    Duration const age = this->clock.now() - ended.endedAt;
    this->jobs.forEachLiveAttemptOf(id, [&](TaskRef const& task, TaskRecord const&, Attempt const& attempt) {
        if (this->takeLine())
            this->reportAttempt(task, attempt, age, canSendOrders);
    });
}

Event EndedJobReport::attemptEvent(TaskRef const& task, Attempt const& attempt, char const* phase, Duration age) const
{
    Event event(EventId::AttemptOutlivesJob);
    event.with("task", task.text())
        .with("attempt", attempt.number)
        .with("worker", attempt.worker)
        .with("phase", phase)
        .with("state", std::string(this->jobs.stateName(task.job)))
        .with("sinceMs", age);
    return event;
}

void EndedJobReport::reportAttempt(TaskRef const& task, Attempt const& attempt, Duration age, bool canSendOrders)
{
    TimePoint const now = this->clock.now();
    Event event = this->attemptEvent(task, attempt, this->phaseName(task, attempt), age);
    if (PlacedAttempt const* placed = this->findPlaced(task, attempt)) {
        addStops(event, placed->stopOrders);
        event.with("stopping", static_cast<int>(placed->isStopping))
            .with("confirmedMs", ageMs(now, placed->closedAt()))
            .with("endProposed", static_cast<int>(placed->isEndProposed))
            .with("starts", placed->startsSent)
            .with("startUncertain", static_cast<int>(placed->isStartUncertain))
            .with("inherited", static_cast<int>(placed->isInherited))
            .with("listedMs", ageMs(now, placed->lastListedAt));
    }
    this->addWorker(event, attempt.worker);
    this->events.emit(event.with("canSendOrders", static_cast<int>(canSendOrders)));
}

/// What the leader knows of the worker; nothing when it does not know it.
void EndedJobReport::addWorker(Event& event, WorkerId const& worker) const
{
    TimePoint const now = this->clock.now();
    auto const found = this->workers.find(worker);
    if (found == this->workers.end())
        return;
    WorkerView const& view = found->second;
    event.with("answers", static_cast<int>(view.isAnswering(now, this->times)))
        .with("answerAgeMs", now - view.lastAnswerAt)
        .with("hasListing", static_cast<int>(view.hasListing))
        .with("listings", view.listingCount)
        .with("higherEpoch", static_cast<int>(view.hasHigherEpoch))
        .with("promiseAgeMs", now - view.lastLeaseExtensionAt)
        .with("withheld", static_cast<int>(view.isLeaseWithheld))
        .with("formerOrders", static_cast<int>(view.mayReceiveFormerOrders));
}

void EndedJobReport::reportOrphans(bool canSendOrders)
{
    TimePoint const now = this->clock.now();
    for (auto& [worker, view] : this->workers) {
        for (auto& [key, orphan] : view.orphanedAttempts) {
            if (orphan.isListed && orphan.listedSince && now >= std::max(*orphan.listedSince + firstReportAfter, orphan.nextReportAt)) {
                orphan.nextReportAt = now + reportInterval;
                if (this->takeLine())
                    this->reportOrphan(worker, key, orphan, canSendOrders);
            }
        }
    }
}

void EndedJobReport::reportOrphan(WorkerId const& worker, AttemptKey const& key, OrphanedAttempt const& orphan, bool canSendOrders)
{
    Event event = this->attemptEvent(key.first, { key.second, worker }, "stray", this->clock.now() - *orphan.listedSince);
    addStops(event, orphan.stopOrders);
    this->addWorker(event, worker);
    this->events.emit(event.with("canSendOrders", static_cast<int>(canSendOrders)));
}

size_t EndedJobReport::attemptsOlderThan(Duration age) const
{
    TimePoint const now = this->clock.now();
    size_t count = 0;
    for (auto const& [id, ended] : this->endedJobs) {
        JobRecord const* job = this->jobs.find(id);
        count += job && now - ended.endedAt >= age ? job->liveAttemptCount : 0;
    }
    return count;
}

size_t EndedJobReport::listedOrphans() const
{
    size_t count = 0;
    for (auto const& [worker, view] : this->workers)
        count += static_cast<size_t>(std::count_if(view.orphanedAttempts.begin(), view.orphanedAttempts.end(), [](auto const& entry) { return entry.second.isListed; }));
    return count;
}

} // namespace cornelpond
