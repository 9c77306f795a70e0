#include "cornelpond/core/scheduling/JobService.h"

#include "testing/fakes/JobBench.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);

} // namespace

TEST_CASE("a start order carried out late, after the task was placed on another worker, never runs it twice")
{
    JobBench bench(1);
    bench.addWorkers(4, 16000);
    FakeFleet::Faults late;
    late.lateOrderShare = 0.3;
    bench.fleet.setFaults(late);
    for (int i = 0; i < 10; i++) {
        bench.submit(makeJob("plan" + std::to_string(i), 10, 1000, Duration::milliseconds(700)));
        bench.run(second);
    }
    bench.fleet.setFaults(FakeFleet::Faults());
    REQUIRE(bench.runUntilIdle(second * 60));
    bench.run(late.maxLateDelay);
    CHECK(bench.fleet.record().duplicateRuns == 0);
    CHECK(bench.fleet.record().startsAfterDone == 0);
}

TEST_CASE("tasks of a worker that is cut off start elsewhere only after its lease has expired")
{
    JobBench bench(2);
    bench.addWorkers(2, 16000);
    JobSpec const job = makeJob("plan", 8, 2000, second * 20);
    bench.submit(job);
    bench.run(second);
    bool const isOnFirst = bench.fleet.runningCountOn(WorkerId("w0"));
    WorkerId const lost(isOnFirst ? "w0" : "w1");
    WorkerId const other(isOnFirst ? "w1" : "w0");
    REQUIRE(bench.fleet.runningCountOn(lost) == 8);
    bench.fleet.setCut(lost, true);
    bench.run(DispatchTimes().leaseDuration - second);
    CHECK(bench.fleet.record().starts == 8);
    bench.run(second * 4);
    CHECK(bench.fleet.runningCountOn(lost) == 0);
    CHECK(bench.fleet.runningCountOn(other) == 8);
    CHECK(bench.fleet.record().starts == 16);
    CHECK(bench.fleet.record().duplicateRuns == 0);
}

TEST_CASE("a new leader keeps running attempts and does not start their tasks again")
{
    JobBench bench(3);
    bench.addWorkers(4, 16000);
    JobSpec const job = makeJob("plan", 20, 1000, second * 5);
    bench.submit(job);
    bench.run(second);
    bench.crashLeader();
    bench.run(second);
    bench.elect(1);
    REQUIRE(bench.runUntilIdle(second * 10));
    CHECK(bench.fleet.record().starts == 20);
    CHECK(bench.state(job.id) == JobState::Completed);
}

TEST_CASE("a new leader does not start the tasks of jobs whose cancels waited for a leader")
{
    constexpr Duration callRetryInterval = Duration::milliseconds(100); // Of the entry hosts.
    JobBench bench(5);
    bench.addWorkers(4, 16000);
    JobSpec const job = makeJob("plan", 20, 1000, second * 60);
    bench.submit(job);
    bench.run(second);
    REQUIRE(bench.fleet.record().starts == 20);
    bench.crashLeader();
    bench.run(DispatchTimes().leaseDuration + second);
    REQUIRE(bench.fleet.runningCount(job.id) == 0);
    bench.elect(1);
    bench.run(callRetryInterval);
    bench.cancel(job.id);
    bench.run(second * 3);
    CHECK(bench.fleet.record().starts == 20);
    CHECK(bench.state(job.id) == JobState::Cancelled);
}

TEST_CASE("a worker restarted under its old id without its state gets its tasks again, once")
{
    JobBench bench(4);
    bench.addWorkers(1, 16000);
    JobSpec const job = makeJob("plan", 4, 1000, second * 2);
    bench.submit(job);
    bench.run(second);
    bench.fleet.restart(WorkerId("w0"));
    REQUIRE(bench.runUntilIdle(second * 20));
    CHECK(bench.fleet.record().starts == 8);
    CHECK(bench.fleet.record().duplicateRuns == 0);
}

