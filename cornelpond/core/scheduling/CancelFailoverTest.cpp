// Cancels beside changes of leader, frozen relays, late orders and restarted workers.

#include "testing/fakes/RelayedBench.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);
constexpr Duration cancelBound = RelayedBench::cancelBound;

} // namespace

TEST_CASE("a start that a frozen relay held does not run on the worker's next incarnation after the job's cancel")
{
    RelayedBench hosts(1);
    JobBench& bench = hosts.bench;
    bench.addWorkers(1, 16000);
    bench.run(second * 30);
    JobSpec const job = makeJob("plan", 4, 1000, second * 60);
    hosts.relays().freeze(0);
    hosts.relays().freeze(1);
    bench.submit(job);
    bench.run(second / 2);
    hosts.relays().thaw(1);
    bench.run(second * 2);
    hosts.cancel(job.id);
    bench.run(second);
    REQUIRE(hosts.cancelledAt.count(job.id) == 1);
    hosts.restart(WorkerId("w0"));
    hosts.announce(WorkerId("w0"));
    bench.run(cancelBound);
    unsigned const starts = bench.fleet.record().starts;
    hosts.relays().thaw(0);
    bench.run(second * 2);
    CHECK(bench.fleet.record().starts == starts);
    CHECK(hosts.lateStarts == 0);
    CHECK(bench.fleet.runningCount(job.id) == 0);
}
