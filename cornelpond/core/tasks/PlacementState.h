#pragma once

// The free resources of each worker. They are its capacity less the reservations of committed attempts
// and proposed starts, the resources of orphaned attempts and of backend servers that cornelpond did not
// start, and the reservations of latency-critical tasks that wait for evictions there. Also counts the
// tasks on each rack, so that related tasks are spread over racks.
//
// An attempt is orphaned when its worker runs it and the committed state does not name it as the current
// attempt of a task on that worker.
//
// Example:
//   placementState.setOrphanedResources(worker, resources);
//   placementState.refresh(worker, clock.now());
//   Placement const placement = placementState.choose(task);
//
// Soft state of the leader; loop thread only.

#include "cornelpond/core/lease/WorkerTable.h"
#include "cornelpond/core/placement/WorkerHealth.h"
#include "cornelpond/core/placement/WorkerIndex.h"
#include "cornelpond/core/tasks/TaskTable.h"

#include <map>
#include <string>
#include <unordered_map>

namespace cornelpond {

class PlacementState {
public:
    /// The references must outlive this object.
    PlacementState(TaskTable const& tasks, WorkerTable const& workers, WorkerHealth const& health)
        : tasks(tasks)
        , workers(workers)
        , health(health)
    {
    }

    void clear();

    /// Recomputes one worker's free resources; removes a worker that holds no lease.
    void refresh(WorkerId const& worker, TimePoint now);

    /// Reserves resources for a proposed start until clearStartReservations.
    void reserveForStart(WorkerId const& worker, Resources const& need);
    /// Releases the reservations of all proposed starts. Call once these are committed or refused.
    void clearStartReservations(TimePoint now);

    /// Sets what orphaned attempts use on the worker, by its last announcement. Takes effect with the
    /// next refresh.
    void setOrphanedResources(WorkerId const& worker, Resources const& resources);
    /// Sets what backend servers that cornelpond did not start use on each worker, and refreshes the
    /// workers whose amount changed. Returns false when nothing changed.
    bool setExternalResources(std::unordered_map<WorkerId, Resources> resourcesByWorker, TimePoint now);

    /// Reserves resources on the worker for a task that waits for evictions there. Replaces an earlier
    /// reservation of the task. Takes effect with the worker's next refresh.
    void reserveForPreemption(TaskId const& task, WorkerId const& worker, Resources const& need, TimePoint until);
    /// Releases the task's reservation, with effect from the worker's next refresh. Returns that worker;
    /// empty when there was no reservation.
    WorkerId releasePreemptionReservation(TaskId const& task);
    bool hasPreemptionReservation(TaskId const& task) const { return this->preemptionReservations.count(task); }
    std::vector<TaskId> expiredPreemptionReservations(TimePoint now) const;

    /// Records the worker of the task's attempt, for the count of tasks on each rack; empty for none.
    void setLocation(Task const& task, WorkerId const& worker);
    void dropLocation(TaskId const& task);

    /// Chooses a worker. Avoids those on which the task failed and spreads the tasks of one association
    /// and service over racks.
    Placement choose(Task const& task);

    WorkerIndex& index() { return this->workerIndex; }
    Resources const& totalCapacity() const { return this->workerIndex.totalCapacity(); }

private:
    using SpreadKey = std::pair<std::string, RackId>;
    struct PreemptionReservation {
        WorkerId worker;
        Resources need;
        TimePoint until;
    };
    struct Location {
        std::string spreadGroup;
        RackId rack;
    };

    Resources preemptionReservedOn(WorkerId const& worker) const;

    TaskTable const& tasks;
    WorkerTable const& workers;
    WorkerHealth const& health;
    WorkerIndex workerIndex;
    std::unordered_map<WorkerId, Resources> orphanedResources;
    std::unordered_map<WorkerId, Resources> externalResources;
    std::unordered_map<WorkerId, Resources> proposedStartResources;
    std::unordered_map<TaskId, PreemptionReservation> preemptionReservations;
    std::unordered_map<TaskId, Location> locations;
    std::map<SpreadKey, int64_t> tasksOnRack;
    std::unordered_map<std::string, int64_t> tasksInSpreadGroup;
};

} // namespace cornelpond
