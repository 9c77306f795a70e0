#include "cornelpond/core/lease/AttemptTracker.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

LeaseTimes const times { Duration::seconds(5), Duration::milliseconds(500) };
TaskId const task("t");
AttemptNumber const attempt(1);
Duration const oneLease = times.lease + times.driftMargin;
Duration const twoLeases = times.lease * 2 + times.driftMargin;
Duration const instant = Duration::microseconds(1);

WorkerAnnouncement announcement(uint64_t number, std::string const& incarnation = "1")
{
    WorkerAnnouncement result;
    result.number = AnnouncementNumber(number);
    result.incarnation = incarnation;
    return result;
}

} // namespace

TEST_CASE("an attempt may run unreported for two leases after its start was sent")
{
    AttemptTracker tracker(times);
    TimePoint const sent = TimePoint() + Duration::minutes(1);
    tracker.reset(TimePoint());
    tracker.onStartSent(task, attempt, sent);
    CHECK(tracker.canStillRun(task, attempt, announcement(1), sent + twoLeases - instant));
    CHECK_FALSE(tracker.canStillRun(task, attempt, announcement(1), sent + twoLeases));
}

TEST_CASE("a new leader allows for starts that the earlier leader sent until the takeover")
{
    AttemptTracker tracker(times);
    TimePoint const since = TimePoint() + Duration::minutes(1);
    tracker.reset(since);
    CHECK(tracker.canStillRun(task, attempt, announcement(1), since + twoLeases - instant));
    CHECK_FALSE(tracker.canStillRun(task, attempt, announcement(1), since + twoLeases));
}

TEST_CASE("an attempt has ended when the process that reported it leaves it out later, but not when another process does")
{
    AttemptTracker tracker(times);
    TimePoint const reported = TimePoint() + Duration::minutes(1);
    tracker.reset(TimePoint());
    tracker.onReported(task, attempt, announcement(5), reported);
    CHECK_FALSE(tracker.canStillRun(task, attempt, announcement(6), reported));
    CHECK(tracker.canStillRun(task, attempt, announcement(4), reported));
    CHECK(tracker.canStillRun(task, attempt, announcement(9, "0"), reported + oneLease - instant));
    CHECK_FALSE(tracker.canStillRun(task, attempt, announcement(9, "0"), reported + oneLease));
}