namespace {

/// Runs services on every worker, with all of which the best-effort image "f" interferes, then submits `job`.
void submitInterferingJob(JobBench& bench, JobSpec const& job)
{
    bench.addWorkers(4, 16000);
    bench.fleet.setInterference("odd", "f", 30);
    bench.fleet.setInterference("even", "f", 30);
    for (int i = 0; i < 4; i++)
        bench.submit(makeServiceJob("watch" + std::to_string(i), 6, 3200, i % 2 ? "odd" : "even"));
    bench.run(second * 3);
    bench.submit(job);
}

void cancelServices(JobBench& bench)
{
    for (int i = 0; i < 4; i++)
        bench.cancel(JobId("watch" + std::to_string(i)));
}

} // namespace

TEST_CASE("a new leader restores the speed of a task that the earlier leader throttled")
{
    JobBench bench(7);
    JobSpec const job = makeBestEffortJob("plan", 1, 1800, second * 10, "f");
    submitInterferingJob(bench, job);
    for (int i = 0; i < 100 && bench.fleet.lowestSpeedPercent(job.id) == 100; i++)
        bench.run(second / 10);
    REQUIRE(bench.fleet.lowestSpeedPercent(job.id) < 100);
    // The services end, but the leader crashes before it sees that and restores the task's speed.
    cancelServices(bench);
    bench.run(Duration::milliseconds(10));
    bench.crashLeader();
    bench.run(second);
    bench.elect(1);
    bench.run(second * 3);
    CHECK(bench.fleet.runningCount(job.id) == 1);
    CHECK(bench.fleet.lowestSpeedPercent(job.id) == 100);
}

namespace {

/// The worker of the only attempt of the job's only task.
WorkerId workerOf(JobBench& bench, JobSpec const& job)
{
    return bench.find(job.id)->occurrences.at(0).stages[0].tasks[0].liveAttempts.at(0).worker;
}

/// Submits a job of one task, then cuts its worker off until the task has been started on another one. Returns the
/// worker that is cut off.
WorkerId cutOffFirstWorker(JobBench& bench, JobSpec const& job)
{
    bench.submit(job);
    bench.run(second);
    WorkerId first = workerOf(bench, job);
    bench.fleet.setCut(first, true);
    for (int i = 0; i < 100 && bench.fleet.record().starts < 2; i++)
        bench.run(second / 10);
    REQUIRE(bench.fleet.record().starts == 2);
    return first;
}

} // namespace

TEST_CASE("a task that finished on a worker cut off beyond its lease counts as done, and its other attempt stops")
{
    JobBench bench(11);
    bench.addWorkers(2, 16000);
    JobSpec const job = makeJob("plan", 1, 1000, second * 3);
    WorkerId const first = cutOffFirstWorker(bench, job);
    bench.fleet.setCut(first, false);
    bench.run(second * 2);
    CHECK(bench.state(job.id) == JobState::Completed);
    CHECK(bench.fleet.runningCount(job.id) == 0);
    CHECK(bench.fleet.record().startsAfterDone == 0);
}

TEST_CASE("a finished end is not acknowledged while another attempt of its task may still start")
{
    JobBench bench(11);
    bench.addWorkers(2, 16000);
    JobSpec const job = makeJob("plan", 1, 1000, second * 3);
    WorkerId const first = cutOffFirstWorker(bench, job);
    bench.fleet.setCut(workerOf(bench, job), true);
    bench.fleet.setAcknowledgementCheck([&](ListedEnd const&, WorkerId const&) { return bench.fleet.runningCount(job.id) == 0; });
    bench.fleet.setCut(first, false);
    bench.run(second * 8);
    CHECK(bench.state(job.id) == JobState::Completed);
    CHECK(bench.fleet.record().prematureAcknowledgements == 0);
}

