#include "cornelpond/core/placement/CpuUsageModel.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);
TimePoint const start = TimePoint::fromMicroseconds(1000000);
ImageId const image(1);

/// A worker with one best-effort task of 2000 milli-cores that uses `usedMilliCores` of them.
class Bench {
public:
    Bench()
    {
        this->stage.need = { 2000, 500, 0 };
        this->stage.isBestEffort = true;
    }

    WorkerView listing(int64_t usedMilliCores, unsigned throttle = fullSpeedPercent)
    {
        WorkerView worker(WorkerProfile(), start);
        PlacedAttempt attempt;
        attempt.stage = &this->stage;
        attempt.image = image;
        attempt.phase = PlacedAttempt::Phase::Running;
        attempt.confirmedAt = start;
        attempt.throttleConfirmedAt = start;
        attempt.latencyMsOrMilliCores = usedMilliCores;
        attempt.targetSpeedPercent = throttle;
        attempt.acknowledgedSpeedPercent = throttle;
        worker.place(attempt);
        return worker;
    }

    StageSpec stage;
};

} // namespace

TEST_CASE("an image without observations is expected to use all the cores that it requests")
{
    CHECK(CpuUsageModel().expectedMilliCores(image, 2000) == Approx(2000));
}

TEST_CASE("load: an image that uses two thirds of its requested cores is expected to use two thirds")
{
    Bench bench;
    CpuUsageModel model;
    for (int i = 0; i < 20; i++)
        model.observe(bench.listing(i % 2 ? 1300 : 1360), start + second * 2);
    CHECK(model.expectedMilliCores(image, 2000) == Approx(1345).margin(30));
}

TEST_CASE("low figures from a worker without spare cores have little weight against figures of full use")
{
    Bench bench;
    CpuUsageModel model;
    for (int i = 0; i < 40; i++)
        model.observe(bench.listing(i % 2 ? 1900 : 900), start + second * 2);
    CHECK(model.expectedMilliCores(image, 2000) > 1700);
}

TEST_CASE("tasks that are throttled or have just started are not observed")
{
    Bench bench;
    CpuUsageModel model;
    model.observe(bench.listing(500, 30), start + second * 2);
    model.observe(bench.listing(500), start + Duration::milliseconds(300));
    model.observe(bench.listing(-1), start + second * 2);
    CHECK(model.expectedMilliCores(image, 2000) == Approx(2000));
}
