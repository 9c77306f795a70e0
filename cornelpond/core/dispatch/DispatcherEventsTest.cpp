// What the leader logs and counts when orders for a former process of a worker may have reached the present one.

#include "testing/fakes/EventFields.h"
#include "testing/fakes/ForwardingOrders.h"
#include "testing/fakes/JobBench.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <string>
#include <utility>
#include <vector>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);
Duration const longestLease = DispatchTimes().longestLeaseOnSlowClock();

/// Holds starts back while the test wants it, as orders that wait on their way.
class HeldStarts final : public ForwardingOrders {
public:
    using ForwardingOrders::ForwardingOrders;

    void start(WorkerTarget const& target, StartOrder const& order, Done done) override
    {
        if (this->isHolding)
            this->held.push_back([this, target, order, done = std::move(done)] { this->fleet.start(target, order, done); });
        else
            this->fleet.start(target, order, std::move(done));
    }

    void release()
    {
        this->isHolding = false;
        for (auto const& send : std::exchange(this->held, {}))
            send();
    }

    bool isHolding = false;
    std::vector<std::function<void()>> held;
};

/// Two workers whose orders outlive their processes, and starts that the test can hold.
class RestartBench {
public:
    RestartBench()
    {
        FakeFleet::Faults faults;
        faults.ordersOutliveProcesses = true;
        this->bench.fleet.setFaults(faults);
        this->bench.announceInterval = Duration::milliseconds(100);
        this->bench.addWorkers(1, 16000);
        this->bench.run(second * 20);
    }

    HeldStarts& orders() { return static_cast<HeldStarts&>(*this->bench.orders); }

    /// Submits a job whose start is held until the test releases it.
    void submitHeld()
    {
        this->orders().isHolding = true;
        this->bench.submit(makeJob("plan", 1, 16000, second * 60));
        this->bench.run(second / 10);
        REQUIRE(this->orders().held.size() == 1);
    }

    void restart()
    {
        this->bench.fleet.crash(this->worker);
        this->bench.fleet.restart(this->worker);
    }

    std::vector<Event> eventsOf(EventId id) const { return this->bench.events.of(id); }

    WorkerProcessCounters const& counters() { return this->bench.leader().scheduler().dispatcher().processCounters(); }
    FormerOrderWorkers formerOrderWorkers() { return this->bench.leader().scheduler().dispatcher().formerOrderWorkers(); }

    JobBench bench { 1, 2, [](FakeClock&, WorkerOrders& fleet) { return std::make_unique<HeldStarts>(fleet); } };
    WorkerId const worker { "w0" };
};

/// The worker of the job's only task.
WorkerId workerOf(JobBench& bench, JobId const& job)
{
    WorkerId worker;
    bench.leader().scheduler().jobs().forEachLiveAttemptOf(job, [&](TaskRef const&, TaskRecord const&, Attempt const& attempt) { worker = attempt.worker; });
    return worker;
}

} // namespace

TEST_CASE("the leader logs a new process of a worker with the epoch of its orders and until when a lease by former orders counts")
{
    RestartBench bench;
    std::vector<Event> const inherited = bench.eventsOf(EventId::AttemptsInherited);
    REQUIRE(inherited.size() == 1);
    CHECK(bench.eventsOf(EventId::FormerOrdersCounted).empty());
    bench.restart();
    bench.bench.run(second);
    std::vector<Event> const replaced = bench.eventsOf(EventId::WorkerProcessReplaced);
    REQUIRE(replaced.size() == 1);
    CHECK(valueOf(replaced[0], "formerBornMs") == "1");
    CHECK(valueOf(replaced[0], "bornMs") == "2");
    CHECK(numberOf(replaced[0], "formerOrdersLeaseMs") == (DispatchTimes().orderTimeout + longestLease).toMilliseconds());
    CHECK(numberOf(replaced[0], "epoch") > numberOf(inherited[0], "epoch"));
    std::vector<Event> const counted = bench.eventsOf(EventId::FormerOrdersCounted);
    REQUIRE(counted.size() == 1);
    CHECK(valueOf(counted[0], "worker") == "w0");
    CHECK(valueOf(counted[0], "source") == "first answer");
    CHECK(valueOf(counted[0], "bornMs") == "2");
    CHECK(valueOf(counted[0], "epoch") == valueOf(replaced[0], "epoch"));
    CHECK(numberOf(counted[0], "formerOrdersLeaseMs") == longestLease.toMilliseconds());
    CHECK(bench.formerOrderWorkers().mayReceive == 0);
    CHECK(bench.formerOrderWorkers().mayHoldLease == 1);
    bench.bench.run(longestLease);
    CHECK(bench.formerOrderWorkers().mayHoldLease == 0);
}

TEST_CASE("the leader logs and counts a start that another process of the worker carried out than it names")
{
    RestartBench bench;
    bench.submitHeld();
    bench.restart();
    bench.orders().release();
    bench.bench.run(second / 2);
    std::vector<Event> const byOther = bench.eventsOf(EventId::StartByOtherProcess);
    REQUIRE(byOther.size() == 1);
    CHECK(valueOf(byOther[0], "task") == "plan.0.0.0");
    CHECK(valueOf(byOther[0], "attempt") == "1");
    CHECK(valueOf(byOther[0], "worker") == "w0");
    CHECK(valueOf(byOther[0], "processBornMs") == "1");
    CHECK(valueOf(byOther[0], "result") == "accepted");
    CHECK(numberOf(byOther[0], "clockMs") < 1000);
    CHECK(numberOf(byOther[0], "expectedClockMs") > 19000);
    CHECK(bench.counters().startsByOtherProcess == 1);
    CHECK(bench.counters().ordersRefused == 0);
}

