#include "cornelpond/core/placement/InterferenceModel.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cornelpond {

namespace {

    constexpr unsigned halfKey = 32; ///< Bits of a pair's key for each image.
    constexpr unsigned atWork = 100; ///< Percent of a service task that serves.

    bool hasTarget(PlacedAttempt const& attempt)
    {
        return attempt.isService() && attempt.stage->latencyTarget > Duration();
    }

    bool hasFigure(PlacedAttempt const& attempt)
    {
        return attempt.phase == PlacedAttempt::Phase::Running && attempt.figure >= 0;
    }

    double tailRatio(PlacedAttempt const& attempt)
    {
        auto const target = static_cast<double>(std::max<int64_t>(attempt.stage->latencyTarget.toMilliseconds(), 1));
        return static_cast<double>(attempt.figure) / target;
    }

} // namespace

double worstTailRatio(WorkerView const& worker)
{
    double worst = 0;
    for (auto const& [key, attempt] : worker.placed) {
        if (hasTarget(attempt) && hasFigure(attempt) && attempt.progressPercent >= atWork)
            worst = std::max(worst, tailRatio(attempt));
    }
    return worst;
}

InterferenceModel::InterferenceModel(InterferenceLimits limits)
    : limits(limits)
{
}

namespace {

    /// What the worker's best-effort images use now; empty and false while some of them have not settled.
    bool settledUses(WorkerView const& worker, InterferenceLimits const& limits, TimePoint now, ImageUses& uses)
    {
        for (auto const& [key, attempt] : worker.placed) {
            if (!attempt.isBestEffort() || !hasFigure(attempt))
                continue;
            bool const isSettled = now - attempt.confirmedAt >= limits.settle && now - attempt.throttledAt >= limits.settle;
            if (!isSettled)
                return false;
            double const share = static_cast<double>(attempt.figure) / static_cast<double>(std::max<int64_t>(worker.profile.capacity.milliCores, 1));
            auto const known = std::find_if(uses.begin(), uses.end(), [image = attempt.image](auto const& use) { return use.image == image; });
            if (known == uses.end())
                uses.push_back({ attempt.image, share });
            else
                known->share += share;
        }
        return now - worker.bestEffortLeft >= limits.settle;
    }

    /// Mean tail over target by service image, of tasks at work long enough for their figures.
    std::map<ImageId, double> meanTails(WorkerView const& worker, InterferenceLimits const& limits, TimePoint now)
    {
        std::map<ImageId, std::pair<double, int>> sums;
        for (auto const& [key, attempt] : worker.placed) {
            if (!hasTarget(attempt) || !hasFigure(attempt) || attempt.progressPercent < atWork || now - attempt.confirmedAt < limits.settle)
                continue;
            auto& [sum, count] = sums[attempt.image];
            sum += tailRatio(attempt);
            count++;
        }
        std::map<ImageId, double> means;
        for (auto const& [image, sum] : sums)
            means[image] = sum.first / sum.second;
        return means;
    }

} // namespace

void InterferenceModel::observe(WorkerView const& worker, TimePoint now)
{
    auto const last = this->lastJudged.find(worker.profile.id);
    if (worker.serviceImages.empty() || (last != this->lastJudged.end() && now - last->second < this->limits.perWorker))
        return;
    ImageUses uses;
    if (!settledUses(worker, this->limits, now, uses))
        return;
    this->lastJudged[worker.profile.id] = now;
    for (auto const& [service, ratio] : meanTails(worker, this->limits, now))
        this->judge(service, ratio, uses, now);
}

void InterferenceModel::judge(ImageId service, double ratio, ImageUses const& uses, TimePoint now)
{
    if (uses.empty()) {
        auto const [base, isNew] = this->bases.emplace(service.value(), ratio);
        base->second += (ratio - base->second) * this->limits.baseRate;
        return;
    }
    double const error = ratio - this->predictedTail(service, uses, now);
    double const rate = std::clamp(std::abs(error) / this->limits.noise, this->limits.leastRate, this->limits.mostRate);
    double norm = this->limits.leastUse * this->limits.leastUse;
    for (auto const& use : uses)
        norm += use.share * use.share;
    for (auto const& use : uses) {
        Evidence& evidence = this->pairs[pairOf(service, use.image)];
        evidence.harm = std::clamp(this->harmOf(evidence, now) + rate * error * use.share / norm, 0.0, this->limits.mostHarm);
        evidence.seenAt = now;
        if (ratio < this->limits.mostTail)
            evidence.clearedUse = std::max(evidence.clearedUse, use.share);
    }
}

double InterferenceModel::predictedTail(ImageId service, ImageUses const& uses, TimePoint now) const
{
    double tail = this->baseOf(service);
    for (auto const& use : uses)
        tail += this->harm(service, use.image, now) * use.share;
    return tail;
}

ImageUseShare const* InterferenceModel::worstUse(ImageId service, ImageUses const& uses, TimePoint now) const
{
    ImageUseShare const* worst = nullptr;
    double most = 0;
    for (auto const& use : uses) {
        double const added = this->harm(service, use.image, now) * use.share;
        if (added <= most)
            continue;
        most = added;
        worst = &use;
    }
    return worst;
}

double InterferenceModel::harm(ImageId service, ImageId bestEffort, TimePoint now) const
{
    Evidence const* evidence = this->find(service, bestEffort);
    return evidence ? this->harmOf(*evidence, now) : 0;
}

double InterferenceModel::harmOf(Evidence const& evidence, TimePoint now) const
{
    return evidence.harm * std::exp2(-(now - evidence.seenAt).toSeconds() / this->limits.halfLife.toSeconds());
}

double InterferenceModel::baseOf(ImageId service) const
{
    auto const known = this->bases.find(service.value());
    return known == this->bases.end() ? this->limits.restingTail : known->second;
}

uint64_t InterferenceModel::pairOf(ImageId service, ImageId bestEffort)
{
    return (service.value() << halfKey) | bestEffort.value();
}

ImageId InterferenceModel::serviceOf(uint64_t pair)
{
    return ImageId(pair >> halfKey);
}

InterferenceModel::Evidence const* InterferenceModel::find(ImageId service, ImageId bestEffort) const
{
    auto const found = this->pairs.find(pairOf(service, bestEffort));
    return found == this->pairs.end() ? nullptr : &found->second;
}

double InterferenceModel::allowedUse(ImageId service, ImageId bestEffort) const
{
    Evidence const* evidence = this->find(service, bestEffort);
    return std::max(this->limits.trialUse, evidence ? evidence->clearedUse * this->limits.growth : 0.0);
}

bool InterferenceModel::isCleared(ImageId service, ImageId bestEffort, double use) const
{
    Evidence const* evidence = this->find(service, bestEffort);
    return evidence && use <= evidence->clearedUse * this->limits.suspectAbove;
}

bool InterferenceModel::isOnTrial(ImageId service, ImageId bestEffort) const
{
    Evidence const* evidence = this->find(service, bestEffort);
    return !evidence || evidence->clearedUse < this->limits.provenUse;
}

double InterferenceModel::openness(ImageId service, TimePoint now) const
{
    double seen = 0;
    double harmless = 0;
    for (auto const& [pair, evidence] : this->pairs) {
        if (serviceOf(pair) != service)
            continue;
        seen++;
        harmless += this->harmOf(evidence, now) < this->limits.notableHarm;
    }
    return seen > 0 ? harmless / seen : 1;
}

void InterferenceModel::clear()
{
    this->pairs.clear();
    this->bases.clear();
    this->lastJudged.clear();
}

} // namespace cornelpond
