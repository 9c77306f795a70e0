// A fleet of real processes that discover each other from seeds: three control hosts and one entry host.

#include "testing/integration/FleetProcesses.h"

#include "cornelpond/adapters/http/HttpClient.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <optional>
#include <unistd.h>

using namespace cornelpond;

namespace {

std::string const binary = std::string(BINARY_FOLDER) + "/cornelpond";

/// A fleet with an HTTP client that blocks until the response.
class Fleet : public FleetProcesses {
public:
    Fleet()
        : FleetProcesses(binary)
    {
    }

    void startControlHost(int host, bool isFirstStart)
    {
        this->FleetProcesses::startControlHost(host, isFirstStart);
        this->process(host).waitForOutput("HostStarted");
    }

    void startEntryHost(int host)
    {
        this->FleetProcesses::startEntryHost(host);
        this->process(host).waitForOutput("HostStarted");
    }

    /// Waits for the log line of the host that leads. A host writes its log lines every 50 ms, so it may have answered calls
    /// as the leader before the line appears.
    int leader()
    {
        int found = 0;
        waitUntil("a leader", [&] {
            found = this->leaderInLogs();
            return found != 0;
        });
        return found;
    }

    HttpResponse call(int host, uint16_t port, std::string const& method, std::string const& path, std::string const& body = "")
    {
        HttpRequest request { method, path, "", {}, body };
        request.headers.add("Host", "jobs.example");
        std::optional<HttpOutcome> result;
        this->client.send({ this->ip(host), port }, request, HttpSendOptions(), [&](HttpOutcome const& outcome) { result = outcome; });
        while (!result) {
            this->loop.runOnce();
            usleep(1000);
        }
        return result->kind == HttpOutcome::Kind::Answered ? result->response : HttpResponse { 0, {}, "" };
    }

    /// Repeats the call until the response has `status`.
    HttpResponse callUntil(int status, int host, uint16_t port, std::string const& method, std::string const& path, std::string const& body = "")
    {
        HttpResponse response;
        waitUntil(method + " " + path, [&] {
            response = this->call(host, port, method, path, body);
            return response.status == status;
        });
        return response;
    }

private:
    EventLoop loop;
    HttpClient client { loop, HttpClientLimits() };
};

constexpr uint16_t controlPort = FleetProcesses::controlPort;
constexpr uint16_t callerPort = FleetProcesses::callerPort;
constexpr uint16_t readinessPort = FleetProcesses::readinessPort;

std::string const configuration = R"({"version":3,"routes":[{"name":"plans","host":"jobs.example","path-prefix":"/plans/","timeout-ms":3000,"service":"s","max-attempts":2}],"services":[{"name":"s"}]})";
std::string const job = R"({"task-spec":"x","steps":[{"count":2,"cpu":100,"memory-request-mb":10,"estimated-ms":100}]})";
std::string const path = "/plans/5c0e7a21d94b36f8";

} // namespace

TEST_CASE("an accepted job and configuration outlive the leader, then a lost disk, then the next leader")
{
    Fleet fleet;
    constexpr int entry = 9;
    constexpr int replacement = 4;
    for (int host = 1; host <= 3; host++)
        fleet.startControlHost(host, true);
    fleet.startEntryHost(entry);
    fleet.callUntil(200, 1, controlPort, "POST", "/v1/configuration/replace", configuration);
    fleet.callUntil(200, entry, readinessPort, "GET", "/v1/readiness");
    fleet.callUntil(200, entry, callerPort, "POST", path, job);

    int const first = fleet.leader();
    REQUIRE(first);
    fleet.kill(first);
    CHECK(nlohmann::json::parse(fleet.callUntil(200, entry, callerPort, "GET", path).body)["state"] == "queued");

    // A new host without data replaces the lost leader as a voter. Then the next leader is lost as well.
    fleet.startControlHost(replacement, false);
    int const second = fleet.leader();
    REQUIRE(second);
    waitUntil("the replacement to be a voter", [&] {
        std::string const log = fleet.process(second).output();
        size_t const changed = log.rfind("MembershipChanged");
        std::string const line = changed == std::string::npos ? "" : log.substr(changed, log.find('\n', changed) - changed);
        bool const hasReplacement = line.find(fleet.ip(replacement) + "~") != std::string::npos && line.find("\"learners\":\"\"") != std::string::npos;
        return hasReplacement && line.find(fleet.ip(first) + ",") == std::string::npos && line.find(fleet.ip(first) + "\"") == std::string::npos;
    });
    fleet.kill(second);
    CHECK(nlohmann::json::parse(fleet.callUntil(200, entry, callerPort, "GET", path).body)["state"] == "queued");
    int const third = first == 1 || second == 1 ? (first == 2 || second == 2 ? 3 : 2) : 1;
    CHECK(fleet.callUntil(200, third, controlPort, "GET", "/v1/configuration/read").body == configuration);
    fleet.callUntil(200, entry, callerPort, "DELETE", path);
    CHECK(nlohmann::json::parse(fleet.callUntil(200, entry, callerPort, "GET", path).body)["state"] == "cancelled");
}

TEST_CASE("a graceful stop of the leader hands leadership over and the entry host continues to serve")
{
    Fleet fleet;
    constexpr int entry = 9;
    for (int host = 1; host <= 3; host++)
        fleet.startControlHost(host, true);
    fleet.startEntryHost(entry);
    fleet.callUntil(200, 1, controlPort, "POST", "/v1/configuration/replace", configuration);
    fleet.callUntil(200, entry, callerPort, "POST", path, job);
    int const leader = fleet.leader();
    REQUIRE(leader);
    fleet.process(leader).sendSignal(SIGTERM);
    CHECK(fleet.process(leader).waitForExit() == 0);
    CHECK(fleet.process(leader).output().find("\"cut\":0") != std::string::npos);
    CHECK(nlohmann::json::parse(fleet.callUntil(200, entry, callerPort, "GET", path).body)["state"] == "queued");
    fleet.process(entry).sendSignal(SIGTERM);
    CHECK(fleet.process(entry).waitForExit() == 0);
}

TEST_CASE("invalid settings are refused with a log line and the previous settings stay in force")
{
    Fleet fleet;
    fleet.startControlHost(1, true);
    fleet.process(1).sendSignal(SIGHUP);
    fleet.process(1).waitForOutput("SettingsReloaded");
    std::ofstream(fleet.settingsPath(1)) << "{";
    fleet.process(1).waitForOutput("SettingsRefused");
    CHECK(fleet.call(1, controlPort, "GET", "/v1/configuration/read").status == 503);
}
