#pragma once

// Estimates how much each best-effort image interferes with each service image, from the rough figures that workers
// list.
//
// Tail ratio: a service's tail latency divided by its latency target. It is modelled as a base plus, for each
// best-effort image on the same worker, a coefficient times the share of the worker's cores that the image uses.
// Most pairs of images hardly interfere, some multiply the tail at a few percent of a worker. Each listing moves the
// estimates of the pairs on that worker towards what it shows (normalised least mean squares): by a small step
// within the noise of the figures, by a large one beyond it.
//
// Designed for: many best-effort tasks beside service tasks whose load fluctuates, with figures that lag by half a
// second.
//
// Example:
//   InterferenceModel model;
//   model.observe(worker, now);
//   if (model.predictedTailRatio(gateWatch, shares, now) > model.modelParameters().maxTailRatio)
//       placeElsewhere();

#include "cornelpond/core/dispatch/WorkerView.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cornelpond {

/// CPU use of a best-effort image on a worker, as a share of the worker's cores.
struct ImageCpuShare {
    ImageId image;
    double share = 0;
};

using ImageCpuShares = std::vector<ImageCpuShare>; ///< A few; each image once.

struct InterferenceParameters {
    double defaultBaseTailRatio = 0.5; ///< Assumed of a service until it was observed without best-effort tasks.
    double maxTailRatio = 0.65; ///< Best-effort tasks are placed up to this prediction; the rest is headroom for load changes.
    double baseLearningRate = 0.05; ///< Weight of one observation of a service without best-effort tasks.
    /// The learning rate is the error of the predicted tail ratio over this noise, within the two bounds below.
    double tailRatioNoise = 0.35;
    double minLearningRate = 0.15;
    double maxLearningRate = 0.9;
    double regularisationShare = 0.03; ///< Share of a worker's cores: observations at less use have less weight.
    double maxCoefficient = 60;
    double significantCoefficient = 1.5; ///< With more, no more than a task or two fit beside the service on a worker.
    /// An image may next use this many times the share at which it was observed to be harmless beside the service.
    double shareGrowthFactor = 2.0;
    double trialShare = 0.12; ///< Share of a worker's cores that an image may use beside a service even without observations.
    double provenShare = 0.1; ///< A pair observed to be harmless only at a smaller share is on trial.
    double clearedShareFactor = 1.25; ///< Up to this many times the harmless share is within the error of the figures.
    Duration coefficientHalfLife = Duration::seconds(20); ///< Decay of pairs that are no longer observed, so that they are tried again.
    /// The figures cover the last half second; a worker that changed more recently than this is not observed.
    Duration settleTime = Duration::milliseconds(900);
    Duration minObservationInterval = Duration::milliseconds(400); ///< Per worker.
};

/// Highest tail ratio of the worker's service tasks that are serving and have a latency target; 0 without any.
double worstTailRatio(WorkerView const& worker);

class InterferenceModel {
public:
    explicit InterferenceModel(InterferenceParameters parameters = InterferenceParameters());

    /// Updates the estimates from the worker's latest listing.
    void observe(WorkerView const& worker, TimePoint now);

    /// Expected tail ratio of the service on a worker where best-effort images use the given shares.
    double predictedTailRatio(ImageId service, ImageCpuShares const& shares, TimePoint now) const;

    /// The entry of `shares` that adds most to the service's tail ratio; null when none adds to it.
    ImageCpuShare const* worstInterferer(ImageId service, ImageCpuShares const& shares, TimePoint now) const;

    /// Increase of the service's tail ratio per whole worker of CPU that the image uses; 0 without observations.
    double interferenceCoefficient(ImageId service, ImageId bestEffort, TimePoint now) const;

    /// Largest share of a worker's cores that the image may use next beside the service, whatever the prediction.
    double allowedShare(ImageId service, ImageId bestEffort) const;

    /// True when the service was observed well under its target while the image used about `share` of the cores.
    bool isCleared(ImageId service, ImageId bestEffort, double share) const;

    /// True while there is little evidence that the image is harmless to the service.
    bool isOnTrial(ImageId service, ImageId bestEffort) const;

    /// Share of the best-effort images observed beside the service that hardly interfere with it; 1 without any.
    double harmlessImageShare(ImageId service, TimePoint now) const;

    InterferenceParameters const& modelParameters() const { return this->parameters; }

    void clear();

private:
    struct PairEstimate {
        double coefficient = 0;
        double clearedShare = 0; ///< Highest share at which the service was observed below maxTailRatio.
        TimePoint observedAt;
    };

    PairEstimate& estimateOf(ImageId service, ImageId bestEffort);
    PairEstimate const* find(ImageId service, ImageId bestEffort) const;
    double decayedCoefficient(PairEstimate const& estimate, TimePoint now) const;
    double baseTailRatio(ImageId service) const;
    void updateEstimates(ImageId service, double ratio, ImageCpuShares const& shares, TimePoint now);

    InterferenceParameters parameters;
    std::vector<std::vector<std::optional<PairEstimate>>> estimates; ///< By the numbers of the service image and the best-effort image.
    std::unordered_map<uint64_t, double> baseTailRatios; ///< Without best-effort tasks, by service image.
    std::map<WorkerId, TimePoint> lastObservedAt;
};

} // namespace cornelpond
