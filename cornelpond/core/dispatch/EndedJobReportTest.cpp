// What the leader logs about the attempts of cancelled jobs.

#include "testing/fakes/EventFields.h"
#include "testing/fakes/ForwardingOrders.h"
#include "testing/fakes/JobBench.h"

#include <catch2/catch.hpp>

#include <string>
#include <utility>
#include <vector>

using namespace cornelpond;

namespace {

using LostStops = FakeFleet::LostStops;

constexpr Duration second = Duration::seconds(1);
WorkerId const onlyWorker("w0");
/// Of a worker that answers: a renewal waits for an event, behind a stop that gets no answer.
Duration const longestListingAge = DispatchTimes().longPollWait + DispatchTimes().orderTimeout;

/// Confirms stops without passing them on, while a test wants it.
class ConfirmedStops final : public ForwardingOrders {
public:
    using ForwardingOrders::ForwardingOrders;

    void stop(WorkerTarget const& worker, StopOrder const& order, Done done) override
    {
        if (this->isConfirmingFalsely)
            done({ OrderResult::Accepted, false, Duration() });
        else
            this->fleet.stop(worker, order, std::move(done));
    }

    bool isConfirmingFalsely = false;
};

std::unique_ptr<WorkerOrders> makeConfirmedStops(FakeClock&, WorkerOrders& fleet)
{
    return std::make_unique<ConfirmedStops>(fleet);
}

/// A job of some tasks that run for a minute on one worker.
struct RunningJob {
    explicit RunningJob(uint64_t seed, uint32_t tasks = 3)
        : bench(seed, 2, makeConfirmedStops)
    {
        this->bench.addWorkers(1, 16000);
        this->bench.submit(makeJob(this->job.value(), tasks, 100, second * 60));
        this->bench.run(second * 3);
        REQUIRE(this->bench.fleet.runningCount(this->job) == tasks);
    }

    EndedJobReport const& report() { return this->bench.leader().scheduler().dispatcher().endedJobReport(); }

    JobBench bench;
    JobId job { "plan" };
};

} // namespace

TEST_CASE("a cancel is logged with the job's live attempts, and once more when the last of them has ended")
{
    RunningJob running(1);
    JobBench& bench = running.bench;
    bench.cancel(running.job);
    bench.run(second * 2);
    std::vector<Event> const begun = bench.events.of(EventId::JobStopsBegun);
    REQUIRE(begun.size() == 1);
    CHECK(valueOf(begun[0], "job") == "plan");
    CHECK(valueOf(begun[0], "queue") == bench.queueOf(makeJob("plan", 3, 100, second)).name.value());
    CHECK(valueOf(begun[0], "state") == "cancelled");
    CHECK(valueOf(begun[0], "before") == "running");
    CHECK(valueOf(begun[0], "inherited") == "0");
    CHECK(valueOf(begun[0], "attempts") == "3");
    CHECK(valueOf(begun[0], "live") == "0.0.0/1@w0:running,0.0.1/1@w0:running,0.0.2/1@w0:running");
    std::vector<Event> const done = bench.events.of(EventId::JobStopsDone);
    REQUIRE(done.size() == 1);
    CHECK(valueOf(done[0], "job") == "plan");
    CHECK(valueOf(done[0], "attempts") == "3");
    CHECK(valueOf(done[0], "stops") == "3");
    CHECK(valueOf(done[0], "lastWorker") == "w0");
    CHECK(valueOf(done[0], "lastOutcome") == "stopped");
    CHECK(numberOf(done[0], "lastedMs") <= 1000);
    CHECK(bench.events.count(EventId::AttemptOutlivesJob) == 0);
}

TEST_CASE("the cancel of a job that has not started is logged with the state that callers were shown")
{
    JobBench bench(2);
    bench.addWorkers(1, 1000);
    bench.submit(makeJob("waiting", 1, 5000, second));
    bench.run(second);
    bench.cancel(JobId("waiting"));
    bench.run(second);
    std::vector<Event> const begun = bench.events.of(EventId::JobStopsBegun);
    REQUIRE(begun.size() == 1);
    CHECK(valueOf(begun[0], "before") == "queued");
    CHECK(valueOf(begun[0], "attempts") == "0");
    CHECK(valueOf(begun[0], "live").empty());
    CHECK(bench.events.count(EventId::JobStopsDone) == 0);
}

