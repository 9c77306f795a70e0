#pragma once

// Distinguishes bad workers from bad tasks. A worker on which several different tasks failed in a row is put in
// quarantine: it gets one task at a time as a probe, at growing intervals, until one finishes. At most a fixed share
// of the fleet is in quarantine, so that a flood of bad tasks cannot take all workers out of use.
//
// Example:
//   if (health.onTaskFailed(worker, task, clock.now(), fleetSize))
//       log("quarantined");
//   bool const canAcceptTasks = health.canAcceptTasks(worker, clock.now());
//
// Soft state of the leader.

#include "cornelpond/core/base/Duration.h"
#include "cornelpond/core/base/Ids.h"

#include <set>
#include <unordered_map>
#include <vector>

namespace cornelpond {

class WorkerHealth {
public:
    /// Call only for a task that has not failed on another worker before. True when the worker enters quarantine.
    bool onTaskFailed(WorkerId const& worker, TaskId const& task, TimePoint now, size_t fleetSize);

    /// True when the worker leaves quarantine.
    bool onTaskFinished(WorkerId const& worker);

    /// Call when a start on the worker was committed; in quarantine that task is the probe.
    void onTaskStarted(WorkerId const& worker, TimePoint now);

    /// False in quarantine, except when a probe is due.
    bool canAcceptTasks(WorkerId const& worker, TimePoint now) const;

    bool isQuarantined(WorkerId const& worker) const;

    /// Workers in quarantine whose next probe is due.
    std::vector<WorkerId> workersDueForProbe(TimePoint now) const;

    void clear();

private:
    struct Record {
        std::set<TaskId> failedTasks; ///< Since a task last finished there.
        bool isQuarantined = false;
        Duration probeInterval;
        TimePoint nextProbe;
    };

    std::unordered_map<WorkerId, Record> records; ///< Only of workers with failures.
    size_t quarantinedCount = 0;
};

} // namespace cornelpond
