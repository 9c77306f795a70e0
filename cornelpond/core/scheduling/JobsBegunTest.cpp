// Which jobs are shown as queued and counted as pending: those of which no worker has begun a task.

#include "testing/fakes/JobBench.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);

size_t pendingCount(JobBench& bench)
{
    size_t count = 0;
    REQUIRE(bench.leader().scheduler().countPending(QueueId("urgent"), count) == CallResult::Done);
    return count;
}

bool isShownAsBegun(JobBench& bench, JobSpec const& job)
{
    return bench.leader().scheduler().lookUp(job.id).hasStarted;
}

} // namespace

// Failure: a job counted as started from the commit of its first start on, though the worker refused each start.
TEST_CASE("jobs whose starts are refused are pending")
{
    JobBench bench(1);
    bench.addWorkers(1, 16000);
    bench.fleet.setUnhealthy(WorkerId("w0"), true);
    JobSpec const job = makeJob("plan0", 2, 1000, second * 20);
    bench.submit(job);
    for (int i = 1; i < 10; i++)
        bench.submit(makeJob("plan" + std::to_string(i), 1, 1000, second * 20));
    for (int step = 0; step < 60; step++) {
        bench.run(Duration::milliseconds(100));
        CHECK(pendingCount(bench) == 10);
        CHECK_FALSE(isShownAsBegun(bench, job));
    }
    bench.fleet.setUnhealthy(WorkerId("w0"), false);
    bench.run(second * 2);
    CHECK(pendingCount(bench) == 0);
    CHECK(isShownAsBegun(bench, job));
}

// Failure: as above, for starts that get no answer and are not carried out.
TEST_CASE("jobs whose starts get lost are pending")
{
    JobBench bench(2);
    bench.addWorkers(1, 16000);
    bench.fleet.setLostStarts(WorkerId("w0"), true);
    bench.submit(makeJob("plan", 2, 1000, second * 20));
    for (int step = 0; step < 60; step++) {
        bench.run(Duration::milliseconds(100));
        CHECK(pendingCount(bench) == 1);
    }
    bench.fleet.setLostStarts(WorkerId("w0"), false);
    bench.run(second * 2);
    CHECK(pendingCount(bench) == 0);
}

// Failure: as above, for starts that are carried out late, from which time on the job has begun.
TEST_CASE("jobs whose starts are carried out late are pending until then")
{
    JobBench bench(3);
    bench.addWorkers(4, 16000);
    std::set<JobId> begun;
    bench.fleet.setStartObserver([&](TaskRef const& task) { begun.insert(task.job); });
    FakeFleet::Faults late;
    late.lateOrderShare = 0.5;
    bench.fleet.setFaults(late);
    for (int i = 0; i < 40; i++)
        bench.submit(makeJob("plan" + std::to_string(i), 1, 1000, second * 60));
    for (int step = 0; step < 40; step++) {
        bench.run(Duration::milliseconds(100));
        CHECK(pendingCount(bench) >= 40 - begun.size());
    }
    bench.fleet.setFaults(FakeFleet::Faults());
    bench.run(late.maxLateDelay);
    REQUIRE(begun.size() == 40);
    CHECK(pendingCount(bench) == 0);
}

// Failure: as above, where the worker is cut off before the start arrives.
TEST_CASE("a job whose worker is lost before it answers the start is pending")
{
    JobBench bench(4);
    bench.addWorkers(1, 16000);
    bench.fleet.setCut(WorkerId("w0"), true);
    bench.submit(makeJob("plan", 2, 1000, second));
    bench.run(second * 10);
    CHECK(bench.fleet.record().starts == 0);
    CHECK(pendingCount(bench) == 1);
}

// Failure: a run whose start got no answer and whose worker was then silent left no trace, though the worker listed its end later.
TEST_CASE("a job has begun when its worker lists the end of an attempt that was given up")
{
    JobBench bench(8);
    bench.addWorkers(1, 16000);
    bench.fleet.setStartObserver([&](TaskRef const&) { bench.fleet.setCut(WorkerId("w0"), true); });
    FakeFleet::Faults late;
    late.lateOrderShare = 1;
    late.minLateDelay = Duration::milliseconds(500);
    late.maxLateDelay = late.minLateDelay;
    bench.fleet.setFaults(late);
    JobSpec const job = makeJob("plan", 1, 1000, second * 60);
    bench.submit(job);
    bench.run(second);
    bench.fleet.setFaults(FakeFleet::Faults());
    bench.run(second * 8);
    REQUIRE(bench.fleet.record().starts == 1);
    REQUIRE(bench.fleet.runningCount(job.id) == 0); // Its lease has expired.
    CHECK(pendingCount(bench) == 1);
    bench.fleet.setUnhealthy(WorkerId("w0"), true);
    bench.fleet.setCut(WorkerId("w0"), false);
    bench.run(second * 2);
    CHECK(bench.fleet.record().starts == 1);
    CHECK(pendingCount(bench) == 0);
}

TEST_CASE("a gang of which no member began is pending, and one with a member that began is not")
{
    JobBench bench(5);
    bench.addWorkers(2, 16000);
    bench.fleet.setUnhealthy(WorkerId("w0"), true);
    JobSpec gang = makeJob("gang", 2, 1000, second * 20);
    gang.stages[0].isGang = true;
    gang.stages[0].requiredLabel = "r0";
    gang.stages[0].maxTasksPerWorker = 2;
    bench.fleet.setUnhealthy(WorkerId("w1"), true);
    bench.submit(gang);
    bench.run(second * 3);
    CHECK(pendingCount(bench) == 1);
    bench.fleet.setUnhealthy(WorkerId("w0"), false);
    bench.fleet.setUnhealthy(WorkerId("w1"), false);
    bench.run(second * 2);
    CHECK(pendingCount(bench) == 0);
}

