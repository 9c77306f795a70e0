#include "testing/soak/CancelCheck.h"

#include "testing/fakes/FakeClock.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace cornelpond;

namespace {

struct Fixture {
    /// Advances the clock in small steps, as the soak does.
    void runFor(Duration span)
    {
        constexpr Duration step = Duration::milliseconds(50);
        for (Duration passed; passed < span; passed = passed + step) {
            this->clock.advance(step);
            this->check.onTick();
        }
    }

    JobId const job { "j" };
    FakeClock clock;
    size_t running = 0;
    std::vector<std::string> violations;
    CancelCheck check { this->clock, [this](JobId const&) { return this->running; }, [this](std::string const& text) { this->violations.push_back(text); } };
};

} // namespace

TEST_CASE("a cancel without an acknowledgement is reported after six calm seconds, once")
{
    Fixture fixture;
    fixture.runFor(Duration::seconds(4));
    fixture.check.onCancelSent(fixture.job);
    fixture.runFor(Duration::milliseconds(5900));
    CHECK(fixture.violations.empty());
    fixture.runFor(Duration::seconds(1));
    CHECK(fixture.violations.size() == 1);
    fixture.check.onCancelSent(fixture.job);
    fixture.runFor(Duration::seconds(10));
    CHECK(fixture.violations.size() == 1);
    CHECK_FALSE(fixture.check.pendingReason().empty());
}

TEST_CASE("faults suspend the bounds of a cancel until three seconds after their end")
{
    Fixture fixture;
    fixture.running = 1;
    fixture.check.onCancelSent(fixture.job);
    for (int i = 0; i < 20; i++) {
        fixture.check.noteFaultUntil(fixture.clock.now() + Duration::milliseconds(200));
        fixture.runFor(Duration::seconds(1));
    }
    fixture.runFor(Duration::seconds(7));
    CHECK(fixture.violations.empty());
    fixture.runFor(Duration::seconds(2));
    CHECK(fixture.violations.size() == 1);
}

TEST_CASE("a task of a cancelled job that runs on is reported")
{
    Fixture fixture;
    fixture.running = 1;
    fixture.runFor(Duration::seconds(4));
    bool const isAcknowledged = GENERATE(true, false);
    fixture.check.onCancelSent(fixture.job);
    if (isAcknowledged)
        fixture.check.onCancelAcknowledged(fixture.job);
    else
        fixture.runFor(Duration::seconds(6));
    fixture.runFor(Duration::milliseconds(5300));
    CHECK(fixture.violations.size() == (isAcknowledged ? 0 : 1));
    CHECK_FALSE(fixture.check.pendingReason().empty());
    fixture.runFor(Duration::milliseconds(300));
    CHECK(fixture.violations.size() == (isAcknowledged ? 1 : 2));
    fixture.running = 0;
    CHECK(fixture.check.pendingReason().empty() == isAcknowledged);
}

TEST_CASE("a run that a late order started counts from three seconds after its start")
{
    Fixture fixture;
    fixture.runFor(Duration::seconds(4));
    fixture.check.onCancelAcknowledged(fixture.job);
    fixture.runFor(Duration::seconds(4));
    fixture.check.onTaskStarted(fixture.job, fixture.clock.now());
    fixture.running = 1;
    fixture.runFor(Duration::seconds(8));
    CHECK(fixture.violations.empty());
    fixture.runFor(Duration::seconds(1));
    CHECK(fixture.violations.size() == 1);
}

TEST_CASE("a start later than five seconds after the acknowledgement is reported")
{
    Fixture fixture;
    fixture.runFor(Duration::seconds(4));
    fixture.check.onCancelAcknowledged(fixture.job);
    fixture.runFor(Duration::milliseconds(5500));
    fixture.check.onTaskStarted(fixture.job, fixture.clock.now() - Duration::seconds(1));
    CHECK(fixture.violations.empty());
    fixture.check.onTaskStarted(fixture.job, fixture.clock.now());
    CHECK(fixture.violations.size() == 1);
    fixture.check.onTaskStarted(JobId("other"), fixture.clock.now());
    CHECK(fixture.violations.size() == 1);
}
