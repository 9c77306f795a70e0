#include "cornelpond/core/tasks/Scheduler.h"

#include "cornelpond/core/base/ResultCode.h"
#include "cornelpond/core/tasks/ReplicaChanges.h"

#include <algorithm>

namespace cornelpond {

namespace {

    /// An attempt that its worker has not confirmed within this many leases of the first start sent is withdrawn.
    constexpr int64_t confirmTimeoutInLeases = 3;
    constexpr Duration refreshInterval = Duration::milliseconds(200);
    constexpr Duration replicaCheckInterval = Duration::seconds(1);
    constexpr Duration removalInterval = Duration::minutes(1);
    constexpr Duration firstFailureBackOff = Duration::seconds(1);
    constexpr uint32_t maxBackOffDoublings = 6;
    constexpr int64_t millisecondsPerDay = 24 * 3600 * 1000;
    constexpr int64_t recordRetentionMs = 7 * millisecondsPerDay;
    constexpr int64_t retiredIdRetentionMs = 14 * millisecondsPerDay;
    constexpr uint64_t maxEndedRecords = 10000;

    /// The task that a command is about; null for a command about several tasks or none.
    TaskId const* taskOf(TaskCommand const& command)
    {
        if (auto const* submit = std::get_if<SubmitTask>(&command))
            return &submit->spec.id;
        if (auto const* start = std::get_if<StartAttempt>(&command))
            return &start->task;
        if (auto const* confirm = std::get_if<ConfirmAttempt>(&command))
            return &confirm->task;
        if (auto const* evict = std::get_if<EvictAttempt>(&command))
            return &evict->task;
        if (auto const* end = std::get_if<EndAttempt>(&command))
            return &end->task;
        if (auto const* cancel = std::get_if<CancelTask>(&command))
            return &cancel->task;
        return nullptr;
    }

