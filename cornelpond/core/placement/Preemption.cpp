#include "cornelpond/core/placement/Preemption.h"

#include <algorithm>

namespace cornelpond {

namespace {

    /// Takes victims in rising order of cost until the need fits, then drops those that are not needed. Empty when the
    /// need cannot fit.
    std::vector<PreemptionVictim> cheapestVictims(Resources const& need, PreemptionCandidate const& candidate)
    {
        std::vector<PreemptionVictim> byCost = candidate.victims;
        std::sort(byCost.begin(), byCost.end(), [](auto const& left, auto const& right) { return left.cost != right.cost ? left.cost < right.cost : left.task < right.task; });
        std::vector<PreemptionVictim> chosen;
        Resources free = candidate.free;
        for (auto const& victim : byCost) {
            if (need.fitsIn(free))
                break;
            free += victim.freedResources;
            chosen.push_back(victim);
        }
        if (!need.fitsIn(free))
            return {};
        for (auto victim = chosen.end(); victim != chosen.begin();) {
            --victim;
            if (!need.fitsIn(free - victim->freedResources))
                continue;
            free -= victim->freedResources;
            victim = chosen.erase(victim);
        }
        return chosen;
    }

} // namespace

PreemptionPlan choosePreemption(Resources const& need, Span<PreemptionCandidate const> candidates)
{
    PreemptionPlan best;
    for (auto const& candidate : candidates) {
        PreemptionPlan plan { candidate.worker, cheapestVictims(need, candidate), 0 };
        for (auto const& victim : plan.victims)
            plan.cost += victim.cost;
        if (plan.victims.empty())
            continue;
        if (best.victims.empty() || plan.cost < best.cost)
            best = std::move(plan);
    }
    return best;
}

} // namespace cornelpond
