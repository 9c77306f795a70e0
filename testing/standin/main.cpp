// A stand-in for the platform's workers and backend servers. A test tool, not shipped.
//
//   standin --entry 127.0.0.1:7001 --workers 4 --servers 2 --service plan
//
// Reads commands from standard input, one a line, and acknowledges each by "done N"; NAME "*" means all:
//   worker NAME silent|return|failall|healthy|die|restart
//   worker NAME drift PARTS_PER_MILLION     worker NAME use PERCENT
//   server NAME slow MS | failall | truncate BYTES | silent | mute | heal | leave | vanish | join
// "silent" discards all further bytes of the connections that are open now, for good; "mute" discards all bytes of
// all connections until "heal".

#include "testing/faultproxy/Console.h"
#include "testing/standin/StandinBackendServer.h"
#include "testing/standin/StandinWorker.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <csignal>
#include <map>
#include <memory>
#include <sstream>
#include <vector>

namespace {

using namespace cornelpond;

constexpr int workersPerRack = 8;

cxxopts::Options makeOptions()
{
    cxxopts::Options options("standin", "plays workers and backend servers");
    options.add_options()("entry", "address for workers of each entry host, IP:PORT", cxxopts::value<std::vector<std::string>>());
    options.add_options()("workers", "number of workers", cxxopts::value<int>()->default_value("4"));
    options.add_options()("servers", "number of backend servers", cxxopts::value<int>()->default_value("2"));
    options.add_options()("service", "the backend servers' service", cxxopts::value<std::string>()->default_value("plan"));
    options.add_options()("name", "prefix of the names of all stand-ins", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("data-centre", "data centre of the backend servers", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("ip", "IP address to listen on", cxxopts::value<std::string>()->default_value("127.0.0.1"));
    options.add_options()("cores", "cores of each worker", cxxopts::value<int>()->default_value("16"));
    options.add_options()("memory-mib", "memory of each worker in MiB", cxxopts::value<int>()->default_value("65536"));
    options.add_options()("slots", "slots of each backend server", cxxopts::value<int>()->default_value("8"));
    options.add_options()("service-ms", "service time of a request in ms", cxxopts::value<int>()->default_value("0"));
    options.add_options()("announce-ms", "interval of announcements in ms", cxxopts::value<int>()->default_value("1000"));
    options.add_options()("failing", "number of workers that fail every attempt", cxxopts::value<int>()->default_value("0"));
    options.add_options()("labels", "of all workers, KEY=VALUE", cxxopts::value<std::vector<std::string>>());
    options.add_options()("accelerators", "accelerators of each worker", cxxopts::value<int>()->default_value("0"));
    options.add_options()("connections", "connections of each backend server", cxxopts::value<int>()->default_value("64"));
    options.add_options()("usage-lag-ms", "age of the reported usage in ms", cxxopts::value<int>()->default_value("0"));
    options.add_options()("checkpoint-ms", "time that a checkpoint takes in ms", cxxopts::value<int>()->default_value("0"));
    options.add_options()("seed", "seed of the faults", cxxopts::value<uint64_t>()->default_value("1"));
    options.add_options()("record", "file for the record of starts and ends, one line each", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("h,help", "show this help");
    return options;
}

/// The stand-ins of this process by name.
struct Fleet {
    std::map<std::string, std::unique_ptr<StandinWorker>> workers;
    std::map<std::string, std::unique_ptr<StandinBackendServer>> servers;
};

bool executeWorkerCommand(StandinWorker& worker, std::string const& verb, int64_t number)
{
    if (verb == "silent" || verb == "return")
        worker.setSilent(verb == "silent");
    else if (verb == "failall" || verb == "healthy")
        worker.setFailsAll(verb == "failall");
    else if (verb == "die")
        worker.die();
    else if (verb == "restart")
        worker.restart();
    else if (verb == "drift")
        worker.setDrift(number);
    else if (verb == "use")
        worker.setUsagePercent(number);
    else
        return false;
    return true;
}

bool executeServerCommand(StandinBackendServer& server, std::string const& verb, int64_t number)
{
    LinkFaults faults;
    if (verb == "slow") {
        server.setServiceTime(Duration::milliseconds(number));
    } else if (verb == "failall") {
        server.setFailsAll(true);
    } else if (verb == "truncate") {
        faults.maxBytesToClient = static_cast<size_t>(number);
        server.setFaults(faults);
    } else if (verb == "mute") {
        faults.isCutToServer = faults.isCutToClient = true;
        server.setFaults(faults);
    } else if (verb == "silent") {
        server.silenceOpenConnections();
    } else if (verb == "heal") {
        server.setFaults(faults);
        server.setFailsAll(false);
        server.setServiceTime(Duration());
    } else if (verb == "leave") {
        server.leave();
    } else if (verb == "vanish") {
        server.stopAnnouncing();
    } else if (verb == "join") {
        server.join();
    } else {
        return false;
    }
    return true;
}

void executeCommand(std::string const& line, Fleet& fleet)
{
    std::istringstream words(line);
    std::string kind;
    std::string name;
    std::string verb;
    int64_t number = 0;
    words >> kind >> name >> verb >> number;
    bool isKnown = false;
    for (auto& [id, worker] : fleet.workers) {
        if (kind == "worker" && (name == "*" || name == id))
            isKnown = executeWorkerCommand(*worker, verb, number);
    }
    for (auto& [id, server] : fleet.servers) {
        if (kind == "server" && (name == "*" || name == id))
            isKnown = executeServerCommand(*server, verb, number);
    }
    if (!isKnown)
        throw std::runtime_error("unknown command '" + line + "'");
}

Labels labelsOf(cxxopts::ParseResult const& arguments)
{
    Labels labels;
    if (!arguments.count("labels"))
        return labels;
    for (auto const& text : arguments["labels"].as<std::vector<std::string>>()) {
        size_t const equals = text.find('=');
        labels[text.substr(0, equals)] = equals == std::string::npos ? std::string() : text.substr(equals + 1);
    }
    return labels;
}

StandinWorkerOptions workerOptions(cxxopts::ParseResult const& arguments, int index)
{
    std::string const prefix = arguments["name"].as<std::string>();
    StandinWorkerOptions options;
    options.worker = WorkerId(fmt::format("{}w{}", prefix, index));
    options.rack = RackId(fmt::format("{}r{}", prefix, (index - 1) / workersPerRack + 1));
    options.labels = labelsOf(arguments);
    options.capacity = { arguments["cores"].as<int>() * int64_t(1000), arguments["memory-mib"].as<int>(), arguments["accelerators"].as<int>() };
    options.ip = arguments["ip"].as<std::string>();
    options.announceInterval = Duration::milliseconds(arguments["announce-ms"].as<int>());
    options.failsAll = index <= arguments["failing"].as<int>();
    options.usageLag = Duration::milliseconds(arguments["usage-lag-ms"].as<int>());
    options.checkpointTime = Duration::milliseconds(arguments["checkpoint-ms"].as<int>());
    return options;
}

StandinBackendServerOptions serverOptions(cxxopts::ParseResult const& arguments, int index)
{
    StandinBackendServerOptions options;
    options.announcement.server = BackendServerId(fmt::format("{}s{}", arguments["name"].as<std::string>(), index));
    options.announcement.service = ServiceId(arguments["service"].as<std::string>());
    options.announcement.dataCentre = DataCentreId(arguments["data-centre"].as<std::string>());
    options.announcement.address = arguments["ip"].as<std::string>();
    options.announcement.slots = static_cast<uint32_t>(arguments["slots"].as<int>());
    options.announcement.connections = static_cast<uint32_t>(arguments["connections"].as<int>());
    options.announceInterval = Duration::milliseconds(arguments["announce-ms"].as<int>());
    options.serviceTime = Duration::milliseconds(arguments["service-ms"].as<int>());
    return options;
}

int run(cxxopts::ParseResult const& arguments)
{
    EventLoop loop;
    HttpClient client(loop, HttpClientLimits());
    SeededRandom random(arguments["seed"].as<uint64_t>());
    RecordFile record(arguments["record"].as<std::string>());
    std::vector<Address> entryHosts;
    for (auto const& text : arguments["entry"].as<std::vector<std::string>>())
        entryHosts.push_back(parseAddress(text));
    Fleet fleet;
    for (int i = 1; i <= arguments["workers"].as<int>(); i++) {
        StandinWorkerOptions options = workerOptions(arguments, i);
        options.entryHosts = entryHosts;
        auto& worker = fleet.workers[options.worker.value()];
        worker = std::make_unique<StandinWorker>(loop, client, record, options);
        worker->start();
    }
    for (int i = 1; i <= arguments["servers"].as<int>(); i++) {
        StandinBackendServerOptions options = serverOptions(arguments, i);
        options.entryHosts = entryHosts;
        auto& server = fleet.servers[options.announcement.server.value()];
        server = std::make_unique<StandinBackendServer>(loop, client, random, record, options);
        server->start();
        fmt::print("server {} port {}\n", options.announcement.server.value(), server->port());
    }
    std::fflush(stdout);
    Console const console(
        loop, [&](std::string const& line) { executeCommand(line, fleet); }, [] {});
    auto const leave = [&] {
        for (auto& [id, server] : fleet.servers)
            server->leave();
        loop.after(Duration::milliseconds(200), [&] { loop.stop(); });
    };
    loop.onSignal(SIGTERM, leave);
    loop.onSignal(SIGINT, leave);
    loop.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        cxxopts::Options options = makeOptions();
        cxxopts::ParseResult const arguments = options.parse(argc, argv);
        if (arguments.count("help") || !arguments.count("entry")) {
            fmt::print("{}", options.help());
            return arguments.count("help") ? 0 : 2;
        }
        return run(arguments);
    } catch (std::exception const& error) {
        fmt::print(stderr, "standin: {}\n", error.what());
        return 2;
    }
}
