#include "cornelpond/core/scheduling/JobService.h"

#include "testing/fakes/ForwardingOrders.h"
#include "testing/fakes/JobBench.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>

using namespace cornelpond;

namespace {

using LostStops = FakeFleet::LostStops;

constexpr Duration second = Duration::seconds(1);
constexpr Duration cancelBound = Duration::milliseconds(3400); // What callers are promised: 3 s, and 0.4 s for the worker to stop.
constexpr Duration commitDelay = Duration::milliseconds(10);
constexpr uint32_t keptTasks = 4;
constexpr uint32_t cancelledTasks = 8;
WorkerId const onlyWorker("w0");

/// One worker that runs tasks of two jobs, of which "cancelled" is to be stopped.
struct SharedWorker {
    explicit SharedWorker(uint64_t seed)
        : bench(seed)
        , addedAt(bench.clock.now())
    {
        this->bench.addWorkers(1, 16000);
        this->bench.submit(makeJob(this->kept.value(), keptTasks, 1000, second * 20));
        this->bench.submit(makeJob(this->cancelled.value(), cancelledTasks, 1000, second * 60));
        this->bench.run(second * 3);
        REQUIRE(this->bench.fleet.runningCount(this->kept) == keptTasks);
        REQUIRE(this->bench.fleet.runningCount(this->cancelled) == cancelledTasks);
    }

    void cancel(LostStops lost)
    {
        this->bench.fleet.setLostStops(onlyWorker, lost);
        this->bench.cancel(this->cancelled);
    }

    /// Starts an attempt that the leader knows nothing of.
    JobId startUnknownAttempt()
    {
        JobSpec const job = makeJob("unknown", 1, 1000, second * 60);
        this->bench.fleet.registerJob(job);
        StartOrder order;
        order.task = { job.id, 0, 0, 0 };
        order.attempt = AttemptNumber(1);
        order.leaseUntil = this->bench.clock.now() - this->addedAt + second;
        Dispatcher const& dispatcher = this->bench.leader().scheduler().dispatcher();
        order.epoch = dispatcher.orderEpoch(dispatcher.workers().at(onlyWorker));
        this->bench.fleet.start({ onlyWorker, "10.0.0.0:80", DataCentreId() }, order, [](OrderAnswer const&) {});
        this->bench.run(Duration::milliseconds(10));
        REQUIRE(this->bench.fleet.runningCount(job.id) == 1);
        return job.id;
    }

    Duration timeUntilStopped(JobId const& job, Duration limit = Duration::seconds(10))
    {
        TimePoint const start = this->bench.clock.now();
        while (this->bench.fleet.runningCount(job) && this->bench.clock.now() - start < limit)
            this->bench.run(Duration::milliseconds(10));
        return this->bench.clock.now() - start;
    }

    void checkKeptTasksWereNotKilled()
    {
        this->bench.run(second * 5);
        CHECK(this->bench.fleet.runningCount(this->kept) == keptTasks);
        CHECK(this->bench.fleet.record().starts == keptTasks + cancelledTasks);
    }

    JobBench bench;
    TimePoint addedAt;
    JobId kept { "kept" };
    JobId cancelled { "cancelled" };
};

/// Stops that end as not sent before the call returns, and lost answers to starts.
class FailingOrders final : public ForwardingOrders {
public:
    FailingOrders(Clock const& clock, WorkerOrders& fleet)
        : ForwardingOrders(fleet)
        , clock(clock)
    {
    }

    void start(WorkerTarget const& worker, StartOrder const& order, Done done) override
    {
        this->fleet.start(worker, order, [this, done = std::move(done)](OrderAnswer const& answer) { done(this->losesStartAnswers ? OrderAnswer() : answer); });
    }
    void stop(WorkerTarget const& worker, StopOrder const& order, Done done) override
    {
        if (this->failsStops || this->tasksWithFailingStops.count(order.task))
            done({ OrderResult::NotSent, false, Duration() });
        else
            this->fleet.stop(worker, order, std::move(done));
    }
    void renew(WorkerTarget const& worker, RenewOrder const& order, std::function<void(RenewAnswer const&)> done) override
    {
        this->longestPause = std::max(this->longestPause, this->clock.now() - this->renewedAt.value_or(this->clock.now()));
        this->fleet.renew(worker, order, [this, done = std::move(done)](RenewAnswer const& answer) {
            this->renewedAt = this->clock.now();
            done(answer);
        });
    }

