// Ends of a worker's present process, and acknowledgements of those of the former one.

#include "testing/fakes/LaterProcessBench.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);

} // namespace

TEST_CASE("an acknowledgement for a former process that a later one reads loses no end of its own")
{
    JobBench bench(3, 2);
    bench.announceInterval = Duration::seconds(3600);
    letOrdersOutliveProcesses(bench);
    bench.addWorkers(1, 16000);
    bench.run(second * 20);
    WorkerId const worker("w0");
    JobSpec const first = makeJob("first", 1, 8000, second * 2);
    JobSpec const next = makeJob("next", 1, 8000, Duration::milliseconds(300));
    bench.submit(first);
    bench.run(second * 2 - Duration::milliseconds(100));
    REQUIRE(bench.fleet.runningCount(first.id) == 1);
    letOrdersBeLate(bench, Duration::milliseconds(500)); // The start of the next task.
    bench.submit(next);
    bench.run(Duration::milliseconds(30));
    REQUIRE(workerOf(bench, next) == worker);
    letOrdersOutliveProcesses(bench);
    while (bench.fleet.runningCount(first.id))
        bench.run(Duration::milliseconds(10));
    letOrdersBeLate(bench, second); // The acknowledgement of the first task's end.
    bench.run(Duration::milliseconds(100));
    bench.fleet.crash(worker);
    bench.fleet.restart(worker);
    bench.run(second);
    REQUIRE(bench.fleet.record().starts == 2);
    REQUIRE(bench.fleet.runningCountOn(worker) == 0);
    letOrdersOutliveProcesses(bench);
    bench.run(second * 5);
    CHECK(bench.fleet.record().startsAfterDone == 0);
    CHECK(bench.fleet.record().starts == 2);
    CHECK(bench.state(next.id) == JobState::Completed);
}
