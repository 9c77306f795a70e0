#include "cornelpond/core/placement/TaskPlacer.h"

#include <algorithm>
#include <numeric>
#include <tuple>

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

    /// True when nothing but free resources and the image decides whether a worker can take the request, so that its
    /// failure holds for like requests.
    bool isUnconstrained(PlacementRequest const& request)
    {
        StageSpec const& stage = *request.stage;
        bool const hasConstraints = !stage.requiredLabel.empty() || !stage.dataRack.empty() || stage.maxTasksPerWorker || request.permittedWorkers;
        return !hasConstraints && request.requiredRack.empty() && request.excludedWorker.empty();
    }

    /// Under which failed requests are remembered: the image decides nothing for a short task.
    ImageId failureImage(PlacementRequest const& request)
    {
        return request.stage->isShort() ? ImageId() : request.image;
    }

} // namespace

void TaskPlacer::beginPass(TimePoint now)
{
    this->passNumber++;
    this->reserve.beginPass(now);
    this->hasSearch = false;
    this->forgetFailedRequests(now);
    this->holdCandidates.clear();
    this->reservedShares.clear();
    this->harmlessImageShares.clear();
    this->trialCountsByImage.clear();
    this->hasCountedTrials = false;
    this->largestCapacities.clear();
    this->candidates.clear();
    for (auto& [id, worker] : this->workers) {
        for (auto const& service : worker.serviceImages) {
            auto const [known, isNew] = this->harmlessImageShares.try_emplace(service.image);
            if (isNew)
                known->second = this->interference.harmlessImageShare(service.image, now);
        }
        if (!worker.canTakeTasks(now, this->times))
            continue;
        bool const wasAvailable = worker.lastPassAvailable + 1 == this->passNumber;
        worker.lastPassAvailable = this->passNumber;
        // A worker that was held for a task is open to others in this pass.
        bool const wasHeld = this->heldWorkers.count(&worker);
        if (worker.takeChange() || !wasAvailable || wasHeld)
            worker.lastPassChanged = this->passNumber;
        this->candidates[worker.profile.service].push_back({ &worker, worker.lastPassChanged });
        int64_t& largest = this->largestCapacities[worker.profile.service];
        largest = std::max(largest, worker.profile.capacity.milliCores);
    }
    this->heldWorkers.clear();
}

/// Where many different requests wait, each is compared with the whole fleet more rarely, so that the work stays bounded.
/// Requests of service tasks are compared with all workers in each pass: the reserve that they must leave changes with the
/// fleet.
void TaskPlacer::forgetFailedRequests(TimePoint now)
{
    size_t const failedCount = std::accumulate(this->failedRequests.begin(), this->failedRequests.end(), size_t(0), [](size_t sum, auto const& entry) { return sum + entry.second.size(); });
    auto const stretch = static_cast<int64_t>(1 + failedCount / this->parameters.failedRequestsPerInterval);
    auto const isOutdated = [&](FailedRequest const& failed) {
        Duration const interval = failed.canStartThrottled ? this->parameters.fullThrottledSearchInterval : this->parameters.fullSearchInterval;
        return failed.isService || now - failed.comparedAt >= interval * stretch;
    };
    for (auto& [image, failed] : this->failedRequests)
        failed.erase(std::remove_if(failed.begin(), failed.end(), isOutdated), failed.end());
}

/// Constraints of the request only add to the reasons to fail.
bool TaskPlacer::FailedRequest::covers(PlacementRequest const& request) const
{
    StageSpec const& stage = *request.stage;
    return this->isBestEffort == stage.isBestEffort && this->isService == stage.isService && this->isRestart == request.isRestart && this->canUseReserve == request.canUseReserve
        && this->canStartThrottled == request.canStartThrottled && this->canOvercommitCores == request.canOvercommitCores && this->need.fitsIn(stage.need) && this->service == request.service;
}

/// The latest failure that covers the request; null when there is none.
TaskPlacer::FailedRequest const* TaskPlacer::findFailed(PlacementRequest const& request) const
{
    auto const ofImage = this->failedRequests.find(failureImage(request));
    if (ofImage == this->failedRequests.end())
        return nullptr;
    FailedRequest const* latest = nullptr;
    for (auto const& failed : ofImage->second) {
        if ((!latest || failed.pass > latest->pass) && failed.covers(request))
            latest = &failed;
    }
    return latest;
}

void TaskPlacer::noteFailed(PlacementRequest const& request, TimePoint comparedAt)
{
    StageSpec const& stage = *request.stage;
    auto& ofImage = this->failedRequests[failureImage(request)];
    auto const same = std::find_if(ofImage.begin(), ofImage.end(), [&](auto const& failed) { return stage.need.fitsIn(failed.need) && failed.covers(request); });
    if (same == ofImage.end())
        ofImage.push_back({ request.service, stage.isBestEffort, stage.isService, request.isRestart, request.canUseReserve, request.canStartThrottled, request.canOvercommitCores, stage.need, this->passNumber, comparedAt });
    else
        same->pass = this->passNumber;
}

