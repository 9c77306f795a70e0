#include "cornelpond/core/tasks/PlacementState.h"

#include <algorithm>

namespace cornelpond {

namespace {

    /// Cost of a rack that holds all of a group's tasks, against a worker's leftover share.
    constexpr double batchSpreadCost = 0.5;
    constexpr double latencyCriticalSpreadCost = 4;
    constexpr char const* serviceLabel = "service";

    /// Tasks that a lost rack should not all hit: one association's of one service.
    std::string spreadGroup(TaskSpec const& spec)
    {
        auto const service = spec.labels.find(serviceLabel);
        return spec.association.value() + " " + (service == spec.labels.end() ? std::string() : service->second);
    }

    std::vector<WorkerId> workersOfFailures(Task const& task)
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
    for (auto const* held : { &this->orphanedResources, &this->externalResources, &this->proposedStartResources }) {
        auto const found = held->find(id);
        if (found != held->end())
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

void PlacementState::setOrphanedResources(WorkerId const& worker, Resources const& held)
{
    if (held == Resources())
        this->orphanedResources.erase(worker);
    else
        this->orphanedResources[worker] = held;
}

bool PlacementState::setExternalResources(std::unordered_map<WorkerId, Resources> held, TimePoint now)
{
    if (this->externalResources == held)
        return false;
    this->externalResources.swap(held);
    for (auto const& [worker, resources] : held) {
        if (!this->externalResources.count(worker))
            this->refresh(worker, now);
    }
    for (auto const& [worker, resources] : this->externalResources) {
        auto const before = held.find(worker);
        if (before == held.end() || !(before->second == resources))
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
    for (auto const& [task, claim] : this->preemptionReservations) {
        if (now >= claim.until)
            expired.push_back(task);
    }
    return expired;
}

Resources PlacementState::preemptionReservedOn(WorkerId const& worker) const
{
    Resources sum;
    for (auto const& [task, claim] : this->preemptionReservations) {
        if (claim.worker == worker)
            sum += claim.need;
    }
    return sum;
}

void PlacementState::setLocation(Task const& task, WorkerId const& id)
{
    this->dropLocation(task.spec.id);
    LeasedWorker const* worker = id.empty() ? nullptr : this->workers.find(id);
    if (!worker)
        return;
    Location location { spreadGroup(task.spec), worker->lastAnnouncement.rack };
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
    std::string const group = spreadGroup(task.spec);
    auto const all = this->tasksInSpreadGroup.find(group);
    double const total = all == this->tasksInSpreadGroup.end() ? 1 : static_cast<double>(all->second);
    double const weight = task.spec.taskClass == TaskClass::Batch ? batchSpreadCost : latencyCriticalSpreadCost;
    auto const rackCost = [&](WorkerCandidate const& candidate) {
        auto const found = this->tasksOnRack.find({ group, candidate.rack });
        return found == this->tasksOnRack.end() ? 0 : weight * static_cast<double>(found->second) / total;
    };
    return this->workerIndex.choose({ task.spec, workersOfFailures(task), rackCost });
}

} // namespace cornelpond
