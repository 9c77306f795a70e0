#include "cornelpond/core/placement/TaskPlacer.h"

#include <algorithm>

namespace cornelpond {

TaskPlacer::TaskPlacer(std::map<WorkerId, WorkerView>& workers, InterferenceModel const& interference, CpuUsageModel const& cpuUsage, DispatchTimes const& times, PlacementParameters parameters)
    : workers(workers)
    , interference(interference)
    , cpuUsage(cpuUsage)
    , times(times)
    , parameters(parameters)
    , reserve(workers, times, parameters.reserveShares)
{
}

namespace {

    /// True when only free resources decide whether a worker can take the request, so that its failure holds for like
    /// requests.
    bool isUnconstrained(PlacementRequest const& request)
    {
        StageSpec const& stage = *request.stage;
        bool const hasConstraints = !stage.requiredLabel.empty() || !stage.dataRack.empty() || stage.maxTasksPerWorker || request.permittedWorkers;
        return !hasConstraints && !request.canStartThrottled && request.requiredRack.empty();
    }

} // namespace

void TaskPlacer::beginPass(TimePoint now)
{
    this->reserve.beginPass(now);
    this->failedRequests.clear();
    this->heldWorkers.clear();
    this->holdCandidates.clear();
    this->reservedShares.clear();
    this->harmlessImageShares.clear();
    for (auto const& [id, worker] : this->workers) {
        for (auto const& service : worker.serviceImages) {
            auto const [known, isNew] = this->harmlessImageShares.try_emplace(service.image);
            if (isNew)
                known->second = this->interference.harmlessImageShare(service.image, now);
        }
    }
}

bool TaskPlacer::hasFailedInPass(PlacementRequest const& request) const
{
    StageSpec const& stage = *request.stage;
    return std::any_of(this->failedRequests.begin(), this->failedRequests.end(), [&](FailedRequest const& failed) {
        return failed.image == request.image && failed.isBestEffort == stage.isBestEffort && failed.isService == stage.isService && failed.isRestart == request.isRestart
            && failed.canUseReserve == request.canUseReserve && failed.service == request.service && failed.need.fitsIn(stage.need);
    });
}

WorkerView* TaskPlacer::choose(PlacementRequest const& request, TimePoint now)
{
    this->placementCounters.choices++;
    bool const isUnconstrainedRequest = isUnconstrained(request);
    if (isUnconstrainedRequest && this->hasFailedInPass(request))
        return nullptr;
    WorkerView* worker = this->findBestWorker(request, now);
    if (!worker && isUnconstrainedRequest)
        this->failedRequests.push_back({ request.image, request.service, request.stage->isBestEffort, request.stage->isService, request.isRestart, request.canUseReserve, request.stage->need });
    if (worker && request.stage->isService)
        this->reserve.onServicePlaced(request.service);
    return worker;
}

WorkerView* TaskPlacer::findBestWorker(PlacementRequest const& request, TimePoint now)
{
    WorkerView* best = nullptr;
    double bestScore = 0;
    TrialCounts const trialWorkers = request.stage->isBestEffort && this->isOnTrialForAnyService(request.image) ? this->trialCounts(request.image) : TrialCounts();
    for (auto& [id, worker] : this->workers) {
        this->placementCounters.workersExamined++;
        if (!this->fits(worker, request, now) || !this->canShareWorker(worker, request, trialWorkers, now))
            continue;
        if (request.stage->isService && !this->reserve.leavesEnough(worker, request))
            continue;
        double const score = this->score(worker, request);
        if (best && score <= bestScore)
            continue;
        best = &worker;
        bestScore = score;
    }
    return best;
}

double TaskPlacer::reservedShare(ServiceId const& service)
{
    auto const known = this->reservedShares.find(service);
    if (known != this->reservedShares.end())
        return known->second;
    double all = 0;
    double reserved = 0;
    for (auto const& [id, worker] : this->workers) {
        if (worker.profile.service != service)
            continue;
        all += static_cast<double>(worker.profile.capacity.milliCores);
        reserved += static_cast<double>(worker.reserved.milliCores);
    }
    return this->reservedShares[service] = all > 0 ? reserved / all : 1;
}

bool TaskPlacer::isEligible(WorkerView const& worker, PlacementRequest const& request)
{
    if (worker.profile.service != request.service)
        return false;
    std::string const& label = request.stage->requiredLabel;
    auto const& labels = worker.profile.labels;
    return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
}

/// True when nothing but the free resources stands against the worker.
bool TaskPlacer::isAllowed(WorkerView const& worker, PlacementRequest const& request, TimePoint now) const
{
    StageSpec const& stage = *request.stage;
    if (!isEligible(worker, request) || !worker.canTakeTasks(now, this->times))
        return false;
    if (request.permittedWorkers && !request.permittedWorkers->count(worker.profile.id))
        return false;
    if (!request.requiredRack.empty() && worker.profile.rack != request.requiredRack)
        return false;
    if (!request.canLeaveDataRack && worker.profile.rack != stage.dataRack)
        return false;
    return !stage.maxTasksPerWorker || worker.countTasksOfStage(request.task) < stage.maxTasksPerWorker;
}

bool TaskPlacer::fits(WorkerView const& worker, PlacementRequest const& request, TimePoint now) const
{
    Resources need = request.stage->need;
    if (request.stage->isBestEffort)
        need.milliCores = 0;
    if (!need.fitsIn(worker.freeResources()))
        return false;
    return !(request.stage->isShort() && this->heldWorkers.count(&worker)) && this->isAllowed(worker, request, now);
}

void TaskPlacer::holdWorkerFor(PlacementRequest const& request, TimePoint now)
{
    if (!request.stage->isShort())
        return;
    for (auto const* worker : this->holdCandidatesOf(request.service)) {
        Resources besideLongTasks = worker->freeResources();
        besideLongTasks += worker->shortTaskReserved;
        if (this->heldWorkers.count(worker) || !request.stage->need.fitsIn(besideLongTasks) || !this->isAllowed(*worker, request, now))
            continue;
        this->heldWorkers.insert(worker);
        return;
    }
}

std::vector<WorkerView const*> const& TaskPlacer::holdCandidatesOf(ServiceId const& service)
{
    auto const [known, isNew] = this->holdCandidates.try_emplace(service);
    std::vector<WorkerView const*>& candidates = known->second;
    if (!isNew)
        return candidates;
    for (auto const& [id, worker] : this->workers) {
        if (worker.profile.service == service && (worker.shortTaskReserved.milliCores || worker.freeResources().milliCores > 0))
            candidates.push_back(&worker);
    }
    std::sort(candidates.begin(), candidates.end(), [](auto const* left, auto const* right) { return left->freeResources().milliCores > right->freeResources().milliCores; });
    return candidates;
}

/// For best-effort tasks: true when enough cores are unused and the task would interfere with no service there, unless
/// the request waives these conditions.
bool TaskPlacer::canShareWorker(WorkerView const& worker, PlacementRequest const& request, TrialCounts const& trialWorkers, TimePoint now) const
{
    if (!request.stage->isBestEffort)
        return true;
    double const use = this->cpuUsage.expectedMilliCores(request.image, request.stage->need.milliCores);
    bool const hasEnoughUnused = this->unusedMilliCores(worker) >= use * this->parameters.minBestEffortShare;
    return (hasEnoughUnused || request.canOvercommitCores) && (request.canStartThrottled || this->canRunBestEffort(worker, request, trialWorkers, now));
}

unsigned TaskPlacer::startSpeedPercent(WorkerView const& worker, StageSpec const& stage) const
{
    constexpr double fullPercent = 100;
    double const allowed = static_cast<double>(worker.profile.capacity.milliCores) * this->parameters.throttledStartShare;
    return static_cast<unsigned>(std::clamp(fullPercent * allowed / static_cast<double>(std::max<int64_t>(stage.need.milliCores, 1)), 1.0, fullPercent));
}

bool TaskPlacer::canRunBestEffort(WorkerView const& worker, PlacementRequest const& request, TrialCounts const& trialWorkers, TimePoint now) const
{
    ImageCpuShares shares;
    for (auto const& load : worker.bestEffortImages)
        shares.push_back({ load.image, this->expectedCpuShare(worker, load.image, load.requestedMilliCores) });
    auto own = std::find_if(shares.begin(), shares.end(), [&](auto const& use) { return use.image == request.image; });
    bool const isPresent = own != shares.end();
    if (!isPresent)
        own = shares.insert(shares.end(), { request.image, 0 });
    double const added = this->expectedCpuShare(worker, request.image, request.stage->need.milliCores);
    own->share += added;
    return std::all_of(worker.serviceImages.begin(), worker.serviceImages.end(), [&](ImageLoad const& service) {
        bool const isProven = !this->interference.isOnTrial(service.image, request.image);
        if (!isProven && !this->canStartTrial(service.image, isPresent, shares.size(), trialWorkers))
            return false;
        if (worker.bestEffortSpeedPercent < fullSpeedPercent && !(isProven && this->interference.isCleared(service.image, request.image, own->share)))
            return false;
        constexpr double noticeableTailRatio = 0.01; // Avoiding less is not worth waiting for.
        bool const isNoticeable = this->interference.interferenceCoefficient(service.image, request.image, now) * added > noticeableTailRatio;
        bool const isOverLimit = isNoticeable && this->interference.predictedTailRatio(service.image, shares, now) > this->interference.modelParameters().maxTailRatio;
        return !isOverLimit && own->share <= this->interference.allowedShare(service.image, request.image);
    });
}

/// A pair on trial is tried without other best-effort images on the worker, whose interference could not be told
/// apart, and on few workers at a time.
bool TaskPlacer::canStartTrial(ImageId service, bool isPresent, size_t imageCount, TrialCounts const& trialWorkers) const
{
    if (imageCount > 1)
        return false;
    auto const trialCount = trialWorkers.find(service);
    return isPresent || trialCount == trialWorkers.end() || trialCount->second < this->parameters.maxTrialWorkers;
}

double TaskPlacer::expectedCpuShare(WorkerView const& worker, ImageId image, int64_t requestedMilliCores) const
{
    return this->cpuUsage.expectedMilliCores(image, requestedMilliCores) / static_cast<double>(std::max<int64_t>(worker.profile.capacity.milliCores, 1));
}

bool TaskPlacer::isOnTrialForAnyService(ImageId image) const
{
    return std::any_of(this->harmlessImageShares.begin(), this->harmlessImageShares.end(), [&](auto const& service) { return this->interference.isOnTrial(service.first, image); });
}

TaskPlacer::TrialCounts TaskPlacer::trialCounts(ImageId image) const
{
    TrialCounts trialWorkers;
    for (auto const& [id, worker] : this->workers) {
        if (!worker.bestEffortImages.find(image))
            continue;
        for (auto const& service : worker.serviceImages)
            trialWorkers[service.image]++;
    }
    return trialWorkers;
}

double TaskPlacer::unusedMilliCores(WorkerView const& worker) const
{
    auto const service = static_cast<double>(worker.serviceMilliCores);
    auto const others = static_cast<double>(worker.reserved.milliCores) - service;
    double bestEffort = 0;
    for (auto const& load : worker.bestEffortImages)
        bestEffort += this->cpuUsage.expectedMilliCores(load.image, load.requestedMilliCores);
    return static_cast<double>(worker.profile.capacity.milliCores) - bestEffort - others - service * this->parameters.assumedServiceUse;
}

/// Higher is better. Workers on the data's rack come first. Service tasks with a latency target go to workers that
/// run the same image, so that any one best-effort image can run on many workers; best-effort tasks go where most
/// cores are unused; other tasks where they leave the least free, so that large gaps remain for large tasks.
double TaskPlacer::score(WorkerView const& worker, PlacementRequest const& request) const
{
    constexpr double rackBonus = 10;
    StageSpec const& stage = *request.stage;
    auto const capacity = static_cast<double>(std::max<int64_t>(worker.profile.capacity.milliCores, 1));
    double score = 0;
    if (stage.isBestEffort)
        score = this->unusedMilliCores(worker) / capacity - worker.tailRatio - this->harmlessImageShare(worker) - (request.canStartThrottled ? worker.throttledStartCount : 0);
    else
        score = serviceScore(worker, request) - static_cast<double>(worker.freeResources().milliCores) / capacity;
    if (!stage.dataRack.empty() && worker.profile.rack == stage.dataRack)
        score += rackBonus;
    return score;
}

/// The least share of best-effort images that hardly interfere with a service of the worker. A best-effort image that
/// can run on several workers goes where this is small, and leaves the others to images that can run in few places.
double TaskPlacer::harmlessImageShare(WorkerView const& worker) const
{
    double least = 1;
    for (auto const& service : worker.serviceImages) {
        auto const known = this->harmlessImageShares.find(service.image);
        if (known != this->harmlessImageShares.end())
            least = std::min(least, known->second);
    }
    return least;
}

double TaskPlacer::serviceScore(WorkerView const& worker, PlacementRequest const& request)
{
    constexpr double sameImageScore = 4;
    constexpr double noServiceScore = 2;
    StageSpec const& stage = *request.stage;
    if (!stage.isService || stage.latencyTarget <= Duration())
        return 0;
    if (worker.serviceImages.empty())
        return noServiceScore;
    bool const hasSameImage = worker.serviceImages.find(request.image);
    double const others = static_cast<double>(worker.serviceImages.size() - (hasSameImage ? 1 : 0));
    return (hasSameImage ? sameImageScore : 0) - others;
}

} // namespace cornelpond
