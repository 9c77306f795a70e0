#pragma once

// Random schedules of faults, and a runner that applies one to an AgreementCluster.
//
// Example:
//   std::vector<FaultAction> const actions = randomActions(seed, 30);
//   runSchedule(seed, actions); // throws SafetyViolation or LivenessViolation

#include "testing/fakes/AgreementCluster.h"

#include <ostream>

namespace cornelpond {

/// The group did not recover after all faults had ended.
class LivenessViolation : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

enum class FaultKind : uint8_t {
    Propose,
    ProposeMany,
    Wait,
    CrashOne,
    CrashLeader,
    RestartAll,
    FailDisk,
    FailSync,
    CutOneWay,
    IsolateOne,
    IsolateLeader,
    Heal,
    LossyLinks,
    ReliableLinks,
    TransferLeadership,
    LoseDisk,
    FillDisk,
    HealDisks,
    Count,
};

struct FaultAction {
    FaultKind kind = FaultKind::Wait;
    uint8_t firstArgument = 0; ///< Selects a host or a number, depending on the kind.
    uint8_t secondArgument = 0;
    uint16_t waitMs = 0; ///< Time to run after the action.
};

inline std::ostream& operator<<(std::ostream& out, FaultAction const& action)
{
    return out << "{" << static_cast<int>(action.kind) << ", " << static_cast<int>(action.firstArgument) << ", " << static_cast<int>(action.secondArgument) << ", "
               << action.waitMs << " ms}";
}

inline FaultAction makeAction(uint64_t bits)
{
    constexpr uint64_t longestWaitMs = 700;
    FaultAction action;
    action.kind = static_cast<FaultKind>(bits % static_cast<uint64_t>(FaultKind::Count));
    action.firstArgument = static_cast<uint8_t>(bits >> 8);
    action.secondArgument = static_cast<uint8_t>(bits >> 16);
    action.waitMs = static_cast<uint16_t>((bits >> 32) % longestWaitMs);
    return action;
}

inline std::vector<FaultAction> randomActions(uint64_t seed, size_t count)
{
    SeededRandom random(seed);
    std::vector<FaultAction> actions;
    for (size_t i = 0; i < count; i++)
        actions.push_back(makeAction(random.next()));
    return actions;
}

/// Runs actions on a cluster of three or five hosts. The seed chooses the size and whether there are witnesses.
class ScheduleRun {
public:
    using Setup = std::function<void(AgreementCluster&)>;

    explicit ScheduleRun(uint64_t seed, Setup const& setup = {})
        : cluster(seed, voterNames(seed), eligibleNames(seed), smallLimits())
    {
        this->useReliableLinks();
        if (setup)
            setup(this->cluster);
    }

    void run(Span<FaultAction const> actions)
    {
        for (auto const& action : actions) {
            this->perform(action);
            this->runFor(Duration::milliseconds(action.waitMs));
        }
        this->healAndAwaitRecovery();
    }

    size_t acknowledgedCount() const { return this->cluster.acknowledgedCount(); }
    size_t lostDisks() const { return this->lostDiskCount; }

private:
    static std::vector<std::string> voterNames(uint64_t seed)
    {
        return seed % 2 ? std::vector<std::string> { "a", "b", "c" } : std::vector<std::string> { "a", "b", "c", "d", "e" };
    }

    /// For every third seed only two hosts may lead; the others are witnesses.
    static std::vector<std::string> eligibleNames(uint64_t seed) { return seed % 3 ? std::vector<std::string>() : std::vector<std::string> { "a", "b" }; }

    static ReplicatedLogLimits smallLimits()
    {
        ReplicatedLogLimits limits;
        limits.snapshotAfterEntries = 15;
        limits.retainedEntries = 4;
        limits.maxPayloadBytes = 12;
        return limits;
    }

    HostId hostAt(uint8_t number) const
    {
        auto entry = this->cluster.hosts.begin();
        std::advance(entry, number % this->cluster.hosts.size());
        return entry->first;
    }

    void useReliableLinks()
    {
        this->cluster.network.faults = {};
        this->cluster.network.faults.delayMin = Duration::milliseconds(1);
        this->cluster.network.faults.delayMax = Duration::milliseconds(6);
    }

    void useLossyLinks(FaultAction const& action)
    {
        constexpr double largestLoss = 0.3;
        this->cluster.network.faults.loss = largestLoss * action.firstArgument / UINT8_MAX;
        this->cluster.network.faults.duplication = largestLoss;
        this->cluster.network.faults.delayMax = Duration::milliseconds(6 + action.secondArgument);
    }

    void proposeCommands(size_t count)
    {
        for (size_t i = 0; i < count; i++) {
            // The host may have been deposed without having noticed.
            std::string const command = "command " + std::to_string(this->nextCommand++);
            this->cluster.propose(command);
        }
    }

