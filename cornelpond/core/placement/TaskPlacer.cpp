#include "cornelpond/core/placement/TaskPlacer.h"

#include <algorithm>

namespace cornelpond {

TaskPlacer::TaskPlacer(std::map<WorkerId, WorkerView>& workers, InterferenceModel const& interference, ImageUse const& imageUse, DispatchTimes const& times, PlacementLimits limits)
    : workers(workers)
    , interference(interference)
    , imageUse(imageUse)
    , times(times)
    , limits(limits)
{
}

namespace {

    /// Whether room is all that such a request needs of a worker.
    bool isPlain(PlacementRequest const& request)
    {
        StageSpec const& stage = *request.stage;
        bool const hasWishes = !stage.requiredLabel.empty() || !stage.dataRack.empty() || stage.maxPerWorker || request.permitted;
        return !hasWishes && !request.mayTrickle && request.onlyRack.empty();
    }

} // namespace

void TaskPlacer::beginPass(TimePoint now)
{
    this->noRoom.clear();
    this->reservedShares.clear();
    this->serviceImages.clear();
    for (auto const& [id, worker] : this->workers) {
        for (auto const& service : worker.serviceImages) {
            auto const [known, isNew] = this->serviceImages.try_emplace(service.image);
            if (isNew)
                known->second = this->interference.openness(service.image, now);
        }
    }
}

bool TaskPlacer::foundNoRoom(PlacementRequest const& request) const
{
    StageSpec const& stage = *request.stage;
    return std::any_of(this->noRoom.begin(), this->noRoom.end(), [&](NoRoom const& failed) {
        return failed.image == request.image && failed.isBestEffort == stage.isBestEffort && failed.isService == stage.isService && failed.isRestart == request.isRestart
            && failed.service == request.service && failed.need.fitsIn(stage.need);
    });
}

WorkerView* TaskPlacer::choose(PlacementRequest const& request, TimePoint now)
{
    bool const remembers = isPlain(request);
    if (remembers && this->foundNoRoom(request))
        return nullptr;
    WorkerView* worker = this->search(request, now);
    if (!worker && remembers)
        this->noRoom.push_back({ request.image, request.service, request.stage->isBestEffort, request.stage->isService, request.isRestart, request.stage->need });
    return worker;
}

WorkerView* TaskPlacer::search(PlacementRequest const& request, TimePoint now) const
{
    WorkerView* best = nullptr;
    double bestScore = 0;
    Trials const trials = request.stage->isBestEffort && this->isOnTrialAnywhere(request.image) ? this->trialsOf(request.image) : Trials();
    bool const keepsRoom = request.stage->isService && !request.isRestart;
    int64_t const openMilliCores = keepsRoom ? this->openToServices(request) : 0;
    for (auto& [id, worker] : this->workers) {
        if (!this->fits(worker, request, now) || !this->mayShare(worker, request, trials, now))
            continue;
        bool const opensWorker = keepsRoom && !worker.serviceMilliCores;
        if (opensWorker && worker.profile.capacity.milliCores > openMilliCores)
            continue;
        double const score = this->score(worker, request);
        if (best && score <= bestScore)
            continue;
        best = &worker;
        bestScore = score;
    }
    return best;
}

/// Cores of workers without service tasks that may be opened to them.
int64_t TaskPlacer::openToServices(PlacementRequest const& request) const
{
    constexpr int64_t unbounded = INT64_MAX;
    int64_t all = 0;
    int64_t unopened = 0;
    int64_t workerCount = 0;
    for (auto const& [id, worker] : this->workers) {
        if (worker.profile.service != request.service || worker.profile.isDraining || !worker.isListed)
            continue;
        workerCount++;
        all += worker.profile.capacity.milliCores;
        unopened += worker.serviceMilliCores ? 0 : worker.profile.capacity.milliCores;
    }
    // In a small fleet a whole worker is too much to keep.
    double const keptWorkers = static_cast<double>(workerCount) * this->limits.shortTaskShare;
    constexpr double leastKept = 0.5;
    if (keptWorkers < leastKept)
        return unbounded;
    return unopened - static_cast<int64_t>(static_cast<double>(all) * this->limits.shortTaskShare);
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
    if (!isAllowed(worker, request) || !worker.takesTasks(now, this->times))
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
    return true;
}

/// For best-effort tasks: whether enough is left unused, and no service there is harmed.
bool TaskPlacer::mayShare(WorkerView const& worker, PlacementRequest const& request, Trials const& trials, TimePoint now) const
{
    if (!request.stage->isBestEffort)
        return true;
    double const use = this->imageUse.expected(request.image, request.stage->need.milliCores);
    bool const isLeftEnough = this->unusedMilliCores(worker) >= use * this->limits.bestEffortShare;
    return (isLeftEnough || request.ignoresBestEffort) && (request.mayTrickle || this->mayRunBestEffort(worker, request, trials, now));
}

unsigned TaskPlacer::tricklePercent(WorkerView const& worker, StageSpec const& stage) const
{
    constexpr double full = 100;
    double const allowed = static_cast<double>(worker.profile.capacity.milliCores) * this->limits.trickleUse;
    return static_cast<unsigned>(std::clamp(full * allowed / static_cast<double>(std::max<int64_t>(stage.need.milliCores, 1)), 1.0, full));
}

bool TaskPlacer::mayRunBestEffort(WorkerView const& worker, PlacementRequest const& request, Trials const& trials, TimePoint now) const
{
    ImageUses uses;
    for (auto const& load : worker.bestEffortImages)
        uses.push_back({ load.image, this->shareOf(worker, load.image, load.milliCores) });
    auto own = std::find_if(uses.begin(), uses.end(), [&](auto const& use) { return use.image == request.image; });
    bool const isPresent = own != uses.end();
    if (!isPresent)
        own = uses.insert(uses.end(), { request.image, 0 });
    double const added = this->shareOf(worker, request.image, request.stage->need.milliCores);
    own->share += added;
    return std::all_of(worker.serviceImages.begin(), worker.serviceImages.end(), [&](ImageLoad const& service) {
        bool const isProven = !this->interference.isOnTrial(service.image, request.image);
        if (!isProven && !this->mayTry(service.image, isPresent, uses.size(), trials))
            return false;
        if (worker.throttle < fullSpeed && !(isProven && this->interference.isCleared(service.image, request.image, own->share)))
            return false;
        constexpr double noticeable = 0.01; // Tail over target; less is not worth waiting for.
        bool const isFelt = this->interference.harm(service.image, request.image, now) * added > noticeable;
        bool const isTooMuch = isFelt && this->interference.predictedTail(service.image, uses, now) > this->interference.bounds().mostTail;
        return !isTooMuch && own->share <= this->interference.allowedUse(service.image, request.image);
    });
}

/// A pair of which little is known is tried with nothing else beside it that would blur the picture, on few
/// workers at a time.
bool TaskPlacer::mayTry(ImageId service, bool isPresent, size_t images, Trials const& trials) const
{
    if (images > 1)
        return false;
    auto const tried = trials.find(service);
    return isPresent || tried == trials.end() || tried->second < this->limits.trialWorkers;
}

/// Of the worker's cores.
double TaskPlacer::shareOf(WorkerView const& worker, ImageId image, int64_t askedMilliCores) const
{
    return this->imageUse.expected(image, askedMilliCores) / static_cast<double>(std::max<int64_t>(worker.profile.capacity.milliCores, 1));
}

bool TaskPlacer::isOnTrialAnywhere(ImageId image) const
{
    return std::any_of(this->serviceImages.begin(), this->serviceImages.end(), [&](auto const& service) { return this->interference.isOnTrial(service.first, image); });
}

TaskPlacer::Trials TaskPlacer::trialsOf(ImageId image) const
{
    Trials trials;
    for (auto const& [id, worker] : this->workers) {
        if (!worker.bestEffortImages.find(image))
            continue;
        for (auto const& service : worker.serviceImages)
            trials[service.image]++;
    }
    return trials;
}

double TaskPlacer::unusedMilliCores(WorkerView const& worker) const
{
    auto const service = static_cast<double>(worker.serviceMilliCores);
    auto const others = static_cast<double>(worker.reserved.milliCores) - service;
    double bestEffort = 0;
    for (auto const& load : worker.bestEffortImages)
        bestEffort += this->imageUse.expected(load.image, load.milliCores);
    return static_cast<double>(worker.profile.capacity.milliCores) - bestEffort - others - service * this->limits.serviceUse;
}

/// The higher the better: on the data's rack first. Service tasks stand with their like, so that many
/// workers stay open to any one best-effort image; best-effort tasks go where most is left; other tasks
/// where they leave the least, so that large holes stay for large tasks.
double TaskPlacer::score(WorkerView const& worker, PlacementRequest const& request) const
{
    constexpr double rackBonus = 10;
    StageSpec const& stage = *request.stage;
    auto const capacity = static_cast<double>(std::max<int64_t>(worker.profile.capacity.milliCores, 1));
    double score = 0;
    if (stage.isBestEffort)
        score = this->unusedMilliCores(worker) / capacity - worker.tailRatio - this->openness(worker) - (request.mayTrickle ? worker.tricklingTasks : 0);
    else
        score = serviceScore(worker, request) - static_cast<double>(worker.freeRoom().milliCores) / capacity;
    if (!stage.dataRack.empty() && worker.profile.rack == stage.dataRack)
        score += rackBonus;
    return score;
}

/// How many best-effort images may stand on the worker: one that may stand in many places goes where few others
/// may, and leaves the open workers to those.
double TaskPlacer::openness(WorkerView const& worker) const
{
    double least = 1;
    for (auto const& service : worker.serviceImages) {
        auto const known = this->serviceImages.find(service.image);
        if (known != this->serviceImages.end())
            least = std::min(least, known->second);
    }
    return least;
}

double TaskPlacer::serviceScore(WorkerView const& worker, PlacementRequest const& request)
{
    constexpr double amongItsLike = 4;
    constexpr double amongNone = 2;
    StageSpec const& stage = *request.stage;
    if (!stage.isService || stage.latencyTarget <= Duration())
        return 0;
    if (worker.serviceImages.empty())
        return amongNone;
    bool const hasLike = worker.serviceImages.find(request.image);
    double const others = static_cast<double>(worker.serviceImages.size() - (hasLike ? 1 : 0));
    return (hasLike ? amongItsLike : 0) - others;
}

} // namespace cornelpond
