// A listing of a worker's present process that an answered start for the former one overtakes.

#include "testing/fakes/LaterProcessBench.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);

/// Holds answers to renewals of one worker.
class HeldAnswers final : public ForwardingOrders {
public:
    using ForwardingOrders::ForwardingOrders;

    void renew(WorkerTarget const& target, RenewOrder const& order, std::function<void(RenewAnswer const&)> done) override
    {
        this->fleet.renew(target, order, [this, id = target.id, done = std::move(done)](RenewAnswer const& answer) {
            if (id == this->worker && answer.order.result == OrderResult::Accepted)
                this->held.push_back([answer, done] { done(answer); });
            else
                done(answer);
        });
    }

    void release()
    {
        this->worker = WorkerId();
        for (auto const& answer : std::exchange(this->held, {}))
            answer();
    }

    WorkerId worker; ///< Whose answers are held; empty: none.
    std::vector<std::function<void()>> held;
};

} // namespace

TEST_CASE("a listing of a later process from before a start that it carried out does not end the attempt")
{
    JobBench bench(3, 2, [](FakeClock&, WorkerOrders& fleet) { return std::make_unique<HeldAnswers>(fleet); });
    auto& orders = static_cast<HeldAnswers&>(*bench.orders);
    TwoWorkers workers(bench);
    bench.submit(workers.job);
    bench.run(Duration::milliseconds(10));
    REQUIRE(bench.leader().scheduler().dispatcher().workers().at(workers.free).placed.size() == 1);
    bench.isCommitting = false;
    orders.worker = workers.free;
    bench.fleet.crash(workers.free);
    bench.fleet.restart(workers.free);
    bench.run(Duration::milliseconds(150));
    REQUIRE(orders.held.size() == 1);
    bench.isCommitting = true;
    bench.run(Duration::milliseconds(20));
    REQUIRE(bench.fleet.runningCountOn(workers.free) == 1);
    bench.cancel(workers.other.id);
    orders.release();
    bench.run(second * 3);
    workers.checkOneRun();
    CHECK(workerOf(bench, workers.job) == workers.free);
}

TEST_CASE("a worker gets no start until its present process has answered an order of its own generation")
{
    JobBench bench(3, 2, [](FakeClock&, WorkerOrders& fleet) { return std::make_unique<HeldAnswers>(fleet); });
    auto& orders = static_cast<HeldAnswers&>(*bench.orders);
    TwoWorkers workers(bench);
    orders.worker = workers.free;
    bench.fleet.crash(workers.free);
    bench.fleet.restart(workers.free);
    bench.run(Duration::milliseconds(150));
    REQUIRE(orders.held.size() == 1);
    workers.announce(workers.free);
    bench.run(Duration::milliseconds(20));
    for (auto const& answer : std::exchange(orders.held, {}))
        answer(); // To an order for the former process, by the present one.
    bench.submit(workers.job);
    bench.run(Duration::milliseconds(100));
    CHECK(bench.fleet.runningCountOn(workers.free) == 0);
    orders.release();
    bench.run(second);
    CHECK(workerOf(bench, workers.job) == workers.free);
    workers.checkOneRun();
}
