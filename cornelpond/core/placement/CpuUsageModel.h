#pragma once

// Learns how much of the cores that a best-effort image asks for its tasks really use.
//
// Load pattern it answers: best-effort tasks whose declared needs are well above their use, on workers that
// would be taken for full by what was declared.
//
// Example:
//   ImageUse use;
//   use.observe(worker, now);
//   double const milliCores = use.expected(image, stage.need.milliCores);

#include "cornelpond/core/dispatch/WorkerView.h"

#include <unordered_map>

namespace cornelpond {

struct CpuUsageParameters {
    /// The figures cover the last half second; a task that just started or was slowed says nothing yet.
    Duration settleTime = Duration::milliseconds(900);
    /// Weights of one figure: a worker that has too little left shows less than the image would use, so that
    /// higher figures count for more.
    double raiseWeight = 0.3;
    double lowerWeight = 0.03;
    double minShare = 0.2; ///< Less is taken for a worker that has nothing left to give.
};

class CpuUsageModel {
public:
    explicit CpuUsageModel(CpuUsageParameters limits = CpuUsageParameters());

    /// Takes in what the worker has just listed.
    void observe(WorkerView const& worker, TimePoint now);

    /// Of what was asked for; all of it for an image that was not seen at work.
    double expectedMilliCores(ImageId image, int64_t askedMilliCores) const;

    void clear() { this->usedShares.clear(); }

private:
    CpuUsageParameters parameters;
    std::unordered_map<uint64_t, double> usedShares; ///< Used of the asked cores, by image.
};

} // namespace cornelpond
