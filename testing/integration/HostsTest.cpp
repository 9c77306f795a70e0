// Eight entry hosts in three data centres as one system: configuration, leaders, partitions, silent connections.

#include "testing/integration/Cluster.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace cornelpond;

namespace {

/// Three hosts in dc1, all with a disk; three in dc2 and two in dc3, with one disk each.
std::vector<HostDescription> hostsWithFewDisks()
{
    return { { "h1", "dc1", true }, { "h2", "dc1", true }, { "h3", "dc1", true }, { "h4", "dc2", true }, { "h5", "dc2", false }, { "h6", "dc2", false }, { "h7", "dc3", true },
        { "h8", "dc3", false } };
}

class System {
public:
    explicit System(nlohmann::json const& patch = nlohmann::json::object())
        : cluster(BINARY_FOLDER, { hostsWithFewDisks(), 7, patch })
    {
        this->cluster.startAll();
        for (auto const& host : this->cluster.allHostNames())
            this->awaitLeader(host, "config");
    }

    std::string leaderOf(std::string const& group, std::string const& asked)
    {
        nlohmann::json const status = this->cluster.status(asked);
        if (status.is_null())
            return std::string();
        for (auto const& each : status["groups"]) {
            if (each["group"] == group)
                return each["leader"].get<std::string>();
        }
        return std::string();
    }

    std::string awaitLeader(std::string const& asked, std::string const& group, std::string const& previous = std::string())
    {
        std::string leader;
        waitUntil("a leader of " + group + " at " + asked, [&] {
            leader = this->leaderOf(group, asked);
            return !leader.empty() && leader != previous;
        });
        return leader;
    }

    uint64_t versionAt(std::string const& host)
    {
        nlohmann::json const status = this->cluster.status(host);
        return status.is_null() ? 0 : status["configVersion"].get<uint64_t>();
    }

    void awaitVersion(std::vector<std::string> const& hosts, uint64_t version)
    {
        for (auto const& host : hosts)
            waitUntil("version " + std::to_string(version) + " at " + host, [&] { return this->versionAt(host) >= version; });
    }

    /// Changes the configuration through `host`; returns 0, or the ResultCode of the refusal.
    int change(std::string const& host, uint64_t expected, std::string const& operation, int timeoutMs = 100)
    {
        nlohmann::json const document = { { "services", { { "plan", { { "timeoutMs", timeoutMs } } } } } };
        try {
            this->cluster.callOperatorApi(host, "PUT", "/v1/config", { { "expectedVersion", expected }, { "operationId", operation }, { "author", "ana" }, { "document", document } });
            return 0;
        } catch (Error const& error) {
            return static_cast<int>(error.code());
        }
    }

    void awaitTask(std::string const& host, std::string const& task)
    {
        std::string shown;
        try {
            waitUntil(task + " to finish", [&] {
                nlohmann::json const answer = this->cluster.callOperatorApi(host, "GET", "/v1/tasks/" + task);
                shown = answer.dump();
                return answer["state"] == "finished";
            });
        } catch (std::exception const& error) {
            std::string logs;
            for (auto const& each : this->cluster.hostNamesIn("dc2"))
                logs += this->cluster.host(each).log() + this->cluster.status(each).dump() + "\n";
            FAIL(error.what() << ": " << shown << "\n"
                              << logs);
        }
    }

    Cluster cluster;
};

CallerRequest get(std::string const& path)
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
    System system;
    CHECK(system.change("h8", 0, "op1") == 0);
    system.awaitVersion(system.cluster.allHostNames(), 1);
    CHECK(system.change("h5", 0, "op1") == 0);
    CHECK(system.change("h3", 0, "op2") == versionConflict);
    CHECK(system.change("h3", 1, "op3", 200) == 0);
    system.awaitVersion(system.cluster.allHostNames(), 2);
    for (auto const& host : system.cluster.allHostNames()) {
        CHECK(system.cluster.callOperatorApi(host, "GET", "/v1/config?version=1")["document"]["services"]["plan"]["timeoutMs"] == 100);
        CHECK(system.cluster.callOperatorApi(host, "GET", "/v1/config/history")["versions"].size() == 3);
    }
}

TEST_CASE("after kill -9 of the configuration's leader another host leads and nothing accepted is lost")
{
    System system;
    REQUIRE(system.change("h2", 0, "op1") == 0);
    std::string const old = system.awaitLeader("h5", "config");
    system.cluster.host(old).kill();
    std::string const asked = old == "h5" ? "h6" : "h5";
    std::string const next = system.awaitLeader(asked, "config", old);
    CHECK(next != old);
    CHECK(system.change(asked, 1, "op2", 200) == 0);
    system.cluster.host(old).start();
    system.awaitVersion(system.cluster.allHostNames(), 2);
    CHECK(system.change(old, 1, "op3") == versionConflict);
}

