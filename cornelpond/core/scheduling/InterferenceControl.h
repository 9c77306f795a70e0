#pragma once

// Keeps best-effort tasks from pushing service tasks over their latency targets: learns from each listing of a worker, then
// evicts or throttles best-effort tasks there.
//
// Designed for: best-effort work beside services whose load fluctuates, with figures that lag by half a second.
//
// Example:
//   InterferenceControl control(clock, events, dispatcher, placer, interference, cpuUsage, evictor);
//   control.processListing(worker); // after each listing

#include "cornelpond/core/dispatch/Dispatcher.h"
#include "cornelpond/core/placement/CpuUsageModel.h"
#include "cornelpond/core/placement/InterferenceModel.h"
#include "cornelpond/core/placement/TaskPlacer.h"
#include "cornelpond/core/scheduling/TaskEvictor.h"

namespace cornelpond {

class InterferenceControl {
public:
    /// References must outlive the object.
    InterferenceControl(Clock const& clock, EventSink& events, Dispatcher& dispatch, TaskPlacer& placer, InterferenceModel& interference, CpuUsageModel& cpuUsage, TaskEvictor& evictor);

    /// Updates the interference and CPU usage models from the worker's listing, then evicts or throttles best-effort
    /// tasks there that interfere with its service tasks.
    void processListing(WorkerView& worker);

private:
    void evictInterferingTasks(WorkerView& worker, TimePoint now);
    bool isUnproven(WorkerView const& worker, ImageLoad const& load) const;
    static bool hasStoppingBestEffortTask(WorkerView const& worker);
    void updateWorkerThrottle(WorkerView& worker, TimePoint now);

    Clock const& clock;
    EventSink& events;
    Dispatcher& dispatch;
    TaskPlacer& placer;
    InterferenceModel& interference;
    CpuUsageModel& cpuUsage;
    TaskEvictor& evictor;
};

} // namespace cornelpond
