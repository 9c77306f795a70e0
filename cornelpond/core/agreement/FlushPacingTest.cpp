#include "cornelpond/core/agreement/FlushPacing.h"

#include "testing/fakes/FakeClock.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

/// The share of a second that syncs of the given length take while entries always wait for one.
double syncShare(Duration sync)
{
    FakeClock clock;
    FlushPacing pacing(Duration::milliseconds(25));
    TimePoint const start = clock.now();
    Duration inSyncs;
    while (clock.now() < start + Duration::seconds(1)) {
        clock.advance(pacing.waitAt(clock.now()));
        TimePoint const startedAt = clock.now();
        clock.advance(sync);
        pacing.onFlush(startedAt, clock.now());
        inSyncs = inSyncs + sync;
    }
    return inSyncs.toSeconds() / (clock.now() - start).toSeconds();
}

} // namespace

TEST_CASE("an idle log syncs at once")
{
    FakeClock clock;
    FlushPacing pacing(Duration::milliseconds(25));
    CHECK(pacing.waitAt(clock.now()) == Duration());
    TimePoint const started = clock.now();
    clock.advance(Duration::milliseconds(9));
    pacing.onFlush(started, clock.now());
    CHECK(pacing.waitAt(clock.now()) == Duration::milliseconds(9));
    clock.advance(Duration::milliseconds(9));
    CHECK(pacing.waitAt(clock.now()) == Duration());
}

TEST_CASE("syncs of a busy log take half of the time at most")
{
    for (int64_t const milliseconds : { 1, 6, 9, 25 })
        CHECK(syncShare(Duration::milliseconds(milliseconds)) <= 0.53);
}

TEST_CASE("after a sync that took long the next one does not wait as long")
{
    FakeClock clock;
    FlushPacing pacing(Duration::milliseconds(25));
    TimePoint const started = clock.now();
    clock.advance(Duration::seconds(3));
    pacing.onFlush(started, clock.now());
    CHECK(pacing.waitAt(clock.now()) == Duration::milliseconds(25));
}
