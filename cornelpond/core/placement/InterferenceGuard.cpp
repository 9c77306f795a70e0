#include "cornelpond/core/placement/InterferenceGuard.h"

#include <algorithm>

namespace cornelpond {

HarmReport measureHarm(WorkerView const& worker)
{
    constexpr unsigned atWork = 100;
    HarmReport report;
    for (auto const& [key, attempt] : worker.placed) {
        if (!attempt.isService() || attempt.stage->latencyTarget <= Duration())
            continue;
        report.hasTargets = true;
        if (attempt.phase != PlacedAttempt::Phase::Running || attempt.figure < 0 || attempt.progressPercent < atWork)
            continue;
        double const ratio = static_cast<double>(attempt.figure) / static_cast<double>(std::max<int64_t>(attempt.stage->latencyTarget.toMilliseconds(), 1));
        report.worstRatio = std::max(report.worstRatio, ratio);
    }
    return report;
}

unsigned nextThrottle(WorkerView const& worker, HarmReport const& report, TimePoint now, InterferenceLimits const& limits)
{
    unsigned const present = worker.throttle;
    if (!report.hasTargets)
        return 100;
    Duration const sinceChange = now - worker.throttleChanged;
    if (report.worstRatio >= limits.slowAt) {
        if (sinceChange < limits.settle || !present)
            return present;
        double const factor = report.worstRatio >= limits.stopAt ? limits.cutFactor : limits.slowFactor;
        auto const slowed = static_cast<unsigned>(present * factor);
        return slowed < limits.smallest ? 0 : slowed;
    }
    if (report.worstRatio < limits.easeBelow && sinceChange >= limits.easeAfter)
        return std::min(100U, present + limits.easeStep);
    return present;
}

} // namespace cornelpond
