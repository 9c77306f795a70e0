// Soak runs by hand: a range of seeds, one after the other.
//
//   build/bin/soak --program build/bin/cornelpond --first 1 --count 50
//
// Exits with 1 when a seed broke a promise; its faults, violations and logs are kept.

#include "testing/soak/Soak.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <exception>

using namespace cornelpond;

namespace {

bool runSeed(SoakOptions const& options)
{
    SoakResult const result = runSoak(options);
    fmt::print("seed {}: {} faults, {} jobs accepted, {} refused, {} starts, configuration {}: {}\n", options.seed, result.faults.size(), result.acceptedJobs, result.refusedJobs, result.starts,
        result.acknowledgedVersion, result.violations.empty() ? "ok" : "BROKEN");
    if (!result.violations.empty()) {
        for (auto const& fault : result.faults)
            fmt::print("  {}\n", fault);
        for (auto const& violation : result.violations)
            fmt::print("  ! {}\n", violation);
    }
    std::fflush(stdout);
    return result.violations.empty();
}

} // namespace

int main(int argc, char** argv)
{
    try {
        cxxopts::Options description("soak", "Runs a fleet of real processes under faults drawn from seeds.");
        description.add_options()("program", "the cornelpond binary", cxxopts::value<std::string>())("first", "first seed", cxxopts::value<uint64_t>()->default_value("1"))(
            "count", "seeds to run", cxxopts::value<uint64_t>()->default_value("1"))("seconds", "load and faults of each run", cxxopts::value<int64_t>()->default_value("20"))(
            "logs", "where logs of broken runs are kept", cxxopts::value<std::string>()->default_value(""))("verbose", "print each fault");
        auto const given = description.parse(argc, argv);
        SoakOptions options;
        options.program = given["program"].as<std::string>();
        options.loadDuration = Duration::seconds(given["seconds"].as<int64_t>());
        options.logFolder = given["logs"].as<std::string>();
        options.isVerbose = given.count("verbose");
        auto const first = given["first"].as<uint64_t>();
        bool isSound = true;
        for (uint64_t seed = first; seed < first + given["count"].as<uint64_t>(); seed++) {
            options.seed = seed;
            isSound = runSeed(options) && isSound;
        }
        return isSound ? 0 : 1;
    } catch (std::exception const& error) {
        fmt::print(stderr, "soak: {}\n", error.what());
        return 2;
    }
}
