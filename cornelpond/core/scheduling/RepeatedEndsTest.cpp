// Ends that are reported more than once: by two attempts of a task, or by each member of a gang.

#include "testing/fakes/JobBench.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);

JobSpec makeScheduledJob(JobBench const& bench, uint32_t tasks, uint32_t occurrences)
{
    JobSpec job = makeJob("rounds", tasks, 1000, Duration::milliseconds(700));
    job.schedule = { bench.clock.wallMilliseconds() + 1000, second * 6, occurrences };
    return job;
}

/// True when all tasks of all occurrences have ended as done on a worker; of a gang, one member stands for all.
bool isDoneOnWorkers(FakeFleet const& fleet, JobSpec const& job)
{
    for (TaskRef task { job.id, 0, 0, 0 }; task.occurrence < job.schedule.occurrences; task.occurrence++) {
        for (task.stage = 0; task.stage < job.stages.size(); task.stage++) {
            StageSpec const& stage = job.stages[task.stage];
            uint32_t done = 0;
            for (task.index = 0; task.index < stage.taskCount; task.index++)
                done += fleet.isDone(task);
            if (done < (stage.isGang ? 1 : stage.taskCount))
                return false;
        }
    }
    return true;
}

/// Crashes, cuts or restores a worker, or changes the leader.
void disturb(JobBench& bench, SeededRandom& random, uint64_t workers)
{
    WorkerId const worker("w" + std::to_string(random.below(workers)));
    switch (random.below(5)) {
    case 0:
        bench.fleet.crash(worker);
        bench.fleet.restart(worker);
        break;
    case 1:
        bench.fleet.setCut(worker, true);
        break;
    case 2:
    case 3:
        bench.fleet.setCut(worker, false);
        break;
    default:
        bench.elect(random.below(3));
    }
}

} // namespace

// Failure: the run of a worker that was cut off counted its occurrence again, and the second one never ran (review/11).
TEST_CASE("all occurrences run though a copy ends before the attempt of a worker that was cut off")
{
    JobBench bench(1);
    bench.addWorkers(8, 16000);
    JobSpec job = makeScheduledJob(bench, 1, 2);
    job.stages[0].allowsSpeculativeCopies = true;
    bench.submit(job);
    while (!bench.fleet.runningCount(job.id))
        bench.run(Duration::milliseconds(100));
    WorkerId const worker = bench.find(job.id)->occurrences.at(0).stages[0].tasks[0].liveAttempts.front().worker;
    bench.fleet.setCut(worker, true);
    bench.run(Duration::milliseconds(2700));
    bench.fleet.setCut(worker, false);
    bench.run(second);
    REQUIRE(bench.fleet.record().starts == 2);
    CHECK(bench.state(job.id) == JobState::Active);
    REQUIRE(bench.runUntilIdle(second * 10));
    CHECK(bench.state(job.id) == JobState::Completed);
    CHECK(bench.fleet.record().starts == 3);
}

// Failure: the job was completed after the first occurrences, as each member counted one.
TEST_CASE("all occurrences of a gang run, also under another leader")
{
    JobBench bench(2);
    bench.addWorkers(8, 16000);
    JobSpec job = makeScheduledJob(bench, 4, 3);
    job.stages[0].isGang = true;
    bench.submit(job);
    bench.run(second * 3);
    REQUIRE(bench.fleet.record().starts == 4);
    CHECK(bench.state(job.id) == JobState::Active);
    bench.elect(1);
    REQUIRE(bench.runUntilIdle(second * 20));
    CHECK(bench.state(job.id) == JobState::Completed);
    CHECK(bench.fleet.record().starts == 12);
}

// Failure: each member that failed counted (review/9).
TEST_CASE("a gang fails after as many attempts as its queue allows, though all members fail in each")
{
    JobBench bench(4);
    bench.addWorkers(8, 16000);
    FakeFleet::Faults failing;
    failing.failureShare = 1;
    bench.fleet.setFaults(failing);
    JobSpec job = makeJob("gang", 4, 1000, Duration::milliseconds(700));
    job.stages[0].isGang = true;
    bench.submit(job);
    REQUIRE(bench.runUntilIdle(second * 20));
    CHECK(bench.state(job.id) == JobState::Failed);
    CHECK(bench.fleet.record().starts == 4 * bench.queueOf(job).maxAttempts);
}

