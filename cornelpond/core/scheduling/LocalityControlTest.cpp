// Replays load in which many tasks prefer one rack.

#include "testing/fakes/JobBench.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);
constexpr Duration runTime = Duration::milliseconds(800);
constexpr double slowdown = 1.5;

/// Three racks of eight workers of 16 cores.
class RackBench {
public:
    explicit RackBench(std::optional<double> slowdownElsewhere = slowdown)
        : bench(1, 2, JobBench::OrdersFactory(), limitsWith(slowdownElsewhere))
    {
        this->bench.fleet.setSlowdownElsewhere(slowdown);
        this->bench.addWorkers(24, 16000);
    }

    void submitTo(std::string const& rack, std::string const& id, uint32_t tasks, double runTimeFactor = 1)
    {
        JobSpec job = makeJob(id, tasks, 4000, runTime);
        job.stages[0].dataRack = RackId(rack);
        this->bench.submit(job, runTimeFactor);
        this->jobs.push_back(job.id);
    }

    /// Until the last of the jobs has ended.
    Duration longestTurnaround() const
    {
        Duration longest;
        for (auto const& job : this->jobs)
            longest = std::max(longest, this->bench.turnaroundTime(job));
        return longest;
    }

    uint64_t starts(LocalityOutcome outcome)
    {
        auto const& starts = this->bench.leader().scheduler().localityCounters().starts;
        auto const found = starts.find(outcome);
        return found == starts.end() ? 0 : found->second;
    }

    JobBench bench;
    std::vector<JobId> jobs;

private:
    static JobLimits limitsWith(std::optional<double> slowdownElsewhere)
    {
        JobLimits limits;
        limits.slowdownElsewhere = slowdownElsewhere;
        return limits;
    }
};

} // namespace

TEST_CASE("load: a rack that most tasks prefer, beside idle racks, gets what it can take, and the others run elsewhere at once")
{
    RackBench racks;
    // The rack has room for 32 tasks at a time.
    for (int i = 0; i < 8; i++)
        racks.submitTo("r0", "hot" + std::to_string(i), 10);
    REQUIRE(racks.bench.runUntilIdle(second * 20));
    CHECK(racks.starts(LocalityOutcome::Near) == 32);
    CHECK(racks.starts(LocalityOutcome::Elsewhere) == 48);
    // Elsewhere, a task takes 1.2 s; all together near, in three turns, 2.4 s.
    CHECK(racks.longestTurnaround().toMilliseconds() < 1500);
}

TEST_CASE("load: without a known slowdown tasks wait for the rack for a fixed time")
{
    RackBench racks(std::nullopt);
    for (int i = 0; i < 8; i++)
        racks.submitTo("r0", "hot" + std::to_string(i), 10);
    REQUIRE(racks.bench.runUntilIdle(second * 20));
    // Two turns of 32 tasks near; the others leave after 1.6 s.
    CHECK(racks.starts(LocalityOutcome::Elsewhere) == 16);
    CHECK(racks.longestTurnaround().toMilliseconds() > 2300);
}

TEST_CASE("load: tasks wait for a rack that has room sooner than a run elsewhere costs")
{
    RackBench racks;
    racks.submitTo("r0", "first", 32);
    racks.bench.run(Duration::milliseconds(600));
    racks.submitTo("r0", "second", 8);
    REQUIRE(racks.bench.runUntilIdle(second * 20));
    CHECK(racks.starts(LocalityOutcome::NearAfterWait) == 8);
    CHECK(racks.bench.turnaroundTime(JobId("second")).toMilliseconds() < 1200);
}

TEST_CASE("load: a task whose rack holds no workers runs elsewhere at once")
{
    RackBench racks;
    for (int i = 0; i < 8; i++)
        racks.bench.fleet.setDraining(WorkerId("w" + std::to_string(i)));
    racks.bench.run(second * 2);
    racks.submitTo("r0", "plan", 4);
    REQUIRE(racks.bench.runUntilIdle(second * 20));
    CHECK(racks.starts(LocalityOutcome::Elsewhere) == 4);
    CHECK(racks.longestTurnaround().toMilliseconds() < 1500);
}

TEST_CASE("load: a rack that is lost during a wait ends the wait")
{
    RackBench racks;
    racks.submitTo("r0", "first", 32);
    racks.bench.run(Duration::milliseconds(500));
    racks.submitTo("r0", "second", 8);
    racks.bench.run(Duration::milliseconds(100));
    for (int i = 0; i < 8; i++)
        racks.bench.fleet.crash(WorkerId("w" + std::to_string(i)));
    racks.bench.run(second * 2);
    CHECK(racks.bench.state(JobId("second")) == JobState::Completed);
}

TEST_CASE("load: estimates that are far too low at most double what a run elsewhere costs")
{
    RackBench racks;
    racks.submitTo("r0", "first", 32, 20);
    racks.bench.run(Duration::milliseconds(600));
    racks.submitTo("r0", "second", 8);
    racks.bench.run(second * 3);
    // 1.2 s elsewhere, after a wait of 0.4 s at most.
    CHECK(racks.bench.turnaroundTime(JobId("second")).toMilliseconds() < 1800);
}

TEST_CASE("load: a new leader goes on with the waits, and no task waits longer than before")
{
    RackBench racks;
    racks.submitTo("r0", "first", 32, 20);
    racks.bench.run(Duration::milliseconds(600));
    racks.submitTo("r0", "second", 8);
    racks.bench.run(Duration::milliseconds(200));
    racks.bench.elect(1);
    racks.bench.run(second * 4);
    CHECK(racks.bench.state(JobId("second")) == JobState::Completed);
}

TEST_CASE("load: a gang that no rack can take in time starts on several racks")
{
    RackBench racks;
    JobSpec gang = makeJob("gang", 24, 6000, runTime);
    gang.stages[0].isGang = true;
    gang.stages[0].prefersOneRack = true;
    racks.bench.submit(gang);
    racks.bench.run(Duration::milliseconds(300));
    // A rack holds 16 members.
    CHECK(racks.bench.fleet.runningCount(gang.id) == 24);
    CHECK(racks.starts(LocalityOutcome::Elsewhere) == 1);
}

TEST_CASE("load: a gang waits for a rack that is free sooner than a run on several racks costs")
{
    RackBench racks;
    // Two tasks a worker on each rack, so that a rack has room for eight members of 6 cores.
    for (char const* rack : { "r0", "r1", "r2" })
        racks.submitTo(rack, std::string("busy-") + rack, 32);
    racks.bench.run(Duration::milliseconds(600));
    JobSpec gang = makeJob("gang", 16, 6000, runTime);
    gang.stages[0].isGang = true;
    gang.stages[0].prefersOneRack = true;
    racks.bench.submit(gang);
    REQUIRE(racks.bench.runUntilIdle(second * 10));
    CHECK(racks.starts(LocalityOutcome::NearAfterWait) == 1);
}
