// What is committed takes effect on every host, whatever the leader's reaction to it meets.

#include "testing/fakes/ForwardingOrders.h"
#include "testing/fakes/JobBench.h"

#include <catch2/catch.hpp>

#include <memory>
#include <stdexcept>

using namespace cornelpond;

namespace {

constexpr Duration cancelBound = Duration::milliseconds(5400); ///< 5 s until the last start, 0.4 s for the workers to stop.

/// Fails at the first start and at the first stop.
class FailingOrders final : public ForwardingOrders {
public:
    using ForwardingOrders::ForwardingOrders;

    void start(WorkerTarget const& worker, StartOrder const& order, Done done) override
    {
        if (!this->starts++)
            throw std::runtime_error("no start can be sent");
        this->fleet.start(worker, order, std::move(done));
    }
    void stop(WorkerTarget const& worker, StopOrder const& order, Done done) override
    {
        if (!this->stops++)
            throw std::runtime_error("no stop can be sent");
        this->fleet.stop(worker, order, std::move(done));
    }

private:
    unsigned starts = 0;
    unsigned stops = 0;
};

} // namespace

// Guards against a leader that lost the rest of a batch: its tasks were live for the other hosts only, and stayed proposed here.
TEST_CASE("an order that cannot be sent keeps no other update of its batch from being applied")
{
    constexpr uint32_t tasks = 8;
    JobBench bench(2, 2, [](FakeClock&, WorkerOrders& fleet) { return std::make_unique<FailingOrders>(fleet); });
    bench.events.expectsInternalFaults = true;
    bench.addWorkers(2, 8000);
    JobSpec const job = makeJob("plan", tasks, 1000, Duration::seconds(60));
    bench.submit(job);
    bench.run(Duration::seconds(1));
    CHECK(bench.fleet.runningCount(job.id) == tasks - 1);
    CHECK(bench.find(job.id)->liveAttemptCount == tasks);
    bench.group.catchUpFollowers();
    CHECK(bench.services[0]->scheduler().takeJobSnapshot() == bench.services[1]->scheduler().takeJobSnapshot());
    CHECK(bench.events.count(EventId::InternalFault) == 1);

    bench.cancel(job.id);
    bench.run(cancelBound);
    CHECK(bench.fleet.runningCount(job.id) == 0);
    CHECK(bench.state(job.id) == JobState::Cancelled);
    bench.elect(1);
    bench.run(cancelBound);
    CHECK(bench.fleet.runningCount(job.id) == 0);
    CHECK(bench.find(job.id)->liveAttemptCount == 0);
}
