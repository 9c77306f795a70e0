// The lease of a worker that was restarted under its id.

#include "testing/fakes/RelayedBench.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);

} // namespace

// The lease in the start is a time on the former incarnation's clock: the present one cuts it to the longest that it grants.
TEST_CASE("tasks of a worker that was restarted as a start reached it, and then cut off, start elsewhere only after its lease")
{
    RelayedBench hosts(3);
    JobBench& bench = hosts.bench;
    bench.addWorkers(2, 16000);
    bench.run(second * 30);
    JobSpec const job = makeJob("plan", 1, 16000, second * 60);
    bench.submit(job);
    WorkerId worker;
    for (int i = 0; i < 50 && worker.empty(); i++) {
        bench.run(Duration::milliseconds(10));
        for (auto const& [id, view] : bench.leader().scheduler().dispatcher().workers()) {
            if (!view.placed.empty())
                worker = id;
        }
    }
    REQUIRE(!worker.empty());
    hosts.restart(worker);
    bench.run(second / 2);
    REQUIRE(bench.fleet.runningCountOn(worker) == 1);
    bench.fleet.setCut(worker, true);
    bench.run(second * 8);
    CHECK(bench.fleet.record().duplicateRuns == 0);
    CHECK(bench.fleet.runningCount(job.id) == 1);
}
