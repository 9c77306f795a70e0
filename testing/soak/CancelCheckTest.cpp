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

TEST_CASE("a cancel of a job with tasks that last counts as judged once its limit has passed in calm time")
{
    Fixture fixture;
    fixture.running = 1;
    fixture.runFor(Duration::seconds(4));
    fixture.check.onCancelSent(fixture.job, TaskLength::Lasting);
    fixture.check.onCancelAcknowledged(fixture.job);
    fixture.runFor(Duration::seconds(1));
    fixture.running = 0;
    fixture.runFor(Duration::milliseconds(4300));
    CHECK(fixture.check.summary().judgedAcknowledgements == 1);
    CHECK(fixture.check.summary().lasting == 1);
    CHECK(fixture.check.summary().judgedRuns == 0);
    CHECK_FALSE(fixture.check.isJudged());
    fixture.runFor(Duration::milliseconds(300));
    CHECK(fixture.check.summary().judgedRuns == 1);
    CHECK(fixture.check.summary().lastingJudgedRuns == 1);
    CHECK(fixture.check.isJudged());
    CHECK(fixture.check.summary().longestCalmRun == Duration::seconds(1));
    CHECK(fixture.check.summary().longestCalmRunJob == fixture.job);
    CHECK(fixture.violations.empty());
}

TEST_CASE("a cancel that no calm time followed is not judged")
{
    Fixture fixture;
    fixture.running = 1;
    fixture.check.onCancelSent(fixture.job, TaskLength::Lasting);
    fixture.check.onCancelAcknowledged(fixture.job);
    for (int i = 0; i < 20; i++) {
        fixture.check.noteFaultUntil(fixture.clock.now());
        fixture.runFor(Duration::seconds(3));
    }
    CHECK(fixture.check.summary().cancels == 1);
    CHECK(fixture.check.summary().judgedAcknowledgements == 0);
    CHECK(fixture.check.summary().judgedRuns == 0);
    CHECK_FALSE(fixture.check.isJudged());
}

TEST_CASE("jobs whose tasks are short or never ran do not count as lasting")
{
    Fixture fixture;
    fixture.runFor(Duration::seconds(4));
    fixture.check.onCancelSent(JobId("never ran"), TaskLength::Lasting);
    fixture.runFor(Duration::seconds(1));
    fixture.running = 1;
    fixture.check.onCancelSent(fixture.job, TaskLength::Short);
    fixture.runFor(Duration::seconds(20));
    CHECK(fixture.check.summary().cancels == 2);
    CHECK(fixture.check.summary().judgedAcknowledgements == 2);
    CHECK(fixture.check.summary().judgedRuns == 2);
    CHECK(fixture.check.summary().lasting == 0);
    CHECK(fixture.check.summary().lastingJudgedRuns == 0);
    CHECK(fixture.check.summary().stopTimes.empty());
}

TEST_CASE("the time to stop runs from the first cancel to the end of the last run, which may have started later")
{
    Fixture fixture;
    fixture.running = 1;
    fixture.runFor(Duration::seconds(4));
    fixture.check.onCancelSent(fixture.job, TaskLength::Lasting);
    fixture.runFor(Duration::milliseconds(500));
    fixture.running = 0;
    fixture.check.onCancelSent(fixture.job, TaskLength::Lasting);
    fixture.runFor(Duration::seconds(1));
    CHECK(fixture.check.summary().stopTimes == std::vector { Duration::milliseconds(500) });
    fixture.check.onTaskStarted(fixture.job, fixture.clock.now());
    fixture.running = 1;
    fixture.runFor(Duration::milliseconds(500));
    fixture.running = 0;
    fixture.runFor(Duration::seconds(1));
    CHECK(fixture.check.summary().stopTimes == std::vector { Duration::seconds(2) });
}

TEST_CASE("the limits of a cancel that was sent before its job was accepted count from the acceptance")
{
    Fixture fixture;
    fixture.runFor(Duration::seconds(4));
    fixture.check.onCancelSent(fixture.job, TaskLength::Lasting, false);
    fixture.runFor(Duration::seconds(20));
    CHECK(fixture.violations.empty());
    CHECK(fixture.check.pendingReason().empty());
    CHECK(fixture.check.summary().judgedAcknowledgements == 0);
    fixture.check.onAccepted(fixture.job);
    fixture.check.onTaskStarted(fixture.job, fixture.clock.now());
    fixture.running = 1;
    fixture.runFor(Duration::milliseconds(5900));
    CHECK(fixture.violations.empty());
    fixture.runFor(Duration::milliseconds(300));
    CHECK(fixture.violations.size() == 1);
    fixture.runFor(Duration::milliseconds(5500));
    CHECK(fixture.violations.size() == 2);
    CHECK(fixture.check.summary().lastingJudgedRuns == 1);
}

TEST_CASE("the limit for runs counts from an acknowledgement, also if the job was never accepted")
{
    Fixture fixture;
    fixture.running = 1;
    fixture.runFor(Duration::seconds(4));
    fixture.check.onCancelSent(fixture.job, TaskLength::Lasting, false);
    fixture.runFor(Duration::seconds(7));
    fixture.check.onCancelAcknowledged(fixture.job);
    fixture.runFor(Duration::milliseconds(5300));
    CHECK(fixture.violations.empty());
    fixture.runFor(Duration::milliseconds(300));
    CHECK(fixture.violations.size() == 1);
}
