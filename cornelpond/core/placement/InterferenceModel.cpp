#include "cornelpond/core/placement/InterferenceModel.h"

#include <algorithm>
#include <vector>

namespace cornelpond {

namespace {

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

void InterferenceModel::observe(WorkerView const& worker, TimePoint now)
{
    auto const last = this->lastJudged.find(worker.profile.id);
    if (last != this->lastJudged.end() && now - last->second < this->limits.perWorker)
        return;
    Uses uses;
    for (auto const& [key, attempt] : worker.placed) {
        if (!attempt.isBestEffort() || !hasFigure(attempt))
            continue;
        bool const isSettled = now - attempt.confirmedAt >= this->limits.settle && now - attempt.throttledAt >= this->limits.settle;
        if (!isSettled)
            return;
        uses[attempt.image] += static_cast<double>(attempt.figure) / static_cast<double>(std::max<int64_t>(worker.profile.capacity.milliCores, 1));
    }
    if (uses.empty() || now - worker.bestEffortLeft < this->limits.settle)
        return;
    this->lastJudged[worker.profile.id] = now;
    for (auto const& [key, attempt] : worker.placed) {
        if (hasTarget(attempt) && hasFigure(attempt) && attempt.progressPercent >= atWork && now - attempt.confirmedAt >= this->limits.settle)
            this->judge(attempt.image, tailRatio(attempt), uses, now);
    }
}

void InterferenceModel::judge(ImageId service, double ratio, Uses const& uses, TimePoint now)
{
    if (ratio < this->limits.clearBelow)
        this->acquit(service, uses);
    else if (ratio >= this->limits.accuseAbove)
        this->accuse(service, uses, now);
}

void InterferenceModel::acquit(ImageId service, Uses const& uses)
{
    for (auto const& [image, use] : uses) {
        Evidence& evidence = this->pairs[pairOf(service, image)];
        evidence.clearedUse = std::max(evidence.clearedUse, use);
    }
}

void InterferenceModel::accuse(ImageId service, Uses const& uses, TimePoint now)
{
    std::vector<ImageId> accused;
    for (auto const& [image, use] : uses) {
        if (use >= this->limits.leastUse && use > this->pairs[pairOf(service, image)].clearedUse * this->limits.suspectAbove)
            accused.push_back(image);
    }
    for (ImageId const image : accused) {
        Evidence& evidence = this->pairs[pairOf(service, image)];
        double const sum = this->accusationsOf(evidence, now) + 1.0 / static_cast<double>(accused.size());
        evidence.accusations = std::min(sum, this->limits.mostAccusations);
        evidence.accusedAt = now;
    }
    if (!accused.empty())
        return;
    // All are cleared for what they use: together it is too much, or the service is busier than it was.
    for (auto const& [image, use] : uses)
        this->pairs[pairOf(service, image)].clearedUse /= this->limits.growth;
}

uint64_t InterferenceModel::pairOf(ImageId service, ImageId bestEffort)
{
    constexpr unsigned half = 32;
    return (service.value() << half) | bestEffort.value();
}

InterferenceModel::Evidence const* InterferenceModel::find(ImageId service, ImageId bestEffort) const
{
    auto const found = this->pairs.find(pairOf(service, bestEffort));
    return found == this->pairs.end() ? nullptr : &found->second;
}

double InterferenceModel::accusationsOf(Evidence const& evidence, TimePoint now) const
{
    double const forgiven = (now - evidence.accusedAt).toSeconds() / this->limits.forgive.toSeconds();
    return std::max(evidence.accusations - forgiven, 0.0);
}

bool InterferenceModel::isHarmful(ImageId service, ImageId bestEffort, TimePoint now) const
{
    Evidence const* evidence = this->find(service, bestEffort);
    return evidence && evidence->accusations >= this->limits.guilt && this->accusationsOf(*evidence, now) > 0;
}

bool InterferenceModel::harmsAny(WorkerView const& worker, ImageId bestEffort, TimePoint now) const
{
    return std::any_of(worker.serviceImages.begin(), worker.serviceImages.end(), [&](auto const& entry) { return this->isHarmful(entry.image, bestEffort, now); });
}

double InterferenceModel::allowedUse(ImageId service, ImageId bestEffort, TimePoint now) const
{
    if (this->isHarmful(service, bestEffort, now))
        return 0;
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

void InterferenceModel::clear()
{
    this->pairs.clear();
    this->lastJudged.clear();
}

} // namespace cornelpond
