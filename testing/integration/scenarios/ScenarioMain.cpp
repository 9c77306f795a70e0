// Runs scenarios: real processes under faults, checked by the stand-ins' own record.
//
//   scenarios --list
//   scenarios --seed 7 --scenario capacity-under-silent-workers
//
// Without --scenario all run. The seed decides every size, choice and moment that the scenario draws.

#define CATCH_CONFIG_RUNNER // NOLINT
#include "testing/integration/scenarios/ScenarioFixture.h"

#include <catch2/catch.hpp>
#include <cxxopts.hpp>
#include <fmt/ranges.h>

int main(int argc, char** argv)
{
    try {
        cxxopts::Options options("scenarios", "real processes under faults");
        options.add_options()("seed", "decides all that is random", cxxopts::value<uint64_t>()->default_value("1"));
        options.add_options()("scenario", "only this one; may be given again", cxxopts::value<std::vector<std::string>>());
        options.add_options()("list", "print the names");
        options.add_options()("h,help", "show this help");
        cxxopts::ParseResult const arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            fmt::print("{}", options.help());
            return 0;
        }
        cornelpond::setScenarioSeed(arguments["seed"].as<uint64_t>());
        Catch::Session session;
        if (arguments.count("scenario")) {
            // Catch2 takes a comma for "or"; names in a row would have to match all at once.
            std::string const names = fmt::format("{}", fmt::join(arguments["scenario"].as<std::vector<std::string>>(), ","));
            session.configData().testsOrTags = { names };
        }
        session.configData().listTestNamesOnly = arguments.count("list") > 0;
        // A misspelt name must not pass as a run without failures.
        session.configData().warnings = Catch::WarnAbout::NoTests;
        int const failures = session.run();
        if (arguments.count("list"))
            return 0;
        fmt::print("seed {}\n", cornelpond::scenarioSeed());
        return failures ? 1 : 0;
    } catch (std::exception const& error) {
        fmt::print(stderr, "scenarios: {}\n", error.what());
        return 2;
    }
}
