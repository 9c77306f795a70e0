#pragma once

// Chooses a worker for one task.
//
// Example:
//   Placement const placement = choosePlacement(spec, candidates);
//   if (!placement.worker.empty())
//       start(placement.worker);
//   else
//       log(placement.reason);

#include "cornelpond/core/base/Ids.h"
#include "cornelpond/core/base/Resources.h"
#include "cornelpond/core/base/Span.h"
#include "cornelpond/core/selector/Selector.h"
#include "cornelpond/core/tasks/Task.h"

#include <string>

namespace cornelpond {

/// A worker as placement sees it.
struct WorkerCandidate {
    WorkerId id;
    RackId rack;
    Labels labels;
    Resources capacity;
    Resources free; ///< Capacity less all reservations.
    bool canAcceptTasks = true; ///< False while drained or quarantined.
};

/// A decision with its reason, for the log and for `explain`.
struct Placement {
    WorkerId worker; ///< Empty when no worker was chosen.
    bool fitsWhenEmpty = false; ///< Some worker could run it if it were empty.
    std::string reason;
};

/// What it costs to put the task there; lower is better. Batch work packs tightly, so that room for
/// large tasks stays; latency-critical tasks go where most is free.
double placementCost(TaskSpec const& spec, WorkerCandidate const& candidate);

/// Looks at every candidate; WorkerIndex chooses by the same cost without that. Never chooses a worker whose free resources are below the declared need.
Placement choosePlacement(TaskSpec const& spec, Span<WorkerCandidate const> candidates);

} // namespace cornelpond
