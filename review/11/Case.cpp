// A scheduled submission of one task that may run twice. Its first run is cut off for a while with its executor; the copy ends
// first, and the first run has ended as done too when the executor is back.

#include "review/standin-3/Case.h"

#include <algorithm>
#include <string>

namespace {

using Json = nlohmann::json;

constexpr char const* id = "1100000000000011";
constexpr int64_t cutMs = 2700; ///< Less than the lease, and than the 5.5 s of the site file.
constexpr int64_t firstInMs = 1500;
constexpr int64_t intervalMs = 8000;
constexpr int64_t repetitions = 2;

bool hasDone(review::Case& each, std::string const& task)
{
    auto const runs = each.executors->runsOf(task);
    return std::any_of(runs.begin(), runs.end(), [](auto const& run) { return run.how == "done"; });
}

bool run(review::Case& each)
{
    constexpr int executorCount = 8;
    each.startFleet(each.equalExecutors(executorCount), { { "max-attempts", 3 } });
    each.executors->setNeed(id, 1000);
    int64_t const startAtMs = review::wallMs() + firstInMs;
    Json const step { { "count", 1 }, { "cpu", 1000 }, { "memory-request-mb", 256 }, { "estimated-ms", 700 }, { "allow-duplicates", true } };
    if (each.submit(id, { { "task-spec", "ms=700" }, { "steps", Json::array({ step }) }, { "start-at-ms", startAtMs }, { "interval-ms", intervalMs }, { "repetitions", repetitions } }) != 200)
        throw std::runtime_error("not accepted");
    std::string const first = std::string(id) + ".0.0.0";
    if (!review::Case::waitUntil(firstInMs + 10000, [&] { return each.executors->isRunning(first); }))
        throw std::runtime_error("the first occurrence did not start");
    if (each.hasTrouble) {
        std::string const executor = each.executors->runsOf(first).front().executor;
        review::sleepMs(100);
        each.executors->cut(executor, true);
        review::sleepMs(cutMs);
        each.executors->cut(executor, false);
    }
    constexpr int64_t finishMs = 14 * 1000;
    int64_t const endMs = startAtMs + (repetitions - 1) * intervalMs + finishMs;
    bool hasHeld = true;
    while (review::wallMs() < endMs) {
        review::sleepMs(500);
        bool const areAllDone = hasDone(each, std::string(id) + ".0.0.0") && hasDone(each, std::string(id) + ".1.0.0");
        if (each.state(id) == "completed" && !areAllDone)
            hasHeld = false;
    }
    if (each.executors->runsOf(std::string(id) + ".1.").empty()) {
        each.record.add("case", "the second occurrence has never started");
        hasHeld = false;
    }
    return hasHeld;
}

} // namespace

int main(int argc, char** argv)
{
    return review::runCase(argc, argv, run);
}
