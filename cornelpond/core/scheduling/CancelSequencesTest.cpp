// Cancels after and beside random faults of hosts, workers, relays and orders: nothing of a cancelled job runs on.

#include "testing/fakes/RelayedBench.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace cornelpond;

namespace {

constexpr size_t workerCount = 6;
constexpr size_t hostCount = 3;
constexpr size_t relayCount = 2;
constexpr size_t dataCentreCount = 2;
constexpr Duration maxOrderDelay = Duration::seconds(8);
constexpr Duration cancelBound = Duration::milliseconds(5400); ///< 5 s until the last start, 0.4 s for the workers to stop.
constexpr Duration settleTime = Duration::seconds(30); ///< For workers that are gone to be given up.

JobSpec randomJob(Random& random, size_t number)
{
    std::string const name = "j" + std::to_string(number);
    auto const tasks = static_cast<uint32_t>(1 + random.below(14));
    Duration const estimate = Duration::milliseconds(static_cast<int64_t>(200 + random.below(20000)));
    switch (random.below(6)) {
    case 0:
        return makeServiceJob(name, tasks, 1000, "watch");
    case 1:
        return makeBestEffortJob(name, tasks, 1000, estimate, "fill");
    default:
        break;
    }
    JobSpec job = makeJob(name, tasks, 1000, estimate);
    job.stages[0].isGang = random.below(4) == 0;
    job.stages[0].allowsSpeculativeCopies = !job.stages[0].isGang && random.below(3) == 0;
    if (random.below(2)) {
        job.stages.push_back(job.stages[0]);
        job.stages[1].dependsOn = { 0 };
    }
    return job;
}

enum class Orders {
    InTime,
    Late,
    OutliveProcesses, ///< Also late; read by whichever process of the worker is up then.
};

enum class When {
    AfterFaults,
    BesideFaults, ///< Repeated after them, as a caller does who got no answer.
};

class CancelSequence {
public:
    CancelSequence(uint64_t seed, Orders orders, When cancelled)
        : hosts(seed, hostCount, relayCount)
        , bench(hosts.bench)
        , random(seed + 1)
        , orders(orders)
        , cancelled(cancelled)
    {
    }

    FakeFleet::Faults lateOrders() const
    {
        FakeFleet::Faults late;
        late.lateOrderShare = 0.1;
        late.maxLateDelay = maxOrderDelay;
        late.failureShare = 0.1;
        late.ordersOutliveProcesses = this->orders == Orders::OutliveProcesses;
        return late;
    }

    /// Of the jobs, once all are cancelled: tasks that run, and what the leader still counts. Empty if there is nothing.
    std::string whatIsLeft()
    {
        constexpr size_t steps = 30;
        this->bench.addWorkers(workerCount, 8000, dataCentreCount);
        this->bench.fleet.setInterference("watch", "fill", 10);
        if (this->orders != Orders::InTime)
            this->bench.fleet.setFaults(this->lateOrders());
        for (size_t step = 0; step < steps; step++) {
            this->doRandomStep();
            this->bench.run(this->randomTime(600));
        }
        this->cancelAllAndEndFaults();
        size_t running = 0;
        for (auto const& job : this->jobs)
            running += this->bench.fleet.runningCount(job);
        if (running)
            return std::to_string(running) + " tasks run";
        this->bench.run(settleTime);
        return this->whatLeaderCounts();
    }

private:
    Duration randomTime(uint64_t maxMs) { return Duration::milliseconds(static_cast<int64_t>(this->random.below(maxMs))); }
    WorkerId randomWorker() { return WorkerId("w" + std::to_string(this->random.below(workerCount))); }

    void doRandomStep()
    {
        switch (this->random.below(4)) {
        case 0:
            this->submitOrCancel();
            return;
        case 1:
            this->disturbHosts();
            return;
        case 2:
            this->disturbWorker(this->randomWorker());
            return;
        default:
            this->disturbDelivery(this->randomWorker());
        }
    }

    void submitOrCancel()
    {
        if (!this->jobs.empty() && !this->random.below(5)) {
            this->bench.cancel(this->jobs[this->random.below(this->jobs.size())]);
            return;
        }
        JobSpec const job = randomJob(this->random, this->jobs.size());
        this->jobs.push_back(job.id);
        this->bench.submit(job);
    }

    void disturbHosts()
    {
        FakeLogGroup& group = this->bench.group;
        switch (this->random.below(6)) {
        case 0:
            this->bench.elect(this->random.below(hostCount));
            return;
        case 1:
            this->bench.crashLeader();
            this->bench.run(this->randomTime(1500));
            this->bench.elect(this->random.below(hostCount));
            return;
        case 2:
            this->electWithSnapshot(this->random.below(hostCount));
            return;
        case 3:
            this->bench.isCommitting = !this->bench.isCommitting;
            return;
        case 4:
            group.setRefusal(this->random.below(2) ? std::optional(ResultCode::NotLeader) : std::nullopt);
            return;
        default:
            group.setLeadershipConfirmed(this->random.below(2));
        }
    }

    void electWithSnapshot(size_t next)
    {
        FakeLogGroup& group = this->bench.group;
        if (group.hasCurrentLeader() && next != group.leader())
            group.installSnapshot(next);
        group.keepOnNextChange(this->random.below(group.inFlightCount() + 1));
        this->bench.elect(next);
    }

