// Each check accepts a record without violations and finds the violation that it is written for.

#include "testing/integration/RecordCheck.h"

#include "testing/fakes/TemporaryFolder.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace cornelpond;

namespace {

RecordEntry entry(int64_t atUs, RecordKind kind, std::string const& place)
{
    RecordEntry result;
    result.atUs = atUs;
    result.kind = kind;
    result.place = place;
    return result;
}

RecordEntry workerUp(std::string const& worker, int64_t milliCores)
{
    RecordEntry result = entry(0, RecordKind::WorkerUp, worker);
    result.resources.milliCores = milliCores;
    return result;
}

RecordEntry start(int64_t atUs, std::string const& worker, uint64_t attempt, std::string const& checkpoint = "", std::string const& task = "t")
{
    RecordEntry result = entry(atUs, RecordKind::AttemptStart, worker);
    result.task = TaskId(task);
    result.attempt = attempt;
    result.resources.milliCores = 1000;
    result.checkpoint = checkpoint;
    return result;
}

RecordEntry end(int64_t atUs, std::string const& worker, uint64_t attempt, std::string const& outcome, std::string const& checkpoint = "", std::string const& task = "t")
{
    RecordEntry result = entry(atUs, RecordKind::AttemptEnd, worker);
    result.task = TaskId(task);
    result.attempt = attempt;
    result.outcome = outcome;
    result.checkpoint = checkpoint;
    return result;
}

RecordEntry request(int64_t atUs, std::string const& server, std::string const& key, std::string const& path)
{
    RecordEntry result = entry(atUs, RecordKind::RequestRun, server);
    result.key = key;
    result.request = path;
    return result;
}

} // namespace

TEST_CASE("overlapping attempts and attempts started twice are found")
{
    CHECK(findOverlaps({ start(1, "w1", 1), end(2, "w1", 1, "lost"), start(3, "w2", 2) }).empty());
    CHECK(findOverlaps({ start(1, "w1", 1, "", "a"), start(2, "w1", 1, "", "b") }).empty());
    CHECK(findOverlaps({ start(1, "w1", 1), start(2, "w2", 2), end(3, "w1", 1, "leaseEnd") }).size() == 1);
    CHECK(findOverlaps({ start(1, "w1", 1), end(2, "w1", 1, "finished"), start(3, "w2", 1) }).size() == 1);
    CHECK(findOverlaps({ start(1, "w1", 1), end(2, "w1", 1, "finished"), start(3, "w1", 1) }).size() == 1);
    // A worker that restarted may start the same attempt again; another worker may not.
    RecordEntry restarted = workerUp("w1", 1000);
    restarted.atUs = 3;
    CHECK(findOverlaps({ start(1, "w1", 1), end(2, "w1", 1, "died"), restarted, start(4, "w1", 1) }).empty());
    CHECK(findOverlaps({ start(1, "w1", 1), end(2, "w1", 1, "died"), restarted, start(4, "w2", 1) }).size() == 1);
    CHECK(findOverlaps({ start(1, "w1", 1), end(2, "w1", 1, "died"), restarted, start(4, "w1", 1), end(5, "w1", 1, "lost"), start(6, "w1", 1) }).size() == 1);
    // The end of another attempt does not end this one.
    CHECK(findOverlaps({ start(1, "w1", 1), end(2, "w1", 7, "finished"), start(3, "w2", 2) }).size() == 1);
}

TEST_CASE("a worker with more reserved than its capacity is found")
{
    CHECK(findOverCapacity({ workerUp("w1", 1000), start(1, "w1", 1, "", "a"), end(2, "w1", 1, "finished", "", "a"), start(3, "w1", 1, "", "b") }).empty());
    CHECK(findOverCapacity({ workerUp("w1", 1000), start(1, "w1", 1, "", "a"), start(2, "w1", 1, "", "b") }).size() == 1);
    CHECK(findOverCapacity({ workerUp("w1", 2000), workerUp("w2", 500), start(1, "w1", 1, "", "a"), start(2, "w2", 1, "", "b") }).size() == 1);
}

