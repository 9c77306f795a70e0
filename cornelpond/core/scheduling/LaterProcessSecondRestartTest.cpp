// A start that is read by a process of a worker after the next one.

#include "testing/fakes/LaterProcessBench.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);

} // namespace

// The next process refuses the start by its epoch, so that its listing ends the attempt. The one after it has read no newer order.
TEST_CASE("a start that a worker reads after it was started again twice runs beside no later attempt")
{
    SilentBench hosts;
    hosts.path.silent = hosts.workers.free;
    hosts.workers.place();
    hosts.bench.run(second / 2);
    hosts.bench.fleet.restart(hosts.workers.free);
    hosts.workers.announce(hosts.workers.free);
    hosts.path.silent = WorkerId();
    hosts.bench.cancel(hosts.workers.other.id);
    hosts.bench.run(second * 4);
    REQUIRE(hosts.bench.fleet.runningCount(hosts.workers.job.id) == 1);
    REQUIRE(workerOf(hosts.bench, hosts.workers.job) == hosts.workers.occupied);
    hosts.bench.fleet.restart(hosts.workers.free);
    hosts.path.release();
    hosts.bench.run(second * 25);
    hosts.workers.checkOneRun();
}
