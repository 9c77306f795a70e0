#include "cornelpond/core/agreement/ReplicatedLog.h"

#include "testing/fakes/AgreementSchedule.h"

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace cornelpond;

namespace {

constexpr uint64_t seed = 7;

void useLinks(AgreementCluster& cluster, int64_t milliseconds)
{
    cluster.network.faults.delayMin = cluster.network.faults.delayMax = Duration::milliseconds(milliseconds);
}

/// Runs until a leader is elected and returns it.
HostId awaitLeader(AgreementCluster& cluster, Duration bound = Duration::seconds(5))
{
    REQUIRE(cluster.runUntil([&] { return cluster.leader().has_value(); }, bound));
    return *cluster.leader();
}

void commit(AgreementCluster& cluster, std::string const& command, Duration bound = Duration::seconds(5))
{
    size_t const before = cluster.acknowledgedCount();
    REQUIRE(cluster.runUntil([&] { return cluster.leader().has_value(); }, bound));
    REQUIRE(cluster.propose(command));
    REQUIRE(cluster.runUntil([&] { return cluster.acknowledgedCount() > before; }, bound));
}

ResultCode change(AgreementCluster& cluster, Membership const& next, Duration bound = Duration::seconds(2))
{
    std::optional<ResultCode> code;
    cluster.leaderLog()->proposeMembership(next, [&](ProposalOutcome const& outcome) { code = outcome.code; });
    cluster.runUntil([&] { return code.has_value(); }, bound);
    return code.value_or(ResultCode::Internal);
}

} // namespace

TEST_CASE("three hosts elect one leader, commit and converge")
{
    AgreementCluster cluster(seed, { "a", "b", "c" });
    useLinks(cluster, 5);
    for (int i = 0; i < 20; i++)
        commit(cluster, "command " + std::to_string(i));
    CHECK(cluster.runUntil([&] { return cluster.hasConverged(); }, Duration::seconds(1)));
}

TEST_CASE("a new leader is elected within 1.5 seconds of a crash and has all acknowledged commands")
{
    for (uint64_t run = 1; run <= 20; run++) {
        AgreementCluster cluster(run, { "a", "b", "c" });
        useLinks(cluster, 5);
        cluster.network.faults.loss = 0.05;
        HostId const first = awaitLeader(cluster);
        commit(cluster, "x");
        cluster.crash(first);
        awaitLeader(cluster, Duration::milliseconds(1500));
        commit(cluster, "y");
    }
}

TEST_CASE("the leadership of an isolated leader is no longer confirmed when another one is elected, and it steps down")
{
    AgreementCluster cluster(seed, { "a", "b", "c" });
    useLinks(cluster, 5);
    HostId const first = awaitLeader(cluster);
    commit(cluster, "x");
    ReplicatedLog& old = *cluster.hosts.at(first)->log;
    CHECK(old.isLeadershipConfirmed());
    cluster.isolate(first);
    cluster.propose("lost");
    bool const hasSuccessor = cluster.runUntil([&] { return cluster.leader() && *cluster.leader() != first; }, Duration::seconds(3));
    CHECK(hasSuccessor);
    CHECK_FALSE(old.isLeadershipConfirmed());
    cluster.runFor(Duration::seconds(1));
    CHECK_FALSE(old.isLeader());
    CHECK(cluster.unknownOutcomes() == 1);
    CHECK(cluster.hosts.at(first)->events.count(EventId::QuorumLost) == 1);
}

TEST_CASE("a host that returns from a long isolation does not depose the leader")
{
    AgreementCluster cluster(seed, { "a", "b", "c" });
    HostId const first = awaitLeader(cluster);
    HostId const other(first == HostId("a") ? "b" : "a");
    cluster.isolate(other);
    cluster.runFor(Duration::minutes(1));
    Term const term = cluster.leaderLog()->term();
    cluster.heal();
    cluster.runFor(Duration::seconds(3));
    CHECK(cluster.leader() == first);
    CHECK(cluster.leaderLog()->term() == term);
}

TEST_CASE("a follower whose messages to the leader are lost does not break its quorum")
{
    AgreementCluster cluster(seed, { "a", "b", "c" });
    HostId const first = awaitLeader(cluster);
    cluster.network.cut(HostId(first == HostId("a") ? "b" : "a"), first);
    cluster.runFor(Duration::seconds(10));
    CHECK(cluster.leader() == first);
    commit(cluster, "x");
}

