// Runs that a worker lists although one of its answers says that they cannot go on: the listing decides.

#include "testing/fakes/ForwardingOrders.h"
#include "testing/fakes/JobBench.h"

#include <catch2/catch.hpp>

#include <memory>
#include <utility>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);
constexpr uint32_t taskCount = 3;
JobId const cancelled("cancelled");

/// Answers that contradict what the worker has done.
class UntruthfulOrders final : public ForwardingOrders {
public:
    using ForwardingOrders::ForwardingOrders;

    void start(WorkerTarget const& worker, StartOrder const& order, Done done) override
    {
        this->fleet.start(worker, order, [this, done = std::move(done)](OrderAnswer answer) {
            if (this->refusesStarts)
                answer.result = OrderResult::RefusedOld;
            done(answer);
        });
    }

    bool refusesStarts = false; ///< Starts are carried out, and answered as refused because the attempt is over.
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
