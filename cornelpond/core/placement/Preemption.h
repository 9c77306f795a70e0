#pragma once

// Which running batch attempts to stop so that an urgent task gets room at the least cost.
//
// Example:
//   auto const plan = choosePreemption(spec.resources, hosts);
//   if (!plan.victims.empty())
//       evict(plan.victims);

#include "cornelpond/core/base/Ids.h"
#include "cornelpond/core/base/Resources.h"
#include "cornelpond/core/base/Span.h"

#include <vector>

namespace cornelpond {

/// A running batch attempt that may be stopped.
struct PreemptionVictim {
    TaskId task;
    AttemptNumber attempt;
    Resources freedResources;
    double cost = 0; ///< Lost progress and evictions so far, in seconds of work.
};

/// A worker with what is free there and what could be stopped.
struct PreemptionCandidate {
    WorkerId worker;
    Resources free;
    std::vector<PreemptionVictim> victims;
};

/// The cheapest way found; without victims when there is none.
struct PreemptionPlan {
    WorkerId worker;
    std::vector<PreemptionVictim> victims;
    double cost = 0;
};

/// Stops no attempt whose resources are not needed for the room.
PreemptionPlan choosePreemption(Resources const& need, Span<PreemptionCandidate const> hosts);

} // namespace cornelpond
