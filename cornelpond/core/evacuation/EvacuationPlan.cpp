#include "cornelpond/core/evacuation/EvacuationPlan.h"

#include <algorithm>

namespace cornelpond {

/// How many tasks of the candidate's stage may become unavailable in addition.
size_t EvacuationPlan::slackOf(EvacuationCandidate const& candidate) const
{
    size_t const limit = candidate.maxUnavailable ? candidate.maxUnavailable : std::max<size_t>(candidate.stageTasks / this->limits.tasksPerUnavailable, 1);
    return limit - std::min(limit, candidate.stageUnavailable);
}

std::vector<size_t> EvacuationPlan::choose(Span<EvacuationCandidate const> candidates, EvacuationMoves inProgress, std::function<bool(size_t)> const& hasRoom) const
{
    std::vector<size_t> services;
    std::vector<size_t> bestEffort;
    for (size_t i = 0; i < candidates.size(); i++) {
        EvacuationCandidate const& candidate = candidates[i];
        if (candidate.isGang)
            continue;
        if (candidate.isService)
            services.push_back(i);
        else if (candidate.isBestEffort && candidate.savesCheckpoints && candidate.remaining >= this->limits.minRemaining)
            bestEffort.push_back(i);
    }
    std::stable_sort(services.begin(), services.end(), [&](size_t left, size_t right) { return this->slackOf(candidates[left]) > this->slackOf(candidates[right]); });
    std::stable_sort(bestEffort.begin(), bestEffort.end(), [&](size_t left, size_t right) { return candidates[left].remaining > candidates[right].remaining; });
    std::vector<size_t> chosen;
    std::map<size_t, size_t> takenByStage;
    for (size_t const index : services) {
        if (inProgress.service >= this->limits.maxServiceMoves)
            break;
        size_t& taken = takenByStage[candidates[index].stage];
        if (taken >= this->slackOf(candidates[index]) || !hasRoom(index))
            continue;
        taken++;
        inProgress.service++;
        chosen.push_back(index);
    }
    for (size_t const index : bestEffort) {
        if (inProgress.bestEffort >= this->limits.maxBestEffortMoves)
            break;
        if (!hasRoom(index))
            continue;
        inProgress.bestEffort++;
        chosen.push_back(index);
    }
    return chosen;
}

} // namespace cornelpond
