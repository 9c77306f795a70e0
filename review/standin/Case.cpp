#include "review/standin/Case.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <cstdlib>
#include <map>
#include <stdexcept>
#include <thread>

namespace review {

using Json = nlohmann::json;

std::string jobBody(int tasks, int64_t milliCores, int64_t workMs, std::string const& fields, std::string const& furtherSpec)
{
    Json step { { "count", tasks }, { "cpu", milliCores }, { "memory-request-mb", 64 }, { "estimated-ms", workMs } };
    if (!fields.empty())
        step.update(Json::parse(fields));
    return Json { { "task-spec", "ms=" + std::to_string(workMs) + " cpu=" + std::to_string(milliCores) + " " + furtherSpec }, { "steps", { step } } }.dump();
}

std::string jobId(uint64_t number)
{
    constexpr size_t digits = 16;
    char text[digits + 1];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(number)); // NOLINT(cert-err33-c)
    return text;
}

bool waitFor(Milliseconds timeout, std::function<bool()> const& condition)
{
    constexpr Milliseconds pollInterval = Milliseconds(20);
    auto const deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

std::vector<std::unique_ptr<Executor>> makeExecutors(Fleet const& fleet, Record& record, size_t count, int64_t milliCores)
{
    constexpr int executorHost = 60;
    std::vector<std::unique_ptr<Executor>> executors;
    auto const gangs = std::make_shared<GangBoard>();
    for (size_t i = 1; i <= count; i++) {
        ExecutorSetup setup;
        setup.id = "i-" + std::to_string(i);
        setup.ip = fleet.ip(executorHost);
        setup.milliCores = milliCores;
        setup.gangs = gangs;
        executors.push_back(std::make_unique<Executor>(setup, fleet.controls(), record));
    }
    return executors;
}

std::vector<std::string> overlaps(std::vector<Run> const& runs, int64_t nowMs, int64_t slackMs)
{
    std::vector<std::string> found;
    std::map<std::string, std::vector<Run>> byTask;
    for (auto const& run : runs)
        byTask[run.task].push_back(run);
    for (auto const& [task, ofTask] : byTask) {
        for (size_t i = 0; i < ofTask.size(); i++) {
            for (size_t j = i + 1; j < ofTask.size(); j++) {
                auto const endOf = [&](Run const& run) { return run.endedMs < 0 ? nowMs : run.endedMs; };
                int64_t const from = std::max(ofTask[i].startedMs, ofTask[j].startedMs);
                int64_t const until = std::min(endOf(ofTask[i]), endOf(ofTask[j]));
                if (until - from > slackMs) {
                    found.push_back(task + ": run " + std::to_string(ofTask[i].number) + " on " + ofTask[i].executor + " and run " + std::to_string(ofTask[j].number) + " on " + ofTask[j].executor + " at once for "
                        + std::to_string(until - from) + " ms");
                }
            }
        }
    }
    return found;
}

int runCase(int argc, char** argv, CaseBody const& body)
{
    constexpr int cannotRun = 2;
    if (argc != 3) {
        std::fprintf(stderr, "usage: %s PROGRAM RECORD\n", argv[0]); // NOLINT(cert-err33-c)
        return cannotRun;
    }
    char const* trouble = std::getenv("TROUBLE");
    bool const isDisrupted = !trouble || std::string(trouble) != "0";
    Record record(argv[2]);
    try {
        record.line(isDisrupted ? "with the disruption" : "without the disruption");
        Fleet fleet(argv[1], record);
        bool const isBroken = body(fleet, record, isDisrupted);
        record.line(isBroken ? "the rule was broken" : "the rule held");
        return isBroken ? 1 : 0;
    } catch (std::exception const& error) {
        record.line(std::string("the case could not run: ") + error.what());
        return cannotRun;
    }
}

} // namespace review
