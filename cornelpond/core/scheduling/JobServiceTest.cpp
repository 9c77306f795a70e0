#include "cornelpond/core/scheduling/JobService.h"

#include "testing/fakes/JobBench.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);

void checkNoViolations(FakeFleet::Record const& record)
{
    CHECK(record.duplicateRuns == 0);
    CHECK(record.startsAfterDone == 0);
    CHECK(record.unknownJobStarts == 0);
    CHECK(record.startsBeforeDependencies == 0);
    CHECK(record.prematureAcknowledgements == 0);
}

} // namespace

TEST_CASE("a job runs from submission to completion, each stage after the stages it depends on")
{
    JobBench bench(1);
    bench.addWorkers(4, 16000);
    JobSpec job = makeJob("plan", 8, 1000, Duration::milliseconds(500));
    job.stages.push_back(job.stages[0]);
    job.stages[1].dependsOn = { 0 };
    bench.submit(job);
    REQUIRE(bench.runUntilIdle(second * 5));
    CHECK(bench.state(job.id) == JobState::Completed);
    CHECK(bench.fleet.record().starts == 16);
    CHECK(bench.fleet.record().overCapacityStarts == 0);
    checkNoViolations(bench.fleet.record());
}

TEST_CASE("the log tells the size of an ended job, its starts, the starts that passed it over and the room while it waited")
{
    JobBench bench(1);
    bench.addWorkers(1, 4000);
    bench.submit(makeJob("first", 4, 1000, second));
    bench.run(Duration::milliseconds(50));
    CHECK(bench.events.count(EventId::RoomReported) == 0);
    bench.submit(makeJob("second", 2, 2000, second));
    REQUIRE(bench.runUntilIdle(second * 10));
    std::map<std::string, std::map<std::string, std::string>> ended;
    for (auto const& event : bench.events.all()) {
        std::map<std::string, std::string> fields;
        for (auto const& field : event.fields())
            fields[std::string(field.key)] = field.value;
        if (event.id() == EventId::JobEnded)
            ended[fields["job"]] = fields;
    }
    CHECK(bench.events.count(EventId::RoomReported) >= 1);
    CHECK(ended["first"]["tasks"] == "4");
    CHECK(ended["first"]["coreMs"] == "4000");
    CHECK(ended["first"]["starts"] == "4");
    CHECK(ended["first"]["passedByLaterJobs"] == "0");
    CHECK(ended["second"]["taskMilliCores"] == "2000");
    CHECK(ended["second"]["passedByLowerRank"] == "0");
    CHECK(std::stoi(ended["second"]["firstStartMs"]) >= 900);
    CHECK(std::stoi(ended["second"]["lastStartMs"]) >= std::stoi(ended["second"]["firstStartMs"]));
    CHECK(bench.leader().scheduler().counters().jobEnds.at({ 1, JobOutcome::Late }) == 1);
    CHECK(bench.leader().scheduler().activeJobsBySize() == std::array<size_t, sizeClassCount> {});
}

TEST_CASE("a submission is answered as accepted only once it is committed")
{
    JobBench bench(2);
    bench.addWorkers(1, 16000);
    bench.isCommitting = false;
    bench.submit(makeJob("plan", 1, 1000, second));
    bench.run(second);
    CHECK(bench.submitResults.empty());
    bench.isCommitting = true;
    bench.run(Duration::milliseconds(20));
    REQUIRE(bench.submitResults.size() == 1);
    CHECK(bench.submitResults[0].result == CallResult::Done);
}

TEST_CASE("a submission whose leader is lost before the commit is answered as unknown, never as refused")
{
    JobBench bench(3);
    bench.addWorkers(1, 16000);
    bench.isCommitting = false;
    bench.submit(makeJob("plan", 1, 1000, second));
    bench.group.elect(1);
    REQUIRE(bench.submitResults.size() == 1);
    CHECK(bench.submitResults[0].result == CallResult::OutcomeUnknown);
}

TEST_CASE("an id submitted again to another leader remains one job that runs once")
{
    JobBench bench(4);
    bench.addWorkers(2, 16000);
    JobSpec const job = makeJob("plan", 4, 1000, second);
    bench.submit(job);
    bench.run(Duration::milliseconds(300));
    bench.elect(1);
    bench.submit(job);
    REQUIRE(bench.runUntilIdle(second * 10));
    bench.submit(job);
    bench.run(second);
    CHECK(bench.submitResults.size() == 3);
    CHECK(bench.submitResults.back().result == CallResult::Done);
    CHECK(bench.fleet.record().starts == 4);
    CHECK(bench.fleet.runningCount(job.id) == 0);
}

