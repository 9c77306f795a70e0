#include "cornelpond/core/queueing/RunTimeModel.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);

StageSpec shortStage()
{
    StageSpec stage;
    stage.estimatedRunTime = second;
    return stage;
}

StageSpec bestEffortStage()
{
    StageSpec stage = shortStage();
    stage.isBestEffort = true;
    return stage;
}

} // namespace

TEST_CASE("the stretch of a kind of task approaches what nine of ten stay within")
{
    RunTimeModel model;
    for (int i = 0; i < 2000; i++)
        model.observe(bestEffortStage(), second + Duration::milliseconds(i % 100 * 20)); // 1 to 3 times the estimate.
    CHECK(model.stretchOf(bestEffortStage()) > 2.5);
    CHECK(model.stretchOf(bestEffortStage()) < 3.1);
    CHECK(model.stretchOf(shortStage()) == 1);
}

TEST_CASE("the stretch is never below the estimate and falls again when tasks get faster")
{
    RunTimeModel model;
    for (int i = 0; i < 200; i++)
        model.observe(shortStage(), second * 4);
    double const slow = model.stretchOf(shortStage());
    CHECK(slow > 3.5);
    for (int i = 0; i < 2000; i++)
        model.observe(shortStage(), second / 2);
    CHECK(model.stretchOf(shortStage()) == 1);
}

TEST_CASE("stages without an estimate and odd times teach nothing")
{
    RunTimeModel model;
    model.observe(StageSpec(), second * 100);
    CHECK(model.stretchOf(StageSpec()) == 1);
    for (int i = 0; i < 10000; i++)
        model.observe(shortStage(), second * 100000);
    CHECK(model.stretchOf(shortStage()) <= 10);
}
