#include "cornelpond/core/evacuation/EvacuationTable.h"
#include "cornelpond/core/evacuation/RepeatedEvacuationCalls.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

DataCentreId const north("north");
DataCentreId const south("south");

} // namespace

TEST_CASE("evacuations survive a snapshot, and one that lacks them restores to none")
{
    EvacuationTable table;
    CHECK(table.takeSnapshot().empty());
    CHECK(table.apply(decodeEvacuationCommand(encodeEvacuationCommand({ EvacuationChange::Start, north, 1700000000000 }))));
    CHECK(table.apply({ EvacuationChange::Start, south, 7 }));
    CHECK_FALSE(table.apply({ EvacuationChange::Start, north, 9 }));
    EvacuationTable restored;
    restored.restore(table.takeSnapshot());
    CHECK(restored.all() == table.all());
    CHECK(restored.all().at(north) == 1700000000000);
    CHECK(restored.apply({ EvacuationChange::Finish, south, 8 }));
    CHECK_FALSE(restored.apply({ EvacuationChange::Finish, south, 8 }));
    CHECK(restored.isEvacuated(north));
    CHECK_FALSE(restored.isEvacuated(south));
    restored.restore("");
    CHECK(restored.all().empty());
}

TEST_CASE("a damaged command or snapshot is refused")
{
    std::string const command = encodeEvacuationCommand({ EvacuationChange::Start, north, 1 });
    EvacuationTable table;
    CHECK_THROWS_AS(decodeEvacuationCommand(command.substr(0, 4)), Error);
    CHECK_THROWS_AS(decodeEvacuationCommand(std::string(1, '\5') + command.substr(1)), Error);
    CHECK_THROWS_AS(table.restore("\2\1a"), Error);
}

TEST_CASE("a call may be a copy of an earlier one for as long as operators send calls again, for each data centre and kind")
{
    TimePoint const start = TimePoint::fromMicroseconds(1000);
    RepeatedEvacuationCalls calls(Duration::seconds(5));
    calls.noteApplied(EvacuationChange::Start, north, start);
    TimePoint const later = start + Duration::seconds(2);
    CHECK(calls.ambiguousFor(EvacuationChange::Start, north, later) == Duration::seconds(3));
    CHECK_FALSE(calls.ambiguousFor(EvacuationChange::Finish, north, later));
    CHECK_FALSE(calls.ambiguousFor(EvacuationChange::Start, south, later));
    CHECK_FALSE(calls.ambiguousFor(EvacuationChange::Start, north, start + Duration::seconds(5)));
}