TEST_CASE("the leader counts a start for a former process that the present one refuses")
{
    RestartBench bench;
    bench.submitHeld();
    bench.restart();
    bench.bench.run(second * 2);
    bench.orders().release();
    bench.bench.run(second / 2);
    std::vector<Event> const refused = bench.eventsOf(EventId::AttemptRefused);
    REQUIRE(!refused.empty());
    CHECK(valueOf(refused[0], "result") == "refusedEpoch");
    CHECK(valueOf(refused[0], "formerProcess") == "1");
    CHECK(bench.counters().ordersRefused == 1);
    CHECK(bench.eventsOf(EventId::WorkerSuperseded).empty());
}

TEST_CASE("the line of a concluded attempt tells what was left of a lease by former orders")
{
    RestartBench bench;
    bench.restart();
    bench.bench.run(second * 2);
    bench.bench.submit(makeJob("plan", 1, 16000, second * 60));
    bench.bench.run(second * 2);
    bench.bench.fleet.setCut(bench.worker, true);
    bench.bench.run(second * 12);
    std::vector<Event> const concluded = bench.eventsOf(EventId::AttemptConcluded);
    REQUIRE(concluded.size() == 1);
    CHECK(valueOf(concluded[0], "reason") == "lease over");
    CHECK(valueOf(concluded[0], "formerOrders") == "0");
    CHECK(valueOf(concluded[0], "inherited") == "0");
    CHECK(numberOf(concluded[0], "formerOrdersLeaseMs") <= -DispatchTimes().leaseMargin.toMilliseconds());
    CHECK(numberOf(concluded[0], "promiseAgeMs") >= (DispatchTimes().leaseDuration + DispatchTimes().leaseMargin).toMilliseconds());
    CHECK(valueOf(concluded[0], "epoch") == valueOf(bench.eventsOf(EventId::WorkerProcessReplaced).at(0), "epoch"));
}

TEST_CASE("a new leader logs what it inherits, and what it assumes of a worker that was restarted just before")
{
    RestartBench bench;
    bench.bench.submit(makeJob("plan", 1, 16000, second * 60));
    bench.bench.run(second * 2);
    bench.restart();
    bench.bench.run(second / 2);
    bench.bench.fleet.setCut(bench.worker, true);
    bench.bench.crashLeader();
    bench.bench.elect(1);
    std::vector<Event> const inherited = bench.eventsOf(EventId::AttemptsInherited);
    REQUIRE(inherited.size() == 2);
    CHECK(valueOf(inherited[1], "attempts") == "1");
    CHECK(valueOf(inherited[1], "workers") == "1");
    CHECK(valueOf(inherited[1], "workersWithFormerOrders") == "1");
    CHECK(numberOf(inherited[1], "epoch") > numberOf(inherited[0], "epoch"));
    Event const assumed = bench.eventsOf(EventId::FormerOrdersCounted).back();
    CHECK(valueOf(assumed, "source") == "earlier process");
    CHECK(valueOf(assumed, "bornMs") == "2");
    CHECK(numberOf(assumed, "epoch") > numberOf(inherited[1], "epoch"));
    int64_t const countedMs = (DispatchTimes().orderTimeout + longestLease).toMilliseconds();
    CHECK(numberOf(assumed, "formerOrdersLeaseMs") <= countedMs);
    CHECK(numberOf(assumed, "formerOrdersLeaseMs") >= countedMs - 1000);
    bench.bench.run(second * 12);
    std::vector<Event> const concluded = bench.eventsOf(EventId::AttemptConcluded);
    REQUIRE(!concluded.empty());
    CHECK(valueOf(concluded.back(), "inherited") == "1");
    CHECK(valueOf(concluded.back(), "formerOrders") == "1");
    CHECK(numberOf(concluded.back(), "formerOrdersLeaseMs") <= -DispatchTimes().leaseMargin.toMilliseconds());
}

TEST_CASE("a host that does not lead logs the starts of further attempts, and no others")
{
    JobBench bench(1);
    bench.addWorkers(2, 16000);
    bench.run(second * 20);
    JobSpec const job = makeJob("plan", 1, 16000, second * 60);
    bench.submit(job);
    bench.run(second * 2);
    WorkerId const first = workerOf(bench, job.id);
    bench.fleet.setCut(first, true);
    bench.run(second * 8);
    WorkerId const other = workerOf(bench, job.id);
    REQUIRE(other != first);
    CHECK(bench.events.count(EventId::FurtherAttemptCommitted) == 0); // The follower of the bench applies nothing before its election.
    bench.elect(1);
    REQUIRE(bench.events.count(EventId::FurtherAttemptCommitted) == 1);
    auto const& events = bench.events.all();
    auto const committed = std::find_if(events.begin(), events.end(), [](Event const& event) { return event.id() == EventId::FurtherAttemptCommitted; });
    CHECK(valueOf(*committed, "task") == "plan.0.0.0");
    CHECK(valueOf(*committed, "attempt") == "2");
    CHECK(valueOf(*committed, "worker") == other.value());
}
