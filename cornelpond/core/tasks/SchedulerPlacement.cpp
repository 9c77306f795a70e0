// The scheduler's placement pass: places queued tasks on workers, preempts batch tasks for
// latency-critical ones and proposes all starts of a pass together.

#include "cornelpond/core/tasks/Scheduler.h"

#include <algorithm>

namespace cornelpond {

namespace {

    constexpr size_t maxStartsPerPass = 256;
    constexpr size_t maxOffersPerPass = 2048;
    constexpr size_t maxEvictionsPerPass = 64;
    constexpr size_t maxPreemptionCandidates = 64;
    constexpr Duration preemptionReservationTime = Duration::seconds(5);
    /// Cost of a task's first eviction at weight 1, added to the seconds of work that the eviction loses.
    constexpr double evictionCostSeconds = 60;

    /// While batch tasks hold less than this share of the processors, they are not preempted and get
    /// every batchOfferIntervalBelowFloor-th offer of a pass.
    constexpr double batchFloorShare = 0.1;
    constexpr size_t batchOfferIntervalBelowFloor = 4;

    double shareOfTotal(int64_t used, int64_t total)
    {
        return total > 0 ? static_cast<double>(used) / static_cast<double>(total) : 0;
    }

    bool exceeds(int64_t used, int64_t limit)
    {
        return limit > 0 && used > limit;
    }

} // namespace

void Scheduler::runPlacementPass()
{
    if (!this->isPlacementDue || this->pendingStartCount || !this->queue.size())
        return;
    this->isPlacementDue = false;
    TaskCommandBatch starts;
    TaskCommandBatch evictions;
    TaskQueue::PassOptions pass;
    pass.now = this->clock.now();
    pass.maxOffers = maxOffersPerPass;
    pass.batchOfferInterval = this->isBatchBelowFloor() ? batchOfferIntervalBelowFloor : 0;
    pass.weightedShareOf = [this](AssociationId const& association) { return this->weightedShareOf(association); };
    this->queue.offerTasks(pass, [&](TaskId const& id) { return this->tryToPlace(id, starts, evictions); });
    for (auto const& eviction : evictions)
        this->events.emit(Event(EventId::EvictionRequested).with("task", std::get<EvictAttempt>(eviction).task).with("reason", "makes room for a latency-critical task"));
    this->proposeAndMarkPending(evictions);
    this->proposeStarts(std::move(starts));
}

OfferResult Scheduler::tryToPlace(TaskId const& id, TaskCommandBatch& starts, TaskCommandBatch& evictions)
{
    if (starts.size() >= maxStartsPerPass) {
        this->isPlacementDue = true;
        return OfferResult::Blocked;
    }
    Task const& task = *this->tasks.find(id);
    Placement placement;
    placement.reason = this->quotaReason(task);
    placement.fitsWhenEmpty = true;
    if (!placement.reason.empty()) {
        this->recordWaitReason(id, placement);
        return OfferResult::Blocked;
    }
    TimePoint const now = this->clock.now();
    WorkerId const reservedWorker = this->placementState.releasePreemptionReservation(id);
    this->placementState.refresh(reservedWorker, now);
    placement = this->placementState.choose(task);
    if (placement.worker.empty()) {
        this->recordWaitReason(id, placement);
        if (!reservedWorker.empty())
            this->placementState.reserveForPreemption(id, reservedWorker, task.spec.resources, now + preemptionReservationTime);
        this->placementState.refresh(reservedWorker, now);
        bool const canPreempt = task.spec.taskClass == TaskClass::LatencyCritical && placement.fitsWhenEmpty;
        bool const isWaitingForEvictions = !reservedWorker.empty() || (canPreempt && this->tryToPreempt(task, evictions));
        return isWaitingForEvictions ? OfferResult::Skipped : OfferResult::Blocked;
    }
    this->placementReasons[id] = placement.reason;
    this->events.emit(Event(EventId::TaskPlaced).with("task", id).with("worker", placement.worker).with("reason", placement.reason));
    this->placementState.reserveForStart(placement.worker, task.spec.resources);
    this->placementState.setLocation(task, placement.worker);
    this->proposedReservations[task.spec.association] += task.spec.resources;
    starts.push_back(StartAttempt { id, task.attempt.next(), placement.worker, this->workers.find(placement.worker)->lastAnnouncement.incarnation });
    return OfferResult::Placed;
}

void Scheduler::recordWaitReason(TaskId const& id, Placement const& placement)
{
    std::string& last = this->placementReasons[id];
    if (last == placement.reason)
        return;
    last = placement.reason;
    EventId const event = placement.fitsWhenEmpty ? EventId::TaskWaits : EventId::TaskUnplaceable;
    this->events.emit(Event(event).with("task", id).with("reason", placement.reason));
}

Resources Scheduler::reservedIncludingProposed(AssociationId const& association) const
{
    Resources reserved = this->tasks.reservedBy(association);
    auto const proposed = this->proposedReservations.find(association);
    return proposed == this->proposedReservations.end() ? reserved : reserved + proposed->second;
}

std::string Scheduler::quotaReason(Task const& task) const
{
    Resources const& quota = this->policy().association(task.spec.association).quota;
    Resources const used = this->reservedIncludingProposed(task.spec.association) + task.spec.resources;
    bool const over = exceeds(used.milliCores, quota.milliCores) || exceeds(used.memoryMiB, quota.memoryMiB) || exceeds(used.accelerators, quota.accelerators);
    return over ? "the association's quota is in use" : std::string();
}

double Scheduler::weightedShareOf(AssociationId const& association) const
{
    Resources const used = this->reservedIncludingProposed(association);
    Resources const& total = this->placementState.totalCapacity();
    double const share = std::max(shareOfTotal(used.milliCores, total.milliCores), shareOfTotal(used.memoryMiB, total.memoryMiB));
    return share / static_cast<double>(std::max<int64_t>(1, this->policy().association(association).weight));
}

bool Scheduler::isBatchBelowFloor() const
{
    return shareOfTotal(this->tasks.reservedByBatch().milliCores, this->placementState.totalCapacity().milliCores) < batchFloorShare;
}

PreemptionCandidate Scheduler::preemptionCandidate(WorkerCandidate const& worker) const
{
    PreemptionCandidate candidate { worker.id, worker.free, {} };
    TimePoint const now = this->clock.now();
    for (auto const& id : this->tasks.tasksOnWorker(worker.id)) {
        Task const& task = *this->tasks.find(id);
        bool const isPreemptible = task.spec.taskClass == TaskClass::Batch && task.state == TaskState::Running && !task.cancelRequested && !this->tasksWithPendingProposal.count(id);
        if (!isPreemptible)
            continue;
        auto const found = this->attemptProgress.find(id);
        TimePoint const lastSavedAt = found == this->attemptProgress.end() ? this->leaderSince : std::max(found->second.firstReportedAt, found->second.checkpointReportedAt);
        double const cost = (now - lastSavedAt).toSeconds() + evictionCostSeconds * static_cast<double>(this->policy().weights.evictions) * (1 + static_cast<double>(task.evictions));
        candidate.victims.push_back({ id, task.attempt, task.spec.resources, cost });
    }
    return candidate;
}

bool Scheduler::tryToPreempt(Task const& task, TaskCommandBatch& evictions)
{
    if (evictions.size() >= maxEvictionsPerPass || this->isBatchBelowFloor())
        return false;
    std::vector<PreemptionCandidate> candidates;
    for (auto const* worker : this->placementState.index().fittingWhenEmpty(task.spec, maxPreemptionCandidates))
        candidates.push_back(this->preemptionCandidate(*worker));
    for (auto& candidate : candidates) {
        auto const isAlreadyChosen = [&](PreemptionVictim const& victim) {
            return std::any_of(evictions.begin(), evictions.end(), [&](auto const& command) { return std::get<EvictAttempt>(command).task == victim.task; });
        };
        candidate.victims.erase(std::remove_if(candidate.victims.begin(), candidate.victims.end(), isAlreadyChosen), candidate.victims.end());
    }
    PreemptionPlan const plan = choosePreemption(task.spec.resources, candidates);
    for (auto const& victim : plan.victims)
        evictions.push_back(EvictAttempt { victim.task, victim.attempt });
    if (plan.victims.empty())
        return false;
    TimePoint const now = this->clock.now();
    this->placementState.reserveForPreemption(task.spec.id, plan.worker, task.spec.resources, now + preemptionReservationTime);
    this->placementState.refresh(plan.worker, now);
    this->placementReasons[task.spec.id] = "waits for evictions on " + plan.worker.value();
    return true;
}

void Scheduler::proposeStarts(TaskCommandBatch starts)
{
    if (starts.empty())
        return;
    this->pendingStartCount = starts.size();
    TaskCommandBatch const proposed = std::move(starts);
    this->propose(proposed, [this, proposed](ResultCode code) {
        this->pendingStartCount = 0;
        this->proposedReservations.clear();
        this->isPlacementDue = true;
        if (code == ResultCode::Ok)
            this->onStartsCommitted(proposed);
        for (auto const& start : proposed) {
            if (code != ResultCode::Ok)
                this->placementState.dropLocation(std::get<StartAttempt>(start).task);
        }
        this->placementState.clearStartReservations(this->clock.now());
    });
}

void Scheduler::onStartsCommitted(TaskCommandBatch const& starts)
{
    TimePoint const now = this->clock.now();
    std::map<WorkerId, std::vector<WorkerCommand>> commands;
    for (auto const& part : starts) {
        auto const& start = std::get<StartAttempt>(part);
        Task const* task = this->tasks.find(start.task);
        bool const isStillCurrent = task && task->state == TaskState::Starting && task->attempt == start.attempt && !task->cancelRequested;
        LeasedWorker const* worker = this->workers.find(start.worker);
        if (!isStillCurrent || !worker || worker->lastAnnouncement.incarnation != start.incarnation)
            continue;
        this->committedStartCount++;
        this->health.onTaskStarted(start.worker, now);
        this->tracker.onStartSent(start.task, start.attempt, now);
        commands[start.worker].push_back(this->makeStartCommand(*task));
    }
    this->pushCommands(commands);
}

void Scheduler::onEvictionsCommitted(TaskCommandBatch const& evictions)
{
    std::map<WorkerId, std::vector<WorkerCommand>> commands;
    for (auto const& part : evictions) {
        auto const* eviction = std::get_if<EvictAttempt>(&part);
        Task const* task = eviction ? this->tasks.find(eviction->task) : nullptr;
        if (task && task->state == TaskState::Checkpointing && task->attempt == eviction->attempt)
            commands[task->worker].push_back(this->makeWorkerCommand(WorkerCommandKind::Stop, eviction->task, eviction->attempt));
    }
    this->pushCommands(commands);
}

void Scheduler::pushCommands(std::map<WorkerId, std::vector<WorkerCommand>> const& commands)
{
    if (!this->hooks.push || !this->log.isLeadershipConfirmed())
        return;
    for (auto const& [id, list] : commands) {
        LeasedWorker const* worker = this->workers.find(id);
        if (!worker || worker->lastAnnouncement.commandAddress.empty())
            continue;
        AnnouncementAnswer answer;
        answer.number = worker->lastAnnouncement.number;
        answer.incarnation = worker->lastAnnouncement.incarnation;
        answer.epoch = this->log.term();
        answer.lease = this->workers.leaseTimes().lease;
        answer.commands = list;
        this->hooks.push(*worker, answer);
    }
}

} // namespace cornelpond
