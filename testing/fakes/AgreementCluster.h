#pragma once

// A simulated group of hosts that replicate a log over fake disks and a fake network. Checks the safety rules
// while the hosts run.
//
// Example:
//   AgreementCluster cluster(seed, { "a", "b", "c" });
//   cluster.runFor(Duration::seconds(2));
//   cluster.propose("x");
//   cluster.crash(*cluster.leader());
//
// Throws SafetyViolation when a rule is broken. The rules: one leader per term; one confirmed leader at a time;
// all hosts apply the same command at each index; an acknowledged command is never replaced; a restored snapshot
// holds a state that some host has reached; a host that takes part again after a storage fault has on disk what it
// has in memory.

#include "cornelpond/core/agreement/ReplicatedLog.h"
#include "cornelpond/core/agreement/VoterReplacement.h"
#include "testing/fakes/FakeClock.h"
#include "testing/fakes/FakeNetwork.h"
#include "testing/fakes/FakeStorage.h"
#include "testing/fakes/RecordingEventSink.h"

#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace cornelpond {

class SafetyViolation : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

class AgreementCluster {
public:
    struct Host {
        HostId id;
        FakeStorage disk;
        RecordingEventSink events;
        std::unique_ptr<ReplicatedLog> log; ///< Null while crashed.
        std::string state = "0"; ///< Hash chained over the applied commands.
        bool isFlushDue = false;
        size_t recoveryCount = 0; ///< Storage faults that had ended at the last check.
        bool hasFailedPermanently = false; ///< Its disk is lost; the host cannot be restarted.
    };

    AgreementCluster(uint64_t seed, std::vector<std::string> const& voters, std::vector<std::string> const& eligible = {}, ReplicatedLogLimits limits = {})
        : random(seed)
        , network(this->clock, this->random)
        , limits(limits)
    {
        for (auto const& name : voters)
            this->initialMembership.voters.emplace_back(name);
        for (auto const& name : eligible)
            this->initialMembership.eligibleLeaders.emplace_back(name);
        for (auto const& name : voters)
            this->addHost(name);
    }

    Host& addHost(std::string const& name)
    {
        auto& host = this->hosts[HostId(name)];
        host = std::make_unique<Host>();
        host->id = HostId(name);
        this->restart(host->id);
        return *host;
    }

    Host& host(std::string const& name) { return *this->hosts.at(HostId(name)); }

    void restart(HostId const& id)
    {
        Host& host = *this->hosts.at(id);
        if (host.hasFailedPermanently)
            return;
        host.log.reset();
        host.disk.crash();
        host.state = "0";
        host.isFlushDue = false;
        auto const send = [this, id](HostId const& to, std::string bytes) { this->send(id, to, std::move(bytes)); };
        if (this->onRestart)
            this->onRestart(host);
        host.log = std::make_unique<ReplicatedLog>(
            GroupId("g"), id, this->initialMembership, this->times, this->clock, this->random, host.events, host.disk, send, this->hooks(host), this->limits);
        host.log->setFlushCallback([&host] { host.isFlushDue = true; });
        host.log->start();
    }

    void crash(HostId const& id)
    {
        Host& host = *this->hosts.at(id);
        host.log.reset();
        host.disk.crash();
    }

    /// Crashes the host and loses its disk; it cannot be restarted.
    void failPermanently(HostId const& id)
    {
        this->crash(id);
        this->hosts.at(id)->hasFailedPermanently = true;
    }

    void isolate(HostId const& id)
    {
        std::set<HostId> others;
        for (auto const& [other, host] : this->hosts) {
            if (other != id)
                others.insert(other);
        }
        this->network.isolate(id, others);
    }

    void heal() { this->network.heal(); }

    bool isDown(HostId const& id) const { return !this->hosts.at(id)->log; }

    void runFor(Duration span)
    {
        TimePoint const end = this->clock.now() + span;
        while (this->clock.now() < end)
            this->step();
    }