WorkerView* TaskPlacer::choose(PlacementRequest const& request, TimePoint now)
{
    this->hasSearch = false;
    WorkerView* worker = this->chooseNext(request, now);
    this->hasSearch = false;
    return worker;
}

WorkerView* TaskPlacer::chooseNext(PlacementRequest const& request, TimePoint now)
{
    this->placementCounters.choices++;
    WorkerView* worker = this->search(request, now);
    if (worker && request.stage->isService)
        this->reserve.onServicePlaced(request.service);
    return worker;
}

WorkerView* TaskPlacer::search(PlacementRequest const& request, TimePoint now)
{
    if (!this->hasSearch || !this->currentSearch.request.isLike(request)) {
        FailedRequest const* const failed = this->findFailed(request);
        if (failed && failed->pass == this->passNumber)
            return nullptr;
        this->beginSearch(request, failed, now);
    }
    WorkerView* worker = this->takeBestMatch(now);
    // A member of a gang may fail for the room that the other members hold only until the gang is given up.
    if (!worker && isUnconstrained(request) && !request.stage->isGang)
        this->noteFailed(request, this->currentSearch.comparedAt);
    return worker;
}

/// Compares the request with all workers; where it is covered by an earlier failure, with those that changed since.
void TaskPlacer::beginSearch(PlacementRequest const& request, FailedRequest const* failed, TimePoint now)
{
    Search& search = this->currentSearch;
    this->hasSearch = true;
    search.request = request;
    search.matches.clear();
    search.trialWorkers = nullptr;
    search.excludingServices.clear();
    search.candidates = &this->candidates[request.service];
    search.comparedAt = failed ? failed->comparedAt : now;
    uint64_t const changedSincePass = failed ? failed->pass : 0;
    if (request.stage->isBestEffort && !request.canStartThrottled && this->isOnTrialForAnyService(request.image))
        search.trialWorkers = &this->trialCounts(request.image);
    for (size_t i = 0; i < search.candidates->size(); i++) {
        Candidate const& candidate = (*search.candidates)[i];
        if (candidate.lastPassChanged <= changedSincePass)
            continue;
        this->placementCounters.workersExamined++;
        if (this->isMatch(*candidate.worker, search, now))
            search.matches.push_back({ this->score(*candidate.worker, request), i });
    }
    std::make_heap(search.matches.begin(), search.matches.end());
}

/// The best worker of the current search; null when none is left. Workers returned before are compared anew, as their
/// room has changed since; no other worker can have become better within the search.
WorkerView* TaskPlacer::takeBestMatch(TimePoint now)
{
    Search& search = this->currentSearch;
    auto& matches = search.matches;
    while (!matches.empty()) {
        std::pop_heap(matches.begin(), matches.end());
        Match& best = matches.back();
        WorkerView& worker = *(*search.candidates)[best.candidate].worker;
        this->placementCounters.workersExamined++;
        if (!this->isMatch(worker, search, now)) {
            matches.pop_back();
            continue;
        }
        double const score = this->score(worker, search.request);
        bool const isOutdated = score != best.score;
        best.score = score;
        std::push_heap(matches.begin(), matches.end());
        if (isOutdated)
            continue;
        if (search.trialWorkers && !worker.bestEffortImages.find(search.request.image)) {
            for (auto const& service : worker.serviceImages)
                (*search.trialWorkers)[service.image]++;
        }
        return &worker;
    }
    return nullptr;
}

bool TaskPlacer::isMatch(WorkerView const& worker, Search& search, TimePoint now)
{
    if (this->isExcludedBesideAnyService(worker, search, now) || !this->fits(worker, search.request, now) || !this->canShareWorker(worker, search.request, search.trialWorkers, now))
        return false;
    return !search.request.stage->isService || this->reserve.leavesEnough(worker, search.request);
}

/// Answers for most workers of a saturated fleet without looking at all that runs there.
bool TaskPlacer::isExcludedBesideAnyService(WorkerView const& worker, Search& search, TimePoint now) const
{
    if (!search.request.stage->isBestEffort || search.request.canStartThrottled)
        return false;
    return std::any_of(worker.serviceImages.begin(), worker.serviceImages.end(), [&](ImageLoad const& service) {
        if (service.image.value() >= search.excludingServices.size())
            search.excludingServices.resize(service.image.value() + 1);
        std::optional<bool>& known = search.excludingServices[service.image.value()];
        if (!known)
            known = this->isExcludedBeside(service.image, search.request, now);
        return *known;
    });
}

/// Whether one task would interfere too much with the service even on the largest worker, of which it takes the least share.
bool TaskPlacer::isExcludedBeside(ImageId service, PlacementRequest const& request, TimePoint now) const
{
    auto const largest = this->largestCapacities.find(request.service);
    if (largest == this->largestCapacities.end())
        return false;
    double const share = this->cpuUsage.expectedMilliCores(request.image, request.stage->need.milliCores) / static_cast<double>(std::max<int64_t>(largest->second, 1));
    return this->isOverLimit(service, request.image, share, { { request.image, share } }, now) || share > this->interference.allowedShare(service, request.image);
}

