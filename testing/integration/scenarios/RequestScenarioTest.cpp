// Interactive requests under faults of backend servers, callers and the entry host.

#include "testing/integration/scenarios/ScenarioFixture.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

/// Requests that differ in path and body, so that an answer can belong to one of them only.
std::vector<CallerRequest> distinctRequests(ScenarioFixture& site, std::string const& name, int count)
{
    std::vector<CallerRequest> requests;
    for (int i = 0; i < count; i++) {
        CallerRequest request;
        request.path = "/plan/" + name + "-" + std::to_string(i);
        request.body = std::string(static_cast<size_t>(site.randomBetween(1, 4000)), static_cast<char>('a' + i % 26)) + std::to_string(i);
        request.deadlineMs = 3000;
        requests.push_back(request);
    }
    return requests;
}

std::string expectedBody(CallerRequest const& request)
{
    return "POST " + request.path + " " + request.body;
}

/// Every answer with status 200 is the whole answer to its own request; the paths of requests said not to have run go to `refused`.
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

void waitForServers(ScenarioFixture& site, std::string const& host, size_t count)
{
    waitUntil("the backend servers to be known", [&] {
        nlohmann::json const status = site.cluster.status(host);
        return status.is_object() && status["backendServers"].size() >= count;
    });
}

} // namespace

TEST_CASE("whole-answers-under-slow-truncating-and-silent-servers")
{
    ScenarioFixture site(oneHostOptions());
    ChildProcess& fleet = site.addFleet("dc1", { "--workers", "0", "--servers", "4" });
    waitForServers(site, "h1", 4);
    std::set<std::string> refused;
    std::vector<std::string> const faults = { "slow 300", "truncate 200", "truncate 1500", "silent", "failall", "mute", "heal" };
    for (int round = 0; round < 8; round++) {
        std::string const server = "dc1-s" + std::to_string(site.randomBetween(2, 4));
        fleet.sendCommand("server " + server + " " + faults[site.random.below(faults.size())]);
        std::vector<CallerRequest> const requests = distinctRequests(site, "round" + std::to_string(round), 20);
        checkAnswers(requests, site.cluster.sendRequests("h1", requests), refused);
    }
    fleet.sendCommand("server * heal");
    std::vector<CallerRequest> const requests = distinctRequests(site, "healed", 8);
    waitUntil("all requests to be answered again", [&] { return checkAnswers(requests, site.cluster.sendRequests("h1", requests), refused) == 8; });
    for (auto const& request : requests)
        refused.erase(request.path);
    CHECK(findRunsOfRefusedRequests(site.record(), refused) == noViolations);
    CHECK(findServerOverloads(site.record()) == noViolations);
}

TEST_CASE("requests-said-not-to-have-run-did-not-run-in-a-flood")
{
    ClusterOptions options = oneHostOptions();
    options.settingsPatch["limits"] = { { "maxQueuedRequests", 30 } };
    ScenarioFixture site(options);
    ChildProcess& fleet = site.addFleet("dc1", { "--workers", "0", "--servers", "2", "--slots", "4", "--service-ms", "50" });
    waitForServers(site, "h1", 2);
    std::set<std::string> refused;
    int answered = 0;
    for (int round = 0; round < 4; round++) {
        std::vector<CallerRequest> requests = distinctRequests(site, "flood" + std::to_string(round), 120);
        for (auto& request : requests)
            request.deadlineMs = site.randomBetween(20, 1000);
        fleet.sendCommand("server dc1-s2 " + std::string(round % 2 ? "join" : "vanish"));
        answered += checkAnswers(requests, site.cluster.sendRequests("h1", requests), refused);
    }
    CHECK(answered > 0);
    CHECK_FALSE(refused.empty());
    CHECK(findRunsOfRefusedRequests(site.record(), refused) == noViolations);
    CHECK(findServerOverloads(site.record()) == noViolations);
}

TEST_CASE("a-leaving-server-gets-no-new-work")
{
    ScenarioFixture site(oneHostOptions());
    ChildProcess& fleet = site.addFleet("dc1", { "--workers", "0", "--servers", "3" });
    waitForServers(site, "h1", 3);
    std::set<std::string> refused;
    fleet.sendCommand("server dc1-s1 leave");
    fleet.sendCommand("server dc1-s2 vanish");
    for (int round = 0; round < 50; round++) {
        std::vector<CallerRequest> const requests = distinctRequests(site, "leave" + std::to_string(round), 4);
        checkAnswers(requests, site.cluster.sendRequests("h1", requests), refused);
        site.sleepUpTo(200);
    }
    constexpr int64_t graceUs = 3 * 1000 * 1000;
    std::vector<RecordEntry> const record = site.record();
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
    ScenarioFixture site(oneHostOptions());
    site.addFleet("dc1", { "--workers", "0", "--servers", "2", "--slots", "8", "--service-ms", "400" });
    waitForServers(site, "h1", 2);
    std::vector<CallerRequest> requests = distinctRequests(site, "last", 30);
    for (auto& request : requests)
        request.deadlineMs = 20000;
    ClusterHost& host = site.cluster.host("h1");
    bool terminated = false;
    std::set<std::string> refused;
    std::vector<CallerResponse> const answers = site.cluster.sendRequests("h1", requests, [&] {
        if (!terminated && host.log().find("RequestRouted") != std::string::npos) {
            host.sendTerminationSignal();
            terminated = true;
        }
    });
    CHECK(host.waitForExit() == 0);
    int const answered = checkAnswers(requests, answers, refused);
    int closedUnsent = 0;
    for (auto const& answer : answers)
        closedUnsent += answer.kind == HttpOutcome::Kind::ConnectFailed ? 1 : 0;
    // A caller whose connection was not yet accepted may be turned away; all others get their answer.
    CHECK(answered + closedUnsent == 30);
    CHECK(answered > 0);
    CHECK_THAT(host.log(), Catch::Contains("cut=0"));
}

