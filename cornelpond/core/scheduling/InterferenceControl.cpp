#include "cornelpond/core/scheduling/InterferenceControl.h"

#include "cornelpond/core/placement/ThrottlePolicy.h"

#include <algorithm>
#include <cmath>

namespace cornelpond {

namespace {

    /// Once some service task of a worker has been over its target for this long, all best-effort tasks there are
    /// set to 0 % speed. Users notice after a few seconds, and the figures seen here are a second old.
    constexpr Duration maxTimeOverTarget = Duration::milliseconds(1400);

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
        worker.overTargetSince.reset();
    else if (!worker.overTargetSince)
        worker.overTargetSince = now;
    this->evictInterferingTasks(worker, now);
    this->updateWorkerThrottle(worker, now);
    bool const isOverTargetTooLong = worker.overTargetSince && now - *worker.overTargetSince >= maxTimeOverTarget;
    std::vector<ImageId> unprovenImages; // Filled only while the worker is throttled. Empty: all images are.
    for (auto const& load : worker.bestEffortImages) {
        if (worker.bestEffortSpeedPercent < fullSpeedPercent && this->isUnproven(worker, load))
            unprovenImages.push_back(load.image);
    }
    for (auto& [key, attempt] : worker.placed) {
        if (!attempt.isBestEffort() || attempt.isStopping || attempt.isEndProposed)
            continue;
        bool const isThrottled = unprovenImages.empty() || std::find(unprovenImages.begin(), unprovenImages.end(), attempt.image) != unprovenImages.end();
        unsigned percent = isThrottled ? worker.bestEffortSpeedPercent : fullSpeedPercent;
        if (attempt.isThrottledStart)
            percent = taskSpeedPercent(attempt.targetSpeedPercent, worker.tailRatio, now - std::max(attempt.throttleConfirmedAt, attempt.confirmedAt));
        if (isOverTargetTooLong)
            percent = 0;
        if (attempt.targetSpeedPercent != percent)
            this->dispatch.throttle(worker, attempt, percent);
    }
}

/// Where a service's tail is predicted to come close to its target or exceed it, evicts tasks of the best-effort
/// image that adds most to that tail: as many as bring the prediction down to maxTailRatio.
void InterferenceControl::evictInterferingTasks(WorkerView& worker, TimePoint now)
{
    constexpr double evictAboveTailRatio = 0.95; ///< Predicted tail latency over target.
    if (worker.serviceImages.empty())
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
        double const excessFraction = std::min((predicted - this->interference.modelParameters().maxTailRatio) / added, 1.0);
        auto const& interferingTasks = tasks.at(worst->image);
        auto const evictedCount = static_cast<size_t>(std::ceil(excessFraction * static_cast<double>(interferingTasks.size())));
        for (size_t i = interferingTasks.size() - evictedCount; i < interferingTasks.size(); i++) {
            this->dispatch.throttle(worker, *interferingTasks[i], 0);
            this->evictor.evict(worker, *interferingTasks[i], "harms a service task");
        }
        return; // The remaining tasks are checked at the next listing.
    }
}

/// True for an image whose expected use has not been observed as harmless beside every service of the worker.
/// When a service is near its target, such images are throttled and the others run on at full speed.
bool InterferenceControl::isUnproven(WorkerView const& worker, ImageLoad const& load) const
{
    double const use = this->placer.expectedCpuShare(worker, load.image, load.requestedMilliCores);
    return std::any_of(worker.serviceImages.begin(), worker.serviceImages.end(), [&](ImageLoad const& service) { return !this->interference.isCleared(service.image, load.image, use); });
}

/// True while a best-effort task is being stopped: interference that it causes ends with it.
bool InterferenceControl::hasStoppingBestEffortTask(WorkerView const& worker)
{
    return std::any_of(worker.placed.begin(), worker.placed.end(), [](auto const& entry) { return entry.second.isBestEffort() && entry.second.isStopping; });
}

/// Lowers the speed of a worker's best-effort tasks when its service tasks come near their targets without a
/// known pair of interfering images, and raises it again later.
void InterferenceControl::updateWorkerThrottle(WorkerView& worker, TimePoint now)
{
    bool const canLowerSpeed = !worker.bestEffortImages.empty() && !hasStoppingBestEffortTask(worker);
    unsigned const next = worker.serviceImages.empty() ? fullSpeedPercent : workerSpeedPercent(worker.bestEffortSpeedPercent, worker.tailRatio, now - worker.bestEffortSpeedChangedAt, canLowerSpeed);
    if (next == worker.bestEffortSpeedPercent)
        return;
    this->events.emit(Event(EventId::WorkerThrottled)
                          .with("worker", worker.profile.id)
                          .with("percent", next)
                          .with("before", worker.bestEffortSpeedPercent)
                          .with("tailPercent", static_cast<int>(worker.tailRatio * 100))
                          .with("bestEffortMilliCores", worker.bestEffortImages.requestedMilliCores()));
    worker.bestEffortSpeedPercent = next;
    worker.noteChange();
    worker.bestEffortSpeedChangedAt = now;
}

} // namespace cornelpond
