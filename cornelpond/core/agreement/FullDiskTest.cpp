#include "testing/fakes/AgreementCluster.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

constexpr Duration diskFullFor = Duration::seconds(6);
/// An election after a leader's loss, with a lost vote.
constexpr Duration recoveryBound = Duration::seconds(3);

void commit(AgreementCluster& cluster, std::string const& command)
{
    size_t const before = cluster.acknowledgedCount();
    REQUIRE(cluster.runUntil([&] { return cluster.leader().has_value(); }, recoveryBound));
    REQUIRE(cluster.propose(command));
    REQUIRE(cluster.runUntil([&] { return cluster.acknowledgedCount() > before; }, recoveryBound));
}

HostId otherThan(HostId const& id)
{
    return HostId(id == HostId("a") ? "b" : "a");
}

bool isServing(AgreementCluster::Host const& host)
{
    return host.log && !host.log->hasFailedStorage();
}

/// Proposes while the host's disk is full, so that the host meets the fault, and then frees the disk.
void fillDiskFor(AgreementCluster& cluster, HostId const& id, Duration span)
{
    cluster.hosts.at(id)->disk.failAll(ResultCode::DiskFull);
    Duration const slice = Duration::milliseconds(100);
    for (Duration done; done < span; done = done + slice) {
        cluster.propose("during the fault");
        cluster.runFor(slice);
    }
    cluster.hosts.at(id)->disk.heal();
}

} // namespace

TEST_CASE("a group of three voters serves again without a restart after the disks of two were full one after the other")
{
    for (uint64_t run = 1; run <= 10; run++) {
        AgreementCluster cluster(run, { "a", "b", "c" });
        commit(cluster, "before");
        HostId const leader = *cluster.leader();
        HostId const follower = otherThan(leader);
        fillDiskFor(cluster, follower, diskFullFor);
        fillDiskFor(cluster, leader, diskFullFor);
        commit(cluster, "after");
        CHECK(cluster.runUntil([&] { return cluster.hasConverged(); }, recoveryBound));
    }
}

TEST_CASE("a leader whose disk fails hands over without an election timeout")
{
    for (uint64_t run = 1; run <= 20; run++) {
        AgreementCluster cluster(run, { "a", "b", "c" });
        cluster.network.faults.delayMin = cluster.network.faults.delayMax = Duration::milliseconds(5);
        commit(cluster, "x");
        HostId const first = *cluster.leader();
        cluster.hosts.at(first)->disk.failAll(ResultCode::DiskFull);
        cluster.propose("refused");
        CHECK_FALSE(cluster.hosts.at(first)->log->isLeader());
        CHECK(cluster.runUntil([&] { return cluster.leader().has_value(); }, Duration::milliseconds(100)));
        commit(cluster, "y");
    }
}

TEST_CASE("a host says when it takes part again, and how long it did not")
{
    AgreementCluster cluster(1, { "a", "b", "c" });
    commit(cluster, "x");
    AgreementCluster::Host& host = *cluster.hosts.at(otherThan(*cluster.leader()));
    fillDiskFor(cluster, host.id, diskFullFor);
    REQUIRE(cluster.runUntil([&] { return isServing(host); }, cluster.times.storageRetryInterval + Duration::milliseconds(20)));
    auto const& events = host.events.all();
    auto const recovered = std::find_if(events.begin(), events.end(), [](auto const& event) { return event.id() == EventId::StorageRecovered; });
    REQUIRE(recovered != events.end());
    for (auto const& field : recovered->fields()) {
        if (field.key == "lastedMs")
            CHECK(std::stoll(field.value) >= diskFullFor.toMilliseconds() - 100);
        if (field.key == "code")
            CHECK(field.value == std::to_string(static_cast<int>(ResultCode::DiskFull)));
    }
}

