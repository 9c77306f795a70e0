// Jobs whose policy allows few of the workers: each runs as soon as a worker that it may use is free.

#include "testing/fakes/JobBench.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);

size_t workersAsked(JobBench const& bench)
{
    size_t count = 0;
    for (auto const& query : bench.fleet.permitQueries())
        count += query.workers.size();
    return count;
}

/// Allows the named workers only.
void allowOnly(JobBench& bench, std::set<WorkerId> const& workers)
{
    bench.fleet.policy().allows = [workers](TaskRef const&, WorkerId const& worker) { return workers.count(worker) > 0; };
}

} // namespace

// Failure: the same twelve workers were asked about again and again, so that a job whose policy allows others stayed queued.
TEST_CASE("each job runs though its policy allows only two workers of many")
{
    JobBench bench(1);
    bench.addWorkers(24, 16000);
    bench.fleet.policy().allows = [](TaskRef const& stage, WorkerId const& worker) {
        size_t const first = std::hash<std::string>()(stage.job.value()) % 24;
        return worker == WorkerId("w" + std::to_string(first)) || worker == WorkerId("w" + std::to_string((first + 7) % 24));
    };
    for (int i = 0; i < 24; i++) {
        bench.submitWithPermits(makeJob("plan" + std::to_string(i), 2, 1000, Duration::milliseconds(300)));
        bench.run(Duration::milliseconds(200));
    }
    CHECK(bench.runUntilIdle(second * 3));
    CHECK(bench.fleet.record().startsWithoutPermit == 0);
}

// Failure: as above, on a fleet that takes many queries to ask about.
TEST_CASE("a job runs though its policy allows one worker of hundreds")
{
    JobBench bench(2);
    bench.addWorkers(300, 16000);
    allowOnly(bench, { WorkerId("w277") });
    bench.submitWithPermits(makeJob("plan", 2, 1000, second));
    CHECK(bench.runUntilIdle(second * 4));
}

// Failure: the workers asked about were chosen without the label, so that none of them could run the job.
TEST_CASE("only workers with the required label are asked about")
{
    JobBench bench(3);
    bench.addWorkers(32, 16000); // Eight on each rack, whose name is a label.
    // The workers with the label have the fewest cores free.
    JobSpec busy = makeJob("busy", 8, 2000, second * 600);
    busy.stages[0].requiredLabel = "r3";
    busy.stages[0].maxTasksPerWorker = 1;
    bench.submit(busy);
    bench.run(second);
    JobSpec job = makeJob("plan", 2, 1000, second);
    job.stages[0].requiredLabel = "r3";
    bench.submitWithPermits(job);
    bench.run(second * 3);
    CHECK(bench.state(job.id) == JobState::Completed);
    CHECK(workersAsked(bench) == 8);
}

// Failure: the workers with the most free cores were asked about, though they lacked the memory for the tasks.
TEST_CASE("workers without room for the tasks are asked about after those with room")
{
    JobBench bench(4);
    bench.addWorkers(20, 16000);
    JobSpec memory = makeJob("memory", 16, 100, second * 600);
    memory.stages[0].need.memoryMiB = 61000;
    memory.stages[0].maxTasksPerWorker = 1;
    bench.submit(memory);
    JobSpec cores = makeJob("cores", 4, 8000, second * 600); // On the four others.
    cores.stages[0].need.memoryMiB = 2000;
    cores.stages[0].maxTasksPerWorker = 1;
    bench.submit(cores);
    bench.run(second * 2);
    JobSpec job = makeJob("plan", 4, 1000, second);
    job.stages[0].need.memoryMiB = 30000;
    bench.submitWithPermits(job);
    bench.run(second * 3);
    CHECK(bench.state(job.id) == JobState::Completed);
}