TEST_CASE("a data centre that is cut off keeps serving its last configuration, refuses changes and never reverts")
{
    System system;
    REQUIRE(system.change("h7", 0, "op1") == 0);
    system.awaitVersion(system.cluster.allHostNames(), 1);
    system.cluster.cutDataCentre("dc3");
    waitUntil("dc3 to refuse the change without a majority", [&] { return system.change("h8", 1, "op-cut") == noQuorum; });
    CHECK(system.cluster.callOperatorApi("h8", "GET", "/v1/config")["version"] == 1);
    waitUntil("the majority to accept", [&] { return system.change("h5", 1, "op2", 200) == 0; });
    system.cluster.host("h7").kill();
    system.cluster.host("h7").start();
    system.cluster.host("h8").kill();
    system.cluster.host("h8").start();
    system.awaitVersion({ "h7", "h8" }, 1);
    CHECK(system.versionAt("h7") == 1);
    system.cluster.healAll();
    system.awaitVersion({ "h7", "h8" }, 2);
    int result = noQuorum;
    waitUntil("h7 to reach a majority", [&] {
        result = system.change("h7", 1, "op-late");
        return result != noQuorum;
    });
    CHECK(result == versionConflict);
    CHECK(system.change("h7", 2, "op3", 300) == 0);
}

TEST_CASE("a cut in one direction stops nobody else and heals")
{
    System system;
    std::string const leader = system.awaitLeader("h1", "config");
    for (auto const& host : system.cluster.hostNamesIn("dc2"))
        for (auto const& other : system.cluster.hostNamesIn("dc1"))
            system.cluster.cutOneWay(host, other);
    waitUntil("a change in dc1", [&] { return system.change("h2", 0, "op1") == 0; });
    system.awaitVersion(system.cluster.hostNamesIn("dc1"), 1);
    system.cluster.healAll();
    system.awaitVersion(system.cluster.allHostNames(), 1);
}

TEST_CASE("open connections that go silent are replaced and changes continue")
{
    System system;
    for (auto const& a : system.cluster.allHostNames())
        for (auto const& b : system.cluster.allHostNames())
            if (a < b)
                system.cluster.silenceOpenConnections(a, b);
    waitUntil("a change over new connections", [&] { return system.change("h8", 0, "op1") == 0; });
    system.awaitVersion(system.cluster.allHostNames(), 1);
}

TEST_CASE("a host without a disk refuses requests until a peer has sent it the configuration")
{
    System system;
    REQUIRE(system.change("h1", 0, "op1") == 0);
    system.awaitVersion(system.cluster.allHostNames(), 1);
    system.cluster.host("h8").kill();
    system.cluster.isolate("h8");
    system.cluster.host("h8").start();
    CallerResponse const refused = system.cluster.sendRequest("h8", get("/plan/due"));
    CHECK(refused.body.find("ConfigurationMissing") != std::string::npos);
    CHECK(refused.isReportedNotRun());
    CHECK(system.cluster.sendRequest("h8", get("/health")).status == 503);
    system.cluster.healAll();
    system.awaitVersion({ "h8" }, 1);
    CHECK(system.cluster.sendRequest("h8", get("/health")).status == 200);
}

TEST_CASE("a host that shuts down gracefully hands its leaderships over first")
{
    System system;
    std::string const leader = system.awaitLeader("h1", "config");
    system.cluster.host(leader).sendTerminationSignal();
    CHECK(system.cluster.host(leader).waitForExit() == 0);
    std::string const asked = leader == "h1" ? "h2" : "h1";
    CHECK(system.awaitLeader(asked, "config", leader) != leader);
    CHECK(system.cluster.host(leader).log().find("LeaderLost") != std::string::npos);
    system.cluster.host(asked).waitForLog("to=gone");
}

TEST_CASE("tasks are submitted and read at any host of the data centre")
{
    System system;
    auto const fleet = system.cluster.startFleet("dc2", { "--workers", "2", "--servers", "0" });
    nlohmann::json const task = { { "id", "plan-1" }, { "association", "sluices" }, { "resources", { { "milliCores", 1000 } } }, { "command", "run 50" } };
    CHECK(system.cluster.submit("h6", task) == ResultCode::Ok);
    CHECK(system.cluster.submit("h5", task) == ResultCode::Ok);
    for (auto const* host : { "h4", "h5", "h6" })
        system.awaitTask(host, "plan-1");
    CHECK(system.cluster.callOperatorApi("h1", "GET", "/v1/tasks/plan-1?dataCentre=dc2")["state"] == "finished");
    CHECK(system.cluster.status("h6")["workers"].size() == 2);
}

TEST_CASE("a new host that replaces a lost one becomes a voter in its place without an operator command")
{
    System system(nlohmann::json { { "admitNewHosts", true } });
    REQUIRE(system.change("h1", 0, "op1") == 0);
    ClusterHost& replaced = system.cluster.host("h3");
    replaced.kill();
    replaced.wipeDisk();
    nlohmann::json settings = replaced.settings();
    settings["host"] = "h9";
    settings["joins"] = true;
    replaced.writeSettings(settings);
    replaced.start();
    auto const isVoter = [&](std::string const& group) {
        nlohmann::json const status = system.cluster.status("h1");
        for (auto const& each : status.is_null() ? nlohmann::json::array() : status["groups"]) {
            auto const& voters = each["voters"];
            if (each["group"] == group && std::count(voters.begin(), voters.end(), "h9") && !std::count(voters.begin(), voters.end(), "h3"))
                return true;
        }
        return false;
    };
    waitUntil("h9 to be a voter of tasks/dc1", [&] { return isVoter("tasks/dc1"); });
    system.cluster.host("h2").kill();
    nlohmann::json const task = { { "id", "plan-9" }, { "association", "sluices" }, { "resources", { { "milliCores", 1000 } } }, { "command", "run 50" } };
    waitUntil("the group to accept a task after a second loss", [&] { return system.cluster.submit("h1", task) == ResultCode::Ok; });
    system.awaitVersion({ "h3" }, 1);
}
