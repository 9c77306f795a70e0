#pragma once

// Learns how much which best-effort images harm which service images, from the rough figures that workers list.
//
// A service's tail latency over its target is taken as a base plus, for each best-effort image beside it, a harm
// times the share of the worker's cores that the image uses. Most pairs hardly notice each other, some multiply
// the tail at a few percent of a worker. Each listing moves the estimates of the pairs on that worker towards
// what it shows (normalised least mean squares): by little within the noise of the figures, by much beyond it.
//
// Load pattern it answers: many best-effort tasks beside service tasks whose load swings, with figures that
// lag half a second.
//
// Example:
//   InterferenceModel model;
//   model.observe(worker, now);
//   if (model.predictedTail(gateWatch, uses, now) > limits.mostTail)
//       placeElsewhere();

#include "cornelpond/core/dispatch/WorkerView.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace cornelpond {

/// What a best-effort image uses on a worker, as a share of the worker's cores.
struct ImageCpuShare {
    ImageId image;
    double share = 0;
};

using ImageCpuShares = std::vector<ImageCpuShare>; ///< A handful; each image once.

struct InterferenceParameters {
    double defaultBaseTailRatio = 0.5; ///< Tail over target that a service is taken to have before it was seen alone.
    double maxTailRatio = 0.65; ///< Best-effort tasks are placed up to this predicted tail; the rest is for swings of load.
    double baseLearningRate = 0.05; ///< Weight of one figure of a service that nothing disturbs.
    double tailRatioNoise = 0.35; ///< Of a tail over target: an error of this size is believed fully,
    double minLearningRate = 0.15; ///< and one within the noise by so much.
    double maxLearningRate = 0.9;
    double regularisationShare = 0.03; ///< Of a worker's cores: what is learned at less use counts for less.
    double maxCoefficient = 60;
    double significantCoefficient = 1.5; ///< Of a pair that rules out more than a task or two on a worker.
    /// An image may next take this many times the use that it was seen harmless at beside the service.
    double shareGrowthFactor = 2.0;
    double trialShare = 0.12; ///< Of a worker's cores that an image may take beside a service it was never seen with.
    double provenShare = 0.1; ///< A pair that was seen harmless at less is on trial.
    double clearedShareFactor = 1.25; ///< Of the use it was seen harmless at: less is within the error of the figures.
    Duration coefficientHalfLife = Duration::seconds(20); ///< Of a harm that is not seen any more, so that it is tried again.
    /// The figures cover the last half second; what changed within it is not judged.
    Duration settleTime = Duration::milliseconds(900);
    Duration minObservationInterval = Duration::milliseconds(400); ///< Between two judgements from one worker.
};

/// Worst tail over target of the worker's service tasks at work; 0 without any.
double worstTailRatio(WorkerView const& worker);

class InterferenceModel {
public:
    explicit InterferenceModel(InterferenceParameters limits = InterferenceParameters());

    /// Takes in what the worker has just listed.
    void observe(WorkerView const& worker, TimePoint now);

    /// Tail over target of the service beside such use of its worker.
    double predictedTailRatio(ImageId service, ImageCpuShares const& uses, TimePoint now) const;

    /// The use of which the service's tail suffers most; null where none adds to it.
    ImageCpuShare const* worstInterferer(ImageId service, ImageCpuShares const& uses, TimePoint now) const;

    /// Growth of the service's tail over target for each whole worker that the image uses.
    double interferenceCoefficient(ImageId service, ImageId bestEffort, TimePoint now) const;

    /// Share of a worker's cores that the image may take next beside the service, whatever else is there.
    double allowedShare(ImageId service, ImageId bestEffort) const;

    /// True when the service was seen well under its target beside about so much of the image.
    bool isCleared(ImageId service, ImageId bestEffort, double use) const;

    /// True while little is known of the pair.
    bool isOnTrial(ImageId service, ImageId bestEffort) const;

    /// Share of the best-effort images seen so far that hardly harm the service.
    double harmlessImageShare(ImageId service, TimePoint now) const;

    InterferenceParameters const& modelParameters() const { return this->parameters; }

    void clear();

private:
    struct PairEstimate {
        double coefficient = 0;
        double clearedShare = 0; ///< The highest at which the service was seen well under its target.
        TimePoint observedAt;
    };

    static uint64_t pairKey(ImageId service, ImageId bestEffort);
    static ImageId serviceOfKey(uint64_t pair);
    PairEstimate const* find(ImageId service, ImageId bestEffort) const;
    double decayedCoefficient(PairEstimate const& evidence, TimePoint now) const;
    double baseTailRatio(ImageId service) const;
    void updateEstimates(ImageId service, double ratio, ImageCpuShares const& uses, TimePoint now);

    InterferenceParameters parameters;
    std::unordered_map<uint64_t, PairEstimate> estimates; ///< By pairOf.
    std::unordered_map<uint64_t, double> baseTailRatios; ///< Tail over target without best-effort tasks, by service image.
    std::map<WorkerId, TimePoint> lastObservedAt;
};

} // namespace cornelpond
