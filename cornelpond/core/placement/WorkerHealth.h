#pragma once

// Tells bad workers from bad tasks. A worker on which several different tasks failed in a row is put
// in quarantine: it gets one task at a time as a probe, at growing intervals, until one finishes. At
// most a set share of the fleet is in quarantine, so that a flood of bad tasks never empties it.
//
// Example:
//   if (health.onFailed(worker, task, clock.now(), fleetSize))
//       log("quarantined");
//   bool const takesNew = health.takesNew(worker, clock.now());
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
    /// Call for a task that did not fail on another worker before. True when the worker enters quarantine.
    bool onTaskFailed(WorkerId const& worker, TaskId const& task, TimePoint now, size_t fleetSize);

    /// True when the worker leaves quarantine.
    bool onTaskFinished(WorkerId const& worker);

    /// A start was committed there; in quarantine that is the probe.
    void onTaskStarted(WorkerId const& worker, TimePoint now);

    /// False in quarantine, except when a probe is due.
    bool canAcceptTasks(WorkerId const& worker, TimePoint now) const;

    bool isQuarantined(WorkerId const& worker) const;

    /// Workers in quarantine whose next probe is due.
    std::vector<WorkerId> workersDueForProbe(TimePoint now) const;

    void clear();

private:
    struct Record {
        std::set<TaskId> failedTasks; ///< Different tasks since the last one that finished.
        bool isQuarantined = false;
        Duration probeInterval;
        TimePoint nextProbe;
    };

    std::unordered_map<WorkerId, Record> records; ///< Only of workers with failures.
    size_t quarantinedCount = 0;
};

} // namespace cornelpond
