#include "cornelpond/app/FleetMetrics.h"

#include "testing/fakes/JobBench.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

bool contains(std::string const& text, std::string const& line)
{
    return text.find(line + "\n") != std::string::npos;
}

} // namespace

TEST_CASE("the metrics tell ended and unfinished jobs by size, and the room of the fleet")
{
    JobBench bench(1);
    bench.addWorkers(2, 4000);
    bench.submit(makeServiceJob("watch", 1, 3000, "image"));
    bench.submit(makeJob("plan", 4, 1000, Duration::seconds(1)));
    bench.run(Duration::seconds(3));
    bench.submit(makeJob("waiting", 1, 5000, Duration::seconds(1)));
    bench.run(Duration::milliseconds(100));
    Metrics metrics;
    fillSchedulerMetrics(bench.leader().scheduler(), metrics);
    std::string const text = metrics.text();
    CHECK(contains(text, "jobsEnded{coreSeconds=\"4\",outcome=\"inTime\"} 1"));
    CHECK(contains(text, "jobsUnfinished{coreSeconds=\"16\"} 1"));
    CHECK(contains(text, "jobsUnfinished{coreSeconds=\"4\"} 0"));
    CHECK(contains(text, "capacityMilliCores 8000"));
    CHECK(contains(text, "serviceMilliCores 3000"));
    CHECK(contains(text, "freePlaces{cores=\"4\"} 1"));
    CHECK(contains(text, "placesBesideServices{cores=\"2\"} 2"));
    CHECK(contains(text, "waitingTasks{class=\"short\"} 1"));
    CHECK(contains(text, "oldestWaitingTaskMs{class=\"short\"} 100"));
    CHECK(contains(text, "waitingTasks{class=\"bestEffort\"} 0"));
}
