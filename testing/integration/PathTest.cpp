// Requests and tasks end to end over real processes and sockets: one entry host, stand-in workers and backend servers.

#include "testing/fakes/TemporaryFolder.h"
#include "testing/integration/ChildProcess.h"

#include "cornelpond/app/OperatorClient.h"
#include "cornelpond/app/Settings.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <memory>

using namespace cornelpond;

namespace {

std::string const binary = std::string(BINARY_FOLDER) + "/cornelpond";
std::string const standinBinary = std::string(BINARY_FOLDER) + "/standin";

/// One entry host with ports chosen by the system, which can be restarted on the same disk.
class EntryHostFixture {
public:
    EntryHostFixture()
    {
        nlohmann::json settings = defaultSettings(this->folder.path() + "/data");
        for (auto& listener : settings["listen"])
            listener["port"] = 0;
        settings["operatorTokenFile"] = this->folder.path() + "/token";
        std::ofstream(this->folder.path() + "/token") << "secret\n";
        std::ofstream(this->folder.path() + "/settings.json") << settings.dump();
        this->start();
    }

    void start()
    {
        this->runCount++;
        this->host = std::make_unique<ChildProcess>(std::vector<std::string> { binary, "serve", "--settings", this->folder.path() + "/settings.json" }, this->outputBase("host"));
        this->host->waitForOutput("HostStarted");
    }

    std::string outputBase(std::string const& name) const { return this->folder.path() + "/" + name + std::to_string(this->runCount); }

    std::string address(std::string const& listener) const { return this->host->waitForWordAfter("listener=" + listener + " address="); }

    int runOperatorCommand(std::vector<std::string> arguments, std::string& output) const
    {
        arguments.insert(arguments.begin(), binary);
        arguments.insert(arguments.end(), { "--server", this->address("operators"), "--token-file", this->folder.path() + "/token" });
        return runProgram(arguments, this->outputBase("command"), output);
    }

    std::unique_ptr<ChildProcess> startFleet(std::vector<std::string> const& extra) const
    {
        std::vector<std::string> arguments = { standinBinary, "--entry", this->address("workers"), "--announce-ms", "100" };
        arguments.insert(arguments.end(), extra.begin(), extra.end());
        return std::make_unique<ChildProcess>(arguments, this->outputBase("fleet"));
    }

    std::string writeTask(std::string const& id, std::string const& command) const
    {
        nlohmann::json const task = { { "id", id }, { "association", "sluices" }, { "resources", { { "milliCores", 1000 } } }, { "command", command } };
        std::string path = this->folder.path() + "/" + id + ".json";
        std::ofstream(path) << task.dump();
        return path;
    }

    TemporaryFolder folder;
    std::unique_ptr<ChildProcess> host;
    int runCount = 0;
};

HttpOutcome exchange(std::string const& address, std::string const& path, std::string const& body)
{
    EventLoop loop;
    HttpClient client(loop, HttpClientLimits());
    size_t const colon = address.find(':');
    HttpRequest request;
    request.method = body.empty() ? "GET" : "POST";
    request.path = path;
    request.body = body;
    HttpOutcome result;
    client.send({ address.substr(0, colon), static_cast<uint16_t>(std::stoi(address.substr(colon + 1))) }, request, HttpSendOptions(), [&](HttpOutcome const& outcome) {
        result = outcome;
        loop.stop();
    });
    loop.run();
    return result;
}

} // namespace

TEST_CASE("a caller's request is routed to an announced backend server and answered in full")
{
    EntryHostFixture fixture;
    HttpOutcome const unknown = exchange(fixture.address("callers"), "/plan/due", "");
    CHECK(unknown.response.status == 404);
    CHECK(nlohmann::json::parse(unknown.response.body)["ran"] == "no");

    auto const fleet = fixture.startFleet({ "--workers", "0", "--servers", "2", "--service", "plan" });
    fixture.host->waitForOutput("BackendServerJoined host=h1 server=s2");
    for (int i = 0; i < 10; i++) {
        HttpOutcome const answer = exchange(fixture.address("callers"), "/plan/due", "gate " + std::to_string(i));
        CHECK(answer.response.status == 200);
        CHECK(answer.response.body == "POST /plan/due gate " + std::to_string(i));
    }
    fixture.host->waitForOutput("RequestRouted");
}

