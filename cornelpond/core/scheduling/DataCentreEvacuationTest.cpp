#include "cornelpond/core/scheduling/JobService.h"

#include "testing/fakes/JobBench.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);
constexpr Duration step = Duration::milliseconds(10);
constexpr size_t dataCentreCount = 3;

struct EvacuationBench : JobBench {
    explicit EvacuationBench(uint64_t seed, size_t workers = 6, int64_t milliCores = 16000)
        : JobBench(seed)
        , workerCount(workers)
    {
        this->addWorkers(workers, milliCores, dataCentreCount);
    }

    /// Tasks that run on the workers of the data centre.
    size_t runningIn(size_t dataCentre) const
    {
        size_t count = 0;
        for (size_t i = dataCentre; i < this->workerCount; i += dataCentreCount)
            count += this->fleet.runningCountOn(workerOf(i));
        return count;
    }

    static WorkerId workerOf(size_t index) { return WorkerId("w" + std::to_string(index)); }

    CallResult start(std::string const& dataCentre) { return this->evacuate(EvacuationChange::Start, dataCentre).value(); }
    CallResult finish(std::string const& dataCentre) { return this->evacuate(EvacuationChange::Finish, dataCentre).value(); }

    /// Runs for the time given; returns the most tasks that ran in the data centre at once.
    size_t mostRunningIn(size_t dataCentre, Duration span)
    {
        size_t most = 0;
        for (TimePoint const end = this->clock.now() + span; this->clock.now() < end;) {
            this->run(step);
            most = std::max(most, this->runningIn(dataCentre));
        }
        return most;
    }

    size_t workerCount;
};

JobSpec shortJob(std::string const& id, uint32_t tasks)
{
    return makeJob(id, tasks, 1000, Duration::milliseconds(400));
}

} // namespace

TEST_CASE("from the commit of an evacuation on no task starts in the data centre, until it is finished")
{
    EvacuationBench bench(1);
    REQUIRE(bench.start("dc1") == CallResult::Done);
    bench.submit(shortJob("a", 60));
    CHECK(bench.mostRunningIn(1, second * 3) == 0);
    CHECK(bench.state(JobId("a")) == JobState::Completed);
    CHECK(bench.start("dc1") == CallResult::Done);
    REQUIRE(bench.finish("dc1") == CallResult::Done);
    CHECK(bench.finish("dc1") == CallResult::Done);
    bench.submit(shortJob("b", 90));
    CHECK(bench.mostRunningIn(1, second * 2) > 0);
    CHECK(bench.events.count(EventId::EvacuationStarted) == 1);
    CHECK(bench.events.count(EventId::EvacuationFinished) == 1);
}

TEST_CASE("a call that is not committed is not acknowledged, and a host that does not lead refuses it")
{
    EvacuationBench bench(2);
    bench.isCommitting = false;
    CHECK_FALSE(bench.evacuate(EvacuationChange::Start, "dc1"));
    bench.group.resign();
    CHECK(bench.evacuate(EvacuationChange::Start, "dc1") == CallResult::NotLeader);
}

TEST_CASE("an evacuation is kept by the next leader and by a host that was restarted")
{
    EvacuationBench bench(3);
    bench.submit(shortJob("a", 90));
    bench.run(second / 5);
    REQUIRE(bench.start("dc1") == CallResult::Done);
    bench.crashLeader();
    for (size_t host : { 1, 0 }) {
        bench.elect(host);
        bench.run(second);
        bench.submit(shortJob("of-" + std::to_string(host), 60));
        CHECK(bench.mostRunningIn(1, second * 3) == 0);
    }
    CHECK(bench.runUntilIdle(second * 10));
    CHECK(bench.fleet.record().duplicateRuns == 0);
}

// A late copy of a start must not close a data centre that is open again, and a late copy of a finish must not open one.
TEST_CASE("a call that may be a copy of one that was reversed is put off until it cannot be")
{
    EvacuationBench bench(4);
    REQUIRE(bench.start("dc1") == CallResult::Done);
    bench.run(second);
    REQUIRE(bench.finish("dc1") == CallResult::Done);
    CHECK(bench.start("dc1") == CallResult::Refused);
    CHECK(bench.start("dc2") == CallResult::Done);
    CHECK(bench.leader().evacuations().all().count(DataCentreId("dc1")) == 0);
    bench.run(second * 4);
    CHECK(bench.start("dc1") == CallResult::Done);
    CHECK(bench.finish("dc1") == CallResult::Refused);
    CHECK(bench.leader().evacuations().isEvacuated(DataCentreId("dc1")));
    bench.run(second * 2);
    CHECK(bench.finish("dc1") == CallResult::Done);
}

