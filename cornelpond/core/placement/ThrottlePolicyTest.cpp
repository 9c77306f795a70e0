#include "cornelpond/core/placement/ThrottlePolicy.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

constexpr Duration longUnchanged = Duration::seconds(2);
constexpr Duration justChanged = Duration::milliseconds(100);

/// The speed that is reached beside a service whose tail ratio is `base` plus `slope` per percent of speed.
unsigned settledSpeedPercent(double base, double slope)
{
    unsigned percent = 5;
    for (int step = 0; step < 40; step++)
        percent = taskSpeedPercent(percent, base + slope * percent, longUnchanged);
    return percent;
}

} // namespace

TEST_CASE("load: a task that harms a service settles at a speed that the service tolerates")
{
    CHECK(settledSpeedPercent(0.4, 0.001) == 100);
    unsigned const moderate = settledSpeedPercent(0.4, 0.01);
    CHECK(moderate >= 20);
    CHECK(moderate <= 60);
    CHECK(settledSpeedPercent(0.4, 0.1) <= 8);
}

TEST_CASE("a task that was started throttled is never stopped, however far over target the service is")
{
    CHECK(taskSpeedPercent(1, 5, longUnchanged) == 1);
    CHECK(taskSpeedPercent(3, 5, longUnchanged) == 1);
    CHECK(taskSpeedPercent(0, 0.8, longUnchanged) == 1);
}

TEST_CASE("a speed is not changed before its effect can be observed")
{
    CHECK(taskSpeedPercent(40, 5, justChanged) == 40);
    CHECK(taskSpeedPercent(40, 0.1, justChanged) == 40);
    CHECK(workerSpeedPercent(40, 5, justChanged, true) == 40);
}

TEST_CASE("a worker over target is slowed in proportion to the excess, stopped when far over target, and sped up later")
{
    CHECK(workerSpeedPercent(100, 1.6, longUnchanged, true) == 50);
    CHECK(workerSpeedPercent(20, 4, longUnchanged, true) == 0);
    CHECK(workerSpeedPercent(100, 1.6, longUnchanged, false) == 100);
    CHECK(workerSpeedPercent(0, 0.4, longUnchanged, true) == 25);
    CHECK(workerSpeedPercent(90, 0.4, longUnchanged, true) == 100);
    CHECK(workerSpeedPercent(60, 0.85, longUnchanged, true) == 60);
}
