#include "cornelpond/core/scheduling/JobScheduler.h"

#include "cornelpond/core/base/StableHash.h"

#include <algorithm>
#include <array>
#include <exception>
#include <numeric>
#include <utility>

namespace cornelpond {

namespace {

    /// A pass runs at least this often, for conditions that change with time alone.
    constexpr Duration maxPassInterval = Duration::milliseconds(100);
    constexpr Duration slowCheckInterval = Duration::milliseconds(250);
    /// Cores of a worker count as idle once they were free for one to two such windows.
    constexpr Duration idleWindow = Duration::seconds(1);
    constexpr Duration roomReportInterval = Duration::seconds(1);
    /// Upper bound on the wait assumed for a job of an earlier leader, however far the wall clocks differ.
    constexpr Duration maxInheritedWait = Duration::seconds(30);
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

JobScheduler::JobScheduler(Clock const& clock, EventSink& events, CommandLog& jobLog, CommandLog& rosterLog, QueueTable const& queues, EvacuationTable const& evacuations, WorkerOrders& orders, DispatchTimes times, JobLimits limits)
    : clock(clock)
    , events(events)
    , jobLog(jobLog)
    , queues(queues)
    , times(times)
    , limits(limits)
    , jobTable(this->tableHooks())
    , workerRoster(this->rosterHooks())
    , permits(
          orders, clock, events, [this](TaskRef const& stage) { return this->permitNeedOf(stage); }, [this] { this->callForPass(); })
    , dispatch(clock, events, orders, times, this->jobTable, this->dispatcherHooks())
    , placer(this->dispatch.workers(), this->interference, this->cpuUsage, this->times, PlacementParameters())
    , evictor(events, this->dispatch)
    , interferenceControl(clock, events, this->dispatch, this->placer, this->interference, this->cpuUsage, this->evictor)
    , registration(clock, events, rosterLog, this->workerRoster, queues, this->dispatch)
    , locality(clock, events, this->dispatch.workers(), this->times, limits.slowdownElsewhere)
    , copies(clock, this->dispatch, this->times)
    , loadReport(events)
    , steps(clock, events)
    , drainEvacuation(clock, this->dispatch, this->placer, this->registration, this->evictor)
    , dataCentreEvacuation(clock, events, evacuations, this->jobTable, this->dispatch, this->placer, this->evictor)
{
}

JobScheduler::~JobScheduler() = default;

/// Wraps what the leader does about an applied command, so that an exception ends only that: it must not keep the rest of the
/// command from being applied, which the other hosts apply.
template <typename... Arguments>
std::function<void(Arguments...)> JobScheduler::guarded(std::function<void(Arguments...)> reaction)
{
    return [this, reaction = std::move(reaction)](Arguments... arguments) {
        try {
            reaction(arguments...);
        } catch (std::exception const& error) {
            this->events.emit(Event(EventId::InternalFault).with("what", std::string(error.what())));
        }
    };
}

JobTableHooks JobScheduler::tableHooks()
{
    JobTableHooks hooks;
    hooks.onStartApplied = [this](CommitStart const& start) { this->onStartApplied(start); };
    hooks.onStartRefused = [this](CommitStart const& start) {
        this->proposedTasks.erase(start.task);
        this->steps.onStartRefused(start.task);
        this->dispatch.onStartRefused(start);
        this->callForPass();
    };
    hooks.onEndApplied = [this](CommitEnd const& end, EndEffect effect) { this->onEndApplied(end, effect); };
    hooks.onJobChanged = [this](JobRecord const& job) { this->onJobChanged(job); };
    for (auto* hook : { &hooks.onStartApplied, &hooks.onStartRefused })
        *hook = this->guarded(std::move(*hook));
    hooks.onEndApplied = this->guarded(std::move(hooks.onEndApplied));
    hooks.onJobChanged = this->guarded(std::move(hooks.onJobChanged));
    return hooks;
}

RosterHooks JobScheduler::rosterHooks()
{
    RosterHooks hooks;
    hooks.onWorkerChanged = [this](WorkerProfile const& profile, bool isOtherProcess) { this->dispatch.onWorkerChanged(profile, isOtherProcess); };
    hooks.onWorkerRemoved = [this](WorkerId const& worker) {
        this->registration.onWorkerRemoved(worker);
        this->dispatch.onWorkerRemoved(worker);
    };
    hooks.onWorkerSettled = [this](WorkerId const& worker) { this->dispatch.onWorkerSettled(worker); };
    hooks.onUnsettledRestored = [this](WorkerId const& worker) { this->dispatch.onUnsettledRestored(worker); };
    hooks.onWorkerChanged = this->guarded(std::move(hooks.onWorkerChanged));
    for (auto* hook : { &hooks.onWorkerRemoved, &hooks.onWorkerSettled, &hooks.onUnsettledRestored })
        *hook = this->guarded(std::move(*hook));
    return hooks;
}

DispatcherHooks JobScheduler::dispatcherHooks()
{
    DispatcherHooks hooks;
    hooks.canSendOrders = [this] { return this->jobLog.isLeadershipConfirmed(); };
    hooks.proposeEnd = [this](CommitEnd const& end) { this->addEnd(end); };
    hooks.onAttemptSeen = [this](CommitStart const& seen, char const* source) { this->noteBegun(seen, source); };
    hooks.onStartAccepted = [this](TaskRef const& task) { this->steps.onStartAccepted(task); };
    // The result is not needed: a removal that is not committed is decided again.
    hooks.removeWorker = [this](WorkerProfile const& profile) {
        // The process may have an earlier start time than the one in the roster, which refuses to remove a later one.
        WorkerProfile const* known = this->workerRoster.find(profile.id);
        this->registration.remove(profile.id, known ? std::max(known->bornMs, profile.bornMs) : profile.bornMs, [](CallResult) {});
    };
    hooks.mayStart = [this](WorkerProfile const& worker, TaskRef const& task, AttemptNumber attempt) {
        return !this->proposedCancels.count(task.job) && this->dataCentreEvacuation.mayStart(worker, task, attempt);
    };
    hooks.recordProcess = [this](WorkerProfile const& profile) { this->registration.recordListed(profile); };
    hooks.settleProcess = [this](WorkerProfile const& profile) { this->registration.settle(profile); };
    hooks.permitFor = [this](TaskRef const& task, WorkerId const& worker) { return this->permits.ticket(task, worker); };
    hooks.onPermitRefused = [this](TaskRef const& task, WorkerId const& worker) { this->permits.invalidate(task, worker); };
    hooks.onListingRead = [this](WorkerView& worker) { this->interferenceControl.processListing(worker); };
    hooks.onCapacityChanged = [this] { this->callForPass(); };
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
        JobRecord const& job = *active.record;
        active.objective = objectiveOf(job.spec, this->queues.find(job.queue), active.objective.acceptedAt);
    }
    this->isPassNeeded = true;
}

void JobScheduler::onEvacuationsChanged()
{
    this->dataCentreEvacuation.markWorkers();
    this->isPassNeeded = true;
}

void JobScheduler::onLeadership(bool isLeader)
{
    this->activeJobs.clear();
    this->proposedTasks.clear();
    this->proposedJobs.clear();
    this->proposedCancels.clear();
    this->proposedUnsubmittedCancels.clear();
    this->waitingSince.clear();
    this->serviceTaskEnds.clear();
    this->pendingUpdates.clear();
    this->pendingMarks.clear();
    this->registration.clear();
    this->permits.clear();
    this->interference.clear();
    this->cpuUsage.clear();
    this->runTimes.clear();
    this->backlog.clear();
    this->locality.clear();
    this->copies.clear();
    this->loadReport.clear();
    this->dataCentreEvacuation.clear();
    this->steps.clear();
    this->expectedEnds.clear();
    this->dispatch.resign();
    this->jobTable.dropExpected();
    if (!isLeader)
        return;
    this->startsAllowedFrom = this->clock.now() + startDelayOfNewLeader;
    this->dispatch.lead(this->jobLog.term(), this->workerRoster);
    for (auto const& [id, job] : this->jobTable.all()) {
        if (job.state == JobState::Active)
            this->activeJob(job);
        else if (job.state == JobState::Completed && job.occurrencesOpened < job.occurrenceCount())
            this->events.emit(Event(EventId::JobEndedEarly).with("job", id).with("opened", job.occurrencesOpened).with("occurrences", job.occurrenceCount()));
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
        entry->second.allowsCopies = std::any_of(job.spec.stages.begin(), job.spec.stages.end(), [](StageSpec const& stage) { return stage.allowsSpeculativeCopies; });
    }
    return entry->second;
}

void JobScheduler::onJobChanged(JobRecord const& job)
{
    if (!this->dispatch.isLeading())
        return;
    if (job.state == JobState::Active) {
        this->noteReadyStages(job, std::nullopt);
        this->activeJob(job);
        this->callForPass();
        return;
    }
    this->steps.onJobEnded(job.spec.id);
    this->reportEnd(job);
    this->dispatch.reportJobEnd(job, this->hasBegun(job));
    this->activeJobs.erase(job.spec.id);
    for (auto* since : { &this->waitingSince, &this->serviceTaskEnds })
        since->erase(since->lower_bound({ job.spec.id, 0, 0, 0 }), since->lower_bound({ job.spec.id, UINT32_MAX, 0, 0 }));
    this->permits.forgetJob(job.spec.id);
    this->locality.forgetJob(job.spec.id);
    this->copies.forgetJob(job.spec.id);
    this->dispatch.stopUnwanted(job.spec.id);
    this->callForPass();
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
                          .with("occurrences", job.occurrenceCount())
                          .with("occurrencesOpened", job.occurrencesOpened)
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
        if (!active.record->spec.hasServiceStage())
            counts.at(sizeClassOf(active.progress.size))++;
    }
    return counts;
}

