#include "cornelpond/core/placement/ThrottlePolicy.h"

#include <algorithm>
#include <numeric>

namespace cornelpond {

namespace {

    constexpr unsigned maxPercent = 100;
    /// Delay of the throttle itself plus the time that the figures cover: the effect of a change shows no earlier.
    constexpr Duration effectDelay = Duration::milliseconds(700);
    constexpr Duration maxTimeOverTarget = Duration::milliseconds(600); ///< After it, one listing shows whether the first measure helped.

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

std::vector<unsigned> imageSpeedPercents(std::vector<ImageSpeed> const& images, double tailRatio, Duration timeOverTarget, bool isEvicting)
{
    constexpr double lowerFromTailRatio = 0.95;
    constexpr double raiseBelowTailRatio = 0.75;
    constexpr double restoredHeadroom = 1.25; ///< Tail latency at four fifths of the target.
    constexpr double noticeableLoss = 0.05; ///< Smaller ones are within the error of the figures.
    constexpr unsigned raiseStepPercent = 50;
    constexpr unsigned minPercent = 10; ///< Lower speeds become 0.
    std::vector<unsigned> next;
    next.reserve(images.size());
    for (auto const& image : images)
        next.push_back(image.percent);
    if (tailRatio >= 1 && timeOverTarget >= maxTimeOverTarget)
        return std::vector<unsigned>(images.size(), 0);
    bool const isEffectPending = isEvicting || std::any_of(images.begin(), images.end(), [](auto const& image) { return image.percent < maxPercent && image.sinceChange < effectDelay; });
    if (tailRatio >= lowerFromTailRatio && !isEffectPending) {
        std::vector<size_t> order(images.size());
        std::iota(order.begin(), order.end(), size_t(0));
        std::stable_sort(order.begin(), order.end(), [&](size_t left, size_t right) { return images[left].lostHeadroom > images[right].lostHeadroom; });
        double missing = restoredHeadroom - 1 / tailRatio;
        for (size_t i : order) {
            if (missing <= 0 || images[i].lostHeadroom < noticeableLoss)
                break;
            double const kept = std::max(1 - missing / images[i].lostHeadroom, 0.0);
            next[i] = static_cast<unsigned>(images[i].percent * kept);
            next[i] = next[i] < minPercent ? 0 : next[i];
            missing -= images[i].lostHeadroom;
        }
    }
    if (tailRatio < raiseBelowTailRatio) {
        for (size_t i = 0; i < images.size(); i++)
            next[i] = images[i].sinceChange >= effectDelay ? std::min(images[i].percent + raiseStepPercent, maxPercent) : images[i].percent;
    }
    return next;
}

} // namespace cornelpond
