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