    bool failsStops = false;
    std::set<TaskRef> tasksWithFailingStops;
    bool losesStartAnswers = false;
    Duration longestPause; ///< Between the answer to a renewal and the next one, of one worker.

private:
    Clock const& clock;
    std::optional<TimePoint> renewedAt;
};

} // namespace

TEST_CASE("a run whose stops are lost on their usual way ends in time, and its neighbours run on")
{
    SharedWorker shared(1);
    shared.cancel(LostStops::Usual);
    CHECK(shared.timeUntilStopped(shared.cancelled) <= cancelBound);
    shared.checkKeptTasksWereNotKilled();
}

TEST_CASE("a run ends in time while the only connection that works carries the worker's renewals, and its neighbours run on")
{
    SharedWorker shared(2);
    shared.cancel(LostStops::AllButIdleConnection);
    DispatchTimes const times;
    CHECK(shared.timeUntilStopped(shared.cancelled) <= times.orderTimeout + times.longPollWait); // All by the first renewal after their timeout.
    shared.checkKeptTasksWereNotKilled();
}

TEST_CASE("a run that no stop reaches ends with its lease while renewals are answered, and its neighbours start again once")
{
    SharedWorker shared(3);
    shared.cancel(LostStops::All);
    CHECK(shared.timeUntilStopped(shared.cancelled) <= commitDelay + DispatchTimes().leaseDuration);
    shared.bench.run(second * 3);
    CHECK(shared.bench.fleet.runningCount(shared.kept) == keptTasks);
    REQUIRE(shared.bench.runUntilIdle(second * 60));
    CHECK(shared.bench.state(shared.kept) == JobState::Completed);
    CHECK(shared.bench.fleet.record().starts == 2 * keptTasks + cancelledTasks);
    CHECK(shared.bench.fleet.record().duplicateRuns == 0);
}

TEST_CASE("a run that no stop reaches ends with its lease after a change of leader")
{
    SharedWorker shared(4);
    shared.cancel(LostStops::All);
    shared.bench.run(second);
    shared.bench.elect(1);
    CHECK(shared.timeUntilStopped(shared.cancelled) <= DispatchTimes().leaseDuration + Duration::milliseconds(100));
    REQUIRE(shared.bench.runUntilIdle(second * 60));
    CHECK(shared.bench.fleet.record().duplicateRuns == 0);
}

TEST_CASE("an attempt that its leader does not know is stopped over the connection of a renewal, and its neighbours run on")
{
    SharedWorker shared(5);
    shared.bench.fleet.setLostStops(onlyWorker, LostStops::AllButIdleConnection);
    JobId const unknown = shared.startUnknownAttempt();
    CHECK(shared.timeUntilStopped(unknown) <= cancelBound);
    shared.bench.run(second * 3);
    CHECK(shared.bench.fleet.runningCount(shared.kept) == keptTasks);
    CHECK(shared.bench.fleet.record().starts == keptTasks + cancelledTasks + 1);
}

TEST_CASE("an attempt that its leader does not know and no stop reaches ends with its lease")
{
    SharedWorker shared(6);
    shared.bench.fleet.setLostStops(onlyWorker, LostStops::All);
    JobId const unknown = shared.startUnknownAttempt();
    DispatchTimes const times;
    CHECK(shared.timeUntilStopped(unknown) <= times.longPollWait + times.leaseDuration + Duration::milliseconds(100));
}

TEST_CASE("a worker that answers again while its removal is proposed gets its stops at once")
{
    SharedWorker shared(12);
    shared.bench.cancel(shared.kept);
    shared.bench.cancel(shared.cancelled);
    shared.bench.run(second);
    REQUIRE(shared.bench.fleet.runningCountOn(onlyWorker) == 0);
    DispatchTimes const times;
    shared.bench.fleet.setCut(onlyWorker, true);
    shared.bench.isCommitting = false;
    shared.bench.run(times.leaseDuration * 3 + second / 2);
    shared.bench.fleet.setCut(onlyWorker, false);
    JobId const unknown = shared.startUnknownAttempt();
    CHECK(shared.timeUntilStopped(unknown) <= times.maxRetryDelay + times.orderTimeout + Duration::milliseconds(100));
}

