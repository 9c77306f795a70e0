#include "cornelpond/core/scheduling/InterferenceControl.h"

#include "cornelpond/core/placement/ThrottlePolicy.h"

#include <algorithm>
#include <cmath>

namespace cornelpond {

namespace {

    /// Once some service task of a worker has been over its target for this long, tasks that were started throttled stop too.
    constexpr Duration maxThrottledTimeOverTarget = Duration::milliseconds(1400);
    /// A task that stands still for this long is evicted: elsewhere it may work, and its checkpoint is no older than its wait.
    constexpr Duration maxStandstill = Duration::milliseconds(2500);

} // namespace

InterferenceControl::InterferenceControl(Clock const& clock, EventSink& events, Dispatcher& dispatch, TaskPlacer& placer, InterferenceModel& interference, CpuUsageModel& cpuUsage, TaskEvictor& evictor)
    : clock(clock)
    , events(events)
    , dispatch(dispatch)
    , placer(placer)
    , interference(interference)
    , cpuUsage(cpuUsage)
    , evictor(evictor)
{
}

void InterferenceControl::processListing(WorkerView& worker)
{
    TimePoint const now = this->clock.now();
    worker.tailRatio = worstTailRatio(worker);
    this->interference.observe(worker, now);
    this->cpuUsage.observe(worker, now);
    if (worker.tailRatio < 1)
        this->endOverload(worker, now);
    else if (!worker.overTargetSince)
        worker.overTargetSince = now;
    this->evictInterferingTasks(worker, now);
    this->adjustSpeeds(worker, now);
    this->evictStandingTasks(worker, now);
}

/// Where a service's tail is not far from its target and predicted to exceed it at the peak of its load, evicts tasks of the
/// best-effort image that adds most to that tail: as many as bring the prediction down to maxTailRatio.
void InterferenceControl::evictInterferingTasks(WorkerView& worker, TimePoint now)
{
    constexpr double evictAboveTailRatio = 1.05; ///< Predicted tail latency over target, at the peak of the service's load.
    constexpr double minTailRatio = 0.8; ///< Below it, tasks may end before the service's load is at its peak.
    if (worker.serviceImages.empty() || worker.tailRatio < minTailRatio)
        return;
    ImageCpuShares shares;
    std::map<ImageId, std::vector<PlacedAttempt*>> tasks;
    for (auto& [key, attempt] : worker.placed) {
        if (attempt.isBestEffort() && !attempt.isThrottledStart && attempt.isRunning())
            tasks[attempt.image].push_back(&attempt);
    }
    for (auto const& [image, attempts] : tasks) {
        double share = 0;
        for (auto const* attempt : attempts)
            share += this->placer.expectedCpuShare(worker, image, attempt->stage->need.milliCores);
        shares.push_back({ image, share });
    }
    for (auto const& service : worker.serviceImages) {
        double const predicted = this->interference.predictedTailRatio(service.image, shares, now);
        ImageCpuShare const* worst = this->interference.worstInterferer(service.image, shares, now);
        if (predicted <= evictAboveTailRatio || !worst)
            continue;
        double const added = this->interference.interferenceCoefficient(service.image, worst->image, now) * worst->share;
        double const missingHeadroom = 1 / this->interference.modelParameters().maxTailRatio - 1 / predicted;
        double const excessFraction = std::min(missingHeadroom / added, 1.0);
        auto const& interferingTasks = tasks.at(worst->image);
        auto const evictedCount = static_cast<size_t>(std::ceil(excessFraction * static_cast<double>(interferingTasks.size())));
        for (size_t i = interferingTasks.size() - evictedCount; i < interferingTasks.size(); i++) {
            this->dispatch.throttle(worker, *interferingTasks[i], 0);
            this->evictor.evict(worker, *interferingTasks[i], "harms a service task");
        }
        return; // The remaining tasks are checked at the next listing.
    }
}

/// True while a best-effort task is being stopped: interference that it causes ends with it.
bool InterferenceControl::hasStoppingBestEffortTask(WorkerView const& worker)
{
    return std::any_of(worker.placed.begin(), worker.placed.end(), [](auto const& entry) { return entry.second.isBestEffort() && entry.second.isStopping; });
}

namespace {

