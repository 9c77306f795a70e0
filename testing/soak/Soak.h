#pragma once

// One soak run: a fleet of real processes, workers and clients on loopback, faults from outside by a seed, and
// checks of what clients, operators and workers see.
//
// Example:
//   SoakResult const result = runSoak({ "build/bin/cornelpond", 7, Duration::seconds(20) });
//   for (auto const& violation : result.violations)
//       print(violation);
//
// The plan of faults comes from the seed alone; how the processes meet it depends on the machine's timing too.

#include "cornelpond/core/base/Duration.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cornelpond {

struct SoakOptions {
    std::string program; ///< Path of the cornelpond binary.
    uint64_t seed = 1;
    Duration loadDuration = Duration::seconds(20); ///< How long faults and load last.
    Duration maxSettleTime = Duration::seconds(60); ///< Most that may pass after the last fault until all is done.
    std::string logFolder; ///< Where the processes' logs of a run with violations are kept; empty: nowhere.
    bool isVerbose = false; ///< Prints each fault as it comes.
};

struct SoakResult {
    std::vector<std::string> violations;
    std::vector<std::string> faults; ///< As they were injected.
    size_t acceptedJobs = 0;
    size_t refusedJobs = 0;
    unsigned starts = 0;
    uint64_t acknowledgedVersion = 0; ///< The highest acknowledged version.
};

SoakResult runSoak(SoakOptions const& options);

} // namespace cornelpond
