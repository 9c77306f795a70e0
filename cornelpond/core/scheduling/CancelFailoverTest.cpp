// Cancels beside changes of leader, frozen relays, late orders and restarted workers.

#include "testing/fakes/ForwardingOrders.h"
#include "testing/fakes/RelayedBench.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <functional>
#include <utility>
#include <vector>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);
constexpr Duration cancelBound = RelayedBench::cancelBound;
constexpr Duration stopBound = Duration::milliseconds(400); ///< That a worker may take to stop a task.

} // namespace

TEST_CASE("a start that a frozen relay held does not run on the worker's next incarnation after the job's cancel")
{
    RelayedBench hosts(1);
    JobBench& bench = hosts.bench;
    bench.addWorkers(1, 16000);
    bench.run(second * 30);
    JobSpec const job = makeJob("plan", 4, 1000, second * 60);
    hosts.relays().freeze(0);
    hosts.relays().freeze(1);
    bench.submit(job);
    bench.run(second / 2);
    hosts.relays().thaw(1);
    bench.run(second * 2);
    hosts.cancel(job.id);
    bench.run(second);
    REQUIRE(hosts.cancelledAt.count(job.id) == 1);
    hosts.bench.fleet.restart(WorkerId("w0"));
    hosts.announce(WorkerId("w0"));
    bench.run(cancelBound);
    unsigned const starts = bench.fleet.record().starts;
    hosts.relays().thaw(0);
    bench.run(second * 2);
    CHECK(bench.fleet.record().starts == starts);
    CHECK(hosts.lateStarts == 0);
    CHECK(bench.fleet.runningCount(job.id) == 0);
}

namespace {

/// Counts the orders that it passes on.
class CountingOrders final : public ForwardingOrders {
public:
    using ForwardingOrders::ForwardingOrders;

    void start(WorkerTarget const& worker, StartOrder const& order, Done done) override
    {
        this->sent++;
        this->fleet.start(worker, order, std::move(done));
    }
    void stop(WorkerTarget const& worker, StopOrder const& order, Done done) override
    {
        this->sent++;
        this->fleet.stop(worker, order, std::move(done));
    }
    void throttle(WorkerTarget const& worker, ThrottleOrder const& order, Done done) override
    {
        this->sent++;
        this->fleet.throttle(worker, order, std::move(done));
    }
    void renew(WorkerTarget const& worker, RenewOrder const& order, std::function<void(RenewAnswer const&)> done) override
    {
        this->sent++;
        this->fleet.renew(worker, order, std::move(done));
    }

    unsigned sent = 0;
};

} // namespace

TEST_CASE("a leader whose leadership is not confirmed sends no orders, whatever answers arrive")
{
    constexpr int moments = 80;
    for (int moment = 0; moment < moments; moment++) {
        JobBench bench(7, 2, [](FakeClock&, WorkerOrders& fleet) { return std::make_unique<CountingOrders>(fleet); });
        auto const& orders = static_cast<CountingOrders&>(*bench.orders);
        bench.addWorkers(4, 16000);
        bench.fleet.setInterference("odd", "fill", 30);
        bench.fleet.setInterference("even", "fill", 30);
        for (int i = 0; i < 4; i++)
            bench.submit(makeServiceJob("watch" + std::to_string(i), 6, 3200, i % 2 ? "odd" : "even"));
        bench.run(second * 3);
        bench.submit(makeBestEffortJob("plan", 1, 1800, second * 10, "fill"));
        bench.run(Duration::milliseconds(100) * moment);
        if (moment % 2)
            bench.cancel(JobId("watch0"));
        bench.group.setLeadershipConfirmed(false);
        unsigned const sent = orders.sent;
        bench.run(second * 2);
        CHECK(orders.sent == sent);
        bench.group.setLeadershipConfirmed(true);
        bench.run(second);
        CHECK(orders.sent > sent);
    }
}

namespace {

/// Holds start orders and the answers to renewals back until the test releases them. Starts reach any process of the worker, as if
/// it gave no start time.
class HoldingOrders final : public ForwardingOrders {
public:
    using ForwardingOrders::ForwardingOrders;

    void start(WorkerTarget const& worker, StartOrder const& order, Done done) override
    {
        StartOrder toAnyProcess = order;
        toAnyProcess.processBornMs = 0;
        auto send = [this, worker, toAnyProcess, done = std::move(done)] { this->fleet.start(worker, toAnyProcess, done); };
        if (this->holdsStarts)
            this->starts.push_back(std::move(send));
        else
            send();
    }
    void renew(WorkerTarget const& worker, RenewOrder const& order, std::function<void(RenewAnswer const&)> done) override
    {
        this->fleet.renew(worker, order, [this, done = std::move(done)](RenewAnswer const& answer) {
            if (this->holdsListings && answer.order.result == OrderResult::Accepted)
                this->listings.push_back([done, answer] { done(answer); });
            else
                done(answer);
        });
    }