    /// The image of the service task that is nearest to its target; unset without any.
    std::optional<ImageId> nearestToTarget(WorkerView const& worker)
    {
        std::optional<ImageId> image;
        double least = HUGE_VAL;
        for (auto const& [key, attempt] : worker.placed) {
            auto const headroom = headroomOf(attempt);
            if (!headroom || *headroom >= least)
                continue;
            least = *headroom;
            image = attempt.image;
        }
        return image;
    }

} // namespace

/// The worker's best-effort images as they run now; without tasks that were started throttled, which have speeds of their own.
std::map<ImageId, ImageSpeed> InterferenceControl::imageSpeeds(WorkerView const& worker, TimePoint now) const
{
    constexpr double unknownCoefficient = 3; ///< Assumed, at least, of an image on trial.
    std::map<ImageId, ImageSpeed> images;
    std::optional<ImageId> const service = nearestToTarget(worker);
    for (auto const& [key, attempt] : worker.placed) {
        if (!attempt.isBestEffort() || attempt.isThrottledStart || !attempt.isRunning())
            continue;
        auto const [entry, isNew] = images.try_emplace(attempt.image);
        ImageSpeed& speed = entry->second;
        Duration const sinceChange = now - attempt.throttleConfirmedAt;
        // A task that has just started runs at full speed until it is throttled like the others of its image.
        speed.percent = isNew ? attempt.targetSpeedPercent : std::min(speed.percent, attempt.targetSpeedPercent);
        speed.sinceChange = isNew ? sinceChange : std::min(speed.sinceChange, sinceChange);
        if (!service)
            continue;
        double coefficient = this->interference.interferenceCoefficient(*service, attempt.image, now);
        if (this->interference.isOnTrial(*service, attempt.image))
            coefficient = std::max(coefficient, unknownCoefficient);
        double const full = this->placer.expectedCpuShare(worker, attempt.image, attempt.stage->need.milliCores);
        speed.lostHeadroom += coefficient * full * attempt.targetSpeedPercent / fullSpeedPercent;
    }
    return images;
}

void InterferenceControl::adjustSpeeds(WorkerView& worker, TimePoint now)
{
    std::map<ImageId, ImageSpeed> const images = this->imageSpeeds(worker, now);
    std::vector<ImageSpeed> speeds;
    speeds.reserve(images.size());
    for (auto const& [image, speed] : images)
        speeds.push_back(speed);
    Duration const timeOverTarget = worker.overTargetSince ? now - *worker.overTargetSince : Duration();
    std::vector<unsigned> const next = imageSpeedPercents(speeds, worker.tailRatio, timeOverTarget, hasStoppingBestEffortTask(worker));
    std::map<ImageId, unsigned> percents;
    for (auto const& [image, speed] : images)
        percents.emplace(image, next[percents.size()]);
    for (auto& [key, attempt] : worker.placed) {
        if (!attempt.isBestEffort() || attempt.isStopping || attempt.isEndProposed)
            continue;
        auto const known = percents.find(attempt.image);
        unsigned percent = known == percents.end() || worker.serviceImages.empty() ? fullSpeedPercent : known->second;
        if (attempt.isThrottledStart)
            percent = timeOverTarget >= maxThrottledTimeOverTarget ? 0 : taskSpeedPercent(attempt.targetSpeedPercent, worker.tailRatio, now - std::max(attempt.throttleConfirmedAt, attempt.confirmedAt));
        if (attempt.targetSpeedPercent != percent)
            this->dispatch.throttle(worker, attempt, percent);
    }
    this->noteOverload(worker, images, next, now);
    this->noteWorkerSpeed(worker, next, now);
}

void InterferenceControl::noteOverload(WorkerView const& worker, std::map<ImageId, ImageSpeed> const& images, std::vector<unsigned> const& next, TimePoint now)
{
    auto const [last, isFirst] = this->lastListedAt.try_emplace(worker.profile.id, now);
    Duration const gap = now - std::exchange(last->second, now);
    if (!worker.overTargetSince)
        return;
    auto const [entry, isNew] = this->overloads.try_emplace(worker.profile.id);
    Overload& overload = entry->second;
    overload.worstTailRatio = std::max(overload.worstTailRatio, worker.tailRatio);
    std::optional<ImageId> const service = nearestToTarget(worker);
    if (!isNew || !service)
        return;
    overload.service = this->dispatch.imageName(*service);
    overload.listingGap = gap;
    overload.images = images.size();
    overload.stopped = static_cast<size_t>(std::count(next.begin(), next.end(), 0U));
    auto const suspect = std::max_element(images.begin(), images.end(), [](auto const& left, auto const& right) { return left.second.lostHeadroom < right.second.lostHeadroom; });
    if (suspect == images.end())
        return;
    overload.suspect = this->dispatch.imageName(suspect->first);
    overload.knowledge = this->knowledgeOf(*service, suspect->first);
}

char const* InterferenceControl::knowledgeOf(ImageId service, ImageId bestEffort) const
{
    if (!this->interference.isKnown(service, bestEffort))
        return "unknown";
    return this->interference.isOnTrial(service, bestEffort) ? "trial" : "known";
}

void InterferenceControl::endOverload(WorkerView& worker, TimePoint now)
{
    auto const found = this->overloads.find(worker.profile.id);
    if (found != this->overloads.end() && worker.overTargetSince) {
        Overload const& overload = found->second;
        this->events.emit(Event(EventId::ServiceOverTarget)
                              .with("worker", worker.profile.id)
                              .with("overMs", now - *worker.overTargetSince)
                              .with("tailPercent", static_cast<int>(overload.worstTailRatio * 100))
                              .with("listingGapMs", overload.listingGap)
                              .with("service", overload.service)
                              .with("suspect", overload.suspect)
                              .with("knowledge", std::string(overload.knowledge))
                              .with("images", overload.images)
                              .with("stopped", overload.stopped)
                              .with("leadingMs", now - this->leadingSince));
    }
    this->overloads.erase(worker.profile.id);
    worker.overTargetSince.reset();
}

std::vector<LearnedFigure> InterferenceControl::learnedFigures() const
{
    TimePoint const now = this->clock.now();
    int64_t const wallMs = this->clock.wallMilliseconds();
    std::vector<LearnedFigure> figures;
    for (auto const& pair : this->interference.pairs(now))
        figures.push_back({ LearnedFigure::Kind::Pair, this->dispatch.imageName(pair.service), this->dispatch.imageName(pair.bestEffort), pair.coefficient, pair.clearedShare, wallMs - (now - pair.observedAt).toMilliseconds() });
    for (size_t image = 1; image < this->cpuUsage.imageCount(); image++) {
        if (auto const share = this->cpuUsage.usedShare(ImageId(image)))
            figures.push_back({ LearnedFigure::Kind::CpuUse, std::string(), this->dispatch.imageName(ImageId(image)), *share, 0, wallMs });
    }
    return figures;
}

size_t InterferenceControl::restoreLearnedFigures(std::vector<LearnedFigure> const& figures)
{
    TimePoint const now = this->clock.now();
    int64_t const wallMs = this->clock.wallMilliseconds();
    size_t restored = 0;
    for (auto const& figure : figures) {
        // Clocks of hosts differ a little.
        Duration const age = std::max(Duration::milliseconds(wallMs - figure.observedWallMs), Duration());
        if (age > Duration::milliseconds(InterferenceTable::retentionMs))
            continue;
        restored++;
        ImageId const bestEffort = this->dispatch.imageId(figure.bestEffort);
        if (figure.kind == LearnedFigure::Kind::Pair)
            this->interference.restore({ this->dispatch.imageId(figure.service), bestEffort, figure.value, figure.clearedShare, now - age }, now);
        else if (figure.kind == LearnedFigure::Kind::CpuUse)
            this->cpuUsage.restore(bestEffort, figure.value);
    }
    return restored;
}

void InterferenceControl::clear()
{
    this->interference.clear();
    this->cpuUsage.clear();
    this->overloads.clear();
    this->lastListedAt.clear();
    this->leadingSince = this->clock.now();
}

/// Keeps the lowest speed of the worker's images.
void InterferenceControl::noteWorkerSpeed(WorkerView& worker, std::vector<unsigned> const& percents, TimePoint now)
{
    unsigned const lowest = percents.empty() ? fullSpeedPercent : *std::min_element(percents.begin(), percents.end());
    if (lowest == worker.bestEffortSpeedPercent)
        return;
    this->events.emit(Event(EventId::WorkerThrottled)
                          .with("worker", worker.profile.id)
                          .with("percent", lowest)
                          .with("before", worker.bestEffortSpeedPercent)
                          .with("tailPercent", static_cast<int>(worker.tailRatio * 100))
                          .with("throttledImages", std::count_if(percents.begin(), percents.end(), [](unsigned percent) { return percent < fullSpeedPercent; }))
                          .with("images", percents.size())
                          .with("bestEffortMilliCores", worker.bestEffortImages.requestedMilliCores()));
    worker.bestEffortSpeedPercent = lowest;
    worker.noteChange();
    worker.bestEffortSpeedChangedAt = now;
}

void InterferenceControl::evictStandingTasks(WorkerView& worker, TimePoint now)
{
    for (auto& [key, attempt] : worker.placed) {
        bool const isStanding = attempt.isBestEffort() && !attempt.isThrottledStart && attempt.isRunning() && attempt.targetSpeedPercent == 0 && attempt.acknowledgedSpeedPercent == 0U;
        if (isStanding && now - attempt.throttleConfirmedAt >= maxStandstill)
            this->evictor.evict(worker, attempt, "stands still beside a service task");
    }
}

} // namespace cornelpond
