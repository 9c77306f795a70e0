// Orders that are read by a later process of a worker than the one for which they were sent.

#include "testing/fakes/ForwardingOrders.h"
#include "testing/fakes/LaterProcessBench.h"
#include "testing/fakes/LaterProcessSequences.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <functional>
#include <memory>
#include <utility>
#include <vector>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);

/// Holds answers to starts and renewals of one worker. Counts orders that permit something by the clock of a process that they do
/// not name.
class HeldAnswers final : public ForwardingOrders {
public:
    using ForwardingOrders::ForwardingOrders;

    void start(WorkerTarget const& target, StartOrder const& order, Done done) override
    {
        this->unboundOrders += !order.processBornMs;
        this->fleet.start(target, order, [this, id = target.id, done = std::move(done)](OrderAnswer const& answer) {
            if (id == this->worker)
                this->starts.push_back([answer, done] { done(answer); });
            else
                done(answer);
        });
    }

    void renew(WorkerTarget const& target, RenewOrder const& order, std::function<void(RenewAnswer const&)> done) override
    {
        this->unboundOrders += order.extendsLease && !order.processBornMs;
        this->fleet.renew(target, order, [this, id = target.id, done = std::move(done)](RenewAnswer const& answer) {
            if (id == this->worker && this->holdsRenewals)
                this->renewals.push_back([answer, done] { done(answer); });
            else
                done(answer);
        });
    }

    static void release(std::vector<std::function<void()>>& held)
    {
        for (auto const& answer : std::exchange(held, {}))
            answer();
    }

    WorkerId worker; ///< Whose answers are held; empty: none.
    bool holdsRenewals = false;
    std::vector<std::function<void()>> starts;
    std::vector<std::function<void()>> renewals;
    unsigned unboundOrders = 0;
};

} // namespace

// The leader goes back to the former process by a late announcement, after a listing of the present one.
TEST_CASE("answers and announcements from before a worker's restart give no clock to orders that name no process")
{
    JobBench bench(3, 2, [](FakeClock&, WorkerOrders& fleet) { return std::make_unique<HeldAnswers>(fleet); });
    auto& orders = static_cast<HeldAnswers&>(*bench.orders);
    TwoWorkers workers(bench);
    orders.worker = workers.free;
    bench.submit(workers.job);
    bench.run(Duration::milliseconds(100));
    REQUIRE(orders.starts.size() == 1);
    WorkerReport late = bench.fleet.report(workers.free);
    late.profile.isDraining = true;
    bench.fleet.restart(workers.free);
    bench.run(second / 2);
    REQUIRE(bench.events.count(EventId::WorkerProcessReplaced) == 1);
    orders.holdsRenewals = true;
    bench.run(second);
    REQUIRE(orders.renewals.size() == 1);
    bench.leader().scheduler().workerRegistration().announce(late, [](CallResult) {});
    bench.run(Duration::milliseconds(20));
    CHECK(bench.events.count(EventId::WorkerProcessReplaced) == 1);
    HeldAnswers::release(orders.starts);
    HeldAnswers::release(orders.renewals);
    bench.run(second / 2);
    CHECK(orders.unboundOrders == 0);
}

TEST_CASE("a worker that refuses orders for its former process by the epoch of newer ones of the same leader stays in use")
{
    SilentBench hosts;
    hosts.path.silent = hosts.workers.free;
    hosts.workers.place();
    hosts.bench.run(second / 2);
    hosts.bench.fleet.restart(hosts.workers.free);
    hosts.workers.announce(hosts.workers.free);
    hosts.path.silent = WorkerId();
    hosts.bench.run(second);
    hosts.path.release();
    hosts.bench.run(second);
    REQUIRE(hosts.path.results.size() >= 2);
    for (OrderResult const result : hosts.path.results)
        CHECK(result == OrderResult::RefusedEpoch);
    CHECK(hosts.bench.events.count(EventId::WorkerSuperseded) == 0);
    CHECK(workerOf(hosts.bench, hosts.workers.job) == hosts.workers.free);
    hosts.workers.checkOneRun();
}

TEST_CASE("no sequence of restarts and cuts sends a start or a lease that names no process, or makes the leader give up a worker")
{
    rc::prop("", [] {
        SequenceFaults faults;
        faults.orders.ordersOutliveProcesses = true;
        faults.orders.lateOrderShare = 0.05;
        faults.orders.minLateDelay = Duration::milliseconds(100);
        faults.orders.maxLateDelay = second * 3;
        SequenceResult const result = runSequence(*rc::gen::arbitrary<uint32_t>(), faults);
        RC_ASSERT(result.starts > 0U);
        RC_ASSERT(result.unboundOrders == 0U);
        RC_ASSERT(result.superseded == 0U);
    });
}

TEST_CASE("no sequence of restarts, cuts and crashes of leaders runs a task in two places where orders reach later processes")
{
    rc::prop("", [] {
        SequenceFaults faults;
        faults.orders.ordersOutliveProcesses = true;
        faults.changesLeaders = true;
        RC_ASSERT(runSequence(*rc::gen::arbitrary<uint32_t>(), faults).duplicateRuns == 0U);
    });
}