// Guards against a task that waits for as long as no stop of a start that got no answer is confirmed.
TEST_CASE("a task whose start is lost and whose stops only the connection of the renewals carries is placed again in time")
{
    JobBench bench(8);
    bench.addWorkers(1, 4000);
    bench.fleet.setLostStarts(onlyWorker, true);
    bench.fleet.setLostStops(onlyWorker, LostStops::AllButIdleConnection);
    JobSpec const job = makeJob("plan", 1, 1000, second * 60);
    bench.submit(job);
    bench.run(second * 3); // The start is given up after three orders.
    bench.fleet.setLostStarts(onlyWorker, false);
    bench.run(second * 2);
    CHECK(bench.fleet.runningCount(job.id) == 1);
    CHECK(bench.events.count(EventId::LeaseWithheld) == 0);
}

TEST_CASE("a stop that fails at once holds up no renewal")
{
    JobBench bench(9, 2, [](FakeClock& clock, WorkerOrders& fleet) { return std::make_unique<FailingOrders>(clock, fleet); });
    auto& orders = dynamic_cast<FailingOrders&>(*bench.orders);
    bench.addWorkers(1, 16000);
    bench.submit(makeJob("kept", 2, 1000, second * 60));
    bench.submit(makeJob("cancelled", 2, 1000, second * 60));
    bench.run(second * 3);
    orders.longestPause = Duration();
    orders.failsStops = true;
    bench.cancel(JobId("cancelled"));
    bench.run(second * 2);
    CHECK(orders.longestPause < Duration::milliseconds(100));
}

TEST_CASE("a stop that always fails keeps no other off the only connection that works")
{
    JobBench bench(11, 2, [](FakeClock& clock, WorkerOrders& fleet) { return std::make_unique<FailingOrders>(clock, fleet); });
    auto& orders = dynamic_cast<FailingOrders&>(*bench.orders);
    bench.addWorkers(1, 16000);
    JobId const cancelled("cancelled");
    bench.submit(makeJob(cancelled.value(), cancelledTasks, 1000, second * 60));
    bench.run(second * 3);
    REQUIRE(bench.fleet.runningCount(cancelled) == cancelledTasks);
    orders.tasksWithFailingStops = { { cancelled, 0, 0, 0 }, { cancelled, 0, 0, 1 } };
    bench.fleet.setLostStops(onlyWorker, LostStops::AllButIdleConnection);
    bench.cancel(cancelled);
    bench.run(DispatchTimes().leaseDuration - second / 2);
    CHECK(bench.fleet.runningCount(cancelled) == orders.tasksWithFailingStops.size());
}

// Guards against a worker that gets no tasks for as long as stops of what its former process ran are lost.
TEST_CASE("a restarted worker that lists nothing gets tasks although no stop reaches it")
{
    bool const losesStartAnswers = GENERATE(false, true);
    JobBench bench(10, 2, [](FakeClock& clock, WorkerOrders& fleet) { return std::make_unique<FailingOrders>(clock, fleet); });
    auto& orders = dynamic_cast<FailingOrders&>(*bench.orders);
    bench.addWorkers(1, 16000);
    bench.run(second);
    orders.losesStartAnswers = losesStartAnswers;
    bench.submit(makeJob("cancelled", 2, 1000, second * 60));
    bench.run(second * 2);
    orders.losesStartAnswers = false;
    REQUIRE(bench.fleet.runningCount(JobId("cancelled")) == 2);
    bench.fleet.setLostStops(onlyWorker, LostStops::All);
    bench.cancel(JobId("cancelled"));
    bench.run(Duration::milliseconds(100));
    bench.fleet.restart(onlyWorker);
    bench.fleet.setLostStops(onlyWorker, LostStops::All);
    bench.leader().scheduler().workerRegistration().announce(bench.fleet.report(onlyWorker), [](CallResult) {});
    bench.run(second * 4);
    REQUIRE(bench.fleet.runningCountOn(onlyWorker) == 0);
    bench.submit(makeJob("next", 2, 1000, second * 60));
    bench.run(second * 10);
    CHECK(bench.fleet.runningCount(JobId("next")) == 2);
}

