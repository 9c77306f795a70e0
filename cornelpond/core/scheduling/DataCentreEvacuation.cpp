#include "cornelpond/core/scheduling/DataCentreEvacuation.h"

#include "cornelpond/core/jobs/StageKey.h"

#include <algorithm>

namespace cornelpond {

namespace {

    constexpr Duration reportInterval = Duration::seconds(2);
    /// Longer than the intervals at which waiting tasks are compared with all workers again.
    constexpr Duration lackOfRoomTime = Duration::seconds(1);

    EvacuationLimits limitsFor(DispatchTimes const& times)
    {
        EvacuationLimits limits;
        limits.minRemaining = times.leaseDuration + times.leaseMargin;
        return limits;
    }

} // namespace

DataCentreEvacuation::DataCentreEvacuation(Clock const& clock, EventSink& events, EvacuationTable const& evacuations, JobTable const& jobs, Dispatcher& dispatch, TaskPlacer& placer, TaskEvictor& evictor)
    : clock(clock)
    , events(events)
    , evacuations(evacuations)
    , jobs(jobs)
    , dispatch(dispatch)
    , placer(placer)
    , evictor(evictor)
    , plan(limitsFor(dispatch.dispatchTimes()))
{
}

void DataCentreEvacuation::markWorkers()
{
    if (this->evacuations.all().empty() && !this->hasMarks)
        return;
    this->hasMarks = false;
    for (auto& [id, worker] : this->dispatch.workers()) {
        bool const isEvacuated = this->evacuations.isEvacuated(worker.profile.dataCentre);
        this->hasMarks |= isEvacuated;
        if (worker.isEvacuated != isEvacuated)
            worker.noteChange();
        worker.isEvacuated = isEvacuated;
    }
}

bool DataCentreEvacuation::mayStart(WorkerProfile const& worker, TaskRef const& task, AttemptNumber attempt)
{
    if (!this->evacuations.isEvacuated(worker.dataCentre))
        return true;
    this->events.emit(Event(EventId::EvacuatedTask).with("task", task.text()).with("attempt", attempt).with("worker", worker.id).with("dataCentre", worker.dataCentre).with("outcome", "start withdrawn"));
    return false;
}

/// A task that may run on few workers only says nothing about the room on the others.
void DataCentreEvacuation::noteLackOfRoom(StageSpec const& stage, TimePoint now)
{
    if (stage.requiredLabel.empty())
        this->lackedRoomAt = now;
}

void DataCentreEvacuation::moveTasks()
{
    this->markWorkers();
    if (this->evacuations.all().empty()) {
        this->moved.clear();
        return;
    }
    if (this->clock.now() < this->lackedRoomAt + lackOfRoomTime)
        return;
    EvacuationMoves const inProgress = this->movesInProgress();
    this->candidates.clear();
    this->attempts.clear();
    this->stageNumbers.clear();
    for (auto& [id, worker] : this->dispatch.workers()) {
        if (worker.isEvacuated && !worker.profile.isDraining) // DrainEvacuation moves what runs on the others.
            this->addCandidates(worker);
    }
    this->placer.beginPass(this->clock.now());
    std::vector<size_t> const chosen = this->plan.choose(this->candidates, inProgress, [this](size_t index) { return this->takeRoom(index); });
    for (auto const& [worker, key] : this->takenRoom)
        worker->remove(key);
    this->takenRoom.clear();
    for (size_t const index : chosen) {
        auto const& [worker, attempt] = this->attempts[index];
        this->events.emit(Event(EventId::EvacuatedTask)
                              .with("task", attempt->task.text())
                              .with("attempt", attempt->number)
                              .with("worker", worker->profile.id)
                              .with("dataCentre", worker->profile.dataCentre)
                              .with("remainingMs", this->candidates[index].remaining)
                              .with("unavailable", this->candidates[index].stageUnavailable)
                              .with("outcome", "moved"));
        this->moved.emplace(attempt->task, attempt->isService());
        this->evictor.evict(*worker, *attempt, "data centre is evacuated");
    }
}

void DataCentreEvacuation::addCandidates(WorkerView& worker)
{
    constexpr unsigned allPercent = 100;
    for (auto& [key, attempt] : worker.placed) {
        if (!attempt.isRunning() || (!attempt.isService() && !attempt.isBestEffort()))
            continue;
        EvacuationCandidate candidate;
        candidate.isService = attempt.isService();
        candidate.isBestEffort = attempt.isBestEffort();
        candidate.isGang = attempt.stage->isGang;
        candidate.savesCheckpoints = attempt.stage->savesCheckpoints;
        candidate.remaining = attempt.stage->estimatedRunTime * (allPercent - std::min(attempt.progressPercent, allPercent)) / allPercent;
        candidate.stage = this->stageNumbers.try_emplace(stageKey(attempt.task), this->stageNumbers.size()).first->second;
        candidate.stageTasks = attempt.stage->taskCount;
        candidate.maxUnavailable = attempt.stage->maxUnavailable;
        if (candidate.isService)
            candidate.stageUnavailable = this->unavailableTasks(attempt.task);
        this->candidates.push_back(candidate);
        this->attempts.emplace_back(&worker, &attempt);
    }
}

/// Tasks of the stage that are not at work, other than the given one.
size_t DataCentreEvacuation::unavailableTasks(TaskRef const& task) const
{
    JobRecord const* job = this->jobs.find(task.job);
    auto const occurrence = job->occurrences.find(task.occurrence);
    if (occurrence == job->occurrences.end())
        return 0;
    auto const& tasks = occurrence->second.stages[task.stage].tasks;
    size_t unavailable = 0;
    TaskRef other = task;
    for (other.index = 0; other.index < tasks.size(); other.index++)
        unavailable += other != task && !this->isAtWork(other, tasks[other.index]) ? 1 : 0;
    return unavailable;
}

bool DataCentreEvacuation::isAtWork(TaskRef const& task, TaskRecord const& record) const
{
    constexpr unsigned atWorkPercent = 100; // Lower while the task starts up.
    TimePoint const now = this->clock.now();
    return std::any_of(record.liveAttempts.begin(), record.liveAttempts.end(), [&](Attempt const& live) {
        WorkerView* worker = this->dispatch.findWorker(live.worker);
        PlacedAttempt const* attempt = worker && worker->isAnswering(now, this->dispatch.dispatchTimes()) ? worker->find(task, live.number) : nullptr;
        return attempt && attempt->isRunning() && attempt->progressPercent >= atWorkPercent;
    });
}

/// True if another worker has room for the candidate, which is then taken until the end of this round of moves.
bool DataCentreEvacuation::takeRoom(size_t index)
{
    auto const& [worker, attempt] = this->attempts[index];
    PlacementRequest request = TaskEvictor::requestToMove(*worker, *attempt);
    request.isRestart = true;
    WorkerView* other = this->placer.choose(request, this->clock.now());
    if (!other)
        return false;
    this->dispatch.reserve(*other, attempt->task, attempt->number.next());
    this->takenRoom.emplace_back(other, AttemptKey { attempt->task, attempt->number.next() });
    return true;
}

EvacuationMoves DataCentreEvacuation::movesInProgress()
{
    EvacuationMoves moves;
    for (auto at = this->moved.begin(); at != this->moved.end();) {
        if (!this->isBeingMoved(at->first)) {
            at = this->moved.erase(at);
            continue;
        }
        moves.service += at->second ? 1 : 0;
        moves.bestEffort += at->second ? 0 : 1;
        ++at;
    }
    return moves;
}

/// True until the task has ended or has a live attempt outside of evacuated data centres.
bool DataCentreEvacuation::isBeingMoved(TaskRef const& task) const
{
    JobRecord const* job = this->jobs.find(task.job);
    TaskRecord const* record = this->jobs.findTask(task);
    if (!job || job->state != JobState::Active || !record || record->isDone)
        return false;
    return std::all_of(record->liveAttempts.begin(), record->liveAttempts.end(), [this](Attempt const& attempt) {
        WorkerView const* worker = this->dispatch.findWorker(attempt.worker);
        return worker && worker->isEvacuated;
    });
}

std::map<DataCentreId, EvacuationProgress> DataCentreEvacuation::progress() const
{
    std::map<DataCentreId, EvacuationProgress> all;
    for (auto const& [dataCentre, startedWallMs] : this->evacuations.all())
        all[dataCentre].age = std::max(Duration(), Duration::milliseconds(this->clock.wallMilliseconds() - startedWallMs));
    for (auto const& [id, worker] : this->dispatch.workers()) {
        auto const found = all.find(worker.profile.dataCentre);
        if (found == all.end())
            continue;
        for (auto const& [key, attempt] : worker.placed) {
            if (attempt.isService())
                found->second.service++;
            else if (attempt.isBestEffort())
                found->second.bestEffort++;
            else
                found->second.shortTasks++;
        }
    }
    return all;
}

JobsWithoutWorkers DataCentreEvacuation::jobsWithoutWorkers() const
{
    JobsWithoutWorkers found;
    if (this->evacuations.all().empty())
        return found;
    // By service and label; the empty label stands for any worker of the service.
    std::set<std::pair<ServiceId, std::string>> open;
    std::set<std::pair<ServiceId, std::string>> evacuated;
    for (auto const& [id, worker] : this->dispatch.workers()) {
        auto& kinds = this->evacuations.isEvacuated(worker.profile.dataCentre) ? evacuated : open;
        kinds.emplace(worker.profile.service, std::string());
        for (auto const& label : worker.profile.labels)
            kinds.emplace(worker.profile.service, label);
    }
    for (auto const& [id, job] : this->jobs.all()) {
        if (job.state != JobState::Active)
            continue;
        for (auto const& [number, occurrence] : job.occurrences) {
            bool isCounted = false;
            for (size_t stage = 0; stage < occurrence.stages.size() && !isCounted; stage++) {
                std::pair<ServiceId, std::string> const kind { job.service, job.spec.stages[stage].requiredLabel };
                if (!occurrence.stages[stage].waitingCount || open.count(kind) || !evacuated.count(kind) || !job.isStageReady(occurrence, stage))
                    continue;
                isCounted = true;
                found.count++;
                found.example = id;
                found.label = kind.second;
            }
            if (isCounted)
                break;
        }
    }
    return found;
}

void DataCentreEvacuation::reportProgress()
{
    TimePoint const now = this->clock.now();
    if (this->evacuations.all().empty() || now < this->nextReport)
        return;
    this->nextReport = now + reportInterval;
    JobsWithoutWorkers const waiting = this->jobsWithoutWorkers();
    for (auto const& [dataCentre, left] : this->progress()) {
        this->events.emit(Event(EventId::EvacuationProgress)
                              .with("dataCentre", dataCentre)
                              .with("ageMs", left.age)
                              .with("service", left.service)
                              .with("bestEffort", left.bestEffort)
                              .with("short", left.shortTasks)
                              .with("moving", this->moved.size())
                              .with("jobsWithoutWorkers", waiting.count)
                              .with("exampleJob", waiting.example)
                              .with("requiredLabel", waiting.label));
    }
}

void DataCentreEvacuation::clear()
{
    this->moved.clear();
    this->lackedRoomAt = TimePoint::distantPast();
    this->hasMarks = false;
}

} // namespace cornelpond
