// Benchmarks and randomized fault schedules of the replicated log on fakes with a paused clock, and benchmarks of
// the journal on disk.
//
//   agreement_bench simulate --seed 1 --runs 10000 --actions 60
//   agreement_bench latency --link-ms 5 --runs 10
//   agreement_bench election --link-ms 5 --loss 0.05 --runs 100
//   agreement_bench idle --hosts 5
//   agreement_bench cpu --entries 100000
//   agreement_bench restart --entries 100000 --folder /tmp/agreement-bench
//   agreement_bench snapshot --bytes 10000000 --folder /tmp/agreement-bench
//
// Times marked "simulated" are times of the paused clock and the same on every machine; all others are CPU or real
// time.

#include "cornelpond/adapters/journal/JournalStorage.h"
#include "testing/fakes/AgreementSchedule.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <chrono>
#include <ctime>
#include <filesystem>
#include <malloc.h>

namespace {

using namespace cornelpond;

double processSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double realSeconds()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

double percentile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[std::min(values.size() - 1, static_cast<size_t>(share * static_cast<double>(values.size())))];
}

void setLinks(AgreementCluster& cluster, int64_t delayMs, double loss = 0)
{
    cluster.network.faults.delayMin = cluster.network.faults.delayMax = Duration::milliseconds(delayMs);
    cluster.network.faults.loss = loss;
}

void awaitLeader(AgreementCluster& cluster)
{
    if (!cluster.runUntil([&] { return cluster.leader().has_value(); }, Duration::seconds(30)))
        throw std::runtime_error("no leader");
}

int simulate(uint64_t seed, uint64_t runs, size_t actions)
{
    double const start = processSeconds();
    size_t acknowledged = 0;
    size_t lostDisks = 0;
    uint64_t failures = 0;
    for (uint64_t run = seed; run < seed + runs; run++) {
        try {
            ScheduleRun schedule(run);
            schedule.run(randomActions(run, actions));
            acknowledged += schedule.acknowledgedCount();
            lostDisks += schedule.lostDisks();
        } catch (std::exception const& error) {
            failures++;
            fmt::print("seed {} actions {}: {}\n", run, actions, error.what());
        }
    }
    fmt::print("{} runs from seed {}, {} failures, {} acknowledged commands, {} lost disks, {:.1f} s CPU\n", runs, seed, failures, acknowledged, lostDisks,
        processSeconds() - start);
    return failures ? 1 : 0;
}

struct LatencyRun {
    double p50Ms;
    double p99Ms;
    double entriesPerSecond;
};

/// Proposes 300 entries a second on average (150 task starts and as many completions) for 20 s, then keeps 256
/// proposals in flight for 2 s.
LatencyRun measureLatency(uint64_t seed, int64_t linkMs)
{
    AgreementCluster cluster(seed, { "a", "b", "c" });
    cluster.stepDuration = Duration::microseconds(100);
    setLinks(cluster, linkMs);
    awaitLeader(cluster);
    std::vector<double> latencies;
    SeededRandom random(seed);
    constexpr double proposalsPerSecond = 300;
    TimePoint const end = cluster.clock.now() + Duration::seconds(20);
    while (cluster.clock.now() < end) {
        TimePoint const startTime = cluster.clock.now();
        cluster.leaderLog()->propose(std::string(200, 'x'), [&latencies, &cluster, startTime](ProposalOutcome const&) {
            latencies.push_back(static_cast<double>((cluster.clock.now() - startTime).toMicroseconds()) / 1000);
        });
        cluster.runFor(Duration::microseconds(static_cast<int64_t>(2e6 / proposalsPerSecond * random.nextDouble())));
    }
    size_t const pacedCount = latencies.size();
    constexpr size_t maxInFlight = 256;
    size_t inFlight = 0;
    size_t finished = 0;
    cluster.stepDuration = Duration::milliseconds(1);
    TimePoint const burstEnd = cluster.clock.now() + Duration::seconds(2);
    while (cluster.clock.now() < burstEnd) {
        for (; inFlight < maxInFlight; inFlight++) {
            cluster.leaderLog()->propose(std::string(200, 'x'), [&](ProposalOutcome const&) {
                inFlight--;
                finished++;
            });
        }
        cluster.runFor(Duration::milliseconds(1));
    }
    cluster.runFor(Duration::seconds(1));
    latencies.resize(pacedCount);
    return { percentile(latencies, 0.5), percentile(latencies, 0.99), static_cast<double>(finished) / 2 };
}

