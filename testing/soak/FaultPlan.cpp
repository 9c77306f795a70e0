#include "testing/soak/FaultPlan.h"

#include "cornelpond/ports/Random.h"

#include <algorithm>
#include <array>

namespace cornelpond {

namespace {

    constexpr std::array<std::string_view, 35> names { "KillHost", "StopHost", "PauseHost", "WipeHost", "TearJournal", "ReloadHost", "ResetLinks", "SilenceLinks", "CutOneWay", "SlowLinks",
        "CrashWorker", "CutWorker", "SilenceWorker", "DrainWorker", "LateOrders", "CancelWave", "RaceOperators", "FillDisk", "LoseMajority", "KillEntryHost", "StopEntryHost", "OddHeartbeats", "OddListings",
        "RemoveQueue", "ReplaceQueue", "ExhaustWorkerConnections", "RestartAndCutWorkers", "RestartSilently", "KillLeader",
        "PauseLeader", "PauseRelay", "CutWorkerOneWay", "SilenceWays", "RestartWorkerSilently", "Evacuate" };

    /// The kinds of FaultSet::General come first in FaultKind.
    constexpr uint64_t generalKindCount = 17;
    constexpr std::array<FaultKind, 16> outageKinds { FaultKind::FillDisk, FaultKind::FillDisk, FaultKind::FillDisk, FaultKind::LoseMajority, FaultKind::LoseMajority, FaultKind::KillHost, FaultKind::StopHost,
        FaultKind::PauseHost, FaultKind::KillEntryHost, FaultKind::StopEntryHost, FaultKind::OddHeartbeats, FaultKind::OddListings, FaultKind::CancelWave, FaultKind::RaceOperators,
        FaultKind::DrainWorker, FaultKind::LateOrders };
    constexpr std::array<FaultKind, 22> cancelKinds { FaultKind::RemoveQueue, FaultKind::RemoveQueue, FaultKind::RemoveQueue, FaultKind::ReplaceQueue, FaultKind::ReplaceQueue, FaultKind::CancelWave, FaultKind::CancelWave,
        FaultKind::RaceOperators, FaultKind::KillHost, FaultKind::StopHost, FaultKind::PauseHost, FaultKind::ResetLinks, FaultKind::SilenceLinks, FaultKind::SlowLinks, FaultKind::SilenceWorker, FaultKind::CutWorker,
        FaultKind::CrashWorker, FaultKind::LateOrders, FaultKind::KillEntryHost, FaultKind::StopEntryHost, FaultKind::ExhaustWorkerConnections, FaultKind::ExhaustWorkerConnections };
    constexpr std::array<FaultKind, 10> restartKinds { FaultKind::RestartAndCutWorkers,
        FaultKind::CrashWorker, FaultKind::CutWorker, FaultKind::SilenceWorker, FaultKind::LateOrders, FaultKind::KillHost, FaultKind::StopHost, FaultKind::PauseHost, FaultKind::ResetLinks, FaultKind::SlowLinks };
    constexpr std::array<FaultKind, 34> cancelledRunKinds { FaultKind::KillHost, FaultKind::KillLeader, FaultKind::KillLeader, FaultKind::PauseHost, FaultKind::PauseLeader, FaultKind::PauseLeader, FaultKind::PauseRelay,
        FaultKind::PauseRelay, FaultKind::PauseRelay, FaultKind::StopHost, FaultKind::ReloadHost, FaultKind::ResetLinks, FaultKind::SilenceLinks, FaultKind::CutOneWay, FaultKind::CrashWorker, FaultKind::CrashWorker,
        FaultKind::CrashWorker, FaultKind::RestartWorkerSilently, FaultKind::RestartWorkerSilently, FaultKind::RestartWorkerSilently, FaultKind::CutWorker, FaultKind::CutWorker, FaultKind::CutWorkerOneWay,
        FaultKind::CutWorkerOneWay, FaultKind::SilenceWorker, FaultKind::SilenceWorker, FaultKind::LateOrders, FaultKind::ExhaustWorkerConnections, FaultKind::DrainWorker, FaultKind::OddHeartbeats, FaultKind::OddListings,
        FaultKind::RemoveQueue, FaultKind::ReplaceQueue, FaultKind::ReplaceQueue };
    constexpr std::array<FaultKind, 7> calmKinds { FaultKind::DrainWorker, FaultKind::DrainWorker, FaultKind::Evacuate, FaultKind::RaceOperators, FaultKind::CancelWave, FaultKind::RemoveQueue, FaultKind::ReplaceQueue };
    constexpr std::array<FaultKind, 13> evacuationKinds { FaultKind::Evacuate, FaultKind::Evacuate, FaultKind::Evacuate, FaultKind::Evacuate, FaultKind::KillLeader, FaultKind::KillHost, FaultKind::StopHost,
        FaultKind::PauseHost, FaultKind::LoseMajority, FaultKind::CrashWorker, FaultKind::CutWorker, FaultKind::DrainWorker, FaultKind::LateOrders };
    /// FaultSet::Cancels has faults only in the first part of each period.
    constexpr Duration cancelPeriod = Duration::seconds(20);
    constexpr Duration faultsPerPeriod = Duration::seconds(5);
    /// FaultSet::CancelledRuns: faults end with the round, and the rest of each period is calm.
    constexpr Duration cancelledRunPeriod = Duration::seconds(22);
    constexpr Duration cancelledRunRound = Duration::seconds(6);
    constexpr Duration minOverlapGap = Duration::milliseconds(50);
    constexpr Duration overlapGapSpread = Duration::milliseconds(400);
    constexpr uint64_t stepsPerSeries = 2; ///< On average; a series repeats a kind on one target after the other.

