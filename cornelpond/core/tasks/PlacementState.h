#pragma once

// What is free on each worker: capacity less what committed attempts reserve, what attempts that are
// not in force still hold, what backend servers that cornelpond did not start hold, and what is kept
// for an urgent task that waits for evictions there. Also counts tasks by rack for the spread.
//
// Example:
//   fleet.setStray(worker, held);
//   fleet.refresh(worker, clock.now());
//   Placement const placement = fleet.choose(task);
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
    /// The references must outlive the fleet.
    PlacementState(TaskTable const& tasks, WorkerTable const& workers, WorkerHealth const& health)
        : tasks(tasks)
        , workers(workers)
        , health(health)
    {
    }

    void clear();

    /// Brings one worker's free resources up to date after a change.
    void refresh(WorkerId const& worker, TimePoint now);

    /// Takes the start's need off the worker until the proposal's outcome is known.
    void reserveForStart(WorkerId const& worker, Resources const& need);
    /// Call once the proposed starts are committed or refused.
    void clearStartReservations(TimePoint now);

    /// What attempts that are not in force hold on the worker, by its last announcement.
    void setOrphanedResources(WorkerId const& worker, Resources const& held);
    /// What backend servers that cornelpond did not start hold. Refreshes the workers concerned;
    /// false when nothing changed.
    bool setExternalResources(std::unordered_map<WorkerId, Resources> held, TimePoint now);

    /// Keeps room on the worker for a task that waits for evictions there; replaces the task's claim.
    void reserveForPreemption(TaskId const& task, WorkerId const& worker, Resources const& need, TimePoint until);
    /// Returns the worker that was claimed; empty when none was.
    WorkerId releasePreemptionReservation(TaskId const& task);
    bool hasPreemptionReservation(TaskId const& task) const { return this->preemptionReservations.count(task); }
    std::vector<TaskId> expiredPreemptionReservations(TimePoint now) const;

    /// Notes where the task's attempt runs now; empty for nowhere.
    void setLocation(Task const& task, WorkerId const& worker);
    void dropLocation(TaskId const& task);

    /// Avoids workers on which the task failed; spreads an association's tasks over racks.
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
