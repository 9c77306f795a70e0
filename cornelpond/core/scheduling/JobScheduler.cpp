#include "cornelpond/core/scheduling/JobScheduler.h"

#include "cornelpond/core/base/ResultCode.h"
#include "cornelpond/core/base/StableHash.h"
#include "cornelpond/core/placement/ThrottlePolicy.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace cornelpond {

namespace {

    /// A pass runs at least this often, for conditions that change with time alone.
    constexpr Duration maxPassInterval = Duration::milliseconds(100);
    constexpr Duration slowCheckInterval = Duration::milliseconds(250);
    /// Cores of a worker count as idle once they were free for one to two such windows.
    constexpr Duration idleWindow = Duration::seconds(1);
    constexpr Duration roomReportInterval = Duration::seconds(1);
    constexpr Duration loadReportInterval = Duration::seconds(1);
    /// A task that saves a checkpoint when stopped is stopped this long before its worker leaves.
    constexpr Duration evacuationLeadTime = Duration::milliseconds(900);
    /// Upper bound on the wait assumed for a job of an earlier leader, however far the wall clocks differ.
    constexpr Duration maxInheritedWait = Duration::seconds(30);
    /// Once some service task of a worker has been over its target for this long, all best-effort tasks there are
    /// set to 0 % speed. Users notice after a few seconds, and the figures seen here are a second old.
    constexpr Duration maxTimeOverTarget = Duration::milliseconds(1400);
    constexpr Duration overloadRetryAfter = Duration::seconds(2);
    /// A new leader starts no tasks for this long, so that calls that waited for a leader, cancels among them, are
    /// committed first. Entry hosts retry waiting calls every 100 ms, and a commit takes about 30 ms.
    constexpr Duration startDelayOfNewLeader = Duration::milliseconds(250);

    /// The need that nine tenths of the tasks do not exceed. `needs`: with the number of tasks each; not empty.
    int64_t commonNeed(std::vector<std::pair<int64_t, uint64_t>>& needs)
    {
        constexpr double share = 0.9;
        std::sort(needs.begin(), needs.end());
        uint64_t const all = std::accumulate(needs.begin(), needs.end(), uint64_t(0), [](uint64_t sum, auto const& need) { return sum + need.second; });
        uint64_t counted = 0;
        auto const common = std::find_if(needs.begin(), needs.end(), [&](auto const& need) {
            counted += need.second;
            return static_cast<double>(counted) >= share * static_cast<double>(all);
        });
        return common->first;
    }

    CallResult resultOf(ResultCode code)
    {
        switch (code) {
        case ResultCode::Ok:
            return CallResult::Done;
        case ResultCode::OutcomeUnknown:
            return CallResult::OutcomeUnknown;
        default:
            return CallResult::NotLeader;
        }
    }

    /// True while an attempt of a finished task is not concluded: its start order may still be carried out. The members of
    /// a gang that is done only end, and a speculative copy may start late.
    bool mayStillStart(JobRecord const& job)
    {
        for (auto const& [number, occurrence] : job.occurrences) {
            for (size_t i = 0; i < occurrence.stages.size(); i++) {
                auto const& tasks = occurrence.stages[i].tasks;
                bool const hasLiveAttempt = std::any_of(tasks.begin(), tasks.end(), [](TaskRecord const& task) { return !task.liveAttempts.empty(); });
                if (hasLiveAttempt && !job.spec.stages[i].isGang && !job.spec.stages[i].allowsSpeculativeCopies)
                    return true;
            }
        }
        return false;
    }

} // namespace

std::string_view callResultName(CallResult result)
{
    switch (result) {
    case CallResult::Done:
        return "done";
    case CallResult::NotLeader:
        return "notLeader";
    case CallResult::Refused:
        return "refused";
    case CallResult::OutcomeUnknown:
        return "outcomeUnknown";
    case CallResult::NotFound:
        return "notFound";
    case CallResult::Cancelled:
        return "cancelled";
    }
    return "outcomeUnknown";
}

JobScheduler::JobScheduler(Clock const& clock, EventSink& events, CommandLog& jobLog, CommandLog& rosterLog, QueueTable const& queues, WorkerOrders& orders, DispatchTimes times, JobLimits limits)
    : clock(clock)
    , events(events)
    , jobLog(jobLog)
    , rosterLog(rosterLog)
    , queues(queues)
    , times(times)
    , limits(limits)
    , jobTable(this->tableHooks())
    , workerRoster(this->rosterHooks())
    , permits(orders, clock, [this] { this->isPassNeeded = true; })
    , dispatch(clock, events, orders, times, this->jobTable, this->dispatcherHooks())
    , placer(this->dispatch.workers(), this->interference, this->cpuUsage, this->times, PlacementParameters())
{
}

JobScheduler::~JobScheduler() = default;

JobTableHooks JobScheduler::tableHooks()
{
    JobTableHooks hooks;
    hooks.onStartApplied = [this](CommitStart const& start) { this->onStartApplied(start); };
    hooks.onStartRefused = [this](CommitStart const& start) {
        this->proposedTasks.erase(start.task);
        this->dispatch.onStartRefused(start);
        this->isPassNeeded = true;
    };
    hooks.onEndApplied = [this](CommitEnd const& end) { this->onEndApplied(end); };
    hooks.onJobChanged = [this](JobRecord const& job) { this->onJobChanged(job); };
    hooks.onJobRemoved = [this](JobId const& job) { this->permits.forgetJob(job); };
    return hooks;
}

