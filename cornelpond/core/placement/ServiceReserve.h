#pragma once

// The room on a service's workers that is kept free of service tasks, so that short tasks find workers.
//
// Designed for: service tasks that run for long and ask for nearly the whole fleet, beside short tasks whose needs
// differ. Without the reserve, only gaps would be left that are smaller than a service task. Tasks that never ran leave
// more than those that start again, so that the tasks of lost workers find room without using up the reserve.
//
// Example:
//   ServiceReserve reserve(dispatcher.workers(), times, shares);
//   reserve.beginPass(clock.now());
//   if (reserve.leavesEnough(worker, request))
//       placeThere();

#include "cornelpond/core/dispatch/WorkerView.h"
#include "cornelpond/core/placement/PlacementRequest.h"

#include <map>

namespace cornelpond {

/// Shares of the cores of a service's workers that are left free of service tasks.
struct ReserveShares {
    double byFirstStarts = 0.12; ///< By tasks that never ran. The part above `byRestarts` is room for the tasks of lost workers.
    double byRestarts = 0.06;
};

class ServiceReserve {
public:
    /// References must outlive the object.
    ServiceReserve(std::map<WorkerId, WorkerView> const& workers, DispatchTimes const& times, ReserveShares shares);

    /// Sets the cores that a gap must have to count as room for short tasks. Until then, only workers without service
    /// tasks count.
    void setShortTaskNeed(ServiceId const& service, int64_t milliCores);

    /// Call at the start of each pass: clears what was computed for the last one.
    void beginPass(TimePoint now);

    /// Call after a service task was placed.
    void onServicePlaced(ServiceId const& service) { this->rooms.erase(service); }

    /// True when placing the service task on the worker leaves enough room for short tasks. A task that has run before
    /// may also take gaps that are too small for them, or cores that they have left idle.
    bool leavesEnough(WorkerView const& worker, PlacementRequest const& request);

private:
    /// Room for short tasks on the workers of a service.
    struct Room {
        int64_t allMilliCores = 0; ///< Capacity of the workers.
        int64_t gapMilliCores = 0; ///< Gaps that count.
        int64_t emptyMilliCores = 0; ///< Workers without service tasks.
        bool isTooSmallFleet = false; ///< The reserve would be less than half a worker: none is kept.
    };

    Room const& roomOf(ServiceId const& service);
    Room computeRoom(ServiceId const& service) const;
    int64_t roomOn(WorkerView const& worker, int64_t serviceMilliCores) const;

    std::map<WorkerId, WorkerView> const& workers;
    DispatchTimes const& times;
    ReserveShares shares;
    TimePoint now;
    std::map<ServiceId, int64_t> shortTaskNeeds;
    std::map<ServiceId, Room> rooms; ///< Computed in this pass.
};

} // namespace cornelpond