TEST_CASE("a task is not started again while its end as done awaits the commit")
{
    JobBench bench(11);
    bench.addWorkers(2, 16000);
    JobSpec const job = makeJob("plan", 1, 1000, second * 3);
    bench.submit(job);
    bench.run(second);
    WorkerId const first = workerOf(bench, job);
    bench.fleet.setCut(first, true);
    auto const isConcluded = [&] { return bench.find(job.id)->occurrences.at(0).stages[0].tasks[0].liveAttempts.empty(); };
    for (int i = 0; i < 1000 && !isConcluded(); i++)
        bench.run(Duration::milliseconds(10));
    REQUIRE(isConcluded());
    // The next start is proposed first, then the first worker lists its end; both are committed together.
    bench.isCommitting = false;
    bench.run(second / 2);
    bench.fleet.setCut(first, false);
    bench.run(second);
    bench.isCommitting = true;
    bench.run(second * 5);
    CHECK(bench.state(job.id) == JobState::Completed);
    CHECK(bench.fleet.record().starts == 1);
}

TEST_CASE("a job is not shown as completed while another attempt of a finished task may still start")
{
    JobBench bench(11);
    bench.addWorkers(2, 16000);
    JobSpec const job = makeJob("plan", 1, 1000, second * 3);
    WorkerId const first = cutOffFirstWorker(bench, job);
    WorkerId const other = workerOf(bench, job);
    bench.fleet.setCut(other, true);
    bench.fleet.setCut(first, false);
    bench.run(second * 2);
    REQUIRE(bench.state(job.id) == JobState::Completed);
    CHECK(bench.leader().scheduler().lookUp(job.id).state == JobState::Active);
    bench.run(second * 6);
    CHECK(bench.leader().scheduler().lookUp(job.id).state == JobState::Completed);
}

TEST_CASE("a lost task resumes from the last checkpoint that its worker listed")
{
    JobBench bench(5);
    bench.addWorkers(2, 16000);
    JobSpec job = makeJob("plan", 1, 1000, second * 8);
    job.stages[0].savesCheckpoints = true;
    bench.submit(job);
    bench.run(second * 5);
    WorkerId const worker = bench.fleet.runningCountOn(WorkerId("w0")) ? WorkerId("w0") : WorkerId("w1");
    bench.fleet.crash(worker);
    bench.run(second * 6);
    TaskRecord const* task = bench.leader().scheduler().jobs().findTask({ job.id, 0, 0, 0 });
    REQUIRE(task);
    CHECK_FALSE(task->checkpoint.empty());
}

TEST_CASE("no sequence of crashes, cut links, restarts, late orders and leader changes runs a task twice or loses a job")
{
    rc::prop("", [] {
        auto const seed = *rc::gen::arbitrary<uint32_t>();
        JobBench bench(seed, 3);
        SeededRandom random(seed + 1U);
        bench.addWorkers(5, 8000);
        bench.fleet.setAcknowledgementCheck([&](ListedEnd const& end, WorkerId const& worker) {
            return !bench.group.hasCurrentLeader() || !bench.leader().scheduler().jobs().isLive(end.task, { end.attempt, worker });
        });
        FakeFleet::Faults faults;
        faults.lateOrderShare = 0.1;
        faults.failureShare = 0.02;
        bench.fleet.setFaults(faults);
        size_t jobs = 0;
        for (int round = 0; round < 25; round++) {
            WorkerId const worker("w" + std::to_string(random.below(5)));
            switch (random.below(8)) {
            case 0:
                bench.fleet.crash(worker);
                break;
            case 1:
                bench.fleet.restart(worker);
                break;
            case 2:
                bench.fleet.setCut(worker, true);
                break;
            case 3:
                bench.fleet.setCut(worker, false);
                break;
            case 4:
                if (bench.group.hasCurrentLeader())
                    bench.crashLeader();
                break;
            case 5:
                bench.elect(random.below(3));
                break;
            default:
                if (!bench.group.hasCurrentLeader())
                    bench.elect(random.below(3));
                JobSpec job = makeJob("j" + std::to_string(jobs++), 1 + static_cast<uint32_t>(random.below(6)), 1000, Duration::milliseconds(300 + static_cast<int64_t>(random.below(2000))));
                job.stages.push_back(job.stages[0]);
                job.stages[1].dependsOn = { 0 };
                bench.submit(job);
            }
            bench.run(Duration::milliseconds(static_cast<int64_t>(random.below(900))));
        }
        bench.fleet.setFaults(FakeFleet::Faults());
        for (int i = 0; i < 5; i++) {
            bench.fleet.setCut(WorkerId("w" + std::to_string(i)), false);
            bench.fleet.restart(WorkerId("w" + std::to_string(i)));
        }
        if (!bench.group.hasCurrentLeader())
            bench.elect(0);
        RC_ASSERT(bench.runUntilIdle(second * 120));
        FakeFleet::Record const& record = bench.fleet.record();
        RC_ASSERT(record.duplicateRuns == 0U);
        RC_ASSERT(record.startsAfterDone == 0U);
        RC_ASSERT(record.startsBeforeDependencies == 0U);
        RC_ASSERT(record.prematureAcknowledgements == 0U);
        RC_ASSERT(record.overCapacityStarts == 0U);
    });
}

