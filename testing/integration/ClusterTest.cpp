// Tests of the test harness: hosts start, are killed, paused and restarted, and links show the faults injected into them.

#include "testing/integration/Cluster.h"

#include "cornelpond/adapters/http/HttpServer.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

ClusterOptions oneHostOptions()
{
    ClusterOptions options;
    options.hosts = { { "h1", "dc1", true } };
    return options;
}

/// An HTTP echo server and a client in this thread, with a proxy process of two links between them.
class EchoThroughProxy {
public:
    EchoThroughProxy()
        : server(this->loop, HttpLimits(), [](HttpRequest const& request, HttpResponder const& responder) { responder.answer({ 200, {}, request.body }); })
        , client(this->loop, HttpClientLimits())
    {
        uint16_t const port = this->server.listen({ "127.0.0.1", 0 });
        this->proxy = std::make_unique<ChildProcess>(
            std::vector<std::string> { std::string(BINARY_FOLDER) + "/faultproxy", "--link", "a>b=127.0.0.1:0=127.0.0.1:" + std::to_string(port), "--link", "a>c=127.0.0.1:0=127.0.0.1:" + std::to_string(port) },
            this->folder.path() + "/proxy", ChildProcess::Input::Lines);
    }

    HttpOutcome::Kind exchange(std::string const& link)
    {
        HttpOutcome::Kind kind = HttpOutcome::Kind::Cancelled;
        bool done = false;
        HttpSendOptions options;
        options.timeout = Duration::milliseconds(500);
        HttpRequest request;
        request.method = "POST";
        request.path = "/";
        request.body = "hello";
        uint16_t const port = static_cast<uint16_t>(std::stoi(this->proxy->waitForWordAfter("link " + link + " port ")));
        this->client.send({ "127.0.0.1", port }, request, options, [&](HttpOutcome const& outcome) {
            kind = outcome.kind;
            done = true;
        });
        waitUntil("the exchange", [&] {
            this->loop.runOnce();
            return done;
        });
        return kind;
    }

    TemporaryFolder folder;
    EventLoop loop;
    HttpServer server;
    HttpClient client;
    std::unique_ptr<ChildProcess> proxy;
};

} // namespace

TEST_CASE("a host of a cluster is killed, wiped, paused and terminated")
{
    Cluster cluster(BINARY_FOLDER, oneHostOptions());
    cluster.startAll();
    ClusterHost& host = cluster.host("h1");
    CHECK(cluster.status("h1")["dataCentre"] == "dc1");
    REQUIRE(cluster.submit("h1", { { "id", "plan" }, { "association", "sluices" }, { "resources", { { "milliCores", 1000 } } }, { "command", "run 10" } }) == ResultCode::Ok);
    host.kill();
    CHECK(cluster.status("h1").is_null());
    host.start();
    CHECK(cluster.status("h1")["tasks"] == 1);
    host.pause();
    CHECK(cluster.status("h1").is_null());
    host.resume();
    waitUntil("the host to answer again", [&] { return !cluster.status("h1").is_null(); });
    host.sendTerminationSignal();
    CHECK(host.waitForExit() == 0);
    host.wipeDisk();
    host.start();
    CHECK(cluster.status("h1")["tasks"] == 0);
    CHECK(host.log().find("TaskSubmitted") != std::string::npos);
}

TEST_CASE("a host that cannot start is reported at once")
{
    ClusterOptions options = oneHostOptions();
    options.settingsPatch = { { "listen", 7 } };
    Cluster cluster(BINARY_FOLDER, options);
    CHECK_THROWS_WITH(cluster.startAll(), Catch::Contains("/listen"));
}

TEST_CASE("one proxy process carries links with faults of their own")
{
    EchoThroughProxy echo;
    CHECK(echo.exchange("a>b") == HttpOutcome::Kind::Answered);
    CHECK(echo.exchange("a>c") == HttpOutcome::Kind::Answered);
    echo.proxy->sendCommand("a>b cut both");
    CHECK(echo.exchange("a>b") == HttpOutcome::Kind::TimedOutBeforeResponse);
    CHECK(echo.exchange("a>c") == HttpOutcome::Kind::Answered);
    echo.proxy->sendCommand("a>b heal");
    CHECK(echo.exchange("a>b") == HttpOutcome::Kind::Answered);
    echo.proxy->sendCommand("* silence");
    CHECK(echo.exchange("a>c") == HttpOutcome::Kind::TimedOutBeforeResponse);
    CHECK(echo.exchange("a>c") == HttpOutcome::Kind::Answered);
    echo.proxy->sendCommand("a>c cut client");
    CHECK(echo.exchange("a>c") == HttpOutcome::Kind::TimedOutBeforeResponse);
    echo.proxy->sendCommand("* heal");
    CHECK(echo.exchange("a>c") == HttpOutcome::Kind::Answered);
}
