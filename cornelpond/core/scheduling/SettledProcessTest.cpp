// What a new leader knows of the processes of workers: which may still be affected by orders for former ones.

#include "testing/fakes/LaterProcessBench.h"
#include "testing/fakes/RelayedBench.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);

} // namespace

TEST_CASE("a restarted worker's process is recorded once as settled, after the longest lease that orders for the former one may extend")
{
    JobBench bench(3);
    TwoWorkers workers(bench);
    CHECK(bench.events.count(EventId::WorkerProcessSettled) == 0);
    bench.fleet.restart(workers.free);
    workers.announce(workers.free);
    bench.run(FakeFleet::maxLease);
    CHECK(bench.events.count(EventId::WorkerProcessSettled) == 0);
    bench.run(second * 2);
    CHECK(bench.events.count(EventId::WorkerProcessSettled) == 1);
    size_t const commits = bench.group.commitCount();
    bench.run(second * 20);
    CHECK(bench.events.count(EventId::WorkerProcessSettled) == 1);
    CHECK(bench.group.commitCount() == commits);
}

TEST_CASE("a new leader that learned of a settled process by a snapshot waits for its tasks no longer than for those of any worker")
{
    JobBench bench(3);
    TwoWorkers workers(bench);
    bench.fleet.restart(workers.free);
    workers.announce(workers.free);
    bench.run(second * 10);
    bench.submit(workers.job);
    bench.run(second);
    REQUIRE(workerOf(bench, workers.job) == workers.free);
    size_t const next = 1 - bench.group.leader();
    bench.group.installSnapshot(next);
    bench.fleet.setCut(workers.free, true);
    bench.crashLeader();
    bench.elect(next);
    bench.cancel(workers.other.id);
    DispatchTimes const times;
    bench.run(times.leaseDuration + times.leaseMargin + second / 5);
    CHECK(workerOf(bench, workers.job) == workers.occupied);
    workers.checkOneRun();
}

TEST_CASE("a new leader lets the lease end of a process that its predecessor knew by a listing alone")
{
    RelayedBench hosts(3);
    JobBench& bench = hosts.bench;
    TwoWorkers workers(bench);
    bench.group.catchUpFollowers();
    bench.run(second * 20);
    workers.place();
    bench.fleet.crash(workers.free);
    bench.run(Duration::milliseconds(200));
    bench.fleet.restart(workers.free);
    REQUIRE(bench.fleet.runningCountOn(workers.free) == 1);
    WorkerView const& view = bench.leader().scheduler().dispatcher().workers().at(workers.free);
    for (int i = 0; i < 100 && view.profile.bornMs != bench.fleet.processBornMs(workers.free); i++)
        bench.run(Duration::milliseconds(10));
    REQUIRE(view.profile.bornMs == bench.fleet.processBornMs(workers.free));
    bench.fleet.setCut(workers.free, true);
    bench.run(Duration::milliseconds(20));
    bench.group.catchUpFollowers();
    size_t const next = 1 - bench.group.leader();
    bench.crashLeader();
    bench.run(Duration::milliseconds(800));
    bench.elect(next);
    bench.cancel(workers.other.id);
    bench.run(second * 25);
    workers.checkOneRun();
}
