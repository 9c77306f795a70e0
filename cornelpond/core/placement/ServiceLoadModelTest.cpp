#include "cornelpond/core/placement/ServiceLoadModel.h"

#include <catch2/catch.hpp>

#include <cmath>

using namespace cornelpond;

namespace {

/// One task of a service job whose headroom swings between 1.6 and 3.6 within ten seconds.
struct SwingingService {
    SwingingService()
    {
        this->stage.isService = true;
        this->stage.latencyTarget = Duration::milliseconds(18);
        this->attempt.task = { JobId("job"), 0, 0, 0 };
        this->attempt.stage = &this->stage;
        this->attempt.image = ImageId(1);
    }

    double headroom() const
    {
        constexpr double fullCircle = 6.2831853;
        return 2.6 + std::sin(fullCircle * static_cast<double>(this->now.toMicroseconds()) / 1e7);
    }

    void list(ServiceLoadModel& model, double given)
    {
        this->now = this->now + Duration::milliseconds(100);
        model.observe(this->attempt, given, this->now);
    }

    void list(ServiceLoadModel& model) { this->list(model, this->headroom()); }

    StageSpec stage;
    PlacedAttempt attempt;
    TimePoint now = TimePoint::fromMicroseconds(1000000);
};

} // namespace

TEST_CASE("load: the headroom of a job is followed through the swing of its load, and the peak of the load is kept")
{
    SwingingService service;
    ServiceLoadModel model;
    for (int i = 0; i < 250; i++) {
        service.list(model);
        if (i > 10)
            CHECK(std::abs(model.freeHeadroom(service.attempt, service.now).value - service.headroom()) < 0.35);
        if (i > 110)
            CHECK(model.peakHeadroom(service.attempt.image) == Approx(1.6).margin(0.15));
    }
}

TEST_CASE("an estimate that is no longer fresh gives way to the mean of the image, with a larger error")
{
    SwingingService service;
    ServiceLoadModel model;
    for (int i = 0; i < 100; i++)
        service.list(model, 2);
    double const freshError = model.freeHeadroom(service.attempt, service.now).error;
    HeadroomEstimate const later = model.freeHeadroom(service.attempt, service.now + Duration::seconds(3));
    CHECK(later.value == Approx(2).margin(0.01));
    CHECK(later.error > freshError);
}

TEST_CASE("load: one slow worker among many hardly changes the peak of an image's load")
{
    SwingingService service;
    ServiceLoadModel model;
    for (int i = 0; i < 150; i++)
        service.list(model, i % 15 == 14 ? 0.3 : 2.0);
    CHECK(model.peakHeadroom(service.attempt.image) > 1.8);
}
