// Runs a fleet of real processes under a steady load without faults, and prints what each host's processor time is for a
// task that is started and ends.
//
//   build/bin/fleet_load --program build/bin/cornelpond --workers 100 --starts 300 --seconds 10
//
// All workers live in this process, which bounds the load that the bench can produce.

#include "testing/integration/FleetProcesses.h"
#include "testing/soak/WorkerServer.h"

#include "cornelpond/adapters/http/HttpClient.h"

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <memory>
#include <sstream>
#include <unistd.h>
#include <vector>

namespace {

using namespace cornelpond;
using Json = nlohmann::json;

constexpr int entryHost = 8;
constexpr Duration workerStep = Duration::milliseconds(10);
constexpr Duration heartbeatInterval = Duration::milliseconds(1500);
constexpr uint32_t tasksPerJob = 20;

/// Processor time of a process so far, in seconds.
double processorSeconds(int pid)
{
    std::ifstream file(fmt::format("/proc/{}/stat", pid));
    std::string text((std::istreambuf_iterator<char>(file)), {});
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string field;
    double ticks = 0;
    for (int i = 0; i < 13 && fields >> field; i++) {
        if (i >= 11)
            ticks += std::stod(field);
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

class LoadRun {
public:
    LoadRun(std::string const& program, size_t workerCount)
        : random(1)
        , workers(this->workerClock, this->random)
        , fleet(program)
        , client(this->loop, HttpClientLimits())
        , lastStep(this->loop.now())
    {
        for (int host = 1; host <= 3; host++)
            this->fleet.startControlHost(host, true);
        this->fleet.startEntryHost(entryHost);
        for (size_t i = 0; i < workerCount; i++)
            this->addWorker(i);
    }

    void addWorker(size_t number)
    {
        WorkerProfile profile;
        profile.id = WorkerId("i-" + std::to_string(1000000 + number));
        profile.bornMs = 1;
        profile.service = ServiceId("fleet");
        profile.rack = RackId("r" + std::to_string(number / 12));
        profile.labels = { "a", profile.rack.value() };
        profile.capacity = { 16000, 64000, 0 };
        this->workers.addWorker(profile);
        this->servers.push_back(std::make_unique<WorkerServer>(this->loop, this->workers, profile.id));
        this->addresses.push_back("127.0.0.1:" + std::to_string(this->servers.back()->listen({ "127.0.0.1", 0 })));
        this->ids.push_back(profile.id);
    }

    void step()
    {
        this->loop.runOnce();
        TimePoint const now = this->loop.now();
        while (now - this->lastStep >= workerStep) {
            this->lastStep = this->lastStep + workerStep;
            this->workerClock.advance(workerStep);
            this->workers.step();
        }
        size_t const due = static_cast<size_t>((now - this->started).toMilliseconds() * static_cast<int64_t>(this->ids.size()) / heartbeatInterval.toMilliseconds());
        for (; this->heartbeats < due; this->heartbeats++)
            this->sendHeartbeat(this->heartbeats % this->ids.size());
    }

    void send(Address const& to, HttpRequest request)
    {
        request.headers.add("Host", "jobs.example");
        this->client.send(to, request, HttpSendOptions(), [this](HttpOutcome const& outcome) { this->accepted += outcome.kind == HttpOutcome::Kind::Answered && outcome.response.status == 200; });
    }

    void sendHeartbeat(size_t worker)
    {
        this->client.send({ this->fleet.ip(1 + static_cast<int>(worker % 3)), FleetProcesses::controlPort }, WorkerServer::makeHeartbeat(this->workers.report(this->ids[worker]), this->addresses[worker]), HttpSendOptions(), [](HttpOutcome const&) {});
    }

    void configure()
    {
        Json const body { { "version", 1 },
            { "routes", { { { "name", "jobs" }, { "host", "jobs.example" }, { "path-prefix", "/jobs/" }, { "timeout-ms", 2000 }, { "target-latency-ms", 500 }, { "service", "fleet" }, { "max-attempts", 3 }, { "stretch-factor", 2.0 } } } },
            { "services", { { { "name", "fleet" }, { "enforces-capacity", true } } } } };
        this->send({ this->fleet.ip(1), FleetProcesses::controlPort }, { "POST", "/v1/configuration/replace", "", {}, body.dump() });
    }

    void submit()
    {
        std::string const id = fmt::format("{:016x}", ++this->submitted);
        JobSpec job;
        job.id = JobId(id);
        StageSpec stage;
        stage.taskCount = tasksPerJob;
        stage.need = { 500, 100, 0 };
        stage.estimatedRunTime = Duration::milliseconds(600);
        job.stages.push_back(stage);
        this->workers.registerJob(job);
        Json const body { { "task-spec", "payload" }, { "steps", { { { "count", tasksPerJob }, { "cpu", 500 }, { "memory-request-mb", 100 }, { "estimated-ms", 600 } } } } };
        this->send({ this->fleet.ip(entryHost), FleetProcesses::callerPort }, { "POST", "/jobs/" + id, "", {}, body.dump() });
    }

    void runFor(Duration span, double jobsPerSecond)
    {
        TimePoint const from = this->loop.now();
        double due = 0;
        while (this->loop.now() - from < span) {
            this->step();
            for (double const target = (this->loop.now() - from).toSeconds() * jobsPerSecond; due < target; due++)
                this->submit();
            usleep(200);
        }
    }

    void report(Duration span, double jobsPerSecond)
    {
        this->runFor(Duration::seconds(2), jobsPerSecond);
        std::vector<double> before;
        for (int host : { 1, 2, 3, entryHost })
            before.push_back(processorSeconds(this->fleet.process(host).pid()));
        uint64_t const startsBefore = this->workers.record().starts;
        int const leader = this->fleet.leaderInLogs();
        fmt::print("leader: host {}, pid {}\n", leader, this->fleet.process(leader).pid());
        std::fflush(stdout);
        this->runFor(span, jobsPerSecond);
        auto const starts = static_cast<double>(this->workers.record().starts - startsBefore);
        size_t i = 0;
        for (int host : { 1, 2, 3, entryHost }) {
            double const used = processorSeconds(this->fleet.process(host).pid()) - before[i++];
            fmt::print("host {}{}: {:.1f} % of a core, {:.1f} us a task\n", host, host == leader ? " (leader)" : "", 100 * used / span.toSeconds(), 1e6 * used / starts);
        }
        fmt::print("{:.0f} starts a second\n", starts / span.toSeconds());
    }

private:
    EventLoop loop;
    SeededRandom random;
    FakeClock workerClock;
    FakeFleet workers;
    FleetProcesses fleet;
    HttpClient client;
    std::vector<std::unique_ptr<WorkerServer>> servers;
    std::vector<std::string> addresses;
    std::vector<WorkerId> ids;
    TimePoint started = this->loop.now();
    TimePoint lastStep;
    size_t heartbeats = 0;
    uint64_t submitted = 0;
    uint64_t accepted = 0;
};

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options description("fleet_load", "Processor time of a fleet's hosts under a steady load.");
    description.add_options()("program", "the cornelpond binary", cxxopts::value<std::string>())("workers", "simulated workers", cxxopts::value<size_t>()->default_value("100"))(
        "starts", "task starts a second", cxxopts::value<double>()->default_value("300"))("seconds", "length of the measured load", cxxopts::value<int64_t>()->default_value("10"));
    auto const given = description.parse(argc, argv);
    LoadRun run(given["program"].as<std::string>(), given["workers"].as<size_t>());
    run.runFor(Duration::seconds(3), 0);
    run.configure();
    run.runFor(Duration::seconds(3), 0);
    run.report(Duration::seconds(given["seconds"].as<int64_t>()), given["starts"].as<double>() / tasksPerJob);
}
