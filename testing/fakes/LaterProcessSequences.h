#pragma once

// Restarts, cuts and orders that are read late by other processes of workers than those for which they were sent.
//
// Example:
//   SequenceFaults faults;
//   faults.orders.ordersOutliveProcesses = true;
//   CHECK(runSequence(seed, faults).duplicateRuns == 0);

#include "testing/fakes/LaterProcessBench.h"

namespace cornelpond {

/// What a sequence contains besides restarts and cuts.
struct SequenceFaults {
    FakeFleet::Faults orders;
    bool changesLeaders = false;
    bool hasStartsInFlight = false; ///< Workers crash soon after jobs were submitted, and half of the cuts follow the restarts at once.
};

struct SequenceResult {
    unsigned duplicateRuns = 0;
    unsigned unboundOrders = 0;
    size_t superseded = 0;
    unsigned starts = 0;
};

inline SequenceResult runSequence(uint32_t seed, SequenceFaults const& faults)
{
    constexpr size_t workerCount = 6;
    constexpr size_t hostCount = 3;
    JobBench bench(seed, hostCount, [](FakeClock& clock, WorkerOrders& fleet) { return std::make_unique<SilentPath>(clock, fleet); });
    SeededRandom random(seed + 1U);
    bench.announceInterval = Duration::milliseconds(200);
    bench.addWorkers(workerCount, 8000);
    bench.group.catchUpFollowers();
    bench.run(Duration::seconds(20));
    bench.fleet.setFaults(faults.orders);
    for (int round = 0; round < 12; round++) {
        bench.submit(makeJob("j" + std::to_string(round), 4, 2000, Duration::seconds(15)));
        for (size_t i = 0; i < workerCount / 2; i++) {
            WorkerId const worker("w" + std::to_string(i));
            bench.fleet.setCut(worker, false);
            if (faults.hasStartsInFlight) {
                bench.run(Duration::milliseconds(static_cast<int64_t>(random.below(600))));
                bench.submit(makeJob("s" + std::to_string(round) + worker.value(), 4, 1000, Duration::seconds(15)));
                bench.run(Duration::milliseconds(10)); // The starts are committed in the next step.
            }
            bench.fleet.crash(worker);
            bench.run(Duration::milliseconds(static_cast<int64_t>(random.below(600))));
            bench.fleet.restart(worker);
        }
        bench.group.catchUpFollowers();
        if (faults.changesLeaders && !random.below(4)) {
            bench.crashLeader();
            bench.run(Duration::milliseconds(static_cast<int64_t>(600 + random.below(400))));
            bench.elect(random.below(hostCount));
        }
        uint64_t const longestTimeToCutMs = faults.hasStartsInFlight && random.below(2) ? 200 : 3000;
        bench.run(Duration::milliseconds(static_cast<int64_t>(random.below(longestTimeToCutMs))));
        for (size_t i = 0; i < workerCount / 2; i++)
            bench.fleet.setCut(WorkerId("w" + std::to_string(i)), true);
        bench.run(Duration::seconds(7));
    }
    return { bench.fleet.record().duplicateRuns, static_cast<SilentPath&>(*bench.orders).unboundOrders, bench.events.count(EventId::WorkerSuperseded), bench.fleet.record().starts };
}

} // namespace cornelpond