RosterHooks JobScheduler::rosterHooks()
{
    RosterHooks hooks;
    hooks.onWorkerChanged = [this](WorkerProfile const& profile, bool isOtherProcess) { this->dispatch.onWorkerChanged(profile, isOtherProcess); };
    hooks.onWorkerRemoved = [this](WorkerId const& worker) {
        // Otherwise one announcement with a number too large would make all later ones of that worker look outdated.
        this->lastSequences.erase(worker);
        this->dispatch.onWorkerRemoved(worker);
    };
    return hooks;
}

DispatcherHooks JobScheduler::dispatcherHooks()
{
    DispatcherHooks hooks;
    hooks.canSendOrders = [this] { return this->jobLog.isLeadershipConfirmed(); };
    hooks.proposeEnd = [this](CommitEnd const& end) { this->pendingUpdates.emplace_back(end); };
    // The result is not needed: a removal that is not committed is decided again.
    hooks.removeWorker = [this](WorkerProfile const& profile) {
        // The process may have an earlier start time than the one in the roster, which refuses to remove a later one.
        WorkerProfile const* known = this->workerRoster.find(profile.id);
        this->removeWorker(profile.id, known ? std::max(known->bornMs, profile.bornMs) : profile.bornMs, [](CallResult) {});
    };
    hooks.permitFor = [this](TaskRef const& task, WorkerId const& worker) { return this->permits.ticket(task, worker); };
    hooks.onPermitRefused = [this](TaskRef const& task, WorkerId const& worker) { this->permits.invalidate(task, worker); };
    hooks.onListingRead = [this](WorkerView& worker) { this->processListing(worker); };
    hooks.onCapacityChanged = [this] { this->isPassNeeded = true; };
    return hooks;
}

void JobScheduler::applyJobCommand(std::string const& command)
{
    this->jobTable.apply(decodeJobCommand(command), this->queues);
}

void JobScheduler::applyRosterCommand(std::string const& command)
{
    this->workerRoster.apply(decodeRosterCommand(command));
}

void JobScheduler::onQueuesChanged()
{
    this->jobTable.onQueuesChanged(this->queues);
    for (auto& [id, active] : this->activeJobs) {
        JobRecord const& job = *this->jobTable.find(id);
        active.objective = objectiveOf(job.spec, this->queues.find(job.queue), active.objective.acceptedAt);
    }
    this->isPassNeeded = true;
}

void JobScheduler::onLeadership(bool isLeader)
{
    this->activeJobs.clear();
    this->proposedTasks.clear();
    this->proposedJobs.clear();
    this->proposedUnsubmittedCancels.clear();
    this->waitingSince.clear();
    this->serviceTaskEnds.clear();
    this->pendingUpdates.clear();
    this->lastSequences.clear();
    this->drainEnds.clear();
    this->permits.clear();
    this->interference.clear();
    this->cpuUsage.clear();
    this->runTimes.clear();
    this->backlog.clear();
    this->lastTickAt.reset();
    if (!isLeader) {
        this->dispatch.resign();
        return;
    }
    this->startsAllowedFrom = this->clock.now() + startDelayOfNewLeader;
    this->dispatch.lead(this->jobLog.term(), this->workerRoster);
    for (auto const& [id, job] : this->jobTable.all()) {
        if (job.state == JobState::Active)
            this->activeJob(job);
    }
    this->isPassNeeded = true;
}

/// The leader's record of an active job; created at the first call for the job.
JobScheduler::ActiveJob& JobScheduler::activeJob(JobRecord const& job)
{
    auto const [entry, isNew] = this->activeJobs.try_emplace(job.spec.id);
    if (isNew) {
        Duration const waited = Duration::milliseconds(this->clock.wallMilliseconds() - job.acceptedWallMs);
        TimePoint const acceptedAt = this->clock.now() - std::clamp(waited, Duration(), maxInheritedWait);
        entry->second.objective = objectiveOf(job.spec, this->queues.find(job.queue), acceptedAt);
        entry->second.progress.size = sizeOf(job.spec);
        entry->second.record = &job;
        entry->second.isBestEffort = std::all_of(job.spec.stages.begin(), job.spec.stages.end(), [](StageSpec const& stage) { return stage.isBestEffort; });
    }
    return entry->second;
}

void JobScheduler::onJobChanged(JobRecord const& job)
{
    if (!this->dispatch.isLeading())
        return;
    if (job.state == JobState::Active) {
        this->activeJob(job);
        this->isPassNeeded = true;
        return;
    }
    this->reportEnd(job);
    this->activeJobs.erase(job.spec.id);
    for (auto* since : { &this->waitingSince, &this->serviceTaskEnds })
        since->erase(since->lower_bound({ job.spec.id, 0, 0, 0 }), since->lower_bound({ job.spec.id, UINT32_MAX, 0, 0 }));
    this->dispatch.stopUnwanted(job.spec.id);
    this->isPassNeeded = true;
}

