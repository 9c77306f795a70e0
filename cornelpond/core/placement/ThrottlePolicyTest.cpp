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
    CHECK(imageSpeedPercents({ { 40, justChanged, 1 } }, 0.1, Duration(), false) == std::vector<unsigned> { 40 });
    CHECK(imageSpeedPercents({ { 0, justChanged, 1 }, { 100, longUnchanged, 1 } }, 5, Duration(), false) == std::vector<unsigned> { 0, 100 });
    CHECK(imageSpeedPercents({ { 100, longUnchanged, 1 } }, 5, Duration(), true) == std::vector<unsigned> { 100 });
}

TEST_CASE("load: the image with the largest effect is slowed at the first listing over target, the others go on")
{
    std::vector<ImageSpeed> const images { { 100, longUnchanged, 0.02 }, { 100, longUnchanged, 0.9 }, { 100, longUnchanged, 0.2 } };
    CHECK(imageSpeedPercents(images, 1.2, Duration(), false) == std::vector<unsigned> { 100, 53, 100 });
    CHECK(imageSpeedPercents(images, 4, Duration(), false) == std::vector<unsigned> { 100, 0, 50 });
    CHECK(imageSpeedPercents(images, 0.8, Duration(), false) == std::vector<unsigned> { 100, 100, 100 });
}

TEST_CASE("load: all images are stopped once a service has stayed over its target for longer than a change takes to show")
{
    std::vector<ImageSpeed> const images { { 100, longUnchanged, 0 }, { 0, justChanged, 0 } };
    CHECK(imageSpeedPercents(images, 1.2, Duration::milliseconds(650), false) == std::vector<unsigned> { 0, 0 });
    CHECK(imageSpeedPercents(images, 1.2, Duration::milliseconds(650), true) == std::vector<unsigned> { 0, 0 });
}

TEST_CASE("a stopped image returns in steps while the services are well under their targets")
{
    CHECK(imageSpeedPercents({ { 0, longUnchanged, 0 } }, 0.4, Duration(), false) == std::vector<unsigned> { 50 });
    CHECK(imageSpeedPercents({ { 90, longUnchanged, 1 } }, 0.4, Duration(), false) == std::vector<unsigned> { 100 });
    CHECK(imageSpeedPercents({ { 60, longUnchanged, 1 } }, 0.85, Duration(), false) == std::vector<unsigned> { 60 });
}
