#include "cornelpond/core/placement/ServiceLoadModel.h"

#include <algorithm>

namespace cornelpond {

std::optional<double> headroomOf(PlacedAttempt const& attempt)
{
    constexpr unsigned servingProgressPercent = 100; // Listed for a service task that serves requests.
    bool const hasFigure = attempt.phase == PlacedAttempt::Phase::Running && attempt.latencyMsOrMilliCores >= 0 && attempt.progressPercent >= servingProgressPercent;
    if (!attempt.isService() || attempt.stage->latencyTarget <= Duration() || !hasFigure)
        return std::nullopt;
    return static_cast<double>(attempt.stage->latencyTarget.toMilliseconds()) / static_cast<double>(std::max<int64_t>(attempt.latencyMsOrMilliCores, 1));
}

ServiceLoadModel::ServiceLoadModel(ServiceLoadParameters parameters)
    : parameters(parameters)
{
}

void ServiceLoadModel::observe(PlacedAttempt const& attempt, double headroom, TimePoint now)
{
    constexpr unsigned steadySamples = 3;
    this->forgetIdleJobs(now);
    JobLoad& load = this->jobs[attempt.task.job];
    if (!load.samples || now - load.observedAt > this->parameters.freshness) {
        load.headroom = headroom;
        load.samples = 0;
    } else {
        double const maxStep = load.headroom * this->parameters.maxStepShare;
        load.headroom += std::clamp((headroom - load.headroom) * this->parameters.sampleWeight, -maxStep, maxStep);
    }
    load.observedAt = now;
    load.samples++;
    if (load.samples >= steadySamples)
        this->observeImage(attempt.image, load.headroom, now);
}

void ServiceLoadModel::observeImage(ImageId image, double headroom, TimePoint now)
{
    auto const [entry, isNew] = this->images.try_emplace(image.value());
    ImageLoadHistory& history = entry->second;
    if (isNew)
        history = { headroom, headroom, headroom, now + this->parameters.peakWindow };
    if (now >= history.windowEnd) {
        history.lowestBefore = history.lowest;
        history.lowest = headroom;
        history.windowEnd = now + this->parameters.peakWindow;
    }
    history.mean += (headroom - history.mean) * this->parameters.imageSampleWeight;
    history.lowest = std::min(history.lowest, headroom);
}

HeadroomEstimate ServiceLoadModel::freeHeadroom(PlacedAttempt const& attempt, TimePoint now) const
{
    auto const job = this->jobs.find(attempt.task.job);
    if (job != this->jobs.end() && now - job->second.observedAt <= this->parameters.freshness)
        return { job->second.headroom, this->parameters.figureError };
    auto const image = this->images.find(attempt.image.value());
    return { image == this->images.end() ? this->parameters.defaultHeadroom : image->second.mean, this->parameters.swingError };
}

double ServiceLoadModel::peakHeadroom(ImageId service) const
{
    auto const image = this->images.find(service.value());
    if (image == this->images.end())
        return this->parameters.defaultHeadroom;
    return std::max(std::min(image->second.lowest, image->second.lowestBefore), this->parameters.minPeakHeadroom);
}

void ServiceLoadModel::forgetIdleJobs(TimePoint now)
{
    if (now < this->nextForgetting)
        return;
    this->nextForgetting = now + this->parameters.peakWindow;
    for (auto job = this->jobs.begin(); job != this->jobs.end();)
        job = now - job->second.observedAt > this->parameters.peakWindow ? this->jobs.erase(job) : std::next(job);
}

void ServiceLoadModel::clear()
{
    this->jobs.clear();
    this->images.clear();
}

} // namespace cornelpond
