// The lease that a start for a former process of a worker extends, when a later one reads it.

#include "testing/fakes/LaterProcessBench.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);

} // namespace

// The renewal for the present process waits until the one for the former process is given up.
TEST_CASE("a start for a former process that is read after the leader learned of the present one runs nowhere else before its lease ends")
{
    SilentBench hosts;
    hosts.path.silent = hosts.workers.free;
    hosts.workers.place();
    hosts.bench.fleet.crash(hosts.workers.free);
    hosts.bench.run(Duration::milliseconds(100));
    hosts.bench.fleet.restart(hosts.workers.free);
    hosts.workers.announce(hosts.workers.free);
    hosts.bench.run(Duration::milliseconds(900));
    hosts.path.release();
    hosts.bench.run(Duration::milliseconds(10));
    REQUIRE(hosts.bench.fleet.runningCountOn(hosts.workers.free) == 1);
    hosts.bench.fleet.setCut(hosts.workers.free, true);
    hosts.bench.cancel(hosts.workers.other.id);
    hosts.bench.run(second * 25);
    hosts.workers.checkOneRun();
}
