// Replays load in which a few workers hold up whole stages.

#include "testing/fakes/JobBench.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);
constexpr Duration runTime = Duration::milliseconds(800);

JobSpec copyableJob(std::string const& id, uint32_t tasks)
{
    JobSpec job = makeJob(id, tasks, 4000, runTime);
    job.stages[0].allowsSpeculativeCopies = true;
    return job;
}

uint64_t copiesStarted(JobBench& bench)
{
    return bench.leader().scheduler().counters().copiesStarted;
}

void addWorkerLike(JobBench& bench, std::string const& like, std::string const& id, double speed)
{
    WorkerProfile profile = bench.fleet.report(WorkerId(like)).profile;
    profile.id = WorkerId(id);
    profile.address = id + ":80";
    bench.fleet.addWorker(profile, speed);
}

/// A worker on which a task of the job runs.
WorkerId workerOf(JobBench& bench, JobId const& job)
{
    return bench.find(job)->occurrences.at(0).stages[0].tasks[0].liveAttempts.front().worker;
}

} // namespace

TEST_CASE("a copy is started for an attempt on a worker that does not answer, or one that takes much longer than the others")
{
    CopyInputs inputs { runTime, std::nullopt, true, 0, 3 };
    CHECK_FALSE(shouldStartCopy(inputs));
    inputs.isWorkerAnswering = false;
    CHECK(shouldStartCopy(inputs));
    inputs.isWorkerAnswering = true;
    inputs.typicalRunTime = Duration::milliseconds(400);
    CHECK_FALSE(shouldStartCopy(inputs));
    inputs.running = Duration::milliseconds(801);
    CHECK(shouldStartCopy(inputs));
}

TEST_CASE("no copy is started where it could fail the job")
{
    CHECK(shouldStartCopy({ runTime, std::nullopt, false, 0, 3 }));
    CHECK_FALSE(shouldStartCopy({ runTime, std::nullopt, false, 1, 3 }));
    CHECK_FALSE(shouldStartCopy({ runTime, std::nullopt, false, 0, 2 }));
}

TEST_CASE("load: a stage does not wait for the lease of a worker that was cut off")
{
    JobBench bench(1);
    bench.addWorkers(8, 16000);
    JobSpec const job = copyableJob("due", 8);
    bench.submit(job);
    bench.run(Duration::milliseconds(300));
    bench.fleet.setCut(workerOf(bench, job.id), true);
    REQUIRE(bench.runUntilIdle(second * 10));
    CHECK(copiesStarted(bench) > 0);
    CHECK(bench.turnaroundTime(job.id).toMilliseconds() < 2800);
    CHECK(bench.fleet.record().startsAfterDone == 0);
}

TEST_CASE("load: a stage of which tasks may run only once waits until the worker that was cut off cannot run them any more")
{
    JobBench bench(1);
    bench.addWorkers(8, 16000);
    JobSpec const job = makeJob("due", 8, 4000, runTime);
    bench.submit(job);
    bench.run(Duration::milliseconds(300));
    bench.fleet.setCut(workerOf(bench, job.id), true);
    REQUIRE(bench.runUntilIdle(second * 10));
    CHECK(copiesStarted(bench) == 0);
    CHECK(bench.turnaroundTime(job.id).toMilliseconds() > 3500);
    CHECK(bench.fleet.record().duplicateRuns == 0);
}

TEST_CASE("load: the tasks of a slow worker get a second attempt once half of their stage is done, and at most one")
{
    JobBench bench(1);
    bench.addWorkers(8, 16000);
    addWorkerLike(bench, "w0", "slow", 0.1);
    bench.run(second * 2);
    JobSpec const job = copyableJob("due", 36);
    bench.submit(job);
    REQUIRE(bench.runUntilIdle(second * 20));
    CHECK(copiesStarted(bench) == 4);
    CHECK(bench.turnaroundTime(job.id).toMilliseconds() < 3000);
}

// Failure: both attempts of a task counted towards the half of the stage after which its stragglers have copies.
TEST_CASE("load: two attempts that end as done are one task of the half that must be done before stragglers get a second attempt")
{
    JobBench bench(1);
    bench.addWorkers(1, 16000);
    addWorkerLike(bench, "w0", "slow0", 0.02);
    addWorkerLike(bench, "w0", "slow1", 0.02);
    bench.run(second * 2);
    JobSpec job = copyableJob("due", 3);
    job.stages[0].need.milliCores = 16000;
    bench.submit(job);
    bench.run(Duration::milliseconds(400));
    REQUIRE(bench.fleet.runningCount(job.id) == 3);
    for (char const* id : { "spare0", "spare1", "spare2" })
        addWorkerLike(bench, "w0", id, 1);
    bench.fleet.setCut(WorkerId("w0"), true);
    bench.run(Duration::milliseconds(2700));
    REQUIRE(copiesStarted(bench) == 1);
    bench.fleet.setCut(WorkerId("w0"), false);
    bench.run(second * 16);
    CHECK(bench.leader().scheduler().counters().attemptEnds.at(AttemptEnd::Done) == 2);
    CHECK(copiesStarted(bench) == 1);
}

TEST_CASE("load: service tasks on a worker that is silent for a moment get no second attempt")
{
    JobBench bench(1);
    bench.addWorkers(8, 16000);
    JobSpec job = makeServiceJob("watch", 8, 4000, "odd");
    job.stages[0].allowsSpeculativeCopies = true;
    bench.submit(job);
    bench.run(Duration::milliseconds(300));
    WorkerId const worker = workerOf(bench, job.id);
    bench.fleet.setCut(worker, true);
    bench.run(second * 2);
    bench.fleet.setCut(worker, false);
    bench.run(second * 3);
    CHECK(copiesStarted(bench) == 0);
    CHECK(bench.fleet.runningCount(job.id) == 8);
}

TEST_CASE("load: copies wait while tasks that have not started need the room")
{
    JobBench bench(1);
    bench.addWorkers(2, 16000);
    JobSpec const job = copyableJob("due", 8);
    bench.submit(job);
    bench.run(Duration::milliseconds(300));
    bench.fleet.setCut(workerOf(bench, job.id), true);
    JobSpec const others = makeJob("others", 4, 16000, runTime);
    bench.submit(others);
    bench.run(second);
    CHECK(copiesStarted(bench) == 0);
    CHECK(bench.fleet.runningCount(others.id) == 1);
}

TEST_CASE("load: a change of leader beside copies runs no task after it is done")
{
    JobBench bench(1);
    bench.addWorkers(8, 16000);
    JobSpec const job = copyableJob("due", 8);
    bench.submit(job);
    bench.run(Duration::milliseconds(300));
    WorkerId const cut = workerOf(bench, job.id);
    bench.fleet.setCut(cut, true);
    bench.run(Duration::milliseconds(1000));
    bench.elect(1);
    bench.run(second * 2);
    bench.fleet.setCut(cut, false);
    REQUIRE(bench.runUntilIdle(second * 10));
    CHECK(bench.state(job.id) == JobState::Completed);
    CHECK(bench.fleet.record().startsAfterDone == 0);
}
