#include "cornelpond/core/tasks/Scheduler.h"

#include "cornelpond/core/base/ResultCode.h"

#include <algorithm>

namespace cornelpond {

namespace {

    /// An attempt that no worker confirmed within this many leases is withdrawn.
    constexpr int64_t leasesToConfirm = 3;
    constexpr Duration refreshInterval = Duration::milliseconds(200);
    constexpr Duration removalInterval = Duration::minutes(1);
    constexpr Duration firstFailureBackOff = Duration::seconds(1);
    constexpr uint32_t maxBackOffDoublings = 6;
    constexpr int64_t millisecondsPerDay = 24 * 3600 * 1000;
    constexpr int64_t recordKeptMs = 7 * millisecondsPerDay;
    constexpr int64_t idKeptMs = 14 * millisecondsPerDay;
    constexpr uint64_t maxEndedRecords = 10000;

    /// The task a command is about; null for those about many or none.
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

    bool isInForce(Task const* task, AttemptNumber attempt, WorkerId const& worker)
    {
        return task && holdsWorker(task->state) && task->attempt == attempt && task->worker == worker;
    }

} // namespace

Scheduler::Scheduler(Clock const& clock, EventSink& events, CommandLog& log, LeaseTimes times, SchedulerHooks hooks)
    : clock(clock)
    , events(events)
    , log(log)
    , hooks(std::move(hooks))
    , workers(times)
    , fleet(this->tasks, this->workers, this->health)
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
    if (!this->leading || code != ResultCode::Ok)
        return;
    if (auto const* end = std::get_if<EndAttempt>(&command))
        this->onAttemptEnded(*end, workerBefore);
    if (id)
        this->onTaskChanged(*id, workerBefore);
    else if (auto const* drain = std::get_if<SetWorkerDrained>(&command))
        this->fleet.refresh(drain->worker, this->clock.now());
    else if (std::get_if<CancelMatching>(&command))
        this->dropEndedFromQueue();
    this->placementDue = true;
}

void Scheduler::onAttemptEnded(EndAttempt const& command, WorkerId const& worker)
{
    this->tracker.forget(command.task);
    this->progress.erase(command.task);
    Task const& task = *this->tasks.find(command.task);
    TimePoint const now = this->clock.now();
    if (command.outcome == AttemptOutcome::Finished && this->health.onFinished(worker))
        this->events.emit(Event(EventId::WorkerReadmitted).with("worker", worker));
    if (command.outcome != AttemptOutcome::Failed)
        return;
    bool const failedElsewhere = std::any_of(task.history.begin(), task.history.end(), [&](auto const& record) { return record.outcome == AttemptOutcome::Failed && record.worker != worker; });
    if (!failedElsewhere && this->health.onFailed(worker, command.task, now, this->workers.all().size()))
        this->events.emit(Event(EventId::WorkerQuarantined).with("worker", worker));
}

void Scheduler::onTaskChanged(TaskId const& id, WorkerId const& workerBefore)
{
    Task const& task = *this->tasks.find(id);
    TimePoint const now = this->clock.now();
    if (!(workerBefore == task.worker)) {
        this->fleet.setLocation(task, task.worker);
        this->fleet.refresh(workerBefore, now);
        this->fleet.refresh(task.worker, now);
    }
    if (task.state != TaskState::Queued) {
        this->queue.remove(id);
        this->fleet.refresh(this->fleet.releaseClaim(id), now);
    } else if (!this->queue.contains(id)) {
        this->enqueue(task);
    }
    if (isEnded(task.state))
        this->reasons.erase(id);
}

void Scheduler::enqueue(Task const& task)
{
    TimePoint const now = this->clock.now();
    bool const failedLast = !task.history.empty() && task.history.back().outcome == AttemptOutcome::Failed;
    if (failedLast) {
        int64_t const doublings = std::min(task.failures, maxBackOffDoublings) - 1;
        this->backingOff.emplace(now + firstFailureBackOff * (int64_t(1) << doublings), task.spec.id);
        this->reasons[task.spec.id] = "waits after a failure";
        return;
    }
    this->queue.add(task, this->policy().priorityOf(task.spec.labels), now);
}

void Scheduler::dropEndedFromQueue()
{
    TimePoint const now = this->clock.now();
    for (auto const& [id, task] : this->tasks.all()) {
        if (task.state != TaskState::Cancelled)
            continue;
        this->queue.remove(id);
        this->reasons.erase(id);
        this->fleet.refresh(this->fleet.releaseClaim(id), now);
    }
}