    void perform(FaultAction const& action)
    {
        auto const leader = this->cluster.leader();
        HostId const host = this->hostAt(action.firstArgument);
        auto const& entry = *this->cluster.hosts.at(host);
        switch (action.kind) {
        case FaultKind::Propose:
            return this->proposeCommands(1);
        case FaultKind::ProposeMany:
            return this->proposeCommands(action.firstArgument % 40);
        case FaultKind::CrashOne:
            return this->cluster.crash(host);
        case FaultKind::CrashLeader:
            return leader ? this->cluster.crash(*leader) : void();
        case FaultKind::RestartAll:
            return this->restartAll();
        case FaultKind::FailDisk:
            return this->cluster.hosts.at(host)->disk.failNth(action.secondArgument % 8 + 1, ResultCode::DiskFull);
        case FaultKind::FailSync:
            return entry.hasFailedPermanently ? void() : this->cluster.hosts.at(host)->disk.failSyncs(ResultCode::StorageFailed, action.secondArgument % 2);
        case FaultKind::CutOneWay:
            return this->cluster.network.cut(host, this->hostAt(action.secondArgument));
        case FaultKind::IsolateOne:
            return this->cluster.isolate(host);
        case FaultKind::IsolateLeader:
            return leader ? this->cluster.isolate(*leader) : void();
        case FaultKind::Heal:
            return this->cluster.heal();
        case FaultKind::LossyLinks:
            return this->useLossyLinks(action);
        case FaultKind::ReliableLinks:
            return this->useReliableLinks();
        case FaultKind::TransferLeadership:
            return leader ? this->cluster.leaderLog()->transferLeadership(action.secondArgument % 2 ? host : HostId()) : void();
        case FaultKind::LoseDisk:
            return this->loseDisk(host);
        case FaultKind::FillDisk:
            return this->cluster.hosts.at(host)->disk.failAll(action.secondArgument % 2 ? ResultCode::DiskFull : ResultCode::StorageFailed);
        case FaultKind::HealDisks:
            return this->healDisks();
        case FaultKind::Wait:
        case FaultKind::Count:
            return;
        }
    }

    /// Loses the disk of a voter, unless an earlier lost voter has not been replaced yet.
    void loseDisk(HostId const& host)
    {
        ReplicatedLog const* log = this->cluster.leaderLog();
        if (!log || !log->isLeadershipConfirmed() || !log->canChangeMembership() || !log->membership().isVoter(host))
            return;
        for (auto const& voter : log->membership().voters) {
            if (this->cluster.hosts.at(voter)->hasFailedPermanently)
                return;
        }
        this->cluster.failPermanently(host);
        this->lostDiskCount++;
        this->cluster.addHost("spare" + std::to_string(this->lostDiskCount));
    }

    void restartAll()
    {
        for (auto const& [id, host] : this->cluster.hosts) {
            if (this->cluster.isDown(id))
                this->cluster.restart(id);
        }
    }

    void healDisks()
    {
        for (auto const& [id, host] : this->cluster.hosts)
            host->disk.heal();
    }

    void runFor(Duration span)
    {
        Duration const slice = Duration::milliseconds(50);
        for (Duration done; done < span; done = done + slice) {
            this->cluster.replaceLostVoters(this->voterTarget, this->replacementTimes);
            this->cluster.runFor(slice);
        }
    }

    void healAndAwaitRecovery()
    {
        this->cluster.heal();
        this->useReliableLinks();
        this->healDisks();
        this->restartAll();
        Duration const bound = Duration::seconds(30);
        Duration const slice = Duration::milliseconds(50);
        size_t const before = this->cluster.acknowledgedCount();
        for (Duration done; done < bound; done = done + slice) {
            this->runFor(slice);
            if (this->cluster.acknowledgedCount() < before + 3)
                this->proposeCommands(1);
            else if (this->cluster.hasConverged() && this->hasReplacedLostVoters())
                return;
        }
        throw LivenessViolation("the group did not recover within the time limit");
    }

    bool hasReplacedLostVoters()
    {
        ReplicatedLog const* log = this->cluster.leaderLog();
        if (!log || !log->canChangeMembership())
            return false;
        auto const& voters = log->membership().voters;
        return std::none_of(voters.begin(), voters.end(), [&](auto const& voter) { return this->cluster.hosts.at(voter)->hasFailedPermanently; });
    }

    AgreementCluster cluster;
    VoterReplacementTimes replacementTimes { Duration::seconds(2), Duration::milliseconds(800) };
    size_t voterTarget = cluster.hosts.size();
    size_t lostDiskCount = 0;
    size_t nextCommand = 0;
};

} // namespace cornelpond
