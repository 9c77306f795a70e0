// Runs of cancelled jobs after composed faults of hosts, paths, workers and the log: none outlasts a calm stretch.

#include "testing/fakes/JobBench.h"
#include "testing/fakes/RelayNetwork.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);
constexpr Duration cancelBound = second * 5; ///< From a cancel's acknowledgement until nothing of the job starts.
constexpr Duration stopBound = Duration::milliseconds(400); ///< That a worker may take to stop a task.
constexpr size_t hostCount = 4;
constexpr size_t workerCount = 5;
constexpr unsigned faultKinds = 16;

WorkerId workerAt(size_t index)
{
    return WorkerId("w" + std::to_string(index));
}

/// Hosts that schedule jobs by way of each other, and the faults around them.
class FaultyHosts {
public:
    explicit FaultyHosts(uint64_t seed)
        : random(seed + 1U)
        , bench(seed, hostCount, [this](FakeClock& clock, WorkerOrders& fleet) { return std::make_unique<RelayNetwork>(clock, fleet, this->random, hostCount); })
    {
        this->network().setLeader([this] { return this->bench.group.leader(); });
        this->bench.addWorkers(workerCount, 8000);
        constexpr int64_t bornMs = 1000000; // Leaves room for clocks that are set back.
        for (size_t i = 0; i < workerCount; i++)
            this->bench.fleet.restart(workerAt(i), bornMs);
    }

    RelayNetwork& network() { return static_cast<RelayNetwork&>(*this->bench.orders); }

    void submit()
    {
        std::string const id = "j" + std::to_string(this->jobCount++);
        auto const tasks = 1 + static_cast<uint32_t>(this->random.below(6));
        this->open.emplace_back(id);
        this->bench.submit(this->random.below(2) ? makeServiceJob(id, tasks, 1000, "watch") : makeJob(id, tasks, 1000, second * 300));
    }

    void cancelOne()
    {
        if (this->open.empty())
            return;
        size_t const chosen = this->random.below(this->open.size());
        this->unacknowledged.insert(this->open[chosen]);
        this->open.erase(this->open.begin() + static_cast<ptrdiff_t>(chosen));
    }

    /// Lets time pass, while callers repeat the cancels that were not acknowledged.
    void run(Duration span)
    {
        constexpr Duration callInterval = Duration::milliseconds(500);
        for (TimePoint const end = this->bench.clock.now() + span; this->bench.clock.now() < end;) {
            if (this->bench.clock.now() >= this->nextCallAt && this->bench.group.hasCurrentLeader()) {
                this->nextCallAt = this->bench.clock.now() + callInterval;
                this->repeatCancels();
            }
            this->bench.run(Duration::milliseconds(10));
        }
    }

    /// Adds a fault of a kind that this sequence contains.
    void addFault()
    {
        unsigned const kind = static_cast<unsigned>(this->random.below(faultKinds));
        if (!(this->faultMask >> kind & 1))
            return;
        WorkerId const worker = workerAt(this->random.below(workerCount));
        size_t const host = this->random.below(hostCount);
        size_t const peer = this->random.below(hostCount);
        switch (kind) {
        case 0:
            this->restartWorker(worker);
            return;
        case 1:
            this->bench.fleet.crash(worker);
            return;
        case 2:
        case 3:
            this->network().path(host, worker) = this->drawPathFaults();
            return;
        case 4:
            for (size_t i = 0; i < hostCount; i++)
                this->network().path(i, worker) = this->drawPathFaults();
            return;
        case 5:
            for (size_t i = 0; i < hostCount; i++)
                this->network().path(i, worker) = PathFaults();
            return;
        case 6:
            if (host != this->bench.group.leader())
                this->network().freeze(host);
            return;
        case 7:
            this->network().thaw(host);
            return;
        case 8:
            if (host != this->bench.group.leader())
                this->network().restart(host);
            return;
        case 9:
            if (host != peer)
                this->network().setCut(host, peer, this->random.below(2));
            return;
        case 10:
            this->changeLeader(host);
            return;
        case 11:
            this->bench.group.setRefusal(ResultCode::NotLeader);
            return;
        case 12:
            this->bench.isCommitting = false;
            return;
        case 13:
            this->bench.group.setLeadershipConfirmed(false);
            return;
        case 14:
            this->announceOddly(worker);
            return;
        default:
            this->deregister(worker);
        }
    }

    void mendLog()
    {
        this->bench.group.setRefusal(std::nullopt);
        this->bench.group.setLeadershipConfirmed(true);
        this->bench.isCommitting = true;
        if (!this->bench.group.hasCurrentLeader())
            this->elect(this->random.below(hostCount));
    }

    /// Ends all faults.
    void calmDown()
    {
        this->bench.fleet.setFaults(this->orderFaults(0));
        this->network().healPaths();
        for (size_t i = 0; i < hostCount; i++)
            this->network().thaw(i);
        this->network().healLinks();
        this->mendLog();
        auto const up = this->bench.fleet.reachableWorkers();
        for (size_t i = 0; i < workerCount; i++) {
            if (std::find(up.begin(), up.end(), workerAt(i)) == up.end())
                this->bench.fleet.restart(workerAt(i));
        }
    }

    /// The longest time for which a task of a cancelled job has been running in calm, after its cancel and its start.
    Duration longestUnwantedRun(TimePoint calmSince) const
    {
        TimePoint const now = this->bench.clock.now();
        Duration longest;
        for (auto const& run : this->bench.fleet.runningTasks()) {
            auto const cancelled = this->acknowledgedAt.find(run.task.job);
            if (cancelled != this->acknowledgedAt.end())
                longest = std::max(longest, now - std::max({ calmSince, cancelled->second, now - run.age }));
        }
        return longest;
    }

