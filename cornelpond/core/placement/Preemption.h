#pragma once

// Chooses running batch attempts to evict so that an urgent task gets room at low cost.
//
// Example:
//   auto const plan = choosePreemption(spec.resources, candidates);
//   if (!plan.victims.empty())
//       evict(plan.victims);

#include "cornelpond/core/base/Ids.h"
#include "cornelpond/core/base/Resources.h"
#include "cornelpond/core/base/Span.h"

#include <vector>

namespace cornelpond {

/// A running batch attempt that may be evicted.
struct PreemptionVictim {
    TaskId task;
    AttemptNumber attempt;
    Resources freedResources;
    double cost = 0; ///< From lost progress and earlier evictions, in seconds of work.
};

/// A worker with its free resources and the attempts that may be evicted there.
struct PreemptionCandidate {
    WorkerId worker;
    Resources free;
    std::vector<PreemptionVictim> victims;
};

/// The cheapest plan found; no victims when there is none.
struct PreemptionPlan {
    WorkerId worker;
    std::vector<PreemptionVictim> victims;
    double cost = 0;
};

/// Takes the worker whose victims cost least in sum; on each worker, victims are chosen greedily by cost. Includes no
/// victim whose resources are not needed for `need` to fit.
PreemptionPlan choosePreemption(Resources const& need, Span<PreemptionCandidate const> candidates);

} // namespace cornelpond