/// Logs and counts the end of a job.
void JobScheduler::reportEnd(JobRecord const& job)
{
    ActiveJob const& active = this->activeJob(job);
    JobProgress const& progress = active.progress;
    Duration const lasted = this->clock.now() - active.objective.acceptedAt;
    JobOutcome const outcome = outcomeOf(job.state, lasted, active.objective.latencyObjective);
    this->events.emit(Event(EventId::JobEnded)
                          .with("job", job.spec.id)
                          .with("queue", job.queue)
                          .with("state", std::string(jobStateName(job.state)))
                          .with("lastedMs", lasted)
                          .with("objectiveMs", active.objective.latencyObjective)
                          .with("tasks", progress.size.taskCount)
                          .with("coreMs", progress.size.coreMs)
                          .with("taskMilliCores", progress.size.largestTaskMilliCores)
                          .with("starts", progress.starts)
                          .with("firstStartMs", progress.firstStart)
                          .with("lastStartMs", progress.lastStart)
                          .with("passedByLaterJobs", progress.passedOver.byLaterJobs)
                          .with("passedByLowerRank", progress.passedOver.byLowerRank));
    this->schedulerCounters.jobsCompleted += job.state == JobState::Completed;
    this->schedulerCounters.jobsFailed += job.state == JobState::Failed;
    this->schedulerCounters.jobsCancelled += job.state == JobState::Cancelled;
    if (job.state == JobState::Completed)
        this->schedulerCounters.completionLatency.observe(lasted);
    if (!job.spec.hasServiceStage())
        this->schedulerCounters.jobEnds[{ sizeClassOf(progress.size), outcome }]++;
}

std::array<size_t, sizeClassCount> JobScheduler::activeJobsBySize() const
{
    std::array<size_t, sizeClassCount> counts {};
    for (auto const& [id, active] : this->activeJobs) {
        if (!this->jobTable.find(id)->spec.hasServiceStage())
            counts.at(sizeClassOf(active.progress.size))++;
    }
    return counts;
}

void JobScheduler::onStartApplied(CommitStart const& start)
{
    this->proposedTasks.erase(start.task);
    this->serviceTaskEnds.erase(start.task);
    this->dispatch.onStartApplied(start);
}

void JobScheduler::onEndApplied(CommitEnd const& end)
{
    if (!this->dispatch.isLeading())
        return;
    this->events.emit(Event(EventId::AttemptEnded)
                          .with("task", end.task.text())
                          .with("attempt", end.attempt)
                          .with("worker", end.worker)
                          .with("outcome", std::string(attemptEndName(end.end)))
                          .with("checkpoint", end.checkpoint));
    this->schedulerCounters.attemptEnds[end.end]++;
    this->observeRunTime(end);
    this->dispatch.onEndApplied(end);
    this->noteServiceTaskEnd(end.task);
    this->stopRestOfGang(end);
    this->isPassNeeded = true;
}

void JobScheduler::observeRunTime(CommitEnd const& end)
{
    WorkerView* worker = this->dispatch.findWorker(end.worker);
    PlacedAttempt const* attempt = worker ? worker->find(end.task, end.attempt) : nullptr;
    if (attempt && end.end == AttemptEnd::Done && !attempt->isThrottledStart && attempt->placedAt)
        this->runTimes.observe(*attempt->stage, this->clock.now() - *attempt->placedAt);
}

/// Notes since when a service task that ran waits for a worker.
void JobScheduler::noteServiceTaskEnd(TaskRef const& task)
{
    JobRecord const* job = this->jobTable.find(task.job);
    TaskRecord const* record = this->jobTable.findTask(task);
    if (record && record->isWaiting() && job->state == JobState::Active && job->spec.stages[task.stage].isService)
        this->serviceTaskEnds.try_emplace(task, this->clock.now());
}

/// A gang makes progress only with all its members: once one is gone, the others would wait in vain until they
/// time out.
void JobScheduler::stopRestOfGang(CommitEnd const& end)
{
    JobRecord const* job = this->jobTable.find(end.task.job);
    if (!job || end.end == AttemptEnd::Done || !job->spec.stages[end.task.stage].isGang)
        return;
    auto const occurrence = job->occurrences.find(end.task.occurrence);
    if (occurrence == job->occurrences.end())
        return;
    auto const& tasks = occurrence->second.stages[end.task.stage].tasks;
    for (uint32_t index = 0; index < tasks.size(); index++) {
        for (auto const& attempt : tasks[index].liveAttempts) {
            TaskRef member = end.task;
            member.index = index;
            WorkerView* worker = this->dispatch.findWorker(attempt.worker);
            PlacedAttempt* placed = worker ? worker->find({ member, attempt.number }) : nullptr;
            if (placed)
                this->dispatch.stop(*worker, *placed);
        }
    }
}

void JobScheduler::submit(JobSpec job, QueueSpec const& queue, std::function<void(SubmitResult const&)> done)
{
    if (this->jobTable.find(job.id)) {
        done({ CallResult::Done, Duration() });
        return;
    }
    if (!this->jobLog.isLeader()) {
        done({ CallResult::NotLeader, Duration() });
        return;
    }
    if (this->isCancelledWithoutRecord(job.id)) {
        this->refuse(job, queue, "cancelled before it arrived", Duration());
        done({ CallResult::Cancelled, Duration() });
        return;
    }
    bool const mayBeRefused = !this->proposedJobs.count(job.id);
    if (mayBeRefused && this->activeJobs.size() >= this->limits.maxActiveJobs) {
        this->refuse(job, queue, "too many jobs", overloadRetryAfter);
        done({ CallResult::Refused, overloadRetryAfter });
        return;
    }
    if (auto const retryAfter = mayBeRefused ? this->refusalFor(job, queue) : std::nullopt) {
        this->refuse(job, queue, "too late to be useful", *retryAfter);
        done({ CallResult::Refused, *retryAfter });
        return;
    }
    JobId const id = job.id;
    size_t const stages = job.stages.size();
    JobSize const size = sizeOf(job);
    this->proposedJobs.insert(id);
    SubmitJob command { std::move(job), queue.name, this->clock.wallMilliseconds() };
    this->jobLog.propose(encodeJobCommand(std::move(command)), [this, id, stages, size, name = queue.name, since = this->clock.now(), done = std::move(done)](ProposalOutcome const& outcome) {
        if (auto const proposed = this->proposedJobs.find(id); proposed != this->proposedJobs.end())
            this->proposedJobs.erase(proposed);
        CallResult const result = resultOf(outcome.code);
        this->schedulerCounters.jobsAccepted += result == CallResult::Done;
        this->schedulerCounters.submitLatency.observe(this->clock.now() - since);
        this->events.emit(Event(result == CallResult::Done ? EventId::JobAccepted : EventId::JobRefused)
                              .with("job", id)
                              .with("queue", name)
                              .with("stages", stages)
                              .with("tasks", size.taskCount)
                              .with("coreMs", size.coreMs)
                              .with("taskMilliCores", size.largestTaskMilliCores)
                              .with("configuration", this->queues.config().version)
                              .with("code", static_cast<int>(outcome.code)));
        done({ result, Duration() });
    });
}