TEST_CASE("a disk that fails at any call of a recovery delays it and loses nothing")
{
    for (size_t failingCall = 1; failingCall <= 12; failingCall++) {
        AgreementCluster cluster(failingCall, { "a", "b", "c" });
        commit(cluster, "x");
        AgreementCluster::Host& host = *cluster.hosts.at(otherThan(*cluster.leader()));
        host.disk.failNext(ResultCode::DiskFull);
        cluster.propose("y");
        REQUIRE(cluster.runUntil([&] { return !isServing(host); }, Duration::seconds(1)));
        host.disk.failNth(failingCall, ResultCode::StorageFailed);
        cluster.runFor(cluster.times.storageRetryInterval * 4);
        commit(cluster, "z");
        CHECK(cluster.runUntil([&] { return cluster.hasConverged() && isServing(host); }, recoveryBound));
        cluster.restart(host.id);
        CHECK(cluster.runUntil([&] { return cluster.hasConverged(); }, recoveryBound));
    }
}

TEST_CASE("a vote that could not be stored is not given, and is stored before the host takes part again")
{
    AgreementCluster cluster(1, { "a", "b", "c" });
    AgreementCluster::Host& host = cluster.host("a");
    cluster.isolate(host.id);
    std::vector<AgreementMessage> replies;
    cluster.tamper = [&](HostId const& from, HostId const&, std::string& bytes) {
        if (from == host.id)
            replies.push_back(decodeMessage(bytes));
    };
    VoteRequest request;
    request.term = Term(50);
    request.lastIndex = LogIndex(100);
    request.lastTerm = Term(49);
    host.disk.failAll(ResultCode::DiskFull);
    host.log->onMessage(HostId("b"), encodeMessage(request));
    CHECK(replies.empty());
    host.disk.heal();
    REQUIRE(cluster.runUntil([&] { return isServing(host); }, cluster.times.storageRetryInterval + Duration::milliseconds(20)));
    CHECK(host.disk.durable().hardState.term == Term(50));
    CHECK(host.disk.durable().hardState.votedFor == HostId("b"));
    replies.clear();
    host.log->onMessage(HostId("c"), encodeMessage(request));
    REQUIRE(replies.size() == 1);
    CHECK_FALSE(std::get<VoteReply>(replies.front()).isGranted);
}

TEST_CASE("entries that were applied and left out of memory before they were synced are not lost in a recovery")
{
    ReplicatedLogLimits limits;
    limits.snapshotAfterEntries = 20;
    limits.retainedEntries = 5;
    size_t snapshotsBeforeFailedSync = 0;
    for (uint64_t run = 1; run <= 5; run++) {
        AgreementCluster cluster(run, { "a", "b", "c" }, {}, limits);
        for (int i = 0; i < 16; i++)
            commit(cluster, "before " + std::to_string(i));
        cluster.runFor(Duration::seconds(1));
        AgreementCluster::Host& host = *cluster.hosts.at(otherThan(*cluster.leader()));
        cluster.isolate(host.id);
        for (int i = 0; i < 22; i++)
            commit(cluster, "meanwhile " + std::to_string(i));
        // Three messages bring the entries, so that they arrive in a step with a tick: it takes a snapshot before the flush.
        cluster.network.faults.delayMin = cluster.network.faults.delayMax = Duration::milliseconds(AgreementCluster::tickMs);
        cluster.heal();
        host.disk.failSyncs(ResultCode::StorageFailed);
        cluster.runFor(Duration::seconds(1));
        snapshotsBeforeFailedSync += host.disk.durable().snapshot.lastIndex > LogIndex(30) ? 1 : 0;
        host.disk.heal();
        REQUIRE(cluster.runUntil([&] { return cluster.hasConverged() && isServing(host); }, recoveryBound));
        cluster.restart(host.id);
        CHECK(cluster.runUntil([&] { return cluster.hasConverged(); }, recoveryBound));
    }
    CHECK(snapshotsBeforeFailedSync > 0);
}

