// Tests a cluster of eight entry hosts in three data centres: configuration changes, leader changes, partitions,
// silent connections and replaced hosts.

#include "testing/integration/Cluster.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace cornelpond;

namespace {

/// h1 to h3 in dc1, h4 to h6 in dc2, h7 and h8 in dc3. Each host of dc1 has a disk; in dc2 only h4, in dc3 only h7.
std::vector<HostDescription> hostsWithFewDisks()
{
    return { { "h1", "dc1", true }, { "h2", "dc1", true }, { "h3", "dc1", true }, { "h4", "dc2", true }, { "h5", "dc2", false }, { "h6", "dc2", false }, { "h7", "dc3", true },
        { "h8", "dc3", false } };
}

class HostsFixture {
public:
    explicit HostsFixture(nlohmann::json const& patch = nlohmann::json::object())
        : cluster(BINARY_FOLDER, { hostsWithFewDisks(), 7, patch })
    {
        this->cluster.startAll();
        for (auto const& host : this->cluster.allHostNames())
            this->waitForLeader(host, "config");
    }

    /// Returns the leader of `group` that `host` reports; empty when it knows none or its status call fails.
    std::string leaderOf(std::string const& group, std::string const& host)
    {
        nlohmann::json const status = this->cluster.status(host);
        if (status.is_null())
            return std::string();
        for (auto const& each : status["groups"]) {
            if (each["group"] == group)
                return each["leader"].get<std::string>();
        }
        return std::string();
    }

    /// Waits until `host` reports a leader of `group` other than `previousLeader` and returns it.
    std::string waitForLeader(std::string const& host, std::string const& group, std::string const& previousLeader = std::string())
    {
        std::string leader;
        waitUntil("a leader of " + group + " at " + host, [&] {
            leader = this->leaderOf(group, host);
            return !leader.empty() && leader != previousLeader;
        });
        return leader;
    }

    /// Returns the configuration version in force at `host`; 0 when its status call fails.
    uint64_t versionAt(std::string const& host)
    {
        nlohmann::json const status = this->cluster.status(host);
        return status.is_null() ? 0 : status["configVersion"].get<uint64_t>();
    }

    /// Waits until each of `hosts` has at least configuration version `version`.
    void waitForVersion(std::vector<std::string> const& hosts, uint64_t version)
    {
        for (auto const& host : hosts)
            waitUntil("version " + std::to_string(version) + " at " + host, [&] { return this->versionAt(host) >= version; });
    }

    /// Changes the configuration through `host`; returns 0, or the ResultCode of the refusal.
    int changeConfig(std::string const& host, uint64_t expectedVersion, std::string const& operationId, int timeoutMs = 100)
    {
        nlohmann::json const document = { { "services", { { "plan", { { "timeoutMs", timeoutMs } } } } } };
        try {
            this->cluster.callOperatorApi(host, "PUT", "/v1/config", { { "expectedVersion", expectedVersion }, { "operationId", operationId }, { "author", "ana" }, { "document", document } });
            return 0;
        } catch (Error const& error) {
            return static_cast<int>(error.code());
        }
    }

    /// Waits until `host` reports the task as finished; on a timeout, fails with its last answer and the logs of dc2.
    void waitForTask(std::string const& host, std::string const& task)
    {
        std::string lastAnswer;
        try {
            waitUntil(task + " to finish", [&] {
                nlohmann::json const answer = this->cluster.callOperatorApi(host, "GET", "/v1/tasks/" + task);
                lastAnswer = answer.dump();
                return answer["state"] == "finished";
            });
        } catch (std::exception const& error) {
            std::string logs;
            for (auto const& each : this->cluster.hostNamesIn("dc2"))
                logs += this->cluster.host(each).log() + this->cluster.status(each).dump() + "\n";
            FAIL(error.what() << ": " << lastAnswer << "\n"
                              << logs);
        }
    }

    Cluster cluster;
};

CallerRequest getRequest(std::string const& path)
{
    CallerRequest request;
    request.path = path;
    return request;
}

constexpr int versionConflict = static_cast<int>(ResultCode::VersionConflict);
constexpr int noQuorum = static_cast<int>(ResultCode::NoQuorum);

} // namespace