void latency(int64_t linkMs, uint64_t runs)
{
    std::vector<double> p50;
    std::vector<double> p99;
    std::vector<double> rate;
    for (uint64_t seed = 1; seed <= runs; seed++) {
        LatencyRun const run = measureLatency(seed, linkMs);
        p50.push_back(run.p50Ms);
        p99.push_back(run.p99Ms);
        rate.push_back(run.entriesPerSecond);
    }
    fmt::print("link {} ms, {} seeds, simulated medians: commit p50 {:.1f} ms, p99 {:.1f} ms at 300/s; {:.0f} entries/s with 256 in flight\n", linkMs, runs,
        percentile(p50, 0.5), percentile(p99, 0.5), percentile(rate, 0.5));
}

void election(int64_t linkMs, double loss, uint64_t runs)
{
    std::vector<double> times;
    for (uint64_t seed = 1; seed <= runs; seed++) {
        AgreementCluster cluster(seed, { "a", "b", "c" });
        setLinks(cluster, linkMs, loss);
        awaitLeader(cluster);
        cluster.runFor(Duration::milliseconds(static_cast<int64_t>(cluster.random.below(1000))));
        awaitLeader(cluster);
        cluster.crash(*cluster.leader());
        TimePoint const startTime = cluster.clock.now();
        awaitLeader(cluster);
        times.push_back(static_cast<double>((cluster.clock.now() - startTime).toMilliseconds()));
    }
    fmt::print("link {} ms, loss {}, {} seeds: new leader, simulated: median {:.0f} ms, p99 {:.0f} ms, longest {:.0f} ms\n", linkMs, loss, runs,
        percentile(times, 0.5), percentile(times, 0.99), percentile(times, 1));
}

void idle(size_t hosts)
{
    std::vector<std::string> names;
    for (size_t i = 0; i < hosts; i++)
        names.push_back("host" + std::to_string(i));
    AgreementCluster cluster(1, names);
    setLinks(cluster, 5);
    awaitLeader(cluster);
    cluster.runFor(Duration::seconds(1));
    uint64_t const messages = cluster.network.messageCount();
    uint64_t const bytes = cluster.network.byteCount();
    constexpr int64_t spanSeconds = 60;
    double const cpu = processSeconds();
    cluster.runFor(Duration::seconds(spanSeconds));
    fmt::print("{} hosts idle: {:.1f} messages/s and {:.0f} payload bytes/s in the whole group, {:.3f} ms CPU a second for all hosts\n", hosts,
        static_cast<double>(cluster.network.messageCount() - messages) / spanSeconds, static_cast<double>(cluster.network.byteCount() - bytes) / spanSeconds,
        (processSeconds() - cpu) * 1000 / spanSeconds);
}

void cpu(uint64_t entries)
{
    AgreementCluster cluster(1, { "a", "b", "c" });
    setLinks(cluster, 5);
    awaitLeader(cluster);
    size_t const heapBefore = mallinfo2().uordblks;
    double const start = processSeconds();
    constexpr uint64_t batch = 20;
    for (uint64_t i = 0; i < entries; i += batch) {
        for (uint64_t j = 0; j < batch; j++)
            cluster.leaderLog()->propose(std::string(200, 'x'), [](ProposalOutcome const&) {});
        cluster.runFor(Duration::milliseconds(1));
    }
    cluster.runFor(Duration::seconds(1));
    double const used = processSeconds() - start;
    size_t entriesInLogs = 0;
    for (auto const& [id, host] : cluster.hosts)
        entriesInLogs += host->log->entriesInMemory();
    fmt::print("{} entries of 200 bytes over 3 hosts: {:.2f} us CPU an entry for all three, fake disks and checks included\n", entries,
        used * 1e6 / static_cast<double>(entries));
    fmt::print("{} entries held in the logs; heap grew by {} bytes, fakes included\n", entriesInLogs, mallinfo2().uordblks - heapBefore);
}

/// A state machine that only counts entries, so that the figures show the cost of the log alone.
StateMachineHooks countingHooks(uint64_t& applied, std::string const& state)
{
    StateMachineHooks hooks;
    hooks.apply = [&applied](LogIndex, std::string const&) { applied++; };
    hooks.takeSnapshot = [&state] { return state; };
    hooks.restore = [](std::string const&) {};
    hooks.onLeadership = [](bool) {};
    return hooks;
}

/// A log with a single voter and its journal in a folder on disk.
struct DiskLog {
    DiskLog(std::string const& folder, ReplicatedLogLimits limits, std::string state = std::string())
        : state(std::move(state))
        , storage(folder, events)
        , log(
              GroupId("g"), HostId("a"), { { HostId("a") }, {}, {} }, {}, clock, random, events, storage, [](HostId const&, std::string const&) {},
              countingHooks(applied, this->state), limits)
    {
    }