bool JobScheduler::isCancelledWithoutRecord(JobId const& id) const
{
    return this->jobTable.isCancelledWithoutRecord(id) || this->proposedUnsubmittedCancels.count(id);
}

/// Set if the job would end too late to be useful, behind the tasks that wait now. The refused jobs of one moment are told to
/// return spread over as long again, as otherwise they would all return at once.
std::optional<Duration> JobScheduler::refusalFor(JobSpec const& job, QueueSpec const& queue) const
{
    if (job.hasServiceStage() || job.isScheduled())
        return std::nullopt;
    JobObjective const objective = objectiveOf(job, &queue, this->clock.now());
    Duration const criticalPath = *std::max_element(objective.criticalPaths.begin(), objective.criticalPaths.end());
    std::optional<Duration> const wait = this->backlog.refusal(priorityBandOf(queue.priority), criticalPath, objective.latencyObjective);
    if (!wait)
        return std::nullopt;
    constexpr uint64_t spreadSteps = 1000;
    double const spread = static_cast<double>(stableHash(job.id.value(), 0) % spreadSteps) / static_cast<double>(spreadSteps);
    return wait->scaled(1 + spread);
}

void JobScheduler::refuse(JobSpec const& job, QueueSpec const& queue, char const* reason, Duration retryAfter)
{
    this->events.emit(Event(EventId::JobRefused)
                          .with("job", job.id)
                          .with("queue", queue.name)
                          .with("reason", reason)
                          .with("active", this->activeJobs.size())
                          .with("expectedWaitMs", this->backlog.expectedWait(priorityBandOf(queue.priority)))
                          .with("retryAfterMs", retryAfter));
    this->schedulerCounters.jobsRefused++;
}

void JobScheduler::cancel(JobId const& id, Done answer)
{
    JobRecord const* job = this->jobTable.find(id);
    Done const done = this->withCancelReport(id, job, std::move(answer));
    if (!job && !this->jobLog.isLeadershipConfirmed()) {
        done(CallResult::NotLeader);
        return;
    }
    if (this->jobTable.isCancelledWithoutRecord(id)) {
        done(CallResult::NotFound);
        return;
    }
    bool const isUnsubmitted = !job && !this->proposedJobs.count(id);
    if (isUnsubmitted && this->proposedUnsubmittedCancels.size() >= this->limits.maxUnsubmittedCancels) {
        done(CallResult::Refused);
        return;
    }
    if (job && job->state != JobState::Active) {
        done(CallResult::Done);
        return;
    }
    if (isUnsubmitted)
        this->proposedUnsubmittedCancels.insert(id);
    // The log keeps the order of proposals: a submission that is being committed takes effect before its cancel.
    this->jobLog.propose(encodeJobCommand(CancelJob { id, this->clock.wallMilliseconds() }), [this, id, done](ProposalOutcome const& outcome) {
        if (auto const proposed = this->proposedUnsubmittedCancels.find(id); proposed != this->proposedUnsubmittedCancels.end())
            this->proposedUnsubmittedCancels.erase(proposed);
        this->events.emit(Event(EventId::JobCancelled).with("job", id).with("code", static_cast<int>(outcome.code)));
        bool const wasNeverSubmitted = outcome.code == ResultCode::Ok && !this->jobTable.find(id);
        done(wasNeverSubmitted ? CallResult::NotFound : resultOf(outcome.code));
    });
}

/// Wraps the answer to a cancel so that it is logged and counted. `job`: null if not known.
JobScheduler::Done JobScheduler::withCancelReport(JobId const& id, JobRecord const* job, Done answer)
{
    int64_t const ageMs = job ? this->clock.wallMilliseconds() - job->acceptedWallMs : 0;
    std::string const state(job ? jobStateName(job->state) : "notKnown");
    return [this, id, state, ageMs, since = this->clock.now(), answer = std::move(answer)](CallResult result) {
        this->schedulerCounters.cancelsAnswered[result]++;
        this->events.emit(Event(EventId::CancelAnswered)
                              .with("job", id)
                              .with("state", state)
                              .with("outcome", std::string(callResultName(result)))
                              .with("ageMs", ageMs)
                              .with("lastedMs", this->clock.now() - since));
        answer(result);
    };
}

CancelledRuns JobScheduler::cancelledRuns() const
{
    CancelledRuns runs;
    int64_t const wallMs = this->clock.wallMilliseconds();
    for (auto const& [id, job] : this->jobTable.all()) {
        if (job.state != JobState::Cancelled || !job.liveAttemptCount)
            continue;
        runs.jobs++;
        runs.attempts += job.liveAttemptCount;
        runs.oldest = std::max(runs.oldest, Duration::milliseconds(wallMs - job.endedWallMs));
    }
    return runs;
}

