#include "testing/soak/FaultPlan.h"

#include "cornelpond/ports/Random.h"

#include <algorithm>
#include <array>

namespace cornelpond {

namespace {

    constexpr std::array<std::string_view, 17> names { "KillHost", "StopHost", "PauseHost", "WipeHost", "TearJournal", "ReloadHost", "ResetLinks", "SilenceLinks", "CutOneWay", "SlowLinks",
        "CrashWorker", "CutWorker", "SilenceWorker", "DrainWorker", "LateOrders", "CancelWave", "RaceOperators" };

    constexpr Duration minGap = Duration::milliseconds(150);
    constexpr Duration gapSpread = Duration::milliseconds(1200);
    constexpr Duration minDuration = Duration::milliseconds(300);
    constexpr Duration durationSpread = Duration::milliseconds(3500);
    /// Time after a fault in which the host catches up, before the next control host may fail.
    constexpr Duration catchUpTime = Duration::seconds(4);

    Duration below(Random& random, Duration bound)
    {
        return Duration::microseconds(static_cast<int64_t>(random.below(static_cast<uint64_t>(bound.toMicroseconds()))));
    }

} // namespace

std::string_view faultName(FaultKind kind)
{
    return names.at(static_cast<size_t>(kind));
}

bool disruptsControlHost(FaultKind kind)
{
    constexpr std::array<FaultKind, 9> disrupting { FaultKind::KillHost, FaultKind::StopHost, FaultKind::PauseHost, FaultKind::WipeHost, FaultKind::TearJournal, FaultKind::ResetLinks, FaultKind::SilenceLinks,
        FaultKind::CutOneWay, FaultKind::SlowLinks };
    return std::find(disrupting.begin(), disrupting.end(), kind) != disrupting.end();
}

std::vector<FaultStep> drawFaults(uint64_t seed, Duration span)
{
    SeededRandom random(seed);
    std::vector<FaultStep> steps;
    Duration hostRecoveredAt;
    for (Duration at = minGap; at < span; at = at + minGap + below(random, gapSpread)) {
        FaultStep step;
        step.startOffset = at;
        step.kind = static_cast<FaultKind>(random.below(names.size()));
        step.duration = minDuration + below(random, durationSpread);
        step.targetSelector = random.next();
        if (disruptsControlHost(step.kind)) {
            if (at < hostRecoveredAt)
                continue;
            hostRecoveredAt = at + step.duration + catchUpTime;
        }
        steps.push_back(step);
    }
    return steps;
}

} // namespace cornelpond
