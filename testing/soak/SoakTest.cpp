// A short soak with fixed seeds, and every seed that ever failed. Longer runs: testing/soak/main.cpp.

#include "testing/soak/Soak.h"
#include "testing/soak/FaultPlan.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

void checkSeed(uint64_t seed, Duration load)
{
    SoakOptions options;
    options.program = std::string(BINARY_FOLDER) + "/cornelpond";
    options.seed = seed;
    options.loadDuration = load;
    SoakResult const result = runSoak(options);
    for (auto const& fault : result.faults)
        UNSCOPED_INFO(fault);
    for (auto const& violation : result.violations)
        UNSCOPED_INFO(violation);
    CHECK(result.violations.empty());
    CHECK(result.acceptedJobs > 0);
}

} // namespace

TEST_CASE("a plan of faults is the same for the same seed, and takes one control host at a time")
{
    std::vector<FaultStep> const steps = drawFaults(5, Duration::seconds(60));
    std::vector<FaultStep> const again = drawFaults(5, Duration::seconds(60));
    REQUIRE(steps.size() == again.size());
    Duration back;
    for (size_t i = 0; i < steps.size(); i++) {
        CHECK(steps[i].kind == again[i].kind);
        CHECK(steps[i].startOffset == again[i].startOffset);
        if (!disruptsControlHost(steps[i].kind))
            continue;
        CHECK(steps[i].startOffset >= back);
        back = steps[i].startOffset + steps[i].duration;
    }
}

TEST_CASE("soak: promises hold under a short series of faults")
{
    checkSeed(20261204, Duration::seconds(8));
}

// Seeds that failed once. In all three the fake fleet read the name of a run after it was freed, when the run's
// lease lapsed, and listed a task that was no text.
TEST_CASE("soak: seeds that failed before")
{
    constexpr Duration load = Duration::seconds(12);
    for (uint64_t seed : { 3, 15, 42 })
        checkSeed(seed, load);
}
