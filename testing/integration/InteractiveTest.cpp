// Interactive requests over real processes: claims, faults between entry host and backend server,
// shutdown and leaving servers.

#include "testing/fakes/TemporaryFolder.h"
#include "testing/faultproxy/Console.h"
#include "testing/integration/ChildProcess.h"
#include "testing/standin/Record.h"

#include "cornelpond/adapters/http/HttpClient.h"
#include "cornelpond/app/Settings.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <memory>

using namespace cornelpond;

namespace {

std::string const binary = std::string(BINARY_FOLDER) + "/cornelpond";
std::string const standinBinary = std::string(BINARY_FOLDER) + "/standin";

/// One entry host, restartable on its disk, and backend servers that record each run.
class Site {
public:
    Site()
    {
        nlohmann::json settings = defaultSettings(this->folder.path() + "/data");
        for (auto& listener : settings["listen"])
            listener["port"] = 0;
        std::ofstream(this->folder.path() + "/settings.json") << settings.dump();
        this->start();
    }

    void start()
    {
        this->host = std::make_unique<ChildProcess>(std::vector<std::string> { binary, "serve", "--settings", this->folder.path() + "/settings.json" }, this->base("host"));
        this->host->waitForOutput("HostStarted");
    }

    std::string base(std::string const& name) { return this->folder.path() + "/" + name + std::to_string(this->runs++); }

    Address callers() const { return parseAddress(this->host->waitForWordAfter("listener=callers address=")); }

    std::unique_ptr<ChildProcess> servers(std::vector<std::string> const& extra)
    {
        std::vector<std::string> arguments = { standinBinary, "--entry", this->host->waitForWordAfter("listener=workers address="), "--announce-ms", "100", "--workers", "0", "--service",
            "booking", "--record", this->recordPath() };
        arguments.insert(arguments.end(), extra.begin(), extra.end());
        return std::make_unique<ChildProcess>(arguments, this->base("servers"));
    }

    std::string recordPath() const { return this->folder.path() + "/record"; }

    int runsOf(std::string const& key) const
    {
        int count = 0;
        for (auto const& entry : readRecord(this->recordPath()))
            count += entry.kind == RecordKind::RequestRun && entry.key == key ? 1 : 0;
        return count;
    }

    TemporaryFolder folder;
    std::unique_ptr<ChildProcess> host;
    int runs = 0;
};

HttpRequest makeRequest(std::string const& key)
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/booking/crew";
    request.body = "crew for stall 7";
    if (!key.empty()) {
        request.headers.add("Cornelpond-Not-Repeatable", "true");
        request.headers.add("Idempotency-Key", key);
    }
    return request;
}

HttpOutcome exchange(Address const& to, HttpRequest const& request)
{
    EventLoop loop;
    HttpClient client(loop, HttpClientLimits());
    HttpOutcome result;
    client.send(to, request, HttpSendOptions(), [&](HttpOutcome const& outcome) {
        result = outcome;
        loop.stop();
    });
    loop.run();
    return result;
}

std::string ranOf(HttpOutcome const& outcome)
{
    return nlohmann::json::parse(outcome.response.body)["ran"].get<std::string>();
}

} // namespace

TEST_CASE("a key sent again gets the first answer without a second run, also after kill -9 of the entry host")
{
    Site site;
    auto servers = site.servers({ "--servers", "2" });
    site.host->waitForOutput("BackendServerJoined host=h1 server=s2");
    HttpOutcome const first = exchange(site.callers(), makeRequest("k1"));
    REQUIRE(first.response.status == 200);
    CHECK(site.runsOf("k1") == 1);
    HttpOutcome const again = exchange(site.callers(), makeRequest("k1"));
    CHECK(again.response.body == first.response.body);
    CHECK(again.response.headers.find("Cornelpond-Replayed"));
    HttpRequest other = makeRequest("k1");
    other.body = "another crew";
    CHECK(exchange(site.callers(), other).response.status == 409);
    site.host->kill();
    site.start();
    HttpOutcome const afterCrash = exchange(site.callers(), makeRequest("k1"));
    CHECK(afterCrash.response.status == 200);
    CHECK(afterCrash.response.body == first.response.body);
    CHECK(site.runsOf("k1") == 1);
}

TEST_CASE("a key in flight when its entry host was killed is never run again")
{
    Site site;
    auto servers = site.servers({ "--servers", "1", "--service-ms", "60000" });
    site.host->waitForOutput("BackendServerJoined");
    EventLoop loop;
    HttpClient client(loop, HttpClientLimits());
    client.send(site.callers(), makeRequest("k2"), HttpSendOptions(), [](HttpOutcome const&) {});
    for (int i = 0; i < 2000 && !site.runsOf("k2"); i++) {
        loop.after(Duration::milliseconds(5), [&] { loop.stop(); });
        loop.run();
    }
    REQUIRE(site.runsOf("k2") == 1);
    site.host->kill();
    site.start();
    auto more = site.servers({ "--servers", "1", "--name", "b" });
    site.host->waitForOutput("BackendServerJoined");
    HttpOutcome const again = exchange(site.callers(), makeRequest("k2"));
    CHECK(again.response.status == 409);
    CHECK(ranOf(again) == "unknown");
    CHECK(site.runsOf("k2") == 1);
}

TEST_CASE("a refused request that did not run leaves its key free")
{
    Site site;
    HttpOutcome const refused = exchange(site.callers(), makeRequest("k3"));
    CHECK(refused.response.status == 404);
    CHECK(ranOf(refused) == "no");
    auto servers = site.servers({ "--servers", "1" });
    site.host->waitForOutput("BackendServerJoined");
    CHECK(exchange(site.callers(), makeRequest("k3")).response.status == 200);
    CHECK(site.runsOf("k3") == 1);
}

TEST_CASE("SIGTERM: health says so first while requests are served, then all in flight is finished and the exit is 0")
{
    Site site;
    auto servers = site.servers({ "--servers", "1", "--service-ms", "300" });
    site.host->waitForOutput("BackendServerJoined");
    site.host->sendSignal(SIGTERM);
    site.host->waitForOutput("HostStopping");
    HttpRequest health;
    health.method = "GET";
    health.path = "/health";
    CHECK(exchange(site.callers(), health).response.status == 503);
    CHECK(exchange(site.callers(), makeRequest("")).response.status == 200);
    CHECK(site.host->waitForExit() == 0);
    CHECK(site.host->output().find("cut=0") != std::string::npos);
}

TEST_CASE("a request whose connections were all refused is said not to have run")
{
    Site site;
    auto servers = site.servers({ "--servers", "2" });
    site.host->waitForOutput("BackendServerJoined host=h1 server=s2");
    servers->kill();
    HttpRequest request = makeRequest("");
    request.headers.add("Cornelpond-Deadline-Ms", "3000");
    HttpOutcome const refused = exchange(site.callers(), request);
    CHECK(refused.response.status == 502);
    CHECK(ranOf(refused) == "no");
}
