#pragma once

// One soak run: starts a fleet of real processes with simulated workers and clients on loopback, injects faults
// drawn from a seed, and checks what clients, operators and workers observe.
//
// Example:
//   SoakResult const result = runSoak({ "build/bin/cornelpond", 7, FaultSet::General, Duration::seconds(20) });
//   for (auto const& violation : result.violations)
//       print(violation);
//
// The fault plan depends on the seed alone; its effect on the processes also depends on the timing of the machine.

#include "cornelpond/core/base/Duration.h"
#include "testing/soak/CancelCheck.h"
#include "testing/soak/FaultPlan.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cornelpond {

/// What becomes of the connections to a worker of FaultKind::RestartSilently that were open when its process ended.
enum class ConnectionsOverRestart {
    Drawn, ///< One of the others in each round.
    Closed, ///< Closed when the worker is back.
    Kept, ///< Its next process reads what was sent meanwhile.
};

struct SoakOptions {
    std::string program; ///< Path of the cornelpond binary.
    uint64_t seed = 1;
    FaultSet faultSet = FaultSet::General;
    Duration loadDuration = Duration::seconds(20); ///< Duration of load and faults.
    Duration maxSettleTime = Duration::seconds(60); ///< Time limit, after the load has ended, for all jobs to end.
    int controlHostCount = 3; ///< Up to seven.
    size_t workerCount = 6;
    int entryHostCount = 2;
    ConnectionsOverRestart connections = ConnectionsOverRestart::Drawn;
    bool hasLateOrders = false; ///< All the time a share of the orders to workers is carried out late, by whichever process is up then.
    size_t workerConnectionLimit = 64; ///< Connections that a worker keeps open; further ones are reset.
    std::string logFolder; ///< Where the files of the processes are copied after a run with violations; empty: nowhere.
    bool keepsAllLogs = false; ///< Copies them after each run.
    bool isVerbose = false; ///< Prints each fault when it is injected.
};

struct SoakResult {
    std::vector<std::string> violations;
    std::vector<std::string> faults; ///< One line per injected fault, in order.
    size_t acceptedJobs = 0;
    size_t refusedJobs = 0;
    unsigned starts = 0;
    CancelSummary cancels;
    Duration timeHeldUp; ///< For which the system held up a host, summed over hosts.
    Duration longestStandstill; ///< Of the process that simulates the workers and carries out the faults.
    uint64_t acknowledgedVersion = 0; ///< The highest acknowledged configuration version.
};

SoakResult runSoak(SoakOptions const& options);

} // namespace cornelpond
