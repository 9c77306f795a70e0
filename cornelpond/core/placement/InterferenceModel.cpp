#include "cornelpond/core/placement/InterferenceModel.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cornelpond {

double worstTailRatio(WorkerView const& worker)
{
    double worst = 0;
    for (auto const& [key, attempt] : worker.placed) {
        if (auto const headroom = headroomOf(attempt))
            worst = std::max(worst, 1 / *headroom);
    }
    return worst;
}

InterferenceModel::InterferenceModel(InterferenceParameters parameters)
    : parameters(parameters)
{
}

namespace {

    /// What the worker's best-effort images use. Tasks that are about to end count too.
    ImageCpuShares currentShares(WorkerView const& worker)
    {
        ImageCpuShares shares;
        for (auto const& [key, attempt] : worker.placed) {
            if (!attempt.isBestEffort() || attempt.phase != PlacedAttempt::Phase::Running || attempt.latencyMsOrMilliCores < 0)
                continue;
            double const share = static_cast<double>(attempt.latencyMsOrMilliCores) / static_cast<double>(std::max<int64_t>(worker.profile.capacity.milliCores, 1));
            auto const known = std::find_if(shares.begin(), shares.end(), [image = attempt.image](auto const& use) { return use.image == image; });
            if (known == shares.end())
                shares.push_back({ attempt.image, share });
            else
                known->share += share;
        }
        return shares;
    }

    /// Of a headroom whose latency is listed in whole milliseconds.
    double roundingError(double headroom, PlacedAttempt const& attempt)
    {
        constexpr double latencyErrorMs = 0.5;
        return headroom * headroom * latencyErrorMs / static_cast<double>(std::max<int64_t>(attempt.stage->latencyTarget.toMilliseconds(), 1));
    }

} // namespace

void InterferenceModel::observe(WorkerView const& worker, TimePoint now)
{
    auto const last = this->lastObservedAt.find(worker.profile.id);
    if (worker.serviceImages.empty() || (last != this->lastObservedAt.end() && now - last->second < this->parameters.minObservationInterval))
        return;
    if (now - worker.bestEffortLeftAt < this->parameters.settleTime)
        return;
    this->lastObservedAt[worker.profile.id] = now;
    ImageCpuShares const shares = currentShares(worker);
    if (shares.empty()) {
        this->observeLoads(worker, now);
        return;
    }
    struct Loss {
        double headroom = 0;
        double variance = 0;
        unsigned count = 0;
    };
    std::map<ImageId, Loss> losses;
    for (auto const& [key, attempt] : worker.placed) {
        auto const headroom = headroomOf(attempt);
        if (!headroom || now - attempt.confirmedAt < this->parameters.settleTime)
            continue;
        HeadroomEstimate const free = this->loads.freeHeadroom(attempt, now);
        double const rounding = roundingError(*headroom, attempt);
        Loss& loss = losses[attempt.image];
        loss.headroom += free.value - *headroom;
        loss.variance += free.error * free.error + rounding * rounding;
        loss.count++;
    }
    for (auto const& [service, loss] : losses)
        this->updateEstimates(service, loss.headroom / loss.count, std::sqrt(loss.variance / loss.count), shares, now);
}

void InterferenceModel::observeLoads(WorkerView const& worker, TimePoint now)
{
    for (auto const& [key, attempt] : worker.placed) {
        auto const headroom = headroomOf(attempt);
        if (headroom && now - attempt.confirmedAt >= this->parameters.settleTime)
            this->loads.observe(attempt, *headroom, now);
    }
}

