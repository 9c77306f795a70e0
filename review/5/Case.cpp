// A queue's policy allows three executors only, and these carry some work. Once empty executors are added, the leader asks for
// advice on the twelve emptiest ones alone, again and again, and the queue's submissions never start.

#include "review/standin/Case.h"

#include <nlohmann/json.hpp>

#include <set>
#include <thread>

using namespace review;
using Json = nlohmann::json;

namespace {

constexpr int entry = 9;
constexpr int adviceHost = 70;
constexpr size_t firstExecutors = 12;
constexpr size_t addedExecutors = 3; // A quarter more.
constexpr size_t allowedExecutors = 3;
constexpr int64_t servingMilliCores = 2000;
constexpr int64_t taskMilliCores = 1000;
constexpr int64_t decisionMs = 20;
constexpr int64_t periodMs = 2;
constexpr int64_t validityMs = 3000;
constexpr Milliseconds waitTime = Milliseconds(20000);

/// Answers which of the named executors may run the step, after the time that the configuration gives.
Response advise(Request const& request, std::set<std::string> const& allowed, Record& record)
{
    Json const body = Json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return { 400, "{}" };
    std::string const step = body.at("step").get<std::string>();
    std::string named;
    Json good = Json::array();
    for (auto const& worker : body.at("workers")) {
        std::string const id = worker.get<std::string>();
        named += " " + id;
        if (allowed.count(id))
            good.push_back({ id, ticketFor(step, id) });
    }
    record.line("advice on " + step + " for" + named + " -> " + good.dump());
    std::this_thread::sleep_for(Milliseconds(decisionMs + periodMs * static_cast<int64_t>(body.at("workers").size())));
    return { 200, Json { { "good", good }, { "validity-ms", validityMs } }.dump() };
}

std::string configurationWithAdvice()
{
    Json config = Json::parse(configuration(1, { { "plans", "/plans/" }, { "watches", "/watches/" } }));
    config["routes"][0]["advice"] = { { "decision-ms", decisionMs }, { "period-ms", periodMs }, { "validity-ms", validityMs } };
    return config.dump();
}

bool body(Fleet& fleet, Record& record, bool isDisrupted)
{
    std::set<std::string> allowed;
    for (size_t i = 1; i <= allowedExecutors; i++)
        allowed.insert("i-" + std::to_string(i));
    Server const adviceService(fleet.ip(adviceHost), 0, [&](Request const& request) { return advise(request, allowed, record); });
    fleet.setAdvice({ fleet.ip(adviceHost), adviceService.port() });
    fleet.startControls();
    fleet.startEntry(entry);
    auto executors = makeExecutors(fleet, record, firstExecutors + addedExecutors);
    fleet.waitUntilServing();
    fleet.configure(configurationWithAdvice());
    // Tasks that last run on the executors that the policy allows, as only these are there at first.
    for (size_t i = 0; i < allowedExecutors; i++)
        executors[i]->boot();
    std::this_thread::sleep_for(Milliseconds(2000));
    std::string const watch = jobId(1);
    fleet.client(entry, "POST", "/watches/" + watch, jobBody(allowedExecutors, servingMilliCores, 600000, R"({"long-running":true,"anti-affinity":1})"));
    waitFor(Milliseconds(5000), [&] { return record.runsOf(watch).size() == allowedExecutors; });
    for (size_t i = allowedExecutors; i < firstExecutors; i++)
        executors[i]->boot();
    std::this_thread::sleep_for(Milliseconds(2000));
    std::string const before = jobId(2);
    fleet.client(entry, "POST", "/plans/" + before, jobBody(1, taskMilliCores, 1000, "", "ticketed"));
    if (!waitFor(waitTime, [&] { return !record.runsOf(before).empty(); }))
        throw std::runtime_error("the queue isn't served before the disruption either");

    if (isDisrupted) {
        record.line("empty executors are added");
        for (size_t i = firstExecutors; i < executors.size(); i++)
            executors[i]->boot();
    }
    std::this_thread::sleep_for(Milliseconds(3000));
    std::string const job = jobId(3);
    int const status = fleet.client(entry, "POST", "/plans/" + job, jobBody(1, taskMilliCores, 1000, "", "ticketed")).status;
    bool const hasStarted = waitFor(waitTime, [&] { return !record.runsOf(job).empty(); });
    fleet.client(entry, "GET", "/plans/" + job);
    record.line("a submission that was answered with " + std::to_string(status) + (hasStarted ? " has started" : " has not started for 20 s, with 14 of 16 cores free on each executor that the policy allows"));
    return status == 200 && !hasStarted;
}

} // namespace

int main(int argc, char** argv)
{
    return runCase(argc, argv, body);
}