TEST_CASE("an evicted task that does not resume from its checkpoint is found")
{
    RecordEntry const stopped = end(2, "w1", 1, "stopped", "t/1/50");
    CHECK(findBadResumes({ start(1, "w1", 1), stopped, start(3, "w2", 2, "t/1/50"), end(4, "w2", 2, "finished") }, {}).empty());
    CHECK(findBadResumes({ start(1, "w1", 1), stopped, start(3, "w2", 2, "") }, {}).size() == 1);
    CHECK(findBadResumes({ start(1, "w1", 1), stopped }, {}).size() == 1);
    CHECK(findBadResumes({ start(1, "w1", 1), stopped }, { TaskId("t") }).empty());
}

TEST_CASE("unfinished tasks and starts after a cancellation are found")
{
    std::vector<RecordEntry> const record = { start(1, "w1", 1), end(2, "w1", 1, "failed"), start(3, "w1", 2), end(4, "w1", 2, "finished") };
    CHECK(findUnfinishedTasks(record, { TaskId("t") }).empty());
    CHECK(findUnfinishedTasks(record, { TaskId("t"), TaskId("u") }).size() == 1);
    CHECK(findUnfinishedTasks({ record[0], record[1] }, { TaskId("t") }).size() == 1);
    CHECK(findStartsAfterCancellation(record, { TaskId("t") }, 3).empty());
    CHECK(findStartsAfterCancellation(record, { TaskId("t") }, 2).size() == 1);
}

TEST_CASE("repeated idempotency keys and runs of refused requests are found")
{
    CHECK(findRepeatedKeys({ request(1, "s1", "", "/a"), request(2, "s1", "", "/a"), request(3, "s1", "k", "/a"), request(4, "s1", "l", "/a") }).empty());
    CHECK(findRepeatedKeys({ request(1, "s1", "k", "/a"), request(2, "s2", "k", "/a") }).size() == 1);
    CHECK(findRunsOfRefusedRequests({ request(1, "s1", "", "/a") }, { "/b" }).empty());
    CHECK(findRunsOfRefusedRequests({ request(1, "s1", "", "/a") }, { "/a" }).size() == 1);
}

TEST_CASE("overloaded backend servers and requests after a server left are found")
{
    CHECK(findServerOverloads({ request(1, "s1", "", "/a") }).empty());
    CHECK(findServerOverloads({ entry(1, RecordKind::SlotsExceeded, "s1"), entry(2, RecordKind::ConnectionsExceeded, "s1") }).size() == 2);
    RecordEntry const left = entry(10, RecordKind::ServerLeft, "s1");
    CHECK(findRequestsAfterLeave({ left, request(15, "s1", "", "/a"), request(30, "s2", "", "/b") }, 5).empty());
    CHECK(findRequestsAfterLeave({ left, request(16, "s1", "", "/a") }, 5).size() == 1);
    CHECK(findRequestsAfterLeave({ left, entry(15, RecordKind::ServerJoined, "s1"), request(16, "s1", "", "/a") }, 5).empty());
}

TEST_CASE("a record is read back from its file in order of time, without a torn last line")
{
    TemporaryFolder folder;
    std::string const path = folder.path() + "/record";
    RecordFile file(path);
    file.add(end(5, "w1", 3, "stopped", "t/3/9"));
    file.add(request(2, "s1", "k", "/a?b"));
    std::ofstream(path, std::ios::app) << "{\"us\": 9, \"ki";
    std::vector<RecordEntry> const read = readRecord(path);
    REQUIRE(read.size() == 2);
    CHECK(read[0].key == "k");
    CHECK(read[0].request == "/a?b");
    CHECK(read[1].attempt == 3);
    CHECK(read[1].checkpoint == "t/3/9");
    CHECK(read[1].outcome == "stopped");
}

TEST_CASE("consecutive attempts never count as overlapping; a start before the previous end always does")
{
    rc::prop("one swapped pair of end and start is found", [] {
        auto const count = *rc::gen::inRange<uint64_t>(2, 20);
        std::vector<RecordEntry> record;
        for (uint64_t i = 1; i <= count; i++) {
            record.push_back(start(static_cast<int64_t>(2 * i), "w" + std::to_string(i % 3), i));
            record.push_back(end(static_cast<int64_t>(2 * i + 1), "w" + std::to_string(i % 3), i, "lost"));
        }
        RC_ASSERT(findOverlaps(record).empty());
        auto const moved = *rc::gen::inRange<uint64_t>(1, count);
        std::swap(record[2 * moved - 1], record[2 * moved]);
        RC_ASSERT(findOverlaps(record).size() == 1U);
    });
}
