// Runs a short soak with a fixed seed, and again all seeds that failed before. testing/soak/main.cpp does longer
// runs.

#include "testing/integration/FleetProcesses.h"
#include "testing/soak/FaultPlan.h"
#include "testing/soak/SoakCheck.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <sys/resource.h>
#include <unistd.h>

using namespace cornelpond;

TEST_CASE("a fault plan is the same for the same seed and disrupts one control host at a time")
{
    FaultSet const set = GENERATE(FaultSet::General, FaultSet::Outages, FaultSet::Cancels, FaultSet::Restarts, FaultSet::SilentRestarts);
    std::vector<FaultStep> const steps = drawFaults(set, 5, Duration::seconds(60));
    std::vector<FaultStep> const again = drawFaults(set, 5, Duration::seconds(60));
    REQUIRE(steps.size() == again.size());
    Duration recoveredAt;
    for (size_t i = 0; i < steps.size(); i++) {
        CHECK(steps[i].kind == again[i].kind);
        CHECK(steps[i].startOffset == again[i].startOffset);
        if (!disruptsControlHost(steps[i].kind))
            continue;
        CHECK(steps[i].startOffset >= recoveredAt);
        recoveredAt = steps[i].startOffset + steps[i].duration;
    }
}

TEST_CASE("soak: promises hold under a short series of faults")
{
    checkSeed(FaultSet::General, 20261204, Duration::seconds(8));
}

// In all three the fake fleet read the key of an attempt after freeing it when the attempt's lease expired, and
// then listed a task id that was not text.
TEST_CASE("soak: seeds that failed before")
{
    constexpr Duration load = Duration::seconds(12);
    for (uint64_t seed : { 3, 15, 42 })
        checkSeed(FaultSet::General, seed, load);
}

TEST_CASE("a host outlives a write beyond its file size limit, and its log goes on when the limit is lifted")
{
    FleetProcesses fleet(std::string(BINARY_FOLDER) + "/cornelpond");
    fleet.startControlHost(1, true);
    ChildProcess& host = fleet.process(1);
    host.waitForOutput("HostStarted");
    rlimit const none { 0, RLIM_INFINITY };
    rlimit const unlimited { RLIM_INFINITY, RLIM_INFINITY };
    REQUIRE(prlimit(host.pid(), RLIMIT_FSIZE, &none, nullptr) == 0);
    host.sendSignal(SIGHUP); // Brings about a log line.
    usleep(500000);
    REQUIRE_FALSE(host.hasExited());
    REQUIRE(prlimit(host.pid(), RLIMIT_FSIZE, &unlimited, nullptr) == 0);
    host.waitForOutput("SettingsReloaded");
}
