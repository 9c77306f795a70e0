#include "cornelpond/core/tasks/Fleet.h"

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

void Fleet::clear()
{
    this->workerIndex.clear();
    this->stray.clear();
    this->external.clear();
    this->proposedStarts.clear();
    this->claims.clear();
    this->locations.clear();
    this->tasksOnRack.clear();
    this->tasksOfGroup.clear();
}

void Fleet::refresh(WorkerId const& id, TimePoint now)
{
    if (id.empty())
        return;
    Worker const* worker = this->workers.find(id);
    if (!worker) {
        this->workerIndex.remove(id);
        this->stray.erase(id);
        return;
    }
    WorkerCandidate candidate;
    candidate.id = id;
    candidate.rack = worker->last.rack;
    candidate.labels = worker->last.labels;
    candidate.capacity = worker->last.capacity;
    candidate.free = worker->last.capacity - this->tasks.reservedOn(id) - this->claimedOn(id);
    for (auto const* held : { &this->stray, &this->external, &this->proposedStarts }) {
        auto const found = held->find(id);
        if (found != held->end())
            candidate.free -= found->second;
    }
    candidate.takesNew = !this->tasks.isDrained(id) && this->health.takesNew(id, now);
    this->workerIndex.set(std::move(candidate));
}

void Fleet::reserveForStart(WorkerId const& worker, Resources const& need)
{
    this->proposedStarts[worker] += need;
    this->workerIndex.reserve(worker, need);
}

void Fleet::clearStartReservations(TimePoint now)
{
    std::unordered_map<WorkerId, Resources> cleared;
    cleared.swap(this->proposedStarts);
    for (auto const& [worker, need] : cleared)
        this->refresh(worker, now);
}

void Fleet::setStray(WorkerId const& worker, Resources const& held)
{
    if (held == Resources())
        this->stray.erase(worker);
    else
        this->stray[worker] = held;
}

bool Fleet::setExternal(std::unordered_map<WorkerId, Resources> held, TimePoint now)
{
    if (this->external == held)
        return false;
    this->external.swap(held);
    for (auto const& [worker, resources] : held) {
        if (!this->external.count(worker))
            this->refresh(worker, now);
    }
    for (auto const& [worker, resources] : this->external) {
        auto const before = held.find(worker);
        if (before == held.end() || !(before->second == resources))
            this->refresh(worker, now);
    }
    return true;
}

void Fleet::claim(TaskId const& task, WorkerId const& worker, Resources const& need, TimePoint until)
{
    this->claims[task] = { worker, need, until };
}

WorkerId Fleet::releaseClaim(TaskId const& task)
{
    auto const found = this->claims.find(task);
    if (found == this->claims.end())
        return WorkerId();
    WorkerId worker = found->second.worker;
    this->claims.erase(found);
    return worker;
}

std::vector<TaskId> Fleet::expiredClaims(TimePoint now) const
{
    std::vector<TaskId> expired;
    for (auto const& [task, claim] : this->claims) {
        if (now >= claim.until)
            expired.push_back(task);
    }
    return expired;
}

Resources Fleet::claimedOn(WorkerId const& worker) const
{
    Resources sum;
    for (auto const& [task, claim] : this->claims) {
        if (claim.worker == worker)
            sum += claim.need;
    }
    return sum;
}

void Fleet::setLocation(Task const& task, WorkerId const& id)
{
    this->dropLocation(task.spec.id);
    Worker const* worker = id.empty() ? nullptr : this->workers.find(id);
    if (!worker)
        return;
    Location location { spreadGroup(task.spec), worker->last.rack };
    this->tasksOnRack[{ location.group, location.rack }]++;
    this->tasksOfGroup[location.group]++;
    this->locations.emplace(task.spec.id, std::move(location));
}

void Fleet::dropLocation(TaskId const& task)
{
    auto const found = this->locations.find(task);
    if (found == this->locations.end())
        return;
    Location const& location = found->second;
    auto const onRack = this->tasksOnRack.find({ location.group, location.rack });
    if (--onRack->second == 0)
        this->tasksOnRack.erase(onRack);
    auto const ofGroup = this->tasksOfGroup.find(location.group);
    if (--ofGroup->second == 0)
        this->tasksOfGroup.erase(ofGroup);
    this->locations.erase(found);
}

Placement Fleet::choose(Task const& task)
{
    std::string const group = spreadGroup(task.spec);
    auto const all = this->tasksOfGroup.find(group);
    double const total = all == this->tasksOfGroup.end() ? 1 : static_cast<double>(all->second);
    double const weight = task.spec.taskClass == TaskClass::Batch ? batchSpreadCost : latencyCriticalSpreadCost;
    auto const rackCost = [&](WorkerCandidate const& candidate) {
        auto const found = this->tasksOnRack.find({ group, candidate.rack });
        return found == this->tasksOnRack.end() ? 0 : weight * static_cast<double>(found->second) / total;
    };
    return this->workerIndex.choose({ task.spec, workersOfFailures(task), rackCost });
}

} // namespace cornelpond