// Failure: a command that the log holds twice ended an attempt of a gang again, and the members of its next attempt were stopped.
TEST_CASE("a gang runs on when the end of an attempt before is committed again")
{
    JobBench bench(6);
    bench.addWorkers(8, 16000);
    JobSpec job = makeJob("gang", 4, 1000, second * 20);
    job.stages[0].isGang = true;
    bench.submit(job);
    bench.run(second);
    TaskRef const member { job.id, 0, 0, 0 };
    Attempt const first = bench.leader().scheduler().jobs().findTask(member)->liveAttempts.at(0);
    bench.fleet.crash(first.worker);
    bench.run(second * 10);
    REQUIRE(bench.fleet.runningCount(job.id) == 4);
    unsigned const starts = bench.fleet.record().starts;
    bench.leader().scheduler().applyJobCommand(encodeJobCommand(UpdateTasks { { CommitEnd { member, first.number, first.worker, AttemptEnd::Lost, std::string() } }, 1 }));
    bench.run(second * 2);
    CHECK(bench.fleet.record().starts == starts);
}

// Failure: the metric counted the end of an attempt for each time that the log holds it.
TEST_CASE("the end of an attempt is counted once though its command was committed twice")
{
    JobBench bench(1);
    bench.addWorkers(8, 16000);
    constexpr int jobs = 60;
    for (int i = 0; i < jobs; i++) {
        bench.submit(makeJob("due" + std::to_string(i), 1, 1000, Duration::milliseconds(100)));
        bench.run(Duration::milliseconds(50));
    }
    REQUIRE(bench.runUntilIdle(second * 5));
    REQUIRE(bench.events.count(EventId::AttemptEnded) > jobs);
    CHECK(bench.leader().scheduler().counters().attemptEnds.at(AttemptEnd::Done) == jobs);
}

TEST_CASE("a new leader reports a job that an earlier version completed before its last occurrence")
{
    JobBench bench(3);
    bench.addWorkers(1, 16000);
    JobSpec job = makeScheduledJob(bench, 1, 1);
    job.schedule = { 300, Duration(), 1 };
    bench.submit(job);
    REQUIRE(bench.runUntilIdle(second * 3));
    std::string snapshot = bench.leader().scheduler().takeJobSnapshot();
    std::string const schedule("\xac\2\0\1", 4); // 300, 0 and 1 as varints.
    size_t const at = snapshot.find(schedule);
    REQUIRE(at != std::string::npos);
    snapshot[at + 3] = 2;
    bench.services[1]->scheduler().restoreJobs(snapshot);
    bench.elect(1);
    CHECK(bench.events.count(EventId::JobEndedEarly) == 1);
    CHECK(bench.state(job.id) == JobState::Completed);
}

// Failure: jobs whose stages end by several attempts or members were shown as completed before all their occurrences had run.
TEST_CASE("through random faults, a scheduled job is shown as completed when all tasks of all its occurrences have ended as done, and not before")
{
    rc::prop("", [] {
        auto const seed = *rc::gen::arbitrary<uint32_t>();
        constexpr uint64_t workers = 8;
        JobBench bench(seed, 3);
        SeededRandom random(seed + 1U);
        bench.addWorkers(workers, 16000);
        JobSpec rounds = makeScheduledJob(bench, 3, 3);
        rounds.schedule.interval = second * 2;
        rounds.stages.push_back(rounds.stages[0]);
        rounds.stages[0].isGang = random.below(2);
        rounds.stages[1].allowsSpeculativeCopies = true;
        rounds.stages[1].isGang = !rounds.stages[0].isGang;
        if (random.below(2))
            rounds.stages[1].dependsOn = { 0 };
        bench.submit(rounds);
        bench.run(second);
        for (int round = 0; round < 20; round++) {
            disturb(bench, random, workers);
            bench.run(Duration::milliseconds(static_cast<int64_t>(random.below(900))));
            RC_ASSERT(bench.leader().scheduler().lookUp(rounds.id).state != JobState::Completed || isDoneOnWorkers(bench.fleet, rounds));
        }
        for (uint64_t i = 0; i < workers; i++)
            bench.fleet.setCut(WorkerId("w" + std::to_string(i)), false);
        RC_ASSERT(bench.runUntilIdle(second * 60));
        RC_ASSERT(bench.state(rounds.id) == JobState::Completed);
        RC_ASSERT(isDoneOnWorkers(bench.fleet, rounds));
        RC_ASSERT(bench.fleet.record().duplicateRuns == 0U);
        RC_ASSERT(bench.fleet.record().startsAfterDone == 0U);
    });
}
