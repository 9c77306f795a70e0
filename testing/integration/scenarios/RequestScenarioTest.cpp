// Interactive requests under faults of backend servers, callers and the entry host.

#include "testing/integration/scenarios/ScenarioFixture.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

/// Requests that differ in path and body, so that each response body matches exactly one of them.
std::vector<CallerRequest> distinctRequests(ScenarioFixture& fixture, std::string const& name, int count)
{
    std::vector<CallerRequest> requests;
    for (int i = 0; i < count; i++) {
        CallerRequest request;
        request.path = "/plan/" + name + "-" + std::to_string(i);
        request.body = std::string(static_cast<size_t>(fixture.randomBetween(1, 4000)), static_cast<char>('a' + i % 26)) + std::to_string(i);
        request.deadlineMs = 3000;
        requests.push_back(request);
    }
    return requests;
}

std::string expectedBody(CallerRequest const& request)
{
    return "POST " + request.path + " " + request.body;
}

/// Checks that every response with status 200 is the complete response to its request. Returns their number, and adds the paths
/// of requests that were reported as not run to `refused`.
int checkAnswers(std::vector<CallerRequest> const& requests, std::vector<CallerResponse> const& answers, std::set<std::string>& refused)
{
    int answered = 0;
    for (size_t i = 0; i < requests.size(); i++) {
        INFO(requests[i].path << ": " << answers[i].status << " " << answers[i].body.substr(0, 200));
        bool const ok = answers[i].kind == HttpOutcome::Kind::Answered && answers[i].status == 200;
        answered += ok ? 1 : 0;
        if (ok)
            CHECK(answers[i].body == expectedBody(requests[i]));
        if (answers[i].isReportedNotRun())
            refused.insert(requests[i].path);
    }
    return answered;
}

void waitForServers(ScenarioFixture& fixture, std::string const& host, size_t count)
{
    waitUntil("the backend servers to be known", [&] {
        nlohmann::json const status = fixture.cluster.status(host);
        return status.is_object() && status["backendServers"].size() >= count;
    });
}

} // namespace

TEST_CASE("whole-answers-under-slow-truncating-and-silent-servers")
{
    ScenarioFixture fixture(oneHostOptions());
    ChildProcess& fleet = fixture.addFleet("dc1", { "--workers", "0", "--servers", "4" });
    waitForServers(fixture, "h1", 4);
    std::set<std::string> refused;
    std::vector<std::string> const faults = { "slow 300", "truncate 200", "truncate 1500", "silent", "failall", "mute", "heal" };
    for (int round = 0; round < 8; round++) {
        std::string const server = "dc1-s" + std::to_string(fixture.randomBetween(2, 4));
        fleet.sendCommand("server " + server + " " + faults[fixture.random.below(faults.size())]);
        std::vector<CallerRequest> const requests = distinctRequests(fixture, "round" + std::to_string(round), 20);
        checkAnswers(requests, fixture.cluster.sendRequests("h1", requests), refused);
    }
    fleet.sendCommand("server * heal");
    std::vector<CallerRequest> const requests = distinctRequests(fixture, "healed", 8);
    waitUntil("all requests to be answered again", [&] { return checkAnswers(requests, fixture.cluster.sendRequests("h1", requests), refused) == 8; });
    for (auto const& request : requests)
        refused.erase(request.path);
    CHECK(findRunsOfRefusedRequests(fixture.record(), refused) == noViolations);
    CHECK(findServerOverloads(fixture.record()) == noViolations);
}

TEST_CASE("requests-said-not-to-have-run-did-not-run-in-a-flood")
{
    ClusterOptions options = oneHostOptions();
    options.settingsPatch["limits"] = { { "maxQueuedRequests", 30 } };
    ScenarioFixture fixture(options);
    ChildProcess& fleet = fixture.addFleet("dc1", { "--workers", "0", "--servers", "2", "--slots", "4", "--service-ms", "50" });
    waitForServers(fixture, "h1", 2);
    std::set<std::string> refused;
    int answered = 0;
    for (int round = 0; round < 4; round++) {
        std::vector<CallerRequest> requests = distinctRequests(fixture, "flood" + std::to_string(round), 120);
        for (auto& request : requests)
            request.deadlineMs = fixture.randomBetween(20, 1000);
        fleet.sendCommand("server dc1-s2 " + std::string(round % 2 ? "join" : "vanish"));
        answered += checkAnswers(requests, fixture.cluster.sendRequests("h1", requests), refused);
    }
    CHECK(answered > 0);
    CHECK_FALSE(refused.empty());
    CHECK(findRunsOfRefusedRequests(fixture.record(), refused) == noViolations);
    CHECK(findServerOverloads(fixture.record()) == noViolations);
}

