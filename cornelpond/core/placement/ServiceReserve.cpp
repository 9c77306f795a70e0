#include "cornelpond/core/placement/ServiceReserve.h"

#include <algorithm>

namespace cornelpond {

ServiceReserve::ServiceReserve(std::map<WorkerId, WorkerView> const& workers, DispatchTimes const& times, ReserveShares shares)
    : workers(workers)
    , times(times)
    , shares(shares)
{
}

void ServiceReserve::setShortTaskNeed(ServiceId const& service, int64_t milliCores)
{
    this->shortTaskNeeds[service] = milliCores;
}

void ServiceReserve::beginPass(TimePoint passTime)
{
    this->now = passTime;
    this->rooms.clear();
}

bool ServiceReserve::leavesEnough(WorkerView const& worker, PlacementRequest const& request)
{
    int64_t const need = request.stage->need.milliCores;
    if (request.isRestart && (request.canUseReserve || need <= worker.idleMilliCores()))
        return true;
    Room const& room = this->roomOf(request.service);
    if (room.isTooSmallFleet)
        return true;
    double const share = request.isRestart ? this->shares.byRestarts : this->shares.byFirstStarts;
    auto const reserve = static_cast<int64_t>(static_cast<double>(room.allMilliCores) * share);
    if (!worker.serviceMilliCores && room.emptyMilliCores - worker.profile.capacity.milliCores < reserve)
        return false;
    int64_t const taken = this->roomOn(worker, worker.serviceMilliCores) - this->roomOn(worker, worker.serviceMilliCores + need);
    // Below the reserve, first starts take no gap at all, so that gaps grow until they count.
    return room.gapMilliCores - taken >= reserve || (request.isRestart && !taken);
}

ServiceReserve::Room const& ServiceReserve::roomOf(ServiceId const& service)
{
    auto const known = this->rooms.find(service);
    return known == this->rooms.end() ? this->rooms.emplace(service, this->computeRoom(service)).first->second : known->second;
}

ServiceReserve::Room ServiceReserve::computeRoom(ServiceId const& service) const
{
    constexpr double minReservedWorkers = 0.5; // In a small fleet, a whole worker is too large a reserve.
    double workerCount = 0;
    Room room;
    for (auto const& [id, worker] : this->workers) {
        if (worker.profile.service != service || !worker.canTakeTasks(this->now, this->times))
            continue;
        workerCount++;
        room.allMilliCores += worker.profile.capacity.milliCores;
        room.gapMilliCores += this->roomOn(worker, worker.serviceMilliCores);
        room.emptyMilliCores += worker.serviceMilliCores ? 0 : worker.profile.capacity.milliCores;
    }
    room.isTooSmallFleet = workerCount * this->shares.byRestarts < minReservedWorkers;
    return room;
}

/// Room for short tasks on a worker whose service tasks reserve the given cores.
int64_t ServiceReserve::roomOn(WorkerView const& worker, int64_t serviceMilliCores) const
{
    int64_t const capacity = worker.profile.capacity.milliCores;
    auto const known = this->shortTaskNeeds.find(worker.profile.service);
    int64_t const need = known == this->shortTaskNeeds.end() ? capacity : std::min(known->second, capacity);
    int64_t const gap = capacity - serviceMilliCores;
    return gap >= need ? gap : 0;
}

} // namespace cornelpond