    /// Runs until `condition` is true, at most for `bound`; returns whether it became true.
    bool runUntil(std::function<bool()> const& condition, Duration bound)
    {
        TimePoint const end = this->clock.now() + bound;
        while (!condition() && this->clock.now() < end)
            this->step();
        return condition();
    }

    std::optional<HostId> leader() const
    {
        std::optional<HostId> found;
        Term best;
        for (auto const& [id, host] : this->hosts) {
            if (!host->log || !host->log->isLeader() || host->log->term() < best)
                continue;
            found = id;
            best = host->log->term();
        }
        return found;
    }

    ReplicatedLog* leaderLog()
    {
        auto const id = this->leader();
        return id ? this->hosts.at(*id)->log.get() : nullptr;
    }

    /// Proposes the command on the leader of the highest term; returns false if there is no leader.
    bool propose(std::string const& command)
    {
        ReplicatedLog* log = this->leaderLog();
        if (!log)
            return false;
        log->propose(command, [this, command](ProposalOutcome const& outcome) { this->onOutcome(command, outcome); });
        return true;
    }

    /// Lets the leader propose the next step that replaces lost voters by spare hosts.
    void replaceLostVoters(size_t target, VoterReplacementTimes const& replacementTimes)
    {
        for (auto const& [id, host] : this->hosts) {
            if (!host->log || !host->log->canChangeMembership())
                continue;
            GroupView view { id, host->log->membership(), target, {} };
            for (auto const& [other, ignored] : this->hosts)
                view.hosts.push_back(this->viewOf(*host, other));
            if (auto const next = nextMembership(view, replacementTimes))
                host->log->proposeMembership(*next, [](ProposalOutcome const&) {});
        }
    }

    /// True if all running members have applied as much as the most advanced running host, including all acknowledged commands.
    bool hasConverged() const
    {
        LogIndex last;
        for (auto const& [id, host] : this->hosts) {
            if (host->log)
                last = std::max(last, host->log->appliedIndex());
        }
        for (auto const& [id, host] : this->hosts) {
            bool const isMember = host->log && (host->log->membership().isVoter(id) || host->log->membership().isLearner(id));
            if (isMember && host->log->appliedIndex() != last)
                return false;
        }
        return this->acknowledged.empty() || this->acknowledged.rbegin()->first <= last;
    }

    std::map<LogIndex, std::string> const& acknowledgedCommands() const { return this->acknowledged; }
    size_t unknownOutcomes() const { return this->unknownOutcomeCount; }
    size_t acknowledgedCount() const { return this->acknowledged.size(); }

    static constexpr int64_t stepMs = 1;
    static constexpr int64_t tickMs = 10;

    FakeClock clock;
    SeededRandom random;
    FakeNetwork network;
    ReplicatedLogTimes times;
    std::map<HostId, std::unique_ptr<Host>> hosts;
    Duration stepDuration = Duration::milliseconds(stepMs);
    std::function<void(HostId const& from, HostId const& to, std::string& bytes)> tamper; ///< May alter each message before it is sent.
    std::function<void(std::string const& command)> afterApply; ///< Called after each application of a command, on any host; may throw.
    std::function<void(Host& host)> onRestart; ///< Called before the log of a host is created, for example to set disk faults.

private:
    StateMachineHooks hooks(Host& host)
    {
        StateMachineHooks result;
        result.apply = [this, &host](LogIndex index, std::string const& command) {
            this->onApply(host, index, command);
            if (this->afterApply)
                this->afterApply(command);
        };
        result.takeSnapshot = [&host] { return host.state; };
        result.restore = [this, &host](std::string const& state) {
            host.state = state;
            if (state != "0" && !this->reachedStates.count(state))
                throw SafetyViolation("a snapshot restored a state that no host has reached");
        };
        result.onLeadership = [](bool) {};
        return result;
    }