void JobScheduler::onStartApplied(CommitStart const& start)
{
    this->proposedTasks.erase(start.task);
    this->serviceTaskEnds.erase(start.task);
    this->steps.onStartCommitted(start.task);
    this->dispatch.onStartApplied(start);
}

void JobScheduler::onEndApplied(CommitEnd const& end, EndEffect effect)
{
    if (!this->dispatch.isLeading())
        return;
    this->events.emit(Event(EventId::AttemptEnded)
                          .with("task", end.task.text())
                          .with("attempt", end.attempt)
                          .with("worker", end.worker)
                          .with("outcome", std::string(attemptEndName(end.end)))
                          .with("effect", std::string(endEffectName(effect)))
                          .with("checkpoint", end.checkpoint));
    if (effect != EndEffect::Ignored)
        this->schedulerCounters.attemptEnds[end.end]++;
    this->expectedEnds.onApplied(end);
    std::optional<TimePoint> const listedAt = this->steps.takeListed(end.task);
    if (listedAt && effect == EndEffect::StageDone)
        this->noteReadyStages(*this->jobTable.find(end.task.job), listedAt);
    if (isTaskFinished(effect))
        this->observeRunTime(end);
    this->dispatch.onEndApplied(end);
    this->noteServiceTaskEnd(end.task);
    if (effect != EndEffect::Ignored)
        this->stopRestOfGang(end);
    this->callForPass();
}

