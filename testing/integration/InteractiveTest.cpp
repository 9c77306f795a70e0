// Interactive requests over real processes: idempotency keys, lost backend servers and graceful shutdown.

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

/// One entry host that can be restarted on the same disk, and stand-in backend servers that record each request they run.
class EntryHostFixture {
public:
    EntryHostFixture()
    {
        nlohmann::json settings = defaultSettings(this->folder.path() + "/data");
        for (auto& listener : settings["listen"])
            listener["port"] = 0;
        std::ofstream(this->folder.path() + "/settings.json") << settings.dump();
        this->start();
    }

    void start()
    {
        this->host = std::make_unique<ChildProcess>(std::vector<std::string> { binary, "serve", "--settings", this->folder.path() + "/settings.json" }, this->outputBase("host"));
        this->host->waitForOutput("HostStarted");
    }

    std::string outputBase(std::string const& name) { return this->folder.path() + "/" + name + std::to_string(this->outputCount++); }

    Address callersAddress() const { return parseAddress(this->host->waitForWordAfter("listener=callers address=")); }

    std::unique_ptr<ChildProcess> startServers(std::vector<std::string> const& extra)
    {
        std::vector<std::string> arguments = { standinBinary, "--entry", this->host->waitForWordAfter("listener=workers address="), "--announce-ms", "100", "--workers", "0", "--service",
            "booking", "--record", this->recordPath() };
        arguments.insert(arguments.end(), extra.begin(), extra.end());
        return std::make_unique<ChildProcess>(arguments, this->outputBase("servers"));
    }

    std::string recordPath() const { return this->folder.path() + "/record"; }

    int runCount(std::string const& key) const
    {
        int count = 0;
        for (auto const& entry : readRecord(this->recordPath()))
            count += entry.kind == RecordKind::RequestRun && entry.key == key ? 1 : 0;
        return count;
    }

    TemporaryFolder folder;
    std::unique_ptr<ChildProcess> host;
    int outputCount = 0;
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

std::string ranField(HttpOutcome const& outcome)
{
    return nlohmann::json::parse(outcome.response.body)["ran"].get<std::string>();
}

} // namespace

TEST_CASE("a request resent with its idempotency key gets the first response without a second run, also after kill -9 of the entry host")
{
    EntryHostFixture fixture;
    auto servers = fixture.startServers({ "--servers", "2" });
    fixture.host->waitForOutput("BackendServerJoined host=h1 server=s2");
    HttpOutcome const first = exchange(fixture.callersAddress(), makeRequest("k1"));
    REQUIRE(first.response.status == 200);
    CHECK(fixture.runCount("k1") == 1);
    HttpOutcome const again = exchange(fixture.callersAddress(), makeRequest("k1"));
    CHECK(again.response.body == first.response.body);
    CHECK(again.response.headers.find("Cornelpond-Replayed"));
    HttpRequest other = makeRequest("k1");
    other.body = "another crew";
    CHECK(exchange(fixture.callersAddress(), other).response.status == 409);
    fixture.host->kill();
    fixture.start();
    HttpOutcome const afterCrash = exchange(fixture.callersAddress(), makeRequest("k1"));
    CHECK(afterCrash.response.status == 200);
    CHECK(afterCrash.response.body == first.response.body);
    CHECK(fixture.runCount("k1") == 1);
}

TEST_CASE("a request with a key that was in flight when its entry host was killed never runs again")
{
    EntryHostFixture fixture;
    auto servers = fixture.startServers({ "--servers", "1", "--service-ms", "60000" });
    fixture.host->waitForOutput("BackendServerJoined");
    EventLoop loop;
    HttpClient client(loop, HttpClientLimits());
    client.send(fixture.callersAddress(), makeRequest("k2"), HttpSendOptions(), [](HttpOutcome const&) {});
    for (int i = 0; i < 2000 && !fixture.runCount("k2"); i++) {
        loop.after(Duration::milliseconds(5), [&] { loop.stop(); });
        loop.run();
    }
    REQUIRE(fixture.runCount("k2") == 1);
    fixture.host->kill();
    fixture.start();
    auto more = fixture.startServers({ "--servers", "1", "--name", "b" });
    fixture.host->waitForOutput("BackendServerJoined");
    HttpOutcome const again = exchange(fixture.callersAddress(), makeRequest("k2"));
    CHECK(again.response.status == 409);
    CHECK(ranField(again) == "unknown");
    CHECK(fixture.runCount("k2") == 1);
}

TEST_CASE("the key of a refused request that did not run can be used again")
{
    EntryHostFixture fixture;
    HttpOutcome const refused = exchange(fixture.callersAddress(), makeRequest("k3"));
    CHECK(refused.response.status == 404);
    CHECK(ranField(refused) == "no");
    auto servers = fixture.startServers({ "--servers", "1" });
    fixture.host->waitForOutput("BackendServerJoined");
    CHECK(exchange(fixture.callersAddress(), makeRequest("k3")).response.status == 200);
    CHECK(fixture.runCount("k3") == 1);
}

TEST_CASE("after SIGTERM health fails while requests are still served, then the host exits with 0 without cutting off a request")
{
    EntryHostFixture fixture;
    auto servers = fixture.startServers({ "--servers", "1", "--service-ms", "300" });
    fixture.host->waitForOutput("BackendServerJoined");
    fixture.host->sendSignal(SIGTERM);
    fixture.host->waitForOutput("HostStopping");
    HttpRequest health;
    health.method = "GET";
    health.path = "/health";
    CHECK(exchange(fixture.callersAddress(), health).response.status == 503);
    CHECK(exchange(fixture.callersAddress(), makeRequest("")).response.status == 200);
    CHECK(fixture.host->waitForExit() == 0);
    CHECK(fixture.host->output().find("cut=0") != std::string::npos);
}

TEST_CASE("a request whose connections were all refused is reported as not run")
{
    EntryHostFixture fixture;
    auto servers = fixture.startServers({ "--servers", "2" });
    fixture.host->waitForOutput("BackendServerJoined host=h1 server=s2");
    servers->kill();
    HttpRequest request = makeRequest("");
    request.headers.add("Cornelpond-Deadline-Ms", "3000");
    HttpOutcome const refused = exchange(fixture.callersAddress(), request);
    CHECK(refused.response.status == 502);
    CHECK(ranField(refused) == "no");
}