    void disturbWorker(WorkerId const& worker)
    {
        FakeFleet& fleet = this->bench.fleet;
        switch (this->random.below(7)) {
        case 0:
            fleet.setCut(worker, this->random.below(2));
            return;
        case 1:
            fleet.crash(worker);
            return;
        case 2:
            fleet.crash(worker);
            this->bench.run(this->randomTime(300));
            fleet.restart(worker);
            fleet.setCut(worker, false);
            return;
        case 3:
            fleet.crash(worker);
            fleet.restartAt(worker, "10.0.1." + std::to_string(this->nextAddress++) + ":80", this->randomTime(500));
            return;
        case 4:
            this->bench.leader().scheduler().workerRegistration().deregister({ worker, this->random.below(2) ? fleet.processBornMs(worker) : 0 }, [](CallResult) {});
            return;
        case 5:
            fleet.setDraining(worker);
            return;
        default:
            if (this->bench.group.hasCurrentLeader())
                this->bench.evacuate(this->random.below(2) ? EvacuationChange::Start : EvacuationChange::Finish, "dc" + std::to_string(this->random.below(dataCentreCount)));
        }
    }

    void disturbDelivery(WorkerId const& worker)
    {
        constexpr uint64_t lostStopKinds = 4;
        switch (this->random.below(5)) {
        case 0:
            this->hosts.relays().freeze(this->random.below(relayCount));
            return;
        case 1:
            this->hosts.relays().thaw(this->random.below(relayCount));
            return;
        case 2:
            this->bench.fleet.setLostStops(worker, static_cast<FakeFleet::LostStops>(this->random.below(lostStopKinds)));
            return;
        case 3:
            this->bench.fleet.setLostStarts(worker, this->random.below(2));
            return;
        default:
            this->bench.fleet.setUnhealthy(worker, this->random.below(2));
        }
    }

    void endFaults()
    {
        this->bench.isCommitting = true;
        this->bench.group.setRefusal(std::nullopt);
        this->bench.group.setLeadershipConfirmed(true);
        this->bench.fleet.setFaults({});
        for (size_t relay = 0; relay < relayCount; relay++)
            this->hosts.relays().thaw(relay);
        for (size_t i = 0; i < workerCount; i++) {
            WorkerId const worker("w" + std::to_string(i));
            this->bench.fleet.setCut(worker, false);
            this->bench.fleet.setLostStarts(worker, false);
            this->bench.fleet.setUnhealthy(worker, false);
            this->bench.fleet.setLostStops(worker, FakeFleet::LostStops::None);
        }
    }

    void cancelAllAndEndFaults()
    {
        if (this->cancelled == When::BesideFaults)
            this->cancelAll();
        this->endFaults();
        if (this->cancelled == When::AfterFaults)
            this->bench.run(maxOrderDelay * 2);
        this->cancelAll();
        this->bench.run(this->cancelled == When::AfterFaults ? cancelBound : maxOrderDelay * 2);
    }

    std::string whatLeaderCounts()
    {
        size_t attempts = 0;
        size_t active = 0;
        for (auto const& [id, job] : this->bench.leader().scheduler().jobs().all()) {
            attempts += job.liveAttemptCount;
            active += job.state == JobState::Active;
        }
        return attempts || active ? std::to_string(attempts) + " attempts live, " + std::to_string(active) + " jobs active" : std::string();
    }

    void cancelAll()
    {
        for (auto const& job : this->jobs)
            this->bench.cancel(job);
    }

    RelayedBench hosts;
    JobBench& bench;
    SeededRandom random;
    std::vector<JobId> jobs;
    unsigned nextAddress = 1;
    Orders orders;
    When cancelled;
};

/// The seeds of the sequences that end with something of a cancelled job; empty if none does.
std::string failingSeeds(Orders orders, When cancelled)
{
    constexpr uint64_t sequences = 100;
    std::string failing;
    for (uint64_t seed = 1; seed <= sequences; seed++) {
        std::string const left = CancelSequence(seed, orders, cancelled).whatIsLeft();
        if (!left.empty())
            failing += std::to_string(seed) + ": " + left + "; ";
    }
    return failing;
}

} // namespace

TEST_CASE("nothing of a job runs on that is cancelled after faults")
{
    std::string const failing = failingSeeds(Orders::InTime, When::AfterFaults);
    CAPTURE(failing);
    CHECK(failing.empty());
}

TEST_CASE("nothing of a job runs on that is cancelled beside faults")
{
    std::string const failing = failingSeeds(Orders::InTime, When::BesideFaults);
    CAPTURE(failing);
    CHECK(failing.empty());
}

TEST_CASE("nothing of a job runs on that is cancelled after faults with late orders")
{
    std::string const failing = failingSeeds(Orders::Late, When::AfterFaults);
    CAPTURE(failing);
    CHECK(failing.empty());
}

TEST_CASE("nothing of a job runs on that is cancelled beside faults with late orders")
{
    std::string const failing = failingSeeds(Orders::Late, When::BesideFaults);
    CAPTURE(failing);
    CHECK(failing.empty());
}

TEST_CASE("nothing of a job runs on that is cancelled beside faults with orders that later processes read")
{
    std::string const failing = failingSeeds(Orders::OutliveProcesses, When::BesideFaults);
    CAPTURE(failing);
    CHECK(failing.empty());
}