TEST_CASE("a follower neither accepts submissions nor answers lookups")
{
    JobBench bench(5);
    SubmitResult result;
    QueueSpec queue;
    bench.services[1]->scheduler().submit(makeJob("plan", 1, 1000, second), queue, [&](SubmitResult const& given) { result = given; });
    CHECK(result.result == CallResult::NotLeader);
    CHECK(bench.services[1]->scheduler().lookUp(JobId("plan")).result == CallResult::NotLeader);
    CHECK(bench.services[1]->findQueue("jobs.example", "/urgent/", queue) == QueueLookup::NotLeader);
    CHECK(bench.services[1]->readQueues() == nullptr);
}

TEST_CASE("a refused job never runs")
{
    JobBench bench(6);
    bench.addWorkers(1, 1000);
    JobLimits const limits;
    for (size_t i = 0; i < limits.maxActiveJobs; i++)
        bench.submit(makeJob("waiting" + std::to_string(i), 1, 1000, second * 100));
    bench.run(second);
    JobSpec const late = makeJob("late", 1, 1000, second);
    bench.submitResults.clear();
    bench.submit(late);
    REQUIRE(bench.submitResults.size() == 1);
    CHECK(bench.submitResults[0].result == CallResult::Refused);
    CHECK(bench.submitResults[0].retryAfter > Duration());
    bench.run(second);
    CHECK(bench.find(late.id) == nullptr);
}

TEST_CASE("an end is acknowledged to the worker only after its commit")
{
    JobBench bench(7);
    bench.addWorkers(1, 16000);
    bench.fleet.setAcknowledgementCheck([&](ListedEnd const& end, WorkerId const& worker) { return !bench.leader().scheduler().jobs().isLive(end.task, { end.attempt, worker }); });
    JobSpec const job = makeJob("plan", 1, 1000, Duration::milliseconds(300));
    bench.submit(job);
    bench.run(Duration::milliseconds(200));
    bench.isCommitting = false;
    bench.run(second);
    CHECK(bench.state(job.id) == JobState::Active);
    bench.isCommitting = true;
    REQUIRE(bench.runUntilIdle(second));
    bench.run(second);
    checkNoViolations(bench.fleet.record());
}

TEST_CASE("a cancelled job's tasks are stopped and no more are started")
{
    JobBench bench(8);
    bench.addWorkers(2, 4000);
    JobSpec const job = makeJob("plan", 20, 1000, second * 30);
    bench.submit(job);
    bench.run(second);
    CHECK(bench.fleet.runningCount(job.id) == 8);
    bench.cancel(job.id);
    bench.run(Duration::milliseconds(200));
    unsigned const starts = bench.fleet.record().starts;
    CHECK(bench.fleet.runningCount(job.id) == 0);
    bench.run(second * 2);
    CHECK(bench.fleet.record().starts == starts);
    CHECK(bench.state(job.id) == JobState::Cancelled);
    CHECK(bench.find(job.id)->liveAttemptCount == 0);
}

TEST_CASE("log and metrics tell how a cancel was answered, which stops were sent again and what still runs")
{
    JobBench bench(18);
    bench.addWorkers(1, 4000);
    JobSpec const job = makeJob("plan", 4, 1000, second * 30);
    bench.submit(job);
    bench.run(second);
    FakeFleet::Faults faults;
    faults.lateOrderShare = 1;
    bench.fleet.setFaults(faults);
    bench.cancel(job.id);
    bench.run(second * 2);
    CHECK(bench.events.count(EventId::CancelAnswered) == 1);
    CHECK(bench.events.count(EventId::StopRepeated) >= 4);
    CHECK(bench.leader().scheduler().cancelledRuns().attempts == 4);
    CHECK(bench.leader().scheduler().cancelledRuns().oldest > second);
    bench.fleet.setFaults(FakeFleet::Faults());
    bench.run(second * 20);
    CHECK(bench.leader().scheduler().cancelledRuns().jobs == 0);
}

