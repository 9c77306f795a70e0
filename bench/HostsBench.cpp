// Measures the idle cost and the reaction times of eight entry hosts in three data centres, run as real processes.
//
//   build/bin/hosts_bench [DELAY_MS]   one-way delay between data centres, 0 when absent
//
// Prints the CPU share, memory and peer bytes of each idle host; then the time from a configuration change to its
// answer and to its use on all hosts, and the time from kill -9 of the leader to the election of a new one.

#include "testing/integration/Cluster.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <fstream>
#include <iterator>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace cornelpond;

namespace {

constexpr int idleSeconds = 10;
constexpr int changeCount = 30;
constexpr int killCount = 5;

int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// The time at the start of a log line, "2026-01-31T23:59:59.123Z", in ms since the epoch.
int64_t logLineTimeMs(std::string const& line)
{
    std::tm parts {};
    strptime(line.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
    return static_cast<int64_t>(timegm(&parts)) * 1000 + std::stoi(line.substr(20, 3));
}

/// The time of the first log line that contains both texts, in ms since the epoch; 0 without such a line.
int64_t firstLineTimeMs(std::string const& log, std::string const& event, std::string const& field)
{
    std::istringstream lines(log);
    for (std::string line; std::getline(lines, line);) {
        if (line.find(event) != std::string::npos && line.find(field) != std::string::npos)
            return logLineTimeMs(line);
    }
    return 0;
}

struct Sample {
    int64_t cpuTicks = 0;
    int64_t residentKiB = 0;
    int64_t peerBytesSent = 0;
};

Sample takeSample(ClusterHost const& host)
{
    Sample sample;
    std::ifstream stat("/proc/" + std::to_string(host.pid()) + "/stat");
    std::string text { std::istreambuf_iterator<char>(stat), std::istreambuf_iterator<char>() };
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::vector<std::string> const words { std::istream_iterator<std::string>(fields), std::istream_iterator<std::string>() };
    sample.cpuTicks = std::stoll(words[11]) + std::stoll(words[12]);
    sample.residentKiB = std::stoll(words[21]) * sysconf(_SC_PAGESIZE) / 1024;
    EventLoop loop;
    HttpClient client(loop, HttpClientLimits());
    std::string const address = host.address("operators");
    size_t const colon = address.find(':');
    HttpRequest request;
    request.method = "GET";
    request.path = "/metrics";
    client.send({ address.substr(0, colon), static_cast<uint16_t>(std::stoi(address.substr(colon + 1))) }, request, HttpSendOptions(), [&](HttpOutcome const& outcome) {
        size_t const at = outcome.response.body.find("peerBytesSent ");
        sample.peerBytesSent = at == std::string::npos ? 0 : std::stoll(outcome.response.body.substr(at + 14));
        loop.stop();
    });
    loop.run();
    return sample;
}

std::string configLeader(Cluster& cluster, std::string const& askedHost)
{
    nlohmann::json const status = cluster.status(askedHost);
    for (auto const& group : status.is_null() ? nlohmann::json::array() : status["groups"]) {
        if (group["group"] == "config")
            return group["leader"].get<std::string>();
    }
    return std::string();
}

void printQuantiles(std::string const& what, std::vector<int64_t> values)
{
    std::sort(values.begin(), values.end());
    fmt::print("{}: n={} min={} p50={} max={} ms\n", what, values.size(), values.front(), values[values.size() / 2], values.back());
}

void measureIdle(Cluster& cluster)
{
    std::vector<Sample> before;
    for (auto const& name : cluster.allHostNames())
        before.push_back(takeSample(cluster.host(name)));
    std::this_thread::sleep_for(std::chrono::seconds(idleSeconds));
    size_t index = 0;
    for (auto const& name : cluster.allHostNames()) {
        Sample const after = takeSample(cluster.host(name));
        Sample const& first = before[index++];
        double const cpuPercent = static_cast<double>(after.cpuTicks - first.cpuTicks) / static_cast<double>(sysconf(_SC_CLK_TCK)) / idleSeconds * 100;
        fmt::print("idle {}: cpu {:.2f}% of a core, {} MiB resident, {} peer bytes/s sent\n", name, cpuPercent, after.residentKiB / 1024, (after.peerBytesSent - first.peerBytesSent) / idleSeconds);
    }
}

void measureChanges(Cluster& cluster)
{
    std::vector<int64_t> answered;
    std::vector<int64_t> inForceEverywhere;
    for (int version = 1; version <= changeCount; version++) {
        nlohmann::json const document = { { "services", { { "plan", { { "timeoutMs", 100 + version } } } } } };
        int64_t const started = nowMs();
        cluster.callOperatorApi("h8", "PUT", "/v1/config", { { "expectedVersion", version - 1 }, { "operationId", "op" + std::to_string(version) }, { "author", "bench" }, { "document", document } });
        answered.push_back(nowMs() - started);
        int64_t last = 0;
        for (auto const& name : cluster.allHostNames()) {
            std::string const field = "version=" + std::to_string(version) + "\n";
            cluster.host(name).waitForLog(fmt::format("ConfigurationInForce host={} {}", name, field));
            last = std::max(last, firstLineTimeMs(cluster.host(name).log() + "\n", "ConfigurationInForce", "version=" + std::to_string(version)));
        }
        inForceEverywhere.push_back(last - started);
    }
    printQuantiles("change at h8 to its answer", answered);
    printQuantiles("change at h8 to in force at all 8 hosts", inForceEverywhere);
}

void measureKills(Cluster& cluster)
{
    std::vector<int64_t> electionTimes;
    for (int i = 0; i < killCount; i++) {
        std::string leader;
        waitUntil("a leader", [&] {
            leader = configLeader(cluster, "h8");
            return !leader.empty();
        });
        std::this_thread::sleep_for(std::chrono::seconds(2));
        int64_t const killed = nowMs();
        cluster.host(leader).kill();
        int64_t elected = 0;
        waitUntil("a new leader", [&] {
            for (auto const& name : cluster.allHostNames()) {
                std::istringstream lines(cluster.host(name).log());
                for (std::string line; std::getline(lines, line);) {
                    if (line.find("LeaderElected") != std::string::npos && line.find("group=config") != std::string::npos && logLineTimeMs(line) >= killed)
                        elected = logLineTimeMs(line);
                }
            }
            return elected != 0;
        });
        electionTimes.push_back(elected - killed);
        cluster.host(leader).start();
    }
    printQuantiles("kill -9 of the configuration's leader to a new one", electionTimes);
}

} // namespace

int main(int argc, char** argv)
{
    int64_t const delayMs = argc > 1 ? std::stoll(argv[1]) : 0;
    ClusterOptions options;
    Cluster cluster(BINARY_FOLDER, options);
    for (auto const& a : options.hosts) {
        for (auto const& b : options.hosts) {
            if (a.host < b.host && a.dataCentre != b.dataCentre && delayMs)
                cluster.delay(a.host, b.host, delayMs, 0);
        }
    }
    cluster.startAll();
    waitUntil("a leader", [&] { return !configLeader(cluster, "h8").empty(); });
    std::this_thread::sleep_for(std::chrono::seconds(2));
    measureIdle(cluster);
    measureChanges(cluster);
    measureKills(cluster);
    return 0;
}