TEST_CASE("a-leaving-server-gets-no-new-work")
{
    ScenarioFixture fixture(oneHostOptions());
    ChildProcess& fleet = fixture.addFleet("dc1", { "--workers", "0", "--servers", "3" });
    waitForServers(fixture, "h1", 3);
    std::set<std::string> refused;
    fleet.sendCommand("server dc1-s1 leave");
    fleet.sendCommand("server dc1-s2 vanish");
    for (int round = 0; round < 50; round++) {
        std::vector<CallerRequest> const requests = distinctRequests(fixture, "leave" + std::to_string(round), 4);
        checkAnswers(requests, fixture.cluster.sendRequests("h1", requests), refused);
        fixture.sleepUpTo(200);
    }
    constexpr int64_t graceUs = 3 * 1000 * 1000;
    std::vector<RecordEntry> const record = fixture.record();
    int64_t leftAtUs = 0;
    bool sentAfterGrace = false;
    for (auto const& entry : record) {
        if (entry.kind == RecordKind::ServerLeft)
            leftAtUs = entry.atUs;
        sentAfterGrace = sentAfterGrace || (entry.kind == RecordKind::RequestRun && leftAtUs && entry.atUs > leftAtUs + graceUs);
    }
    CHECK(sentAfterGrace);
    CHECK(findRequestsAfterLeave(record, graceUs) == noViolations);
}

TEST_CASE("a-graceful-shutdown-under-load-cuts-off-no-request")
{
    ScenarioFixture fixture(oneHostOptions());
    fixture.addFleet("dc1", { "--workers", "0", "--servers", "2", "--slots", "8", "--service-ms", "400" });
    waitForServers(fixture, "h1", 2);
    std::vector<CallerRequest> requests = distinctRequests(fixture, "last", 30);
    for (auto& request : requests)
        request.deadlineMs = 20000;
    ClusterHost& host = fixture.cluster.host("h1");
    bool terminated = false;
    std::set<std::string> refused;
    std::vector<CallerResponse> const answers = fixture.cluster.sendRequests("h1", requests, [&] {
        if (!terminated && host.log().find("RequestRouted") != std::string::npos) {
            host.sendTerminationSignal();
            terminated = true;
        }
    });
    CHECK(host.waitForExit() == 0);
    int const answered = checkAnswers(requests, answers, refused);
    int connectFailed = 0;
    for (auto const& answer : answers)
        connectFailed += answer.kind == HttpOutcome::Kind::ConnectFailed ? 1 : 0;
    // Connections that the host had not accepted yet may be refused; all other callers get their response.
    CHECK(answered + connectFailed == 30);
    CHECK(answered > 0);
    CHECK_THAT(host.log(), Catch::Contains("cut=0"));
}

TEST_CASE("callers-that-leave-free-their-slots")
{
    ScenarioFixture fixture(oneHostOptions());
    ChildProcess& fleet = fixture.addFleet("dc1", { "--workers", "0", "--servers", "1", "--slots", "4", "--service-ms", "500" });
    waitForServers(fixture, "h1", 1);
    for (int round = 0; round < 4; round++) {
        std::vector<CallerRequest> requests = distinctRequests(fixture, "gone" + std::to_string(round), 12);
        for (auto& request : requests)
            request.clientTimeoutMs = fixture.randomBetween(20, 200);
        fixture.cluster.sendRequests("h1", requests);
    }
    fleet.sendCommand("server * heal");
    std::set<std::string> refused;
    std::vector<CallerRequest> const requests = distinctRequests(fixture, "after", 12);
    CHECK(checkAnswers(requests, fixture.cluster.sendRequests("h1", requests), refused) == 12);
    CHECK(findServerOverloads(fixture.record()) == noViolations);
}

