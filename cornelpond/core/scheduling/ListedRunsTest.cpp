// Runs that a worker lists although one of its answers says that they cannot go on: the listing decides.

#include "testing/fakes/ForwardingOrders.h"
#include "testing/fakes/JobBench.h"

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <utility>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);
constexpr Duration cancelBound = Duration::milliseconds(3400); ///< What callers are promised: 3 s, and 0.4 s for the worker to stop.
constexpr uint32_t keptTasks = 4;
constexpr uint32_t taskCount = 3;
/// After a confirmed stop: the listing that shows the run is requested a second later, and the lease was extended until then.
Duration const longestRunAfterStop = second + DispatchTimes().longPollWait + DispatchTimes().leaseDuration + Duration::milliseconds(100);
JobId const kept("kept");
JobId const cancelled("cancelled");
WorkerId const onlyWorker("w0");

/// Answers that contradict what the worker has done.
class UntruthfulOrders final : public ForwardingOrders {
public:
    using ForwardingOrders::ForwardingOrders;

    void start(WorkerTarget const& worker, StartOrder const& order, Done done) override
    {
        this->fleet.start(worker, order, [this, done = std::move(done)](OrderAnswer answer) {
            if (this->refusesStarts)
                answer.result = OrderResult::RefusedOld;
            done(this->losesStartAnswers ? OrderAnswer() : answer);
        });
    }
    void stop(WorkerTarget const& worker, StopOrder const& order, Done done) override
    {
        if (!this->ignoresStops) {
            this->fleet.stop(worker, order, std::move(done));
            return;
        }
        ThrottleOrder const unchanged { order.task, order.attempt, fullSpeedPercent, order.epoch };
        this->fleet.throttle(worker, unchanged, std::move(done)); // Is accepted and changes nothing.
    }
    void renew(WorkerTarget const& worker, RenewOrder const& order, std::function<void(RenewAnswer const&)> done) override
    {
        this->fleet.renew(worker, order, [this, done = std::move(done)](RenewAnswer answer) {
            if (std::exchange(this->listsRunsAsEnded, false)) {
                for (auto const& run : std::exchange(answer.listing.running, {}))
                    answer.listing.ended.push_back({ answer.listing.ended.size() + 1, run.task, run.attempt, AttemptEnd::LeaseExpired, std::string() });
            }
            done(answer);
        });
    }

    bool losesStartAnswers = false; ///< Starts are carried out, and get no answer.
    bool refusesStarts = false; ///< Starts are carried out, and answered as refused because the attempt is over.
    bool ignoresStops = false; ///< Stops are answered as accepted, and not carried out.
    bool listsRunsAsEnded = false; ///< In the next listing.
};

struct ListedRunsBench {
    explicit ListedRunsBench(uint64_t seed)
        : bench(seed, 2, [](FakeClock&, WorkerOrders& fleet) { return std::make_unique<UntruthfulOrders>(fleet); })
    {
        this->bench.addWorkers(1, 16000);
        this->bench.run(second);
    }

    void submit(JobId const& job, uint32_t tasks)
    {
        this->bench.submit(makeJob(job.value(), tasks, 1000, second * 300));
        this->bench.run(second * 2);
        REQUIRE(this->bench.fleet.runningCount(job) == tasks);
    }

    JobBench bench;
    UntruthfulOrders& orders { static_cast<UntruthfulOrders&>(*this->bench.orders) };
};

} // namespace

TEST_CASE("a run whose start was answered as refused goes on while it is wanted, and is stopped with its job")
{
    ListedRunsBench hosts(1);
    hosts.orders.refusesStarts = true;
    hosts.submit(cancelled, taskCount);
    hosts.bench.run(second * 10);
    CHECK(hosts.bench.fleet.runningCount(cancelled) == taskCount);
    CHECK(hosts.bench.fleet.record().starts == taskCount);
    hosts.bench.cancel(cancelled);
    hosts.bench.run(second);
    CHECK(hosts.bench.fleet.runningCount(cancelled) == 0);
}

TEST_CASE("a run that goes on after a confirmed stop ends with its lease")
{
    ListedRunsBench hosts(2);
    hosts.submit(kept, keptTasks);
    hosts.submit(cancelled, taskCount);
    hosts.orders.ignoresStops = true;
    hosts.bench.cancel(cancelled);
    hosts.bench.run(longestRunAfterStop);
    CHECK(hosts.bench.fleet.runningCount(cancelled) == 0);
    hosts.bench.run(second * 3);
    CHECK(hosts.bench.fleet.runningCount(kept) == keptTasks);
    CHECK(hosts.bench.fleet.record().duplicateRuns == 0);
}

TEST_CASE("an attempt that its leader does not know ends with its lease when it goes on after a confirmed stop")
{
    ListedRunsBench hosts(3);
    hosts.submit(cancelled, taskCount);
    hosts.orders.ignoresStops = true;
    hosts.orders.listsRunsAsEnded = true;
    hosts.bench.run(second / 2);
    REQUIRE(hosts.bench.events.count(EventId::AttemptEnded) >= taskCount);
    hosts.bench.cancel(cancelled);
    hosts.bench.run(DispatchTimes().longPollWait + longestRunAfterStop); // The stop follows the next listing.
    CHECK(hosts.bench.fleet.runningCount(cancelled) == 0);
}