TEST_CASE("a configuration accepted at any host is in force at every host, and one of two racing changes wins")
{
    HostsFixture fixture;
    CHECK(fixture.changeConfig("h8", 0, "op1") == 0);
    fixture.waitForVersion(fixture.cluster.allHostNames(), 1);
    CHECK(fixture.changeConfig("h5", 0, "op1") == 0);
    CHECK(fixture.changeConfig("h3", 0, "op2") == versionConflict);
    CHECK(fixture.changeConfig("h3", 1, "op3", 200) == 0);
    fixture.waitForVersion(fixture.cluster.allHostNames(), 2);
    for (auto const& host : fixture.cluster.allHostNames()) {
        CHECK(fixture.cluster.callOperatorApi(host, "GET", "/v1/config?version=1")["document"]["services"]["plan"]["timeoutMs"] == 100);
        CHECK(fixture.cluster.callOperatorApi(host, "GET", "/v1/config/history")["versions"].size() == 3);
    }
}

TEST_CASE("after kill -9 of the configuration's leader another host leads and nothing accepted is lost")
{
    HostsFixture fixture;
    REQUIRE(fixture.changeConfig("h2", 0, "op1") == 0);
    std::string const oldLeader = fixture.waitForLeader("h5", "config");
    fixture.cluster.host(oldLeader).kill();
    std::string const otherHost = oldLeader == "h5" ? "h6" : "h5";
    std::string const newLeader = fixture.waitForLeader(otherHost, "config", oldLeader);
    CHECK(newLeader != oldLeader);
    CHECK(fixture.changeConfig(otherHost, 1, "op2", 200) == 0);
    fixture.cluster.host(oldLeader).start();
    fixture.waitForVersion(fixture.cluster.allHostNames(), 2);
    CHECK(fixture.changeConfig(oldLeader, 1, "op3") == versionConflict);
}

TEST_CASE("a data centre that is cut off keeps serving its last configuration, refuses changes and never reverts")
{
    HostsFixture fixture;
    REQUIRE(fixture.changeConfig("h7", 0, "op1") == 0);
    fixture.waitForVersion(fixture.cluster.allHostNames(), 1);
    fixture.cluster.cutDataCentre("dc3");
    waitUntil("dc3 to refuse the change without a majority", [&] { return fixture.changeConfig("h8", 1, "op-cut") == noQuorum; });
    CHECK(fixture.cluster.callOperatorApi("h8", "GET", "/v1/config")["version"] == 1);
    waitUntil("the majority to accept", [&] { return fixture.changeConfig("h5", 1, "op2", 200) == 0; });
    fixture.cluster.host("h7").kill();
    fixture.cluster.host("h7").start();
    fixture.cluster.host("h8").kill();
    fixture.cluster.host("h8").start();
    fixture.waitForVersion({ "h7", "h8" }, 1);
    CHECK(fixture.versionAt("h7") == 1);
    fixture.cluster.healAll();
    fixture.waitForVersion({ "h7", "h8" }, 2);
    int result = noQuorum;
    waitUntil("h7 to reach a majority", [&] {
        result = fixture.changeConfig("h7", 1, "op-late");
        return result != noQuorum;
    });
    CHECK(result == versionConflict);
    CHECK(fixture.changeConfig("h7", 2, "op3", 300) == 0);
}

TEST_CASE("with all messages from dc2 to dc1 lost, dc1 accepts a configuration change, and every host has it after the heal")
{
    HostsFixture fixture;
    std::string const leader = fixture.waitForLeader("h1", "config");
    for (auto const& host : fixture.cluster.hostNamesIn("dc2"))
        for (auto const& other : fixture.cluster.hostNamesIn("dc1"))
            fixture.cluster.cutOneWay(host, other);
    waitUntil("a change in dc1", [&] { return fixture.changeConfig("h2", 0, "op1") == 0; });
    fixture.waitForVersion(fixture.cluster.hostNamesIn("dc1"), 1);
    fixture.cluster.healAll();
    fixture.waitForVersion(fixture.cluster.allHostNames(), 1);
}

