#pragma once

// Estimates how much each best-effort image interferes with each service image, from the rough figures that workers
// list.
//
// A service's headroom (see ServiceLoadModel) is modelled as the headroom that its load leaves, less, for each best-effort
// image on the same worker, a coefficient times the share of the worker's cores that the image uses. Most pairs of images
// hardly interfere, some multiply the tail latency at a few percent of a worker. Each listing moves the estimates of the pairs
// on that worker towards what it shows, the least certain ones most (a Kalman filter with independent coefficients).
//
// Predictions are made for the peak of the service's load, so that its swing is covered, and include half a standard error.
//
// Designed for: many best-effort tasks beside service tasks whose load swings, with figures that cover the last half second.
//
// Example:
//   InterferenceModel model;
//   model.observe(worker, now);
//   if (model.predictedTailRatio(gateWatch, shares, now) > model.modelParameters().maxTailRatio)
//       placeElsewhere();

#include "cornelpond/core/dispatch/WorkerView.h"
#include "cornelpond/core/placement/ServiceLoadModel.h"

#include <map>
#include <optional>
#include <vector>

namespace cornelpond {

/// CPU use of a best-effort image on a worker, as a share of the worker's cores.
struct ImageCpuShare {
    ImageId image;
    double share = 0;
};

using ImageCpuShares = std::vector<ImageCpuShare>; ///< A few; each image once.

struct InterferenceParameters {
    /// Best-effort tasks are placed up to this prediction of tail latency over target, at the peak of the service's load.
    double maxTailRatio = 0.92;
    double initialError = 8; ///< Standard error of a coefficient without observations.
    double errorVarianceGrowth = 0.5; ///< Per second without observations.
    double predictedErrors = 0.5; ///< Standard errors of the coefficients that a prediction allows for.
    double maxCoefficient = 60;
    double significantCoefficient = 3; ///< With more, no more than a task or two fit beside the service on a worker.
    /// An image may next use this many times the share at which it was observed to be harmless beside the service.
    double shareGrowthFactor = 2.0;
    double trialShare = 0.12; ///< Share of a worker's cores that an image may use beside a service even without observations.
    double provenShare = 0.1; ///< A pair observed to be harmless only at a smaller share is on trial.
    double clearedShareFactor = 1.25; ///< Up to this many times the harmless share is within the error of the figures.
    Duration coefficientHalfLife = Duration::seconds(120); ///< Decay of pairs that are no longer observed, so that they are tried again.
    /// The figures cover the last half second: a task that has left since is missing from them.
    Duration settleTime = Duration::milliseconds(700);
    Duration minObservationInterval = Duration::milliseconds(400); ///< Per worker.
};

/// What is known about a pair of images, for a later leader.
struct PairFigures {
    ImageId service;
    ImageId bestEffort;
    double coefficient = 0;
    double clearedShare = 0;
    TimePoint observedAt;
};

/// Highest tail ratio of the worker's service tasks that are serving and have a latency target; 0 without any.
double worstTailRatio(WorkerView const& worker);

class InterferenceModel {
public:
    explicit InterferenceModel(InterferenceParameters parameters = InterferenceParameters());

    /// Updates the estimates from the worker's latest listing.
    void observe(WorkerView const& worker, TimePoint now);

    /// Expected tail latency over target of the service, at the peak of its load, on a worker where best-effort images use the
    /// given shares.
    double predictedTailRatio(ImageId service, ImageCpuShares const& shares, TimePoint now) const;

    /// The entry of `shares` that takes most of the service's headroom; null when none takes any.
    ImageCpuShare const* worstInterferer(ImageId service, ImageCpuShares const& shares, TimePoint now) const;

    /// Headroom that the image takes from the service per whole worker of CPU that it uses; 0 without observations.
    double interferenceCoefficient(ImageId service, ImageId bestEffort, TimePoint now) const;

    /// Largest share of a worker's cores that the image may use next beside the service, whatever the prediction.
    double allowedShare(ImageId service, ImageId bestEffort) const;

    /// True when the service was observed well under its target while the image used about `share` of the cores.
    bool isCleared(ImageId service, ImageId bestEffort, double share) const;

    bool isKnown(ImageId service, ImageId bestEffort) const { return this->find(service, bestEffort); }

    /// True while there is little evidence that the image is harmless to the service.
    bool isOnTrial(ImageId service, ImageId bestEffort) const;

    /// Share of the best-effort images observed beside the service that hardly interfere with it; 1 without any.
    double harmlessImageShare(ImageId service, TimePoint now) const;

    ServiceLoadModel const& serviceLoads() const { return this->loads; }

    /// Of all pairs observed or restored.
    std::vector<PairFigures> pairs(TimePoint now) const;
    /// Takes in what an earlier leader knew, unless the pair was observed here. `observedAt` may lie before this host started.
    void restore(PairFigures const& pair, TimePoint now);

    InterferenceParameters const& modelParameters() const { return this->parameters; }

    void clear();

private:
    struct PairEstimate {
        double coefficient = 0;
        double variance = 0; ///< Of the coefficient.
        double clearedShare = 0; ///< Highest share at which the pair kept below maxTailRatio.
        TimePoint observedAt;
    };

    PairEstimate& estimateOf(ImageId service, ImageId bestEffort, TimePoint now);
    PairEstimate const* find(ImageId service, ImageId bestEffort) const;
    double decayedCoefficient(PairEstimate const& estimate, TimePoint now) const;
    double grownVariance(PairEstimate const& estimate, TimePoint now) const;
    void observeLoads(WorkerView const& worker, TimePoint now);
    void updateEstimates(ImageId service, double lostHeadroom, double error, ImageCpuShares const& shares, TimePoint now);

    InterferenceParameters parameters;
    ServiceLoadModel loads;
    std::vector<std::vector<std::optional<PairEstimate>>> estimates; ///< By the numbers of the service image and the best-effort image.
    std::map<WorkerId, TimePoint> lastObservedAt;
};

} // namespace cornelpond