    void releaseStarts()
    {
        this->holdsStarts = false;
        for (auto const& send : std::exchange(this->starts, {}))
            send();
    }
    void releaseListings()
    {
        this->holdsListings = false;
        for (auto const& answer : std::exchange(this->listings, {}))
            answer();
    }

    bool holdsStarts = false;
    bool holdsListings = false;
    std::vector<std::function<void()>> starts;
    std::vector<std::function<void()>> listings;
};

} // namespace

TEST_CASE("a run that a restarted worker accepted is not concluded by a listing from before that arrives later")
{
    JobBench bench(1, 2, [](FakeClock&, WorkerOrders& fleet) { return std::make_unique<HoldingOrders>(fleet); });
    auto& orders = static_cast<HoldingOrders&>(*bench.orders);
    bench.announceInterval = GENERATE(second * 60, second); // The leader learns of the restart by an answer, or by an announcement.
    bench.addWorkers(2, 16000);
    bench.run(second * 10);
    orders.holdsStarts = true;
    JobSpec const job = makeJob("plan", 1, 16000, second * 60);
    bench.submit(job);
    bench.run(Duration::milliseconds(100));
    REQUIRE(orders.starts.size() == 1);
    WorkerId worker;
    bench.leader().scheduler().jobs().forEachLiveAttemptOf(job.id, [&](TaskRef const&, TaskRecord const&, Attempt const& attempt) { worker = attempt.worker; });
    orders.holdsListings = true;
    bench.fleet.restart(worker);
    bench.run(second);
    REQUIRE(!orders.listings.empty());
    orders.releaseStarts();
    bench.run(Duration::milliseconds(50));
    REQUIRE(bench.fleet.runningCount(job.id) == 1);
    orders.releaseListings();
    bench.run(second * 2);
    CHECK(bench.events.count(EventId::AttemptConcluded) == 0);
    CHECK(bench.fleet.record().starts == 1);
    CHECK(bench.fleet.record().duplicateRuns == 0);
}

TEST_CASE("no sequence of leader changes, frozen relays, late orders and worker restarts starts a cancelled job or lets it run on")
{
    rc::prop("", [] {
        auto const seed = *rc::gen::arbitrary<uint32_t>();
        constexpr size_t workerCount = 4;
        constexpr size_t hostCount = 3;
        constexpr size_t relayCount = 3;
        RelayedBench hosts(seed, hostCount, relayCount);
        JobBench& bench = hosts.bench;
        SeededRandom random(seed + 1U);
        bench.addWorkers(workerCount, 8000);
        bench.run(second * static_cast<int64_t>(random.below(20)));
        FakeFleet::Faults faults;
        faults.lateOrderShare = 0.05;
        bench.fleet.setFaults(faults);
        std::vector<JobId> open;
        for (int round = 0; round < 40; round++) {
            WorkerId const worker("w" + std::to_string(random.below(workerCount)));
            size_t const relay = random.below(relayCount);
            switch (random.below(10)) {
            case 0:
                hosts.bench.fleet.restart(worker);
                break;
            case 1:
                bench.fleet.setCut(worker, random.below(2));
                break;
            case 2:
            case 3:
                hosts.relays().freeze(relay);
                break;
            case 4:
            case 5:
                hosts.relays().thaw(relay);
                break;
            case 6:
                if (random.below(2))
                    bench.elect(random.below(hostCount));
                else
                    bench.crashLeader();
                break;
            case 7:
                if (!open.empty() && bench.group.hasCurrentLeader()) {
                    hosts.cancel(open.back());
                    open.pop_back();
                }
                break;
            default:
                if (!bench.group.hasCurrentLeader())
                    bench.elect(random.below(hostCount));
                open.emplace_back("j" + std::to_string(round));
                bench.submit(makeJob(open.back().value(), 1 + static_cast<uint32_t>(random.below(6)), 1000, second * 60));
            }
            bench.run(Duration::milliseconds(static_cast<int64_t>(random.below(900))));
        }
        bench.fleet.setFaults(FakeFleet::Faults());
        for (size_t i = 0; i < workerCount; i++)
            bench.fleet.setCut(WorkerId("w" + std::to_string(i)), false);
        for (size_t i = 0; i < relayCount; i++)
            hosts.relays().thaw(i);
        if (!bench.group.hasCurrentLeader())
            bench.elect(0);
        bench.run(cancelBound + stopBound);
        for (auto const& [job, at] : hosts.cancelledAt) {
            if (bench.clock.now() - at > cancelBound + stopBound)
                RC_ASSERT(bench.fleet.runningCount(job) == 0U);
        }
        bench.run(faults.maxLateDelay);
        RC_ASSERT(bench.fleet.record().duplicateRuns == 0U);
        RC_ASSERT(hosts.lateStarts == 0U);
        for (auto const& [job, at] : hosts.cancelledAt)
            RC_ASSERT(bench.fleet.runningCount(job) == 0U);
    });
}