TEST_CASE("callers-that-leave-free-their-slots")
{
    ScenarioFixture site(oneHostOptions());
    ChildProcess& fleet = site.addFleet("dc1", { "--workers", "0", "--servers", "1", "--slots", "4", "--service-ms", "500" });
    waitForServers(site, "h1", 1);
    for (int round = 0; round < 4; round++) {
        std::vector<CallerRequest> requests = distinctRequests(site, "gone" + std::to_string(round), 12);
        for (auto& request : requests)
            request.clientTimeoutMs = site.randomBetween(20, 200);
        site.cluster.sendRequests("h1", requests);
    }
    fleet.sendCommand("server * heal");
    std::set<std::string> refused;
    std::vector<CallerRequest> const requests = distinctRequests(site, "after", 12);
    CHECK(checkAnswers(requests, site.cluster.sendRequests("h1", requests), refused) == 12);
    CHECK(findServerOverloads(site.record()) == noViolations);
}

TEST_CASE("server-connections-go-silent-for-good-while-new-ones-work")
{
    ScenarioFixture site(oneHostOptions());
    ChildProcess& fleet = site.addFleet("dc1", { "--workers", "0", "--servers", "2" });
    waitForServers(site, "h1", 2);
    std::set<std::string> refused;
    std::vector<CallerRequest> const warm = distinctRequests(site, "warm", 8);
    CHECK(checkAnswers(warm, site.cluster.sendRequests("h1", warm), refused) == 8);
    for (int round = 0; round < 3; round++) {
        fleet.sendCommand("server * silent");
        std::vector<CallerRequest> requests = distinctRequests(site, "silent" + std::to_string(round), 8);
        for (auto& request : requests) {
            request.deadlineMs = 6000;
            request.clientTimeoutMs = 20000;
        }
        // Repeatable requests whose servers are well: each has time for a try on a new connection.
        CHECK(checkAnswers(requests, site.cluster.sendRequests("h1", requests), refused) == 8);
    }
    CHECK(findRunsOfRefusedRequests(site.record(), refused) == noViolations);
}

TEST_CASE("a-not-repeatable-request-resent-with-its-key-runs-at-most-once")
{
    ScenarioFixture site(oneHostOptions());
    ChildProcess& fleet = site.addFleet("dc1", { "--workers", "0", "--servers", "2" });
    waitForServers(site, "h1", 2);
    std::vector<std::string> const faults = { "slow 300", "truncate 40", "mute", "silent", "heal", "heal" };
    for (int round = 0; round < 6; round++) {
        fleet.sendCommand("server dc1-s" + std::to_string(site.randomBetween(1, 2)) + " " + faults[site.random.below(faults.size())]);
        std::vector<CallerRequest> requests = distinctRequests(site, "book" + std::to_string(round), 6);
        for (size_t i = 0; i < requests.size(); i++) {
            requests[i].idempotencyKey = "crew-" + std::to_string(round) + "-" + std::to_string(i);
            requests[i].isNotRepeatable = true;
            requests[i].deadlineMs = 1000;
            requests[i].clientTimeoutMs = site.randomBetween(50, 1500);
        }
        site.cluster.sendRequests("h1", requests);
        if (round % 2)
            site.killAndRestart("h1");
        waitForServers(site, "h1", 1);
        site.cluster.sendRequests("h1", requests);
        site.cluster.sendRequests("h1", requests);
    }
    CHECK(findRepeatedKeys(site.record()) == noViolations);
}

TEST_CASE("hostile-input-on-every-listener-changes-nothing")
{
    ScenarioFixture site(oneHostOptions());
    ChildProcess& fleet = site.addFleet("dc1", { "--workers", "2", "--servers", "1", "--accelerators", "1" });
    waitForServers(site, "h1", 1);
    site.submitRandomTasks("h1", 3);
    ClusterHost& host = site.cluster.host("h1");
    std::vector<std::string> const starts = { "", "GET / HTTP/1.1\r\n", "POST /v1/workers/announce HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", "PUT /v1/config HTTP/1.1\r\nContent-Length: 20\r\n\r\n",
        "POST /v1/tasks HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n", "POST /v1/backend-servers/announce HTTP/1.1\r\nContent-Length: -1\r\n\r\n" };
    for (int i = 0; i < 150; i++) {
        std::string bytes = starts[site.random.below(starts.size())];
        for (int64_t length = site.randomBetween(0, 300); length > 0; length--)
            bytes.push_back(static_cast<char>(site.random.below(256)));
        char const* const listener = std::array<char const*, 3> { "callers", "workers", "operators" }[site.random.below(3)];
        sendRawBytes(host.address(listener), bytes, site.randomBetween(0, 5));
    }
    CHECK(host.log().find("HostStopped") == std::string::npos);
    fleet.sendCommand("server * heal");
    std::set<std::string> refused;
    std::vector<CallerRequest> const requests = distinctRequests(site, "after", 4);
    CHECK(checkAnswers(requests, site.cluster.sendRequests("h1", requests), refused) == 4);
    CHECK(site.cluster.status("h1")["configVersion"] == 0);
    site.waitUntilAllTasksEnded("h1");
    CHECK(findUnfinishedTasks(site.record(), site.acceptedTasks) == noViolations);
}