// A start order that got no answer is sent again until the worker confirms it.
TEST_CASE("committed starts that no worker has confirmed are withdrawn and run elsewhere")
{
    EvacuationBench bench(5, 3);
    bench.fleet.setLostStarts(EvacuationBench::workerOf(1), true);
    bench.submit(makeJob("a", 40, 1000, second));
    bench.run(Duration::milliseconds(150));
    REQUIRE(bench.start("dc1") == CallResult::Done);
    bench.fleet.setLostStarts(EvacuationBench::workerOf(1), false);
    CHECK(bench.mostRunningIn(1, second * 8) == 0);
    CHECK(bench.events.count(EventId::EvacuatedTask) > 0);
    CHECK(bench.state(JobId("a")) == JobState::Completed);
    CHECK(bench.fleet.record().duplicateRuns == 0);
}

TEST_CASE("service tasks leave within their limit of unavailable tasks, and all run again elsewhere")
{
    EvacuationBench bench(6);
    JobSpec job = makeServiceJob("s", 9, 2000, "web");
    job.stages[0].maxUnavailable = 2;
    job.stages[0].maxTasksPerWorker = 3; // Spreads them over the data centres.
    bench.submit(job);
    bench.run(second * 3);
    REQUIRE(bench.fleet.runningCount(job.id) == 9);
    size_t evacuated = 0;
    while (!bench.runningIn(evacuated))
        evacuated++;
    REQUIRE(bench.start("dc" + std::to_string(evacuated)) == CallResult::Done);
    size_t fewest = 9;
    for (TimePoint const end = bench.clock.now() + second * 20; bench.clock.now() < end;) {
        bench.run(step);
        fewest = std::min(fewest, bench.fleet.runningCount(job.id));
    }
    CHECK(fewest >= 7);
    CHECK(fewest < 9);
    CHECK(bench.runningIn(evacuated) == 0);
    CHECK(bench.fleet.runningCount(job.id) == 9);
}

TEST_CASE("in a full fleet service tasks stay where they are, also when the evacuation is finished")
{
    EvacuationBench bench(7);
    JobSpec const job = makeServiceJob("s", 6, 15000, "web");
    bench.submit(job);
    bench.run(second * 10);
    REQUIRE(bench.fleet.runningCount(job.id) == 6);
    REQUIRE(bench.start("dc1") == CallResult::Done);
    bench.run(second * 6);
    CHECK(bench.leader().scheduler().evacuation().progress().at(DataCentreId("dc1")).service == 2);
    REQUIRE(bench.finish("dc1") == CallResult::Done);
    bench.run(second * 2);
    CHECK(bench.fleet.runningCount(job.id) == 6);
    CHECK(bench.fleet.record().starts == 6);
}

// A burst of short tasks on two thirds of a fleet, beside service tasks that would take the room that it waits for.
TEST_CASE("service tasks stay while others lack a worker, and leave afterwards")
{
    EvacuationBench bench(13, 3);
    JobSpec services = makeServiceJob("s", 3, 4000, "web");
    services.stages[0].maxTasksPerWorker = 2;
    bench.submit(services);
    bench.run(second * 3);
    REQUIRE(bench.fleet.runningCount(services.id) == 3);
    size_t evacuated = 0;
    while (!bench.runningIn(evacuated))
        evacuated++;
    bench.submit(makeJob("burst", 24, 8000, second));
    bench.run(second / 10);
    REQUIRE(bench.start("dc" + std::to_string(evacuated)) == CallResult::Done);
    bench.run(second * 4);
    REQUIRE(bench.state(JobId("burst")) == JobState::Active);
    CHECK(bench.runningIn(evacuated) > 0);
    CHECK(bench.events.count(EventId::EvictionRequested) == 0);
    bench.run(second * 16);
    CHECK(bench.state(JobId("burst")) == JobState::Completed);
    CHECK(bench.runningIn(evacuated) == 0);
}