// Failure: while a stage held permits for workers without room, it asked about no other workers.
TEST_CASE("a job whose permitted workers are full asks about workers with room")
{
    JobBench bench(5);
    bench.addWorkers(24, 16000);
    allowOnly(bench, { WorkerId("w3"), WorkerId("w20") });
    bench.submitWithPermits(makeJob("first", 16, 2000, second * 600));
    bench.run(second * 3);
    size_t const onFirst = bench.fleet.runningCountOn(WorkerId("w3"));
    REQUIRE(onFirst + bench.fleet.runningCountOn(WorkerId("w20")) == 16);
    allowOnly(bench, { WorkerId("w3"), WorkerId("w9"), WorkerId("w20") });
    JobSpec const job = makeJob("plan", 2, 2000, second);
    bench.submitWithPermits(job);
    bench.run(second * 4);
    CHECK(bench.state(job.id) == JobState::Completed);
}

// Failure: a gang that needs more workers than one query names never had permits for all its members at once.
TEST_CASE("a gang on more workers than one query names starts")
{
    JobBench bench(6);
    bench.addWorkers(40, 16000);
    JobSpec gang = makeJob("gang", 30, 1000, second);
    gang.stages[0].isGang = true;
    gang.stages[0].maxTasksPerWorker = 1;
    bench.submitWithPermits(gang);
    CHECK(bench.runUntilIdle(second * 5));
}

// Failure: the same for a stage of which each worker takes one task, as its permits expired before the others were asked about.
TEST_CASE("a stage that takes one task on each of many workers runs all at once")
{
    JobBench bench(7);
    bench.addWorkers(40, 16000);
    JobSpec job = makeJob("plan", 30, 1000, second * 20);
    job.stages[0].maxTasksPerWorker = 1;
    bench.submitWithPermits(job);
    bench.run(second * 3);
    CHECK(bench.fleet.runningCount(job.id) == 30);
}

// Failure: permits that are valid for less than the margin of 200 ms were never used.
TEST_CASE("permits of a short validity are used")
{
    JobBench bench(8);
    bench.addWorkers(24, 16000);
    bench.setPolicyTimes({ true, Duration::milliseconds(20), Duration::milliseconds(2), Duration::milliseconds(180) });
    JobSpec const job = makeJob("plan", 4, 1000, second);
    bench.submitWithPermits(job);
    CHECK(bench.runUntilIdle(second * 5));
    CHECK(bench.fleet.record().startsWithoutPermit == 0);
}

TEST_CASE("a job whose policy allows no worker is told from one that waits for room, and runs once the policy changes")
{
    JobBench bench(9);
    bench.addWorkers(24, 16000);
    allowOnly(bench, {});
    JobSpec const job = makeJob("plan", 2, 1000, second);
    bench.submitWithPermits(job);
    bench.run(second * 30);
    CHECK(bench.events.count(EventId::PermitsExhausted) >= 2);
    CHECK(bench.leader().scheduler().permitCache().stagesWithoutPermit() == 1);
    CHECK(workersAsked(bench) <= 24 * 5); // Pauses of 2, 4, 8 and 16 s between the rounds.
    allowOnly(bench, { WorkerId("w7") });
    CHECK(bench.runUntilIdle(second * 31));
    CHECK(bench.leader().scheduler().permitCache().stagesWithoutPermit() == 0);
}

TEST_CASE("jobs that the policy allows nowhere hold up no others of their queue")
{
    JobBench bench(10);
    bench.addWorkers(24, 16000);
    bench.fleet.policy().allows = [](TaskRef const& stage, WorkerId const& worker) { return stage.job.value()[0] == 'p' && worker == WorkerId("w5"); };
    for (int i = 0; i < 40; i++)
        bench.submitWithPermits(makeJob("never" + std::to_string(i), 1, 1000, second));
    bench.run(second * 5);
    JobSpec const job = makeJob("plan", 1, 1000, second);
    bench.submitWithPermits(job);
    bench.run(second * 10);
    CHECK(bench.state(job.id) == JobState::Completed);
}

