#pragma once

// Simulated hosts that schedule jobs on a fake fleet by way of relays, and a count of the tasks that start too long after
// their job's cancel.
//
// Example:
//   RelayedBench hosts(1);
//   hosts.bench.addWorkers(4, 16000);
//   hosts.relays().freeze(0);
//   hosts.cancel(job.id);
//   hosts.bench.run(Duration::seconds(10));
//   CHECK(hosts.lateStarts == 0);

#include "testing/fakes/JobBench.h"
#include "testing/fakes/RelayedOrders.h"

#include <map>
#include <memory>

namespace cornelpond {

/// A fleet that is reached by way of relays, and that notes which tasks of cancelled jobs start too late.
class RelayedBench {
public:
    static constexpr Duration cancelBound = Duration::seconds(5); ///< From a cancel's acknowledgement to the last start of a task.

    explicit RelayedBench(uint64_t seed, size_t hosts = 2, size_t relays = 2)
        : bench(seed, hosts, [relays](FakeClock& clock, WorkerOrders& fleet) { return std::make_unique<RelayedOrders>(clock, fleet, relays); })
    {
        this->bench.fleet.setStartObserver([this](TaskRef const& task) {
            auto const cancelled = this->cancelledAt.find(task.job);
            this->lateStarts += cancelled != this->cancelledAt.end() && this->bench.clock.now() - cancelled->second > RelayedBench::cancelBound;
        });
    }

    RelayedOrders& relays() { return static_cast<RelayedOrders&>(*this->bench.orders); }

    void cancel(JobId const& job)
    {
        this->bench.leader().scheduler().cancel(job, [this, job](CallResult result) {
            if (result == CallResult::Done)
                this->cancelledAt.try_emplace(job, this->bench.clock.now());
        });
    }

    void announce(WorkerId const& worker)
    {
        this->bench.leader().scheduler().workerRegistration().announce(this->bench.fleet.report(worker), [](CallResult) {});
    }

    std::map<JobId, TimePoint> cancelledAt; ///< When each cancel was acknowledged.
    unsigned lateStarts = 0; ///< Starts of tasks more than `cancelBound` after their job's cancel.
    JobBench bench;
};

} // namespace cornelpond
