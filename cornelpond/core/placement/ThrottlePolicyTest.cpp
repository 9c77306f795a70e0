#include "cornelpond/core/placement/ThrottlePolicy.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

constexpr Duration longSteady = Duration::seconds(2);
constexpr Duration justChanged = Duration::milliseconds(100);

/// Follows a service whose tail is `base` and grows by `slope` with each percent of pace.
unsigned settledPace(double base, double slope)
{
    unsigned percent = 5;
    for (int step = 0; step < 40; step++)
        percent = taskSpeedPercent(percent, base + slope * percent, longSteady);
    return percent;
}

} // namespace

TEST_CASE("load: a task that harms a service finds the pace that the service bears")
{
    CHECK(settledPace(0.4, 0.001) == 100);
    unsigned const moderate = settledPace(0.4, 0.01);
    CHECK(moderate >= 20);
    CHECK(moderate <= 60);
    CHECK(settledPace(0.4, 0.1) <= 8);
}

TEST_CASE("a task that trickles never stands still, however far over target the service is")
{
    CHECK(taskSpeedPercent(1, 5, longSteady) == 1);
    CHECK(taskSpeedPercent(3, 5, longSteady) == 1);
    CHECK(taskSpeedPercent(0, 0.8, longSteady) == 1);
}

TEST_CASE("a pace is not changed before its effect can be seen")
{
    CHECK(taskSpeedPercent(40, 5, justChanged) == 40);
    CHECK(taskSpeedPercent(40, 0.1, justChanged) == 40);
    CHECK(workerSpeedPercent(40, 5, justChanged, true) == 40);
}

TEST_CASE("a worker over target is slowed in line with the excess, stopped when far over, and eased again")
{
    CHECK(workerSpeedPercent(100, 1.6, longSteady, true) == 50);
    CHECK(workerSpeedPercent(20, 4, longSteady, true) == 0);
    CHECK(workerSpeedPercent(100, 1.6, longSteady, false) == 100);
    CHECK(workerSpeedPercent(0, 0.4, longSteady, true) == 25);
    CHECK(workerSpeedPercent(90, 0.4, longSteady, true) == 100);
    CHECK(workerSpeedPercent(60, 0.85, longSteady, true) == 60);
}
