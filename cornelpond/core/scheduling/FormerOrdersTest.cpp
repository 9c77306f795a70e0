// Orders for a former process of a worker that a later process carries out.

#include "testing/fakes/ForwardingOrders.h"
#include "testing/fakes/JobBench.h"

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <utility>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);

/// Loses renewals to one worker, and can carry out the first that extended its lease later.
class LateRenewals final : public ForwardingOrders {
public:
    LateRenewals(FakeClock& clock, WorkerOrders& fleet)
        : ForwardingOrders(fleet)
        , clock(clock)
    {
    }

    void renew(WorkerTarget const& target, RenewOrder const& order, std::function<void(RenewAnswer const&)> done) override
    {
        if (target.id != this->lostFor) {
            this->fleet.renew(target, order, std::move(done));
            return;
        }
        if (order.extendsLease && !this->late)
            this->late = { target, order };
        this->clock.after(DispatchTimes().orderTimeout, [done = std::move(done)] { done(RenewAnswer()); });
    }

    bool hasLate() const { return this->late.has_value(); }
    void executeLate()
    {
        this->fleet.renew(this->late->first, this->late->second, [](RenewAnswer const&) {});
    }

    WorkerId lostFor; ///< The worker whose renewals are lost; empty: none.

private:
    FakeClock& clock;
    std::optional<std::pair<WorkerTarget, RenewOrder>> late;
};

/// Two workers, each with room for one task, whose processes carry out orders for former ones. A task that ends on one of them can
/// start on the other only after `freeOther`.
class FormerOrdersBench {
public:
    explicit FormerOrdersBench(size_t hosts = 1)
        : bench(1, hosts, [](FakeClock& clock, WorkerOrders& fleet) { return std::make_unique<LateRenewals>(clock, fleet); })
    {
        FakeFleet::Faults faults;
        faults.ordersOutliveProcesses = true;
        this->bench.fleet.setFaults(faults);
        this->bench.announceInterval = Duration::milliseconds(100);
        this->bench.addWorkers(2, workerMilliCores);
        this->bench.run(second * 20);
        this->bench.submit(this->other);
        this->bench.run(second * 2);
        this->otherWorker = this->workerOf(this->other);
        REQUIRE(!this->otherWorker.empty());
    }

    LateRenewals& orders() { return static_cast<LateRenewals&>(*this->bench.orders); }

    WorkerId workerOf(JobSpec const& spec)
    {
        WorkerId found;
        this->bench.leader().scheduler().jobs().forEachLiveAttemptOf(spec.id, [&](TaskRef const&, TaskRecord const&, Attempt const& attempt) { found = attempt.worker; });
        return found;
    }

    /// Submits the job and runs until its start has been sent, but not carried out. `runningThere`: tasks that its worker runs.
    void sendStart(size_t runningThere = 0)
    {
        this->bench.submit(this->job);
        for (int i = 0; i < 50 && this->workerOf(this->job).empty(); i++)
            this->bench.run(Duration::milliseconds(10));
        this->worker = this->workerOf(this->job);
        REQUIRE(!this->worker.empty());
        REQUIRE(this->worker != this->otherWorker);
        REQUIRE(this->bench.fleet.runningCountOn(this->worker) == runningThere);
    }

    void startJob()
    {
        this->sendStart();
        this->runUntilStarted();
    }

    void runUntilStarted()
    {
        for (int i = 0; i < 200 && !this->bench.fleet.runningCountOn(this->worker); i++)
            this->bench.run(Duration::milliseconds(10));
        REQUIRE(this->bench.fleet.runningCountOn(this->worker) == 1);
        REQUIRE(this->workerOf(this->job) == this->worker);
    }

    /// The first renewal that is lost extends the lease by the clock of the worker's present process.
    void loseRenewals()
    {
        this->orders().lostFor = this->worker;
        this->bench.run(second);
        REQUIRE(this->orders().hasLate());
    }

    void cutOff()
    {
        this->bench.fleet.setCut(this->worker, true);
        this->bench.cancel(this->other.id);
    }

    /// To be called after `cutOff`.
    void checkMovesOnce()
    {
        this->bench.run(second * 9);
        CHECK(this->bench.fleet.record().duplicateRuns == 0);
        CHECK(this->bench.fleet.runningCount(this->job.id) == 1);
        CHECK(this->workerOf(this->job) == this->otherWorker);
    }

