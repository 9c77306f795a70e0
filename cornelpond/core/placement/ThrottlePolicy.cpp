#include "cornelpond/core/placement/ThrottlePolicy.h"

#include <algorithm>

namespace cornelpond {

namespace {

    constexpr unsigned maxPercent = 100;
    /// Delay of the throttle itself plus the time that the figures cover: the effect of a change shows no earlier.
    constexpr Duration effectDelay = Duration::milliseconds(700);

} // namespace

unsigned taskSpeedPercent(unsigned percent, double tailRatio, Duration sinceChange)
{
    constexpr double raiseBelowTailRatio = 0.7;
    constexpr double lowerAboveTailRatio = 0.9;
    constexpr Duration raiseInterval = Duration::milliseconds(1500); ///< Leaves time to observe the pair at each speed.
    constexpr unsigned minPercent = 1;
    if (tailRatio > lowerAboveTailRatio && sinceChange >= effectDelay)
        return std::max(percent / 2, minPercent);
    if (percent < minPercent)
        return minPercent;
    if (tailRatio < raiseBelowTailRatio && sinceChange >= raiseInterval)
        return std::min(percent * 3 / 2 + 1, maxPercent);
    return percent;
}

unsigned workerSpeedPercent(unsigned percent, double tailRatio, Duration sinceChange, bool canLowerSpeed)
{
    constexpr double lowerFromTailRatio = 0.95;
    constexpr double raiseBelowTailRatio = 0.75;
    constexpr double targetTailRatio = 0.8; ///< Interference falls roughly in proportion to the use of best-effort tasks.
    constexpr double minFactor = 0.1;
    constexpr unsigned raiseStepPercent = 25;
    constexpr unsigned minPercent = 10; ///< Lower speeds become 0.
    if (sinceChange < effectDelay)
        return percent;
    unsigned next = percent;
    if (tailRatio >= lowerFromTailRatio && canLowerSpeed)
        next = static_cast<unsigned>(percent * std::max(targetTailRatio / tailRatio, minFactor));
    else if (tailRatio < raiseBelowTailRatio)
        next = std::min(maxPercent, percent + raiseStepPercent);
    return next < minPercent ? 0 : next;
}

} // namespace cornelpond
