// One pass of the scheduler over the waiting tasks: which of them start now, and on which workers.

#include "cornelpond/core/scheduling/JobScheduler.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cornelpond {

namespace {

    /// A best-effort stage that found no room for this long may start a task throttled.
    constexpr Duration throttledStartDelay = Duration::milliseconds(2000);
    /// A task that was started throttled runs for at least this long before it is moved, as a move restarts it.
    constexpr Duration minRunTimeBeforeMove = Duration::seconds(3);
    constexpr unsigned moveBelowSpeedPercent = 50; ///< A faster task gains too little by a restart.
    /// Reserved share of a service's cores below which even a saturated worker is better than none.
    constexpr double lowReservedShare = 0.7;
    /// How long service tasks that have run before leave the reserve to short tasks. Users expect them back within
    /// seconds.
    constexpr Duration maxRestartWait = Duration::seconds(5);
    constexpr size_t maxMovesPerCheck = 4; ///< Spreads the restarts over several checks.

} // namespace

void JobScheduler::runPass()
{
    TimePoint const now = this->clock.now();
    this->dataCentreEvacuation.markWorkers();
    this->placer.beginPass(now);
    this->locality.beginPass();
    bool const isFull = this->pacing.isFullPassDue(now);
    std::vector<ReadyStage> ready = this->collectReadyStages(now, isFull);
    std::stable_sort(ready.begin(), ready.end(), [](ReadyStage const& left, ReadyStage const& right) { return left.rank < right.rank; });
    std::vector<StagePlacement> placements;
    size_t placed = 0;
    for (auto const& stage : ready) {
        placements.push_back(this->placeStage(stage, now));
        placed += placements.back().starts;
        this->hasLackedWorker = this->hasLackedWorker || placements.back().lacksWorker;
        if (placements.back().lacksWorker)
            this->dataCentreEvacuation.noteLackOfRoom(stage.job->spec.stages[stage.stage], now);
        if (placed >= this->limits.maxStartsPerPass)
            break;
    }
    countPassedOver(ready, placements, [this](JobId const& job, PassedOver const& count) { this->activeJobs.at(job).progress.passedOver += count; });
    this->isPassNeeded = this->isPassNeeded || placed >= this->limits.maxStartsPerPass;
    if (isFull && placed < this->limits.maxStartsPerPass)
        this->startCopies(this->limits.maxStartsPerPass - placed, now);
    this->permits.sendQueries();
    TimePoint const endedAt = this->clock.now();
    if (isFull) {
        this->pacing.onFullPass(now, endedAt);
        this->backlog.onPass(now, this->dispatch.workers().size(), ready, placements);
    } else {
        this->backlog.onStarts(ready, placements);
        this->isPassNeeded = true; // Best-effort stages may find room too.
    }
    this->pacing.onPass(now, endedAt);
    Duration const lasted = endedAt - now;
    this->schedulerCounters.passes++;
    this->schedulerCounters.passDuration.observe(lasted);
    this->loadReport.onPass(lasted);
}

std::vector<ReadyStage> JobScheduler::collectReadyStages(TimePoint now, bool isFull) const
{
    std::vector<ReadyStage> ready;
    for (auto const& [id, active] : this->activeJobs) {
        if (isFull || !active.isBestEffort)
            this->collectReadyStagesOf(*active.record, active.objective, now, ready);
    }
    return ready;
}

void JobScheduler::collectReadyStagesOf(JobRecord const& job, JobObjective const& objective, TimePoint now, std::vector<ReadyStage>& ready) const
{
    for (auto const& [number, occurrence] : job.occurrences) {
        TimePoint acceptedAt = objective.acceptedAt;
        if (job.spec.isScheduled()) {
            int64_t const dueInMs = job.spec.schedule.firstWallMs + job.spec.schedule.interval.toMilliseconds() * static_cast<int64_t>(number) - this->clock.wallMilliseconds();
            acceptedAt = now + Duration::milliseconds(dueInMs);
        }
        for (uint32_t stage = 0; stage < occurrence.stages.size(); stage++) {
            if (!occurrence.stages[stage].waitingCount || !this->expectedEnds.isStageReady(job, number, stage))
                continue;
            // Short tasks run at full speed; their large jobs, which get workers bit by bit, would rank as late too soon.
            double const stretch = job.spec.stages[stage].isBestEffort ? this->runTimes.stretchOf(job.spec.stages[stage]) : 1;
            ready.push_back({ &job, number, stage, rankOf(job, occurrence, stage, objective, acceptedAt, now, stretch), acceptedAt });
        }
    }
}