TEST_CASE("while the policy service gives no answers, other queues run, and its own once it answers")
{
    JobBench bench(11);
    bench.addWorkers(24, 16000);
    bench.fleet.policy().isAnswering = false;
    std::vector<JobSpec> jobs;
    for (int i = 0; i < 10; i++) {
        jobs.push_back(makeJob("plan" + std::to_string(i), 1, 1000, second));
        bench.submitWithPermits(jobs.back());
    }
    JobSpec const other = makeJob("other", 4, 1000, second);
    bench.submit(other);
    bench.run(second * 2);
    CHECK(bench.state(other.id) == JobState::Completed);
    CHECK(bench.leader().scheduler().permitCache().stagesWithoutPermit() == 0); // No answer is no refusal.
    bench.fleet.policy().isAnswering = true;
    CHECK(bench.runUntilIdle(second * 4));
}

TEST_CASE("a worker that was started again gets its tasks with a permit for its new process")
{
    JobBench bench(12);
    bench.addWorkers(24, 16000);
    allowOnly(bench, { WorkerId("w2") });
    JobSpec const job = makeJob("plan", 2, 1000, second * 2);
    bench.submitWithPermits(job);
    bench.run(second);
    REQUIRE(bench.fleet.runningCountOn(WorkerId("w2")) == 2);
    bench.fleet.restart(WorkerId("w2"));
    CHECK(bench.runUntilIdle(second * 15));
    CHECK(bench.fleet.record().duplicateRuns == 0);
}

TEST_CASE("no query is sent for a job that was cancelled while it waited for its turn")
{
    JobBench bench(13);
    bench.addWorkers(24, 16000);
    allowOnly(bench, {});
    bench.fleet.policy().isAnswering = false;
    bench.submitWithPermits(makeJob("first", 1, 1000, second));
    bench.submitWithPermits(makeJob("second", 1, 1000, second));
    bench.run(Duration::milliseconds(200));
    REQUIRE(bench.fleet.permitQueries().size() == 1);
    JobId const waiting = bench.fleet.permitQueries().front().stage.job == JobId("first") ? JobId("second") : JobId("first");
    bench.cancel(waiting);
    bench.run(second * 3);
    auto const& queries = bench.fleet.permitQueries();
    CHECK(std::none_of(queries.begin(), queries.end(), [&](auto const& query) { return query.stage.job == waiting; }));
}

TEST_CASE("a new leader asks for the permits of the jobs that wait")
{
    JobBench bench(14);
    bench.addWorkers(24, 16000);
    allowOnly(bench, {});
    JobSpec const job = makeJob("plan", 2, 1000, second);
    bench.submitWithPermits(job);
    bench.run(second * 3);
    bench.crashLeader();
    bench.run(second);
    allowOnly(bench, { WorkerId("w19") });
    bench.elect(1);
    CHECK(bench.runUntilIdle(second * 5));
    CHECK(bench.state(job.id) == JobState::Completed);
}

TEST_CASE("tasks do not wait for the rack of their data when the policy allows none of its workers")
{
    JobBench bench(15);
    bench.addWorkers(32, 16000);
    allowOnly(bench, { WorkerId("w30") });
    JobSpec job = makeJob("plan", 2, 1000, second * 5);
    job.stages[0].dataRack = RackId("r0");
    bench.submitWithPermits(job);
    bench.run(second * 2);
    CHECK(bench.fleet.runningCountOn(WorkerId("w30")) == 2);
}

TEST_CASE("a second attempt of a task goes to another worker that the policy allows")
{
    JobBench bench(16);
    bench.addWorkers(24, 16000);
    allowOnly(bench, { WorkerId("w1"), WorkerId("w22") });
    JobSpec job = makeJob("plan", 1, 1000, second * 60);
    job.stages[0].allowsSpeculativeCopies = true;
    bench.submitWithPermits(job);
    bench.run(second * 2);
    bool const isOnFirst = bench.fleet.runningCountOn(WorkerId("w1"));
    bench.fleet.setCut(WorkerId(isOnFirst ? "w1" : "w22"), true);
    bench.run(second * 8);
    CHECK(bench.fleet.runningCountOn(WorkerId(isOnFirst ? "w22" : "w1")) == 1);
}
