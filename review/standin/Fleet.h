#pragma once

// A small deployment of the program: three control hosts and entry hosts, each a process on its own loopback address,
// started with the command of the deploy file and settings like those that its templates give.
//
// Example:
//   Fleet fleet(program, record);
//   fleet.startControls();
//   fleet.startEntry(9);
//   fleet.waitUntilServing();

#include "review/standin/Http.h"
#include "review/standin/Record.h"

#include <map>
#include <string>
#include <sys/types.h>

namespace review {

class Fleet {
public:
    static constexpr uint16_t controlPort = 8166;
    static constexpr uint16_t callerPort = 8161;
    static constexpr uint16_t readyPort = 8167;
    static constexpr uint16_t peerPort = 7720;
    static constexpr int controlCount = 3;

    Fleet(std::string program, Record& record);
    /// Ends all processes that it started and removes their folder.
    ~Fleet();
    Fleet(Fleet const&) = delete;
    Fleet& operator=(Fleet const&) = delete;

    /// The address of the service that is asked for advice; to be called before startControls.
    void setAdvice(Endpoint const& service) { this->advice = service; }
    void startControls();
    /// `routes`: for the peers that the entry host reaches through a port forwarding, by their own address.
    void startEntry(int host, std::map<std::string, std::string> const& routes = {});

    std::string ip(int host) const { return this->ipPrefix + std::to_string(host); }
    Endpoint control(int host) const { return { this->ip(host), controlPort }; }
    Endpoint peer(int host) const { return { this->ip(host), peerPort }; }
    std::vector<Endpoint> controls() const;
    /// The control host whose log says that it leads; 0 if none.
    int leader() const;
    void signal(int host, int number);
    void kill(int host);
    /// Starts a control host that was killed, on its disk.
    void restartControl(int host);

    /// Waits for a leader and for the entry hosts to be ready. Throws std::runtime_error after 20 s.
    void waitUntilServing();

    /// A call of a client at an entry host.
    Response client(int entry, std::string const& method, std::string const& path, std::string const& body = "", Milliseconds timeout = Milliseconds(3000)) const;
    /// Sends the configuration to the control hosts in turn until one acknowledges it.
    void configure(std::string const& body) const;

private:
    std::string address(int host, uint16_t port) const { return this->ip(host) + ":" + std::to_string(port); }
    std::string commonSettings(int host, std::string const& role, bool isFirstStart) const;
    void startControl(int host, bool isFirstStart);
    void start(int host, std::string const& settings);
    std::string logPath(int host) const { return this->folder + "/host" + std::to_string(host) + ".log"; }

    std::string program;
    Record& record;
    std::string folder;
    std::string ipPrefix;
    Endpoint advice;
    std::map<int, pid_t> processes;
    std::vector<int> entries;
};

constexpr char const* clientHost = "jobs.example";

/// A configuration of one service "fleet" and the given routes, each as "NAME PREFIX".
std::string configuration(uint64_t version, std::vector<std::pair<std::string, std::string>> const& routes, unsigned maxAttempts = 2);

} // namespace review