TEST_CASE("a job fails once a task has failed its queue's maximum of attempts")
{
    JobBench bench(9);
    bench.addWorkers(2, 16000);
    FakeFleet::Faults faults;
    faults.failureShare = 1;
    bench.fleet.setFaults(faults);
    JobSpec const job = makeJob("plan", 1, 1000, Duration::milliseconds(100));
    bench.submit(job);
    REQUIRE(bench.runUntilIdle(second * 10));
    CHECK(bench.state(job.id) == JobState::Failed);
    CHECK(bench.fleet.record().starts == 3);
}

TEST_CASE("a service task is restarted without limit when its worker restarts")
{
    JobBench bench(10);
    bench.addWorkers(3, 16000);
    JobSpec const job = makeServiceJob("watch", 2, 2000, "image");
    bench.submit(job);
    bench.run(second);
    REQUIRE(bench.fleet.runningCount(job.id) == 2);
    for (int round = 0; round < 5; round++) {
        for (auto const& worker : bench.fleet.reachableWorkers()) {
            if (bench.fleet.runningCountOn(worker))
                bench.fleet.restart(worker);
        }
        bench.run(second * 6);
        CHECK(bench.fleet.runningCount(job.id) == 2);
    }
    CHECK(bench.state(job.id) == JobState::Active);
}

TEST_CASE("a draining worker gets no new tasks, even from the next leader, and its service tasks move")
{
    JobBench bench(11);
    bench.addWorkers(2, 16000);
    JobSpec const watch = makeServiceJob("watch", 4, 1000, "image");
    bench.submit(watch);
    bench.run(second);
    WorkerId const leaving = bench.fleet.runningCountOn(WorkerId("w0")) ? WorkerId("w0") : WorkerId("w1");
    bench.fleet.setDraining(leaving);
    bench.run(bench.announceInterval + Duration::milliseconds(200));
    bench.elect(1);
    bench.submit(makeJob("plan", 8, 1000, Duration::milliseconds(200)));
    bench.run(second * 4);
    CHECK(bench.fleet.record().startsWhileDraining == 0);
    CHECK(bench.fleet.runningCountOn(leaving) == 0);
    CHECK(bench.fleet.runningCount(watch.id) == 4);
}

// Guards against tasks that are lost with a worker whose notice that it drains was refused.
TEST_CASE("a worker whose service has been removed still drains, and its service tasks move")
{
    JobBench bench(19);
    bench.addWorkers(2, 16000);
    JobSpec const job = makeServiceJob("watch", 1, 2000, "image");
    bench.submit(job);
    bench.run(second);
    WorkerId const leaving(bench.fleet.runningCountOn(WorkerId("w0")) ? "w0" : "w1");
    QueueConfig config;
    config.version = ConfigVersion(2);
    config.services.push_back({ ServiceId("other"), true, false });
    bench.leader().replaceQueues(config, [](CallResult) {});
    bench.run(second);
    bench.fleet.setDraining(leaving);
    CallResult answered = CallResult::NotLeader;
    bench.leader().scheduler().workerRegistration().announce(bench.fleet.report(leaving), [&](CallResult result) { answered = result; });
    bench.run(second * 2);
    CHECK(answered == CallResult::Done);
    CHECK(bench.fleet.runningCountOn(leaving) == 0);
    CHECK(bench.fleet.runningCount(job.id) == 1);
    WorkerReport newcomer = bench.fleet.report(leaving);
    newcomer.profile.id = WorkerId("newcomer");
    bench.leader().scheduler().workerRegistration().announce(newcomer, [&](CallResult result) { answered = result; });
    CHECK(answered == CallResult::Refused);
}

TEST_CASE("members of a gang start together or not at all")
{
    JobBench bench(12);
    bench.addWorkers(2, 4000);
    JobSpec gang = makeJob("gang", 9, 1000, second);
    gang.stages[0].isGang = true;
    bench.submit(gang);
    bench.run(second);
    CHECK(bench.fleet.runningCount(gang.id) == 0);
    JobSpec fitting = makeJob("fitting", 8, 1000, second);
    fitting.stages[0].isGang = true;
    bench.submit(fitting);
    bench.run(Duration::milliseconds(300));
    CHECK(bench.fleet.runningCount(fitting.id) == 8);
}

