#include "cornelpond/core/placement/RoomSummary.h"

#include <algorithm>

namespace cornelpond {

RoomSummary summarizeRoom(std::map<WorkerId, WorkerView> const& workers, TimePoint now, DispatchTimes const& times)
{
    RoomSummary room;
    for (auto const& [id, worker] : workers) {
        if (!worker.canTakeTasks(now, times))
            continue;
        room.workerCount++;
        room.capacityMilliCores += worker.profile.capacity.milliCores;
        room.reservedMilliCores += worker.reserved.milliCores;
        room.serviceMilliCores += worker.serviceMilliCores;
        int64_t const free = std::max<int64_t>(worker.freeResources().milliCores, 0);
        int64_t const besideServices = std::max<int64_t>(worker.profile.capacity.milliCores - worker.serviceMilliCores, 0);
        for (size_t i = 0; i < summarizedNeedsCores.size(); i++) {
            constexpr int64_t milliCoresPerCore = 1000;
            room.freePlaces.at(i) += free / (summarizedNeedsCores.at(i) * milliCoresPerCore);
            room.placesBesideServices.at(i) += besideServices / (summarizedNeedsCores.at(i) * milliCoresPerCore);
        }
    }
    return room;
}

} // namespace cornelpond