PlacementRequest JobScheduler::requestFor(ReadyStage const& ready)
{
    PlacementRequest request;
    request.task = { ready.job->spec.id, ready.occurrence, ready.stage, 0 };
    request.stage = &ready.job->spec.stages[ready.stage];
    request.image = this->dispatch.imageId(request.stage->image);
    request.service = ready.job->service;
    request.canLeaveDataRack = request.stage->dataRack.empty();
    return request;
}

StagePlacement JobScheduler::placeStage(ReadyStage const& ready, TimePoint now)
{
    PlacementRequest request = this->requestFor(ready);
    TaskRef const stage = request.task;
    StagePlacement placement;
    bool const mayStart = this->applyPermits(ready.job->queue, request);
    bool const needsPermits = request.permittedWorkers;
    if (mayStart)
        placement = request.stage->isGang ? this->placeGang(ready, std::move(request), now) : this->placeTasks(ready, std::move(request), now);
    if (needsPermits && this->hasUnplacedTask(*ready.job, stage))
        this->permits.request(stage);
    return placement;
}

StagePlacement JobScheduler::placeTasks(ReadyStage const& ready, PlacementRequest request, TimePoint now)
{
    StagePlacement placement;
    auto const& tasks = ready.job->occurrences.at(ready.occurrence).stages[ready.stage].tasks;
    std::array<std::array<bool, 2>, 2> hasNoRoom {}; // By isRestart and canUseReserve.
    for (uint32_t index = 0; index < tasks.size(); index++) {
        if (!tasks[index].isWaiting())
            continue;
        // The cheapest checks first: in an overload, most tasks wait behind one of their stage that found no room.
        request.isRestart = tasks[index].lastAttempt > AttemptNumber();
        if (hasNoRoom[request.isRestart][false] && (hasNoRoom[request.isRestart][true] || !request.stage->isService))
            continue;
        request.task.index = index;
        request.canUseReserve = request.stage->isService && request.isRestart && this->hasWaitedLong(request.task, now);
        if (hasNoRoom[request.isRestart][request.canUseReserve] || this->proposedTasks.count(request.task))
            continue;
        WorkerView* worker = this->placer.chooseNext(request, now);
        if (!worker && !request.canLeaveDataRack) {
            if (this->locality.shouldWaitForDataRack(request, ready.acceptedAt))
                continue; // By choice: it does not lack a worker.
            request.canLeaveDataRack = true;
            worker = this->placer.chooseNext(request, now);
        }
        if (!worker) {
            hasNoRoom[request.isRestart][request.canUseReserve] = true;
            if (!placement.lacksWorker && ready.rank.isUseful())
                this->placer.holdWorkerFor(request, now);
            placement.lacksWorker = true;
            continue;
        }
        this->locality.onTaskStarted(request, *worker);
        this->decideStart(*worker, { request.task, tasks[index].lastAttempt.next(), worker->profile.id }, ready, now);
        placement.starts++;
    }
    if (placement.starts || !request.stage->isBestEffort)
        return placement;
    bool const isIdle = std::all_of(tasks.begin(), tasks.end(), [](auto const& task) { return task.liveAttempts.empty(); });
    bool const canStartThrottled = isIdle || this->placer.reservedShare(request.service) < lowReservedShare;
    placement.starts = canStartThrottled && this->startThrottled(ready, request, now) ? 1 : 0;
    return placement;
}

/// True for a service task that must not wait any longer for room outside the reserve.
bool JobScheduler::hasWaitedLong(TaskRef const& task, TimePoint now) const
{
    auto const ended = this->serviceTaskEnds.find(task);
    return ended == this->serviceTaskEnds.end() || now - ended->second >= maxRestartWait;
}

