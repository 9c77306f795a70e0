#pragma once

// Estimates what latency headroom service tasks have when no best-effort task interferes: now, by job, and at the peak of
// their load, by image.
//
// Headroom: a service's latency target divided by its tail latency; 1 at the target. Tail latency grows like 1 / (1 - load), so
// headroom falls in proportion to the load, whatever adds to it. The tasks of one job share its users, and with them the swing
// of its load.
//
// Designed for: services whose load swings by half within ten seconds, a different phase for each job, on hundreds of workers of
// which some have no best-effort tasks.
//
// Example:
//   ServiceLoadModel loads;
//   loads.observe(attempt, headroomOf(attempt), now); // a task without best-effort tasks beside it
//   double const interference = loads.freeHeadroom(other, now).value - headroomOf(other);

#include "cornelpond/core/dispatch/WorkerView.h"

#include <map>
#include <unordered_map>

namespace cornelpond {

struct ServiceLoadParameters {
    double defaultHeadroom = 2; ///< Assumed of a service image until it was observed.
    double minPeakHeadroom = 1; ///< A lower peak needs no interference to be over the target.
    double sampleWeight = 0.3;
    double maxStepShare = 0.08; ///< Of the estimate, per sample: a task on a slow worker says little about its job.
    double imageSampleWeight = 0.02;
    double figureError = 0.1; ///< Standard error of a fresh estimate by job.
    double swingError = 0.5; ///< Standard error where only the image's mean is known.
    Duration freshness = Duration::milliseconds(1500); ///< An older estimate by job says nothing about its load now.
    Duration peakWindow = Duration::seconds(10); ///< The lowest headroom of the last one to two windows counts as the peak of load.
};

/// An estimate and its standard error.
struct HeadroomEstimate {
    double value = 0;
    double error = 0;
};

/// Target over tail latency of a service task that serves and has both; unset for others.
std::optional<double> headroomOf(PlacedAttempt const& attempt);

class ServiceLoadModel {
public:
    explicit ServiceLoadModel(ServiceLoadParameters parameters = ServiceLoadParameters());

    /// Takes in a figure of a task without best-effort tasks beside it.
    void observe(PlacedAttempt const& attempt, double headroom, TimePoint now);

    /// Expected headroom of the task now, without interference.
    HeadroomEstimate freeHeadroom(PlacedAttempt const& attempt, TimePoint now) const;

    /// Expected headroom of the image's tasks at the peak of their load, without interference.
    double peakHeadroom(ImageId service) const;

    void clear();

private:
    struct JobLoad {
        double headroom = 0;
        TimePoint observedAt;
        unsigned samples = 0; ///< Of the present stretch of fresh ones.
    };

    struct ImageLoadHistory {
        double mean = 0;
        double lowest = 0; ///< Of the present window.
        double lowestBefore = 0; ///< Of the window before.
        TimePoint windowEnd;
    };

    void observeImage(ImageId image, double headroom, TimePoint now);
    void forgetIdleJobs(TimePoint now);

    ServiceLoadParameters parameters;
    std::map<JobId, JobLoad> jobs;
    std::unordered_map<uint64_t, ImageLoadHistory> images; ///< By service image.
    TimePoint nextForgetting;
};

} // namespace cornelpond