TEST_CASE("short tasks run to their end, and long best-effort work is moved with what it has saved")
{
    EvacuationBench bench(8);
    JobSpec const shortTasks = makeJob("short", 30, 1000, second * 3);
    JobSpec const longTasks = makeBestEffortJob("long", 12, 1000, second * 20, "batch");
    bench.submit(shortTasks);
    bench.submit(longTasks);
    bench.run(second * 2);
    REQUIRE(bench.runningIn(1) > 0);
    REQUIRE(bench.start("dc1") == CallResult::Done);
    bench.run(second * 4);
    CHECK(bench.state(shortTasks.id) == JobState::Completed);
    CHECK(bench.runningIn(1) == 0);
    CHECK(bench.events.count(EventId::EvictionRequested) > 0);
    CHECK(bench.fleet.record().starts == 42 + bench.events.count(EventId::EvictionRequested));
    CHECK(bench.runUntilIdle(second * 25));
    CHECK(bench.turnaroundTime(longTasks.id) < second * 26);
}

TEST_CASE("with all data centres evacuated a job waits, is explained and runs once one is back")
{
    EvacuationBench bench(9);
    for (char const* dataCentre : { "dc0", "dc1", "dc2" })
        REQUIRE(bench.start(dataCentre) == CallResult::Done);
    bench.submit(shortJob("a", 4));
    bench.run(second * 3);
    CHECK(bench.fleet.record().starts == 0);
    CHECK(bench.state(JobId("a")) == JobState::Active);
    CHECK(bench.leader().scheduler().evacuation().jobsWithoutWorkers().example == JobId("a"));
    CHECK(bench.events.count(EventId::EvacuationProgress) > 0);
    REQUIRE(bench.finish("dc2") == CallResult::Done);
    CHECK(bench.runUntilIdle(second * 3));
}

TEST_CASE("a job whose label only workers of the evacuated data centre have waits and is explained")
{
    EvacuationBench bench(10);
    REQUIRE(bench.start("dc1") == CallResult::Done);
    JobSpec job = shortJob("a", 4);
    job.stages[0].requiredLabel = "dc1";
    bench.submit(job);
    bench.submit(shortJob("b", 4));
    CHECK(bench.mostRunningIn(1, second * 3) == 0);
    JobsWithoutWorkers const waiting = bench.leader().scheduler().evacuation().jobsWithoutWorkers();
    CHECK(waiting.count == 1);
    CHECK(waiting.label == "dc1");
    bench.run(second * 3); // Later than a copy of the start may arrive.
    REQUIRE(bench.finish("dc1") == CallResult::Done);
    CHECK(bench.runUntilIdle(second * 3));
}

TEST_CASE("work of a data centre whose data is there runs elsewhere, slower")
{
    EvacuationBench bench(11);
    REQUIRE(bench.start("dc0") == CallResult::Done);
    REQUIRE(bench.start("dc1") == CallResult::Done);
    JobSpec job = shortJob("a", 4);
    job.stages[0].dataRack = RackId("r9");
    bench.submit(job);
    CHECK(bench.runUntilIdle(second * 3));
    CHECK(bench.runningIn(0) + bench.runningIn(1) == 0);
}

TEST_CASE("workers that are cut off during an evacuation, drain or restart take no task when they are back")
{
    EvacuationBench bench(12);
    bench.fleet.setDraining(EvacuationBench::workerOf(2));
    bench.run(second * 2); // Until it has announced that.
    bench.submit(makeJob("a", 60, 1000, second * 2));
    bench.run(second / 2);
    REQUIRE(bench.runningIn(1) > 0);
    bench.fleet.setCut(EvacuationBench::workerOf(1), true);
    bench.fleet.restart(EvacuationBench::workerOf(4));
    REQUIRE(bench.start("dc1") == CallResult::Done);
    bench.run(second * 8);
    bench.fleet.setCut(EvacuationBench::workerOf(1), false);
    bench.submit(shortJob("b", 60));
    CHECK(bench.mostRunningIn(1, second * 4) == 0);
    CHECK(bench.runUntilIdle(second * 20));
    CHECK(bench.fleet.record().duplicateRuns == 0);
    CHECK(bench.fleet.record().startsWhileDraining == 0);
}