TEST_CASE("a submitted task is placed and run, and is still reported as finished after kill -9 of the host")
{
    EntryHostFixture fixture;
    auto const fleet = fixture.startFleet({ "--workers", "2", "--servers", "0" });
    std::string output;
    REQUIRE(fixture.runOperatorCommand({ "submit", fixture.writeTask("plan-1", "run 50"), "--wait" }, output) == 0);
    CHECK(output.find("plan-1: finished") != std::string::npos);
    REQUIRE(fixture.runOperatorCommand({ "submit", fixture.writeTask("plan-2", "hang") }, output) == 0);
    fixture.host->kill();
    fixture.start();
    REQUIRE(fixture.runOperatorCommand({ "get", "plan-1" }, output) == 0);
    CHECK(nlohmann::json::parse(output)["state"] == "finished");
    REQUIRE(fixture.runOperatorCommand({ "get", "plan-2" }, output) == 0);
    REQUIRE(fixture.runOperatorCommand({ "submit", fixture.writeTask("plan-1", "run 50") }, output) == 0);
    CHECK(output.find("already accepted") != std::string::npos);
    CHECK(fixture.runOperatorCommand({ "submit", fixture.writeTask("plan-1", "run 51") }, output) == 1);
    CHECK(output.find("201 IdConflict") != std::string::npos);
    fixture.host->kill();
    REQUIRE(runProgram({ binary, "inspect", fixture.folder.path() + "/data", "--json" }, fixture.outputBase("command"), output) == 0);
    CHECK(nlohmann::json::parse(output)["tasks"]["finished"] == 1);
}

TEST_CASE("operators change the configuration by compare-and-set and invalid input changes nothing")
{
    EntryHostFixture fixture;
    std::string output;
    std::string const path = fixture.folder.path() + "/config.json";
    std::ofstream(path) << R"({"services": {"plan": {"timeoutMs": 100}}})";
    REQUIRE(fixture.runOperatorCommand({ "apply", path, "--expect", "0", "--operation", "op1" }, output) == 0);
    REQUIRE(fixture.runOperatorCommand({ "apply", path, "--expect", "0", "--operation", "op1" }, output) == 0);
    CHECK(fixture.runOperatorCommand({ "apply", path, "--expect", "0", "--operation", "op2" }, output) == 1);
    CHECK(output.find("200 VersionConflict") != std::string::npos);
    std::ofstream(path) << R"({"services": {"plan": {"timeoutMs": 0, "x": 1}}, "priorities": [{}]})";
    CHECK(fixture.runOperatorCommand({ "apply", path, "--expect", "1" }, output) == 2);
    CHECK(output.find("/services/plan/timeoutMs") != std::string::npos);
    CHECK(output.find("/priorities/0") != std::string::npos);
    fixture.host->kill();
    fixture.start();
    REQUIRE(fixture.runOperatorCommand({ "get", "config" }, output) == 0);
    CHECK(nlohmann::json::parse(output)["version"] == 1);
}

TEST_CASE("a call without a valid token is refused and malformed bodies get their result codes")
{
    EntryHostFixture fixture;
    std::string output;
    CHECK(runProgram({ binary, "status", "--server", fixture.address("operators") }, fixture.outputBase("command"), output) == 1);
    CHECK(output.find("106 BadToken") != std::string::npos);
    auto const codeOf = [&](std::string const& body) {
        return nlohmann::json::parse(exchange(fixture.address("workers"), "/v1/workers/announce", body).response.body)["code"].get<int>();
    };
    CHECK(codeOf("{") == 100);
    CHECK(codeOf("{}") == 101);
    CHECK(codeOf("\"\xff\"") == 104);
    CHECK(codeOf(std::string(1000, '[')) == 105);
    CHECK(fixture.runOperatorCommand({ "status" }, output) == 0);
}

TEST_CASE("invalid settings are refused before the host starts")
{
    TemporaryFolder folder;
    std::string const path = folder.path() + "/settings.json";
    std::ofstream(path) << R"({"cluster": "c", "host": 7, "dataCentre": "d", "listen": {}, "extra": 1})";
    std::string output;
    CHECK(runProgram({ binary, "serve", "--settings", path }, folder.path() + "/run", output) == 2);
    CHECK(output.find("/host") != std::string::npos);
    CHECK(output.find("extra") != std::string::npos);
    CHECK(runProgram({ binary, "check", path }, folder.path() + "/run", output) == 2);
    CHECK(runProgram({ binary, "frobnicate" }, folder.path() + "/run", output) == 2);
}

TEST_CASE("a graceful shutdown finishes the request in flight")
{
    EntryHostFixture fixture;
    auto const fleet = fixture.startFleet({ "--workers", "0", "--servers", "1", "--service-ms", "500" });
    fixture.host->waitForOutput("BackendServerJoined");
    EventLoop loop;
    HttpClient client(loop, HttpClientLimits());
    std::string const address = fixture.address("callers");
    HttpRequest slow;
    slow.method = "GET";
    slow.path = "/plan/slow";
    HttpOutcome result;
    result.kind = HttpOutcome::Kind::Cancelled;
    client.send({ "127.0.0.1", static_cast<uint16_t>(std::stoi(address.substr(address.find(':') + 1))) }, slow, HttpSendOptions(), [&](HttpOutcome const& outcome) {
        result = outcome;
        loop.stop();
    });
    waitUntil("the request to be routed", [&] {
        loop.runOnce();
        return fixture.host->output().find("RequestRouted") != std::string::npos;
    });
    fixture.host->sendSignal(SIGTERM);
    loop.run();
    CHECK(result.kind == HttpOutcome::Kind::Answered);
    CHECK(result.response.status == 200);
    CHECK(fixture.host->waitForExit() == 0);
    CHECK(fixture.host->output().find("HostStopped host=h1 cut=0") != std::string::npos);
}