TEST_CASE("a forged announcement with a worker's address ends nothing that runs there and adds no worker")
{
    JobBench bench(6);
    bench.addWorkers(1, 16000);
    JobSpec const job = makeJob("plan", 4, 1000, second * 2);
    bench.submit(job);
    bench.run(second);
    for (int64_t const bornMs : { 0, 1, 1000 }) {
        WorkerReport forged = bench.fleet.report(WorkerId("w0"));
        forged.profile.id = WorkerId("w0a");
        forged.profile.bornMs = bornMs;
        bench.leader().scheduler().workerRegistration().announce(forged, [](CallResult) {});
    }
    WorkerReport unknown = bench.fleet.report(WorkerId("w0"));
    unknown.profile.service = ServiceId("nobody");
    unknown.profile.bornMs = 1000;
    CallResult result = CallResult::Done;
    bench.leader().scheduler().workerRegistration().announce(unknown, [&](CallResult given) { result = given; });
    CHECK(result == CallResult::Refused);
    REQUIRE(bench.runUntilIdle(second * 5));
    CHECK(bench.fleet.record().starts == 4);
    CHECK(bench.fleet.record().duplicateRuns == 0);
    CHECK(bench.leader().scheduler().dispatcher().workers().size() == 1);
}

namespace {

/// The worker on which the job's tasks run.
WorkerId workerOf(JobBench& bench, JobId const& job)
{
    WorkerId worker;
    bench.leader().scheduler().jobs().forEachLiveAttemptOf(job, [&](TaskRef const&, TaskRecord const&, Attempt const& attempt) { worker = attempt.worker; });
    return worker;
}

void announce(JobBench& bench, WorkerId const& worker)
{
    bench.leader().scheduler().workerRegistration().announce(bench.fleet.report(worker), [](CallResult) {});
}

CallResult deregister(JobBench& bench, WorkerId const& worker, int64_t bornMs)
{
    CallResult result = CallResult::OutcomeUnknown;
    bench.leader().scheduler().workerRegistration().deregister({ worker, bornMs }, [&](CallResult given) { result = given; });
    bench.run(Duration::milliseconds(50));
    return result;
}

} // namespace

// Guards against the removal of a worker by a late deregister call of an earlier incarnation: its tasks were started elsewhere
// while they still ran.
TEST_CASE("a deregister call of an earlier incarnation, late or repeated, ends nothing that the present one runs")
{
    JobBench bench(7);
    bench.addWorkers(2, 16000);
    WorkerId const worker("w0");
    int64_t const formerBornMs = bench.fleet.report(worker).profile.bornMs;
    REQUIRE(deregister(bench, worker, formerBornMs) == CallResult::Done);
    REQUIRE(bench.leader().scheduler().workerCount() == 1);
    bench.fleet.restart(worker);
    announce(bench, worker);
    bench.run(second);
    JobSpec const job = makeJob("plan", 4, 8000, second * 20);
    bench.submit(job);
    bench.run(second);
    REQUIRE(bench.fleet.runningCountOn(worker) == 2);
    CHECK(deregister(bench, worker, formerBornMs) == CallResult::Done);
    CHECK(deregister(bench, worker, formerBornMs) == CallResult::Done);
    // Not known to be of the former incarnation, nor of the present one.
    CHECK(deregister(bench, worker, 0) == CallResult::Done);
    bench.run(second);
    CHECK(bench.leader().scheduler().workerCount() == 2);
    CHECK_FALSE(bench.leader().scheduler().dispatcher().workers().at(worker).profile.isDraining);
    CHECK(bench.fleet.record().starts == 4);
    CHECK(bench.fleet.record().duplicateRuns == 0);
    CHECK(bench.events.count(EventId::WorkerDeregistered) == 4);
}