TEST_CASE("leadership is transferred without an election timeout")
{
    AgreementCluster cluster(seed, { "a", "b", "c" });
    useLinks(cluster, 5);
    HostId const first = awaitLeader(cluster);
    commit(cluster, "x");
    HostId const next(first == HostId("a") ? "b" : "a");
    cluster.leaderLog()->transferLeadership(next);
    CHECK(cluster.runUntil([&] { return cluster.leader() == next; }, Duration::milliseconds(100)));
    commit(cluster, "y");
}

TEST_CASE("one host's role is changed at a time, a learner first")
{
    AgreementCluster cluster(seed, { "a", "b", "c" });
    awaitLeader(cluster);
    commit(cluster, "x");
    std::vector<HostId> const three { HostId("a"), HostId("b"), HostId("c") };
    std::vector<HostId> const four { HostId("a"), HostId("b"), HostId("c"), HostId("d") };
    CHECK(change(cluster, { four, {}, {} }) == ResultCode::MembershipChangeRefused);
    CHECK(change(cluster, { { HostId("a") }, {}, {} }) == ResultCode::MembershipChangeRefused);
    CHECK(change(cluster, { {}, {}, {} }) == ResultCode::MembershipChangeRefused);
    cluster.addHost("d"); // Starts with the bootstrap membership, of which it is not a member.
    CHECK(change(cluster, { three, { HostId("d") }, {} }) == ResultCode::Ok);
    cluster.runFor(Duration::milliseconds(300));
    CHECK(cluster.host("d").log->appliedIndex() > LogIndex(0));
    CHECK(change(cluster, { four, {}, {} }) == ResultCode::Ok);
    cluster.isolate(HostId("d"));
    cluster.isolate(*cluster.leader());
    std::optional<ResultCode> first;
    cluster.leaderLog()->proposeMembership({ three, {}, {} }, [&](ProposalOutcome const& outcome) { first = outcome.code; });
    CHECK_FALSE(first);
    CHECK(change(cluster, { four, {}, {} }) == ResultCode::MembershipChangePending);
}

TEST_CASE("a removed leader steps down and another one takes over at once")
{
    AgreementCluster cluster(seed, { "a", "b", "c" });
    HostId const first = awaitLeader(cluster);
    commit(cluster, "x");
    Membership next = cluster.leaderLog()->membership();
    next.voters.erase(std::find(next.voters.begin(), next.voters.end(), first));
    CHECK(change(cluster, next) == ResultCode::Ok);
    CHECK(cluster.runUntil([&] { return cluster.leader() && *cluster.leader() != first; }, Duration::milliseconds(100)));
    cluster.runFor(Duration::seconds(5));
    CHECK(cluster.leader() != first);
    commit(cluster, "y");
}

TEST_CASE("a witness never serves as leader, but passes on entries that it alone holds")
{
    for (uint64_t run = 1; run <= 20; run++) {
        AgreementCluster cluster(run, { "a", "b", "w" }, { "a", "b" });
        useLinks(cluster, 5);
        HostId const first = awaitLeader(cluster);
        HostId const behind(first == HostId("a") ? "b" : "a");
        CHECK(first != HostId("w"));
        commit(cluster, "x");
        cluster.isolate(behind);
        for (int i = 0; i < 10; i++)
            commit(cluster, "only on two " + std::to_string(i));
        cluster.failPermanently(first);
        cluster.heal();
        CHECK(cluster.runUntil([&] { return cluster.leader() == behind; }, Duration::milliseconds(2500)));
        CHECK(cluster.host(behind.value()).log->appliedIndex() >= cluster.acknowledgedCommands().rbegin()->first);
        commit(cluster, "y");
        CHECK_FALSE(cluster.host("w").log->isLeader());
    }
}

TEST_CASE("a member that lags far behind gets a snapshot in chunks and then follows the log")
{
    ReplicatedLogLimits limits;
    limits.snapshotAfterEntries = 20;
    limits.retainedEntries = 5;
    limits.maxPayloadBytes = 4; // The state has up to 20 bytes.
    AgreementCluster cluster(seed, { "a", "b", "c" }, {}, limits);
    useLinks(cluster, 5);
    HostId const first = awaitLeader(cluster);
    HostId const behind(first == HostId("a") ? "b" : "a");
    cluster.isolate(behind);
    for (int i = 0; i < 100; i++)
        commit(cluster, "command " + std::to_string(i));
    CHECK(cluster.leaderLog()->entriesInMemory() <= 30);
    cluster.heal();
    cluster.network.faults.loss = 0.2;
    cluster.network.faults.duplication = 0.2;
    cluster.network.faults.delayMax = Duration::milliseconds(30);
    CHECK(cluster.runUntil([&] { return cluster.hasConverged(); }, Duration::seconds(10)));
    CHECK(cluster.host(behind.value()).state == cluster.host(first.value()).state);
    cluster.crash(behind);
    cluster.restart(behind);
    CHECK(cluster.runUntil([&] { return cluster.hasConverged(); }, Duration::seconds(10)));
}

