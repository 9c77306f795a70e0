#include "cornelpond/core/scheduling/PassPacing.h"

#include "testing/fakes/FakeClock.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

/// Runs passes for ten seconds, one each tick, and returns the share of the time that full passes take.
double fullPassShare(Duration fullPass)
{
    constexpr Duration tick = Duration::milliseconds(15);
    constexpr Duration span = Duration::seconds(10);
    FakeClock clock;
    PassPacing pacing;
    TimePoint const end = clock.now() + span;
    Duration inFullPasses;
    while (clock.now() < end) {
        clock.advance(tick);
        if (!pacing.isFullPassDue(clock.now()))
            continue;
        TimePoint const started = clock.now();
        clock.advance(fullPass);
        pacing.onFullPass(started, clock.now());
        inFullPasses = inFullPasses + fullPass;
    }
    return inFullPasses.toSeconds() / span.toSeconds();
}

} // namespace

TEST_CASE("passes over all stages take a fifth of the time at most, however many tasks wait")
{
    for (int64_t const milliseconds : { 5, 20, 50, 200 })
        CHECK(fullPassShare(Duration::milliseconds(milliseconds)) <= 0.21);
}

TEST_CASE("while a pass takes no time worth mentioning, each looks at all stages")
{
    FakeClock clock;
    PassPacing pacing;
    for (int i = 0; i < 10; i++) {
        CHECK(pacing.isFullPassDue(clock.now()));
        pacing.onFullPass(clock.now(), clock.now());
    }
}

TEST_CASE("passes before the next tick take a fifth of the time at most, and next to no time is no reason to wait for it")
{
    FakeClock clock;
    PassPacing pacing;
    Duration const pass = Duration::milliseconds(3);
    for (int i = 0; i < 10; i++) {
        CHECK(pacing.isEarlyPassDue(clock.now()));
        pacing.onPass(clock.now(), clock.now());
    }
    TimePoint const started = clock.now();
    clock.advance(pass);
    pacing.onPass(started, clock.now());
    clock.advance(pass * 4 - Duration::microseconds(1));
    CHECK_FALSE(pacing.isEarlyPassDue(clock.now()));
    clock.advance(Duration::microseconds(1));
    CHECK(pacing.isEarlyPassDue(clock.now()));
}