TEST_CASE("a deposed leader whose disk fails while it gets a snapshot does not keep its own entries")
{
    ReplicatedLogLimits limits;
    limits.snapshotAfterEntries = 5;
    limits.retainedEntries = 1;
    for (size_t failingCall = 1; failingCall <= 6; failingCall++) {
        for (size_t earlierFaults = 0; earlierFaults < 3; earlierFaults++) {
            AgreementCluster cluster(failingCall, { "a", "b", "c" }, {}, limits);
            commit(cluster, "x");
            AgreementCluster::Host& old = *cluster.hosts.at(*cluster.leader());
            // What a failing saveSnapshot leaves depends on how many calls failed before it.
            for (size_t i = 0; i < earlierFaults; i++) {
                old.disk.failNext(ResultCode::StorageFailed);
                auto const isHit = [&] { return cluster.propose("fault"), !isServing(old); };
                REQUIRE(cluster.runUntil(isHit, recoveryBound));
                REQUIRE(cluster.runUntil([&] { return isServing(old); }, recoveryBound));
            }
            REQUIRE(cluster.runUntil([&] { return cluster.leader().has_value(); }, recoveryBound));
            cluster.leaderLog()->transferLeadership(old.id);
            REQUIRE(cluster.runUntil([&] { return cluster.leader() == old.id; }, recoveryBound));
            cluster.isolate(old.id);
            for (int i = 0; i < 30; i++)
                cluster.propose("never committed " + std::to_string(i));
            REQUIRE(cluster.runUntil([&] { return cluster.leader() && *cluster.leader() != old.id; }, recoveryBound));
            for (int i = 0; i < 10; i++)
                commit(cluster, "y" + std::to_string(i));
            old.disk.failNth(failingCall, ResultCode::DiskFull);
            cluster.heal();
            cluster.runFor(recoveryBound);
            commit(cluster, "z");
            CHECK(cluster.runUntil([&] { return cluster.hasConverged() && isServing(old); }, recoveryBound));
            cluster.restart(old.id);
            CHECK(cluster.runUntil([&] { return cluster.hasConverged(); }, recoveryBound));
        }
    }
}

TEST_CASE("a proposal that waited for a failed sync ends as unknown and is kept or replaced everywhere")
{
    for (uint64_t run = 1; run <= 20; run++) {
        AgreementCluster cluster(run, { "a", "b", "c" });
        commit(cluster, "x");
        AgreementCluster::Host& host = *cluster.hosts.at(*cluster.leader());
        host.disk.failSyncs(ResultCode::StorageFailed);
        std::optional<ResultCode> code;
        host.log->propose("open", [&](ProposalOutcome const& outcome) { code = outcome.code; });
        REQUIRE(cluster.runUntil([&] { return code.has_value(); }, recoveryBound));
        CHECK(*code == ResultCode::OutcomeUnknown);
        cluster.runFor(diskFullFor);
        host.disk.heal();
        commit(cluster, "y");
        CHECK(cluster.runUntil([&] { return cluster.hasConverged() && isServing(host); }, recoveryBound));
    }
}

TEST_CASE("a sole voter serves again once its disk has room")
{
    AgreementCluster cluster(1, { "a" });
    cluster.propose("x");
    fillDiskFor(cluster, HostId("a"), diskFullFor);
    CHECK_FALSE(cluster.leader());
    REQUIRE(cluster.runUntil([&] { return cluster.leader().has_value(); }, cluster.times.storageRetryInterval + Duration::milliseconds(20)));
    cluster.propose("y");
    CHECK(cluster.acknowledgedCount() == 2);
    cluster.restart(HostId("a"));
    CHECK(cluster.host("a").log->appliedIndex() > cluster.acknowledgedCommands().rbegin()->first);
}

TEST_CASE("a host whose storage is damaged does not take part again")
{
    AgreementCluster cluster(1, { "a", "b", "c" });
    commit(cluster, "x");
    AgreementCluster::Host& host = *cluster.hosts.at(otherThan(*cluster.leader()));
    host.disk.failNext(ResultCode::StorageDamaged);
    cluster.propose("y");
    cluster.runFor(Duration::minutes(1));
    CHECK_FALSE(isServing(host));
}

