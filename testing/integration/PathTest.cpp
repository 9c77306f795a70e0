// The whole path over real processes and sockets: one entry host, stand-in workers and backend servers.

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

/// One entry host with all ports free, restartable on the same disk.
class Site {
public:
    Site()
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
        this->runs++;
        this->host = std::make_unique<ChildProcess>(std::vector<std::string> { binary, "serve", "--settings", this->folder.path() + "/settings.json" }, this->base("host"));
        this->host->waitForOutput("HostStarted");
    }

    std::string base(std::string const& name) const { return this->folder.path() + "/" + name + std::to_string(this->runs); }

    std::string address(std::string const& listener) const { return this->host->waitForWordAfter("listener=" + listener + " address="); }

    int command(std::vector<std::string> arguments, std::string& output) const
    {
        arguments.insert(arguments.begin(), binary);
        arguments.insert(arguments.end(), { "--server", this->address("operators"), "--token-file", this->folder.path() + "/token" });
        return runProgram(arguments, this->base("command"), output);
    }

    std::unique_ptr<ChildProcess> fleet(std::vector<std::string> const& extra) const
    {
        std::vector<std::string> arguments = { standinBinary, "--entry", this->address("workers"), "--announce-ms", "100" };
        arguments.insert(arguments.end(), extra.begin(), extra.end());
        return std::make_unique<ChildProcess>(arguments, this->base("fleet"));
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
    int runs = 0;
};

HttpOutcome request(std::string const& address, std::string const& path, std::string const& body)
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

TEST_CASE("a caller's request is routed to an announced backend server and answered whole")
{
    Site site;
    HttpOutcome const unknown = request(site.address("callers"), "/plan/due", "");
    CHECK(unknown.response.status == 404);
    CHECK(nlohmann::json::parse(unknown.response.body)["ran"] == "no");

    auto const fleet = site.fleet({ "--workers", "0", "--servers", "2", "--service", "plan" });
    site.host->waitForOutput("BackendServerJoined host=h1 server=s2");
    for (int i = 0; i < 10; i++) {
        HttpOutcome const answer = request(site.address("callers"), "/plan/due", "gate " + std::to_string(i));
        CHECK(answer.response.status == 200);
        CHECK(answer.response.body == "POST /plan/due gate " + std::to_string(i));
    }
    site.host->waitForOutput("RequestRouted");
}

TEST_CASE("a submitted task is placed, run and found finished after kill -9 of the host")
{
    Site site;
    auto const fleet = site.fleet({ "--workers", "2", "--servers", "0" });
    std::string output;
    REQUIRE(site.command({ "submit", site.writeTask("plan-1", "run 50"), "--wait" }, output) == 0);
    CHECK(output.find("plan-1: finished") != std::string::npos);
    REQUIRE(site.command({ "submit", site.writeTask("plan-2", "hang") }, output) == 0);
    site.host->kill();
    site.start();
    REQUIRE(site.command({ "get", "plan-1" }, output) == 0);
    CHECK(nlohmann::json::parse(output)["state"] == "finished");
    REQUIRE(site.command({ "get", "plan-2" }, output) == 0);
    REQUIRE(site.command({ "submit", site.writeTask("plan-1", "run 50") }, output) == 0);
    CHECK(output.find("already accepted") != std::string::npos);
    CHECK(site.command({ "submit", site.writeTask("plan-1", "run 51") }, output) == 1);
    CHECK(output.find("201 IdConflict") != std::string::npos);
    site.host->kill();
    REQUIRE(runProgram({ binary, "inspect", site.folder.path() + "/data", "--json" }, site.base("command"), output) == 0);
    CHECK(nlohmann::json::parse(output)["tasks"]["finished"] == 1);
}

TEST_CASE("operators change the configuration by compare-and-set and bad input changes nothing")
{
    Site site;
    std::string output;
    std::string const path = site.folder.path() + "/config.json";
    std::ofstream(path) << R"({"services": {"plan": {"timeoutMs": 100}}})";
    REQUIRE(site.command({ "apply", path, "--expect", "0", "--operation", "op1" }, output) == 0);
    REQUIRE(site.command({ "apply", path, "--expect", "0", "--operation", "op1" }, output) == 0);
    CHECK(site.command({ "apply", path, "--expect", "0", "--operation", "op2" }, output) == 1);
    CHECK(output.find("200 VersionConflict") != std::string::npos);
    std::ofstream(path) << R"({"services": {"plan": {"timeoutMs": 0, "x": 1}}, "priorities": [{}]})";
    CHECK(site.command({ "apply", path, "--expect", "1" }, output) == 2);
    CHECK(output.find("/services/plan/timeoutMs") != std::string::npos);
    CHECK(output.find("/priorities/0") != std::string::npos);
    site.host->kill();
    site.start();
    REQUIRE(site.command({ "get", "config" }, output) == 0);
    CHECK(nlohmann::json::parse(output)["version"] == 1);
}

TEST_CASE("a wrong token learns nothing and hostile bodies get numbered codes")
{
    Site site;
    std::string output;
    CHECK(runProgram({ binary, "status", "--server", site.address("operators") }, site.base("command"), output) == 1);
    CHECK(output.find("106 BadToken") != std::string::npos);
    auto const codeOf = [&](std::string const& body) {
        return nlohmann::json::parse(request(site.address("workers"), "/v1/workers/announce", body).response.body)["code"].get<int>();
    };
    CHECK(codeOf("{") == 100);
    CHECK(codeOf("{}") == 101);
    CHECK(codeOf("\"\xff\"") == 104);
    CHECK(codeOf(std::string(1000, '[')) == 105);
    CHECK(site.command({ "status" }, output) == 0);
}

TEST_CASE("settings with faults are refused before anything starts")
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
    Site site;
    auto const fleet = site.fleet({ "--workers", "0", "--servers", "1", "--service-ms", "500" });
    site.host->waitForOutput("BackendServerJoined");
    EventLoop loop;
    HttpClient client(loop, HttpClientLimits());
    std::string const address = site.address("callers");
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
        return site.host->output().find("RequestRouted") != std::string::npos;
    });
    site.host->sendSignal(SIGTERM);
    loop.run();
    CHECK(result.kind == HttpOutcome::Kind::Answered);
    CHECK(result.response.status == 200);
    CHECK(site.host->waitForExit() == 0);
    CHECK(site.host->output().find("HostStopped host=h1 cut=0") != std::string::npos);
}