void Scheduler::onPolicyChanged()
{
    if (!this->leading)
        return;
    TimePoint const now = this->clock.now();
    for (auto const& [sequence, id] : this->tasks.queued()) {
        Task const& task = *this->tasks.find(id);
        if (this->queue.contains(id))
            this->queue.add(task, this->policy().priorityOf(task.spec.labels), this->queue.waitingSince(id, now));
    }
    this->placementDue = true;
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
    if (this->leading)
        this->onLeadership(true);
}

void Scheduler::onLeadership(bool isLeader)
{
    this->leadership++;
    this->leading = isLeader;
    this->leaderSince = this->clock.now();
    this->workers.clear();
    this->health.clear();
    this->fleet.clear();
    this->tracker.reset(this->leaderSince);
    this->queue.clear();
    this->backingOff.clear();
    this->progress.clear();
    this->reasons.clear();
    this->pending.clear();
    this->startsPending = 0;
    this->proposedUse.clear();
    this->nextRefresh = this->leaderSince;
    this->nextRemoval = this->leaderSince;
    if (isLeader)
        this->rebuildQueue();
}

void Scheduler::submit(TaskSpec const& spec, TaskDone done)
{
    if (auto const* known = this->tasks.find(spec.id)) {
        bool const same = known->spec == spec;
        done({ same ? ResultCode::Ok : ResultCode::IdConflict, same ? "already accepted" : "the id was used with other content" });
        return;
    }
    if (this->tasks.isRetired(spec.id)) {
        done({ ResultCode::IdRetired, "the id belonged to a task that ended" });
        return;
    }
    SubmitTask const command { spec, this->clock.wallMilliseconds() };
    this->log.propose(encodeTaskCommands({ command }), [this, spec, done = std::move(done)](ProposalOutcome const& outcome) {
        if (outcome.code != ResultCode::Ok) {
            done({ outcome.code, "not accepted" });
            return;
        }
        // The state decides: another submission of the id may have been committed first.
        Task const* task = this->tasks.find(spec.id);
        if (!task) {
            done({ ResultCode::IdRetired, "the id belonged to a task that ended" });
            return;
        }
        bool const same = task->spec == spec;
        if (same)
            this->events.emit(Event(EventId::TaskSubmitted).with("task", spec.id).with("index", outcome.index));
        done({ same ? ResultCode::Ok : ResultCode::IdConflict, same ? "accepted" : "the id was used with other content" });
    });
}

void Scheduler::cancel(TaskId const& id, TaskDone done)
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

void Scheduler::cancelMatching(Selector const& selector, TaskDone done)
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

void Scheduler::setDrained(WorkerId const& worker, bool drained, TaskDone done)
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
        throw Error(ResultCode::StaleEpoch, "an older announcement than the last one");
    if (isNew) {
        this->events.emit(Event(EventId::WorkerJoined).with("worker", announcement.worker).with("rack", announcement.rack));
        for (auto const& id : this->tasks.onWorker(announcement.worker))
            this->fleet.setLocation(*this->tasks.find(id), announcement.worker);
    }
    AnnouncementAnswer answer;
    answer.number = announcement.number;
    answer.incarnation = announcement.incarnation;
    answer.epoch = this->log.term();
    answer.lease = this->workers.leaseTimes().lease;
    TaskCommandBatch proposals;
    this->observeHeld(announcement, proposals, answer.commands);
    this->observeMissing(announcement, proposals, answer.commands);
    Resources const freeBefore = isNew ? Resources() : this->fleet.index().find(announcement.worker)->free;
    this->fleet.refresh(announcement.worker, this->clock.now());
    this->placementDue = this->placementDue || isNew || !(freeBefore == this->fleet.index().find(announcement.worker)->free);
    this->proposeAll(proposals);
    return answer;
}