TEST_CASE("a leader whose disk fails steps down, emits an event and acknowledges nothing more")
{
    AgreementCluster cluster(seed, { "a", "b", "c" });
    HostId const first = awaitLeader(cluster);
    commit(cluster, "x");
    cluster.hosts.at(first)->disk.failNext(ResultCode::DiskFull);
    ReplicatedLog& old = *cluster.hosts.at(first)->log;
    ResultCode code = ResultCode::Ok;
    old.propose("refused", [&](ProposalOutcome const& outcome) { code = outcome.code; });
    CHECK(code == ResultCode::DiskFull);
    CHECK(old.hasFailedStorage());
    CHECK(cluster.hosts.at(first)->events.count(EventId::StorageFault) == 1);
    CHECK(cluster.runUntil([&] { return cluster.leader() && *cluster.leader() != first; }, Duration::milliseconds(1500)));
    commit(cluster, "y");
}

TEST_CASE("a storage fault that lasts is reported every five seconds with its duration")
{
    AgreementCluster cluster(seed, { "a", "b", "c" });
    HostId const first = awaitLeader(cluster);
    AgreementCluster::Host& host = *cluster.hosts.at(first);
    host.disk.failAll(ResultCode::DiskFull);
    cluster.propose("refused");
    CHECK(host.events.count(EventId::StorageFault) == 1);
    cluster.runFor(Duration::seconds(31));
    CHECK(host.events.count(EventId::StorageFault) == 7);
}

TEST_CASE("a failed sync leaves the outcome of the proposals that waited for it unknown")
{
    AgreementCluster cluster(seed, { "a" });
    REQUIRE(cluster.leader());
    ReplicatedLog& log = *cluster.leaderLog();
    cluster.host("a").disk.failSyncs(ResultCode::StorageFailed);
    ResultCode code = ResultCode::Ok;
    log.propose("x", [&](ProposalOutcome const& outcome) { code = outcome.code; });
    CHECK(code == ResultCode::OutcomeUnknown);
    CHECK_FALSE(log.isLeader());
}

TEST_CASE("a sole voter commits before propose returns, and the entry survives a crash")
{
    AgreementCluster cluster(seed, { "a" });
    REQUIRE(cluster.leader());
    cluster.propose("x");
    CHECK(cluster.acknowledgedCount() == 1);
    Term const before = cluster.leaderLog()->term();
    cluster.crash(HostId("a"));
    cluster.restart(HostId("a"));
    CHECK(cluster.leaderLog()->term() > before);
    CHECK(cluster.leaderLog()->appliedIndex() > cluster.acknowledgedCommands().rbegin()->first);
}

TEST_CASE("many proposals in one turn of the loop share one sync")
{
    AgreementCluster cluster(seed, { "a", "b", "c" });
    HostId const first = awaitLeader(cluster);
    commit(cluster, "x");
    size_t const before = cluster.hosts.at(first)->disk.syncCount();
    for (int i = 0; i < 100; i++)
        cluster.propose("command " + std::to_string(i));
    CHECK(cluster.runUntil([&] { return cluster.acknowledgedCount() == 101; }, Duration::seconds(1)));
    CHECK(cluster.hosts.at(first)->disk.syncCount() - before == 1);
}

TEST_CASE("pending entries leave before the leader's sync, and a tick makes no sync of its own where the owner flushes")
{
    AgreementCluster cluster(seed, { "a", "b", "c" });
    useLinks(cluster, 5);
    HostId const leader = awaitLeader(cluster);
    cluster.runFor(Duration::seconds(1));
    auto& host = cluster.host(leader.value());
    size_t const syncs = host.disk.syncCount();
    size_t const sent = cluster.network.messageCount();
    REQUIRE(cluster.propose("x"));
    host.log->sendPending();
    CHECK(cluster.network.messageCount() == sent + 2);
    host.log->onTick();
    CHECK(host.disk.syncCount() == syncs);
    CHECK(host.isFlushDue);
    host.log->flush();
    CHECK(host.disk.syncCount() == syncs + 1);
    CHECK(cluster.runUntil([&] { return cluster.acknowledgedCount() == 1; }, Duration::milliseconds(20)));
}