/// `lostHeadroom`: expected without interference less observed; `error`: its standard error.
void InterferenceModel::updateEstimates(ImageId service, double lostHeadroom, double error, ImageCpuShares const& shares, TimePoint now)
{
    double surprise = lostHeadroom;
    double variance = error * error;
    for (auto const& use : shares) {
        PairEstimate& estimate = this->estimateOf(service, use.image, now);
        estimate.coefficient = this->decayedCoefficient(estimate, now);
        estimate.variance = this->grownVariance(estimate, now);
        estimate.observedAt = now;
        surprise -= estimate.coefficient * use.share;
        variance += estimate.variance * use.share * use.share;
    }
    double const peakHeadroom = this->loads.peakHeadroom(service);
    for (auto const& use : shares) {
        PairEstimate& estimate = this->estimateOf(service, use.image, now);
        double const gain = estimate.variance * use.share / variance;
        estimate.coefficient = std::clamp(estimate.coefficient + gain * surprise, 0.0, this->parameters.maxCoefficient);
        estimate.variance *= 1 - gain * use.share;
        if (peakHeadroom - estimate.coefficient * use.share > 1 / this->parameters.maxTailRatio)
            estimate.clearedShare = std::max(estimate.clearedShare, use.share);
    }
}

double InterferenceModel::predictedTailRatio(ImageId service, ImageCpuShares const& shares, TimePoint now) const
{
    constexpr double minHeadroom = 0.02;
    double headroom = this->loads.peakHeadroom(service);
    double variance = 0;
    for (auto const& use : shares) {
        PairEstimate const* estimate = this->find(service, use.image);
        if (!estimate)
            continue;
        headroom -= this->decayedCoefficient(*estimate, now) * use.share;
        variance += this->grownVariance(*estimate, now) * use.share * use.share;
    }
    return 1 / std::max(headroom - this->parameters.predictedErrors * std::sqrt(variance), minHeadroom);
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

double InterferenceModel::grownVariance(PairEstimate const& estimate, TimePoint now) const
{
    double const grown = estimate.variance + (now - estimate.observedAt).toSeconds() * this->parameters.errorVarianceGrowth;
    return std::min(grown, this->parameters.initialError * this->parameters.initialError);
}

InterferenceModel::PairEstimate& InterferenceModel::estimateOf(ImageId service, ImageId bestEffort, TimePoint now)
{
    if (service.value() >= this->estimates.size())
        this->estimates.resize(service.value() + 1);
    auto& ofService = this->estimates[service.value()];
    if (bestEffort.value() >= ofService.size())
        ofService.resize(bestEffort.value() + 1);
    auto& estimate = ofService[bestEffort.value()];
    if (!estimate)
        estimate = PairEstimate { 0, this->parameters.initialError * this->parameters.initialError, 0, now };
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

std::vector<PairFigures> InterferenceModel::pairs(TimePoint now) const
{
    std::vector<PairFigures> figures;
    for (size_t service = 0; service < this->estimates.size(); service++) {
        for (size_t bestEffort = 0; bestEffort < this->estimates[service].size(); bestEffort++) {
            if (auto const& estimate = this->estimates[service][bestEffort])
                figures.push_back({ ImageId(service), ImageId(bestEffort), this->decayedCoefficient(*estimate, now), estimate->clearedShare, estimate->observedAt });
        }
    }
    return figures;
}

void InterferenceModel::restore(PairFigures const& pair, TimePoint now)
{
    if (this->find(pair.service, pair.bestEffort))
        return;
    double const remaining = std::exp2(-(now - pair.observedAt).toSeconds() / this->parameters.coefficientHalfLife.toSeconds());
    PairEstimate& estimate = this->estimateOf(pair.service, pair.bestEffort, now);
    estimate.coefficient = std::clamp(pair.coefficient * remaining, 0.0, this->parameters.maxCoefficient);
    estimate.clearedShare = std::clamp(pair.clearedShare * remaining, 0.0, 1.0);
    estimate.variance = 1;
    estimate.observedAt = pair.observedAt;
    estimate.variance = this->grownVariance(estimate, now);
    estimate.observedAt = now;
}

void InterferenceModel::clear()
{
    this->estimates.clear();
    this->loads.clear();
    this->lastObservedAt.clear();
}

} // namespace cornelpond