// Failure: a new leader that has no listing yet would show a running job as queued if it knew of starts by listings alone.
TEST_CASE("a new leader shows as begun what the former one knew to have begun, and nothing else")
{
    JobBench bench(6);
    bench.addWorkers(2, 16000);
    bench.fleet.setUnhealthy(WorkerId("w1"), true);
    JobSpec const running = makeJob("running", 1, 1000, second * 60);
    bench.submit(running);
    bench.run(second * 2);
    REQUIRE(isShownAsBegun(bench, running));
    bench.fleet.setUnhealthy(WorkerId("w0"), true);
    JobSpec const refused = makeJob("refused", 1, 1000, second * 60);
    bench.submit(refused);
    bench.run(second * 2);
    REQUIRE_FALSE(isShownAsBegun(bench, refused));
    bench.fleet.setCut(WorkerId("w0"), true);
    bench.fleet.setCut(WorkerId("w1"), true);
    bench.crashLeader();
    bench.run(second);
    bench.elect(1);
    bench.run(Duration::milliseconds(500));
    CHECK(isShownAsBegun(bench, running));
    CHECK_FALSE(isShownAsBegun(bench, refused));
    CHECK(pendingCount(bench) == 1);
}

TEST_CASE("a job of which a task has run stays begun while its next attempt is refused")
{
    JobBench bench(7);
    bench.addWorkers(1, 16000);
    JobSpec job = makeJob("plan", 1, 1000, Duration::milliseconds(500));
    job.stages.push_back(job.stages[0]);
    job.stages[1].dependsOn = { 0 };
    bench.submit(job);
    bench.run(Duration::milliseconds(300));
    bench.fleet.setUnhealthy(WorkerId("w0"), true);
    bench.run(second * 3);
    CHECK(bench.state(job.id) == JobState::Active);
    CHECK(pendingCount(bench) == 0);
    CHECK(isShownAsBegun(bench, job));
}

TEST_CASE("what has begun is part of a snapshot, also of one of the earlier version, which noted it with the commit of a start")
{
    QueueTable const queues;
    JobTable jobs;
    JobSpec const spec = makeJob("plan", 1, 1000, second);
    CommitStart const start { { spec.id, 0, 0, 0 }, AttemptNumber(1), WorkerId("w0") };
    jobs.apply(JobCommand(SubmitJob { spec, QueueId("urgent"), 1 }), queues);
    jobs.apply(JobCommand(UpdateTasks { { start }, 2 }), queues);
    CHECK_FALSE(jobs.find(spec.id)->hasStarted);
    JobTable restored;
    restored.restore(jobs.takeSnapshot());
    CHECK_FALSE(restored.find(spec.id)->hasStarted);
    restored.apply(JobCommand(UpdateTasks { { start }, 3 }), queues); // The log may hold a command twice.
    CHECK_FALSE(restored.find(spec.id)->hasStarted);
    restored.apply(JobCommand(UpdateTasks { { MarkBegun { spec.id } }, 4 }), queues);
    CHECK(restored.find(spec.id)->hasStarted);
    CHECK(restored.find(spec.id)->liveAttemptCount == 1);
    jobs.restore(restored.takeSnapshot());
    CHECK(jobs.find(spec.id)->hasStarted);
    CHECK(jobs.takeSnapshot() == restored.takeSnapshot());
}

TEST_CASE("a mark that a job has begun is read back, and earlier versions take it for an occurrence that no job has")
{
    std::string const bytes = encodeJobCommand(UpdateTasks { { MarkBegun { JobId("plan") } }, 7 });
    CHECK(bytes == encodeJobCommand(UpdateTasks { { OpenOccurrence { JobId("plan"), UINT32_MAX } }, 7 }));
    auto const command = std::get<UpdateTasks>(decodeJobCommand(bytes));
    REQUIRE(command.updates.size() == 1);
    CHECK(std::get<MarkBegun>(command.updates[0]).job == JobId("plan"));
}

TEST_CASE("ends that a worker listed show that a job has begun, and ends that were concluded do not")
{
    QueueTable const queues;
    for (auto const end : { AttemptEnd::Done, AttemptEnd::Failed, AttemptEnd::Stopped, AttemptEnd::LeaseExpired, AttemptEnd::PeerEnded, AttemptEnd::GangIncomplete, AttemptEnd::Lost, AttemptEnd::Refused }) {
        JobTable jobs;
        JobSpec const spec = makeJob("plan", 2, 1000, second);
        CommitStart const start { { spec.id, 0, 0, 0 }, AttemptNumber(1), WorkerId("w0") };
        jobs.apply(JobCommand(SubmitJob { spec, QueueId("urgent"), 1 }), queues);
        jobs.apply(JobCommand(UpdateTasks { { start, CommitEnd { start.task, start.attempt, start.worker, end, std::string() } }, 2 }), queues);
        CHECK(jobs.find(spec.id)->hasStarted == (end != AttemptEnd::Lost && end != AttemptEnd::Refused));
    }
}
