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
        HostId const follower(leader == HostId("a") ? "b" : "a");
        fillDiskFor(cluster, follower, diskFullFor);
        fillDiskFor(cluster, leader, diskFullFor);
        commit(cluster, "after");
        CHECK(cluster.runUntil([&] { return cluster.hasConverged(); }, recoveryBound));
    }
}