TEST_CASE("server-connections-go-silent-for-good-while-new-ones-work")
{
    ScenarioFixture fixture(oneHostOptions());
    ChildProcess& fleet = fixture.addFleet("dc1", { "--workers", "0", "--servers", "2" });
    waitForServers(fixture, "h1", 2);
    std::set<std::string> refused;
    std::vector<CallerRequest> const warm = distinctRequests(fixture, "warm", 8);
    CHECK(checkAnswers(warm, fixture.cluster.sendRequests("h1", warm), refused) == 8);
    for (int round = 0; round < 3; round++) {
        fleet.sendCommand("server * silent");
        std::vector<CallerRequest> requests = distinctRequests(fixture, "silent" + std::to_string(round), 8);
        for (auto& request : requests) {
            request.deadlineMs = 6000;
            request.clientTimeoutMs = 20000;
        }
        // The requests are repeatable and the servers healthy: each request has time for a retry on a new connection.
        CHECK(checkAnswers(requests, fixture.cluster.sendRequests("h1", requests), refused) == 8);
    }
    CHECK(findRunsOfRefusedRequests(fixture.record(), refused) == noViolations);
}

TEST_CASE("a-not-repeatable-request-resent-with-its-key-runs-at-most-once")
{
    ScenarioFixture fixture(oneHostOptions());
    ChildProcess& fleet = fixture.addFleet("dc1", { "--workers", "0", "--servers", "2" });
    waitForServers(fixture, "h1", 2);
    std::vector<std::string> const faults = { "slow 300", "truncate 40", "mute", "silent", "heal", "heal" };
    for (int round = 0; round < 6; round++) {
        fleet.sendCommand("server dc1-s" + std::to_string(fixture.randomBetween(1, 2)) + " " + faults[fixture.random.below(faults.size())]);
        std::vector<CallerRequest> requests = distinctRequests(fixture, "book" + std::to_string(round), 6);
        for (size_t i = 0; i < requests.size(); i++) {
            requests[i].idempotencyKey = "crew-" + std::to_string(round) + "-" + std::to_string(i);
            requests[i].isNotRepeatable = true;
            requests[i].deadlineMs = 1000;
            requests[i].clientTimeoutMs = fixture.randomBetween(50, 1500);
        }
        fixture.cluster.sendRequests("h1", requests);
        if (round % 2)
            fixture.killAndRestart("h1");
        waitForServers(fixture, "h1", 1);
        fixture.cluster.sendRequests("h1", requests);
        fixture.cluster.sendRequests("h1", requests);
    }
    CHECK(findRepeatedKeys(fixture.record()) == noViolations);
}

TEST_CASE("hostile-input-on-every-listener-changes-nothing")
{
    ScenarioFixture fixture(oneHostOptions());
    ChildProcess& fleet = fixture.addFleet("dc1", { "--workers", "2", "--servers", "1", "--accelerators", "1" });
    waitForServers(fixture, "h1", 1);
    fixture.submitRandomTasks("h1", 3);
    ClusterHost& host = fixture.cluster.host("h1");
    std::vector<std::string> const prefixes = { "", "GET / HTTP/1.1\r\n", "POST /v1/workers/announce HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", "PUT /v1/config HTTP/1.1\r\nContent-Length: 20\r\n\r\n",
        "POST /v1/tasks HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n", "POST /v1/backend-servers/announce HTTP/1.1\r\nContent-Length: -1\r\n\r\n" };
    for (int i = 0; i < 150; i++) {
        std::string bytes = prefixes[fixture.random.below(prefixes.size())];
        for (int64_t length = fixture.randomBetween(0, 300); length > 0; length--)
            bytes.push_back(static_cast<char>(fixture.random.below(256)));
        char const* const listener = std::array<char const*, 3> { "callers", "workers", "operators" }[fixture.random.below(3)];
        sendRawBytes(host.address(listener), bytes, fixture.randomBetween(0, 5));
    }
    CHECK(host.log().find("HostStopped") == std::string::npos);
    fleet.sendCommand("server * heal");
    std::set<std::string> refused;
    std::vector<CallerRequest> const requests = distinctRequests(fixture, "after", 4);
    CHECK(checkAnswers(requests, fixture.cluster.sendRequests("h1", requests), refused) == 4);
    CHECK(fixture.cluster.status("h1")["configVersion"] == 0);
    fixture.waitUntilAllTasksEnded("h1");
    CHECK(findUnfinishedTasks(fixture.record(), fixture.acceptedTasks) == noViolations);
}
