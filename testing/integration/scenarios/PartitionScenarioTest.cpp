// Eight entry hosts in three data centres under kills, pauses and partitions.

#include "testing/integration/scenarios/ScenarioFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <thread>

using namespace cornelpond;

namespace {

std::vector<std::string> const smallWorkers = { "--workers", "4", "--servers", "0", "--cores", "4", "--memory-mib", "8192", "--accelerators", "1" };

uint64_t versionAt(ScenarioFixture& fixture, std::string const& host)
{
    nlohmann::json const status = fixture.cluster.status(host);
    return status.is_object() ? status["configVersion"].get<uint64_t>() : 0;
}

void waitForVersion(ScenarioFixture& fixture, std::vector<std::string> const& hosts, uint64_t version)
{
    for (auto const& host : hosts)
        waitUntil(host + " to serve configuration version " + std::to_string(version), [&] { return versionAt(fixture, host) >= version; });
}

/// Changes the configuration through one of the hosts; resends until it is accepted.
void changeConfig(ScenarioFixture& fixture, std::vector<std::string> const& hosts, uint64_t expected, std::string const& operation)
{
    nlohmann::json const body = { { "expectedVersion", expected }, { "operationId", operation }, { "author", "scenario" },
        { "document", { { "services", { { "plan", { { "timeoutMs", 1000 + expected } } } } } } } };
    uint64_t accepted = 0;
    waitUntil("the change to be accepted", [&] {
        try {
            accepted = fixture.cluster.callOperatorApi(hosts[fixture.random.below(hosts.size())], "PUT", "/v1/config", body)["version"].get<uint64_t>();
        } catch (Error const& error) {
            if (error.code() == ResultCode::VersionConflict)
                throw std::runtime_error("VersionConflict without a concurrent change");
        }
        return accepted > 0;
    });
    CHECK(accepted == expected + 1);
}

std::vector<std::string> without(std::vector<std::string> hosts, std::string const& one)
{
    hosts.erase(std::remove(hosts.begin(), hosts.end(), one), hosts.end());
    return hosts;
}

/// Injects a random fault into the host and returns its name; removeHostFault undoes it.
std::string injectHostFault(ScenarioFixture& fixture, std::string const& host)
{
    std::vector<std::string> const faults = { "kill", "isolate", "pause" };
    std::string fault = faults[fixture.random.below(faults.size())];
    if (fault == "kill")
        fixture.cluster.host(host).kill();
    else if (fault == "isolate")
        fixture.cluster.isolate(host);
    else
        fixture.cluster.host(host).pause();
    return fault;
}

void removeHostFault(ScenarioFixture& fixture, std::string const& host, std::string const& fault)
{
    if (fault == "kill")
        fixture.cluster.host(host).start();
    else if (fault == "pause")
        fixture.cluster.host(host).resume();
    else
        fixture.cluster.healAll();
}

/// Waits until /health succeeds, so that a load balancer would send callers to the host, and its status lists a backend
/// server.
void waitUntilServing(ScenarioFixture& fixture, std::string const& host)
{
    waitUntil(host + " to be healthy", [&] {
        CallerRequest health;
        health.path = "/health";
        return fixture.cluster.sendRequests(host, std::vector<CallerRequest> { health }).front().status == 200;
    });
    waitUntil(host + " to list a backend server", [&] {
        nlohmann::json const status = fixture.cluster.status(host);
        return status.is_object() && !status["backendServers"].empty();
    });
}

} // namespace

TEST_CASE("a-configuration-reaches-every-host-through-lost-and-isolated-hosts")
{
    ScenarioFixture fixture(threeDataCentreOptions());
    std::vector<std::string> const all = fixture.cluster.allHostNames();
    changeConfig(fixture, all, 0, "first");
    waitForVersion(fixture, all, 1);
    for (uint64_t version = 1; version <= 4; version++) {
        std::string const& struck = all[fixture.random.below(all.size())];
        std::string const fault = injectHostFault(fixture, struck);
        std::vector<std::string> const others = without(all, struck);
        changeConfig(fixture, others, version, "op" + std::to_string(version));
        waitForVersion(fixture, others, version + 1);
        removeHostFault(fixture, struck, fault);
        waitForVersion(fixture, all, version + 1);
    }
    for (auto const& host : all)
        CHECK(fixture.cluster.callOperatorApi(host, "GET", "/v1/config")["document"]["services"]["plan"]["timeoutMs"] == 1004);
}

TEST_CASE("a-cut-off-data-centre-never-reverts-a-configuration")
{
    ScenarioFixture fixture(threeDataCentreOptions());
    std::vector<std::string> const all = fixture.cluster.allHostNames();
    changeConfig(fixture, all, 0, "first");
    waitForVersion(fixture, all, 1);
    fixture.cluster.cutDataCentre("dc3");
    std::vector<std::string> others = fixture.cluster.hostNamesIn("dc1");
    for (auto const& host : fixture.cluster.hostNamesIn("dc2"))
        others.push_back(host);
    changeConfig(fixture, others, 1, "during");
    waitForVersion(fixture, others, 2);
    for (auto const& host : fixture.cluster.hostNamesIn("dc3"))
        CHECK(versionAt(fixture, host) == 1);
    fixture.cluster.healAll();
    waitForVersion(fixture, all, 2);
    for (auto const& host : all)
        CHECK(fixture.cluster.callOperatorApi(host, "GET", "/v1/config")["version"] == 2);
}