TEST_CASE("open connections that go silent are replaced and changes continue")
{
    HostsFixture fixture;
    for (auto const& a : fixture.cluster.allHostNames())
        for (auto const& b : fixture.cluster.allHostNames())
            if (a < b)
                fixture.cluster.silenceOpenConnections(a, b);
    waitUntil("a change over new connections", [&] { return fixture.changeConfig("h8", 0, "op1") == 0; });
    fixture.waitForVersion(fixture.cluster.allHostNames(), 1);
}

TEST_CASE("a host without a disk refuses requests until a peer has sent it the configuration")
{
    HostsFixture fixture;
    REQUIRE(fixture.changeConfig("h1", 0, "op1") == 0);
    fixture.waitForVersion(fixture.cluster.allHostNames(), 1);
    fixture.cluster.host("h8").kill();
    fixture.cluster.isolate("h8");
    fixture.cluster.host("h8").start();
    CallerResponse const refused = fixture.cluster.sendRequest("h8", getRequest("/plan/due"));
    CHECK(refused.body.find("ConfigurationMissing") != std::string::npos);
    CHECK(refused.isReportedNotRun());
    CHECK(fixture.cluster.sendRequest("h8", getRequest("/health")).status == 503);
    fixture.cluster.healAll();
    fixture.waitForVersion({ "h8" }, 1);
    CHECK(fixture.cluster.sendRequest("h8", getRequest("/health")).status == 200);
}

TEST_CASE("a host that shuts down gracefully hands its leaderships over first")
{
    HostsFixture fixture;
    std::string const leader = fixture.waitForLeader("h1", "config");
    fixture.cluster.host(leader).sendTerminationSignal();
    CHECK(fixture.cluster.host(leader).waitForExit() == 0);
    std::string const otherHost = leader == "h1" ? "h2" : "h1";
    CHECK(fixture.waitForLeader(otherHost, "config", leader) != leader);
    CHECK(fixture.cluster.host(leader).log().find("LeaderLost") != std::string::npos);
    fixture.cluster.host(otherHost).waitForLog("to=gone");
}

TEST_CASE("tasks are submitted and read at any host of the data centre")
{
    HostsFixture fixture;
    auto const fleet = fixture.cluster.startFleet("dc2", { "--workers", "2", "--servers", "0" });
    nlohmann::json const task = { { "id", "plan-1" }, { "association", "sluices" }, { "resources", { { "milliCores", 1000 } } }, { "command", "run 50" } };
    CHECK(fixture.cluster.submit("h6", task) == ResultCode::Ok);
    CHECK(fixture.cluster.submit("h5", task) == ResultCode::Ok);
    for (auto const* host : { "h4", "h5", "h6" })
        fixture.waitForTask(host, "plan-1");
    CHECK(fixture.cluster.callOperatorApi("h1", "GET", "/v1/tasks/plan-1?dataCentre=dc2")["state"] == "finished");
    CHECK(fixture.cluster.status("h6")["workers"].size() == 2);
}

TEST_CASE("a new host that replaces a lost one becomes a voter in its place without an operator command")
{
    HostsFixture fixture(nlohmann::json { { "admitNewHosts", true } });
    REQUIRE(fixture.changeConfig("h1", 0, "op1") == 0);
    ClusterHost& replaced = fixture.cluster.host("h3");
    replaced.kill();
    replaced.wipeDisk();
    nlohmann::json settings = replaced.settings();
    settings["host"] = "h9";
    settings["joins"] = true;
    replaced.writeSettings(settings);
    replaced.start();
    auto const isVoter = [&](std::string const& group) {
        nlohmann::json const status = fixture.cluster.status("h1");
        for (auto const& each : status.is_null() ? nlohmann::json::array() : status["groups"]) {
            auto const& voters = each["voters"];
            if (each["group"] == group && std::count(voters.begin(), voters.end(), "h9") && !std::count(voters.begin(), voters.end(), "h3"))
                return true;
        }
        return false;
    };
    waitUntil("h9 to be a voter of tasks/dc1", [&] { return isVoter("tasks/dc1"); });
    fixture.cluster.host("h2").kill();
    nlohmann::json const task = { { "id", "plan-9" }, { "association", "sluices" }, { "resources", { { "milliCores", 1000 } } }, { "command", "run 50" } };
    waitUntil("the group to accept a task after a second loss", [&] { return fixture.cluster.submit("h1", task) == ResultCode::Ok; });
    fixture.waitForVersion({ "h3" }, 1);
}