/// `shares`: of all best-effort images on the worker, `addedShare` included.
bool TaskPlacer::isOverLimit(ImageId service, ImageId image, double addedShare, ImageCpuShares const& shares, TimePoint now) const
{
    constexpr double noticeableTailRatio = 0.01; // Avoiding less is not worth waiting for.
    bool const isNoticeable = this->interference.interferenceCoefficient(service, image, now) * addedShare > noticeableTailRatio;
    return isNoticeable && this->interference.predictedTailRatio(service, shares, now) > this->interference.modelParameters().maxTailRatio;
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
    if (!stage.isGang && worker.pendingStarts() >= this->parameters.maxPendingStarts)
        return false;
    if (request.permittedWorkers && !request.permittedWorkers->count(worker.profile.id))
        return false;
    if (!request.excludedWorker.empty() && worker.profile.id == request.excludedWorker)
        return false;
    if (!request.requiredRack.empty() && worker.profile.rack != request.requiredRack)
        return false;
    if (!request.canLeaveDataRack && worker.profile.rack != stage.dataRack)
        return false;
    return !stage.maxTasksPerWorker || worker.countTasksOfStage(request.task) < stage.maxTasksPerWorker;
}

bool TaskPlacer::fits(WorkerView const& worker, PlacementRequest const& request, TimePoint now) const
{
    if (!request.stage->reservedPerTask().fitsIn(worker.freeResources()))
        return false;
    return !(request.stage->isShort() && this->heldWorkers.count(&worker)) && this->isAllowed(worker, request, now);
}

std::vector<EligibleWorker> TaskPlacer::eligibleWorkers(PlacementRequest const& request, TimePoint now) const
{
    std::vector<std::tuple<bool, bool, double, WorkerView const*>> ranked;
    for (auto const& [id, worker] : this->workers) {
        if (!request.stage->reservedPerTask().fitsIn(worker.profile.capacity) || !this->isAllowed(worker, request, now))
            continue;
        bool const isNear = !request.stage->dataRack.empty() && worker.profile.rack == request.stage->dataRack;
        ranked.emplace_back(isNear, this->fits(worker, request, now), this->score(worker, request), &worker);
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](auto const& left, auto const& right) {
        return std::tie(std::get<0>(left), std::get<1>(left), std::get<2>(left)) > std::tie(std::get<0>(right), std::get<1>(right), std::get<2>(right));
    });
    std::vector<EligibleWorker> eligible;
    eligible.reserve(ranked.size());
    for (auto const& [isNear, hasRoom, score, worker] : ranked)
        eligible.push_back({ worker, hasRoom });
    return eligible;
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
bool TaskPlacer::canShareWorker(WorkerView const& worker, PlacementRequest const& request, TrialCounts const* trialWorkers, TimePoint now)
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

bool TaskPlacer::canRunBestEffort(WorkerView const& worker, PlacementRequest const& request, TrialCounts const* trialWorkers, TimePoint now)
{
    ImageCpuShares& shares = this->sharesBuffer;
    shares.clear();
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
        return own->share <= this->interference.allowedShare(service.image, request.image) && !this->isOverLimit(service.image, request.image, added, shares, now);
    });
}

/// A pair on trial is tried without other best-effort images on the worker, whose interference could not be told
/// apart, and on few workers at a time.
bool TaskPlacer::canStartTrial(ImageId service, bool isPresent, size_t imageCount, TrialCounts const* trialWorkers) const
{
    if (imageCount > 1)
        return false;
    if (isPresent || !trialWorkers)
        return true;
    auto const trialCount = trialWorkers->find(service);
    return trialCount == trialWorkers->end() || trialCount->second < this->parameters.maxTrialWorkers;
}

double TaskPlacer::expectedCpuShare(WorkerView const& worker, ImageId image, int64_t requestedMilliCores) const
{
    return this->cpuUsage.expectedMilliCores(image, requestedMilliCores) / static_cast<double>(std::max<int64_t>(worker.profile.capacity.milliCores, 1));
}

bool TaskPlacer::isOnTrialForAnyService(ImageId image) const
{
    return std::any_of(this->harmlessImageShares.begin(), this->harmlessImageShares.end(), [&](auto const& service) { return this->interference.isOnTrial(service.first, image); });
}

/// As the pass began, and with what `takeBestMatch` has added since.
TaskPlacer::TrialCounts& TaskPlacer::trialCounts(ImageId image)
{
    if (!this->hasCountedTrials)
        this->countTrials();
    return this->trialCountsByImage[image];
}

/// One sweep for all images.
void TaskPlacer::countTrials()
{
    this->hasCountedTrials = true;
    for (auto const& [id, worker] : this->workers) {
        for (auto const& load : worker.bestEffortImages) {
            TrialCounts& trialWorkers = this->trialCountsByImage[load.image];
            for (auto const& service : worker.serviceImages)
                trialWorkers[service.image]++;
        }
    }
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
