// A fleet of real processes that discover each other from seeds: three control hosts and one entry host.

#include "testing/faultproxy/FaultProxy.h"
#include "testing/integration/FleetProcesses.h"
#include "testing/soak/WorkerServer.h"

#include "cornelpond/adapters/http/HttpClient.h"
#include "cornelpond/adapters/http/HttpServer.h"
#include "platform/Decode.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <map>
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
        while (!result)
            this->step();
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

    /// Sends the request without waiting for the response.
    void post(Address const& address, HttpRequest const& request)
    {
        HttpSendOptions options;
        options.timeout = Duration::seconds(1);
        this->client.send(address, request, options, [](HttpOutcome const&) {});
    }

    /// Serves sockets until `isReached` returns true; false if that takes longer than `bound`.
    bool runUntil(Duration bound, std::function<bool()> const& isReached)
    {
        TimePoint const end = this->loop.now() + bound;
        while (!isReached()) {
            if (this->loop.now() >= end)
                return false;
            this->step();
        }
        return true;
    }

    EventLoop loop;
    std::function<void()> onStep = [] {}; ///< Called every few milliseconds while a call or runUntil waits.

private:
    void step()
    {
        this->loop.runOnce();
        this->onStep();
        usleep(1000);
    }

    HttpClient client { loop, HttpClientLimits() };
};

/// A worker that runs the tasks of registered jobs until they end, are stopped or their lease ends.
class SimulatedWorker {
public:
    SimulatedWorker(Fleet& fleet, std::string const& ip)
        : fleet(fleet)
        , lastStep(fleet.loop.now())
    {
        WorkerProfile profile;
        profile.id = this->id;
        profile.bornMs = 1;
        profile.service = ServiceId("s");
        profile.rack = RackId("r1");
        profile.labels = { "a", "r1" };
        profile.capacity = { 4000, 8000, 0 };
        this->workers.addWorker(profile);
        this->address = ip + ":" + std::to_string(this->server.listen({ ip, 0 }));
        fleet.onStep = [this] { this->step(); };
    }
    ~SimulatedWorker()
    {
        this->fleet.onStep = [] {};
    }
    SimulatedWorker(SimulatedWorker const&) = delete;
    SimulatedWorker& operator=(SimulatedWorker const&) = delete;

    void registerJob(JobId const& job, std::string const& body) { this->workers.registerJob(platform::decodeJob(job, body)); }
    size_t runningCount(JobId const& job) const { return this->workers.runningCount(job); }
    unsigned starts() const { return this->workers.record().starts; }

private:
    void step()
    {
        constexpr Duration workerStep = Duration::milliseconds(5);
        constexpr Duration heartbeatInterval = Duration::milliseconds(500);
        TimePoint const now = this->fleet.loop.now();
        for (; now - this->lastStep >= workerStep; this->lastStep = this->lastStep + workerStep) {
            this->clock.advance(workerStep);
            this->workers.step();
        }
        if (now < this->nextHeartbeat)
            return;
        this->nextHeartbeat = now + heartbeatInterval;
        HttpRequest const heartbeat = WorkerServer::makeHeartbeat(this->workers.report(this->id), this->address);
        for (int host = 1; host <= 3; host++)
            this->fleet.post({ this->fleet.ip(host), FleetProcesses::controlPort }, heartbeat);
    }

    Fleet& fleet;
    WorkerId id { "w1" };
    SeededRandom random { 1 };
    FakeClock clock;
    FakeFleet workers { clock, random };
    WorkerServer server { fleet.loop, workers, id };
    std::string address;
    TimePoint lastStep;
    TimePoint nextHeartbeat;
};

/// A worker that ends each task as done at once. Its lists also hold rows that cannot be read.
class OddListingWorker {
public:
    OddListingWorker(Fleet& fleet, std::string ip)
        : ip(std::move(ip))
        , server(fleet.loop, HttpLimits(), [this](HttpRequest const& request, HttpResponder const& responder) { responder.answer(this->answer(request)); })
        , port(this->server.listen({ this->ip, 0 }))
    {
    }