    constexpr Duration minGap = Duration::milliseconds(150);
    constexpr Duration gapSpread = Duration::milliseconds(1200);
    constexpr Duration minDuration = Duration::milliseconds(300);
    constexpr Duration durationSpread = Duration::milliseconds(3500);
    /// Time after a fault in which the host catches up, before the next control host may fail.
    constexpr Duration catchUpTime = Duration::seconds(4);
    constexpr Duration silentRoundTime = Duration::milliseconds(13500); ///< From a silent restart to the next, at least.
    constexpr Duration minTimeToCut = Duration::milliseconds(1500);
    constexpr Duration timeToCutSpread = Duration::milliseconds(500);

    Duration below(Random& random, Duration bound)
    {
        return Duration::microseconds(static_cast<int64_t>(random.below(static_cast<uint64_t>(bound.toMicroseconds()))));
    }

    FaultKind drawKind(FaultSet set, Random& random)
    {
        switch (set) {
        case FaultSet::Outages:
            return outageKinds.at(random.below(outageKinds.size()));
        case FaultSet::Cancels:
            return cancelKinds.at(random.below(cancelKinds.size()));
        case FaultSet::Restarts:
            return restartKinds.at(random.below(restartKinds.size()));
        case FaultSet::Evacuations:
            return evacuationKinds.at(random.below(evacuationKinds.size()));
        default:
            return static_cast<FaultKind>(random.below(generalKindCount));
        }
    }

    bool isCalmPeriod(FaultSet set, Duration at)
    {
        return set == FaultSet::Cancels && at.toMicroseconds() % cancelPeriod.toMicroseconds() > faultsPerPeriod.toMicroseconds();
    }

    /// Steps that leave hosts, workers and links sound.
    void drawCalm(Random& random, Duration from, Duration to, std::vector<FaultStep>& steps)
    {
        constexpr Duration calmGapSpread = Duration::seconds(4);
        for (Duration at = from + below(random, calmGapSpread); at < to; at = at + minGap + below(random, calmGapSpread))
            steps.push_back({ at, calmKinds.at(random.below(calmKinds.size())), minDuration + below(random, durationSpread), random.next() });
    }

    /// Half of the steps repeat the kind of the step before, on the next target.
    std::vector<FaultStep> drawCancelledRuns(Random& random, Duration span)
    {
        std::vector<FaultStep> steps;
        for (Duration round = minGap; round + cancelledRunRound <= span; round = round + cancelledRunPeriod) {
            Duration const end = round + cancelledRunRound;
            for (Duration at = round; at + minDuration < end; at = at + minOverlapGap + below(random, overlapGapSpread)) {
                FaultStep step { at, cancelledRunKinds.at(random.below(cancelledRunKinds.size())), minDuration + below(random, durationSpread), random.next() };
                if (!steps.empty() && random.below(stepsPerSeries)) {
                    step.kind = steps.back().kind;
                    step.targetSelector = steps.back().targetSelector + 1;
                }
                step.duration = std::min(step.duration, end - at);
                steps.push_back(step);
            }
            drawCalm(random, end, std::min(round + cancelledRunPeriod, span), steps);
        }
        return steps;
    }

