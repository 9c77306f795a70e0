// A start that a later process of a worker reads while its leader does not know of that process.

#include "testing/fakes/LaterProcessBench.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);

} // namespace

TEST_CASE("a start that a later process reads after the former one's lease was over runs beside no later attempt")
{
    SilentBench hosts;
    hosts.path.silent = hosts.workers.free;
    hosts.workers.place();
    hosts.bench.fleet.crash(hosts.workers.free);
    hosts.bench.cancel(hosts.workers.other.id);
    hosts.bench.run(second * 6);
    hosts.bench.fleet.restart(hosts.workers.free);
    hosts.path.release();
    hosts.bench.run(second * 2);
    CHECK(hosts.bench.fleet.record().duplicateRuns == 0);
}

TEST_CASE("a start for a former process that is read by one of which the leader never learns runs nowhere else before its lease ends")
{
    SilentBench hosts;
    hosts.path.silent = hosts.workers.free;
    hosts.workers.place();
    hosts.bench.fleet.crash(hosts.workers.free);
    hosts.bench.run(Duration::milliseconds(600));
    hosts.bench.fleet.restart(hosts.workers.free);
    hosts.path.release();
    hosts.bench.run(Duration::milliseconds(10));
    REQUIRE(hosts.bench.fleet.runningCountOn(hosts.workers.free) == 1);
    hosts.bench.fleet.setCut(hosts.workers.free, true);
    hosts.bench.cancel(hosts.workers.other.id);
    hosts.bench.run(second * 25);
    hosts.workers.checkOneRun();
}