TEST_CASE("a deregister call that names no incarnation does not drain a worker that never named its own")
{
    JobBench bench(12);
    bench.addWorkers(1, 16000);
    WorkerProfile unnamed = bench.fleet.report(WorkerId("w0")).profile;
    unnamed.id = WorkerId("w1");
    unnamed.address = "10.0.0.1:80";
    unnamed.bornMs = 0;
    bench.fleet.addWorker(unnamed);
    announce(bench, unnamed.id);
    bench.run(second);
    bench.submit(makeJob("plan", 2, 16000, second * 20));
    bench.run(second);
    REQUIRE(bench.fleet.runningCountOn(unnamed.id) == 1);
    deregister(bench, unnamed.id, 0);
    CHECK_FALSE(bench.leader().scheduler().dispatcher().workers().at(unnamed.id).profile.isDraining);
    CHECK(bench.fleet.runningCountOn(unnamed.id) == 1);
}

TEST_CASE("a deregister call removes its own incarnation, an earlier one, and one that is not told apart but idle")
{
    JobBench bench(8);
    bench.addWorkers(1, 16000);
    WorkerId const worker("w0");
    int64_t const bornMs = bench.fleet.report(worker).profile.bornMs;
    for (int64_t const given : { bornMs, bornMs + 1, int64_t(0) }) {
        announce(bench, worker);
        bench.run(second);
        REQUIRE(bench.leader().scheduler().workerCount() == 1);
        CHECK(deregister(bench, worker, given) == CallResult::Done);
        CHECK(bench.leader().scheduler().workerCount() == 0);
    }
}

TEST_CASE("a worker that repeats its deregister call after a lost answer keeps its tasks until its lease is over")
{
    JobBench bench(11);
    bench.addWorkers(2, 16000);
    JobSpec const job = makeJob("plan", 1, 16000, second * 20);
    bench.submit(job);
    bench.run(second);
    WorkerId const worker = workerOf(bench, job.id);
    int64_t const bornMs = bench.fleet.report(worker).profile.bornMs;
    for (int call = 0; call < 3; call++) {
        CHECK(deregister(bench, worker, bornMs) == CallResult::Done);
        bench.run(second);
    }
    CHECK(bench.fleet.record().duplicateRuns == 0);
    CHECK(bench.fleet.record().starts == 1);
    CHECK(bench.leader().scheduler().dispatcher().workers().at(worker).profile.isDraining);
    bench.fleet.crash(worker);
    bench.run(DispatchTimes().leaseDuration + second);
    CHECK(workerOf(bench, job.id) != worker);
    CHECK(bench.fleet.runningCount(job.id) == 1);
}

TEST_CASE("the tasks of a worker that ended without saying which incarnation ended start elsewhere after its lease")
{
    JobBench bench(9);
    bench.addWorkers(2, 16000);
    JobSpec const job = makeJob("plan", 1, 16000, second * 20);
    bench.submit(job);
    bench.run(second);
    WorkerId const worker = workerOf(bench, job.id);
    deregister(bench, worker, 0);
    bench.fleet.crash(worker);
    bench.run(DispatchTimes().leaseDuration + second);
    CHECK(bench.fleet.runningCount(job.id) == 1);
    CHECK(bench.fleet.record().duplicateRuns == 0);
}