    FakeFleet::Faults orderFaults(double lateOrderShare) const
    {
        FakeFleet::Faults faults;
        faults.lateOrderShare = lateOrderShare;
        faults.ordersOutliveProcesses = this->doOrdersOutliveProcesses;
        faults.maxStopTime = stopBound;
        return faults;
    }

    bool doOrdersOutliveProcesses = false;
    unsigned faultMask = ~0U; ///< The kinds of faults that the sequence contains, by bit.
    SeededRandom random;
    JobBench bench;
    std::map<JobId, TimePoint> acknowledgedAt; ///< When each cancel was acknowledged.

private:
    void repeatCancels()
    {
        for (auto const& job : std::set<JobId>(this->unacknowledged)) {
            this->bench.leader().scheduler().cancel(job, [this, job](CallResult result) {
                if (result != CallResult::Done && result != CallResult::NotFound)
                    return;
                this->unacknowledged.erase(job);
                this->acknowledgedAt.try_emplace(job, this->bench.clock.now());
            });
        }
    }

    void restartWorker(WorkerId const& worker)
    {
        constexpr int64_t clockChangeMs = 1000;
        switch (this->random.below(4)) {
        case 0:
            this->bench.fleet.restart(worker, this->bench.fleet.processBornMs(worker) - clockChangeMs);
            return;
        case 1:
            this->bench.fleet.restartAt(worker, "10.0.1." + std::to_string(this->addressCount++) + ":80", Duration::milliseconds(static_cast<int64_t>(this->random.below(300))));
            return;
        default:
            this->bench.fleet.restart(worker);
        }
    }

    PathFaults drawPathFaults()
    {
        PathFaults faults;
        faults.losesOrders = !this->random.below(3);
        faults.losesAnswers = !this->random.below(3);
        faults.losesStops = !this->random.below(2);
        faults.losesRenewals = !this->random.below(4);
        faults.lateRenewalShare = this->random.below(3) ? 0 : 0.3;
        faults.maxDelay = Duration::milliseconds(static_cast<int64_t>(this->random.below(500)));
        return faults;
    }

    void changeLeader(size_t host)
    {
        this->network().thaw(host);
        if (!this->bench.group.hasCurrentLeader() || this->random.below(2)) {
            this->elect(host);
            return;
        }
        size_t const crashed = this->bench.group.leader();
        this->bench.crashLeader();
        this->network().restart(crashed);
    }

    void elect(size_t host)
    {
        this->bench.group.setRefusal(std::nullopt);
        this->bench.elect(host);
    }

    /// A report of the worker by someone else, with a wrong start time or address.
    void announceOddly(WorkerId const& worker)
    {
        if (!this->bench.group.hasCurrentLeader())
            return;
        WorkerReport report = this->bench.fleet.report(worker);
        report.profile.bornMs += static_cast<int64_t>(this->random.below(5)) - 2;
        if (!this->random.below(4))
            report.profile.address = "10.0.2.1:80";
        this->bench.leader().scheduler().workerRegistration().announce(report, [](CallResult) {});
    }

    void deregister(WorkerId const& worker)
    {
        if (this->bench.group.hasCurrentLeader())
            this->bench.leader().scheduler().workerRegistration().deregister({ worker, this->bench.fleet.processBornMs(worker) }, [](CallResult) {});
    }

    std::vector<JobId> open; ///< Submitted, and not to be cancelled yet.
    std::set<JobId> unacknowledged;
    unsigned jobCount = 0;
    unsigned addressCount = 0;
    TimePoint nextCallAt;
};

} // namespace

TEST_CASE("no sequence of faults lets a task of a cancelled job outlast a calm stretch, or runs a task twice")
{
    rc::prop("", [] {
        FaultyHosts hosts(*rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<uint32_t>()));
        hosts.doOrdersOutliveProcesses = hosts.random.below(2);
        hosts.faultMask = hosts.random.below(2) ? ~0U : static_cast<unsigned>(hosts.random.next());
        hosts.run(second * static_cast<int64_t>(1 + hosts.random.below(15)));
        hosts.bench.fleet.setFaults(hosts.orderFaults(hosts.random.below(2) ? 0.05 : 0));
        constexpr int rounds = 40;
        for (int round = 0; round < rounds; round++) {
            switch (hosts.random.below(5)) {
            case 0:
                if (hosts.bench.group.hasCurrentLeader())
                    hosts.submit();
                break;
            case 1:
                if (round > rounds / 2)
                    hosts.cancelOne();
                break;
            case 2:
                hosts.mendLog();
                break;
            default:
                hosts.addFault();
            }
            hosts.run(Duration::milliseconds(static_cast<int64_t>(hosts.random.below(900))));
        }
        hosts.calmDown();
        TimePoint const calmSince = hosts.bench.clock.now();
        Duration longest;
        while (hosts.bench.clock.now() - calmSince < second * 20) {
            hosts.run(Duration::milliseconds(50));
            longest = std::max(longest, hosts.longestUnwantedRun(calmSince));
        }
        RC_ASSERT(longest <= cancelBound + stopBound);
        if (!hosts.doOrdersOutliveProcesses)
            RC_ASSERT(hosts.bench.fleet.record().duplicateRuns == 0U);
    });
}
