#include "cornelpond/core/placement/WorkerHealth.h"

#include <algorithm>

namespace cornelpond {

namespace {

    constexpr size_t failuresToQuarantine = 3;
    constexpr size_t maxQuarantinedPercent = 20;
    constexpr Duration firstBackOff = Duration::seconds(15);
    constexpr Duration longestBackOff = Duration::minutes(10);

} // namespace

bool WorkerHealth::onFailed(WorkerId const& worker, TaskId const& task, TimePoint now, size_t fleetSize)
{
    Record& record = this->records[worker];
    record.failed.insert(task);
    if (record.quarantined) {
        record.backOff = std::min(record.backOff * 2, longestBackOff);
        record.nextProbe = now + record.backOff;
        return false;
    }
    size_t const allowed = fleetSize * maxQuarantinedPercent / 100;
    if (record.failed.size() < failuresToQuarantine || this->quarantinedCount >= allowed)
        return false;
    record.quarantined = true;
    record.backOff = firstBackOff;
    record.nextProbe = now + record.backOff;
    this->quarantinedCount++;
    return true;
}

bool WorkerHealth::onFinished(WorkerId const& worker)
{
    auto const found = this->records.find(worker);
    if (found == this->records.end())
        return false;
    bool const readmitted = found->second.quarantined;
    this->quarantinedCount -= readmitted ? 1 : 0;
    this->records.erase(found);
    return readmitted;
}

void WorkerHealth::onStarted(WorkerId const& worker, TimePoint now)
{
    auto const found = this->records.find(worker);
    if (found != this->records.end() && found->second.quarantined)
        found->second.nextProbe = now + found->second.backOff;
}

bool WorkerHealth::takesNew(WorkerId const& worker, TimePoint now) const
{
    auto const found = this->records.find(worker);
    return found == this->records.end() || !found->second.quarantined || now >= found->second.nextProbe;
}

bool WorkerHealth::isQuarantined(WorkerId const& worker) const
{
    auto const found = this->records.find(worker);
    return found != this->records.end() && found->second.quarantined;
}

std::vector<WorkerId> WorkerHealth::probesDue(TimePoint now) const
{
    std::vector<WorkerId> due;
    for (auto const& [worker, record] : this->records) {
        if (record.quarantined && now >= record.nextProbe)
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