TEST_CASE("at most maxTasksPerWorker tasks of a stage run on one worker")
{
    JobBench bench(13);
    bench.addWorkers(3, 16000);
    JobSpec job = makeJob("plan", 6, 1000, second * 10);
    job.stages[0].maxTasksPerWorker = 2;
    bench.submit(job);
    bench.run(second);
    for (auto const& worker : bench.fleet.reachableWorkers())
        CHECK(bench.fleet.runningCountOn(worker) == 2);
}

TEST_CASE("a configuration of a lower or equal version is acknowledged and changes nothing")
{
    JobBench bench(14);
    QueueConfig const held = *bench.leader().readQueues();
    for (uint64_t const version : { uint64_t(1), uint64_t(2), uint64_t(1) }) {
        QueueConfig other;
        other.version = ConfigVersion(version);
        CallResult result = CallResult::Refused;
        bench.leader().replaceQueues(other, [&](CallResult given) { result = given; });
        bench.run(Duration::milliseconds(20));
        CHECK(result == CallResult::Done);
        CHECK(bench.leader().readQueues()->version == ConfigVersion(version == 2 ? 2 : bench.leader().readQueues()->version.value()));
    }
    CHECK(bench.leader().readQueues()->version == ConfigVersion(2));
    CHECK(held.version == ConfigVersion(1));
}

TEST_CASE("countPending counts accepted jobs without a started task")
{
    JobBench bench(15);
    bench.submit(makeJob("a", 1, 1000, second));
    bench.submit(makeJob("b", 1, 1000, second));
    bench.run(Duration::milliseconds(50));
    size_t count = 0;
    CHECK(bench.leader().scheduler().countPending(QueueId("urgent"), count) == CallResult::Done);
    CHECK(count == 2);
    bench.addWorkers(1, 1000);
    bench.run(Duration::milliseconds(200));
    bench.leader().scheduler().countPending(QueueId("urgent"), count);
    CHECK(count == 1);
}

TEST_CASE("occurrences of a schedule start when they are due and may overlap")
{
    JobBench bench(16);
    bench.addWorkers(2, 16000);
    JobSpec job = makeJob("rounds", 1, 1000, second * 3);
    job.schedule = { bench.clock.wallMilliseconds() + 1000, second * 2, 3 };
    bench.submit(job);
    bench.run(Duration::milliseconds(800));
    CHECK(bench.fleet.record().starts == 0);
    bench.run(Duration::milliseconds(700));
    CHECK(bench.fleet.record().starts == 1);
    bench.run(second * 2);
    CHECK(bench.fleet.runningCount(job.id) == 2);
    REQUIRE(bench.runUntilIdle(second * 10));
    CHECK(bench.state(job.id) == JobState::Completed);
    CHECK(bench.fleet.record().starts == 3);
}

TEST_CASE("a gang that finds no room does not keep other jobs of its image from the room there is")
{
    JobBench bench(61);
    bench.addWorkers(2, 4000);
    JobSpec gang = makeJob("gang", 9, 1000, second);
    gang.stages[0].isGang = true;
    bench.submit(gang);
    bench.run(second * 12);
    REQUIRE(bench.fleet.runningCount(gang.id) == 0);
    JobSpec const plan = makeJob("plan", 4, 1000, second);
    bench.fleet.registerJob(plan, 1);
    QueueSpec const plans = bench.queueOf(makeBestEffortJob("any", 1, 1000, second, "image"));
    bench.leader().scheduler().submit(plan, plans, [](SubmitResult const&) {});
    bench.run(second * 5);
    CHECK(bench.state(plan.id) == JobState::Completed);
}

TEST_CASE("a gang that finds no room does not keep a smaller gang of its image from the room there is")
{
    JobBench bench(62);
    bench.addWorkers(2, 4000);
    JobSpec gang = makeJob("gang", 9, 1000, second);
    gang.stages[0].isGang = true;
    bench.submit(gang);
    bench.run(second * 12);
    JobSpec small = makeJob("small", 4, 1000, second);
    small.stages[0].isGang = true;
    bench.fleet.registerJob(small, 1);
    QueueSpec const plans = bench.queueOf(makeBestEffortJob("any", 1, 1000, second, "image"));
    bench.leader().scheduler().submit(small, plans, [](SubmitResult const&) {});
    bench.run(second * 5);
    CHECK(bench.state(small.id) == JobState::Completed);
}
