#include "testing/integration/FleetProcesses.h"

#include <fstream>
#include <unistd.h>

namespace cornelpond {

FleetProcesses::FleetProcesses(std::string program)
    : program(std::move(program))
{
    constexpr int octet = 250;
    int const number = getpid();
    this->ipPrefix = "127." + std::to_string(1 + number % octet) + "." + std::to_string(number / octet % octet) + ".";
}

std::string FleetProcesses::ip(int host) const
{
    constexpr int proxyNumbers = 40;
    return this->ipPrefix + std::to_string(host < firstProxyNumber ? host : host + proxyNumbers);
}

void FleetProcesses::startControlHost(int host, bool isFirstStart)
{
    nlohmann::json settings = this->commonSettings(host, "control");
    settings["dataFolder"] = this->dataFolder(host);
    settings["firstStart"] = isFirstStart;
    settings["listen"]["control"] = this->address(host, controlPort);
    this->start(host, settings);
}

void FleetProcesses::startEntryHost(int host)
{
    nlohmann::json settings = this->commonSettings(host, "entry");
    settings["listen"]["callers"] = this->address(host, callerPort);
    settings["listen"]["readiness"] = this->address(host, readinessPort);
    this->start(host, settings);
}

void FleetProcesses::setPeerRoute(int host, int peer)
{
    this->peerRoutes[host][this->address(peer, peerPort)] = this->proxyIp(host, peer) + ":" + std::to_string(peerPort);
}

int FleetProcesses::leaderInLogs() const
{
    for (auto const& [host, process] : this->processes) {
        std::string const log = process->output();
        size_t const elected = log.rfind("LeaderElected");
        size_t const lost = log.rfind("LeaderLost");
        if (elected != std::string::npos && (lost == std::string::npos || lost < elected))
            return host;
    }
    return 0;
}

nlohmann::json FleetProcesses::commonSettings(int host, std::string const& role) const
{
    nlohmann::json seeds = nlohmann::json::array();
    for (int seed = 1; seed <= 3; seed++)
        seeds.push_back(this->address(seed, controlPort));
    nlohmann::json settings { { "role", role }, { "cluster", "test" }, { "name", role + std::to_string(host) }, { "dataCentre", "z1" }, { "seeds", seeds }, { "listen", { { "peers", this->address(host, peerPort) } } } };
    auto const found = this->peerRoutes.find(host);
    if (found != this->peerRoutes.end())
        settings["peerRoutes"] = found->second;
    return settings;
}

void FleetProcesses::start(int host, nlohmann::json const& settings)
{
    std::string const path = this->settingsPath(host);
    std::ofstream(path) << settings.dump();
    std::string const output = this->folder.path() + "/host" + std::to_string(host) + "-" + std::to_string(this->runCount++);
    this->processes[host] = std::make_unique<ChildProcess>(std::vector<std::string> { this->program, "fleet", "--settings", path }, output);
}

} // namespace cornelpond
