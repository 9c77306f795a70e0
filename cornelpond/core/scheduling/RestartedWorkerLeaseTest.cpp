// The lease of a worker that was restarted under its id.

#include "testing/fakes/ForwardingOrders.h"
#include "testing/fakes/RelayedBench.h"
#include "testing/fakes/RestartSequences.h"

#include <catch2/catch.hpp>

#include <functional>
#include <utility>
#include <vector>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);

/// Holds the renewals of one worker back until the test releases them, as orders that wait for a connection.
class HeldRenewals final : public ForwardingOrders {
public:
    using ForwardingOrders::ForwardingOrders;

    void renew(WorkerTarget const& target, RenewOrder const& order, std::function<void(RenewAnswer const&)> done) override
    {
        if (target.id == this->worker)
            this->held.push_back([this, target, order, done = std::move(done)] { this->fleet.renew(target, order, done); });
        else
            this->fleet.renew(target, order, std::move(done));
    }

    void release()
    {
        this->worker = WorkerId();
        for (auto const& send : std::exchange(this->held, {}))
            send();
    }

    WorkerId worker; ///< Whose renewals are held; empty: none.
    std::vector<std::function<void()>> held;
};

/// The worker of the job's only task.
WorkerId workerOf(JobBench& bench, JobSpec const& job)
{
    WorkerId worker;
    bench.leader().scheduler().jobs().forEachLiveAttemptOf(job.id, [&](TaskRef const&, TaskRecord const&, Attempt const& attempt) { worker = attempt.worker; });
    return worker;
}

} // namespace

// The lease in the start is a time on the former process's clock: the present one would cut it to the longest that it grants.
TEST_CASE("tasks of a worker that was restarted as a start reached it, and then cut off, start elsewhere only after its lease")
{
    RelayedBench hosts(3);
    JobBench& bench = hosts.bench;
    bench.addWorkers(2, 16000);
    bench.run(second * 30);
    JobSpec const job = makeJob("plan", 1, 16000, second * 60);
    bench.submit(job);
    WorkerId worker;
    for (int i = 0; i < 50 && worker.empty(); i++) {
        bench.run(Duration::milliseconds(10));
        for (auto const& [id, view] : bench.leader().scheduler().dispatcher().workers()) {
            if (!view.placed.empty())
                worker = id;
        }
    }
    REQUIRE(!worker.empty());
    hosts.bench.fleet.restart(worker);
    bench.run(second / 2);
    CHECK(bench.leader().scheduler().dispatcher().processCounters().startsNotSent > 0);
    bench.fleet.setCut(worker, true);
    bench.run(second * 8);
    CHECK(bench.fleet.record().duplicateRuns == 0);
    CHECK(bench.fleet.runningCount(job.id) == 1);
}

// The lease in the renewal is a time on the former process's clock and would hold for a task that starts on the present one later.
TEST_CASE("a renewal that was held up while its worker restarted does not keep a later task running beyond its lease")
{
    JobBench bench(1, 2, [](FakeClock&, WorkerOrders& fleet) { return std::make_unique<HeldRenewals>(fleet); });
    auto& orders = static_cast<HeldRenewals&>(*bench.orders);
    bench.addWorkers(2, 16000);
    bench.run(second * 20);
    JobSpec const job = makeJob("plan", 1, 16000, second * 60);
    JobSpec const other = makeJob("other", 1, 16000, second * 60);
    bench.submit(job);
    bench.submit(other);
    bench.run(second * 2);
    WorkerId const worker = workerOf(bench, job);
    REQUIRE(!worker.empty());
    orders.worker = worker;
    bench.run(second);
    REQUIRE(orders.held.size() == 1);
    bench.fleet.restart(worker);
    orders.release();
    bench.run(second);
    CHECK(bench.events.count(EventId::WorkerProcessReplaced) == 1);
    REQUIRE(workerOf(bench, job) == worker);
    REQUIRE(bench.fleet.runningCountOn(worker) == 1);
    bench.fleet.setCut(worker, true);
    bench.cancel(other.id);
    bench.run(second * 8);
    CHECK(bench.fleet.record().duplicateRuns == 0);
    CHECK(bench.fleet.runningCount(job.id) == 1);
    CHECK(workerOf(bench, job) != worker);
}

// An open connection, or whatever carries orders to the worker, may outlive its process. A start that was sent to the former one
// then extends the lease of the present one to the longest that it grants, also for what starts there later.
TEST_CASE("a task on a restarted worker that read a start for its former process starts elsewhere only after its lease")
{
    RelayedBench hosts(3);
    JobBench& bench = hosts.bench;
    bench.announceInterval = Duration::milliseconds(100);
    FakeFleet::Faults faults;
    faults.ordersOutliveProcesses = true;
    bench.fleet.setFaults(faults);
    bench.addWorkers(2, 16000);
    bench.run(second * 20);
    JobSpec const other = makeJob("other", 1, 16000, second * 60);
    bench.submit(other);
    bench.run(second * 2);
    WorkerId const occupied = workerOf(bench, other);
    JobSpec const job = makeJob("plan", 1, 16000, second * 60);
    bench.submit(job);
    for (int i = 0; i < 50 && workerOf(bench, job).empty(); i++)
        bench.run(Duration::milliseconds(10));
    WorkerId const worker = workerOf(bench, job);
    REQUIRE(!worker.empty());
    REQUIRE(bench.fleet.runningCountOn(worker) == 0);
    bench.fleet.crash(worker);
    bench.run(second / 2);
    bench.fleet.restart(worker);
    bench.run(second);
    REQUIRE(workerOf(bench, job) == worker);
    REQUIRE(bench.fleet.runningCountOn(worker) == 1);
    bench.fleet.setCut(worker, true);
    bench.cancel(other.id);
    bench.run(second * 8);
    CHECK(bench.fleet.record().duplicateRuns == 0);
    CHECK(bench.fleet.runningCount(job.id) == 1);
    CHECK(workerOf(bench, job) == occupied);
}

TEST_CASE("no sequence of restarts, cuts, late orders and leader changes runs a task in two places")
{
    RestartFaults faults;
    faults.orders.lateOrderShare = 0.05;
    checkRestartSequences(faults);
}

TEST_CASE("no sequence of restarts, cuts and leader changes runs a task in two places where orders reach later processes")
{
    RestartFaults faults;
    faults.orders.ordersOutliveProcesses = true;
    faults.announceInterval = Duration::milliseconds(100);
    faults.minTimeToCut = Duration::milliseconds(500);
    checkRestartSequences(faults);
}
