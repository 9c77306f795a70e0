// Batch tasks under faults of workers and of the entry host's process and disk.

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

/// Injects a random fault into one of the fleet's four workers, or restarts it when its process is down. `dead` contains the
/// workers whose process is down.
void injectWorkerFault(ScenarioFixture& fixture, ChildProcess& fleet, std::set<std::string>& dead)
{
    std::string const worker = workerName(fixture.randomBetween(1, 4));
    if (dead.count(worker)) {
        fleet.sendCommand("worker " + worker + " restart");
        dead.erase(worker);
        return;
    }
    std::vector<std::string> const faults = { "silent", "silent", "return", "return", "die", "restart" };
    std::string const& fault = faults[fixture.random.below(faults.size())];
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

/// Checks what must hold for all batch tasks under any faults.
void checkTasks(ScenarioFixture const& fixture, std::set<TaskId> const& cancelled = {})
{
    std::vector<RecordEntry> const record = fixture.record();
    CHECK(findOverlaps(record) == noViolations);
    CHECK(findOverCapacity(record) == noViolations);
    CHECK(findBadResumes(record, cancelled) == noViolations);
    std::set<TaskId> wanted = fixture.acceptedTasks;
    for (auto const& id : cancelled)
        wanted.erase(id);
    CHECK(findUnfinishedTasks(record, wanted) == noViolations);
}

} // namespace

TEST_CASE("tasks-under-silent-and-dying-workers")
{
    ScenarioFixture fixture(oneHostOptions());
    ChildProcess& fleet = fixture.addFleet("dc1", smallWorkers);
    std::set<std::string> dead;
    for (int round = 0; round < 10; round++) {
        fixture.submitRandomTasks("h1", 4);
        injectWorkerFault(fixture, fleet, dead);
        fixture.sleepUpTo(300);
    }
    healWorkers(fleet, dead);
    fixture.waitUntilAllTasksEnded("h1");
    checkTasks(fixture);
}

TEST_CASE("tasks-under-host-kills-and-silent-workers")
{
    ScenarioFixture fixture(oneHostOptions());
    ChildProcess& fleet = fixture.addFleet("dc1", smallWorkers);
    std::set<std::string> dead;
    for (int round = 0; round < 6; round++) {
        fixture.submitRandomTasks("h1", 6);
        injectWorkerFault(fixture, fleet, dead);
        fixture.sleepUpTo(400);
        fixture.killAndRestart("h1");
    }
    healWorkers(fleet, dead);
    fixture.waitUntilAllTasksEnded("h1");
    checkTasks(fixture);
}

TEST_CASE("one-place-under-clock-drift-and-silence-beyond-the-lease")
{
    ScenarioFixture fixture(oneHostOptions());
    ChildProcess& fleet = fixture.addFleet("dc1", smallWorkers);
    // Up to 100000 ppm: 100 ms over a lease of 1000 ms, within the drift margin of 200 ms.
    for (int64_t i = 1; i <= 4; i++)
        fleet.sendCommand("worker " + workerName(i) + " drift " + std::to_string(fixture.randomBetween(-100000, 100000)));
    nlohmann::json task = fixture.randomTask();
    task["command"] = "run 1500";
    TaskId const id(task["id"].get<std::string>());
    fixture.submit("h1", task);
    for (size_t attempt = 1; attempt <= 3; attempt++) {
        fixture.waitForAttemptStarts(id, attempt);
        fleet.sendCommand("worker " + workerName(fixture.randomBetween(1, 4)) + " silent");
        fleet.sendCommand("worker * silent");
        fixture.sleepUpTo(200);
        waitUntil("the task to be queued again or finished", [&] {
            nlohmann::json const shown = fixture.fetchTask("h1", id);
            return shown.is_object() && (shown["state"] == "queued" || shown["state"] == "finished");
        });
        fleet.sendCommand("worker * return");
    }
    fixture.waitUntilAllTasksEnded("h1");
    checkTasks(fixture);
}

TEST_CASE("lost-answers-and-resent-submissions-start-a-task-once")
{
    ScenarioFixture fixture(oneHostOptions());
    fixture.addFleet("dc1", smallWorkers);
    for (int i = 0; i < 12; i++) {
        nlohmann::json const task = fixture.randomTask();
        std::string const body = task.dump();
        std::string const head = "POST /v1/tasks HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer operators-secret\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        // The submitter disconnects without reading the response, so it does not know the outcome and resends.
        sendRawBytes(fixture.cluster.host("h1").address("operators"), head + body, 0);
        if (i % 4 == 3)
            fixture.killAndRestart("h1");
        fixture.submit("h1", task);
        fixture.submit("h1", task);
    }
    fixture.waitUntilAllTasksEnded("h1");
    checkTasks(fixture);
}