/// For a stage that found no room beside the services that its image interferes with: after a delay, starts one
/// task at a speed that such a service hardly notices, so that the stage makes progress.
bool JobScheduler::startThrottled(ReadyStage const& ready, PlacementRequest request, TimePoint now)
{
    request.task.index = 0;
    TimePoint const since = this->waitingSince.emplace(request.task, now).first->second;
    if (now - since < throttledStartDelay)
        return false;
    auto const& tasks = ready.job->occurrences.at(ready.occurrence).stages[ready.stage].tasks;
    auto const waiting = std::find_if(tasks.begin(), tasks.end(), [](auto const& task) { return task.isWaiting(); });
    request.task.index = static_cast<uint32_t>(waiting - tasks.begin());
    request.canStartThrottled = true;
    request.canOvercommitCores = this->placer.reservedShare(request.service) < lowReservedShare;
    WorkerView* worker = waiting == tasks.end() || this->proposedTasks.count(request.task) ? nullptr : this->placer.choose(request, now);
    if (!worker)
        return false;
    this->decideStart(*worker, { request.task, waiting->lastAttempt.next(), worker->profile.id }, ready, now, this->placer.startSpeedPercent(*worker, *request.stage));
    return true;
}

/// Evicts tasks that were started throttled and are still slow, as soon as some worker could take them without
/// a throttled start.
void JobScheduler::moveThrottledTasks()
{
    TimePoint const now = this->clock.now();
    this->placer.beginPass(now);
    size_t movedCount = 0;
    for (auto& [id, worker] : this->dispatch.workers()) {
        for (auto& [key, attempt] : worker.placed) {
            bool const isSlow = attempt.isThrottledStart && attempt.isRunning() && attempt.targetSpeedPercent < moveBelowSpeedPercent && now - attempt.confirmedAt >= minRunTimeBeforeMove;
            if (!isSlow || movedCount >= maxMovesPerCheck)
                continue;
            if (!this->placer.choose(TaskEvictor::requestToMove(worker, attempt), now))
                continue;
            this->evictor.evict(worker, attempt, "another worker lets it work");
            movedCount++;
        }
    }
}

/// Runs after all waiting tasks had their turn, so that copies take only the room that these have left.
void JobScheduler::startCopies(size_t most, TimePoint now)
{
    size_t started = 0;
    for (auto const& [id, active] : this->activeJobs) {
        if (!active.allowsCopies)
            continue;
        for (auto const& candidate : this->copies.candidates(*active.record)) {
            if (started == most)
                return;
            // Without room for one of a job's copies there is hardly any for its others.
            if (!this->startCopy(*active.record, candidate, now))
                break;
            started++;
        }
    }
}

bool JobScheduler::startCopy(JobRecord const& job, CopyCandidate const& candidate, TimePoint now)
{
    TaskRef const& task = candidate.task;
    TaskRecord const& record = job.occurrences.at(task.occurrence).stages[task.stage].tasks[task.index];
    ReadyStage const stage { &job, task.occurrence, task.stage, StageRank(), this->objectiveFor(job).acceptedAt };
    PlacementRequest request = this->requestFor(stage);
    request.task = task;
    request.excludedWorker = candidate.runsOn;
    request.canLeaveDataRack = true;
    if (this->proposedTasks.count(task))
        return false;
    WorkerView* worker = this->applyPermits(job.queue, request) ? this->placer.choose(request, now) : nullptr;
    if (!worker) {
        if (request.permittedWorkers)
            this->permits.request(task);
        return false;
    }
    this->events.emit(Event(EventId::CopyStarted)
                          .with("task", task.text())
                          .with("runsOn", candidate.runsOn)
                          .with("answers", static_cast<int>(candidate.isWorkerAnswering))
                          .with("runningMs", candidate.running)
                          .with("worker", worker->profile.id));
    this->schedulerCounters.copiesStarted++;
    this->decideStart(*worker, { task, record.lastAttempt.next(), worker->profile.id }, stage, now);
    return true;
}

