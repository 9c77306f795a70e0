// Runs scenarios: real processes under injected faults, checked against the record of the stand-ins.
//
//   scenarios --list
//   scenarios --seed 7 --scenario tasks-under-silent-and-dying-workers
//
// Without --scenario, all scenarios run. The seed determines every random size, choice and delay of a scenario.

#define CATCH_CONFIG_RUNNER // NOLINT
#include "testing/integration/scenarios/ScenarioFixture.h"

#include <catch2/catch.hpp>
#include <cxxopts.hpp>
#include <fmt/ranges.h>

int main(int argc, char** argv)
{
    try {
        cxxopts::Options options("scenarios", "run scenarios: real processes under injected faults");
        options.add_options()("seed", "seed of all random choices", cxxopts::value<uint64_t>()->default_value("1"));
        options.add_options()("scenario", "run only this scenario; can be repeated", cxxopts::value<std::vector<std::string>>());
        options.add_options()("list", "print the names of all scenarios");
        options.add_options()("h,help", "show this help");
        cxxopts::ParseResult const arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            fmt::print("{}", options.help());
            return 0;
        }
        cornelpond::setScenarioSeed(arguments["seed"].as<uint64_t>());
        Catch::Session session;
        if (arguments.count("scenario")) {
            // In a Catch2 test spec, a comma means "or"; names without a comma between them would all have to match the same test.
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
