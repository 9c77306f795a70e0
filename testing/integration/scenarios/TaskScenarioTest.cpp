// Batch work under faults of workers and of the entry host's process and disk.

#include "testing/integration/JournalFiles.h"
#include "testing/integration/scenarios/ScenarioFixture.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

using namespace cornelpond;

namespace {

std::vector<std::string> const smallWorkers = { "--workers", "4", "--servers", "0", "--cores", "4", "--memory-mib", "8192", "--accelerators", "1", "--usage-lag-ms", "300" };

std::string workerName(int64_t index)
{
    return "dc1-w" + std::to_string(index);
}

/// Strikes one of the fleet's four workers; `dead` holds those whose process is down.
void strikeWorker(ScenarioFixture& site, ChildProcess& fleet, std::set<std::string>& dead)
{
    std::string const worker = workerName(site.randomBetween(1, 4));
    if (dead.count(worker)) {
        fleet.sendCommand("worker " + worker + " restart");
        dead.erase(worker);
        return;
    }
    std::vector<std::string> const faults = { "silent", "silent", "return", "return", "die", "restart" };
    std::string const& fault = faults[site.random.below(faults.size())];
    fleet.sendCommand("worker " + worker + " " + fault);
    if (fault == "die")
        dead.insert(worker);
}

void healWorkers(ChildProcess& fleet, std::set<std::string> const& dead)
{
    fleet.sendCommand("worker * return");
    for (auto const& worker : dead)
        fleet.sendCommand("worker " + worker + " restart");
}

/// What holds of all batch work whatever the faults.
void checkTasks(ScenarioFixture const& site, std::set<TaskId> const& cancelled = {})
{
    std::vector<RecordEntry> const record = site.record();
    CHECK(findOverlaps(record) == noViolations);
    CHECK(findOverCapacity(record) == noViolations);
    CHECK(findBadResumes(record, cancelled) == noViolations);
    std::set<TaskId> wanted = site.acceptedTasks;
    for (auto const& id : cancelled)
        wanted.erase(id);
    CHECK(findUnfinishedTasks(record, wanted) == noViolations);
}

} // namespace

TEST_CASE("tasks-under-silent-and-dying-workers")
{
    ScenarioFixture site(oneHostOptions());
    ChildProcess& fleet = site.addFleet("dc1", smallWorkers);
    std::set<std::string> dead;
    for (int round = 0; round < 10; round++) {
        site.submitRandomTasks("h1", 4);
        strikeWorker(site, fleet, dead);
        site.sleepUpTo(300);
    }
    healWorkers(fleet, dead);
    site.waitUntilAllTasksEnded("h1");
    checkTasks(site);
}

TEST_CASE("tasks-under-host-kills-and-silent-workers")
{
    ScenarioFixture site(oneHostOptions());
    ChildProcess& fleet = site.addFleet("dc1", smallWorkers);
    std::set<std::string> dead;
    for (int round = 0; round < 6; round++) {
        site.submitRandomTasks("h1", 6);
        strikeWorker(site, fleet, dead);
        site.sleepUpTo(400);
        site.killAndRestart("h1");
    }
    healWorkers(fleet, dead);
    site.waitUntilAllTasksEnded("h1");
    checkTasks(site);
}

TEST_CASE("one-place-under-clock-drift-and-silence-beyond-the-lease")
{
    ScenarioFixture site(oneHostOptions());
    ChildProcess& fleet = site.addFleet("dc1", smallWorkers);
    // Within the drift margin of 200 ms on a lease of 1000 ms.
    for (int64_t i = 1; i <= 4; i++)
        fleet.sendCommand("worker " + workerName(i) + " drift " + std::to_string(site.randomBetween(-100000, 100000)));
    nlohmann::json task = site.randomTask();
    task["command"] = "run 1500";
    TaskId const id(task["id"].get<std::string>());
    site.submit("h1", task);
    for (size_t attempt = 1; attempt <= 3; attempt++) {
        site.waitForAttemptStarts(id, attempt);
        fleet.sendCommand("worker " + workerName(site.randomBetween(1, 4)) + " silent");
        fleet.sendCommand("worker * silent");
        site.sleepUpTo(200);
        waitUntil("the host to count the workers as lost", [&] {
            nlohmann::json const shown = site.fetchTask("h1", id);
            return shown.is_object() && (shown["state"] == "queued" || shown["state"] == "finished");
        });
        fleet.sendCommand("worker * return");
    }
    site.waitUntilAllTasksEnded("h1");
    checkTasks(site);
}

TEST_CASE("lost-answers-and-resent-submissions-start-a-task-once")
{
    ScenarioFixture site(oneHostOptions());
    site.addFleet("dc1", smallWorkers);
    for (int i = 0; i < 12; i++) {
        nlohmann::json const task = site.randomTask();
        std::string const body = task.dump();
        std::string const head = "POST /v1/tasks HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer operators-secret\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        // The submitter leaves without reading the answer, so it can't know and sends again.
        sendRawBytes(site.cluster.host("h1").address("operators"), head + body, 0);
        if (i % 4 == 3)
            site.killAndRestart("h1");
        site.submit("h1", task);
        site.submit("h1", task);
    }
    site.waitUntilAllTasksEnded("h1");
    checkTasks(site);
}

