#include "cornelpond/core/placement/InterferenceModel.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cornelpond {

namespace {

    constexpr unsigned servingProgressPercent = 100; ///< Listed for a service task that serves requests.

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
        if (hasTarget(attempt) && hasFigure(attempt) && attempt.progressPercent >= servingProgressPercent)
            worst = std::max(worst, tailRatio(attempt));
    }
    return worst;
}

InterferenceModel::InterferenceModel(InterferenceParameters parameters)
    : parameters(parameters)
{
}

namespace {

    /// Collects in `shares` what the worker's best-effort images use now. Returns false, with incomplete shares, while the
    /// figures of some do not yet show their current use.
    bool settledShares(WorkerView const& worker, InterferenceParameters const& parameters, TimePoint now, ImageCpuShares& shares)
    {
        for (auto const& [key, attempt] : worker.placed) {
            if (!attempt.isBestEffort() || !hasFigure(attempt))
                continue;
            bool const isSettled = now - attempt.confirmedAt >= parameters.settleTime && now - attempt.throttleConfirmedAt >= parameters.settleTime;
            if (!isSettled)
                return false;
            double const share = static_cast<double>(attempt.latencyMsOrMilliCores) / static_cast<double>(std::max<int64_t>(worker.profile.capacity.milliCores, 1));
            auto const known = std::find_if(shares.begin(), shares.end(), [image = attempt.image](auto const& use) { return use.image == image; });
            if (known == shares.end())
                shares.push_back({ attempt.image, share });
            else
                known->share += share;
        }
        return now - worker.bestEffortLeftAt >= parameters.settleTime;
    }

    /// Mean tail ratio by service image, of the tasks that have run long enough for their figures to be valid.
    std::map<ImageId, double> meanTailRatios(WorkerView const& worker, InterferenceParameters const& parameters, TimePoint now)
    {
        std::map<ImageId, std::pair<double, int>> sums;
        for (auto const& [key, attempt] : worker.placed) {
            if (!hasTarget(attempt) || !hasFigure(attempt) || attempt.progressPercent < servingProgressPercent || now - attempt.confirmedAt < parameters.settleTime)
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
    ImageCpuShares shares;
    if (!settledShares(worker, this->parameters, now, shares))
        return;
    this->lastObservedAt[worker.profile.id] = now;
    for (auto const& [service, ratio] : meanTailRatios(worker, this->parameters, now))
        this->updateEstimates(service, ratio, shares, now);
}

void InterferenceModel::updateEstimates(ImageId service, double ratio, ImageCpuShares const& shares, TimePoint now)
{
    if (shares.empty()) {
        auto const [base, isNew] = this->baseTailRatios.emplace(service.value(), ratio);
        base->second += (ratio - base->second) * this->parameters.baseLearningRate;
        return;
    }
    double const error = ratio - this->predictedTailRatio(service, shares, now);
    double const rate = std::clamp(std::abs(error) / this->parameters.tailRatioNoise, this->parameters.minLearningRate, this->parameters.maxLearningRate);
    double norm = this->parameters.regularisationShare * this->parameters.regularisationShare;
    for (auto const& use : shares)
        norm += use.share * use.share;
    for (auto const& use : shares) {
        PairEstimate& estimate = this->estimateOf(service, use.image);
        estimate.coefficient = std::clamp(this->decayedCoefficient(estimate, now) + rate * error * use.share / norm, 0.0, this->parameters.maxCoefficient);
        estimate.observedAt = now;
        if (ratio < this->parameters.maxTailRatio)
            estimate.clearedShare = std::max(estimate.clearedShare, use.share);
    }
}

double InterferenceModel::predictedTailRatio(ImageId service, ImageCpuShares const& shares, TimePoint now) const
{
    double ratio = this->baseTailRatio(service);
    for (auto const& use : shares)
        ratio += this->interferenceCoefficient(service, use.image, now) * use.share;
    return ratio;
}

ImageCpuShare const* InterferenceModel::worstInterferer(ImageId service, ImageCpuShares const& shares, TimePoint now) const
{
    ImageCpuShare const* worst = nullptr;
    double maxAdded = 0;
    for (auto const& use : shares) {
        double const added = this->interferenceCoefficient(service, use.image, now) * use.share;
        if (added <= maxAdded)
            continue;
        maxAdded = added;
        worst = &use;
    }
    return worst;
}

double InterferenceModel::interferenceCoefficient(ImageId service, ImageId bestEffort, TimePoint now) const
{
    PairEstimate const* estimate = this->find(service, bestEffort);
    return estimate ? this->decayedCoefficient(*estimate, now) : 0;
}

double InterferenceModel::decayedCoefficient(PairEstimate const& estimate, TimePoint now) const
{
    return estimate.coefficient * std::exp2(-(now - estimate.observedAt).toSeconds() / this->parameters.coefficientHalfLife.toSeconds());
}

double InterferenceModel::baseTailRatio(ImageId service) const
{
    auto const known = this->baseTailRatios.find(service.value());
    return known == this->baseTailRatios.end() ? this->parameters.defaultBaseTailRatio : known->second;
}

InterferenceModel::PairEstimate& InterferenceModel::estimateOf(ImageId service, ImageId bestEffort)
{
    if (service.value() >= this->estimates.size())
        this->estimates.resize(service.value() + 1);
    auto& ofService = this->estimates[service.value()];
    if (bestEffort.value() >= ofService.size())
        ofService.resize(bestEffort.value() + 1);
    auto& estimate = ofService[bestEffort.value()];
    if (!estimate)
        estimate.emplace();
    return *estimate;
}

InterferenceModel::PairEstimate const* InterferenceModel::find(ImageId service, ImageId bestEffort) const
{
    if (service.value() >= this->estimates.size() || bestEffort.value() >= this->estimates[service.value()].size())
        return nullptr;
    auto const& estimate = this->estimates[service.value()][bestEffort.value()];
    return estimate ? &*estimate : nullptr;
}

double InterferenceModel::allowedShare(ImageId service, ImageId bestEffort) const
{
    PairEstimate const* estimate = this->find(service, bestEffort);
    return std::max(this->parameters.trialShare, estimate ? estimate->clearedShare * this->parameters.shareGrowthFactor : 0.0);
}

bool InterferenceModel::isCleared(ImageId service, ImageId bestEffort, double share) const
{
    PairEstimate const* estimate = this->find(service, bestEffort);
    return estimate && share <= estimate->clearedShare * this->parameters.clearedShareFactor;
}

bool InterferenceModel::isOnTrial(ImageId service, ImageId bestEffort) const
{
    PairEstimate const* estimate = this->find(service, bestEffort);
    return !estimate || estimate->clearedShare < this->parameters.provenShare;
}

double InterferenceModel::harmlessImageShare(ImageId service, TimePoint now) const
{
    double total = 0;
    double harmless = 0;
    if (service.value() >= this->estimates.size())
        return 1;
    for (auto const& estimate : this->estimates[service.value()]) {
        total += estimate ? 1 : 0;
        harmless += estimate && this->decayedCoefficient(*estimate, now) < this->parameters.significantCoefficient ? 1 : 0;
    }
    return total > 0 ? harmless / total : 1;
}

void InterferenceModel::clear()
{
    this->estimates.clear();
    this->baseTailRatios.clear();
    this->lastObservedAt.clear();
}

} // namespace cornelpond
