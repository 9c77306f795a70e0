// A start that a later process of a worker reads after the leader has concluded the attempt.

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
