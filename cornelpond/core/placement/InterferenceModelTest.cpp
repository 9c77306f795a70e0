#include "cornelpond/core/placement/InterferenceModel.h"

#include "cornelpond/ports/Random.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

constexpr int64_t capacityMilliCores = 16000;
constexpr int64_t targetMs = 100;
constexpr double baseTailRatio = 0.45;
ImageId const service(1);
ImageId const harmless(2);
ImageId const harmful(3);

/// Feeds the model listings of a worker with one service task and best-effort tasks of two images.
class Bench {
public:
    Bench()
    {
        this->serviceStage.isService = true;
        this->serviceStage.need = { 3200, 500, 0 };
        this->serviceStage.latencyTarget = Duration::milliseconds(targetMs);
        this->bestEffortStage.isBestEffort = true;
        this->bestEffortStage.need = { 1600, 500, 0 };
    }

    /// One listing: the images use the given shares of the worker; the harmful one adds `slope` times its share to the
    /// service's tail ratio.
    void list(InterferenceModel& model, double harmlessShare, double harmfulShare, double slope)
    {
        constexpr double noise = 0.1;
        this->now = this->now + Duration::milliseconds(500);
        double const ratio = baseTailRatio + slope * harmfulShare + noise * (this->random.nextDouble() - 0.5);
        WorkerProfile profile;
        profile.id = WorkerId("w");
        profile.capacity = { capacityMilliCores, 64000, 0 };
        WorkerView worker(profile, this->start);
        this->place(worker, 0, service, this->serviceStage, static_cast<int64_t>(ratio * targetMs));
        if (harmlessShare > 0)
            this->place(worker, 1, harmless, this->bestEffortStage, static_cast<int64_t>(harmlessShare * capacityMilliCores));
        if (harmfulShare > 0)
            this->place(worker, 2, harmful, this->bestEffortStage, static_cast<int64_t>(harmfulShare * capacityMilliCores));
        model.observe(worker, this->now);
    }

    TimePoint now = TimePoint::fromMicroseconds(10000000);

private:
    void place(WorkerView& worker, uint32_t index, ImageId image, StageSpec const& stage, int64_t figure)
    {
        PlacedAttempt attempt;
        attempt.task = { JobId("job"), 0, 0, index };
        attempt.number = AttemptNumber(1);
        attempt.stage = &stage;
        attempt.image = image;
        attempt.phase = PlacedAttempt::Phase::Running;
        attempt.confirmedAt = this->start;
        attempt.throttleConfirmedAt = this->start;
        attempt.progressPercent = 100;
        attempt.latencyMsOrMilliCores = figure;
        worker.place(attempt);
    }

    TimePoint start = TimePoint::fromMicroseconds(1000000);
    SeededRandom random { 1 };
    StageSpec serviceStage;
    StageSpec bestEffortStage;
};

} // namespace

TEST_CASE("load: the model tells which of two images interferes once they were observed at different shares")
{
    Bench bench;
    InterferenceModel model;
    for (int i = 0; i < 40; i++)
        bench.list(model, i % 2 ? 0.3 : 0.1, i % 3 ? 0.1 : 0.02, 6);
    CHECK(model.interferenceCoefficient(service, harmful, bench.now) > 3);
    CHECK(model.interferenceCoefficient(service, harmless, bench.now) < 1);
}

TEST_CASE("the tail ratio is predicted for a share that was not observed yet")
{
    Bench bench;
    InterferenceModel model;
    for (int i = 0; i < 10; i++)
        bench.list(model, 0, 0, 0);
    for (int i = 0; i < 30; i++)
        bench.list(model, 0, 0.05, 4);
    CHECK(model.predictedTailRatio(service, { { harmful, 0.1 } }, bench.now) == Approx(baseTailRatio + 0.4).margin(0.2));
    ImageCpuShares const both { { harmless, 0.4 }, { harmful, 0.1 } };
    REQUIRE(model.worstInterferer(service, both, bench.now));
    CHECK(model.worstInterferer(service, both, bench.now)->image == harmful);
}

TEST_CASE("a pair is on trial until the service was observed under target beside a tenth of a worker of the image")
{
    Bench bench;
    InterferenceModel model;
    CHECK(model.isOnTrial(service, harmless));
    bench.list(model, 0.05, 0, 0);
    CHECK(model.isOnTrial(service, harmless));
    CHECK_FALSE(model.isCleared(service, harmless, 0.2));
    bench.list(model, 0.15, 0, 0);
    CHECK_FALSE(model.isOnTrial(service, harmless));
    CHECK(model.allowedShare(service, harmless) == Approx(0.3).margin(0.01));
}

TEST_CASE("the coefficient of a pair that is no longer observed halves each half-life, so that the pair is tried again")
{
    Bench bench;
    InterferenceModel model;
    for (int i = 0; i < 20; i++)
        bench.list(model, 0, 0.1, 8);
    double const initial = model.interferenceCoefficient(service, harmful, bench.now);
    CHECK(model.interferenceCoefficient(service, harmful, bench.now + model.modelParameters().coefficientHalfLife) == Approx(initial / 2));
}

TEST_CASE("harmlessImageShare is the share of the observed images that do not harm the service")
{
    Bench bench;
    InterferenceModel model;
    CHECK(model.harmlessImageShare(service, bench.now) == Approx(1));
    for (int i = 0; i < 20; i++) {
        bench.list(model, 0.2, 0, 0);
        bench.list(model, 0, 0.1, 8);
    }
    CHECK(model.harmlessImageShare(service, bench.now) == Approx(0.5));
}
