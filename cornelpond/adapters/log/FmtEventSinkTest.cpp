#include "cornelpond/adapters/log/FmtEventSink.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

TEST_CASE("a line has time, number, name and fields, with special characters escaped")
{
    Event const event = Event(EventId::TaskPlaced).with("task", TaskId("t1")).with("reason", "a \"b\"\nc").with("empty", "").with("waitMs", Duration::seconds(2));
    CHECK(formatEvent(event, HostId("h1"), 1234)
        == "1970-01-01T00:00:01.234Z 301 TaskPlaced host=h1 task=t1 reason=\"a \\\"b\\\"\\x0ac\" empty=\"\" waitMs=2000");
}