    std::string heartbeat(int sequence) const
    {
        return R"({"service":"s","address":")" + this->ip + ":" + std::to_string(this->port) + R"(","zone":"z1","version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,)"
            + R"("capacity":{"cpu":16000,"memory-request-mb":32768,"gpu":0},"labels":["a","r1"],"born":1700000000123,"sequence":)" + std::to_string(sequence) + "}";
    }

    uint64_t acknowledged() const { return this->lastAcknowledged; }

private:
    HttpResponse answer(HttpRequest const& request)
    {
        nlohmann::json const body = nlohmann::json::parse(request.body);
        std::string const clock = R"({"clock-ms":)" + std::to_string(++this->clockMs);
        if (request.path == "/v1/run-start") {
            constexpr uint64_t oddRowsPerTask = 2;
            this->ends.try_emplace(this->nextEnd + 1, body["task"].get<std::string>(), body["run"].get<uint64_t>());
            this->nextEnd += oddRowsPerTask;
        }
        if (request.path != "/v1/hold")
            return { 200, {}, clock + "}" };
        this->lastAcknowledged = std::max(this->lastAcknowledged, body.value("last-seen", uint64_t(0)));
        std::string rows = "7";
        for (auto const& [number, attempt] : this->ends) {
            if (number <= this->lastAcknowledged)
                continue;
            rows += ",[" + std::to_string(number - 1) + R"(,["odd"],-1,{},1e300],[)" + std::to_string(number) + ",\"" + attempt.first + "\"," + std::to_string(attempt.second) + R"(,"done",""])";
        }
        return { 200, {}, clock + R"(,"born":1700000000123,"running":[null,[[[[1]]]],["x",1e300]],"ended":[)" + rows + "]}" };
    }

    std::string ip;
    HttpServer server;
    uint16_t port;
    uint64_t clockMs = 1000;
    uint64_t nextEnd = 1;
    uint64_t lastAcknowledged = 0;
    std::map<uint64_t, std::pair<std::string, uint64_t>> ends; ///< By number.
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

