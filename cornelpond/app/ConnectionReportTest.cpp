#include "cornelpond/app/ConnectionReport.h"

#include "testing/fakes/RecordingEventSink.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

TEST_CASE("connections at a bound are logged once a second, and not while nothing waits or is refused")
{
    RecordingEventSink events;
    ConnectionReport report(events);
    TimePoint const start = TimePoint() + Duration::seconds(10);
    ConnectionFigures figures;
    figures.outgoingBound = 4;
    figures.outgoingOpen = 4;
    report.update(start, figures);
    CHECK(events.count(EventId::ConnectionBoundReached) == 0);
    for (int tick = 1; tick <= 200; tick++) {
        figures.requestsDelayed++;
        report.update(start + Duration::milliseconds(15) * tick, figures);
    }
    CHECK(events.count(EventId::ConnectionBoundReached) >= 2);
    CHECK(events.count(EventId::ConnectionBoundReached) <= 3);
    size_t const before = events.count(EventId::ConnectionBoundReached);
    figures.incomingRefused++;
    report.update(start + Duration::seconds(9), figures);
    report.update(start + Duration::seconds(11), figures);
    CHECK(events.count(EventId::ConnectionBoundReached) == before + 1);
}