TEST_CASE("waves-of-cancellations-and-host-kills")
{
    ScenarioFixture site(oneHostOptions());
    site.addFleet("dc1", smallWorkers);
    std::set<TaskId> cancelled;
    int64_t cancelledAtUs = 0;
    for (int wave = 0; wave < 3; wave++) {
        site.submitRandomTasks("h1", 15);
        waitUntil("the wave to be cancelled", [&] {
            try {
                site.cluster.callOperatorApi("h1", "POST", "/v1/cancel", { { "selector", "wave = " + std::to_string(wave) } });
                return true;
            } catch (Error const&) {
                return false;
            }
        });
        site.killAndRestart("h1");
    }
    site.waitUntilAllTasksEnded("h1");
    for (auto const& id : site.acceptedTasks) {
        if (site.fetchTask("h1", id)["state"] == "cancelled")
            cancelled.insert(id);
    }
    CHECK_FALSE(cancelled.empty());
    for (auto const& entry : site.record())
        cancelledAtUs = std::max(cancelledAtUs, entry.atUs);
    checkTasks(site, cancelled);
    // Cancelled tasks stay so: nothing of theirs starts after yet another restart.
    site.killAndRestart("h1");
    site.submitRandomTasks("h1", 4);
    site.waitUntilAllTasksEnded("h1");
    CHECK(findStartsAfterCancellation(site.record(), cancelled, cancelledAtUs) == noViolations);
}

TEST_CASE("a-worker-that-fails-everything-loses-no-task")
{
    ScenarioFixture site(oneHostOptions());
    ChildProcess& fleet = site.addFleet("dc1", smallWorkers);
    fleet.sendCommand("worker dc1-w1 failall");
    for (int round = 0; round < 5; round++) {
        site.submitRandomTasks("h1", 5);
        site.sleepUpTo(200);
    }
    site.waitUntilAllTasksEnded("h1");
    checkTasks(site);
}

TEST_CASE("a-task-that-can-never-run-blocks-no-other")
{
    ScenarioFixture site(oneHostOptions());
    site.addFleet("dc1", smallWorkers);
    nlohmann::json impossible = site.randomTask();
    impossible["resources"]["milliCores"] = 1000000;
    TaskId const id(impossible["id"].get<std::string>());
    site.submit("h1", impossible);
    site.acceptedTasks.erase(id);
    site.submitRandomTasks("h1", 10);
    site.waitUntilAllTasksEnded("h1");
    checkTasks(site);
    CHECK(site.fetchTask("h1", id)["state"] == "queued");
    CHECK_THAT(site.cluster.callOperatorApi("h1", "GET", "/v1/explain/" + id.value())["reason"].get<std::string>(), Catch::Contains("worker"));
}

TEST_CASE("a-torn-journal-tail-loses-nothing-that-was-accepted")
{
    ScenarioFixture site(oneHostOptions());
    site.addFleet("dc1", smallWorkers);
    site.submitRandomTasks("h1", 10);
    ClusterHost& host = site.cluster.host("h1");
    host.kill();
    std::ofstream(newestJournalFile(host.dataFolder() + "/tasks"), std::ios::app) << "torn";
    host.start();
    host.waitForLog("JournalTailCut");
    site.waitUntilAllTasksEnded("h1");
    checkTasks(site);
}

TEST_CASE("a-damaged-journal-is-reported-and-not-served")
{
    ScenarioFixture site(oneHostOptions());
    site.submitRandomTasks("h1", 20);
    ClusterHost& host = site.cluster.host("h1");
    host.kill();
    std::string const journal = newestJournalFile(host.dataFolder() + "/tasks");
    auto const middle = static_cast<std::streamoff>(std::filesystem::file_size(journal) / 2);
    std::fstream file(journal, std::ios::in | std::ios::out | std::ios::binary);
    file.seekg(middle);
    char const before = static_cast<char>(file.get());
    file.seekp(middle);
    file.put(static_cast<char>(before ^ 0x55));
    file.close();
    bool served = true;
    try {
        host.start();
        served = site.cluster.submit("h1", site.randomTask()) == ResultCode::Ok;
    } catch (std::runtime_error const& error) {
        served = false;
        CHECK_THAT(error.what(), Catch::Contains("401"));
    }
    CHECK_FALSE(served);
}

TEST_CASE("a-restart-after-hundreds-of-changes-keeps-every-task")
{
    ScenarioFixture site(oneHostOptions());
    site.addFleet("dc1", { "--workers", "8", "--servers", "0", "--cores", "64" });
    for (int i = 0; i < 300; i++) {
        nlohmann::json task = site.randomTask();
        task["resources"] = { { "milliCores", 100 } };
        task["command"] = "run 10";
        site.submit("h1", task);
        if (i % 100 == 50)
            site.killAndRestart("h1");
    }
    site.killAndRestart("h1");
    site.killAndRestart("h1");
    site.waitUntilAllTasksEnded("h1");
    checkTasks(site);
}

TEST_CASE("workers-connections-go-silent-for-good-while-new-ones-work")
{
    ScenarioFixture site(oneHostOptions());
    ChildProcess proxy({ std::string(BINARY_FOLDER) + "/faultproxy", "--link", "w=127.0.0.1:0=" + site.cluster.host("h1").address("workers") }, site.cluster.newPath("proxy"), ChildProcess::Input::Lines);
    std::string const entry = "127.0.0.1:" + proxy.waitForWordAfter("link w port ");
    // Through the proxy alone: the direct address is not given.
    ChildProcess fleet({ std::string(BINARY_FOLDER) + "/standin", "--entry", entry, "--workers", "3", "--servers", "0", "--cores", "4", "--announce-ms", "100", "--record", site.cluster.recordPath() },
        site.cluster.newPath("fleet"));
    for (int round = 0; round < 6; round++) {
        for (int i = 0; i < 4; i++) {
            nlohmann::json task = site.randomTask();
            task["resources"]["accelerators"] = 0;
            site.submit("h1", task);
        }
        site.sleepUpTo(300);
        proxy.sendCommand("w silence");
    }
    site.waitUntilAllTasksEnded("h1");
    checkTasks(site);
}