    FakeClock clock;
    SeededRandom random { 1 };
    RecordingEventSink events;
    uint64_t applied = 0;
    std::string state;
    JournalStorage storage;
    ReplicatedLog log;
};

void restart(uint64_t entries, std::string const& folder)
{
    std::filesystem::remove_all(folder);
    ReplicatedLogLimits limits;
    limits.snapshotAfterEntries = limits.snapshotAfterBytes = SIZE_MAX;
    {
        RecordingEventSink events;
        JournalStorage storage(folder, events);
        storage.load();
        storage.saveHardState({ Term(1), HostId("a") });
        for (uint64_t i = 1; i <= entries; i++) {
            LogEntry const entry { LogIndex(i), Term(1), EntryKind::Command, std::string(200, 'x') };
            storage.append(Span<LogEntry const>(&entry, 1));
        }
        storage.sync();
    }
    size_t const heapBefore = mallinfo2().uordblks;
    double const start = realSeconds();
    DiskLog disk(folder, limits);
    disk.log.start();
    double const used = realSeconds() - start;
    fmt::print("restart after {} entries of 200 bytes: {:.1f} ms real, {} applied, {:.0f} bytes of heap an entry\n", entries, used * 1000, disk.applied,
        static_cast<double>(mallinfo2().uordblks - heapBefore) / static_cast<double>(entries));
    std::filesystem::remove_all(folder);
}

void snapshot(size_t bytes, std::string const& folder)
{
    std::filesystem::remove_all(folder);
    ReplicatedLogLimits limits;
    limits.snapshotAfterEntries = 1;
    limits.snapshotAfterBytes = SIZE_MAX;
    DiskLog disk(folder, limits, std::string(bytes, 's'));
    disk.log.start();
    std::vector<double> times;
    constexpr int rounds = 10;
    for (int i = 0; i < rounds; i++) {
        disk.log.propose(std::string(bytes + 1, 'x'), [](ProposalOutcome const&) {});
        double const start = realSeconds();
        disk.log.onTick();
        times.push_back((realSeconds() - start) * 1000);
    }
    fmt::print("snapshot of {} bytes, {} times: median {:.1f} ms, longest {:.1f} ms real on the loop\n", bytes, rounds, percentile(times, 0.5), percentile(times, 1));
    std::filesystem::remove_all(folder);
}

int runCommand(std::string const& command, cxxopts::ParseResult const& options)
{
    auto const runs = options["runs"].as<uint64_t>();
    auto const link = options["link-ms"].as<int64_t>();
    auto const entries = options["entries"].as<uint64_t>();
    auto const folder = options["folder"].as<std::string>();
    if (command == "simulate")
        return simulate(options["seed"].as<uint64_t>(), runs, options["actions"].as<size_t>());
    if (command == "latency")
        latency(link, runs);
    else if (command == "election")
        election(link, options["loss"].as<double>(), runs);
    else if (command == "idle")
        idle(options["hosts"].as<size_t>());
    else if (command == "cpu")
        cpu(entries);
    else if (command == "restart")
        restart(entries, folder);
    else if (command == "snapshot")
        snapshot(options["bytes"].as<size_t>(), folder);
    else
        return 2;
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("agreement_bench", "simulate, latency, election, idle, cpu, restart or snapshot");
    auto add = options.add_options();
    add("command", "what to run", cxxopts::value<std::string>());
    add("seed", "first seed", cxxopts::value<uint64_t>()->default_value("1"));
    add("runs", "number of seeds to run", cxxopts::value<uint64_t>()->default_value("10"));
    add("actions", "actions of each run", cxxopts::value<size_t>()->default_value("40"));
    add("link-ms", "one-way delay of a link in ms", cxxopts::value<int64_t>()->default_value("5"));
    add("loss", "share of messages lost", cxxopts::value<double>()->default_value("0"));
    add("hosts", "voters", cxxopts::value<size_t>()->default_value("3"));
    add("entries", "log entries", cxxopts::value<uint64_t>()->default_value("10000"));
    add("bytes", "size of the state in bytes", cxxopts::value<size_t>()->default_value("1000000"));
    add("folder", "scratch folder, removed at the end", cxxopts::value<std::string>()->default_value("/tmp/cornelpond-agreement-bench"));
    options.parse_positional({ "command" });
    try {
        auto const parsed = options.parse(argc, argv);
        if (parsed.count("command"))
            return runCommand(parsed["command"].as<std::string>(), parsed);
        fmt::print("{}", options.help());
        return 2;
    } catch (std::exception const& error) {
        fmt::print(stderr, "{}\n", error.what());
        return 1;
    }
}
