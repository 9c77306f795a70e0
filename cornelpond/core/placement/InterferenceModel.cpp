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
        return attempt.phase == PlacedAttempt::Phase::Running && attempt.latencyMsOrMilliCores >= 0;
    }

    double tailRatio(PlacedAttempt const& attempt)
    {
        auto const target = static_cast<double>(std::max<int64_t>(attempt.stage->latencyTarget.toMilliseconds(), 1));
        return static_cast<double>(attempt.latencyMsOrMilliCores) / target;
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

InterferenceModel::InterferenceModel(InterferenceParameters limits)
    : parameters(limits)
{
}

namespace {

    /// What the worker's best-effort images use now; empty and false while some of them have not settled.
    bool settledUses(WorkerView const& worker, InterferenceParameters const& limits, TimePoint now, ImageCpuShares& uses)
    {
        for (auto const& [key, attempt] : worker.placed) {
            if (!attempt.isBestEffort() || !hasFigure(attempt))
                continue;
            bool const isSettled = now - attempt.confirmedAt >= limits.settleTime && now - attempt.throttleConfirmedAt >= limits.settleTime;
            if (!isSettled)
                return false;
            double const share = static_cast<double>(attempt.latencyMsOrMilliCores) / static_cast<double>(std::max<int64_t>(worker.profile.capacity.milliCores, 1));
            auto const known = std::find_if(uses.begin(), uses.end(), [image = attempt.image](auto const& use) { return use.image == image; });
            if (known == uses.end())
                uses.push_back({ attempt.image, share });
            else
                known->share += share;
        }
        return now - worker.bestEffortLeftAt >= limits.settleTime;
    }

    /// Mean tail over target by service image, of tasks at work long enough for their figures.
    std::map<ImageId, double> meanTails(WorkerView const& worker, InterferenceParameters const& limits, TimePoint now)
    {
        std::map<ImageId, std::pair<double, int>> sums;
        for (auto const& [key, attempt] : worker.placed) {
            if (!hasTarget(attempt) || !hasFigure(attempt) || attempt.progressPercent < atWork || now - attempt.confirmedAt < limits.settleTime)
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
    auto const last = this->lastObservedAt.find(worker.profile.id);
    if (worker.serviceImages.empty() || (last != this->lastObservedAt.end() && now - last->second < this->parameters.minObservationInterval))
        return;
    ImageCpuShares uses;
    if (!settledUses(worker, this->parameters, now, uses))
        return;
    this->lastObservedAt[worker.profile.id] = now;
    for (auto const& [service, ratio] : meanTails(worker, this->parameters, now))
        this->updateEstimates(service, ratio, uses, now);
}

void InterferenceModel::updateEstimates(ImageId service, double ratio, ImageCpuShares const& uses, TimePoint now)
{
    if (uses.empty()) {
        auto const [base, isNew] = this->baseTailRatios.emplace(service.value(), ratio);
        base->second += (ratio - base->second) * this->parameters.baseLearningRate;
        return;
    }
    double const error = ratio - this->predictedTailRatio(service, uses, now);
    double const rate = std::clamp(std::abs(error) / this->parameters.tailRatioNoise, this->parameters.minLearningRate, this->parameters.maxLearningRate);
    double norm = this->parameters.regularisationShare * this->parameters.regularisationShare;
    for (auto const& use : uses)
        norm += use.share * use.share;
    for (auto const& use : uses) {
        PairEstimate& evidence = this->estimates[pairKey(service, use.image)];
        evidence.coefficient = std::clamp(this->decayedCoefficient(evidence, now) + rate * error * use.share / norm, 0.0, this->parameters.maxCoefficient);
        evidence.observedAt = now;
        if (ratio < this->parameters.maxTailRatio)
            evidence.clearedShare = std::max(evidence.clearedShare, use.share);
    }
}

double InterferenceModel::predictedTailRatio(ImageId service, ImageCpuShares const& uses, TimePoint now) const
{
    double tail = this->baseTailRatio(service);
    for (auto const& use : uses)
        tail += this->interferenceCoefficient(service, use.image, now) * use.share;
    return tail;
}

ImageCpuShare const* InterferenceModel::worstInterferer(ImageId service, ImageCpuShares const& uses, TimePoint now) const
{
    ImageCpuShare const* worst = nullptr;
    double most = 0;
    for (auto const& use : uses) {
        double const added = this->interferenceCoefficient(service, use.image, now) * use.share;
        if (added <= most)
            continue;
        most = added;
        worst = &use;
    }
    return worst;
}

double InterferenceModel::interferenceCoefficient(ImageId service, ImageId bestEffort, TimePoint now) const
{
    PairEstimate const* evidence = this->find(service, bestEffort);
    return evidence ? this->decayedCoefficient(*evidence, now) : 0;
}

double InterferenceModel::decayedCoefficient(PairEstimate const& evidence, TimePoint now) const
{
    return evidence.coefficient * std::exp2(-(now - evidence.observedAt).toSeconds() / this->parameters.coefficientHalfLife.toSeconds());
}

double InterferenceModel::baseTailRatio(ImageId service) const
{
    auto const known = this->baseTailRatios.find(service.value());
    return known == this->baseTailRatios.end() ? this->parameters.defaultBaseTailRatio : known->second;
}

uint64_t InterferenceModel::pairKey(ImageId service, ImageId bestEffort)
{
    return (service.value() << halfKey) | bestEffort.value();
}

ImageId InterferenceModel::serviceOfKey(uint64_t pair)
{
    return ImageId(pair >> halfKey);
}

InterferenceModel::PairEstimate const* InterferenceModel::find(ImageId service, ImageId bestEffort) const
{
    auto const found = this->estimates.find(pairKey(service, bestEffort));
    return found == this->estimates.end() ? nullptr : &found->second;
}

double InterferenceModel::allowedShare(ImageId service, ImageId bestEffort) const
{
    PairEstimate const* evidence = this->find(service, bestEffort);
    return std::max(this->parameters.trialShare, evidence ? evidence->clearedShare * this->parameters.shareGrowthFactor : 0.0);
}

bool InterferenceModel::isCleared(ImageId service, ImageId bestEffort, double use) const
{
    PairEstimate const* evidence = this->find(service, bestEffort);
    return evidence && use <= evidence->clearedShare * this->parameters.clearedShareFactor;
}

bool InterferenceModel::isOnTrial(ImageId service, ImageId bestEffort) const
{
    PairEstimate const* evidence = this->find(service, bestEffort);
    return !evidence || evidence->clearedShare < this->parameters.provenShare;
}

double InterferenceModel::harmlessImageShare(ImageId service, TimePoint now) const
{
    double seen = 0;
    double harmless = 0;
    for (auto const& [pair, evidence] : this->estimates) {
        if (serviceOfKey(pair) != service)
            continue;
        seen++;
        harmless += this->decayedCoefficient(evidence, now) < this->parameters.significantCoefficient;
    }
    return seen > 0 ? harmless / seen : 1;
}

void InterferenceModel::clear()
{
    this->estimates.clear();
    this->baseTailRatios.clear();
    this->lastObservedAt.clear();
}

} // namespace cornelpond