JobLookup JobScheduler::lookUp(JobId const& id) const
{
    JobLookup found;
    if (!this->jobLog.isLeadershipConfirmed()) {
        found.result = CallResult::NotLeader;
        return found;
    }
    JobRecord const* job = this->jobTable.find(id);
    if (!job)
        return found;
    found.result = CallResult::Done;
    found.state = job->state == JobState::Completed && mayStillStart(*job) ? JobState::Active : job->state;
    found.hasStarted = job->hasStarted;
    return found;
}

CallResult JobScheduler::countPending(QueueId const& queue, size_t& count) const
{
    if (!this->jobLog.isLeadershipConfirmed())
        return CallResult::NotLeader;
    count = this->jobTable.pendingJobCount(queue);
    return CallResult::Done;
}

void JobScheduler::announce(WorkerReport const& announcement, Done done)
{
    if (!this->jobLog.isLeader()) {
        done(CallResult::NotLeader);
        return;
    }
    WorkerProfile const& profile = announcement.profile;
    // Anyone may send announcements. One for a service that is not configured is refused. One that gives another
    // worker's address proves nothing about that worker: only an answer from the address does.
    WorkerProfile const* known = this->workerRoster.find(profile.id);
    bool const isConfigured = !this->queues.hasConfig() || this->queues.findService(profile.service);
    bool const servesRunningJobs = known && known->service == profile.service;
    if (!isConfigured && !servesRunningJobs) {
        done(CallResult::Refused);
        return;
    }
    auto& [lastBornMs, lastSequence] = this->lastSequences[profile.id];
    bool const isOvertaken = lastBornMs == profile.bornMs && announcement.sequence && announcement.sequence < lastSequence;
    WorkerView const* view = this->dispatch.findWorker(profile.id);
    bool const isBornEarlier = known && known->bornMs > profile.bornMs;
    bool const isPresent = view && view->profile.bornMs == profile.bornMs;
    bool const isStale = isOvertaken || (isBornEarlier && !isPresent) || this->isOfFormerProcess(profile.id, profile.bornMs);
    if (isStale) {
        done(CallResult::Done);
        return;
    }
    lastBornMs = profile.bornMs;
    lastSequence = announcement.sequence;
    if (profile.isDraining)
        this->drainEnds[profile.id] = this->clock.now() + announcement.drainRemaining;
    this->dispatch.onWorkerAnnounced(profile.id);
    if (isBornEarlier) {
        this->recordEarlierBorn(*known, profile, *view, std::move(done));
        return;
    }
    WorkerProfile expected = profile;
    if (known && known->bornMs == profile.bornMs)
        expected.isDraining |= known->isDraining;
    if (known && *known == expected)
        done(CallResult::Done);
    else
        this->putWorker(expected, std::move(done));
}

/// Records a process that the worker has listed, though the one in the roster has a later start time: its clock was set back.
void JobScheduler::recordEarlierBorn(WorkerProfile known, WorkerProfile const& announced, WorkerView const& view, Done done)
{
    // Starts that are decided from now on follow the removal in the log, so they are not lost with it.
    if (view.placed.empty() && view.orphanedAttempts.empty()) {
        this->removeWorker(known.id, known.bornMs, [](CallResult) {});
        this->putWorker(announced, std::move(done));
    } else if (announced.isDraining && !known.isDraining) {
        known.isDraining = true;
        this->putWorker(known, std::move(done));
    } else {
        done(CallResult::Done);
    }
}

/// True if the worker has listed since as another process, which the roster may not know yet.
bool JobScheduler::isOfFormerProcess(WorkerId const& worker, int64_t bornMs)
{
    WorkerProfile const* known = this->workerRoster.find(worker);
    WorkerView const* view = this->dispatch.findWorker(worker);
    if (!known || !view || view->profile.bornMs == bornMs)
        return false;
    // The view's start time differs from the roster's only after a listing; it may be the earlier one, as clocks are set.
    return bornMs < view->profile.bornMs || bornMs == known->bornMs;
}

bool JobScheduler::isAlreadyRecorded(WorkerReport const& announcement) const
{
    WorkerProfile const* known = this->workerRoster.find(announcement.profile.id);
    return known && !known->isDraining && *known == announcement.profile && this->queues.findService(known->service);
}

void JobScheduler::putWorker(WorkerProfile const& profile, Done done)
{
    this->rosterLog.propose(encodeRosterCommand(PutWorker { profile }), [done = std::move(done)](ProposalOutcome const& outcome) { done(resultOf(outcome.code)); });
}

void JobScheduler::deregisterWorker(WorkerDeparture const& departure, Done done)
{
    if (!this->jobLog.isLeader()) {
        done(CallResult::NotLeader);
        return;
    }
    WorkerProfile const* known = this->workerRoster.find(departure.worker);
    char const* reason = known ? this->keepReason(*known, departure) : "not known";
    this->events.emit(Event(EventId::WorkerDeregistered)
                          .with("worker", departure.worker)
                          .with("bornMs", departure.bornMs)
                          .with("knownBornMs", known ? known->bornMs : 0)
                          .with("outcome", reason ? reason : "removed"));
    if (!known)
        done(CallResult::Done);
    else if (reason)
        this->drainLeavingWorker(*known, departure, std::move(done));
    else
        this->removeWorker(departure.worker, std::max(known->bornMs, departure.bornMs), std::move(done));
}

