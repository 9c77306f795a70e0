#include "cornelpond/core/placement/CpuUsageModel.h"

#include <algorithm>

namespace cornelpond {

CpuUsageModel::CpuUsageModel(CpuUsageParameters parameters)
    : parameters(parameters)
{
}

void CpuUsageModel::observe(WorkerView const& worker, TimePoint now)
{
    for (auto const& [key, attempt] : worker.placed) {
        bool const isAtFullSpeed = attempt.targetSpeedPercent == fullSpeedPercent && attempt.acknowledgedSpeedPercent == fullSpeedPercent && now - attempt.throttleConfirmedAt >= this->parameters.settleTime;
        bool const isMeasured = attempt.phase == PlacedAttempt::Phase::Running && attempt.latencyMsOrMilliCores >= 0 && now - attempt.confirmedAt >= this->parameters.settleTime;
        if (!attempt.isBestEffort() || !isAtFullSpeed || !isMeasured || !attempt.stage->need.milliCores)
            continue;
        double const share = std::clamp(static_cast<double>(attempt.latencyMsOrMilliCores) / static_cast<double>(attempt.stage->need.milliCores), this->parameters.minShare, 1.0);
        if (attempt.image.value() >= this->usedShares.size())
            this->usedShares.resize(attempt.image.value() + 1);
        double& known = this->usedShares[attempt.image.value()];
        if (known <= 0)
            known = share;
        else
            known += (share - known) * (share > known ? this->parameters.raiseWeight : this->parameters.lowerWeight);
    }
}

double CpuUsageModel::expectedMilliCores(ImageId image, int64_t requestedMilliCores) const
{
    double const known = image.value() < this->usedShares.size() ? this->usedShares[image.value()] : 0;
    return static_cast<double>(requestedMilliCores) * (known > 0 ? known : 1.0);
}

} // namespace cornelpond