    /// One fault after the other, without pauses between them.
    std::vector<FaultStep> drawRepeated(Random& random, FaultKind kind, Duration span)
    {
        constexpr Duration length = Duration::seconds(8);
        std::vector<FaultStep> steps;
        for (Duration at = minGap; at < span; at = at + length + minGap)
            steps.push_back({ at, kind, length, random.next() });
        return steps;
    }

    std::vector<FaultStep> drawSilentRestarts(Random& random, Duration span)
    {
        std::vector<FaultStep> steps;
        for (Duration at = minGap; at + silentRoundTime <= span; at = at + silentRoundTime + below(random, minGap)) {
            Duration const timeToCut = minTimeToCut + below(random, timeToCutSpread);
            steps.push_back({ at, FaultKind::RestartSilently, timeToCut, random.next() });
            Duration const killedAt = at + silentDownTime + below(random, timeToCut);
            if (random.below(2))
                steps.push_back({ killedAt, FaultKind::KillLeader, minDuration + below(random, durationSpread), random.next() });
        }
        return steps;
    }

} // namespace

std::string_view faultName(FaultKind kind)
{
    return names.at(static_cast<size_t>(kind));
}

bool isCalm(FaultKind kind)
{
    constexpr std::array<FaultKind, 7> calm { FaultKind::DrainWorker, FaultKind::Evacuate, FaultKind::ReloadHost, FaultKind::CancelWave, FaultKind::RaceOperators, FaultKind::RemoveQueue, FaultKind::ReplaceQueue };
    return std::find(calm.begin(), calm.end(), kind) != calm.end();
}

bool disruptsControlHost(FaultKind kind)
{
    constexpr std::array<FaultKind, 14> disrupting { FaultKind::KillHost, FaultKind::KillLeader, FaultKind::PauseLeader, FaultKind::PauseRelay, FaultKind::StopHost, FaultKind::PauseHost, FaultKind::WipeHost, FaultKind::TearJournal, FaultKind::ResetLinks, FaultKind::SilenceLinks,
        FaultKind::CutOneWay, FaultKind::SlowLinks, FaultKind::FillDisk, FaultKind::LoseMajority };
    return std::find(disrupting.begin(), disrupting.end(), kind) != disrupting.end();
}

std::vector<FaultStep> drawFaults(FaultSet set, uint64_t seed, Duration span)
{
    SeededRandom random(seed);
    if (set == FaultSet::SilentRestarts)
        return drawSilentRestarts(random, span);
    if (set == FaultSet::CancelledRuns)
        return drawCancelledRuns(random, span);
    if (set == FaultSet::DeadWays)
        return drawRepeated(random, FaultKind::SilenceWays, span);
    if (set == FaultSet::DeadRelay)
        return drawRepeated(random, FaultKind::PauseRelay, span);
    std::vector<FaultStep> steps;
    if (set == FaultSet::None)
        return steps;
    Duration hostRecoveredAt;
    FaultStep lastDisruption;
    for (Duration at = minGap; at < span; at = at + minGap + below(random, gapSpread)) {
        FaultStep step;
        step.startOffset = at;
        step.kind = drawKind(set, random);
        step.duration = minDuration + below(random, durationSpread);
        step.targetSelector = random.next();
        if (isCalmPeriod(set, at) && (!isCalm(step.kind) || step.kind == FaultKind::ReplaceQueue))
            continue; // Queues stay removed in calm periods, which are longer than the time limit for a cancel.
        if (disruptsControlHost(step.kind)) {
            if (at < hostRecoveredAt)
                continue;
            if (set != FaultSet::General && lastDisruption.targetSelector && random.below(stepsPerSeries)) {
                step.kind = lastDisruption.kind;
                step.targetSelector = lastDisruption.targetSelector + 1;
            }
            hostRecoveredAt = at + step.duration + catchUpTime;
            lastDisruption = step;
        }
        steps.push_back(step);
    }
    return steps;
}

} // namespace cornelpond