TEST_CASE("attempts that outlive their cancelled job by two seconds are logged with what the leader did and knows")
{
    RunningJob running(3);
    JobBench& bench = running.bench;
    bench.fleet.setLostStops(onlyWorker, LostStops::All);
    bench.cancel(running.job);
    bench.run(second * 2 - Duration::milliseconds(100));
    CHECK(bench.events.count(EventId::AttemptOutlivesJob) == 0);
    CHECK(running.report().attemptsOlderThan(second) == 3);
    CHECK(running.report().attemptsOlderThan(second * 2) == 0);
    bench.run(second);
    std::vector<Event> const lines = bench.events.of(EventId::AttemptOutlivesJob);
    REQUIRE(lines.size() == 3);
    for (auto const& line : lines) {
        CHECK(valueOf(line, "task").substr(0, 9) == "plan.0.0.");
        CHECK(valueOf(line, "worker") == "w0");
        CHECK(valueOf(line, "phase") == "running");
        CHECK(valueOf(line, "state") == "cancelled");
        CHECK(valueOf(line, "stopping") == "1");
        CHECK(numberOf(line, "stops") >= 2);
        CHECK(valueOf(line, "confirmed") == "0");
        CHECK(valueOf(line, "confirmedMs") == "-1");
        CHECK(valueOf(line, "lastResult") == "unknown");
        CHECK(valueOf(line, "endProposed") == "0");
        CHECK(valueOf(line, "answers") == "1");
        CHECK(valueOf(line, "hasListing") == "1");
        CHECK(valueOf(line, "higherEpoch") == "0");
        CHECK(valueOf(line, "withheld") == "1");
        CHECK(numberOf(line, "listedMs") <= longestListingAge.toMilliseconds());
        CHECK(numberOf(line, "sinceMs") >= 2000);
        CHECK(numberOf(line, "sinceMs") < 2600);
    }
    bench.run(second * 5);
    CHECK(bench.events.count(EventId::JobStopsDone) == 1);
    CHECK(running.report().attemptsOlderThan(Duration()) == 0);
}

TEST_CASE("an attempt whose stop was confirmed and that its worker goes on listing is logged as such")
{
    RunningJob running(4, 1);
    JobBench& bench = running.bench;
    static_cast<ConfirmedStops&>(*bench.orders).isConfirmingFalsely = true;
    bench.cancel(running.job);
    bench.run(Duration::milliseconds(4500));
    std::vector<Event> const lines = bench.events.of(EventId::AttemptOutlivesJob);
    REQUIRE(lines.size() == 2);
    CHECK(valueOf(lines[1], "confirmed") == "1");
    CHECK(valueOf(lines[1], "lastResult") == "accepted");
    CHECK(valueOf(lines[1], "endProposed") == "0");
    CHECK(numberOf(lines[1], "confirmedMs") >= 4000);
    CHECK(numberOf(lines[1], "listedMs") <= longestListingAge.toMilliseconds());
    CHECK(running.report().attemptsOlderThan(second * 4) == 1);
    CHECK(bench.events.count(EventId::LeaseWithheld) == 1);
    bench.run(second);
    CHECK(running.report().attemptsOlderThan(Duration()) == 0);
    CHECK(bench.events.count(EventId::JobStopsDone) == 1);
}

TEST_CASE("a new leader logs the live attempts of cancelled jobs that it takes over, and their end")
{
    RunningJob running(5);
    JobBench& bench = running.bench;
    bench.fleet.setLostStops(onlyWorker, LostStops::All);
    bench.cancel(running.job);
    bench.run(second);
    bench.elect(1);
    bench.run(second / 10);
    std::vector<Event> const begun = bench.events.of(EventId::JobStopsBegun);
    REQUIRE(begun.size() == 2);
    CHECK(valueOf(begun[1], "inherited") == "1");
    CHECK(valueOf(begun[1], "before") == "notKnown");
    CHECK(valueOf(begun[1], "attempts") == "3");
    CHECK(numberOf(begun[1], "sinceEndedMs") >= 900);
    CHECK(running.report().attemptsOlderThan(second) == 3);
    bench.run(second * 2);
    CHECK(bench.events.count(EventId::AttemptOutlivesJob) >= 3);
    bench.run(second * 6);
    CHECK(bench.events.count(EventId::JobStopsDone) == 1);
}

