#pragma once

// Estimates by best-effort image how much of the requested cores its tasks actually use.
//
// Designed for: best-effort tasks that request far more than they use, on workers that would count as full by the
// requests.
//
// Example:
//   CpuUsageModel cpuUsage;
//   cpuUsage.observe(worker, now);
//   double const milliCores = cpuUsage.expectedMilliCores(image, stage.need.milliCores);

#include "cornelpond/core/dispatch/WorkerView.h"

#include <vector>

namespace cornelpond {

struct CpuUsageParameters {
    /// The figures cover the last half second; a task that started or changed speed more recently is not observed.
    Duration settleTime = Duration::milliseconds(900);
    /// Weights of one observation. On a worker with too few cores left an image uses less than it could, so higher
    /// figures have more weight.
    double raiseWeight = 0.3;
    double lowerWeight = 0.03;
    double minShare = 0.2; ///< Lower figures are raised to it: they come from workers without cores to spare.
};

class CpuUsageModel {
public:
    explicit CpuUsageModel(CpuUsageParameters parameters = CpuUsageParameters());

    /// Updates the estimates from the worker's latest listing.
    void observe(WorkerView const& worker, TimePoint now);

    /// Expected use of tasks of the image that request the given cores; all of them without observations of the image.
    double expectedMilliCores(ImageId image, int64_t requestedMilliCores) const;

    void clear() { this->usedShares.clear(); }

private:
    CpuUsageParameters parameters;
    std::vector<double> usedShares; ///< Share of the requested cores that is used, by the image's number; 0: not observed.
};

} // namespace cornelpond