void Scheduler::observeHeld(WorkerAnnouncement const& announcement, TaskCommandBatch& proposals, std::vector<WorkerCommand>& commands)
{
    Resources stray;
    for (auto const& held : announcement.held) {
        Task const* task = this->tasks.find(held.task);
        bool const inForce = isInForce(task, held.attempt, announcement.worker);
        if (held.state == HeldState::Ended) {
            if (!inForce)
                commands.push_back(this->plainCommand(WorkerCommandKind::Forget, held.task, held.attempt));
            else if (!this->pending.count(held.task))
                proposals.push_back(EndAttempt { held.task, held.attempt, held.outcome, held.checkpoint, this->clock.wallMilliseconds() });
            continue;
        }
        if (inForce) {
            this->observeRunning(held, *task, announcement, proposals, commands);
            continue;
        }
        stray += held.reserved;
        commands.push_back(this->plainCommand(WorkerCommandKind::Stop, held.task, held.attempt));
        this->events.emit(Event(EventId::AttemptRefused).with("task", held.task).with("attempt", held.attempt).with("worker", announcement.worker));
    }
    this->fleet.setStray(announcement.worker, stray);
}

void Scheduler::observeRunning(HeldAttempt const& held, Task const& task, WorkerAnnouncement const& announcement, TaskCommandBatch& proposals, std::vector<WorkerCommand>& commands)
{
    this->tracker.onReported(held.task, held.attempt, announcement, this->clock.now());
    this->noteProgress(held);
    if (task.state == TaskState::Starting && !this->pending.count(held.task))
        proposals.push_back(ConfirmAttempt { held.task, held.attempt });
    if (task.cancelRequested || task.state == TaskState::Checkpointing)
        commands.push_back(this->plainCommand(WorkerCommandKind::Stop, held.task, held.attempt));
}

void Scheduler::noteProgress(HeldAttempt const& held)
{
    auto const [found, isNew] = this->progress.try_emplace(held.task);
    Progress& known = found->second;
    if (isNew)
        known.startedAt = this->clock.now();
    if (known.checkpoint == held.checkpoint)
        return;
    known.checkpoint = held.checkpoint;
    known.checkpointAt = this->clock.now();
}

void Scheduler::observeMissing(WorkerAnnouncement const& announcement, TaskCommandBatch& proposals, std::vector<WorkerCommand>& commands)
{
    std::unordered_set<TaskId> reported;
    for (auto const& held : announcement.held)
        reported.insert(held.task);
    TimePoint const now = this->clock.now();
    for (auto const& id : this->tasks.onWorker(announcement.worker)) {
        if (reported.count(id) || this->pending.count(id))
            continue;
        Task const& task = *this->tasks.find(id);
        if (task.state == TaskState::Starting && !task.cancelRequested)
            this->observeUnconfirmed(task, announcement, proposals, commands);
        else if (!this->tracker.mayRun(id, task.attempt, announcement, now))
            proposals.push_back(this->endCommand(task, task.state == TaskState::Starting ? AttemptOutcome::NeverStarted : AttemptOutcome::Lost));
    }
}

void Scheduler::observeUnconfirmed(Task const& task, WorkerAnnouncement const& announcement, TaskCommandBatch& proposals, std::vector<WorkerCommand>& commands)
{
    TimePoint const now = this->clock.now();
    TimePoint const first = this->tracker.firstStart(task.spec.id, task.attempt, now);
    // The process that the attempt was meant for may have begun it before it died.
    bool const sameProcess = task.incarnation == announcement.incarnation;
    if (sameProcess && now < first + this->workers.leaseTimes().lease * leasesToConfirm) {
        this->tracker.onStartSent(task.spec.id, task.attempt, now);
        commands.push_back(this->startCommand(task));
        return;
    }
    // No start is sent once this is committed; the attempt ends when none can be on its way.
    proposals.push_back(EvictAttempt { task.spec.id, task.attempt });
    this->events.emit(Event(EventId::AttemptWithdrawn).with("task", task.spec.id).with("attempt", task.attempt).with("worker", task.worker));
}

WorkerCommand Scheduler::startCommand(Task const& task) const
{
    WorkerCommand command = this->plainCommand(WorkerCommandKind::Start, task.spec.id, task.attempt);
    command.resources = task.spec.resources;
    command.checkpoint = task.checkpoint;
    command.command = task.spec.command;
    return command;
}

WorkerCommand Scheduler::plainCommand(WorkerCommandKind kind, TaskId const& task, AttemptNumber attempt) const
{
    WorkerCommand command;
    command.kind = kind;
    command.task = task;
    command.attempt = attempt;
    command.epoch = this->log.term();
    return command;
}

EndAttempt Scheduler::endCommand(Task const& task, AttemptOutcome outcome) const
{
    auto const known = this->progress.find(task.spec.id);
    CheckpointId const checkpoint = known == this->progress.end() ? CheckpointId() : known->second.checkpoint;
    return { task.spec.id, task.attempt, outcome, checkpoint, this->clock.wallMilliseconds() };
}

