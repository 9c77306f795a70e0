#pragma once

// Two workers and orders that reach a later process of one of them than the one for which they were sent.
//
// Example:
//   SilentBench hosts;
//   hosts.path.silent = hosts.workers.free;
//   hosts.workers.place();
//   hosts.bench.fleet.crash(hosts.workers.free);
//   hosts.bench.fleet.restart(hosts.workers.free);
//   hosts.path.release(); // The present process reads the start that was sent to the former one.

#include "testing/fakes/ForwardingOrders.h"
#include "testing/fakes/JobBench.h"

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace cornelpond {

/// Holds all orders to one worker until the test lets the worker read them, without an answer. Counts orders that permit something
/// by the clock of a process that they do not name.
class SilentPath final : public ForwardingOrders {
public:
    SilentPath(FakeClock& clock, WorkerOrders& fleet)
        : ForwardingOrders(fleet)
        , clock(clock)
    {
    }

    void start(WorkerTarget const& target, StartOrder const& order, Done done) override
    {
        this->unboundOrders += !order.processBornMs;
        if (target.id != this->silent) {
            this->fleet.start(target, order, std::move(done));
            return;
        }
        this->unread.push_back([this, target, order] { this->fleet.start(target, order, [this](OrderAnswer const& answer) { this->results.push_back(answer.result); }); });
        this->giveUp([done = std::move(done)] { done(OrderAnswer()); });
    }

    void stop(WorkerTarget const& target, StopOrder const& order, Done done) override
    {
        if (target.id != this->silent) {
            this->fleet.stop(target, order, std::move(done));
            return;
        }
        this->unread.push_back([this, target, order] { this->fleet.stop(target, order, [this](OrderAnswer const& answer) { this->results.push_back(answer.result); }); });
        this->giveUp([done = std::move(done)] { done(OrderAnswer()); });
    }

    void renew(WorkerTarget const& target, RenewOrder const& order, std::function<void(RenewAnswer const&)> done) override
    {
        this->unboundOrders += order.extendsLease && !order.processBornMs;
        if (target.id != this->silent) {
            this->fleet.renew(target, order, std::move(done));
            return;
        }
        this->unread.push_back([this, target, order] { this->fleet.renew(target, order, [this](RenewAnswer const& answer) { this->results.push_back(answer.order.result); }); });
        this->giveUp([done = std::move(done)] { done(RenewAnswer()); });
    }

    /// The worker reads the orders that were held; later ones pass.
    void release()
    {
        this->silent = WorkerId();
        for (auto const& read : std::exchange(this->unread, {}))
            read();
    }

    WorkerId silent; ///< Whose orders are held; empty: none.
    std::vector<OrderResult> results; ///< Of the orders that were held.
    unsigned unboundOrders = 0;

private:
    void giveUp(std::function<void()> done) { this->clock.after(DispatchTimes().orderTimeout, std::move(done)); }

    FakeClock& clock;
    std::vector<std::function<void()>> unread;
};

/// The worker of the job's only task; empty: none.
inline WorkerId workerOf(JobBench& bench, JobSpec const& job)
{
    WorkerId worker;
    bench.leader().scheduler().jobs().forEachLiveAttemptOf(job.id, [&](TaskRef const&, TaskRecord const&, Attempt const& attempt) { worker = attempt.worker; });
    return worker;
}

/// From now on orders are carried out by whichever process of a worker reads them.
inline void letOrdersOutliveProcesses(JobBench& bench)
{
    FakeFleet::Faults faults;
    faults.ordersOutliveProcesses = true;
    bench.fleet.setFaults(faults);
}

/// From now on no order is answered, and each is carried out after the delay.
inline void letOrdersBeLate(JobBench& bench, Duration delay)
{
    FakeFleet::Faults faults;
    faults.ordersOutliveProcesses = true;
    faults.lateOrderShare = 1;
    faults.minLateDelay = delay;
    faults.maxLateDelay = delay;
    bench.fleet.setFaults(faults);
}

/// Two workers, one of them filled by a task, so that the next one goes to the other.
class TwoWorkers {
public:
    explicit TwoWorkers(JobBench& bench)
        : bench(bench)
    {
        bench.announceInterval = Duration::seconds(3600); // Tests announce processes themselves.
        letOrdersOutliveProcesses(bench);
        bench.addWorkers(2, 16000);
        bench.run(Duration::seconds(20));
        bench.submit(this->other);
        bench.run(Duration::seconds(2));
        this->occupied = workerOf(bench, this->other);
        REQUIRE(!this->occupied.empty());
        this->free = WorkerId(this->occupied == WorkerId("w0") ? "w1" : "w0");
    }

    void announce(WorkerId const& worker)
    {
        this->bench.leader().scheduler().workerRegistration().announce(this->bench.fleet.report(worker), [](CallResult) {});
    }

    /// Runs until the job's task is committed to the free worker.
    void place()
    {
        this->bench.submit(this->job);
        for (int i = 0; i < 50 && workerOf(this->bench, this->job).empty(); i++)
            this->bench.run(Duration::milliseconds(10));
        REQUIRE(workerOf(this->bench, this->job) == this->free);
        REQUIRE(this->bench.fleet.runningCountOn(this->free) == 0);
    }

    void checkOneRun() const
    {
        CHECK(this->bench.fleet.record().duplicateRuns == 0);
        CHECK(this->bench.fleet.runningCount(this->job.id) == 1);
    }

    JobBench& bench;
    JobSpec other = makeJob("other", 1, 16000, Duration::seconds(60));
    JobSpec job = makeJob("plan", 1, 16000, Duration::seconds(60));
    WorkerId occupied;
    WorkerId free;
};

/// Hosts that reach two workers by way of a silent path.
class SilentBench {
public:
    JobBench bench { 3, 2, [](FakeClock& clock, WorkerOrders& fleet) { return std::make_unique<SilentPath>(clock, fleet); } };
    SilentPath& path { static_cast<SilentPath&>(*this->bench.orders) };
    TwoWorkers workers { this->bench };
};

} // namespace cornelpond
