#include "cornelpond/core/tasks/PlacementState.h"

#include <algorithm>

namespace cornelpond {

namespace {

    /// Added to a worker's placement cost when its rack holds all tasks of the spread group; in proportion
    /// when it holds some of them.
    constexpr double batchSpreadCost = 0.5;
    constexpr double latencyCriticalSpreadCost = 4;
    constexpr char const* serviceLabel = "service";

    /// Tasks with equal keys are spread over racks, so that the loss of one rack does not end all of them.
    std::string spreadGroupKey(TaskSpec const& spec)
    {
        auto const service = spec.labels.find(serviceLabel);
        return spec.association.value() + " " + (service == spec.labels.end() ? std::string() : service->second);
    }

    std::vector<WorkerId> workersWithFailures(Task const& task)
    {
        std::vector<WorkerId> workers;
        for (auto const& record : task.history) {
            if (record.outcome == AttemptOutcome::Failed)
                workers.push_back(record.worker);
        }
        return workers;
    }

} // namespace

void PlacementState::clear()
{
    this->workerIndex.clear();
    this->orphanedResources.clear();
    this->externalResources.clear();
    this->proposedStartResources.clear();
    this->preemptionReservations.clear();
    this->locations.clear();
    this->tasksOnRack.clear();
    this->tasksInSpreadGroup.clear();
}

void PlacementState::refresh(WorkerId const& id, TimePoint now)
{
    if (id.empty())
        return;
    LeasedWorker const* worker = this->workers.find(id);
    if (!worker) {
        this->workerIndex.remove(id);
        this->orphanedResources.erase(id);
        return;
    }
    WorkerCandidate candidate;
    candidate.id = id;
    candidate.rack = worker->lastAnnouncement.rack;
    candidate.labels = worker->lastAnnouncement.labels;
    candidate.capacity = worker->lastAnnouncement.capacity;
    candidate.free = worker->lastAnnouncement.capacity - this->tasks.reservedOn(id) - this->preemptionReservedOn(id);
    for (auto const* deduction : { &this->orphanedResources, &this->externalResources, &this->proposedStartResources }) {
        auto const found = deduction->find(id);
        if (found != deduction->end())
            candidate.free -= found->second;
    }
    candidate.canAcceptTasks = !this->tasks.isDrained(id) && this->health.canAcceptTasks(id, now);
    this->workerIndex.set(std::move(candidate));
}

void PlacementState::reserveForStart(WorkerId const& worker, Resources const& need)
{
    this->proposedStartResources[worker] += need;
    this->workerIndex.reserve(worker, need);
}

void PlacementState::clearStartReservations(TimePoint now)
{
    std::unordered_map<WorkerId, Resources> cleared;
    cleared.swap(this->proposedStartResources);
    for (auto const& [worker, need] : cleared)
        this->refresh(worker, now);
}

void PlacementState::setOrphanedResources(WorkerId const& worker, Resources const& resources)
{
    if (resources == Resources())
        this->orphanedResources.erase(worker);
    else
        this->orphanedResources[worker] = resources;
}

bool PlacementState::setExternalResources(std::unordered_map<WorkerId, Resources> resourcesByWorker, TimePoint now)
{
    if (this->externalResources == resourcesByWorker)
        return false;
    this->externalResources.swap(resourcesByWorker);
    for (auto const& [worker, resources] : resourcesByWorker) {
        if (!this->externalResources.count(worker))
            this->refresh(worker, now);
    }
    for (auto const& [worker, resources] : this->externalResources) {
        auto const before = resourcesByWorker.find(worker);
        if (before == resourcesByWorker.end() || !(before->second == resources))
            this->refresh(worker, now);
    }
    return true;
}

void PlacementState::reserveForPreemption(TaskId const& task, WorkerId const& worker, Resources const& need, TimePoint until)
{
    this->preemptionReservations[task] = { worker, need, until };
}

WorkerId PlacementState::releasePreemptionReservation(TaskId const& task)
{
    auto const found = this->preemptionReservations.find(task);
    if (found == this->preemptionReservations.end())
        return WorkerId();
    WorkerId worker = found->second.worker;
    this->preemptionReservations.erase(found);
    return worker;
}

std::vector<TaskId> PlacementState::expiredPreemptionReservations(TimePoint now) const
{
    std::vector<TaskId> expired;
    for (auto const& [task, reservation] : this->preemptionReservations) {
        if (now >= reservation.until)
            expired.push_back(task);
    }
    return expired;
}

Resources PlacementState::preemptionReservedOn(WorkerId const& worker) const
{
    Resources sum;
    for (auto const& [task, reservation] : this->preemptionReservations) {
        if (reservation.worker == worker)
            sum += reservation.need;
    }
    return sum;
}

void PlacementState::setLocation(Task const& task, WorkerId const& id)
{
    this->dropLocation(task.spec.id);
    LeasedWorker const* worker = id.empty() ? nullptr : this->workers.find(id);
    if (!worker)
        return;
    Location location { spreadGroupKey(task.spec), worker->lastAnnouncement.rack };
    this->tasksOnRack[{ location.spreadGroup, location.rack }]++;
    this->tasksInSpreadGroup[location.spreadGroup]++;
    this->locations.emplace(task.spec.id, std::move(location));
}

void PlacementState::dropLocation(TaskId const& task)
{
    auto const found = this->locations.find(task);
    if (found == this->locations.end())
        return;
    Location const& location = found->second;
    auto const onRack = this->tasksOnRack.find({ location.spreadGroup, location.rack });
    if (--onRack->second == 0)
        this->tasksOnRack.erase(onRack);
    auto const ofGroup = this->tasksInSpreadGroup.find(location.spreadGroup);
    if (--ofGroup->second == 0)
        this->tasksInSpreadGroup.erase(ofGroup);
    this->locations.erase(found);
}

Placement PlacementState::choose(Task const& task)
{
    std::string const spreadGroup = spreadGroupKey(task.spec);
    auto const all = this->tasksInSpreadGroup.find(spreadGroup);
    double const total = all == this->tasksInSpreadGroup.end() ? 1 : static_cast<double>(all->second);
    double const weight = task.spec.taskClass == TaskClass::Batch ? batchSpreadCost : latencyCriticalSpreadCost;
    auto const rackCost = [&](WorkerCandidate const& candidate) {
        auto const found = this->tasksOnRack.find({ spreadGroup, candidate.rack });
        return found == this->tasksOnRack.end() ? 0 : weight * static_cast<double>(found->second) / total;
    };
    return this->workerIndex.choose({ task.spec, workersWithFailures(task), rackCost });
}

} // namespace cornelpond
