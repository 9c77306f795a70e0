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

/// What placement needs of a worker.
struct WorkerCandidate {
    WorkerId id;
    RackId rack;
    Labels labels;
    Resources capacity;
    Resources free; ///< Capacity less all reservations.
    bool canAcceptTasks = true; ///< False while drained or quarantined.
};

/// A placement decision with its reason, for the log and for `explain`.
struct Placement {
    WorkerId worker; ///< Empty when no worker was chosen.
    bool fitsWhenEmpty = false; ///< Some matching worker could run the task if it were empty.
    std::string reason;
};

/// Cost of placing the task on the candidate; lower is better. Batch tasks are packed tightly, so that room for large
/// tasks remains; latency-critical tasks go where most is free.
double placementCost(TaskSpec const& spec, WorkerCandidate const& candidate);

/// Compares all candidates; WorkerIndex chooses by the same cost from a shortlist. Never chooses a worker whose free
/// resources are below the declared need.
Placement choosePlacement(TaskSpec const& spec, Span<WorkerCandidate const> candidates);

} // namespace cornelpond
