#pragma once

// The stand-in of the platform: starts the project's processes with the command of the deploy file and settings of a small
// deployment, notes which of them end, and starts these again. Ends all of them when it is destroyed.
//
// Example:
//   Fleet fleet(record, { 3, 1 });
//   fleet.start();
//   fleet.callControl(1, { "GET", "/v1/configuration/read" });

#include "Http.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;

/// Writes one line for each thing that was sent, answered or run, with the seconds since the start of the case.
class Record {
public:
    explicit Record(std::string const& path);
    void line(std::string const& text);
    double seconds() const;

private:
    std::mutex mutex;
    std::ofstream out;
    std::chrono::steady_clock::time_point const startedAt;
};

struct FleetSize {
    int controlHosts = 3;
    int entryHosts = 1;
};

enum class Role {
    Control,
    Entry,
};

struct ProcessEnd {
    Role role;
    int number;
    int status; ///< As waitpid() gives it.
};

class Fleet {
public:
    Fleet(Record& record, FleetSize size);
    ~Fleet();
    Fleet(Fleet const&) = delete;
    Fleet& operator=(Fleet const&) = delete;

    /// Adds the address of the policy service to the settings of the control hosts. To be called before `start`.
    void setAdviceAddress(std::string const& address) { this->adviceAddress = address; }
    void start();
    /// Ends all processes, for good.
    void stop();

    /// An address of this case alone.
    std::string ip(int number) const { return this->prefix + std::to_string(number); }
    std::string controlIp(int number) const { return this->ip(number); }
    std::string entryIp(int number) const { return this->ip(10 + number); }
    int controlHosts() const { return this->size.controlHosts; }

    HttpReply callControl(int number, HttpCall const& call, int timeoutMs = 1000) const;
    HttpReply callEntry(int number, HttpCall const& call, int timeoutMs = 3000) const;
    /// Sends a configuration until one of the control hosts acknowledges it; false if none does in 10 s.
    bool configure(Json const& configuration);

    std::vector<ProcessEnd> ends() const;
    /// Kills control processes that use more memory, as the platform does; 0: none.
    void setMemoryLimitMb(int megabytes) { this->memoryLimitMb = megabytes; }
    int peakMemoryMb() const { return this->peakMb; }

    static constexpr int controlPort = 8166;
    static constexpr int callerPort = 8161;

private:
    struct Process {
        Role role;
        int number;
        pid_t id = -1;
        bool isFirstStart = true;
        std::chrono::steady_clock::time_point startAt;
    };

    void spawn(Process& process);
    Json settingsOf(Process const& process) const;
    void watch();

    Record& record;
    FleetSize size;
    std::string prefix;
    std::string folder;
    std::string adviceAddress;
    mutable std::mutex mutex;
    std::vector<Process> processes;
    std::vector<ProcessEnd> ended;
    std::atomic<bool> isEnding { false };
    std::atomic<int> memoryLimitMb { 0 };
    std::atomic<int> peakMb { 0 };
    std::thread watcher;
};

/// A configuration with one service "svc" and the given routes.
Json configuration(int64_t version, Json const& routes);
/// A route of the host "q.example".
Json route(std::string const& name, std::string const& prefix);

void sleepMs(int milliseconds);

} // namespace review