TEST_CASE("tasks-under-kills-pauses-and-isolation-of-their-data-centres-hosts")
{
    ScenarioFixture fixture(threeDataCentreOptions());
    fixture.addFleet("dc1", smallWorkers);
    std::vector<std::string> const hosts = fixture.cluster.hostNamesIn("dc1");
    fixture.submitRandomTasks("h3", 4);
    for (int round = 0; round < 4; round++) {
        std::string const& struck = hosts[fixture.random.below(hosts.size())];
        std::string const fault = injectHostFault(fixture, struck);
        std::vector<std::string> const others = without(hosts, struck);
        fixture.submitRandomTasks(others[fixture.random.below(others.size())], 4);
        fixture.sleepUpTo(1500);
        removeHostFault(fixture, struck, fault);
    }
    fixture.waitUntilAllTasksEnded("h1");
    std::vector<RecordEntry> const record = fixture.record();
    CHECK(findOverlaps(record) == noViolations);
    CHECK(findOverCapacity(record) == noViolations);
    CHECK(findUnfinishedTasks(record, fixture.acceptedTasks) == noViolations);
}

TEST_CASE("a-cut-off-data-centre-goes-on-with-its-tasks")
{
    ScenarioFixture fixture(threeDataCentreOptions());
    fixture.addFleet("dc1", smallWorkers);
    fixture.submitRandomTasks("h1", 3);
    fixture.cluster.cutDataCentre("dc1");
    fixture.submitRandomTasks("h2", 6);
    fixture.waitUntilAllTasksEnded("h1");
    fixture.cluster.healAll();
    fixture.submitRandomTasks("h3", 3);
    fixture.waitUntilAllTasksEnded("h2");
    std::vector<RecordEntry> const record = fixture.record();
    CHECK(findOverlaps(record) == noViolations);
    CHECK(findUnfinishedTasks(record, fixture.acceptedTasks) == noViolations);
}

TEST_CASE("a-key-resent-to-other-hosts-through-cut-links-runs-at-most-once")
{
    ScenarioFixture fixture(threeDataCentreOptions());
    ChildProcess& fleet = fixture.addFleet("dc1", { "--workers", "0", "--servers", "2" });
    std::vector<std::string> const hosts = fixture.cluster.hostNamesIn("dc1");
    for (auto const& host : hosts)
        waitUntilServing(fixture, host);
    int answered = 0;
    for (int round = 0; round < 4; round++) {
        fleet.sendCommand("server dc1-s" + std::to_string(fixture.randomBetween(1, 2)) + (fixture.randomBetween(0, 1) ? " slow 300" : " heal"));
        fixture.cluster.cut(hosts[static_cast<size_t>(round) % 3], hosts[static_cast<size_t>(round + 1) % 3]);
        std::vector<CallerRequest> requests(4);
        for (size_t i = 0; i < requests.size(); i++) {
            requests[i].idempotencyKey = "crew-" + std::to_string(round) + "-" + std::to_string(i);
            requests[i].path = "/plan/" + requests[i].idempotencyKey;
            requests[i].isNotRepeatable = true;
            requests[i].deadlineMs = 1500;
            requests[i].clientTimeoutMs = fixture.randomBetween(100, 3000);
        }
        for (auto const& host : hosts) {
            for (auto const& answer : fixture.cluster.sendRequests(host, requests))
                answered += answer.kind == HttpOutcome::Kind::Answered && answer.status == 200 ? 1 : 0;
        }
        fixture.cluster.healAll();
    }
    CHECK(answered > 0);
    CHECK(findRepeatedKeys(fixture.record()) == noViolations);
}

TEST_CASE("slots-hold-when-cut-off-hosts-flood-the-same-servers")
{
    ScenarioFixture fixture(threeDataCentreOptions());
    fixture.addFleet("dc1", { "--workers", "0", "--servers", "2", "--slots", "8", "--service-ms", "300" });
    std::vector<std::string> const hosts = fixture.cluster.hostNamesIn("dc1");
    for (auto const& host : hosts)
        waitUntilServing(fixture, host);
    for (int round = 0; round < 2; round++) {
        if (round)
            fixture.cluster.isolate("h2");
        // Each of the three hosts gets its requests from a thread of its own, so that the floods run concurrently.
        std::vector<std::thread> callers;
        callers.reserve(hosts.size());
        for (auto const& host : hosts) {
            callers.emplace_back([&fixture, host] {
                std::vector<CallerRequest> requests(40);
                for (size_t i = 0; i < requests.size(); i++) {
                    requests[i].path = "/plan/" + host + "-" + std::to_string(i);
                    requests[i].deadlineMs = 2000;
                }
                fixture.cluster.sendRequests(host, requests);
            });
        }
        for (auto& caller : callers)
            caller.join();
    }
    CHECK(findServerOverloads(fixture.record()) == noViolations);
}
