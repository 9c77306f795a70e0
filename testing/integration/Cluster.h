#pragma once

// Entry hosts as real processes on loopback addresses, each with its own IP number, settings and disk,
// and every link between two of them through a fault-injecting proxy.
//
// Example:
//   Cluster cluster(BINARY_FOLDER, ClusterOptions());
//   cluster.startAll();
//   cluster.cutDataCentre("dc3");
//   cluster.host("h1").kill();

#include "testing/fakes/TemporaryFolder.h"
#include "testing/integration/ChildProcess.h"

#include "cornelpond/adapters/http/HttpClient.h"
#include "cornelpond/core/base/ResultCode.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cornelpond {

struct HostDescription {
    std::string host;
    std::string dataCentre;
    bool disk = false;
};

/// Eight entry hosts in three data centres: dc1 and dc2 with three, dc3 with two, two disks in each.
std::vector<HostDescription> eightHosts();

struct ClusterOptions {
    std::vector<HostDescription> hosts = eightHosts(); ///< Eight at most.
    uint64_t seed = 1; ///< Of the proxy's jitter and stalls.
    nlohmann::json settingsPatch = nlohmann::json::object(); ///< Merged over every host's settings.
};

/// One entry host: its settings, disk and process, which may be down.
class ClusterHost {
public:
    ClusterHost(std::string binary, std::string folder, HostDescription description, std::string ip);

    HostDescription const& description() const { return this->hostDescription; }
    std::string const& ip() const { return this->ipAddress; }

    /// Writes the settings that the next start uses.
    void writeSettings(nlohmann::json const& settings);
    nlohmann::json const& settings() const { return this->currentSettings; }

    /// Precondition: not running. Returns once the host serves; throws when it ends before.
    void start();
    bool isRunning() const { return static_cast<bool>(this->process); }

    void kill(); ///< SIGKILL. No-op when it is down.
    void pause() { this->process->sendSignal(SIGSTOP); }
    void resume() { this->process->sendSignal(SIGCONT); }
    void sendTerminationSignal() { this->process->sendSignal(SIGTERM); }
    int waitForExit(); ///< Waits for the process to end and returns its exit code.

    /// Removes the data folder. Precondition: not running.
    void wipeDisk();
    std::string dataFolder() const { return this->folder + "/data"; }

    /// "IP:PORT" of a listener: callers, workers, operators or peers.
    std::string address(std::string const& listener) const;

    /// All log lines of all runs.
    std::string log() const;

    /// Log lines of the present run; throws after a generous bound.
    void waitForLog(std::string const& text) const { this->process->waitForOutput(text); }

    int pid() const { return this->process->pid(); }

private:
    std::string binary;
    std::string folder;
    HostDescription hostDescription;
    std::string ipAddress;
    nlohmann::json currentSettings;
    std::unique_ptr<ChildProcess> process;
    std::string previousRunLogs;
    int runCount = 0;
};

/// The answer to an interactive request.
struct CallerResponse {
    HttpOutcome::Kind kind = HttpOutcome::Kind::Cancelled;
    int status = 0;
    std::string body;

    /// True for a refusal that says the request did not run.
    bool isReportedNotRun() const;
};

struct CallerRequest {
    std::string path;
    std::string body;
    std::string idempotencyKey; ///< Idempotency-Key; empty for none.
    bool isNotRepeatable = false;
    int64_t deadlineMs = 0; ///< 0 for the service's own.
    int64_t clientTimeoutMs = 10000; ///< The caller leaves after it.
};

/// Eight loopback addresses that no other cluster on this machine uses while this object lives.
class AddressBlock {
public:
    AddressBlock();
    ~AddressBlock();
    AddressBlock(AddressBlock const&) = delete;
    AddressBlock& operator=(AddressBlock const&) = delete;

    static constexpr int size = 8;

    std::string ip(int index) const;

private:
    int lockSocket = -1;
    int blockIndex = 0;
};

class Cluster {
public:
    Cluster(std::string const& binaryFolder, ClusterOptions options);
    ~Cluster();

    /// Starts every host that is down.
    void startAll();

    /// Throws std::runtime_error for an unknown name.
    ClusterHost& host(std::string const& name);
    std::vector<std::string> hostNamesIn(std::string const& dataCentre) const;
    std::vector<std::string> allHostNames() const;

    /// Runs an operator command against a host; returns the exit code, output in `output`.
    int runOperatorCommand(std::string const& host, std::vector<std::string> arguments, std::string& output);

    /// GET of the operators' API as JSON; null when the host gave no answer.
    nlohmann::json status(std::string const& host);

    /// One call of the operators' API. Throws Error with the host's code, or Unreachable.
    nlohmann::json callOperatorApi(std::string const& host, std::string const& method, std::string const& target, nlohmann::json const& body = nullptr);

    /// Sends all at once and returns the answers in order. `meanwhile` is called again and again until then.
    std::vector<CallerResponse> sendRequests(std::string const& host, std::vector<CallerRequest> const& requests, std::function<void()> const& meanwhile = {});
    CallerResponse sendRequest(std::string const& host, CallerRequest const& one) { return this->sendRequests(host, std::vector<CallerRequest> { one }).front(); }

    /// Submits a task; Unreachable means that it may or may not have been accepted.
    ResultCode submit(std::string const& host, nlohmann::json const& task);

    /// A stand-in fleet in the data centre with `extra` options, steered by `say`.
    std::unique_ptr<ChildProcess> startFleet(std::string const& dataCentre, std::vector<std::string> const& extra);
    std::string recordPath() const { return this->folder.path() + "/record"; }

    void cut(std::string const& a, std::string const& b); ///< Both ways, silently.
    void cutOneWay(std::string const& from, std::string const& to);
    void delay(std::string const& a, std::string const& b, int64_t milliseconds, int64_t jitterMilliseconds);
    void silenceOpenConnections(std::string const& a, std::string const& b); ///< Connections open now, for good; new ones work.
    void heal(std::string const& a, std::string const& b);
    void isolate(std::string const& host); ///< Cuts it off from every other host.
    void cutDataCentre(std::string const& dataCentre); ///< Cuts it off from the others.
    void healAll();

    /// A free path in the cluster's folder.
    std::string newPath(std::string const& name);

private:
    void createHosts();
    void startProxies();
    void writeSettings();
    void sendLinkCommand(std::string const& from, std::string const& to, std::string const& command);
    std::string linkName(std::string const& from, std::string const& to) const { return from + ">" + to; }

    std::string binaryFolder;
    ClusterOptions options;
    AddressBlock addresses;
    TemporaryFolder folder;
    std::vector<std::unique_ptr<ClusterHost>> hosts;
    std::unique_ptr<ChildProcess> proxyProcess; ///< Null for a single host.
    int pathCount = 0;
};

} // namespace cornelpond
