// Eight entry hosts in three data centres: kills, pauses, partitions and lost disks between them.

#include "testing/integration/scenarios/ScenarioFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <thread>

using namespace cornelpond;

namespace {

std::vector<std::string> const smallWorkers = { "--workers", "4", "--servers", "0", "--cores", "4", "--memory-mib", "8192", "--accelerators", "1" };

uint64_t versionAt(ScenarioFixture& site, std::string const& host)
{
    nlohmann::json const status = site.cluster.status(host);
    return status.is_object() ? status["configVersion"].get<uint64_t>() : 0;
}

void waitForVersion(ScenarioFixture& site, std::vector<std::string> const& hosts, uint64_t version)
{
    for (auto const& host : hosts)
        waitUntil(host + " to serve by version " + std::to_string(version), [&] { return versionAt(site, host) >= version; });
}

/// Changes the configuration through one of the hosts; resends until it is accepted.
void changeConfig(ScenarioFixture& site, std::vector<std::string> const& hosts, uint64_t expected, std::string const& operation)
{
    nlohmann::json const body = { { "expectedVersion", expected }, { "operationId", operation }, { "author", "scenario" },
        { "document", { { "services", { { "plan", { { "timeoutMs", 1000 + expected } } } } } } } };
    uint64_t accepted = 0;
    waitUntil("the change to be accepted", [&] {
        try {
            accepted = site.cluster.callOperatorApi(hosts[site.random.below(hosts.size())], "PUT", "/v1/config", body)["version"].get<uint64_t>();
        } catch (Error const& error) {
            if (error.code() == ResultCode::VersionConflict)
                throw std::runtime_error("the change lost against none");
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

/// Brings one fault on the host; `mend` undoes it.
std::string strikeHost(ScenarioFixture& site, std::string const& host)
{
    std::vector<std::string> const faults = { "kill", "isolate", "pause" };
    std::string fault = faults[site.random.below(faults.size())];
    if (fault == "kill")
        site.cluster.host(host).kill();
    else if (fault == "isolate")
        site.cluster.isolate(host);
    else
        site.cluster.host(host).pause();
    return fault;
}

void mendHost(ScenarioFixture& site, std::string const& host, std::string const& fault)
{
    if (fault == "kill")
        site.cluster.host(host).start();
    else if (fault == "pause")
        site.cluster.host(host).resume();
    else
        site.cluster.healAll();
}

/// Waits until the balancer would send callers to the host and it knows a backend server.
void waitUntilServing(ScenarioFixture& site, std::string const& host)
{
    waitUntil(host + " to be healthy", [&] {
        CallerRequest health;
        health.path = "/health";
        return site.cluster.sendRequests(host, std::vector<CallerRequest> { health }).front().status == 200;
    });
    waitUntil(host + " to know a backend server", [&] {
        nlohmann::json const status = site.cluster.status(host);
        return status.is_object() && !status["backendServers"].empty();
    });
}

} // namespace

TEST_CASE("a-configuration-reaches-every-host-through-lost-and-isolated-hosts")
{
    ScenarioFixture site(threeDataCentreOptions());
    std::vector<std::string> const all = site.cluster.allHostNames();
    changeConfig(site, all, 0, "first");
    waitForVersion(site, all, 1);
    for (uint64_t version = 1; version <= 4; version++) {
        std::string const& struck = all[site.random.below(all.size())];
        std::string const fault = strikeHost(site, struck);
        std::vector<std::string> const others = without(all, struck);
        changeConfig(site, others, version, "op" + std::to_string(version));
        waitForVersion(site, others, version + 1);
        mendHost(site, struck, fault);
        waitForVersion(site, all, version + 1);
    }
    for (auto const& host : all)
        CHECK(site.cluster.callOperatorApi(host, "GET", "/v1/config")["document"]["services"]["plan"]["timeoutMs"] == 1004);
}

TEST_CASE("a-cut-off-data-centre-never-reverts-a-configuration")
{
    ScenarioFixture site(threeDataCentreOptions());
    std::vector<std::string> const all = site.cluster.allHostNames();
    changeConfig(site, all, 0, "first");
    waitForVersion(site, all, 1);
    site.cluster.cutDataCentre("dc3");
    std::vector<std::string> others = site.cluster.hostNamesIn("dc1");
    for (auto const& host : site.cluster.hostNamesIn("dc2"))
        others.push_back(host);
    changeConfig(site, others, 1, "during");
    waitForVersion(site, others, 2);
    for (auto const& host : site.cluster.hostNamesIn("dc3"))
        CHECK(versionAt(site, host) == 1);
    site.cluster.healAll();
    waitForVersion(site, all, 2);
    for (auto const& host : all)
        CHECK(site.cluster.callOperatorApi(host, "GET", "/v1/config")["version"] == 2);
}

TEST_CASE("tasks-under-kills-pauses-and-isolation-of-their-data-centres-hosts")
{
    ScenarioFixture site(threeDataCentreOptions());
    site.addFleet("dc1", smallWorkers);
    std::vector<std::string> const hosts = site.cluster.hostNamesIn("dc1");
    site.submitRandomTasks("h3", 4);
    for (int round = 0; round < 4; round++) {
        std::string const& struck = hosts[site.random.below(hosts.size())];
        std::string const fault = strikeHost(site, struck);
        std::vector<std::string> const others = without(hosts, struck);
        site.submitRandomTasks(others[site.random.below(others.size())], 4);
        site.sleepUpTo(1500);
        mendHost(site, struck, fault);
    }
    site.waitUntilAllTasksEnded("h1");
    std::vector<RecordEntry> const record = site.record();
    CHECK(findOverlaps(record) == noViolations);
    CHECK(findOverCapacity(record) == noViolations);
    CHECK(findUnfinishedTasks(record, site.acceptedTasks) == noViolations);
}

TEST_CASE("a-cut-off-data-centre-goes-on-with-its-tasks")
{
    ScenarioFixture site(threeDataCentreOptions());
    site.addFleet("dc1", smallWorkers);
    site.submitRandomTasks("h1", 3);
    site.cluster.cutDataCentre("dc1");
    site.submitRandomTasks("h2", 6);
    site.waitUntilAllTasksEnded("h1");
    site.cluster.healAll();
    site.submitRandomTasks("h3", 3);
    site.waitUntilAllTasksEnded("h2");
    std::vector<RecordEntry> const record = site.record();
    CHECK(findOverlaps(record) == noViolations);
    CHECK(findUnfinishedTasks(record, site.acceptedTasks) == noViolations);
}

TEST_CASE("a-key-resent-to-other-hosts-through-cut-links-runs-at-most-once")
{
    ScenarioFixture site(threeDataCentreOptions());
    ChildProcess& fleet = site.addFleet("dc1", { "--workers", "0", "--servers", "2" });
    std::vector<std::string> const hosts = site.cluster.hostNamesIn("dc1");
    for (auto const& host : hosts)
        waitUntilServing(site, host);
    int answered = 0;
    for (int round = 0; round < 4; round++) {
        fleet.sendCommand("server dc1-s" + std::to_string(site.randomBetween(1, 2)) + (site.randomBetween(0, 1) ? " slow 300" : " heal"));
        site.cluster.cut(hosts[static_cast<size_t>(round) % 3], hosts[static_cast<size_t>(round + 1) % 3]);
        std::vector<CallerRequest> requests(4);
        for (size_t i = 0; i < requests.size(); i++) {
            requests[i].idempotencyKey = "crew-" + std::to_string(round) + "-" + std::to_string(i);
            requests[i].path = "/plan/" + requests[i].idempotencyKey;
            requests[i].isNotRepeatable = true;
            requests[i].deadlineMs = 1500;
            requests[i].clientTimeoutMs = site.randomBetween(100, 3000);
        }
        for (auto const& host : hosts) {
            for (auto const& answer : site.cluster.sendRequests(host, requests))
                answered += answer.kind == HttpOutcome::Kind::Answered && answer.status == 200 ? 1 : 0;
        }
        site.cluster.healAll();
    }
    CHECK(answered > 0);
    CHECK(findRepeatedKeys(site.record()) == noViolations);
}

TEST_CASE("slots-hold-when-cut-off-hosts-flood-the-same-servers")
{
    ScenarioFixture site(threeDataCentreOptions());
    site.addFleet("dc1", { "--workers", "0", "--servers", "2", "--slots", "8", "--service-ms", "300" });
    std::vector<std::string> const hosts = site.cluster.hostNamesIn("dc1");
    for (auto const& host : hosts)
        waitUntilServing(site, host);
    for (int round = 0; round < 2; round++) {
        if (round)
            site.cluster.isolate("h2");
        // The three floods run at the same time, each from its own thread.
        std::vector<std::thread> callers;
        callers.reserve(hosts.size());
        for (auto const& host : hosts) {
            callers.emplace_back([&site, host] {
                std::vector<CallerRequest> requests(40);
                for (size_t i = 0; i < requests.size(); i++) {
                    requests[i].path = "/plan/" + host + "-" + std::to_string(i);
                    requests[i].deadlineMs = 2000;
                }
                site.cluster.sendRequests(host, requests);
            });
        }
        for (auto& caller : callers)
            caller.join();
    }
    CHECK(findServerOverloads(site.record()) == noViolations);
}