/// Why the worker is not removed; null when it is.
char const* JobScheduler::keepReason(WorkerProfile const& known, WorkerDeparture const& departure)
{
    if (departure.bornMs && (departure.bornMs < known.bornMs || this->isOfFormerProcess(known.id, departure.bornMs)))
        return "of an earlier incarnation";
    WorkerView const* view = this->dispatch.findWorker(known.id);
    return view && !view->placed.empty() ? "tasks placed" : nullptr;
}

void JobScheduler::drainLeavingWorker(WorkerProfile known, WorkerDeparture const& departure, Done done)
{
    bool const isItsOwn = departure.bornMs && departure.bornMs == known.bornMs && !this->isOfFormerProcess(known.id, departure.bornMs);
    if (!isItsOwn || known.isDraining) {
        done(CallResult::Done);
        return;
    }
    known.isDraining = true;
    this->drainEnds[known.id] = this->clock.now();
    this->putWorker(known, std::move(done));
}

void JobScheduler::removeWorker(WorkerId const& worker, int64_t bornMs, Done done)
{
    this->rosterLog.propose(encodeRosterCommand(RemoveWorker { worker, bornMs }), [done = std::move(done)](ProposalOutcome const& outcome) { done(resultOf(outcome.code)); });
}

void JobScheduler::onTick()
{
    if (!this->dispatch.isLeading())
        return;
    TimePoint const now = this->clock.now();
    this->noteTick(now);
    this->dispatch.onTick();
    if (now >= this->nextSlowCheck) {
        this->nextSlowCheck = now + slowCheckInterval;
        this->openDueOccurrences();
        this->updateShortTaskNeeds();
        this->updateIdleWindows();
        this->evacuateDrainingWorkers();
        this->moveThrottledTasks();
        this->forgetEndedJobs();
        if (this->hasLackedWorker && now >= this->nextRoomReport)
            this->reportRoom();
    }
    if (now >= this->startsAllowedFrom && (this->isPassNeeded || now >= this->nextPass)) {
        this->nextPass = now + maxPassInterval;
        this->isPassNeeded = false;
        if (this->jobLog.isLeadershipConfirmed())
            this->runPass();
    }
    this->proposeUpdates();
}

void JobScheduler::noteTick(TimePoint now)
{
    if (this->lastTickAt) {
        Duration const gap = now - *this->lastTickAt;
        this->schedulerCounters.tickGap.observe(gap);
        this->loadWindow.maxTickGap = std::max(this->loadWindow.maxTickGap, gap);
    }
    this->lastTickAt = now;
    if (now - this->loadWindow.startedAt >= loadReportInterval)
        this->reportLoad(now);
}

/// Logs the load of the window that ends now, unless nothing waits and the ticks are in time.
void JobScheduler::reportLoad(TimePoint now)
{
    constexpr Duration lateTickGap = Duration::milliseconds(60); ///< Three ticks.
    LoadWindow const before = this->loadWindow;
    this->loadWindow = LoadWindow();
    this->loadWindow.startedAt = now;
    this->loadWindow.passes = this->schedulerCounters.passes;
    this->loadWindow.starts = this->schedulerCounters.startsDecided;
    this->loadWindow.workersExamined = this->placer.counters().workersExamined;
    WaitingSummary const waiting = this->waitingTasks();
    if (!waiting.count() && before.maxTickGap < lateTickGap)
        return;
    this->events.emit(Event(EventId::LoadReported)
                          .with("lastedMs", now - before.startedAt)
                          .with("passes", this->loadWindow.passes - before.passes)
                          .with("starts", this->loadWindow.starts - before.starts)
                          .with("workersExamined", this->loadWindow.workersExamined - before.workersExamined)
                          .with("maxTickGapMs", before.maxTickGap)
                          .with("maxPassMs", before.maxPass)
                          .with("activeJobs", this->activeJobs.size())
                          .with("shortTasks", waiting.shortTasks.count)
                          .with("oldestShortMs", waiting.shortTasks.oldest)
                          .with("bestEffortTasks", waiting.bestEffort.count)
                          .with("oldestBestEffortMs", waiting.bestEffort.oldest)
                          .with("serviceTasks", waiting.service.count)
                          .with("oldestServiceMs", waiting.service.oldest));
}

WaitingSummary JobScheduler::waitingTasks() const
{
    TimePoint const now = this->clock.now();
    return summarizeWaiting(this->collectReadyStages(now, true), now);
}

/// Cores of the service tasks that have run before and wait for a worker.
int64_t JobScheduler::waitingRestartMilliCores() const
{
    int64_t milliCores = 0;
    for (auto const& [task, since] : this->serviceTaskEnds)
        milliCores += this->jobTable.find(task.job)->spec.stages[task.stage].need.milliCores;
    return milliCores;
}

void JobScheduler::reportRoom()
{
    this->nextRoomReport = this->clock.now() + roomReportInterval;
    this->hasLackedWorker = false;
    RoomSummary const room = this->room();
    int64_t const waitingMilliCores = this->waitingRestartMilliCores();
    this->events.emit(Event(EventId::RoomReported)
                          .with("workers", room.workerCount)
                          .with("capacityMilliCores", room.capacityMilliCores)
                          .with("reservedMilliCores", room.reservedMilliCores)
                          .with("serviceMilliCores", room.serviceMilliCores)
                          .with("waitingRestartMilliCores", waitingMilliCores)
                          .with("places1", room.freePlaces[0])
                          .with("places2", room.freePlaces[1])
                          .with("places4", room.freePlaces[2])
                          .with("places8", room.freePlaces[3])
                          .with("placesBesideServices1", room.placesBesideServices[0])
                          .with("placesBesideServices2", room.placesBesideServices[1])
                          .with("placesBesideServices4", room.placesBesideServices[2])
                          .with("placesBesideServices8", room.placesBesideServices[3]));
}