TEST_CASE("a group whose disks have room for entries but not for a snapshot goes on")
{
    ReplicatedLogLimits limits;
    limits.snapshotAfterEntries = 5;
    limits.retainedEntries = 1;
    for (uint64_t run = 1; run <= 5; run++) {
        AgreementCluster cluster(run, { "a", "b", "c" }, {}, limits);
        commit(cluster, "x");
        for (auto const& [id, host] : cluster.hosts)
            host->disk.failSnapshots(ResultCode::DiskFull);
        size_t const before = cluster.acknowledgedCount();
        for (int i = 0; i < 300; i++) {
            cluster.propose("y" + std::to_string(i));
            cluster.runFor(Duration::milliseconds(100));
        }
        size_t faults = 0;
        for (auto const& [id, host] : cluster.hosts)
            faults += host->events.count(EventId::StorageFault);
        CAPTURE(run, faults);
        CHECK(cluster.acknowledgedCount() - before >= 200);
    }
}

TEST_CASE("a host whose disk has no room for a snapshot still counts for the majority")
{
    ReplicatedLogLimits limits;
    limits.snapshotAfterEntries = 5;
    limits.retainedEntries = 1;
    AgreementCluster cluster(1, { "a", "b", "c" }, {}, limits);
    commit(cluster, "x");
    AgreementCluster::Host& host = *cluster.hosts.at(otherThan(*cluster.leader()));
    host.disk.failSnapshots(ResultCode::DiskFull);
    size_t servingSteps = 0;
    for (int i = 0; i < 300; i++) {
        cluster.propose("y" + std::to_string(i));
        cluster.runFor(Duration::milliseconds(100));
        servingSteps += isServing(host);
    }
    CAPTURE(host.events.count(EventId::StorageFault));
    CHECK(servingSteps >= 200);
}

TEST_CASE("a host that could not install a leader's snapshot does not replace it by an older one of its own")
{
    ReplicatedLogLimits limits;
    limits.snapshotAfterEntries = 5;
    limits.retainedEntries = 1;
    for (uint64_t run = 1; run <= 10; run++) {
        AgreementCluster cluster(run, { "a", "b", "c" }, {}, limits);
        commit(cluster, "x");
        AgreementCluster::Host& host = *cluster.hosts.at(otherThan(*cluster.leader()));
        host.disk.failSnapshots(ResultCode::DiskFull);
        for (uint64_t i = 0; i < 4 + run; i++)
            commit(cluster, "before");
        cluster.isolate(host.id);
        for (int i = 0; i < 60; i++)
            commit(cluster, "meanwhile");
        cluster.heal();
        REQUIRE_NOTHROW(cluster.runFor(Duration::seconds(30)));
        host.disk.heal();
        CHECK(cluster.runUntil([&] { return cluster.hasConverged() && isServing(host); }, Duration::seconds(10)));
    }
}

TEST_CASE("a host whose disk takes the bytes of a recovery but no entries does not fail twice a second")
{
    AgreementCluster cluster(1, { "a", "b", "c" });
    commit(cluster, "x");
    AgreementCluster::Host& host = *cluster.hosts.at(otherThan(*cluster.leader()));
    host.disk.failEntries(ResultCode::DiskFull);
    for (int i = 0; i < 300; i++) {
        cluster.propose("y" + std::to_string(i));
        cluster.runFor(Duration::milliseconds(100));
    }
    Duration const span = Duration::seconds(30);
    auto const perInterval = static_cast<size_t>(span.toMilliseconds() / cluster.times.storageFaultInterval.toMilliseconds());
    CHECK(host.events.count(EventId::StorageFault) <= 3 * perInterval);
    host.disk.heal();
    CHECK(cluster.runUntil([&] { return cluster.hasConverged() && isServing(host); }, Duration::seconds(10)));
}