TEST_CASE("a malformed message is dropped with an event and changes nothing")
{
    AgreementCluster cluster(seed, { "a" });
    ReplicatedLog& log = *cluster.leaderLog();
    Term const term = log.term();
    for (std::string const& bytes : { std::string(), std::string("\xff"), std::string("\x03\x7f"), std::string("\x07\x05\x01") })
        log.onMessage(HostId("b"), bytes);
    CHECK(cluster.host("a").events.count(EventId::AgreementMessageRefused) == 4);
    CHECK(log.term() == term);
}

TEST_CASE("a lost voter is replaced by a spare, and a second loss right afterwards loses no entry")
{
    for (uint64_t run = 1; run <= 10; run++) {
        AgreementCluster cluster(run, { "a", "b", "c" });
        useLinks(cluster, 5);
        VoterReplacementTimes const replacementTimes { Duration::seconds(3), Duration::seconds(1) };
        auto const isRepaired = [&] {
            cluster.replaceLostVoters(3, replacementTimes);
            ReplicatedLog const* log = cluster.leaderLog();
            auto const& hosts = cluster.hosts;
            return log && log->canChangeMembership() && log->membership().voters.size() == 3
                && std::none_of(log->membership().voters.begin(), log->membership().voters.end(), [&](auto const& voter) { return hosts.at(voter)->hasFailedPermanently; });
        };
        commit(cluster, "x");
        cluster.addHost("d");
        cluster.addHost("e");
        cluster.failPermanently(HostId("a"));
        REQUIRE(cluster.runUntil(isRepaired, Duration::seconds(15)));
        cluster.failPermanently(HostId("b"));
        commit(cluster, "y");
        REQUIRE(cluster.runUntil(isRepaired, Duration::seconds(15)));
        commit(cluster, "z");
        CHECK(cluster.runUntil([&] { return cluster.hasConverged(); }, Duration::seconds(5)));
        CHECK(cluster.acknowledgedCount() == 3);
    }
}

TEST_CASE("duplicated snapshot chunks do not multiply messages")
{
    ReplicatedLogLimits limits;
    limits.snapshotAfterEntries = 20;
    limits.retainedEntries = 5;
    limits.maxPayloadBytes = 1;
    AgreementCluster cluster(seed, { "a", "b", "c" }, {}, limits);
    useLinks(cluster, 5);
    HostId const first = awaitLeader(cluster);
    cluster.isolate(HostId(first == HostId("a") ? "b" : "a"));
    for (int i = 0; i < 50; i++)
        commit(cluster, "command " + std::to_string(i));
    cluster.heal();
    cluster.network.faults.duplication = 0.9;
    uint64_t const before = cluster.network.messageCount();
    CHECK(cluster.runUntil([&] { return cluster.hasConverged(); }, Duration::seconds(10)));
    CHECK(cluster.network.messageCount() - before < 500);
}

TEST_CASE("a split vote is resolved well before another election timeout")
{
    for (uint64_t run = 1; run <= 200; run++) {
        AgreementCluster cluster(run, { "a", "b", "c" });
        useLinks(cluster, 5);
        HostId const first = awaitLeader(cluster);
        cluster.crash(first);
        REQUIRE(cluster.runUntil([&] { return cluster.leader().has_value(); }, Duration::milliseconds(1500)));
    }
}

TEST_CASE("a member is not sent a snapshot that ends before the leader's log begins")
{
    // In these schedules two members get a snapshot at the same time, one of them much later than the other.
    for (uint64_t const schedule : { 844, 2164 })
        CHECK_NOTHROW(ScheduleRun(schedule).run(randomActions(schedule, 60)));
}

TEST_CASE("an exception while one command is applied does not keep the host from applying the commands after it")
{
    AgreementCluster cluster(seed, { "a", "b", "c" });
    useLinks(cluster, 5);
    cluster.afterApply = [](std::string const& command) {
        if (command == "odd")
            throw std::out_of_range("odd command");
    };
    awaitLeader(cluster);
    REQUIRE(cluster.propose("odd"));
    size_t faults = 0;
    for (int i = 0; i < 500; i++) {
        try {
            cluster.runFor(Duration::milliseconds(1));
        } catch (std::out_of_range const&) {
            faults++; // The event loop logs it and goes on.
        }
    }
    CHECK(faults == 3);
    commit(cluster, "next");
    CHECK(cluster.runUntil([&] { return cluster.hasConverged(); }, Duration::seconds(5)));
    LogIndex const applied = cluster.leaderLog()->appliedIndex();
    for (auto const* host : { "a", "b", "c" })
        CHECK(cluster.host(host).log->appliedIndex() == applied);
}