void Scheduler::propose(TaskCommandBatch const& commands, std::function<void(ResultCode)> done)
{
    uint64_t const proposedIn = this->leadership;
    this->log.propose(encodeTaskCommands(commands), [this, proposedIn, done = std::move(done)](ProposalOutcome const& outcome) {
        if (proposedIn == this->leadership)
            done(outcome.code);
    });
}

void Scheduler::proposeAll(TaskCommandBatch const& commands)
{
    if (commands.empty())
        return;
    for (auto const& command : commands)
        this->pending.insert(*taskOf(command));
    this->propose(commands, [this, commands](ResultCode code) {
        for (auto const& command : commands) {
            this->pending.erase(*taskOf(command));
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
    this->place();
}

void Scheduler::refreshSoftState()
{
    TimePoint const now = this->clock.now();
    this->nextRefresh = now + refreshInterval;
    if (this->hooks.externalReservations && this->fleet.setExternal(this->hooks.externalReservations(), now))
        this->placementDue = true;
    for (auto const& worker : this->health.probesDue(now)) {
        this->fleet.refresh(worker, now);
        this->placementDue = true;
    }
    for (auto const& task : this->fleet.expiredClaims(now)) {
        this->fleet.refresh(this->fleet.releaseClaim(task), now);
        this->placementDue = true;
    }
    while (!this->backingOff.empty() && this->backingOff.begin()->first <= now) {
        Task const* task = this->tasks.find(this->backingOff.begin()->second);
        this->backingOff.erase(this->backingOff.begin());
        if (!task || task->state != TaskState::Queued)
            continue;
        this->queue.add(*task, this->policy().priorityOf(task->spec.labels), now);
        this->placementDue = true;
    }
}

void Scheduler::removeEndedTasks()
{
    this->nextRemoval = this->clock.now() + removalInterval;
    int64_t const now = this->clock.wallMilliseconds();
    RemoveEndedTasks const command { now - recordKeptMs, maxEndedRecords, now - idKeptMs };
    auto const& ended = this->tasks.ended();
    bool const tooMany = ended.size() > command.maxKept;
    bool const tooOld = !ended.empty() && ended.begin()->first.first < command.endedBeforeMs;
    bool const idsTooOld = this->tasks.oldestRetiredMs() && this->tasks.oldestRetiredMs() < command.forgetIdsBeforeMs;
    if (!tooMany && !tooOld && !idsTooOld)
        return;
    size_t const before = ended.size();
    this->propose({ command }, [this, before](ResultCode code) {
        size_t const after = this->tasks.ended().size();
        if (code == ResultCode::Ok && after < before)
            this->events.emit(Event(EventId::EndedTasksRemoved).with("count", before - after));
    });
}

void Scheduler::expireWorkers()
{
    TimePoint const now = this->clock.now();
    for (auto const& worker : this->workers.takeExpired(now)) {
        this->events.emit(Event(EventId::WorkerLost).with("worker", worker));
        this->fleet.refresh(worker, now);
    }
    LeaseTimes const& times = this->workers.leaseTimes();
    if (now < this->leaderSince + times.lease + times.driftMargin)
        return;
    std::vector<WorkerId> silent;
    for (auto const& [worker, held] : this->tasks.byWorker()) {
        if (!this->workers.find(worker))
            silent.push_back(worker);
    }
    for (auto const& worker : silent)
        this->endLostAttempts(worker);
}

void Scheduler::endLostAttempts(WorkerId const& worker)
{
    TaskCommandBatch batch;
    for (auto const& id : this->tasks.onWorker(worker)) {
        if (!this->pending.count(id))
            batch.push_back(this->endCommand(*this->tasks.find(id), AttemptOutcome::Lost));
    }
    this->proposeAll(batch);
}

TaskExplanation Scheduler::explain(Task const& task)
{
    auto const reason = this->reasons.find(task.spec.id);
    if (reason != this->reasons.end() && !isEnded(task.state))
        return { reason->second };
    if (task.state != TaskState::Queued)
        return { std::string("the task is ") + std::string(taskStateName(task.state)) };
    std::string quota = this->quotaReason(task);
    if (!quota.empty())
        return { quota };
    Placement const placement = this->fleet.choose(task);
    return { placement.worker.empty() ? placement.reason : "waits for its turn" };
}

} // namespace cornelpond