TEST_CASE("a run of a job that is not known is logged as a stray for as long as its worker lists it")
{
    JobBench bench(6);
    bench.addWorkers(1, 16000);
    bench.run(second * 3);
    JobSpec const job = makeJob("unknown", 1, 1000, second * 60);
    bench.fleet.registerJob(job);
    bench.fleet.setLostStops(onlyWorker, LostStops::All);
    StartOrder order;
    order.task = { job.id, 0, 0, 0 };
    order.attempt = AttemptNumber(1);
    order.leaseUntil = second * 6;
    Dispatcher const& dispatcher = bench.leader().scheduler().dispatcher();
    order.epoch = dispatcher.orderEpoch(dispatcher.workers().at(onlyWorker));
    bench.fleet.start({ onlyWorker, "10.0.0.0:80", DataCentreId() }, order, [](OrderAnswer const&) {});
    bench.run(second);
    std::vector<Event> const strays = bench.events.of(EventId::StrayAttempt);
    REQUIRE(strays.size() == 1);
    CHECK(valueOf(strays[0], "state") == "notKnown");
    CHECK(valueOf(strays[0], "lastAttempt") == "0");
    CHECK(dispatcher.endedJobReport().listedOrphans() == 1);
    bench.run(second * 2);
    std::vector<Event> const lines = bench.events.of(EventId::AttemptOutlivesJob);
    REQUIRE(lines.size() == 1);
    CHECK(valueOf(lines[0], "task") == "unknown.0.0.0");
    CHECK(valueOf(lines[0], "phase") == "stray");
    CHECK(valueOf(lines[0], "state") == "notKnown");
    CHECK(numberOf(lines[0], "stops") >= 2);
    CHECK(numberOf(lines[0], "sinceMs") >= 2000);
    bench.run(second * 5);
    CHECK(dispatcher.endedJobReport().listedOrphans() == 0);
}

// Guards against a run without a 336 line: the leader expected the attempt as orphaned before the worker listed it.
TEST_CASE("a run of an attempt that was concluded after a restart of its worker is logged as a stray")
{
    JobBench bench(8);
    bench.announceInterval = Duration::milliseconds(100);
    bench.addWorkers(1, 16000);
    bench.run(second * 3);
    bench.fleet.setLostStarts(onlyWorker, true);
    JobSpec const job = makeJob("plan", 1, 1000, second * 60);
    bench.submit(job);
    bench.run(Duration::milliseconds(800));
    bench.fleet.crash(onlyWorker);
    bench.fleet.restart(onlyWorker);
    bench.fleet.setLostStarts(onlyWorker, false);
    bench.fleet.setLostStops(onlyWorker, LostStops::All);
    bench.run(second / 2);
    bench.fleet.setCut(onlyWorker, true);
    bench.run(second * 8);
    REQUIRE(bench.events.count(EventId::AttemptConcluded) == 1);
    bench.fleet.setCut(onlyWorker, false);
    bench.run(second);
    Dispatcher const& dispatcher = bench.leader().scheduler().dispatcher();
    REQUIRE(dispatcher.workers().at(onlyWorker).orphanedAttempts.size() == 1);
    REQUIRE(bench.events.count(EventId::StrayAttempt) == 0);
    StartOrder order;
    order.task = { job.id, 0, 0, 0 };
    order.attempt = AttemptNumber(1);
    order.leaseUntil = second * 20;
    order.epoch = dispatcher.orderEpoch(dispatcher.workers().at(onlyWorker));
    bench.fleet.start({ onlyWorker, "10.0.0.0:80", DataCentreId() }, order, [](OrderAnswer const&) {});
    bench.run(second);
    CHECK(dispatcher.endedJobReport().listedOrphans() == 1);
    std::vector<Event> const strays = bench.events.of(EventId::StrayAttempt);
    REQUIRE(strays.size() == 1);
    CHECK(valueOf(strays[0], "task") == "plan.0.0.0");
    CHECK(valueOf(strays[0], "attempt") == "1");
    CHECK(valueOf(strays[0], "state") == "active");
    CHECK(numberOf(strays[0], "lastAttempt") >= 2);
    CHECK(bench.events.count(EventId::AttemptOutlivesJob) == 0);
}