    static constexpr int64_t workerMilliCores = 16000;
    JobBench bench;
    JobSpec job = makeJob("plan", 1, workerMilliCores, second * 60);
    JobSpec other = makeJob("other", 1, workerMilliCores, second * 60);
    WorkerId worker; ///< Of `job`.
    WorkerId otherWorker;
};

} // namespace

// The leader counts leases by the orders that it sent to the present process, and by those for former ones only for a while.
TEST_CASE("a process of a worker refuses a lease for a former one once it has listed")
{
    FormerOrdersBench workers;
    JobBench& bench = workers.bench;
    workers.startJob();
    workers.loseRenewals();
    bench.fleet.restart(workers.worker);
    workers.orders().lostFor = WorkerId();
    bench.run(second * 8);
    workers.runUntilStarted();
    workers.orders().executeLate();
    bench.run(Duration::milliseconds(20));
    workers.cutOff();
    workers.checkMovesOnce();
}

// The leader learns of the process by its announcement; its first listing comes seconds later.
TEST_CASE("a lease for a former process is waited for if it is extended between the announcement and the first listing of the present one")
{
    FormerOrdersBench workers;
    JobBench& bench = workers.bench;
    workers.startJob();
    workers.loseRenewals();
    bench.fleet.restart(workers.worker);
    bench.run(Duration::milliseconds(1300));
    REQUIRE(bench.events.count(EventId::WorkerProcessReplaced) == 1);
    workers.orders().executeLate();
    workers.orders().lostFor = WorkerId();
    bench.run(Duration::milliseconds(20));
    workers.runUntilStarted();
    workers.cutOff();
    workers.checkMovesOnce();
}

TEST_CASE("a start that a later process has answered is news of that process")
{
    FormerOrdersBench workers;
    JobBench& bench = workers.bench;
    bench.announceInterval = second * 60;
    bench.run(second);
    workers.sendStart();
    workers.orders().lostFor = workers.worker;
    bench.fleet.restart(workers.worker);
    bench.run(Duration::milliseconds(50));
    REQUIRE(bench.fleet.runningCountOn(workers.worker) == 1);
    workers.cutOff();
    workers.checkMovesOnce();
}

// The former leader sent the start; the present one knows of the process by its announcement only.
TEST_CASE("a new leader waits for a lease that a former leader's start for a former process extended")
{
    FormerOrdersBench workers(2);
    JobBench& bench = workers.bench;
    workers.sendStart();
    bench.fleet.crash(workers.worker);
    bench.run(second / 2);
    bench.fleet.restart(workers.worker);
    REQUIRE(bench.fleet.runningCountOn(workers.worker) == 1);
    workers.orders().lostFor = workers.worker;
    bench.run(Duration::milliseconds(200));
    REQUIRE(bench.events.count(EventId::WorkerProcessReplaced) == 1);
    bench.crashLeader();
    bench.fleet.setCut(workers.worker, true);
    bench.elect(1);
    workers.cutOff();
    workers.checkMovesOnce();
}

TEST_CASE("a lease for a former process is waited for if it is extended before the first listing that a new leader gets")
{
    FormerOrdersBench workers(2);
    JobBench& bench = workers.bench;
    workers.startJob();
    workers.loseRenewals();
    bench.fleet.restart(workers.worker);
    bench.run(Duration::milliseconds(200));
    REQUIRE(bench.events.count(EventId::WorkerProcessReplaced) == 1);
    bench.crashLeader();
    bench.elect(1);
    bench.run(second * 2);
    workers.orders().executeLate();
    workers.orders().lostFor = WorkerId();
    bench.run(Duration::milliseconds(20));
    workers.runUntilStarted();
    workers.cutOff();
    workers.checkMovesOnce();
}

// The leader learns of the process by a listing: the roster, which it reads when it leads again, does not hold it yet.
TEST_CASE("a host that leads again waits for a lease that its own start for a former process extended")
{
    FormerOrdersBench workers;
    JobBench& bench = workers.bench;
    bench.announceInterval = second * 60;
    bench.run(second);
    workers.sendStart();
    bench.fleet.crash(workers.worker);
    bench.run(second / 2);
    bench.fleet.restart(workers.worker);
    REQUIRE(bench.fleet.runningCountOn(workers.worker) == 1);
    for (int i = 0; i < 100 && !bench.events.count(EventId::WorkerProcessReplaced); i++)
        bench.run(Duration::milliseconds(10));
    REQUIRE(bench.events.count(EventId::WorkerProcessReplaced) == 1);
    bench.fleet.setCut(workers.worker, true);
    bench.elect(0);
    workers.cutOff();
    workers.checkMovesOnce();
}