/// Starts all members or none, and holds a worker for each while there is no room for all. A stage that prefers one rack starts on
/// workers of several racks only where waiting for one rack does not pay.
StagePlacement JobScheduler::placeGang(ReadyStage const& ready, PlacementRequest request, TimePoint now)
{
    auto const& tasks = ready.job->occurrences.at(ready.occurrence).stages[ready.stage].tasks;
    bool const isAllWaiting = std::all_of(tasks.begin(), tasks.end(), [](auto const& task) { return task.isWaiting(); });
    if (!isAllWaiting || this->proposedTasks.count(request.task))
        return {};
    std::vector<CommitStart> placed;
    bool isPlaced = false;
    if (request.stage->prefersOneRack) {
        std::set<RackId> racks;
        for (auto const& [id, worker] : this->dispatch.workers())
            racks.insert(worker.profile.rack);
        for (auto const& rack : racks) {
            request.requiredRack = rack;
            isPlaced = this->chooseGangWorkers(ready, request, now, placed);
            if (isPlaced)
                break;
        }
        request.requiredRack = RackId();
    }
    bool const isOnOneRack = isPlaced;
    if (!isPlaced && request.stage->prefersOneRack && this->locality.shouldWaitForOneRack(request, ready.acceptedAt))
        return {};
    if (!isPlaced)
        isPlaced = this->chooseGangWorkers(ready, request, now, placed);
    if (!isPlaced) {
        for (size_t member = 0; member < tasks.size() && ready.rank.isUseful(); member++)
            this->placer.holdWorkerFor(request, now);
        return { 0, true };
    }
    this->locality.onGangStarted(request, isOnOneRack);
    for (auto const& start : placed)
        this->decideStart(*this->dispatch.findWorker(start.worker), start, ready, now);
    return { placed.size(), false };
}

bool JobScheduler::chooseGangWorkers(ReadyStage const& ready, PlacementRequest const& request, TimePoint now, std::vector<CommitStart>& placed)
{
    auto const& tasks = ready.job->occurrences.at(ready.occurrence).stages[ready.stage].tasks;
    AttemptNumber last;
    for (auto const& task : tasks)
        last = std::max(last, task.lastAttempt);
    PlacementRequest member = request;
    placed.clear();
    for (uint32_t index = 0; index < tasks.size(); index++) {
        member.task.index = index;
        WorkerView* worker = index ? this->placer.chooseNext(member, now) : this->placer.choose(member, now);
        if (!worker)
            break;
        this->dispatch.reserve(*worker, member.task, last.next());
        placed.push_back({ member.task, last.next(), worker->profile.id });
    }
    for (auto const& start : placed)
        this->dispatch.findWorker(start.worker)->remove({ start.task, start.attempt });
    return placed.size() == tasks.size();
}

void JobScheduler::decideStart(WorkerView& worker, CommitStart const& start, ReadyStage const& ready, TimePoint now, std::optional<unsigned> startSpeedPercent)
{
    ActiveJob& active = this->activeJob(*ready.job);
    JobProgress& progress = active.progress;
    Duration const sinceAccepted = now - active.objective.acceptedAt;
    this->events.emit(Event(EventId::TaskPlaced)
                          .with("task", start.task.text())
                          .with("attempt", start.attempt)
                          .with("worker", start.worker)
                          .with("listedMs", now - worker.lastAnswerAt)
                          .with("freeMilliCores", worker.freeResources().milliCores)
                          .with("tailPercent", static_cast<int>(worker.tailRatio * 100))
                          .with("speedPercent", startSpeedPercent.value_or(fullSpeedPercent))
                          .with("sinceAcceptedMs", sinceAccepted)
                          .with("objectiveMs", active.objective.latencyObjective)
                          .with("lateness", static_cast<int>(ready.rank.lateness)));
    this->dispatch.reserve(worker, start.task, start.attempt, startSpeedPercent);
    this->proposedTasks.insert(start.task);
    bool const isStageReady = this->jobTable.find(start.task.job) && ready.job->isStageReady(ready.job->occurrences.at(ready.occurrence), ready.stage);
    this->steps.onStartDecided(start.task, isStageReady);
    this->pendingUpdates.emplace_back(start);
    this->waitingSince.erase({ start.task.job, start.task.occurrence, start.task.stage, 0 });
    this->schedulerCounters.startsDecided++;
    this->schedulerCounters.placeLatency.observe(sinceAccepted);
    progress.firstStart = progress.starts ? progress.firstStart : sinceAccepted;
    progress.lastStart = sinceAccepted;
    progress.starts++;
}

} // namespace cornelpond
