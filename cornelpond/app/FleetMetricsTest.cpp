#include "cornelpond/app/FleetMetrics.h"

#include "cornelpond/adapters/log/JsonEventSink.h"
#include "testing/fakes/FakeClock.h"
#include "testing/fakes/FakeFleet.h"
#include "testing/fakes/JobBench.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

bool contains(std::string const& text, std::string const& line)
{
    return text.find(line + "\n") != std::string::npos;
}

} // namespace

TEST_CASE("the metrics tell ended and unfinished jobs by size, and the room of the fleet")
{
    JobBench bench(1);
    bench.addWorkers(2, 4000);
    bench.submit(makeServiceJob("watch", 1, 3000, "image"));
    bench.submit(makeJob("plan", 4, 1000, Duration::seconds(1)));
    bench.run(Duration::seconds(3));
    bench.submit(makeJob("waiting", 1, 5000, Duration::seconds(1)));
    bench.run(Duration::milliseconds(100));
    Metrics metrics;
    fillSchedulerMetrics(bench.leader().scheduler(), metrics);
    std::string const text = metrics.text();
    CHECK(contains(text, "jobsEnded{coreSeconds=\"4\",outcome=\"inTime\"} 1"));
    CHECK(contains(text, "jobsUnfinished{coreSeconds=\"16\"} 1"));
    CHECK(contains(text, "jobsUnfinished{coreSeconds=\"4\"} 0"));
    CHECK(contains(text, "capacityMilliCores 8000"));
    CHECK(contains(text, "serviceMilliCores 3000"));
    CHECK(contains(text, "freePlaces{cores=\"4\"} 1"));
    CHECK(contains(text, "placesBesideServices{cores=\"2\"} 2"));
    CHECK(contains(text, "waitingTasks{class=\"short\"} 1"));
    CHECK(contains(text, "oldestWaitingTaskMs{class=\"short\"} 100"));
    CHECK(contains(text, "waitingTasks{class=\"bestEffort\"} 0"));
}

TEST_CASE("the metrics tell which workers orders for a former process may affect")
{
    JobBench bench(1);
    bench.announceInterval = Duration::milliseconds(100);
    bench.addWorkers(2, 4000);
    bench.run(Duration::seconds(20));
    auto const metricsNow = [&bench] {
        Metrics metrics;
        fillSchedulerMetrics(bench.leader().scheduler(), metrics);
        return metrics.text();
    };
    std::string const before = metricsNow();
    CHECK(contains(before, "workersWithFormerOrders 0"));
    CHECK(contains(before, "workersWithFormerLeases 0"));
    CHECK(contains(before, "startsByOtherProcess 0"));
    CHECK(contains(before, "ordersRefusedForFormerProcess 0"));
    WorkerId const worker("w0");
    bench.fleet.restart(worker);
    bench.leader().scheduler().workerRegistration().announce(bench.fleet.report(worker), [](CallResult) {});
    bench.fleet.setCut(worker, true);
    bench.run(Duration::milliseconds(500));
    std::string const restarted = metricsNow();
    CHECK(contains(restarted, "workersWithFormerOrders 1"));
    CHECK(contains(restarted, "workersWithFormerLeases 1"));
    bench.run(Duration::seconds(7));
    CHECK(contains(metricsNow(), "workersWithFormerLeases 0"));
}

TEST_CASE("the metrics tell what came by way of the relays")
{
    FakeClock clock;
    SeededRandom random(1);
    FakeFleet workers(clock, random);
    OrderRelayHooks hooks;
    hooks.relayFor = [](WorkerTarget const&) { return HostId("relay"); };
    hooks.isReachable = [](HostId const&) { return true; };
    hooks.knowsListingChanges = [](HostId const&) { return true; };
    hooks.knowsDeadlines = [](HostId const&) { return true; };
    hooks.knowsProcesses = [](HostId const&) { return true; };
    hooks.send = [](HostId const&, std::string const&) {};
    OrderRelay relay(clock, clock, workers, DispatchTimes(), 1, hooks);
    relay.renew({ WorkerId("w1"), "10.0.0.1:80", DataCentreId("north") }, RenewOrder(), [](RenewAnswer const&) {});
    clock.advance(Duration::milliseconds(5));
    RelayBatch answers;
    WorkerListing listing;
    listing.running.push_back({ TaskRef { JobId("job"), 0, 0, 0 }, AttemptNumber(1), "", 0, -1 });
    answers.answers.push_back({ 1, RenewAnswer { { OrderResult::Accepted, false, Duration() }, 0, listing } });
    relay.onMessage(HostId("relay"), encodeRelayBatch(answers));
    Metrics metrics;
    fillRelayMetrics(relay, metrics);
    std::string const text = metrics.text();
    CHECK(contains(text, "relayedOrders 1"));
    CHECK(contains(text, "relayBatchesSent 1"));
    CHECK(contains(text, "relayBatchesReceived 1"));
    CHECK(contains(text, "relayedAnswers 1"));
    CHECK(contains(text, "relayedListings 1"));
    CHECK(contains(text, "relayedListingChanges 0"));
    CHECK(contains(text, "relayedListingRows 1"));
    CHECK(contains(text, "relayedOrdersOpen 0"));
    CHECK(contains(text, "relayedOrdersExpired 0"));
}