TEST_CASE("the lines about the attempts of a large cancelled job are bounded, and those left out are counted")
{
    constexpr uint32_t tasks = 120;
    RunningJob running(7, tasks);
    JobBench& bench = running.bench;
    bench.fleet.setLostStops(onlyWorker, LostStops::All);
    bench.cancel(running.job);
    bench.run(second * 3);
    std::vector<Event> const begun = bench.events.of(EventId::JobStopsBegun);
    REQUIRE(begun.size() == 1);
    CHECK(valueOf(begun[0], "attempts") == std::to_string(tasks));
    CHECK(valueOf(begun[0], "live").size() < 1000);
    size_t const lines = bench.events.count(EventId::AttemptOutlivesJob);
    CHECK(lines == 50);
    std::vector<Event> const suppressed = bench.events.of(EventId::EventsSuppressed);
    REQUIRE(suppressed.size() == 1);
    CHECK(valueOf(suppressed[0], "suppressed") == "AttemptOutlivesJob");
    CHECK(numberOf(suppressed[0], "lines") == static_cast<int64_t>(tasks - lines));
}

TEST_CASE("a cancel that is not committed leaves no line of its effect")
{
    RunningJob running(9);
    JobBench& bench = running.bench;
    bench.isCommitting = false;
    bench.cancel(running.job);
    bench.run(second * 5);
    CHECK(bench.fleet.runningCount(running.job) == 3);
    CHECK(bench.events.count(EventId::JobCancelled) == 0);
    CHECK(bench.events.count(EventId::JobStopsBegun) == 0);
    CHECK(bench.events.count(EventId::AttemptOutlivesJob) == 0);
    bench.isCommitting = true;
    bench.run(second * 2);
    CHECK(bench.fleet.runningCount(running.job) == 0);
    CHECK(bench.events.count(EventId::JobStopsBegun) == 1);
    CHECK(bench.events.count(EventId::JobStopsDone) == 1);
}

TEST_CASE("a run of a cancelled job that its worker lists after its last attempt has ended is logged as a stray of that job")
{
    RunningJob running(10, 1);
    JobBench& bench = running.bench;
    bench.cancel(running.job);
    bench.run(second * 2);
    REQUIRE(bench.events.count(EventId::JobStopsDone) == 1);
    bench.fleet.crash(onlyWorker);
    bench.fleet.restart(onlyWorker);
    bench.run(second * 2);
    bench.fleet.setLostStops(onlyWorker, LostStops::All);
    StartOrder order;
    order.task = { running.job, 0, 0, 0 };
    order.attempt = AttemptNumber(1);
    order.leaseUntil = second * 8;
    Dispatcher const& dispatcher = bench.leader().scheduler().dispatcher();
    order.epoch = dispatcher.orderEpoch(dispatcher.workers().at(onlyWorker));
    bench.fleet.start({ onlyWorker, "10.0.0.0:80", DataCentreId() }, order, [](OrderAnswer const&) {});
    bench.run(second * 3);
    std::vector<Event> const strays = bench.events.of(EventId::StrayAttempt);
    REQUIRE(strays.size() == 1);
    CHECK(valueOf(strays[0], "state") == "cancelled");
    CHECK(valueOf(strays[0], "lastAttempt") == "0"); // The records of the job's tasks went with its last attempt.
    std::vector<Event> const lines = bench.events.of(EventId::AttemptOutlivesJob);
    REQUIRE(lines.size() == 1);
    CHECK(valueOf(lines[0], "task") == "plan.0.0.0");
    CHECK(valueOf(lines[0], "phase") == "stray");
    CHECK(valueOf(lines[0], "state") == "cancelled");
    CHECK(running.report().attemptsOlderThan(Duration()) == 0);
    CHECK(running.report().listedOrphans() == 1);
}
