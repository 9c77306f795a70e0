#include "cornelpond/core/placement/TaskPlacer.h"

#include <algorithm>

namespace cornelpond {

TaskPlacer::TaskPlacer(std::map<WorkerId, WorkerView>& workers, DispatchTimes const& times, PlacementLimits limits)
    : workers(workers)
    , times(times)
    , limits(limits)
{
}

WorkerView* TaskPlacer::choose(PlacementRequest const& request, TimePoint now) const
{
    WorkerView* best = nullptr;
    double bestScore = 0;
    for (auto& [id, worker] : this->workers) {
        if (!this->fits(worker, request, now))
            continue;
        double const score = this->score(worker, request);
        if (best && score <= bestScore)
            continue;
        best = &worker;
        bestScore = score;
    }
    return best;
}

bool TaskPlacer::couldEverFit(PlacementRequest const& request) const
{
    return std::any_of(this->workers.begin(), this->workers.end(), [&](auto const& entry) {
        WorkerView const& worker = entry.second;
        return isAllowed(worker, request) && !worker.profile.isDraining && request.stage->need.fitsIn(worker.profile.capacity);
    });
}

bool TaskPlacer::isAllowed(WorkerView const& worker, PlacementRequest const& request)
{
    if (worker.profile.service != request.service)
        return false;
    std::string const& label = request.stage->requiredLabel;
    auto const& labels = worker.profile.labels;
    return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool TaskPlacer::fits(WorkerView const& worker, PlacementRequest const& request, TimePoint now) const
{
    StageSpec const& stage = *request.stage;
    if (!isAllowed(worker, request) || !worker.takesTasks(now, this->times) || worker.profile.id == request.avoid)
        return false;
    if (request.permitted && !request.permitted->count(worker.profile.id))
        return false;
    if (!request.onlyRack.empty() && worker.profile.rack != request.onlyRack)
        return false;
    if (!request.mayLeaveDataRack && worker.profile.rack != stage.dataRack)
        return false;
    Resources need = stage.need;
    if (stage.isBestEffort)
        need.milliCores = 0;
    if (!need.fitsIn(worker.freeRoom()))
        return false;
    if (stage.maxPerWorker && worker.countOfStage(request.task) >= stage.maxPerWorker)
        return false;
    if (!stage.isBestEffort)
        return true;
    if (worker.throttle < 100 || now < worker.harmedUntil)
        return false;
    if (worker.serviceMilliCores && now - worker.lastBestEffortPlaced < this->limits.bestEffortPause)
        return false;
    return this->unusedMilliCores(worker) >= static_cast<double>(stage.need.milliCores) * this->limits.bestEffortShare;
}

double TaskPlacer::unusedMilliCores(WorkerView const& worker) const
{
    auto const service = static_cast<double>(worker.serviceMilliCores);
    auto const others = static_cast<double>(worker.reserved.milliCores) - service;
    return static_cast<double>(worker.profile.capacity.milliCores - worker.bestEffortMilliCores) - others - service * this->limits.serviceUse;
}

/// The higher the better: on the data's rack first, then where most is left.
double TaskPlacer::score(WorkerView const& worker, PlacementRequest const& request) const
{
    constexpr double rackBonus = 10;
    auto const capacity = static_cast<double>(std::max<int64_t>(worker.profile.capacity.milliCores, 1));
    double const left = request.stage->isBestEffort ? this->unusedMilliCores(worker) : static_cast<double>(worker.freeRoom().milliCores);
    double score = left / capacity;
    if (!request.stage->dataRack.empty() && worker.profile.rack == request.stage->dataRack)
        score += rackBonus;
    if (request.stage->isBestEffort)
        score -= worker.harmRatio;
    return score;
}

} // namespace cornelpond
