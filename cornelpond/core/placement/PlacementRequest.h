#pragma once

// The input of one choice of a worker.
//
// Example:
//   PlacementRequest request;
//   request.task = { job, occurrence, stage, 0 };
//   request.stage = &spec.stages[stage];
//   WorkerView* worker = placer.choose(request, clock.now());

#include "cornelpond/core/dispatch/ImageLoads.h"
#include "cornelpond/core/jobs/JobSpec.h"

#include <set>

namespace cornelpond {

struct PlacementRequest {
    TaskRef task;
    StageSpec const* stage = nullptr;
    ImageId image; ///< Of the stage.
    ServiceId service;
    bool canLeaveDataRack = true; ///< Waiting for the data's rack costs more than running elsewhere.
    bool isRestart = false; ///< The task has run before.
    bool canUseReserve = false; ///< With isRestart: a service task may take the room that is kept for short tasks.
    bool canStartThrottled = false; ///< A best-effort task may start at low speed beside a service with which it interferes.
    bool canOvercommitCores = false; ///< A best-effort task may share the cores that other such tasks are expected to use.
    RackId requiredRack; ///< Empty: any.
    std::set<WorkerId> const* permittedWorkers = nullptr; ///< Null: all.
    WorkerId excludedWorker; ///< Empty: none.

    /// True when both ask the same of a worker, so that one search serves both.
    bool isLike(PlacementRequest const& other) const
    {
        return this->stage == other.stage && this->task.occurrence == other.task.occurrence && this->isRestart == other.isRestart && this->canUseReserve == other.canUseReserve
            && this->canStartThrottled == other.canStartThrottled && this->canOvercommitCores == other.canOvercommitCores && this->canLeaveDataRack == other.canLeaveDataRack
            && this->requiredRack == other.requiredRack && this->permittedWorkers == other.permittedWorkers && this->excludedWorker == other.excludedWorker && this->service == other.service;
    }
};

} // namespace cornelpond
