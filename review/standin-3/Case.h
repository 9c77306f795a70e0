#pragma once

// What every case has: the hosts, the executors of one service and a requester. `runCase` turns the outcome into the exit status
// of run.sh: 0 the rule held, 1 it was broken, 2 the case could not run.
//
// Example:
//   int main() { return review::runCase([](review::Case& each) { each.startFleet(8, {}); return each.submit(...); }); }

#include "review/standin-3/Executors.h"
#include "review/standin-3/Hosts.h"

namespace review {

class Case {
public:
    explicit Case(Record& record);

    /// Starts hosts and executors and sends the configuration with one queue at /q/. `queue`: fields of the queue besides. Returns
    /// once each executor has answered a renewal.
    void startFleet(std::vector<ExecutorSpec> const& specs, nlohmann::json const& queue);
    /// Executors e01 to eNN of 16 cores each, on racks of 8.
    std::vector<ExecutorSpec> equalExecutors(int count) const;
    ExecutorSpec executor(int number, int64_t cpu, std::string const& kind) const;

    /// Submits as a requester does, again after no answer; returns the final status.
    int submit(std::string const& id, nlohmann::json const& body);
    /// The state shown; empty when there is no answer of 200.
    std::string state(std::string const& id);
    /// Waits until the condition holds; false after the time.
    static bool waitUntil(int64_t longestMs, std::function<bool()> const& condition);

    Record& record;
    Hosts hosts;
    std::unique_ptr<Executors> executors;
    bool const hasTrouble; ///< False with TROUBLE=0 in the environment.

private:
    std::optional<HttpAnswer> ask(std::string const& method, std::string const& path, std::string const& body);

    size_t nextEntry = 0;
};

/// `run` returns true when the rule held; it throws when the case could not run. The record goes to the file named by the first
/// argument.
int runCase(int argc, char const* const* argv, std::function<bool(Case&)> const& run);

} // namespace review
