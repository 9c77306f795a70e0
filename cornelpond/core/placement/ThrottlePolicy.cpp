#include "cornelpond/core/placement/ThrottlePolicy.h"

#include <algorithm>

namespace cornelpond {

namespace {

    constexpr unsigned full = 100; ///< Percent.
    /// The throttle's own delay and the span of the figures: before it a change cannot be seen.
    constexpr Duration settle = Duration::milliseconds(700);

} // namespace

unsigned taskSpeedPercent(unsigned percent, double tailRatio, Duration steady)
{
    constexpr double raiseBelow = 0.7;
    constexpr double lowerAbove = 0.9;
    constexpr Duration raiseInterval = Duration::milliseconds(1500); ///< Leaves time to judge the pair at each pace.
    constexpr unsigned least = 1;
    if (tailRatio > lowerAbove && steady >= settle)
        return std::max(percent / 2, least);
    if (percent < least)
        return least;
    if (tailRatio < raiseBelow && steady >= raiseInterval)
        return std::min(percent * 3 / 2 + 1, full);
    return percent;
}

unsigned workerSpeedPercent(unsigned percent, double tailRatio, Duration steady, bool canSlow)
{
    constexpr double slowAt = 0.95;
    constexpr double easeBelow = 0.75;
    constexpr double aimAt = 0.8; ///< Harm falls about in line with what best-effort tasks use.
    constexpr double hardestCut = 0.1;
    constexpr unsigned easeStep = 25;
    constexpr unsigned least = 10; ///< Less counts as a full stop.
    if (steady < settle)
        return percent;
    unsigned next = percent;
    if (tailRatio >= slowAt && canSlow)
        next = static_cast<unsigned>(percent * std::max(aimAt / tailRatio, hardestCut));
    else if (tailRatio < easeBelow)
        next = std::min(full, percent + easeStep);
    return next < least ? 0 : next;
}

} // namespace cornelpond
