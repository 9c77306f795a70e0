#include "cornelpond/core/lease/WorkerTable.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

WorkerAnnouncement makeAnnouncement(uint64_t number, std::string const& incarnation = "1")
{
    WorkerAnnouncement announcement;
    announcement.worker = WorkerId("w1");
    announcement.incarnation = incarnation;
    announcement.number = AnnouncementNumber(number);
    return announcement;
}

} // namespace

TEST_CASE("an announcement that is not newer does not renew the lease")
{
    WorkerTable table(LeaseTimes {});
    TimePoint const start;
    CHECK(table.onAnnouncement(makeAnnouncement(2), start));
    CHECK_FALSE(table.onAnnouncement(makeAnnouncement(2), start + Duration::seconds(1)));
    CHECK_FALSE(table.onAnnouncement(makeAnnouncement(1), start + Duration::seconds(1)));
    CHECK(table.onAnnouncement(makeAnnouncement(1, "2"), start + Duration::seconds(1)));
}

TEST_CASE("a worker expires once its lease and the margin have passed, not before")
{
    LeaseTimes const times { Duration::seconds(5), Duration::milliseconds(500) };
    WorkerTable table(times);
    TimePoint const start;
    table.onAnnouncement(makeAnnouncement(1), start);
    CHECK(table.takeExpired(start + Duration::milliseconds(5499)).empty());
    CHECK(table.takeExpired(start + Duration::milliseconds(5500)).size() == 1);
    CHECK_FALSE(table.find(WorkerId("w1")));
}
