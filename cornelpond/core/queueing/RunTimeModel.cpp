#include "cornelpond/core/queueing/RunTimeModel.h"

#include <algorithm>

namespace cornelpond {

namespace {

    constexpr double quantile = 0.9;
    constexpr double step = 0.02; ///< Of the stretch, by one observation: some fifty of them double it.
    constexpr double maxStretch = 10;

    /// Moves the estimate of the quantile up for an observation above it and down for one below it, in the proportion in
    /// which the two balance at the quantile.
    void learn(double& stretch, double observed)
    {
        double const change = observed > stretch ? quantile : quantile - 1;
        stretch = std::clamp(stretch * (1 + step * change), 1.0, maxStretch);
    }

} // namespace

void RunTimeModel::observe(StageSpec const& stage, Duration took)
{
    if (stage.isService || stage.estimatedRunTime <= Duration())
        return;
    learn(stage.isBestEffort ? this->bestEffortStretch : this->shortStretch, took.toSeconds() / stage.estimatedRunTime.toSeconds());
}

double RunTimeModel::stretchOf(StageSpec const& stage) const
{
    if (stage.isService)
        return 1;
    return stage.isBestEffort ? this->bestEffortStretch : this->shortStretch;
}

} // namespace cornelpond
