// What a new leader does not know of the orders that its predecessor sent to a former process of a worker.

#include "testing/fakes/LaterProcessBench.h"
#include "testing/fakes/RelayedBench.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);

} // namespace

TEST_CASE("a new leader that does not know of a worker's present process lets its lease end that a start for the former one extended")
{
    RelayedBench hosts(3);
    JobBench& bench = hosts.bench;
    TwoWorkers workers(bench);
    bench.group.catchUpFollowers();
    bench.run(second * 20);
    workers.place();
    bench.group.catchUpFollowers();
    bench.fleet.crash(workers.free);
    bench.run(Duration::milliseconds(200));
    bench.fleet.restart(workers.free);
    REQUIRE(bench.fleet.runningCountOn(workers.free) == 1);
    bench.fleet.setCut(workers.free, true);
    size_t const next = 1 - bench.group.leader();
    bench.crashLeader();
    bench.run(Duration::milliseconds(800));
    bench.elect(next);
    bench.cancel(workers.other.id);
    bench.run(second * 25);
    workers.checkOneRun();
}

TEST_CASE("a new leader that learned of a worker's present process by a snapshot lets its lease end that a start for the former one extended")
{
    RelayedBench hosts(3);
    JobBench& bench = hosts.bench;
    TwoWorkers workers(bench);
    workers.place();
    bench.fleet.crash(workers.free);
    bench.run(Duration::milliseconds(200));
    bench.fleet.restart(workers.free);
    REQUIRE(bench.fleet.runningCountOn(workers.free) == 1);
    workers.announce(workers.free);
    bench.fleet.setCut(workers.free, true);
    bench.run(Duration::milliseconds(50));
    size_t const next = 1 - bench.group.leader();
    bench.group.installSnapshot(next);
    bench.crashLeader();
    bench.run(Duration::milliseconds(800));
    bench.elect(next);
    bench.cancel(workers.other.id);
    bench.run(second * 25);
    workers.checkOneRun();
}
