#pragma once

// Runs one soak in a test and checks that it had no violations.
//
// Example:
//   checkSeed(FaultSet::Outages, 7, Duration::seconds(12));

#include "testing/soak/Soak.h"

#include <catch2/catch.hpp>

namespace cornelpond {

/// Sets the program.
inline void checkSoak(SoakOptions options)
{
    options.program = std::string(BINARY_FOLDER) + "/cornelpond";
    SoakResult const result = runSoak(options);
    UNSCOPED_INFO("seed " << options.seed);
    for (auto const& fault : result.faults)
        UNSCOPED_INFO(fault);
    for (auto const& violation : result.violations)
        UNSCOPED_INFO(violation);
    CHECK(result.violations.empty());
    CHECK(result.acceptedJobs > 0);
}

inline void checkSeed(FaultSet set, uint64_t seed, Duration load)
{
    SoakOptions options;
    options.seed = seed;
    options.faultSet = set;
    options.loadDuration = load;
    checkSoak(options);
}

} // namespace cornelpond