    void onApply(Host& host, LogIndex index, std::string const& command)
    {
        auto const [entry, isNew] = this->appliedCommands.emplace(index, command);
        if (!isNew && entry->second != command)
            throw SafetyViolation("two commands applied at index " + std::to_string(index.value()));
        host.state = std::to_string(std::hash<std::string>()(host.state + "/" + command));
        auto const [state, isNewState] = this->appliedStates.emplace(index, host.state);
        if (!isNewState && state->second != host.state)
            throw SafetyViolation("two states after index " + std::to_string(index.value()));
        this->reachedStates.insert(host.state);
    }

    void onOutcome(std::string const& command, ProposalOutcome const& outcome)
    {
        if (outcome.code == ResultCode::OutcomeUnknown)
            this->unknownOutcomeCount++;
        if (outcome.code != ResultCode::Ok)
            return;
        auto const applied = this->appliedCommands.find(outcome.index);
        if (applied == this->appliedCommands.end() || applied->second != command)
            throw SafetyViolation("a command was acknowledged but not applied");
        if (!this->acknowledged.emplace(outcome.index, command).second)
            throw SafetyViolation("two commands were acknowledged at one index");
    }

    void send(HostId const& from, HostId const& to, std::string bytes)
    {
        AgreementMessage const message = decodeMessage(bytes);
        if (auto const* append = std::get_if<AppendRequest>(&message)) {
            auto const [entry, isNew] = this->leaderByTerm.emplace(append->term, from);
            if (!isNew && entry->second != from)
                throw SafetyViolation("two leaders in term " + std::to_string(append->term.value()));
        }
        if (this->tamper)
            this->tamper(from, to, bytes);
        this->network.send(from, to, std::move(bytes));
    }

    void step()
    {
        this->clock.advance(this->stepDuration);
        this->network.deliverDue([this](HostId const& from, HostId const& to, std::string const& bytes) {
            auto const found = this->hosts.find(to);
            if (found != this->hosts.end() && found->second->log)
                found->second->log->onMessage(from, bytes);
        });
        bool const isTick = this->clock.now().toMicroseconds() % (tickMs * 1000) == 0;
        for (auto const& [id, host] : this->hosts) {
            if (host->log && isTick)
                host->log->onTick();
            if (host->log && host->isFlushDue) {
                host->isFlushDue = false;
                host->log->flush();
            }
        }
        this->checkConfirmedLeaders();
        for (auto const& [id, host] : this->hosts)
            this->checkRecovery(*host);
    }

    static void checkRecovery(Host& host)
    {
        size_t const count = host.events.count(EventId::StorageRecovered);
        if (count == host.recoveryCount || !host.log || host.log->hasFailedStorage())
            return;
        host.recoveryCount = count;
        StoredLog const& durable = host.disk.durable();
        LogIndex const last = durable.entries.empty() ? durable.snapshot.lastIndex : durable.entries.back().index;
        if (durable.hardState.term != host.log->term() || last < host.log->lastIndex())
            throw SafetyViolation("a host takes part again without having on disk what it has in memory");
    }

    void checkConfirmedLeaders() const
    {
        size_t count = 0;
        for (auto const& [id, host] : this->hosts)
            count += host->log && host->log->isLeadershipConfirmed() ? 1 : 0;
        if (count > 1)
            throw SafetyViolation("two leaders are confirmed at the same time");
    }

    HostView viewOf(Host const& observer, HostId const& id) const
    {
        HostView view;
        view.host = id;
        Membership const& members = observer.log->membership();
        bool const isMember = members.isVoter(id) || members.isLearner(id);
        bool const isRunning = this->hosts.at(id)->log != nullptr;
        view.silentFor = isMember ? observer.log->silentFor(id) : (isRunning ? Duration() : Duration::infinite());
        view.isCaughtUp = observer.log->isCaughtUp(id);
        view.isEligibleLeader = true;
        return view;
    }

    Membership initialMembership;
    ReplicatedLogLimits limits;
    std::map<Term, HostId> leaderByTerm;
    std::map<LogIndex, std::string> appliedCommands;
    std::map<LogIndex, std::string> appliedStates;
    std::set<std::string> reachedStates;
    std::map<LogIndex, std::string> acknowledged;
    size_t unknownOutcomeCount = 0;
};

} // namespace cornelpond