TEST_CASE("no lease is withheld while many stops are confirmed, however many are open")
{
    JobBench bench(7);
    bench.addWorkers(2, 16000);
    bench.submit(makeJob("kept", keptTasks, 1000, second * 60));
    bench.run(second);
    for (int i = 0; i < 50; i++) {
        JobId const job("brief" + std::to_string(i));
        bench.submit(makeJob(job.value(), 20, 1000, second * 10));
        bench.run(Duration::milliseconds(100));
        bench.cancel(job);
        bench.run(Duration::milliseconds(100));
    }
    REQUIRE(bench.leader().scheduler().dispatcher().stopCounters().sent >= 500);
    CHECK(bench.events.count(EventId::LeaseWithheld) == 0);
    CHECK(bench.fleet.runningCount(JobId("kept")) == keptTasks);
}

TEST_CASE("no sequence of lost stops, late orders and leader changes lets a cancelled job run on, runs a task twice or loses a job")
{
    rc::prop("", [] {
        auto const seed = *rc::gen::arbitrary<uint32_t>();
        constexpr size_t workerCount = 4;
        JobBench bench(seed, 3);
        SeededRandom random(seed + 1U);
        bench.addWorkers(workerCount, 8000);
        FakeFleet::Faults faults;
        faults.lateOrderShare = 0.02;
        bench.fleet.setFaults(faults);
        TimePoint electedAt = bench.clock.now();
        std::map<JobId, TimePoint> startedAt;
        std::map<JobId, TimePoint> cancelledAt;
        std::set<JobId> cancelsSent;
        bench.fleet.setStartObserver([&](TaskRef const& task) { startedAt[task.job] = bench.clock.now(); });
        // The renewal that lists a late start may be lost once; its repetition extends the lease before a stop is known to be lost.
        DispatchTimes const times;
        Duration const bound = times.leaseDuration + times.longPollWait * 2 + times.orderTimeout * 2 + times.maxRetryDelay;
        size_t jobs = 0;
        for (int round = 0; round < 30; round++) {
            WorkerId const worker("w" + std::to_string(random.below(workerCount)));
            switch (random.below(6)) {
            case 0:
                bench.fleet.setLostStops(worker, LostStops::None);
                break;
            case 1:
                bench.fleet.setLostStops(worker, static_cast<LostStops>(1 + random.below(3)));
                break;
            case 2:
                if (random.below(4) == 0) {
                    bench.elect(random.below(3));
                    electedAt = bench.clock.now();
                }
                break;
            case 3:
                if (jobs) {
                    JobId const cancelled("j" + std::to_string(random.below(jobs)));
                    cancelsSent.insert(cancelled);
                    bench.leader().scheduler().cancel(cancelled, [&bench, &cancelledAt, cancelled](CallResult result) {
                        if (result == CallResult::Done)
                            cancelledAt.emplace(cancelled, bench.clock.now());
                    });
                }
                break;
            default:
                bench.submit(makeJob("j" + std::to_string(jobs++), 1 + static_cast<uint32_t>(random.below(6)), 1000, Duration::milliseconds(300 + static_cast<int64_t>(random.below(30000)))));
            }
            for (uint64_t steps = random.below(15); steps > 0; steps--) {
                bench.run(Duration::milliseconds(100));
                for (auto const& [job, at] : cancelledAt) {
                    if (bench.fleet.runningCount(job))
                        RC_ASSERT(bench.clock.now() - std::max({ at, electedAt, startedAt[job] }) <= bound);
                }
            }
        }
        bench.fleet.setFaults(FakeFleet::Faults());
        for (size_t i = 0; i < workerCount; i++)
            bench.fleet.setLostStops(WorkerId("w" + std::to_string(i)), LostStops::None);
        RC_ASSERT(bench.runUntilIdle(second * 120));
        bench.run(faults.maxLateDelay);
        for (auto const& [id, job] : bench.leader().scheduler().jobs().all()) {
            RC_ASSERT(job.state == JobState::Completed || (job.state == JobState::Cancelled && cancelsSent.count(id)));
            RC_ASSERT(bench.fleet.runningCount(id) == 0);
        }
        RC_ASSERT(bench.fleet.record().duplicateRuns == 0);
        RC_ASSERT(bench.fleet.record().startsAfterDone == 0);
    });
}