void JobScheduler::proposeUpdates()
{
    if (this->pendingUpdates.empty())
        return;
    auto batch = std::make_shared<UpdateTasks>();
    batch->updates.swap(this->pendingUpdates);
    batch->wallMs = this->clock.wallMilliseconds();
    Term const term = this->jobLog.term();
    this->jobLog.propose(encodeJobCommand(*batch), [this, batch, term](ProposalOutcome const& outcome) {
        // Updates lost with the leadership are recovered by the next leader from the workers' lists. A batch
        // that the log did not accept is proposed again while this host leads in the same term.
        bool const wasNotAccepted = outcome.code != ResultCode::Ok && outcome.code != ResultCode::OutcomeUnknown;
        if (wasNotAccepted && this->dispatch.isLeading() && this->jobLog.term() == term)
            this->pendingUpdates.insert(this->pendingUpdates.begin(), batch->updates.begin(), batch->updates.end());
    });
}

void JobScheduler::openDueOccurrences()
{
    int64_t const wall = this->clock.wallMilliseconds();
    for (auto const& [id, active] : this->activeJobs) {
        JobRecord const& job = *this->jobTable.find(id);
        ScheduleSpec const& schedule = job.spec.schedule;
        if (job.occurrencesOpened >= schedule.occurrences)
            continue;
        if (wall >= schedule.firstWallMs + schedule.interval.toMilliseconds() * static_cast<int64_t>(job.occurrencesOpened))
            this->pendingUpdates.emplace_back(OpenOccurrence { id, job.occurrencesOpened });
    }
}

void JobScheduler::updateIdleWindows()
{
    TimePoint const now = this->clock.now();
    if (now < this->nextIdleWindow)
        return;
    this->nextIdleWindow = now + idleWindow;
    for (auto& [id, worker] : this->dispatch.workers())
        worker.startIdleWindow();
}

/// Sets the need that room for short tasks is measured by: the one that all but a tenth of the present ones stay within.
void JobScheduler::updateShortTaskNeeds()
{
    std::map<ServiceId, std::vector<std::pair<int64_t, uint64_t>>> needs; // With the number of tasks.
    for (auto const& [id, active] : this->activeJobs) {
        JobRecord const& job = *this->jobTable.find(id);
        for (auto const& stage : job.spec.stages) {
            if (stage.isShort())
                needs[job.service].emplace_back(stage.need.milliCores, stage.taskCount);
        }
    }
    for (auto& [service, counted] : needs)
        this->placer.setShortTaskNeed(service, commonNeed(counted));
}

/// Evicts tasks from draining workers: service tasks as soon as another worker has room for them, tasks that
/// save checkpoints shortly before the worker leaves.
void JobScheduler::evacuateDrainingWorkers()
{
    TimePoint const now = this->clock.now();
    this->placer.beginPass(now);
    for (auto& [id, worker] : this->dispatch.workers()) {
        if (!worker.profile.isDraining)
            continue;
        auto const drainEnd = this->drainEnds.find(id);
        bool const isLeavingSoon = drainEnd != this->drainEnds.end() && now + evacuationLeadTime >= drainEnd->second;
        for (auto& [key, attempt] : worker.placed) {
            if (!attempt.isRunning())
                continue;
            if (attempt.isService()) {
                PlacementRequest request = requestToMove(worker, attempt);
                request.isRestart = true;
                if (!this->placer.choose(request, now))
                    continue;
            } else if (!isLeavingSoon || !attempt.stage->savesCheckpoints) {
                continue;
            }
            this->evict(worker, attempt, "worker drains");
        }
    }
}

/// The request that placing the attempt's task anew would make. Does not exclude `worker` itself.
PlacementRequest JobScheduler::requestToMove(WorkerView const& worker, PlacedAttempt const& attempt)
{
    PlacementRequest request;
    request.task = attempt.task;
    request.stage = attempt.stage;
    request.image = attempt.image;
    request.service = worker.profile.service;
    return request;
}

void JobScheduler::evict(WorkerView& worker, PlacedAttempt& attempt, char const* reason)
{
    this->events.emit(Event(EventId::EvictionRequested)
                          .with("task", attempt.task.text())
                          .with("attempt", attempt.number)
                          .with("worker", worker.profile.id)
                          .with("image", attempt.stage->image)
                          .with("tailPercent", static_cast<int>(worker.tailRatio * 100))
                          .with("reason", reason));
    this->schedulerCounters.evictions++;
    this->dispatch.stop(worker, attempt);
}

void JobScheduler::forgetEndedJobs()
{
    int64_t const horizon = this->clock.wallMilliseconds() - this->limits.endedJobRetention.toMilliseconds();
    for (auto const& [id, job] : this->jobTable.all()) {
        if (job.state != JobState::Active && !job.liveAttemptCount && job.endedWallMs < horizon)
            this->pendingUpdates.emplace_back(RemoveJob { id });
    }
}

