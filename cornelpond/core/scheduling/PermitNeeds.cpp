// Which workers the policy service is asked about, for stages whose queue requires permits.

#include "cornelpond/core/scheduling/JobScheduler.h"

#include <algorithm>

namespace cornelpond {

namespace {

    int64_t placesOf(int64_t capacity, int64_t need)
    {
        return need ? capacity / need : int64_t(maxTasksPerStage);
    }

    /// How many tasks of the stage fit on the worker when nothing else runs there.
    int64_t placesWhenEmpty(WorkerView const& worker, StageSpec const& stage)
    {
        Resources const need = stage.reservedPerTask();
        Resources const& capacity = worker.profile.capacity;
        int64_t const limit = stage.maxTasksPerWorker ? stage.maxTasksPerWorker : int64_t(maxTasksPerStage);
        return std::min({ limit, placesOf(capacity.milliCores, need.milliCores), placesOf(capacity.memoryMiB, need.memoryMiB), placesOf(capacity.accelerators, need.accelerators) });
    }

} // namespace

PermitSpec const* JobScheduler::requiredPermits(QueueId const& queue) const
{
    QueueSpec const* spec = this->queues.find(queue);
    return spec && spec->permits.isRequired ? &spec->permits : nullptr;
}

bool JobScheduler::applyPermits(QueueId const& queue, PlacementRequest& request)
{
    if (!this->requiredPermits(queue))
        return true;
    request.permittedWorkers = &this->permits.permittedWorkers(request.task);
    // Waiting for the rack of its data is of no use where the policy allows none of its workers.
    request.canLeaveDataRack = request.canLeaveDataRack || !this->mayRunOnDataRack(request);
    return !request.permittedWorkers->empty();
}

bool JobScheduler::mayRunOnDataRack(PlacementRequest const& request) const
{
    auto const& workers = this->dispatch.workers();
    return std::any_of(workers.begin(), workers.end(), [&](auto const& entry) {
        WorkerProfile const& profile = entry.second.profile;
        return profile.service == request.service && profile.rack == request.stage->dataRack && this->permits.mayPermit(request.task, profile.id);
    });
}

/// The workers that have room for the stage. Also those that are busy now, as long as those with a permit could not take all its
/// tasks: without a permit the stage would lose each room that comes free to stages that have theirs.
PermitNeed JobScheduler::permitNeedOf(TaskRef const& stage)
{
    PermitNeed need;
    JobRecord const* job = this->jobTable.find(stage.job);
    PermitSpec const* spec = job ? this->requiredPermits(job->queue) : nullptr;
    if (!spec || !(this->hasUnplacedTask(*job, stage) || job->spec.stages[stage.stage].allowsSpeculativeCopies))
        return need;
    need.spec = *spec;
    PlacementRequest request = this->requestFor({ job, stage.occurrence, stage.stage, StageRank(), TimePoint() });
    request.canLeaveDataRack = true;
    std::vector<EligibleWorker> const eligible = this->placer.eligibleWorkers(request, this->clock.now());
    std::set<WorkerId> const& permitted = this->permits.permittedWorkers(stage);
    int64_t places = 0;
    for (auto const& each : eligible)
        places += permitted.count(each.worker->profile.id) ? placesWhenEmpty(*each.worker, *request.stage) : 0;
    bool const lacksPlaces = places < request.stage->taskCount;
    for (auto const& each : eligible) {
        if (each.hasRoom || lacksPlaces)
            need.workers.push_back(each.worker->profile.id);
    }
    return need;
}

/// True when a task of the stage waits for a worker and is not being started.
bool JobScheduler::hasUnplacedTask(JobRecord const& job, TaskRef const& stage) const
{
    auto const occurrence = job.occurrences.find(stage.occurrence);
    if (job.state != JobState::Active || occurrence == job.occurrences.end())
        return false;
    auto const& tasks = occurrence->second.stages[stage.stage].tasks;
    TaskRef task = stage;
    for (task.index = 0; task.index < tasks.size(); task.index++) {
        if (tasks[task.index].isWaiting() && !this->proposedTasks.count(task))
            return true;
    }
    return false;
}

} // namespace cornelpond
