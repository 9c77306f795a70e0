#include "cornelpond/core/placement/Placer.h"

namespace cornelpond {

namespace {

    /// Sum of the shares of the worker's cores and memory that remain free after the task; lower packs tighter.
    double leftoverShare(WorkerCandidate const& candidate, Resources const& need)
    {
        Resources const left = candidate.free - need;
        double const cores = candidate.capacity.milliCores ? static_cast<double>(left.milliCores) / static_cast<double>(candidate.capacity.milliCores) : 0;
        double const memory = candidate.capacity.memoryMiB ? static_cast<double>(left.memoryMiB) / static_cast<double>(candidate.capacity.memoryMiB) : 0;
        return cores + memory;
    }

    std::string waitReason(size_t matching, size_t fitting)
    {
        if (!matching)
            return "no worker matches the selector";
        if (!fitting)
            return "larger than any matching worker";
        return "no matching worker has room now";
    }

} // namespace

double placementCost(TaskSpec const& spec, WorkerCandidate const& candidate)
{
    double const leftover = leftoverShare(candidate, spec.resources);
    return spec.taskClass == TaskClass::Batch ? leftover : -leftover;
}

Placement choosePlacement(TaskSpec const& spec, Span<WorkerCandidate const> candidates)
{
    Placement placement;
    size_t matching = 0;
    size_t fitting = 0;
    double lowestCost = 0;
    for (auto const& candidate : candidates) {
        if (!spec.workers.matches(candidate.labels))
            continue;
        matching++;
        if (!spec.resources.fitsIn(candidate.capacity))
            continue;
        fitting++;
        if (!candidate.canAcceptTasks || !spec.resources.fitsIn(candidate.free))
            continue;
        double const cost = placementCost(spec, candidate);
        bool const isBetter = placement.worker.empty() || cost < lowestCost || (cost == lowestCost && candidate.id < placement.worker);
        if (!isBetter)
            continue;
        placement.worker = candidate.id;
        lowestCost = cost;
    }
    placement.fitsWhenEmpty = fitting > 0;
    placement.reason = placement.worker.empty() ? waitReason(matching, fitting) : "tightest fit of " + std::to_string(fitting) + " fitting workers";
    return placement;
}

} // namespace cornelpond
