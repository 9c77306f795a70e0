#pragma once

// The room that a fleet has left, by the size of the tasks that it could hold. For logs and metrics.
//
// Example:
//   RoomSummary const room = summarizeRoom(dispatcher.workers(), clock.now(), times);
//   event.with("placesFor4Cores", room.placesBesideServices[2]);

#include "cornelpond/core/dispatch/WorkerView.h"

#include <array>

namespace cornelpond {

/// Needs of the tasks that a summary counts places for, in cores.
constexpr std::array<int64_t, 4> summarizedNeedsCores { 1, 2, 4, 8 };

/// Over the workers that take tasks.
struct RoomSummary {
    size_t workerCount = 0;
    int64_t capacityMilliCores = 0;
    int64_t reservedMilliCores = 0; ///< By all tasks.
    int64_t serviceMilliCores = 0; ///< By service tasks.
    std::array<int64_t, summarizedNeedsCores.size()> freePlaces {}; ///< How many tasks of each summarized need fit now.
    /// How many would fit if only service tasks ran. Short tasks give their room back soon, service tasks do not.
    std::array<int64_t, summarizedNeedsCores.size()> placesBesideServices {};
};

RoomSummary summarizeRoom(std::map<WorkerId, WorkerView> const& workers, TimePoint now, DispatchTimes const& times);

} // namespace cornelpond