TEST_CASE("waves-of-cancellations-and-host-kills")
{
    ScenarioFixture fixture(oneHostOptions());
    fixture.addFleet("dc1", smallWorkers);
    std::set<TaskId> cancelled;
    int64_t cancelledAtUs = 0;
    for (int wave = 0; wave < 3; wave++) {
        fixture.submitRandomTasks("h1", 15);
        waitUntil("the wave to be cancelled", [&] {
            try {
                fixture.cluster.callOperatorApi("h1", "POST", "/v1/cancel", { { "selector", "wave = " + std::to_string(wave) } });
                return true;
            } catch (Error const&) {
                return false;
            }
        });
        fixture.killAndRestart("h1");
    }
    fixture.waitUntilAllTasksEnded("h1");
    for (auto const& id : fixture.acceptedTasks) {
        if (fixture.fetchTask("h1", id)["state"] == "cancelled")
            cancelled.insert(id);
    }
    CHECK_FALSE(cancelled.empty());
    for (auto const& entry : fixture.record())
        cancelledAtUs = std::max(cancelledAtUs, entry.atUs);
    checkTasks(fixture, cancelled);
    // Cancelled tasks stay cancelled: none of their attempts starts after another restart.
    fixture.killAndRestart("h1");
    fixture.submitRandomTasks("h1", 4);
    fixture.waitUntilAllTasksEnded("h1");
    CHECK(findStartsAfterCancellation(fixture.record(), cancelled, cancelledAtUs) == noViolations);
}

TEST_CASE("a-worker-that-fails-everything-loses-no-task")
{
    ScenarioFixture fixture(oneHostOptions());
    ChildProcess& fleet = fixture.addFleet("dc1", smallWorkers);
    fleet.sendCommand("worker dc1-w1 failall");
    for (int round = 0; round < 5; round++) {
        fixture.submitRandomTasks("h1", 5);
        fixture.sleepUpTo(200);
    }
    fixture.waitUntilAllTasksEnded("h1");
    checkTasks(fixture);
}

TEST_CASE("a-task-that-can-never-run-blocks-no-other")
{
    ScenarioFixture fixture(oneHostOptions());
    fixture.addFleet("dc1", smallWorkers);
    nlohmann::json impossible = fixture.randomTask();
    impossible["resources"]["milliCores"] = 1000000;
    TaskId const id(impossible["id"].get<std::string>());
    fixture.submit("h1", impossible);
    fixture.acceptedTasks.erase(id);
    fixture.submitRandomTasks("h1", 10);
    fixture.waitUntilAllTasksEnded("h1");
    checkTasks(fixture);
    CHECK(fixture.fetchTask("h1", id)["state"] == "queued");
    CHECK_THAT(fixture.cluster.callOperatorApi("h1", "GET", "/v1/explain/" + id.value())["reason"].get<std::string>(), Catch::Contains("worker"));
}

TEST_CASE("a-torn-journal-tail-loses-nothing-that-was-accepted")
{
    ScenarioFixture fixture(oneHostOptions());
    fixture.addFleet("dc1", smallWorkers);
    fixture.submitRandomTasks("h1", 10);
    ClusterHost& host = fixture.cluster.host("h1");
    host.kill();
    std::ofstream(newestJournalFile(host.dataFolder() + "/tasks"), std::ios::app) << "torn";
    host.start();
    host.waitForLog("JournalTailCut");
    fixture.waitUntilAllTasksEnded("h1");
    checkTasks(fixture);
}

TEST_CASE("a-damaged-journal-is-reported-and-not-served")
{
    ScenarioFixture fixture(oneHostOptions());
    fixture.submitRandomTasks("h1", 20);
    ClusterHost& host = fixture.cluster.host("h1");
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
        served = fixture.cluster.submit("h1", fixture.randomTask()) == ResultCode::Ok;
    } catch (std::runtime_error const& error) {
        served = false;
        CHECK_THAT(error.what(), Catch::Contains("401"));
    }
    CHECK_FALSE(served);
}

TEST_CASE("a-restart-after-hundreds-of-changes-keeps-every-task")
{
    ScenarioFixture fixture(oneHostOptions());
    fixture.addFleet("dc1", { "--workers", "8", "--servers", "0", "--cores", "64" });
    for (int i = 0; i < 300; i++) {
        nlohmann::json task = fixture.randomTask();
        task["resources"] = { { "milliCores", 100 } };
        task["command"] = "run 10";
        fixture.submit("h1", task);
        if (i % 100 == 50)
            fixture.killAndRestart("h1");
    }
    fixture.killAndRestart("h1");
    fixture.killAndRestart("h1");
    fixture.waitUntilAllTasksEnded("h1");
    checkTasks(fixture);
}

TEST_CASE("workers-connections-go-silent-for-good-while-new-ones-work")
{
    ScenarioFixture fixture(oneHostOptions());
    ChildProcess proxy({ std::string(BINARY_FOLDER) + "/faultproxy", "--link", "w=127.0.0.1:0=" + fixture.cluster.host("h1").address("workers") }, fixture.cluster.newPath("proxy"), ChildProcess::Input::Lines);
    std::string const entry = "127.0.0.1:" + proxy.waitForWordAfter("link w port ");
    // The workers get only the address of the proxy, so all their connections pass through it.
    ChildProcess fleet({ std::string(BINARY_FOLDER) + "/standin", "--entry", entry, "--workers", "3", "--servers", "0", "--cores", "4", "--announce-ms", "100", "--record", fixture.cluster.recordPath() },
        fixture.cluster.newPath("fleet"));
    for (int round = 0; round < 6; round++) {
        for (int i = 0; i < 4; i++) {
            nlohmann::json task = fixture.randomTask();
            task["resources"]["accelerators"] = 0;
            fixture.submit("h1", task);
        }
        fixture.sleepUpTo(300);
        proxy.sendCommand("w silence");
    }
    fixture.waitUntilAllTasksEnded("h1");
    checkTasks(fixture);
}