TEST_CASE("odd heartbeats, lists, jobs and configurations leave control hosts that schedule, also after a restart of all")
{
    Fleet fleet;
    constexpr int entry = 9;
    constexpr int workerHost = 60;
    for (int host = 1; host <= 3; host++)
        fleet.startControlHost(host, true);
    fleet.startEntryHost(entry);
    fleet.callUntil(200, 1, controlPort, "POST", "/v1/configuration/replace", configuration);
    OddListingWorker const worker(fleet, fleet.ip(workerHost));

    std::string const good = worker.heartbeat(1);
    auto const changed = [&](std::string const& from, std::string const& to) {
        std::string text = good;
        return text.replace(text.find(from), from.size(), to);
    };
    std::string const deep(100000, '[');
    std::vector<std::string> const odd { "", "{", "\xff\xfe", deep, R"({"service":)" + deep, changed("16000", "1e999"), changed("16000", "99999999999999999999"), changed(R"("slots":8)", R"("slots":1e999)"),
        changed("1700000000123", "1e999"), changed("1700000000123", "99999999999999999999"), changed(R"("sequence":1)", R"("sequence":1e999)"), changed(fleet.ip(workerHost) + ":", fleet.ip(workerHost) + ":9"),
        changed(fleet.ip(workerHost) + ":", "not-an-ip:"), changed(R"("ready")", R"("lost")"), changed(R"("s")", R"("nowhere")"), changed(R"(["a","r1"])", "7") };
    auto const sendOdd = [&](int host) {
        for (size_t i = 0; i < odd.size(); i++) {
            int const status = fleet.call(host, controlPort, "POST", "/v1/instances/odd-" + std::to_string(i) + "/heartbeat", odd[i]).status;
            CAPTURE(host, odd[i].substr(0, 300));
            CHECK(status >= 400);
            CHECK(status < 500);
        }
        CHECK(fleet.call(host, controlPort, "POST", "/v1/instances/" + std::string(10000, 'x') + "/heartbeat", good).status == 400);
        CHECK(fleet.call(host, controlPort, "POST", "/v1/instances/%ff%0d%0a/heartbeat", good).status == 400);
        CHECK(fleet.call(host, controlPort, "POST", "/v1/configuration/replace", R"({"version":1e999,"routes":[],"services":[]})").status == 400);
        CHECK(fleet.call(host, controlPort, "POST", "/v1/configuration/replace", R"({"version":18446744073709551615,"routes":[],"services":[]})").status == 422);
    };
    auto const runJob = [&](std::string const& id, int sequence) {
        for (auto const& steps : { R"([{"count":1e999}])", R"([{"count":4294967297}])", R"([{"count":1,"cpu":99999999999999999999}])" }) {
            HttpResponse const refused = fleet.call(entry, callerPort, "POST", "/plans/ffffffffffffffff", std::string(R"({"steps":)") + steps + "}");
            CHECK(refused.status >= 400);
            CHECK(refused.status < 500);
        }
        fleet.callUntil(200, 1, controlPort, "POST", "/v1/instances/i-1/heartbeat", worker.heartbeat(sequence));
        fleet.callUntil(200, entry, callerPort, "POST", "/plans/" + id, job);
        waitUntil("the job's end", [&] { return fleet.call(entry, callerPort, "GET", "/plans/" + id).body.find("completed") != std::string::npos; });
    };
    for (int host = 1; host <= 3; host++)
        sendOdd(host);
    runJob("5c0e7a21d94b36f8", 2);
    waitUntil("the acknowledgement of the ends", [&] { return fleet.call(entry, readinessPort, "GET", "/v1/readiness").status && worker.acknowledged() > 0; });

    for (int host = 1; host <= 3; host++) {
        CHECK_FALSE(fleet.process(host).hasExited());
        CHECK(fleet.process(host).output().find("InternalFault") == std::string::npos);
        fleet.kill(host);
    }
    for (int host = 1; host <= 3; host++)
        fleet.startControlHost(host, false);
    fleet.callUntil(200, 2, controlPort, "GET", "/v1/configuration/read");
    sendOdd(2);
    runJob("6c0e7a21d94b36f8", 3);
    for (int host = 1; host <= 3; host++)
        CHECK(fleet.process(host).output().find("InternalFault") == std::string::npos);
}

namespace {

/// Removes the queue of a running job and cancels the job through another entry host than it was submitted by.
void cancelJobOfRemovedQueue(bool isLeaderKilled)
{
    constexpr int entry = 9;
    constexpr int otherEntry = 8;
    constexpr Duration acknowledgementBound = Duration::seconds(6);
    constexpr Duration runBound = Duration::milliseconds(5400); // The time of a cancel and of a stop.
    constexpr size_t taskCount = 2;
    std::string const longJob = R"({"task-spec":"x","steps":[{"count":2,"cpu":100,"memory-request-mb":10,"estimated-ms":600000}]})";
    std::string const otherConfiguration = R"({"version":4,"routes":[{"name":"others","host":"jobs.example","path-prefix":"/others/","timeout-ms":3000,"service":"s","max-attempts":2}],"services":[{"name":"s"}]})";
    JobId const id("5c0e7a21d94b36f8");
    Fleet fleet;
    for (int host = 1; host <= 3; host++)
        fleet.startControlHost(host, true);
    fleet.startEntryHost(entry);
    fleet.startEntryHost(otherEntry);
    fleet.callUntil(200, 1, controlPort, "POST", "/v1/configuration/replace", configuration);
    SimulatedWorker worker(fleet, fleet.ip(60));
    worker.registerJob(id, longJob);
    fleet.callUntil(200, entry, callerPort, "POST", path, longJob);
    REQUIRE(fleet.runUntil(Duration::seconds(20), [&] { return worker.runningCount(id) == taskCount; }));
    fleet.callUntil(200, 1, controlPort, "POST", "/v1/configuration/replace", otherConfiguration);
    fleet.callUntil(404, otherEntry, callerPort, "GET", path);

    if (isLeaderKilled)
        fleet.kill(fleet.leader());
    int status = 0;
    bool const isAcknowledged = fleet.runUntil(acknowledgementBound, [&] {
        status = fleet.call(otherEntry, callerPort, "DELETE", path).status;
        return status / 100 == 2 || status == 410;
    });
    CAPTURE(status);
    CHECK(isAcknowledged);
    CHECK(fleet.runUntil(runBound, [&] { return worker.runningCount(id) == 0; }));
    unsigned const starts = worker.starts();
    fleet.runUntil(Duration::seconds(2), [] { return false; });
    CHECK(worker.runningCount(id) == 0);
    CHECK(worker.starts() == starts);
}

} // namespace

