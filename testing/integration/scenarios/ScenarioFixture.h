#pragma once

// The fixture of all scenarios: a cluster with its stand-in fleets, the seeded random numbers and the tasks submitted.
//
// Example:
//   ScenarioFixture fixture(oneHostOptions());
//   ChildProcess& fleet = fixture.addFleet("dc1", { "--workers", "4" });
//   fixture.submit("h1", fixture.randomTask());
//   fleet.sendCommand("worker dc1-w1 silent");
//   fixture.waitUntilAllTasksEnded("h1");
//   CHECK(findOverlaps(fixture.record()) == noViolations);

#include "testing/integration/Cluster.h"
#include "testing/integration/RecordCheck.h"

#include "cornelpond/ports/Random.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cornelpond {

/// The seed of this run, from which each scenario derives all its random choices.
uint64_t scenarioSeed();
void setScenarioSeed(uint64_t seed);

/// A cluster of one entry host with a disk.
ClusterOptions oneHostOptions();

/// Eight hosts in three data centres.
ClusterOptions threeDataCentreOptions();

class ScenarioFixture {
public:
    /// Starts all hosts.
    explicit ScenarioFixture(ClusterOptions options);

    /// Starts a stand-in fleet whose worker and server names begin with "DATACENTRE-". The reference stays valid as long as
    /// the fixture.
    ChildProcess& addFleet(std::string const& dataCentre, std::vector<std::string> const& extra);

    /// A task of random size and run time, with a random label wave=0 to wave=3.
    nlohmann::json randomTask();

    /// Submits the task, and resends it after results that allow a retry, until it is accepted. Throws for any other refusal
    /// and after 60 s.
    void submit(std::string const& host, nlohmann::json const& task);
    void submitRandomTasks(std::string const& host, int count);

    /// The task as the host reports it; null when the call fails. Throws when the host reports NotFound.
    nlohmann::json fetchTask(std::string const& host, TaskId const& id);

    /// Waits until the host reports every accepted task as finished, failed or cancelled.
    void waitUntilAllTasksEnded(std::string const& host);

    /// Waits until the record contains at least `count` attempt starts of the task.
    void waitForAttemptStarts(TaskId const& id, size_t count);

    /// What the stand-ins have recorded so far.
    std::vector<RecordEntry> record() const { return readRecord(this->cluster.recordPath()); }

    /// Sleeps for a random time between 0 and `milliseconds`.
    void sleepUpTo(int64_t milliseconds);

    /// Kills the host and starts it again on the same disk.
    void killAndRestart(std::string const& host);

    /// A random number in [low, high].
    int64_t randomBetween(int64_t low, int64_t high) { return low + static_cast<int64_t>(this->random.below(static_cast<uint64_t>(high - low + 1))); }

    SeededRandom random;
    Cluster cluster;
    std::set<TaskId> acceptedTasks;

private:
    std::vector<std::unique_ptr<ChildProcess>> fleets;
    int generatedTaskCount = 0;
};

/// Sends the bytes on a new connection to "IP:PORT", waits up to `timeoutMs` for the first bytes of a response and closes the
/// connection. Returns the bytes received, empty if there are none.
std::string sendRawBytes(std::string const& address, std::string const& bytes, int64_t timeoutMs);

} // namespace cornelpond
