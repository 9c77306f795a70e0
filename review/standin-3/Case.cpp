#include "review/standin-3/Case.h"

#include <cstdlib>
#include <iostream>
#include <stdexcept>

namespace review {

using Json = nlohmann::json;

namespace {

    constexpr char const* queueHost = "q.example";
    constexpr char const* queuePrefix = "/q/";
    constexpr int64_t requesterTimeoutMs = 3000;

    bool isTroubleWanted()
    {
        char const* const value = std::getenv("TROUBLE");
        return !value || std::string(value) != "0";
    }

    std::string twoDigits(int number)
    {
        return (number < 10 ? "0" : "") + std::to_string(number);
    }

} // namespace

Case::Case(Record& record)
    : record(record)
    , hosts(record)
    , hasTrouble(isTroubleWanted())
{
}

ExecutorSpec Case::executor(int number, int64_t cpu, std::string const& kind) const
{
    constexpr int firstNumber = 100;
    constexpr uint16_t port = 8080;
    constexpr int rackSize = 8;
    constexpr int zones = 3;
    ExecutorSpec spec;
    spec.id = "e" + twoDigits(number);
    spec.ip = this->hosts.ip(firstNumber + number);
    spec.port = port;
    spec.cpu = cpu;
    spec.labels = { kind, "r" + std::to_string(number / rackSize) };
    spec.zone = "z" + std::to_string(1 + number % zones);
    return spec;
}

std::vector<ExecutorSpec> Case::equalExecutors(int count) const
{
    constexpr int64_t cpu = 16000;
    std::vector<ExecutorSpec> specs;
    for (int number = 1; number <= count; number++)
        specs.push_back(this->executor(number, cpu, "a"));
    return specs;
}

void Case::startFleet(std::vector<ExecutorSpec> const& specs, Json const& queue)
{
    this->hosts.start();
    Json route { { "name", "queue" }, { "host", queueHost }, { "path-prefix", queuePrefix }, { "kind", "non_idempotent" }, { "timeout-ms", 3000 }, { "target-latency-ms", 1000 }, { "priority", 2 }, { "service", "svc" },
        { "max-attempts", 2 }, { "stretch-factor", 2.0 } };
    route.update(queue);
    Json const service { { "name", "svc" }, { "health-check-path", "/health" }, { "max-connections", 64 }, { "protocol", "h1" }, { "tls", false }, { "enforces-capacity", true }, { "standby", false } };
    this->hosts.replaceConfig({ { "version", 7 }, { "routes", Json::array({ route }) }, { "services", Json::array({ service }) },
        { "limits", { { "max-header-bytes", 16384 }, { "max-body-bytes", 262144 }, { "header-timeout-ms", 3000 }, { "idle-timeout-ms", 15000 } } } });
    this->executors = std::make_unique<Executors>(this->record, this->hosts.controlAddresses(), Bounds());
    for (auto const& spec : specs)
        this->executors->add(spec);
    constexpr int64_t longestMs = 20 * 1000;
    if (!waitUntil(longestMs, [&] { return this->executors->areAllReached(); }))
        throw std::runtime_error("the executors are not in use");
    constexpr int64_t settleMs = 5000;
    sleepMs(settleMs); // All machines are in touch from now on.
}

bool Case::waitUntil(int64_t longestMs, std::function<bool()> const& condition)
{
    constexpr int64_t pauseMs = 10;
    int64_t const deadlineMs = steadyMs() + longestMs;
    while (steadyMs() < deadlineMs) {
        if (condition())
            return true;
        sleepMs(pauseMs);
    }
    return condition();
}

std::optional<HttpAnswer> Case::ask(std::string const& method, std::string const& path, std::string const& body)
{
    std::vector<std::string> const entries = this->hosts.entryAddresses();
    std::string const& entry = entries[this->nextEntry++ % entries.size()];
    auto answered = call(entry, method, path, { { "Host", queueHost }, { "X-Deadline-Ms", std::to_string(requesterTimeoutMs) } }, body, requesterTimeoutMs);
    this->record.add("requester", method + " " + path + ": " + (answered ? std::to_string(answered->status) + " " + answered->body : "no answer"));
    return answered;
}

int Case::submit(std::string const& id, Json const& body)
{
    constexpr int attempts = 5;
    constexpr int lastSuccess = 299;
    for (int attempt = 0; attempt < attempts; attempt++) {
        auto const answered = this->ask("POST", queuePrefix + id, body.dump());
        if (answered && (answered->status <= lastSuccess || answered->status == 404 || answered->status == 400))
            return answered->status;
        sleepMs(500);
    }
    return 0;
}

std::string Case::state(std::string const& id)
{
    auto const answered = this->ask("GET", queuePrefix + id, std::string());
    return answered && answered->status == 200 ? Json::parse(answered->body).value("state", "") : std::string();
}

int runCase(int argc, char const* const* argv, std::function<bool(Case&)> const& run)
{
    constexpr int couldNotRun = 2;
    try {
        Record record(argc > 1 ? argv[1] : "record.txt");
        bool hasHeld = false;
        {
            Case each(record);
            hasHeld = run(each);
            if (!each.hosts.areRunning()) {
                record.add("case", "a host has ended by itself");
                hasHeld = false;
            }
        }
        record.add("case", hasHeld ? "the rule held" : "the rule was broken");
        std::cout << (hasHeld ? "held" : "broken") << std::endl;
        return hasHeld ? 0 : 1;
    } catch (std::exception const& error) {
        std::cout << "could not run: " << error.what() << std::endl;
        return couldNotRun;
    }
}

} // namespace review