/// Notes the stages of which no task has started yet and that have just become ready: by the commit of the submission without
/// `listedAt`, else by that of an end that was listed then.
void JobScheduler::noteReadyStages(JobRecord const& job, std::optional<TimePoint> listedAt)
{
    for (auto const& [number, occurrence] : job.occurrences) {
        for (uint32_t stage = 0; stage < occurrence.stages.size(); stage++) {
            bool const isEligible = listedAt.has_value() != job.spec.stages[stage].dependsOn.empty();
            if (!isEligible || !job.isStageReady(occurrence, stage))
                continue;
            auto const& tasks = occurrence.stages[stage].tasks;
            bool const hasStarted = std::any_of(tasks.begin(), tasks.end(), [](TaskRecord const& task) { return task.lastAttempt > AttemptNumber(); });
            if (!hasStarted)
                this->steps.onStageReady({ job.spec.id, number, stage, 0 }, listedAt);
        }
    }
}

/// Of the end that finished the task: another attempt may have been cut off for a while, and the members of a gang end together.
void JobScheduler::observeRunTime(CommitEnd const& end)
{
    WorkerView* worker = this->dispatch.findWorker(end.worker);
    PlacedAttempt const* attempt = worker ? worker->find(end.task, end.attempt) : nullptr;
    if (!attempt || !attempt->placedAt)
        return;
    Duration const ran = this->clock.now() - *attempt->placedAt;
    if (!attempt->isThrottledStart)
        this->runTimes.observe(*attempt->stage, ran);
    if (attempt->stage->allowsSpeculativeCopies && this->activeJobs.count(end.task.job))
        this->copies.onTaskDone(end.task, ran);
}

/// Notes since when a service task that ran waits for a worker.
void JobScheduler::noteServiceTaskEnd(TaskRef const& task)
{
    JobRecord const* job = this->jobTable.find(task.job);
    TaskRecord const* record = this->jobTable.findTask(task);
    if (record && record->isWaiting() && job->state == JobState::Active && job->spec.stages[task.stage].isService)
        this->serviceTaskEnds.try_emplace(task, this->clock.now());
}

