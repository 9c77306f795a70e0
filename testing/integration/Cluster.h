#pragma once

// Entry hosts as real processes on loopback addresses, each with its own IP address, settings and disk.
// Every link between two of them passes through a fault-injecting proxy.
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

/// Eight entry hosts in three data centres: three in dc1, three in dc2 and two in dc3. Two hosts of each data centre have a disk.
std::vector<HostDescription> eightHosts();

struct ClusterOptions {
    std::vector<HostDescription> hosts = eightHosts(); ///< At most AddressBlock::size.
    uint64_t seed = 1; ///< Seeds the jitter and stalls of the proxies.
    nlohmann::json settingsPatch = nlohmann::json::object(); ///< JSON merge patch (RFC 7386) applied to the settings of every host.
};

/// One entry host: its settings, its disk and its process, which may not be running.
class ClusterHost {
public:
    ClusterHost(std::string binary, std::string folder, HostDescription description, std::string ip);

    HostDescription const& description() const { return this->hostDescription; }
    std::string const& ip() const { return this->ipAddress; }

    /// Writes the settings that the next start uses.
    void writeSettings(nlohmann::json const& settings);
    nlohmann::json const& settings() const { return this->currentSettings; }

    /// Returns once the host has logged HostStarted; throws when the process exits before that. Precondition: not running.
    void start();
    bool isRunning() const { return static_cast<bool>(this->process); }

    void kill(); ///< Sends SIGKILL and waits for the exit. No-op when the host is not running.
    void pause() { this->process->sendSignal(SIGSTOP); }
    void resume() { this->process->sendSignal(SIGCONT); }
    void sendTerminationSignal() { this->process->sendSignal(SIGTERM); }
    int waitForExit(); ///< Returns the exit code; -1 when a signal terminated the process.

    /// Removes the data folder. Precondition: not running.
    void wipeDisk();
    std::string dataFolder() const { return this->folder + "/data"; }

    /// "IP:PORT" of the listener `callers`, `workers`, `operators` or `peers`.
    std::string address(std::string const& listener) const;

    /// The log lines of all runs so far.
    std::string log() const;

    /// Waits until the log of the current run contains the text; throws after 60 s. Precondition: running.
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

/// The outcome of an interactive request, as its caller sees it.
struct CallerResponse {
    HttpOutcome::Kind kind = HttpOutcome::Kind::Cancelled;
    int status = 0;
    std::string body;

    /// True for a response whose body says `"ran": "no"`: the host reports that the request did not run.
    bool isReportedNotRun() const;
};

struct CallerRequest {
    std::string path;
    std::string body;
    std::string idempotencyKey; ///< Header Idempotency-Key; empty for none.
    bool isNotRepeatable = false;
    int64_t deadlineMs = 0; ///< Header Cornelpond-Deadline-Ms; 0 for none, so that the service's own deadline applies.
    int64_t clientTimeoutMs = 10000; ///< The caller closes the connection when this passes without a response.
};

/// Reserves a block of `size` loopback addresses on this machine until its destruction, so that clusters of concurrent tests use
/// different addresses.
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

    /// Starts every host that is not running.
    void startAll();

    /// Throws std::runtime_error for an unknown host name.
    ClusterHost& host(std::string const& name);
    std::vector<std::string> hostNamesIn(std::string const& dataCentre) const;
    std::vector<std::string> allHostNames() const;

    /// Runs a cornelpond client command against a host; returns the exit code and sets `output` to what it printed.
    int runOperatorCommand(std::string const& host, std::vector<std::string> arguments, std::string& output);

    /// The response to GET /v1/status of the operators' API; null when the call fails or takes longer than 2 s.
    nlohmann::json status(std::string const& host);

    /// Calls the operators' API with a timeout of 10 s; a null `body` sends none. Throws Error with the result code of the host,
    /// or Unreachable.
    nlohmann::json callOperatorApi(std::string const& host, std::string const& method, std::string const& target, nlohmann::json const& body = nullptr);

    /// Sends all requests at once and returns their responses in the order of the requests. Calls `whileWaiting` repeatedly
    /// until the last response.
    std::vector<CallerResponse> sendRequests(std::string const& host, std::vector<CallerRequest> const& requests, std::function<void()> const& whileWaiting = {});
    CallerResponse sendRequest(std::string const& host, CallerRequest const& request) { return this->sendRequests(host, std::vector<CallerRequest> { request }).front(); }

    /// Submits a task. After Unreachable, the host may or may not have accepted it.
    ResultCode submit(std::string const& host, nlohmann::json const& task);

    /// Starts stand-in workers and backend servers in the data centre, with `extra` options; `sendCommand` injects their faults.
    std::unique_ptr<ChildProcess> startFleet(std::string const& dataCentre, std::vector<std::string> const& extra);
    std::string recordPath() const { return this->folder.path() + "/record"; }

    void cut(std::string const& a, std::string const& b); ///< Discards all bytes in both directions; connections stay open.
    void cutOneWay(std::string const& from, std::string const& to); ///< Discards the bytes sent by `from` to `to`.
    void delay(std::string const& a, std::string const& b, int64_t milliseconds, int64_t jitterMilliseconds);
    void silenceOpenConnections(std::string const& a, std::string const& b); ///< Discards all further bytes of the connections now open, also after `heal`; new connections work.
    void heal(std::string const& a, std::string const& b);
    void isolate(std::string const& host); ///< Cuts the links to every other host.
    void cutDataCentre(std::string const& dataCentre); ///< Cuts the links to the hosts of all other data centres.
    void healAll();

    /// A path in the cluster's folder that no earlier call returned.
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
    std::unique_ptr<ChildProcess> proxyProcess; ///< All proxies of the cluster; null for a single host.
    int pathCount = 0;
};

} // namespace cornelpond
