#pragma once

// The project's own processes, started by the commands of the deploy file on loopback addresses of their own: three control hosts,
// which are the seeds, and two entry hosts. The settings are those that the templates of the deploy file render.
//
// Example:
//   Hosts hosts(record);
//   hosts.start();
//   hosts.replaceConfig(config);

#include "review/standin-3/Http.h"
#include "review/standin-3/Record.h"

#include <nlohmann/json.hpp>
#include <sys/types.h>

namespace review {

class Hosts {
public:
    explicit Hosts(Record& record);
    ~Hosts(); ///< Ends all processes and removes the temporary folder.
    Hosts(Hosts const&) = delete;
    Hosts& operator=(Hosts const&) = delete;

    void start();
    /// Sends the configuration as the operator does, until it is acknowledged. Throws std::runtime_error after 30 s.
    void replaceConfig(nlohmann::json const& config);
    /// True when no process has ended by itself.
    bool areRunning();

    std::string ip(int number) const { return this->prefix + std::to_string(number); }
    std::vector<std::string> controlAddresses() const;
    std::vector<std::string> entryAddresses() const;

private:
    static constexpr int controlCount = 3;
    static constexpr int entryCount = 2;
    static constexpr int firstEntryNumber = 11;

    nlohmann::json commonSettings(int number, char const* role, int zone) const;
    void startProcess(int number, nlohmann::json const& settings);

    Record& record;
    std::string prefix; ///< Of the addresses: "127.A.B.".
    std::string folder;
    std::vector<pid_t> processes;
};

} // namespace review