/// A gang that is not done makes progress only with all its members: once one is gone, the others would wait in vain until they
/// time out.
void JobScheduler::stopRestOfGang(CommitEnd const& end)
{
    TaskRecord const* record = this->jobTable.findTask(end.task);
    if (!record || record->isDone || end.end == AttemptEnd::Done)
        return;
    JobRecord const& job = *this->jobTable.find(end.task.job);
    if (!job.spec.stages[end.task.stage].isGang)
        return;
    auto const& tasks = job.occurrences.at(end.task.occurrence).stages[end.task.stage].tasks;
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
    this->steps.onSubmitted(id);
    SubmitJob const command { std::move(job), queue.name, this->clock.wallMilliseconds() };
    this->jobLog.propose(encodeJobCommand(command), [this, id, stages, size, name = queue.name, since = this->clock.now(), done = std::move(done)](ProposalOutcome const& outcome) {
        if (auto const proposed = this->proposedJobs.find(id); proposed != this->proposedJobs.end())
            this->proposedJobs.erase(proposed);
        this->steps.onSubmitEnded(id);
        CallResult const result = callResultOf(outcome.code);
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
    if (mayBeRefused)
        this->expectJob(command, queue);
}

/// Lets the next pass decide the job's first starts, which are proposed behind its submission: the log keeps the order of
/// proposals, and JobTable refuses starts of a job that it does not know.
void JobScheduler::expectJob(SubmitJob const& command, QueueSpec const& queue)
{
    bool const isProposed = this->proposedJobs.count(command.job.id) && !this->jobTable.find(command.job.id) && this->jobLog.isLeader();
    // Permits are asked for in the name of a job, so that it must exist. A job with a schedule has nothing to start yet.
    if (!isProposed || queue.permits.isRequired || command.job.isScheduled())
        return;
    this->activeJob(this->jobTable.expect(command, this->queues));
    this->callForPass();
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
    if (!job)
        this->activeJobs.erase(id); // Of a job that is being committed no more starts are decided.
    this->proposedCancels.insert(id);
    // The log keeps the order of proposals: a submission that is being committed takes effect before its cancel.
    this->jobLog.propose(encodeJobCommand(CancelJob { id, this->clock.wallMilliseconds() }), [this, id, done](ProposalOutcome const& outcome) {
        if (auto const proposed = this->proposedCancels.find(id); proposed != this->proposedCancels.end())
            this->proposedCancels.erase(proposed);
        if (auto const proposed = this->proposedUnsubmittedCancels.find(id); proposed != this->proposedUnsubmittedCancels.end())
            this->proposedUnsubmittedCancels.erase(proposed);
        this->events.emit(Event(EventId::JobCancelled).with("job", id).with("code", static_cast<int>(outcome.code)));
        bool const wasNeverSubmitted = outcome.code == ResultCode::Ok && !this->jobTable.find(id);
        done(wasNeverSubmitted ? CallResult::NotFound : callResultOf(outcome.code));
    });
}

/// Wraps the answer to a cancel so that it is logged and counted. `job`: null if not known.
JobScheduler::Done JobScheduler::withCancelReport(JobId const& id, JobRecord const* job, Done answer)
{
    int64_t const ageMs = job ? this->clock.wallMilliseconds() - job->acceptedWallMs : 0;
    std::string const state(this->jobTable.stateName(id));
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
    found.hasStarted = this->hasBegun(*job);
    return found;
}

CallResult JobScheduler::countPending(QueueId const& queue, size_t& count) const
{
    if (!this->jobLog.isLeadershipConfirmed())
        return CallResult::NotLeader;
    count = 0;
    for (auto const& [id, active] : this->activeJobs)
        count += this->isPending(active) && active.record->queue == queue && !active.record->spec.isScheduled();
    return CallResult::Done;
}

size_t JobScheduler::pendingJobCount() const
{
    return static_cast<size_t>(std::count_if(this->activeJobs.begin(), this->activeJobs.end(), [this](auto const& entry) { return this->isPending(entry.second); }));
}

/// True for an accepted job of which no worker is known to have begun a task. An expected job is not accepted yet.
bool JobScheduler::isPending(ActiveJob const& active) const
{
    return !active.hasBegun && !active.record->hasStarted && this->jobTable.find(active.record->spec.id);
}

bool JobScheduler::hasBegun(JobRecord const& job) const
{
    auto const active = this->activeJobs.find(job.spec.id);
    return job.hasStarted || (active != this->activeJobs.end() && active->second.hasBegun);
}

/// A start that is committed may be refused, get lost or be carried out late: a job has begun once a worker is seen to run a task.
void JobScheduler::noteBegun(CommitStart const& seen, char const* source)
{
    JobRecord const* job = this->jobTable.find(seen.task.job);
    if (!job || job->state != JobState::Active || this->hasBegun(*job))
        return;
    ActiveJob& active = this->activeJob(*job);
    active.hasBegun = true;
    this->pendingMarks.push_back({ job->spec.id });
    this->events.emit(Event(EventId::JobBegan)
                          .with("job", job->spec.id)
                          .with("task", seen.task.text())
                          .with("attempt", seen.attempt)
                          .with("worker", seen.worker)
                          .with("source", std::string(source))
                          .with("sinceAcceptedMs", this->clock.now() - active.objective.acceptedAt));
}

void JobScheduler::addPendingMarks()
{
    this->pendingUpdates.insert(this->pendingUpdates.end(), this->pendingMarks.begin(), this->pendingMarks.end());
    this->pendingMarks.clear();
}

void JobScheduler::onTick()
{
    if (!this->dispatch.isLeading())
        return;
    TimePoint const now = this->clock.now();
    if (this->loadReport.onTick(now))
        this->loadReport.emit(now, { this->schedulerCounters.passes, this->schedulerCounters.startsDecided, this->placer.counters().workersExamined, this->activeJobs.size(), this->waitingTasks() });
    this->dispatch.onTick();
    if (now >= this->nextSlowCheck) {
        this->nextSlowCheck = now + slowCheckInterval;
        this->addPendingMarks();
        this->openDueOccurrences();
        this->updateShortTaskNeeds();
        this->updateIdleWindows();
        this->drainEvacuation.evacuate();
        this->dataCentreEvacuation.moveTasks();
        this->dataCentreEvacuation.reportProgress();
        this->moveThrottledTasks();
        this->forgetEndedJobs();
        if (this->hasLackedWorker && now >= this->nextRoomReport) {
            this->nextRoomReport = now + roomReportInterval;
            this->hasLackedWorker = false;
            this->loadReport.emitRoom(this->room(), this->waitingRestartMilliCores());
        }
    }
    this->runPassWhenDue(true);
    this->proposeUpdates();
}

void JobScheduler::onWork()
{
    this->isWorkCalledFor = false;
    if (!this->dispatch.isLeading())
        return;
    this->runPassWhenDue(false);
    this->proposeUpdates();
}

/// `isTick`: false for a pass before the next tick, which must be called for and follow the latest one at the pace of early passes.
void JobScheduler::runPassWhenDue(bool isTick)
{
    TimePoint const now = this->clock.now();
    bool const isDue = isTick ? this->isPassNeeded || now >= this->nextPass : this->isPassNeeded && this->pacing.isEarlyPassDue(now);
    if (!isDue || now < this->startsAllowedFrom)
        return;
    this->nextPass = now + maxPassInterval;
    this->isPassNeeded = false;
    if (this->jobLog.isLeadershipConfirmed())
        this->runPass();
}

void JobScheduler::callForPass()
{
    this->isPassNeeded = true;
    this->callForWork();
}

void JobScheduler::callForWork()
{
    if (!this->workCallback || this->isWorkCalledFor || !this->dispatch.isLeading())
        return;
    this->isWorkCalledFor = true;
    this->workCallback();
}

/// The starts of stages that become ready by the end are decided at once and proposed behind it.
void JobScheduler::addEnd(CommitEnd const& end)
{
    this->steps.onEndListed(end.task);
    if (this->expectedEnds.onProposed(end, this->jobTable.find(end.task.job)))
        this->isPassNeeded = true;
    this->addUpdate(end);
}

void JobScheduler::addUpdate(TaskUpdate update)
{
    this->pendingUpdates.push_back(std::move(update));
    this->callForWork();
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

void JobScheduler::proposeUpdates()
{
    if (this->pendingUpdates.empty())
        return;
    this->addPendingMarks();
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
        JobRecord const& job = *active.record;
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
        JobRecord const& job = *active.record;
        for (auto const& stage : job.spec.stages) {
            if (stage.isShort())
                needs[job.service].emplace_back(stage.need.milliCores, stage.taskCount);
        }
    }
    for (auto& [service, counted] : needs)
        this->placer.setShortTaskNeed(service, commonNeed(counted));
}

void JobScheduler::forgetEndedJobs()
{
    int64_t const horizon = this->clock.wallMilliseconds() - this->limits.endedJobRetention.toMilliseconds();
    for (auto const& [id, job] : this->jobTable.all()) {
        if (job.state != JobState::Active && !job.liveAttemptCount && job.endedWallMs < horizon)
            this->pendingUpdates.emplace_back(RemoveJob { id });
    }
}

} // namespace cornelpond
