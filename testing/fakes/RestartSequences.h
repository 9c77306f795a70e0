#pragma once

// Checks that no task runs in two places through random sequences of worker restarts, cuts and changes of leader.
//
// Example:
//   RestartFaults faults;
//   faults.orders.lateOrderShare = 0.05;
//   checkRestartSequences(faults);

#include "testing/fakes/RelayedBench.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace cornelpond {

/// What a sequence contains beside the restarts.
struct RestartFaults {
    FakeFleet::Faults orders;
    Duration announceInterval = Duration::milliseconds(1500);
    Duration minTimeToCut; ///< From the last worker's restart until the workers are cut off.
};

// Orders by the former process's clock, sent or carried out after the restart, must not extend the lease of the present one.
inline void checkRestartSequences(RestartFaults const& faults)
{
    rc::prop("", [&faults] {
        auto const seed = *rc::gen::arbitrary<uint32_t>();
        constexpr size_t workerCount = 6;
        constexpr size_t hostCount = 3;
        RelayedBench hosts(seed, hostCount);
        JobBench& bench = hosts.bench;
        bench.announceInterval = faults.announceInterval;
        SeededRandom random(seed + 1U);
        bench.addWorkers(workerCount, 8000);
        bench.run(Duration::seconds(20));
        bench.fleet.setFaults(faults.orders);
        for (int round = 0; round < 12; round++) {
            bench.submit(makeJob("j" + std::to_string(round), 4, 2000, Duration::seconds(15)));
            for (size_t i = 0; i < workerCount / 2; i++) {
                WorkerId const worker("w" + std::to_string(i));
                bench.fleet.setCut(worker, false);
                bench.fleet.crash(worker);
                bench.run(Duration::milliseconds(static_cast<int64_t>(random.below(200))));
                bench.fleet.restart(worker);
            }
            if (!random.below(4))
                bench.crashLeader();
            bench.run(faults.minTimeToCut + Duration::milliseconds(static_cast<int64_t>(random.below(3000))));
            if (!bench.group.hasCurrentLeader())
                bench.elect(random.below(hostCount));
            for (size_t i = 0; i < workerCount / 2; i++)
                bench.fleet.setCut(WorkerId("w" + std::to_string(i)), true);
            bench.run(Duration::seconds(6));
        }
        RC_ASSERT(bench.fleet.record().duplicateRuns == 0U);
    });
}

} // namespace cornelpond
