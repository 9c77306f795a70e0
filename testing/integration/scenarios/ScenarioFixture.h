#pragma once

// What scenarios share: a cluster with its stand-in fleets, the seed, and the work they submit.
//
// Example:
//   Site site(oneHost());
//   ChildProcess& fleet = site.addFleet("dc1", { "--workers", "4" });
//   site.submit("h1", site.randomTask());
//   fleet.say("worker w1 silent");
//   site.waitUntilAllEnded("h1");
//   CHECK(findOverlaps(site.record()).empty());

#include "testing/integration/Cluster.h"
#include "testing/integration/RecordCheck.h"

#include "cornelpond/ports/Random.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cornelpond {

/// The seed of this run; every scenario draws from it alone.
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

    /// A stand-in fleet with its own name prefix "DATACENTRE-"; lives as long as the site.
    ChildProcess& addFleet(std::string const& dataCentre, std::vector<std::string> const& extra);

    /// A task of random size and run time, with the labels wave=0..3.
    nlohmann::json randomTask();

    /// Submits and resends until the host says that it accepted. Throws for any other refusal.
    void submit(std::string const& host, nlohmann::json const& task);
    void submitRandomTasks(std::string const& host, int count);

    /// The task as the host shows it; null when it gave no answer.
    nlohmann::json fetchTask(std::string const& host, TaskId const& id);

    /// Waits until every accepted task has ended by the host's word.
    void waitUntilAllTasksEnded(std::string const& host);

    /// Waits until the record shows that the task's attempts started at least this often.
    void waitForAttemptStarts(TaskId const& id, size_t count);

    /// The stand-ins' record until now.
    std::vector<RecordEntry> record() const { return readRecord(this->cluster.recordPath()); }

    /// Lets up to this much time pass; the amount is drawn.
    void sleepUpTo(int64_t milliseconds);

    /// Kills the host and starts it again on the same disk.
    void killAndRestart(std::string const& host);

    /// A number in [low, high].
    int64_t randomBetween(int64_t low, int64_t high) { return low + static_cast<int64_t>(this->random.below(static_cast<uint64_t>(high - low + 1))); }

    SeededRandom random;
    Cluster cluster;
    std::set<TaskId> acceptedTasks;

private:
    std::vector<std::unique_ptr<ChildProcess>> fleets;
    int generatedTaskCount = 0;
};

/// Sends the bytes on a fresh connection, waits up to `lingerMs` for an answer and closes it.
std::string sendRawBytes(std::string const& address, std::string const& bytes, int64_t lingerMs);

} // namespace cornelpond
