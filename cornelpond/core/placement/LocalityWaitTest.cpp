#include "cornelpond/core/placement/LocalityWait.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace cornelpond;

namespace {

constexpr Duration runTime = Duration::milliseconds(800);
TimePoint const now = TimePoint() + Duration::seconds(100);

StageSpec shortStage(int64_t milliCores)
{
    StageSpec stage;
    stage.need = { milliCores, 100, 0 };
    stage.estimatedRunTime = runTime;
    return stage;
}

/// A worker of 16 cores on which tasks of `stage` run since the given times.
WorkerView workerWith(StageSpec const& stage, std::vector<Duration> const& ages)
{
    WorkerProfile profile;
    profile.capacity = { 16000, 64000, 0 };
    WorkerView worker(profile, now);
    for (uint32_t i = 0; i < ages.size(); i++) {
        PlacedAttempt attempt;
        attempt.task = { JobId("busy"), 0, 0, i };
        attempt.number = AttemptNumber(1);
        attempt.stage = &stage;
        attempt.placedAt = now - ages[i];
        worker.place(attempt);
    }
    return worker;
}

} // namespace

TEST_CASE("a task waits for its rack while it is expected to end sooner there")
{
    CHECK(shouldWaitForRack({ runTime, 1.5, Duration::milliseconds(300), Duration() }));
    CHECK_FALSE(shouldWaitForRack({ runTime, 1.5, Duration::milliseconds(400), Duration() }));
    CHECK_FALSE(shouldWaitForRack({ runTime, 1, Duration(), Duration() }));
}

TEST_CASE("a task waits no longer than running elsewhere would cost it, whatever is expected")
{
    CHECK(shouldWaitForRack({ runTime, 1.5, std::nullopt, Duration::milliseconds(399) }));
    CHECK_FALSE(shouldWaitForRack({ runTime, 1.5, std::nullopt, Duration::milliseconds(400) }));
    CHECK_FALSE(shouldWaitForRack({ runTime, 1.5, Duration::milliseconds(1), Duration::milliseconds(400) }));
}

TEST_CASE("no task waits where elsewhere it would end sooner, and none waits for ever")
{
    rc::prop("waits pay and end", [] {
        auto const ms = [](int64_t bound) { return Duration::milliseconds(*rc::gen::inRange<int64_t>(0, bound)); };
        LocalityInputs inputs { ms(5000), static_cast<double>(*rc::gen::inRange(100, 500)) / 100, std::nullopt, ms(20000) };
        if (*rc::gen::arbitrary<bool>())
            inputs.untilRoom = ms(10000);
        if (shouldWaitForRack(inputs)) {
            RC_ASSERT(inputs.waited < costOfRunningElsewhere(inputs));
            RC_ASSERT(!inputs.untilRoom || *inputs.untilRoom + inputs.runTime < inputs.runTime + costOfRunningElsewhere(inputs));
        }
    });
}

TEST_CASE("each place on a rack is expected by the ends of what runs there, and taken once")
{
    StageSpec const stage = shortStage(8000);
    WorkerView const worker = workerWith(stage, { Duration::milliseconds(700), Duration::milliseconds(300) });
    std::vector<WorkerView const*> const workers { &worker };
    RackOutlook outlook(workers, now);
    // The first is due in 100 ms, but as long as a quarter of its estimate is allowed for estimates that are too low.
    CHECK(outlook.takePlace(stage.need, runTime) == Duration::milliseconds(200));
    CHECK(outlook.takePlace(stage.need, runTime) == Duration::milliseconds(500));
    // After the first of those two.
    CHECK(outlook.takePlace(stage.need, runTime) == Duration::milliseconds(1000));
    CHECK(outlook.takePlace({ 17000, 100, 0 }, runTime) == std::nullopt);
}

TEST_CASE("a rack without workers that take tasks has no outlook")
{
    RackOutlook outlook(std::vector<WorkerView const*>(), now);
    CHECK(outlook.empty());
    CHECK(outlook.takePlace({ 1000, 100, 0 }, runTime) == std::nullopt);
}

TEST_CASE("a task that runs for longer than estimated is expected to end soon, not at once")
{
    StageSpec const stage = shortStage(16000);
    WorkerView const worker = workerWith(stage, { Duration::seconds(5) });
    std::vector<WorkerView const*> const workers { &worker };
    RackOutlook outlook(workers, now);
    CHECK(outlook.takePlace(stage.need, runTime) == Duration::milliseconds(200));
}