/// Updates the interference and CPU usage models from a worker's listing, then evicts or throttles best-effort
/// tasks there that interfere with its service tasks.
void JobScheduler::processListing(WorkerView& worker)
{
    TimePoint const now = this->clock.now();
    worker.tailRatio = worstTailRatio(worker);
    this->interference.observe(worker, now);
    this->cpuUsage.observe(worker, now);
    if (worker.tailRatio < 1)
        worker.overTargetSince.reset();
    else if (!worker.overTargetSince)
        worker.overTargetSince = now;
    this->evictInterferingTasks(worker, now);
    this->updateWorkerThrottle(worker, now);
    bool const isOverTargetTooLong = worker.overTargetSince && now - *worker.overTargetSince >= maxTimeOverTarget;
    std::vector<ImageId> unprovenImages; // Filled only while the worker is throttled. Empty: all images are.
    for (auto const& load : worker.bestEffortImages) {
        if (worker.bestEffortSpeedPercent < fullSpeedPercent && this->isUnproven(worker, load))
            unprovenImages.push_back(load.image);
    }
    for (auto& [key, attempt] : worker.placed) {
        if (!attempt.isBestEffort() || attempt.isStopping || attempt.isEndProposed)
            continue;
        bool const isThrottled = unprovenImages.empty() || std::find(unprovenImages.begin(), unprovenImages.end(), attempt.image) != unprovenImages.end();
        unsigned percent = isThrottled ? worker.bestEffortSpeedPercent : fullSpeedPercent;
        if (attempt.isThrottledStart)
            percent = taskSpeedPercent(attempt.targetSpeedPercent, worker.tailRatio, now - std::max(attempt.throttleConfirmedAt, attempt.confirmedAt));
        if (isOverTargetTooLong)
            percent = 0;
        if (attempt.targetSpeedPercent != percent)
            this->dispatch.throttle(worker, attempt, percent);
    }
}

/// Where a service's tail is predicted to come close to its target or exceed it, evicts tasks of the best-effort
/// image that adds most to that tail: as many as bring the prediction down to maxTailRatio.
void JobScheduler::evictInterferingTasks(WorkerView& worker, TimePoint now)
{
    constexpr double evictAboveTailRatio = 0.95; ///< Predicted tail latency over target.
    if (worker.serviceImages.empty())
        return;
    ImageCpuShares shares;
    std::map<ImageId, std::vector<PlacedAttempt*>> tasks;
    for (auto& [key, attempt] : worker.placed) {
        if (attempt.isBestEffort() && !attempt.isThrottledStart && attempt.isRunning())
            tasks[attempt.image].push_back(&attempt);
    }
    for (auto const& [image, attempts] : tasks) {
        double share = 0;
        for (auto const* attempt : attempts)
            share += this->placer.expectedCpuShare(worker, image, attempt->stage->need.milliCores);
        shares.push_back({ image, share });
    }
    for (auto const& service : worker.serviceImages) {
        double const predicted = this->interference.predictedTailRatio(service.image, shares, now);
        ImageCpuShare const* worst = this->interference.worstInterferer(service.image, shares, now);
        if (predicted <= evictAboveTailRatio || !worst)
            continue;
        double const added = this->interference.interferenceCoefficient(service.image, worst->image, now) * worst->share;
        double const excessFraction = std::min((predicted - this->interference.modelParameters().maxTailRatio) / added, 1.0);
        auto const& interferingTasks = tasks.at(worst->image);
        auto const evictedCount = static_cast<size_t>(std::ceil(excessFraction * static_cast<double>(interferingTasks.size())));
        for (size_t i = interferingTasks.size() - evictedCount; i < interferingTasks.size(); i++) {
            this->dispatch.throttle(worker, *interferingTasks[i], 0);
            this->evict(worker, *interferingTasks[i], "harms a service task");
        }
        return; // The remaining tasks are checked at the next listing.
    }
}

/// True for an image whose expected use has not been observed as harmless beside every service of the worker.
/// When a service is near its target, such images are throttled and the others run on at full speed.
bool JobScheduler::isUnproven(WorkerView const& worker, ImageLoad const& load) const
{
    double const use = this->placer.expectedCpuShare(worker, load.image, load.requestedMilliCores);
    return std::any_of(worker.serviceImages.begin(), worker.serviceImages.end(), [&](ImageLoad const& service) { return !this->interference.isCleared(service.image, load.image, use); });
}

/// True while a best-effort task is being stopped: interference that it causes ends with it.
bool JobScheduler::hasStoppingBestEffortTask(WorkerView const& worker)
{
    return std::any_of(worker.placed.begin(), worker.placed.end(), [](auto const& entry) { return entry.second.isBestEffort() && entry.second.isStopping; });
}

/// Lowers the speed of a worker's best-effort tasks when its service tasks come near their targets without a
/// known pair of interfering images, and raises it again later.
void JobScheduler::updateWorkerThrottle(WorkerView& worker, TimePoint now)
{
    bool const canLowerSpeed = !worker.bestEffortImages.empty() && !hasStoppingBestEffortTask(worker);
    unsigned const next = worker.serviceImages.empty() ? fullSpeedPercent : workerSpeedPercent(worker.bestEffortSpeedPercent, worker.tailRatio, now - worker.bestEffortSpeedChangedAt, canLowerSpeed);
    if (next == worker.bestEffortSpeedPercent)
        return;
    this->events.emit(Event(EventId::WorkerThrottled)
                          .with("worker", worker.profile.id)
                          .with("percent", next)
                          .with("before", worker.bestEffortSpeedPercent)
                          .with("tailPercent", static_cast<int>(worker.tailRatio * 100))
                          .with("bestEffortMilliCores", worker.bestEffortImages.requestedMilliCores()));
    worker.bestEffortSpeedPercent = next;
    worker.noteChange();
    worker.bestEffortSpeedChangedAt = now;
}

} // namespace cornelpond
