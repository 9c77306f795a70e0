// Orders that are read by a later process of a worker than the one for which they were sent.

#include "testing/fakes/LaterProcessBench.h"
#include "testing/fakes/LaterProcessSequences.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);

} // namespace

TEST_CASE("a worker that refuses orders for its former process by the epoch of newer ones of the same leader stays in use")
{
    SilentBench hosts;
    hosts.path.silent = hosts.workers.free;
    hosts.workers.place();
    hosts.bench.run(second / 2);
    hosts.bench.fleet.restart(hosts.workers.free);
    hosts.workers.announce(hosts.workers.free);
    hosts.path.silent = WorkerId();
    hosts.bench.run(second);
    hosts.path.release();
    hosts.bench.run(second);
    REQUIRE(hosts.path.results.size() >= 2);
    for (OrderResult const result : hosts.path.results)
        CHECK(result == OrderResult::RefusedEpoch);
    CHECK(hosts.bench.events.count(EventId::WorkerSuperseded) == 0);
    CHECK(workerOf(hosts.bench, hosts.workers.job) == hosts.workers.free);
    hosts.workers.checkOneRun();
}

TEST_CASE("no sequence of restarts and cuts sends a start or a lease that names no process, or makes the leader give up a worker")
{
    rc::prop("", [] {
        SequenceFaults faults;
        faults.orders.ordersOutliveProcesses = true;
        faults.orders.lateOrderShare = 0.05;
        faults.orders.minLateDelay = Duration::milliseconds(100);
        faults.orders.maxLateDelay = second * 3;
        SequenceResult const result = runSequence(*rc::gen::arbitrary<uint32_t>(), faults);
        RC_ASSERT(result.starts > 0U);
        RC_ASSERT(result.unboundOrders == 0U);
        RC_ASSERT(result.superseded == 0U);
    });
}

TEST_CASE("no sequence of restarts, cuts and crashes of leaders runs a task in two places where orders reach later processes")
{
    rc::prop("", [] {
        SequenceFaults faults;
        faults.orders.ordersOutliveProcesses = true;
        faults.changesLeaders = true;
        RC_ASSERT(runSequence(*rc::gen::arbitrary<uint32_t>(), faults).duplicateRuns == 0U);
    });
}