// Guards against the same fault by another message: an answer to an order that was sent to an earlier incarnation of a worker.
TEST_CASE("an answer from a worker's former address ends nothing that its present incarnation runs")
{
    JobBench bench(10);
    bench.addWorkers(2, 16000);
    JobSpec const filler = makeJob("filler", 1, 16000, second * 20);
    bench.submit(filler);
    bench.run(second);
    WorkerId const worker(workerOf(bench, filler.id) == WorkerId("w0") ? "w1" : "w0");
    JobSpec const first = makeJob("first", 1, 8000, second * 20);
    bench.submit(first);
    Duration const step = Duration::milliseconds(10);
    for (int i = 0; i < 50 && bench.leader().scheduler().dispatcher().workers().at(worker).placed.empty(); i++)
        bench.run(step);
    // The start is committed when the worker has moved, and goes to its former address.
    bench.fleet.restartAt(worker, "10.0.9.9:80", Duration::milliseconds(500));
    bench.run(step);
    REQUIRE(workerOf(bench, first.id) == worker);
    announce(bench, worker);
    bench.run(Duration::milliseconds(100));
    JobSpec const present = makeJob("present", 1, 8000, second * 20);
    bench.submit(present);
    bench.run(Duration::milliseconds(200));
    REQUIRE(workerOf(bench, present.id) == worker);
    REQUIRE(bench.fleet.runningCount(present.id) == 1);
    bench.cancel(filler.id);
    bench.run(second * 2);
    CHECK(workerOf(bench, present.id) == worker);
    CHECK(bench.fleet.runningCount(first.id) == 1);
    CHECK(bench.fleet.record().duplicateRuns == 0);
    CHECK(bench.leader().scheduler().workerCount() == 2);
}

TEST_CASE("no sequence of leaves, late and repeated deregister calls, restarts and late answers runs a task twice or loses a job")
{
    rc::prop("", [] {
        auto const seed = *rc::gen::arbitrary<uint32_t>();
        JobBench bench(seed, 2);
        SeededRandom random(seed + 1U);
        constexpr size_t workerCount = 4;
        bench.addWorkers(workerCount, 8000);
        FakeFleet::Faults faults;
        faults.lateOrderShare = 0.05;
        bench.fleet.setFaults(faults);
        std::vector<WorkerDeparture> departures; // Sent already; each may arrive again at any time.
        for (int round = 0; round < 40; round++) {
            WorkerId const worker("w" + std::to_string(random.below(workerCount)));
            switch (random.below(5)) {
            case 0: {
                // Leaves: deregisters, runs on until it has an answer, ends, and comes back elsewhere.
                departures.push_back({ worker, random.below(4) ? bench.fleet.report(worker).profile.bornMs : 0 });
                if (random.below(2))
                    bench.leader().scheduler().workerRegistration().deregister(departures.back(), [](CallResult) {});
                bench.run(Duration::milliseconds(static_cast<int64_t>(random.below(1000))));
                bench.fleet.crash(worker);
                bench.run(Duration::milliseconds(static_cast<int64_t>(random.below(500))));
                bench.fleet.restartAt(worker, "10.1.0." + std::to_string(round) + ":80", Duration::milliseconds(static_cast<int64_t>(random.below(600))));
                announce(bench, worker);
                break;
            }
            case 1:
                if (!departures.empty())
                    bench.leader().scheduler().workerRegistration().deregister(departures[random.below(departures.size())], [](CallResult) {});
                break;
            case 2:
                bench.elect(random.below(2));
                break;
            default:
                bench.submit(makeJob("j" + std::to_string(round), 1 + static_cast<uint32_t>(random.below(6)), 1000, Duration::milliseconds(300 + static_cast<int64_t>(random.below(2000)))));
            }
            bench.run(Duration::milliseconds(static_cast<int64_t>(random.below(700))));
        }
        bench.fleet.setFaults(FakeFleet::Faults());
        RC_ASSERT(bench.runUntilIdle(second * 120));
        RC_ASSERT(bench.fleet.record().duplicateRuns == 0U);
        RC_ASSERT(bench.fleet.record().startsAfterDone == 0U);
    });
}
