#pragma once

// Runs the processes of a fleet, each on its own loopback address: control hosts and entry hosts that discover each
// other from seeds.
//
// Example:
//   FleetProcesses fleet;
//   fleet.startControlHost(1, true);
//   fleet.startEntryHost(9);
//   fleet.process(1).sendSignal(SIGSTOP);

#include "testing/fakes/TemporaryFolder.h"
#include "testing/integration/ChildProcess.h"

#include "cornelpond/adapters/http/HttpTypes.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>

namespace cornelpond {

class FleetProcesses {
public:
    static constexpr uint16_t controlPort = 8166;
    static constexpr uint16_t peerPort = 7720;
    static constexpr uint16_t callerPort = 8161;
    static constexpr uint16_t readinessPort = 8167;

    /// `program`: path of the cornelpond binary.
    explicit FleetProcesses(std::string program);

    std::string ip(int host) const;
    /// The address for a proxy of the connections from one host to the other.
    std::string proxyIp(int from, int to) const { return this->ipPrefix + std::to_string(firstProxyNumber + from * 10 + to); }

    /// Hosts 1 to 3 are the seeds. Returns before the host listens.
    void startControlHost(int host, bool isFirstStart);
    void startEntryHost(int host);

    /// From its next start, `host` connects to the peer through the proxy at proxyIp(host, peer).
    void setPeerRoute(int host, int peer);

    void kill(int host) { this->processes.erase(host); }
    bool isStarted(int host) const { return this->processes.count(host); }
    ChildProcess& process(int host) { return *this->processes.at(host); }

    /// Contains the settings, data and output of all hosts.
    std::string folderPath() const { return this->folder.path(); }
    std::string dataFolder(int host) const { return this->folder.path() + "/data" + std::to_string(host); }
    std::string settingsPath(int host) const { return this->folder.path() + "/settings" + std::to_string(host) + ".json"; }

    /// The lowest-numbered started host whose last leadership event in the log is LeaderElected; 0 if there is none.
    int leaderInLogs() const;

private:
    static constexpr int firstProxyNumber = 100;

    std::string address(int host, uint16_t port) const { return this->ip(host) + ":" + std::to_string(port); }
    nlohmann::json commonSettings(int host, std::string const& role) const;
    void start(int host, nlohmann::json const& settings);

    std::string program;
    TemporaryFolder folder;
    std::string ipPrefix;
    std::map<int, std::map<std::string, std::string>> peerRoutes;
    std::map<int, std::unique_ptr<ChildProcess>> processes;
    int runCount = 0;
};

} // namespace cornelpond