TEST_CASE("a lease for a former process is waited for after the worker was removed and has come back")
{
    FormerOrdersBench workers;
    JobBench& bench = workers.bench;
    workers.worker = WorkerId(workers.otherWorker == WorkerId("w0") ? "w1" : "w0");
    workers.loseRenewals();
    bench.fleet.crash(workers.worker);
    bench.run(second * 11);
    REQUIRE(!bench.leader().scheduler().dispatcher().workers().count(workers.worker));
    bench.submit(workers.job);
    bench.fleet.restart(workers.worker);
    workers.orders().executeLate();
    workers.orders().lostFor = WorkerId();
    bench.run(Duration::milliseconds(20));
    workers.runUntilStarted();
    workers.cutOff();
    workers.checkMovesOnce();
}

// Its process has seen the epoch of the orders from before.
TEST_CASE("a worker that was removed and comes back with the same process starts tasks again")
{
    FormerOrdersBench workers;
    JobBench& bench = workers.bench;
    workers.worker = WorkerId(workers.otherWorker == WorkerId("w0") ? "w1" : "w0");
    bench.fleet.restart(workers.worker);
    bench.run(second);
    bench.fleet.setCut(workers.worker, true);
    bench.run(second * 13);
    REQUIRE(!bench.leader().scheduler().dispatcher().workers().count(workers.worker));
    bench.fleet.setCut(workers.worker, false);
    bench.submit(workers.job);
    workers.runUntilStarted();
    CHECK(bench.events.count(EventId::WorkerSuperseded) == 0);
}

TEST_CASE("a stop that a later process has answered is news of that process")
{
    FormerOrdersBench workers;
    JobBench& bench = workers.bench;
    bench.announceInterval = second * 60;
    bench.run(second);
    JobSpec const cancelled = makeJob("cancelled", 1, FormerOrdersBench::workerMilliCores / 2, second * 60);
    bench.submit(cancelled);
    bench.run(second);
    workers.job = makeJob("plan", 1, FormerOrdersBench::workerMilliCores / 2, second * 60);
    workers.sendStart(1);
    workers.orders().lostFor = workers.worker;
    bench.fleet.crash(workers.worker);
    bench.run(Duration::milliseconds(300));
    bench.fleet.restart(workers.worker);
    REQUIRE(bench.fleet.runningCountOn(workers.worker) == 1);
    bench.cancel(cancelled.id);
    bench.run(Duration::milliseconds(50));
    CHECK(bench.events.count(EventId::WorkerProcessReplaced) == 1);
    workers.cutOff();
    workers.checkMovesOnce();
}

TEST_CASE("an answer that a later process is there instead is news of that process")
{
    FormerOrdersBench workers;
    JobBench& bench = workers.bench;
    bench.announceInterval = second * 60;
    bench.run(second);
    workers.sendStart();
    workers.orders().lostFor = workers.worker;
    bench.fleet.crash(workers.worker);
    bench.run(Duration::milliseconds(300));
    bench.fleet.restart(workers.worker);
    REQUIRE(bench.fleet.runningCountOn(workers.worker) == 1);
    bench.fleet.setFaults(FakeFleet::Faults());
    auto const& counters = bench.leader().scheduler().dispatcher().processCounters();
    for (int i = 0; i < 200 && !counters.startsNotSent; i++)
        bench.run(Duration::milliseconds(10));
    CHECK(counters.startsNotSent == 1);
    CHECK(counters.replaced == 1);
    workers.cutOff();
    workers.checkMovesOnce();
}

// The first listing of a new process concludes nothing; the next one must not be delayed.
TEST_CASE("a task of a restarted worker that the leader found out by a listing starts again without a wait for the worker's events")
{
    JobBench bench(1, 1);
    bench.announceInterval = second * 60;
    bench.addWorkers(2, 16000);
    bench.run(second * 10);
    JobSpec const job = makeJob("plan", 1, 16000, second * 60);
    bench.submit(job);
    bench.run(second);
    WorkerId worker;
    bench.leader().scheduler().jobs().forEachLiveAttemptOf(job.id, [&](TaskRef const&, TaskRecord const&, Attempt const& attempt) { worker = attempt.worker; });
    unsigned const startsBefore = bench.fleet.record().starts;
    TimePoint const restartedAt = bench.clock.now();
    bench.fleet.restart(worker);
    while (bench.fleet.record().starts == startsBefore && bench.clock.now() - restartedAt < second * 10)
        bench.run(Duration::milliseconds(10));
    CHECK(bench.clock.now() - restartedAt < DispatchTimes().longPollWait);
}
