#pragma once

// Learns which best-effort images harm which service images, from the rough figures that workers list.
//
// Harm is far from even: most pairs of images hardly notice each other, some multiply the service's tail
// latency at a few percent of a worker. It grows with what the best-effort image uses. So each pair keeps the
// highest use at which the service was seen well under its target: about twice as much may be placed next. A
// service over its target accuses the images beside it that use more than they were cleared for.
//
// Load pattern it answers: many best-effort tasks beside service tasks whose load swings, with figures that
// lag half a second.
//
// Example:
//   InterferenceModel model;
//   model.observe(worker, now);
//   if (model.isHarmful(gateWatch, seasonPlan, now))
//       placeElsewhere();

#include "cornelpond/core/dispatch/WorkerView.h"

#include <map>
#include <unordered_map>

namespace cornelpond {

struct InterferenceLimits {
    double clearBelow = 0.75; ///< Tail over target under which the images beside a service task are cleared,
    double accuseAbove = 1.0; ///< and over which they are accused.
    /// Headroom under the target is about as much again as what was used up when a pair was cleared.
    double growth = 2.0;
    double suspectAbove = 1.25; ///< Of what it was cleared for: less is within the error of the figures.
    double leastUse = 0.005; ///< Of a worker's cores: an image that used less proves nothing and is not to blame.
    double trialUse = 0.12; ///< Of a worker's cores that an image may take beside a service it was never seen with.
    double provenUse = 0.1; ///< A pair that was cleared for less is on trial.
    double guilt = 1.0; ///< Accusations, shared among the images beside, that make a pair harmful.
    double mostAccusations = 2.0;
    Duration forgive = Duration::seconds(30); ///< One accusation is forgotten in this time.
    /// The figures cover the last half second; what changed within it is not judged.
    Duration settle = Duration::milliseconds(900);
    Duration perWorker = Duration::milliseconds(400); ///< Between two judgements from one worker.
};

/// Worst tail over target of the worker's service tasks at work; 0 without any.
double worstTailRatio(WorkerView const& worker);

class InterferenceModel {
public:
    explicit InterferenceModel(InterferenceLimits limits = InterferenceLimits());

    /// Takes in what the worker has just listed.
    void observe(WorkerView const& worker, TimePoint now);

    bool isHarmful(ImageId service, ImageId bestEffort, TimePoint now) const;

    /// True when some service task on the worker is harmed by the image.
    bool harmsAny(WorkerView const& worker, ImageId bestEffort, TimePoint now) const;

    /// Share of a worker's cores that the image may take beside the service; 0 for a harmful pair.
    double allowedUse(ImageId service, ImageId bestEffort, TimePoint now) const;

    /// True when the service was seen well under its target beside about so much of the image.
    bool isCleared(ImageId service, ImageId bestEffort, double use) const;

    /// True while little is known of the pair.
    bool isOnTrial(ImageId service, ImageId bestEffort) const;

    void clear();

private:
    struct Evidence {
        double clearedUse = 0;
        double accusations = 0;
        TimePoint accusedAt;
    };

    using Uses = std::map<ImageId, double>; ///< Share of a worker's cores by best-effort image.

    static uint64_t pairOf(ImageId service, ImageId bestEffort);
    Evidence const* find(ImageId service, ImageId bestEffort) const;
    double accusationsOf(Evidence const& evidence, TimePoint now) const;
    void judge(ImageId service, double ratio, Uses const& uses, TimePoint now);
    void acquit(ImageId service, Uses const& uses);
    void accuse(ImageId service, Uses const& uses, TimePoint now);

    InterferenceLimits limits;
    std::unordered_map<uint64_t, Evidence> pairs; ///< By pairOf.
    std::map<WorkerId, TimePoint> lastJudged;
};

} // namespace cornelpond
