#include "cornelpond/core/placement/WorkerHealth.h"

#include <algorithm>

namespace cornelpond {

namespace {

    constexpr size_t failuresToQuarantine = 3;
    constexpr size_t maxQuarantinedPercent = 20;
    constexpr Duration firstBackOff = Duration::seconds(15);
    constexpr Duration longestBackOff = Duration::minutes(10);

} // namespace

bool WorkerHealth::onTaskFailed(WorkerId const& worker, TaskId const& task, TimePoint now, size_t fleetSize)
{
    Record& record = this->records[worker];
    record.failedTasks.insert(task);
    if (record.isQuarantined) {
        record.probeInterval = std::min(record.probeInterval * 2, longestBackOff);
        record.nextProbe = now + record.probeInterval;
        return false;
    }
    size_t const allowed = fleetSize * maxQuarantinedPercent / 100;
    if (record.failedTasks.size() < failuresToQuarantine || this->quarantinedCount >= allowed)
        return false;
    record.isQuarantined = true;
    record.probeInterval = firstBackOff;
    record.nextProbe = now + record.probeInterval;
    this->quarantinedCount++;
    return true;
}

bool WorkerHealth::onTaskFinished(WorkerId const& worker)
{
    auto const found = this->records.find(worker);
    if (found == this->records.end())
        return false;
    bool const readmitted = found->second.isQuarantined;
    this->quarantinedCount -= readmitted ? 1 : 0;
    this->records.erase(found);
    return readmitted;
}

void WorkerHealth::onTaskStarted(WorkerId const& worker, TimePoint now)
{
    auto const found = this->records.find(worker);
    if (found != this->records.end() && found->second.isQuarantined)
        found->second.nextProbe = now + found->second.probeInterval;
}

bool WorkerHealth::canAcceptTasks(WorkerId const& worker, TimePoint now) const
{
    auto const found = this->records.find(worker);
    return found == this->records.end() || !found->second.isQuarantined || now >= found->second.nextProbe;
}

bool WorkerHealth::isQuarantined(WorkerId const& worker) const
{
    auto const found = this->records.find(worker);
    return found != this->records.end() && found->second.isQuarantined;
}

std::vector<WorkerId> WorkerHealth::workersDueForProbe(TimePoint now) const
{
    std::vector<WorkerId> due;
    for (auto const& [worker, record] : this->records) {
        if (record.isQuarantined && now >= record.nextProbe)
            due.push_back(worker);
    }
    return due;
}

void WorkerHealth::clear()
{
    this->records.clear();
    this->quarantinedCount = 0;
}

} // namespace cornelpond