TEST_CASE("a running job whose queue was removed is cancelled through another entry host")
{
    cancelJobOfRemovedQueue(false);
}

TEST_CASE("a running job whose queue was removed is cancelled through another entry host after the leader was killed")
{
    cancelJobOfRemovedQueue(true);
}

// Guards against a job that starts although its caller was told that there is none.
TEST_CASE("a submission that a frozen entry host passes on after the cancel was answered does not start a job")
{
    constexpr int frozenEntry = 9;
    constexpr int entry = 8;
    Fleet fleet;
    for (int host = 1; host <= 3; host++)
        fleet.startControlHost(host, true);
    fleet.startEntryHost(frozenEntry);
    fleet.startEntryHost(entry);
    fleet.callUntil(200, 1, controlPort, "POST", "/v1/configuration/replace", configuration);
    fleet.callUntil(200, frozenEntry, readinessPort, "GET", "/v1/readiness");
    fleet.process(frozenEntry).sendSignal(SIGSTOP);
    HttpRequest submission { "POST", path, "", {}, job };
    submission.headers.add("Host", "jobs.example");
    fleet.post({ fleet.ip(frozenEntry), callerPort }, submission);
    CHECK(fleet.callUntil(410, entry, callerPort, "DELETE", path).status == 410);
    fleet.process(frozenEntry).sendSignal(SIGCONT);
    bool const isRefused = fleet.runUntil(Duration::seconds(10), [&] {
        return fleet.process(fleet.leader()).output().find("cancelled before it arrived") != std::string::npos;
    });
    CHECK(isRefused);
    CHECK(fleet.call(entry, callerPort, "GET", path).status == 410);
}

// Guards against calls that are carried out and never answered: each answer came after its attempt had been given up.
TEST_CASE("a cancel is acknowledged although each answer of the leader takes longer than an attempt")
{
    constexpr int entry = 9;
    constexpr int slowEntry = 8;
    Fleet fleet;
    SeededRandom random(1);
    std::vector<std::unique_ptr<FaultProxy>> links;
    for (int host = 1; host <= 3; host++) {
        Address const listen { fleet.proxyIp(slowEntry, host), FleetProcesses::peerPort };
        links.push_back(std::make_unique<FaultProxy>(fleet.loop, random, listen, Address { fleet.ip(host), FleetProcesses::peerPort }));
        fleet.setPeerRoute(slowEntry, host);
        fleet.startControlHost(host, true);
    }
    fleet.startEntryHost(entry);
    fleet.startEntryHost(slowEntry);
    fleet.callUntil(200, 1, controlPort, "POST", "/v1/configuration/replace", configuration);
    fleet.callUntil(200, slowEntry, readinessPort, "GET", "/v1/readiness");
    fleet.callUntil(200, entry, callerPort, "POST", path, job);
    LinkFaults slow;
    slow.delay = Duration::milliseconds(600);
    for (auto const& link : links)
        link->setFaults(slow);
    CHECK(fleet.call(slowEntry, callerPort, "DELETE", path).status == 200);
    CHECK(nlohmann::json::parse(fleet.callUntil(200, entry, callerPort, "GET", path).body)["state"] == "cancelled");
}