TEST_CASE("stops that take their time withhold no lease")
{
    ListedRunsBench hosts(4);
    hosts.submit(kept, keptTasks);
    hosts.submit(cancelled, taskCount);
    FakeFleet::Faults faults;
    faults.maxStopTime = Duration::milliseconds(900);
    hosts.bench.fleet.setFaults(faults);
    hosts.bench.cancel(cancelled);
    hosts.bench.run(second * 5);
    CHECK(hosts.bench.fleet.runningCount(cancelled) == 0);
    CHECK(hosts.bench.events.count(EventId::LeaseWithheld) == 0);
    CHECK(hosts.bench.fleet.runningCount(kept) == keptTasks);
    CHECK(hosts.bench.fleet.record().starts == keptTasks + taskCount);
}

TEST_CASE("a run that is listed after its end was proposed is stopped before that end is committed")
{
    ListedRunsBench hosts(5);
    hosts.submit(cancelled, taskCount);
    hosts.bench.fleet.setLostStops(onlyWorker, FakeFleet::LostStops::All);
    hosts.bench.cancel(cancelled);
    hosts.bench.run(Duration::milliseconds(50));
    REQUIRE(hosts.bench.state(cancelled) == JobState::Cancelled);
    hosts.bench.isCommitting = false;
    hosts.orders.listsRunsAsEnded = true;
    hosts.bench.run(second);
    REQUIRE(hosts.bench.fleet.runningCount(cancelled) == taskCount);
    hosts.bench.fleet.setLostStops(onlyWorker, FakeFleet::LostStops::None);
    hosts.bench.run(cancelBound - second);
    CHECK(hosts.bench.fleet.runningCount(cancelled) == 0);
}

namespace {

void announce(ListedRunsBench& hosts, WorkerReport const& report)
{
    hosts.bench.leader().scheduler().workerRegistration().announce(report, [](CallResult) {});
}

/// How long a run goes on after its job's cancel when stops do not arrive and, every two seconds, a wrong report of the worker does, and
/// then a true one. At most 30 s.
Duration timeOfUnstoppedRun(std::function<void(WorkerReport&, int round)> const& falsify)
{
    ListedRunsBench hosts(9);
    hosts.bench.announceInterval = second * 3600;
    hosts.submit(cancelled, taskCount);
    hosts.bench.fleet.setLostStops(onlyWorker, FakeFleet::LostStops::All);
    hosts.bench.cancel(cancelled);
    TimePoint const cancelledAt = hosts.bench.clock.now();
    WorkerReport const present = hosts.bench.fleet.report(onlyWorker);
    for (int round = 1; hosts.bench.fleet.runningCount(cancelled) && hosts.bench.clock.now() - cancelledAt < second * 30; round++) {
        hosts.bench.run(second * 2);
        WorkerReport wrong = present;
        falsify(wrong, round);
        announce(hosts, wrong);
        hosts.bench.run(Duration::milliseconds(100));
        announce(hosts, present);
    }
    return hosts.bench.clock.now() - cancelledAt;
}

constexpr Duration longestUnstoppedRun = Duration::milliseconds(5400); ///< 5 s, and 0.4 s for the worker to stop.

} // namespace

TEST_CASE("a run that no stop reaches ends with its lease although reports give its worker another address")
{
    CHECK(timeOfUnstoppedRun([](WorkerReport& report, int) { report.profile.address = "10.0.9.9:80"; }) <= longestUnstoppedRun);
}

TEST_CASE("a run that no stop reaches ends with its lease although reports give its worker later start times")
{
    CHECK(timeOfUnstoppedRun([](WorkerReport& report, int round) { report.profile.bornMs += round; }) <= longestUnstoppedRun);
}

TEST_CASE("a report of another address stops no wanted run whose start got no answer")
{
    ListedRunsBench hosts(10);
    hosts.bench.announceInterval = second * 3600;
    hosts.orders.losesStartAnswers = true;
    hosts.submit(kept, keptTasks);
    hosts.orders.losesStartAnswers = false;
    hosts.bench.run(second * 20);
    REQUIRE(hosts.bench.fleet.runningCount(kept) == keptTasks);
    unsigned const starts = hosts.bench.fleet.record().starts;
    WorkerReport const present = hosts.bench.fleet.report(onlyWorker);
    WorkerReport wrong = present;
    wrong.profile.address = "10.0.9.9:80";
    announce(hosts, wrong);
    hosts.bench.run(Duration::milliseconds(100));
    announce(hosts, present);
    hosts.bench.run(second * 5);
    CHECK(hosts.bench.fleet.record().starts == starts);
    CHECK(hosts.bench.events.count(EventId::AttemptEnded) == 0);
    CHECK(hosts.bench.fleet.runningCount(kept) == keptTasks);
}

TEST_CASE("a stray attempt alone on its worker ends with its lease when it goes on after a confirmed stop")
{
    ListedRunsBench hosts(6);
    hosts.submit(kept, keptTasks);
    hosts.orders.ignoresStops = true;
    JobSpec const job = makeJob("unknown", 1, 1000, second * 60);
    hosts.bench.fleet.registerJob(job);
    StartOrder order;
    order.task = { job.id, 0, 0, 0 };
    order.attempt = AttemptNumber(1);
    order.leaseUntil = second * 5;
    Dispatcher const& dispatcher = hosts.bench.leader().scheduler().dispatcher();
    order.epoch = dispatcher.orderEpoch(dispatcher.workers().at(onlyWorker));
    hosts.bench.fleet.start({ onlyWorker, "10.0.0.0:80", DataCentreId() }, order, [](OrderAnswer const&) {});
    hosts.bench.run(Duration::milliseconds(10));
    REQUIRE(hosts.bench.fleet.runningCount(job.id) == 1);
    hosts.bench.run(DispatchTimes().longPollWait + longestRunAfterStop);
    CHECK(hosts.bench.fleet.runningCount(job.id) == 0);
}
