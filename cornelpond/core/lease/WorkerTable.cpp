#include "cornelpond/core/lease/WorkerTable.h"

#include <utility>

namespace cornelpond {

bool WorkerTable::onAnnouncement(WorkerAnnouncement announcement, TimePoint now)
{
    auto& worker = this->workers[announcement.worker];
    bool const isSameIncarnation = worker.lastAnnouncement.incarnation == announcement.incarnation;
    if (isSameIncarnation && announcement.number <= worker.lastAnnouncement.number)
        return false;
    worker.lastAnnouncement = std::move(announcement);
    worker.leaseEnd = now + this->times.lease + this->times.driftMargin;
    return true;
}

std::vector<WorkerId> WorkerTable::takeExpired(TimePoint now)
{
    std::vector<WorkerId> expired;
    for (auto worker = this->workers.begin(); worker != this->workers.end();) {
        if (now < worker->second.leaseEnd) {
            ++worker;
            continue;
        }
        expired.push_back(worker->first);
        worker = this->workers.erase(worker);
    }
    return expired;
}

LeasedWorker const* WorkerTable::find(WorkerId const& id) const
{
    auto const found = this->workers.find(id);
    return found == this->workers.end() ? nullptr : &found->second;
}

} // namespace cornelpond