    bool isCurrentAttempt(Task const* task, AttemptNumber attempt, WorkerId const& worker)
    {
        return task && hasWorker(task->state) && task->attempt == attempt && task->worker == worker;
    }

} // namespace

Scheduler::Scheduler(Clock const& clock, EventSink& events, CommandLog& log, LeaseTimes times, SchedulerHooks hooks)
    : clock(clock)
    , events(events)
    , log(log)
    , hooks(std::move(hooks))
    , workers(times)
    , placementState(this->tasks, this->workers, this->health)
    , tracker(times)
{
}

Policy const& Scheduler::policy() const
{
    static Policy const none;
    return this->hooks.policy ? this->hooks.policy() : none;
}

void Scheduler::applyCommand(std::string const& command)
{
    for (auto const& part : decodeTaskCommands(command))
        this->apply(part);
}

void Scheduler::apply(TaskCommand const& command)
{
    TaskId const* id = taskOf(command);
    Task const* before = id ? this->tasks.find(*id) : nullptr;
    WorkerId const workerBefore = before ? before->worker : WorkerId();
    ResultCode const code = this->tasks.apply(command);
    if (!this->isLeading || code != ResultCode::Ok)
        return;
    if (auto const* end = std::get_if<EndAttempt>(&command))
        this->onAttemptEnded(*end, workerBefore);
    if (id)
        this->onTaskChanged(*id, workerBefore);
    else if (auto const* drain = std::get_if<SetWorkerDrained>(&command))
        this->placementState.refresh(drain->worker, this->clock.now());
    else if (std::get_if<CancelMatching>(&command))
        this->removeCancelledFromQueue();
    this->isPlacementDue = true;
}

void Scheduler::onAttemptEnded(EndAttempt const& command, WorkerId const& worker)
{
    this->tracker.forget(command.task);
    this->attemptProgress.erase(command.task);
    Task const& task = *this->tasks.find(command.task);
    TimePoint const now = this->clock.now();
    if (command.outcome == AttemptOutcome::Finished && this->health.onTaskFinished(worker))
        this->events.emit(Event(EventId::WorkerReadmitted).with("worker", worker));
    if (command.outcome != AttemptOutcome::Failed)
        return;
    bool const hasFailedElsewhere = std::any_of(task.history.begin(), task.history.end(), [&](auto const& record) { return record.outcome == AttemptOutcome::Failed && record.worker != worker; });
    if (!hasFailedElsewhere && this->health.onTaskFailed(worker, command.task, now, this->workers.all().size()))
        this->events.emit(Event(EventId::WorkerQuarantined).with("worker", worker));
}

void Scheduler::onTaskChanged(TaskId const& id, WorkerId const& workerBefore)
{
    Task const& task = *this->tasks.find(id);
    TimePoint const now = this->clock.now();
    if (!(workerBefore == task.worker)) {
        this->placementState.setLocation(task, task.worker);
        this->placementState.refresh(workerBefore, now);
        this->placementState.refresh(task.worker, now);
    }
    if (task.state != TaskState::Queued) {
        this->queue.remove(id);
        this->placementState.refresh(this->placementState.releasePreemptionReservation(id), now);
    } else if (!this->queue.contains(id)) {
        this->enqueue(task);
    }
    if (isEnded(task.state))
        this->placementReasons.erase(id);
}

void Scheduler::enqueue(Task const& task)
{
    TimePoint const now = this->clock.now();
    bool const hasFailedLast = !task.history.empty() && task.history.back().outcome == AttemptOutcome::Failed;
    if (hasFailedLast) {
        int64_t const doublings = std::min(task.failures, maxBackOffDoublings) - 1;
        this->backingOff.emplace(now + firstFailureBackOff * (int64_t(1) << doublings), task.spec.id);
        this->placementReasons[task.spec.id] = "waits before a retry after a failed attempt";
        return;
    }
    this->queue.add(task, this->policy().priorityOf(task.spec.labels), now);
}

void Scheduler::removeCancelledFromQueue()
{
    TimePoint const now = this->clock.now();
    for (auto const& [id, task] : this->tasks.all()) {
        if (task.state != TaskState::Cancelled)
            continue;
        this->queue.remove(id);
        this->placementReasons.erase(id);
        this->placementState.refresh(this->placementState.releasePreemptionReservation(id), now);
    }
}

void Scheduler::onPolicyChanged()
{
    if (!this->isLeading)
        return;
    TimePoint const now = this->clock.now();
    for (auto const& [sequence, id] : this->tasks.queued()) {
        Task const& task = *this->tasks.find(id);
        if (this->queue.contains(id))
            this->queue.add(task, this->policy().priorityOf(task.spec.labels), this->queue.waitingSince(id, now));
    }
    this->isPlacementDue = true;
}

void Scheduler::rebuildQueue()
{
    this->queue.clear();
    for (auto const& [sequence, id] : this->tasks.queued()) {
        Task const& task = *this->tasks.find(id);
        this->queue.add(task, this->policy().priorityOf(task.spec.labels), this->clock.now());
    }
}

void Scheduler::restore(std::string const& state)
{
    this->tasks.restore(state);
    if (this->isLeading)
        this->onLeadership(true);
}

void Scheduler::onLeadership(bool isLeader)
{
    this->leadershipGeneration++;
    this->isLeading = isLeader;
    this->leaderSince = this->clock.now();
    this->workers.clear();
    this->health.clear();
    this->placementState.clear();
    this->tracker.reset(this->leaderSince);
    this->queue.clear();
    this->backingOff.clear();
    this->attemptProgress.clear();
    this->placementReasons.clear();
    this->tasksWithPendingProposal.clear();
    this->pendingStartCount = 0;
    this->proposedReservations.clear();
    this->nextRefresh = this->leaderSince;
    this->nextRemoval = this->leaderSince;
    this->nextReplicaCheck = this->leaderSince;
    this->isReplicaChangePending = false;
    if (isLeader)
        this->rebuildQueue();
}

void Scheduler::submit(TaskSpec const& spec, OperationDone done)
{
    if (auto const* existing = this->tasks.find(spec.id)) {
        bool const isSameSpec = existing->spec == spec;
        done({ isSameSpec ? ResultCode::Ok : ResultCode::IdConflict, isSameSpec ? "already accepted" : "the id belongs to a task with another specification" });
        return;
    }
    if (this->tasks.isRetired(spec.id)) {
        done({ ResultCode::IdRetired, "the id belonged to an ended task whose record was removed" });
        return;
    }
    SubmitTask const command { spec, this->clock.wallMilliseconds() };
    this->log.propose(encodeTaskCommands({ command }), [this, spec, done = std::move(done)](ProposalOutcome const& outcome) {
        if (outcome.code != ResultCode::Ok) {
            done({ outcome.code, "not accepted" });
            return;
        }
        // Another submission of the same id may have been committed first, so compare with the committed task.
        Task const* task = this->tasks.find(spec.id);
        if (!task) {
            done({ ResultCode::IdRetired, "the id belonged to an ended task whose record was removed" });
            return;
        }
        bool const isSameSpec = task->spec == spec;
        if (isSameSpec)
            this->events.emit(Event(EventId::TaskSubmitted).with("task", spec.id).with("index", outcome.index));
        done({ isSameSpec ? ResultCode::Ok : ResultCode::IdConflict, isSameSpec ? "accepted" : "the id belongs to a task with another specification" });
    });
}

void Scheduler::cancel(TaskId const& id, OperationDone done)
{
    CancelTask const command { id, this->clock.wallMilliseconds() };
    this->log.propose(encodeTaskCommands({ command }), [this, id, done = std::move(done)](ProposalOutcome const& outcome) {
        if (outcome.code != ResultCode::Ok) {
            done({ outcome.code, "not cancelled" });
            return;
        }
        Task const* task = this->tasks.find(id);
        if (!task) {
            done({ ResultCode::NotFound, "no such task" });
            return;
        }
        if (isEnded(task->state) && task->state != TaskState::Cancelled) {
            done({ ResultCode::TaskEnded, "the task had ended as " + std::string(taskStateName(task->state)) });
            return;
        }
        this->events.emit(Event(EventId::TaskCancelled).with("task", id));
        done({ ResultCode::Ok, task->state == TaskState::Cancelled ? "cancelled" : "the running attempt is being stopped" });
    });
}

void Scheduler::cancelMatching(Selector const& selector, OperationDone done)
{
    size_t count = 0;
    for (auto const& [id, task] : this->tasks.all()) {
        if (!isEnded(task.state) && !task.cancelRequested && selector.matches(task.spec.labels))
            count++;
    }
    CancelMatching const command { selector, this->clock.wallMilliseconds() };
    this->log.propose(encodeTaskCommands({ command }), [this, count, selector, done = std::move(done)](ProposalOutcome const& outcome) {
        if (outcome.code == ResultCode::Ok)
            this->events.emit(Event(EventId::TaskCancelled).with("selector", selector.text()).with("count", count));
        done({ outcome.code, outcome.code == ResultCode::Ok ? "cancelled " + std::to_string(count) + " tasks" : "not cancelled" });
    });
}

void Scheduler::setDrained(WorkerId const& worker, bool drained, OperationDone done)
{
    this->log.propose(encodeTaskCommands({ SetWorkerDrained { worker, drained } }), [this, worker, drained, done = std::move(done)](ProposalOutcome const& outcome) {
        if (outcome.code == ResultCode::Ok)
            this->events.emit(Event(EventId::DrainChanged).with("worker", worker).with("drained", drained ? "yes" : "no"));
        done({ outcome.code, drained ? "draining" : "released" });
    });
}

AnnouncementAnswer Scheduler::onAnnouncement(WorkerAnnouncement const& announcement)
{
    if (!this->log.isLeader() || !this->log.isLeadershipConfirmed())
        throw Error(ResultCode::NotLeader, "this host does not lead the data centre's tasks");
    bool const isNew = !this->workers.find(announcement.worker);
    if (!this->workers.onAnnouncement(announcement, this->clock.now()))
        throw Error(ResultCode::StaleEpoch, "the announcement is not newer than the last one of the worker process");
    if (isNew) {
        this->events.emit(Event(EventId::WorkerJoined).with("worker", announcement.worker).with("rack", announcement.rack));
        for (auto const& id : this->tasks.tasksOnWorker(announcement.worker))
            this->placementState.setLocation(*this->tasks.find(id), announcement.worker);
    }
    AnnouncementAnswer answer;
    answer.number = announcement.number;
    answer.incarnation = announcement.incarnation;
    answer.epoch = this->log.term();
    answer.lease = this->workers.leaseTimes().lease;
    TaskCommandBatch proposals;
    this->processReportedAttempts(announcement, proposals, answer.commands);
    this->processMissingAttempts(announcement, proposals, answer.commands);
    Resources const freeBefore = isNew ? Resources() : this->placementState.index().find(announcement.worker)->free;
    this->placementState.refresh(announcement.worker, this->clock.now());
    this->isPlacementDue = this->isPlacementDue || isNew || !(freeBefore == this->placementState.index().find(announcement.worker)->free);
    this->proposeAndMarkPending(proposals);
    return answer;
}

void Scheduler::processReportedAttempts(WorkerAnnouncement const& announcement, TaskCommandBatch& proposals, std::vector<WorkerCommand>& commands)
{
    Resources orphaned;
    for (auto const& reported : announcement.held) {
        Task const* task = this->tasks.find(reported.task);
        bool const isCurrent = isCurrentAttempt(task, reported.attempt, announcement.worker);
        if (reported.state == ReportedAttemptState::Ended) {
            if (!isCurrent)
                commands.push_back(this->makeWorkerCommand(WorkerCommandKind::AcknowledgeEnd, reported.task, reported.attempt));
            else if (!this->tasksWithPendingProposal.count(reported.task))
                proposals.push_back(EndAttempt { reported.task, reported.attempt, reported.outcome, reported.checkpoint, this->clock.wallMilliseconds() });
            continue;
        }
        if (isCurrent) {
            this->processRunningAttempt(reported, *task, announcement, proposals, commands);
            continue;
        }
        orphaned += reported.reserved;
        commands.push_back(this->makeWorkerCommand(WorkerCommandKind::Stop, reported.task, reported.attempt));
        this->events.emit(Event(EventId::AttemptRefused).with("task", reported.task).with("attempt", reported.attempt).with("worker", announcement.worker));
    }
    this->placementState.setOrphanedResources(announcement.worker, orphaned);
}

void Scheduler::processRunningAttempt(ReportedAttempt const& reported, Task const& task, WorkerAnnouncement const& announcement, TaskCommandBatch& proposals, std::vector<WorkerCommand>& commands)
{
    this->tracker.onReported(reported.task, reported.attempt, announcement, this->clock.now());
    this->recordProgress(reported);
    if (task.state == TaskState::Starting && !this->tasksWithPendingProposal.count(reported.task))
        proposals.push_back(ConfirmAttempt { reported.task, reported.attempt });
    if (task.cancelRequested || task.state == TaskState::Checkpointing)
        commands.push_back(this->makeWorkerCommand(WorkerCommandKind::Stop, reported.task, reported.attempt));
}

void Scheduler::recordProgress(ReportedAttempt const& reported)
{
    auto const [found, isNew] = this->attemptProgress.try_emplace(reported.task);
    AttemptProgress& entry = found->second;
    if (isNew)
        entry.firstReportedAt = this->clock.now();
    if (entry.checkpoint == reported.checkpoint)
        return;
    entry.checkpoint = reported.checkpoint;
    entry.checkpointReportedAt = this->clock.now();
}

void Scheduler::processMissingAttempts(WorkerAnnouncement const& announcement, TaskCommandBatch& proposals, std::vector<WorkerCommand>& commands)
{
    std::unordered_set<TaskId> reportedTasks;
    for (auto const& reported : announcement.held)
        reportedTasks.insert(reported.task);
    TimePoint const now = this->clock.now();
    for (auto const& id : this->tasks.tasksOnWorker(announcement.worker)) {
        if (reportedTasks.count(id) || this->tasksWithPendingProposal.count(id))
            continue;
        Task const& task = *this->tasks.find(id);
        if (task.state == TaskState::Starting && !task.cancelRequested)
            this->processUnconfirmedAttempt(task, announcement, proposals, commands);
        else if (!this->tracker.canStillRun(id, task.attempt, announcement, now))
            proposals.push_back(this->makeEndAttempt(task, task.state == TaskState::Starting ? AttemptOutcome::NeverStarted : AttemptOutcome::Lost));
    }
}

void Scheduler::processUnconfirmedAttempt(Task const& task, WorkerAnnouncement const& announcement, TaskCommandBatch& proposals, std::vector<WorkerCommand>& commands)
{
    TimePoint const now = this->clock.now();
    TimePoint const firstSentAt = this->tracker.firstStartSentAt(task.spec.id, task.attempt, now);
    // Only the process that the start was committed for gets it again. A restarted worker does not: its earlier
    // process may have begun the attempt before it died.
    bool const isSameProcess = task.incarnation == announcement.incarnation;
    if (isSameProcess && now < firstSentAt + this->workers.leaseTimes().lease * confirmTimeoutInLeases) {
        this->tracker.onStartSent(task.spec.id, task.attempt, now);
        commands.push_back(this->makeStartCommand(task));
        return;
    }
    // No start is sent after this is committed. The attempt ends once no start sent before can still arrive.
    proposals.push_back(EvictAttempt { task.spec.id, task.attempt });
    this->events.emit(Event(EventId::AttemptWithdrawn).with("task", task.spec.id).with("attempt", task.attempt).with("worker", task.worker));
}

WorkerCommand Scheduler::makeStartCommand(Task const& task) const
{
    WorkerCommand command = this->makeWorkerCommand(WorkerCommandKind::Start, task.spec.id, task.attempt);
    command.resources = task.spec.resources;
    command.checkpoint = task.checkpoint;
    command.command = task.spec.command;
    return command;
}

WorkerCommand Scheduler::makeWorkerCommand(WorkerCommandKind kind, TaskId const& task, AttemptNumber attempt) const
{
    WorkerCommand command;
    command.kind = kind;
    command.task = task;
    command.attempt = attempt;
    command.epoch = this->log.term();
    return command;
}

EndAttempt Scheduler::makeEndAttempt(Task const& task, AttemptOutcome outcome) const
{
    auto const found = this->attemptProgress.find(task.spec.id);
    CheckpointId const checkpoint = found == this->attemptProgress.end() ? CheckpointId() : found->second.checkpoint;
    return { task.spec.id, task.attempt, outcome, checkpoint, this->clock.wallMilliseconds() };
}

void Scheduler::propose(TaskCommandBatch const& commands, std::function<void(ResultCode)> done)
{
    uint64_t const proposedInGeneration = this->leadershipGeneration;
    this->log.propose(encodeTaskCommands(commands), [this, proposedInGeneration, done = std::move(done)](ProposalOutcome const& outcome) {
        if (proposedInGeneration == this->leadershipGeneration)
            done(outcome.code);
    });
}

void Scheduler::proposeAndMarkPending(TaskCommandBatch const& commands)
{
    if (commands.empty())
        return;
    for (auto const& command : commands)
        this->tasksWithPendingProposal.insert(*taskOf(command));
    this->propose(commands, [this, commands](ResultCode code) {
        for (auto const& command : commands) {
            this->tasksWithPendingProposal.erase(*taskOf(command));
            if (code != ResultCode::Ok)
                continue;
            if (auto const* end = std::get_if<EndAttempt>(&command))
                this->events.emit(Event(EventId::AttemptEnded).with("task", end->task).with("attempt", end->attempt).with("outcome", std::string(attemptOutcomeName(end->outcome))));
            if (auto const* confirm = std::get_if<ConfirmAttempt>(&command))
                this->events.emit(Event(EventId::AttemptStarted).with("task", confirm->task).with("attempt", confirm->attempt));
        }
        if (code == ResultCode::Ok)
            this->onEvictionsCommitted(commands);
    });
}

void Scheduler::onTick()
{
    if (!this->log.isLeader() || !this->log.isLeadershipConfirmed())
        return;
    this->expireWorkers();
    if (this->clock.now() >= this->nextRefresh)
        this->refreshSoftState();
    if (this->clock.now() >= this->nextRemoval)
        this->removeEndedTasks();
    if (this->clock.now() >= this->nextReplicaCheck && !this->isReplicaChangePending)
        this->reconcileReplicas();
    this->runPlacementPass();
}

void Scheduler::refreshSoftState()
{
    TimePoint const now = this->clock.now();
    this->nextRefresh = now + refreshInterval;
    if (this->hooks.externalReservations && this->placementState.setExternalResources(this->hooks.externalReservations(), now))
        this->isPlacementDue = true;
    for (auto const& worker : this->health.workersDueForProbe(now)) {
        this->placementState.refresh(worker, now);
        this->isPlacementDue = true;
    }
    for (auto const& task : this->placementState.expiredPreemptionReservations(now)) {
        this->placementState.refresh(this->placementState.releasePreemptionReservation(task), now);
        this->isPlacementDue = true;
    }
    while (!this->backingOff.empty() && this->backingOff.begin()->first <= now) {
        Task const* task = this->tasks.find(this->backingOff.begin()->second);
        this->backingOff.erase(this->backingOff.begin());
        if (!task || task->state != TaskState::Queued)
            continue;
        this->queue.add(*task, this->policy().priorityOf(task->spec.labels), now);
        this->isPlacementDue = true;
    }
}

void Scheduler::removeEndedTasks()
{
    this->nextRemoval = this->clock.now() + removalInterval;
    int64_t const now = this->clock.wallMilliseconds();
    RemoveEndedTasks const command { now - recordRetentionMs, maxEndedRecords, now - retiredIdRetentionMs };
    auto const& ended = this->tasks.ended();
    bool const hasTooManyRecords = ended.size() > command.maxKeptRecords;
    bool const hasExpiredRecord = !ended.empty() && ended.begin()->first.first < command.endedBeforeMs;
    bool const hasExpiredId = this->tasks.oldestRetiredEndMs() && this->tasks.oldestRetiredEndMs() < command.forgetIdsBeforeMs;
    if (!hasTooManyRecords && !hasExpiredRecord && !hasExpiredId)
        return;
    size_t const before = ended.size();
    this->propose({ command }, [this, before](ResultCode code) {
        size_t const after = this->tasks.ended().size();
        if (code == ResultCode::Ok && after < before)
            this->events.emit(Event(EventId::EndedTasksRemoved).with("count", before - after));
    });
}

void Scheduler::reconcileReplicas()
{
    this->nextReplicaCheck = this->clock.now() + replicaCheckInterval;
    TaskCommandBatch const changes = replicaChanges(this->policy(), this->tasks, this->clock.wallMilliseconds());
    if (changes.empty())
        return;
    this->isReplicaChangePending = true;
    this->propose(changes, [this, changes](ResultCode code) {
        this->isReplicaChangePending = false;
        for (auto const& change : changes) {
            if (code == ResultCode::Ok)
                this->events.emit(Event(std::get_if<SubmitTask>(&change) ? EventId::TaskSubmitted : EventId::TaskCancelled).with("task", *taskOf(change)).with("reason", "the service's configured number of replicas"));
        }
    });
}

void Scheduler::expireWorkers()
{
    TimePoint const now = this->clock.now();
    for (auto const& worker : this->workers.takeExpired(now)) {
        this->events.emit(Event(EventId::WorkerLost).with("worker", worker));
        this->placementState.refresh(worker, now);
    }
    LeaseTimes const& times = this->workers.leaseTimes();
    if (now < this->leaderSince + times.lease + times.driftMargin)
        return;
    std::vector<WorkerId> workersWithoutLease;
    for (auto const& [worker, taskIds] : this->tasks.tasksByWorker()) {
        if (!this->workers.find(worker))
            workersWithoutLease.push_back(worker);
    }
    for (auto const& worker : workersWithoutLease)
        this->endLostAttempts(worker);
}

void Scheduler::endLostAttempts(WorkerId const& worker)
{
    TaskCommandBatch batch;
    for (auto const& id : this->tasks.tasksOnWorker(worker)) {
        if (!this->tasksWithPendingProposal.count(id))
            batch.push_back(this->makeEndAttempt(*this->tasks.find(id), AttemptOutcome::Lost));
    }
    this->proposeAndMarkPending(batch);
}

TaskExplanation Scheduler::explain(Task const& task)
{
    auto const reason = this->placementReasons.find(task.spec.id);
    if (reason != this->placementReasons.end() && !isEnded(task.state))
        return { reason->second };
    if (task.state != TaskState::Queued)
        return { std::string("the task is ") + std::string(taskStateName(task.state)) };
    std::string quota = this->quotaReason(task);
    if (!quota.empty())
        return { quota };
    Placement const placement = this->placementState.choose(task);
    return { placement.worker.empty() ? placement.reason : "waits for its turn" };
}

} // namespace cornelpond
