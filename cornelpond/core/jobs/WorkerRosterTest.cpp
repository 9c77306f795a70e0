#include "cornelpond/core/jobs/WorkerRoster.h"

#include "cornelpond/core/base/ResultCode.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

WorkerProfile profileOf(std::string const& id, int64_t bornMs)
{
    WorkerProfile profile;
    profile.id = WorkerId(id);
    profile.bornMs = bornMs;
    profile.address = "10.0.0.1:80";
    profile.labels = { "a" };
    return profile;
}

WorkerRoster decodedAndApplied(std::vector<RosterCommand> const& commands)
{
    WorkerRoster roster;
    for (auto const& command : commands)
        roster.apply(decodeRosterCommand(encodeRosterCommand(command)));
    return roster;
}

} // namespace

TEST_CASE("a worker's later process is not settled until that is recorded for this process")
{
    WorkerRoster roster = decodedAndApplied({ PutWorker { profileOf("w", 1) } });
    CHECK(roster.isSettled(WorkerId("w")));
    roster.apply(RosterCommand(PutWorker { profileOf("w", 2) }));
    CHECK_FALSE(roster.isSettled(WorkerId("w")));
    roster.apply(RosterCommand(PutWorker { profileOf("w", 2) }));
    roster.apply(RosterCommand(SettleWorker { WorkerId("w"), 1 }));
    CHECK_FALSE(roster.isSettled(WorkerId("w")));
    roster.apply(decodeRosterCommand(encodeRosterCommand(SettleWorker { WorkerId("w"), 2 })));
    CHECK(roster.isSettled(WorkerId("w")));
    roster.apply(RosterCommand(PutWorker { profileOf("w", 3) }));
    CHECK_FALSE(roster.isSettled(WorkerId("w")));
    roster.apply(RosterCommand(RemoveWorker { WorkerId("w"), 3 }));
    CHECK(roster.isSettled(WorkerId("w")));
}

TEST_CASE("a snapshot of the roster tells which processes are not settled")
{
    WorkerRoster const roster = decodedAndApplied({ PutWorker { profileOf("v", 1) }, PutWorker { profileOf("w", 1) }, PutWorker { profileOf("w", 2) } });
    std::vector<WorkerId> unsettled;
    RosterHooks hooks;
    hooks.onUnsettledRestored = [&](WorkerId const& worker) { unsettled.push_back(worker); };
    WorkerRoster restored(hooks);
    restored.restore(roster.takeSnapshot());
    CHECK(restored.isSettled(WorkerId("v")));
    CHECK_FALSE(restored.isSettled(WorkerId("w")));
    CHECK(unsettled == std::vector<WorkerId> { WorkerId("w") });
    CHECK(restored.all() == roster.all());
}

TEST_CASE("a snapshot of the roster of the earlier version is read, and one without unsettled processes has its form")
{
    // One worker "w", process 2, of an earlier version.
    std::string const earlier("\x01\x01w\x02\x00\x00\x0b"
                              "10.0.0.1:80\x00\x01\x01"
                              "a\x00\x00\x00\x00",
        26);
    WorkerRoster restored;
    restored.restore(earlier);
    REQUIRE(restored.find(WorkerId("w")));
    CHECK(*restored.find(WorkerId("w")) == profileOf("w", 2));
    CHECK(restored.isSettled(WorkerId("w")));
    CHECK(restored.takeSnapshot() == earlier);
    CHECK_THROWS_AS(restored.restore(earlier + "\x01"), Error);
}