TEST_CASE("a relay's metrics tell how the starts and stops of its leader ended")
{
    FakeClock clock;
    SeededRandom random(1);
    FakeFleet workers(clock, random);
    WorkerProfile profile;
    profile.id = WorkerId("w1");
    workers.addWorker(profile);
    OrderRelayHooks hooks;
    hooks.relayFor = [](WorkerTarget const&) { return HostId(); };
    hooks.isReachable = [](HostId const&) { return true; };
    hooks.knowsListingChanges = [](HostId const&) { return true; };
    hooks.knowsDeadlines = [](HostId const&) { return true; };
    hooks.knowsProcesses = [](HostId const&) { return true; };
    hooks.send = [](HostId const&, std::string const&) {};
    OrderRelay relay(clock, clock, workers, DispatchTimes(), 1, hooks);
    WorkerTarget const target { WorkerId("w1"), "10.0.0.1:80", DataCentreId("north") };
    TaskRef const task { JobId("job"), 0, 0, 0 };
    RelayBatch orders;
    orders.orders.push_back({ 1, target, StopOrder { task, AttemptNumber(1), Term(2) } });
    orders.orders.push_back({ 2, target, StartOrder { task, AttemptNumber(2), "", Duration::seconds(4), Term(1), "", "" } });
    relay.onMessage(HostId("leader"), encodeRelayBatch(orders));
    clock.advance(Duration::milliseconds(100));
    Metrics metrics;
    fillRelayMetrics(relay, metrics);
    std::string const text = metrics.text();
    CHECK(contains(text, "relayedStopsExecuted{result=\"accepted\"} 1"));
    CHECK(contains(text, "relayedStartsExecuted{result=\"refusedEpoch\"} 1"));
}

TEST_CASE("the metrics tell attempts that outlive their cancelled job by two and five seconds")
{
    JobBench bench(1);
    bench.addWorkers(1, 4000);
    bench.submit(makeJob("plan", 2, 1000, Duration::seconds(60)));
    bench.run(Duration::seconds(3));
    bench.fleet.setCut(WorkerId("w0"), true);
    bench.cancel(JobId("plan"));
    bench.run(Duration::seconds(1));
    auto const metricsNow = [&bench] {
        Metrics metrics;
        fillSchedulerMetrics(bench.leader().scheduler(), metrics);
        return metrics.text();
    };
    CHECK(contains(metricsNow(), "endedJobAttempts{olderThanMs=\"2000\"} 0"));
    bench.run(Duration::milliseconds(1500));
    CHECK(contains(metricsNow(), "endedJobAttempts{olderThanMs=\"2000\"} 2"));
    CHECK(contains(metricsNow(), "endedJobAttempts{olderThanMs=\"5000\"} 0"));
    CHECK(contains(metricsNow(), "strayAttempts 0"));
    bench.run(Duration::seconds(4));
    CHECK(contains(metricsNow(), "endedJobAttempts{olderThanMs=\"2000\"} 0"));
}

TEST_CASE("the metrics tell the events that were left out of the log, by event")
{
    FakeClock clock;
    JsonLogLimits limits;
    limits.maxLinesPerEventPerSecond = 1;
    JsonEventSink sink(clock, HostId("h1"), limits, [](std::string_view bytes) { return bytes.size(); });
    Metrics metrics;
    fillLogMetrics(sink, metrics);
    CHECK(metrics.text().empty());
    for (int i = 0; i < 3; i++)
        sink.emit(Event(EventId::CallRefused));
    sink.emit(Event(EventId::JobCancelled));
    fillLogMetrics(sink, metrics);
    CHECK(metrics.text() == "eventsSuppressed{event=\"CallRefused\"} 2\n");
}
