// Command line tool that does soak runs for a range of seeds, one after the other.
//
//   build/bin/soak --program build/bin/cornelpond --first 1 --count 50
//
// Exits with 1 if a run had violations. Prints the faults and violations of each such run; `--logs` keeps its logs.

#include "testing/soak/Soak.h"

#include "cornelpond/core/base/ResultCode.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <exception>

using namespace cornelpond;

namespace {

/// The value below which `percent` of the ascending values are.
Duration percentile(std::vector<Duration> const& ascending, size_t percent)
{
    constexpr size_t all = 100;
    return ascending.empty() ? Duration() : ascending[(ascending.size() - 1) * percent / all];
}

void printCancels(CancelSummary const& cancels)
{
    fmt::print("  {} cancels, {} of running jobs that last; judged: {} acknowledgements, {} for runs, of which {} of jobs that last; stopped within {:.2f} s (p50), {:.2f} s (p99), {:.2f} s (all), {:.2f} s in calm (job {})\n", cancels.cancels, cancels.lasting,
        cancels.judgedAcknowledgements, cancels.judgedRuns, cancels.lastingJudgedRuns, percentile(cancels.stopTimes, 50).toSeconds(), percentile(cancels.stopTimes, 99).toSeconds(), percentile(cancels.stopTimes, 100).toSeconds(), cancels.longestCalmRun.toSeconds(), cancels.longestCalmRunJob.value());
}

bool runSeed(SoakOptions const& options)
{
    SoakResult const result = runSoak(options);
    fmt::print("seed {}: {} faults, {} jobs accepted, {} refused, {} starts, configuration {}: {}\n", options.seed, result.faults.size(), result.acceptedJobs, result.refusedJobs, result.starts,
        result.acknowledgedVersion, result.violations.empty() ? "ok" : "BROKEN");
    printCancels(result.cancels);
    fmt::print("  the harness stood still for at most {} ms, the system held up hosts for {:.1f} s in all\n", result.longestStandstill.toMilliseconds(), result.timeHeldUp.toSeconds());
    if (!result.violations.empty()) {
        for (auto const& fault : result.faults)
            fmt::print("  {}\n", fault);
        for (auto const& violation : result.violations)
            fmt::print("  ! {}\n", violation);
    }
    std::fflush(stdout);
    return result.violations.empty();
}

FaultSet faultSetFromName(std::string const& name)
{
    if (name == "general")
        return FaultSet::General;
    if (name == "outages")
        return FaultSet::Outages;
    if (name == "cancels")
        return FaultSet::Cancels;
    if (name == "cancelled-runs")
        return FaultSet::CancelledRuns;
    if (name == "none")
        return FaultSet::None;
    if (name == "dead-ways")
        return FaultSet::DeadWays;
    if (name == "dead-relay")
        return FaultSet::DeadRelay;
    if (name == "restarts")
        return FaultSet::Restarts;
    if (name == "silent-restarts")
        return FaultSet::SilentRestarts;
    if (name == "evacuations")
        return FaultSet::Evacuations;
    throw Error(ResultCode::BadArgument, "--faults is general, outages, cancels, cancelled-runs, restarts, silent-restarts, evacuations, dead-ways, dead-relay or none, not " + name);
}

ConnectionsOverRestart connectionsFromName(std::string const& name)
{
    if (name == "drawn")
        return ConnectionsOverRestart::Drawn;
    if (name == "closed")
        return ConnectionsOverRestart::Closed;
    if (name == "kept")
        return ConnectionsOverRestart::Kept;
    throw Error(ResultCode::BadArgument, "--over-restart is drawn, closed or kept, not " + name);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        cxxopts::Options description("soak", "Runs a fleet of real processes under faults drawn from seeds.");
        description.add_options()("program", "the cornelpond binary", cxxopts::value<std::string>())("first", "first seed", cxxopts::value<uint64_t>()->default_value("1"))(
            "count", "seeds to run", cxxopts::value<uint64_t>()->default_value("1"))("seconds", "duration of load and faults of each run, in seconds", cxxopts::value<int64_t>()->default_value("20"))(
            "faults", "general, outages, cancels, cancelled-runs, restarts, silent-restarts, evacuations, dead-ways, dead-relay or none", cxxopts::value<std::string>()->default_value("general"))("workers", "simulated workers", cxxopts::value<size_t>()->default_value("6"))(
            "controls", "control hosts", cxxopts::value<int>()->default_value("3"))("entries", "entry hosts", cxxopts::value<int>()->default_value("2"))("connections", "connections that each worker keeps open", cxxopts::value<size_t>()->default_value("64"))("over-restart", "connections to workers that restart silently: drawn, closed or kept", cxxopts::value<std::string>()->default_value("drawn"))("late-orders", "a share of the orders to workers is carried out late, by whichever process is up then")("logs", "folder for the logs of runs with violations", cxxopts::value<std::string>()->default_value(""))("all-logs", "keep the logs of all runs")("verbose", "print each fault when it is injected");
        auto const given = description.parse(argc, argv);
        SoakOptions options;
        options.program = given["program"].as<std::string>();
        options.loadDuration = Duration::seconds(given["seconds"].as<int64_t>());
        options.workerCount = given["workers"].as<size_t>();
        options.controlHostCount = given["controls"].as<int>();
        options.entryHostCount = given["entries"].as<int>();
        options.workerConnectionLimit = given["connections"].as<size_t>();
        options.faultSet = faultSetFromName(given["faults"].as<std::string>());
        options.connections = connectionsFromName(given["over-restart"].as<std::string>());
        options.hasLateOrders = given.count("late-orders");
        options.logFolder = given["logs"].as<std::string>();
        options.keepsAllLogs = given.count("all-logs");
        options.isVerbose = given.count("verbose");
        auto const first = given["first"].as<uint64_t>();
        bool hasNoViolations = true;
        for (uint64_t seed = first; seed < first + given["count"].as<uint64_t>(); seed++) {
            options.seed = seed;
            hasNoViolations = runSeed(options) && hasNoViolations;
        }
        return hasNoViolations ? 0 : 1;
    } catch (std::exception const& error) {
        fmt::print(stderr, "soak: {}\n", error.what());
        return 2;
    }
}
