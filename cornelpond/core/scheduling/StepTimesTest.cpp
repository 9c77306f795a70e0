#include "cornelpond/core/scheduling/StepTimes.h"

#include "testing/fakes/EventFields.h"
#include "testing/fakes/FakeClock.h"
#include "testing/fakes/RecordingEventSink.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

struct Steps {
    void pass(int64_t milliseconds) { this->clock.advance(Duration::milliseconds(milliseconds)); }

    Duration total(JobStep step) const { return this->steps.histogram(step).total(); }

    /// The value of a field of the only event; empty without it.
    std::string logged(std::string_view key) const
    {
        REQUIRE(this->events.all().size() == 1);
        return valueOf(this->events.all().front(), key);
    }

    FakeClock clock;
    RecordingEventSink events;
    StepTimes steps { clock, events };
    TaskRef const first { JobId("job"), 0, 0, 0 };
    TaskRef const later { JobId("job"), 0, 1, 2 };
};

} // namespace

TEST_CASE("the steps of a job's first stage are measured from the call to the worker's answer")
{
    Steps bench;
    bench.steps.onSubmitted(bench.first.job);
    bench.pass(16);
    bench.steps.onStageReady(bench.first, std::nullopt);
    bench.pass(4);
    bench.steps.onStartDecided(bench.first, true);
    bench.pass(18);
    bench.steps.onStartCommitted(bench.first);
    bench.pass(9);
    bench.steps.onStartAccepted(bench.first);
    CHECK(bench.total(JobStep::SubmitCommitted) == Duration::milliseconds(16));
    CHECK(bench.total(JobStep::StartDecided) == Duration::milliseconds(4));
    CHECK(bench.total(JobStep::StartCommitted) == Duration::milliseconds(18));
    CHECK(bench.total(JobStep::StartAccepted) == Duration::milliseconds(9));
    CHECK(bench.steps.firstStages().total() == Duration::milliseconds(47));
    CHECK(bench.logged("totalMs") == "47");
    CHECK(bench.logged("after") == "submission");
}

TEST_CASE("the steps between two stages are measured from the listing of the last end, also of a start decided before its commit")
{
    Steps bench;
    bench.steps.onEndListed(bench.first);
    bench.steps.onStartDecided(bench.later, false);
    bench.pass(20);
    bench.steps.onStageReady({ bench.later.job, 0, 1, 0 }, bench.steps.takeListed(bench.first));
    bench.steps.onStartCommitted(bench.later);
    bench.pass(7);
    bench.steps.onStartAccepted(bench.later);
    CHECK(bench.total(JobStep::EndCommitted) == Duration::milliseconds(20));
    CHECK(bench.total(JobStep::StartDecided) == Duration());
    CHECK(bench.total(JobStep::StartCommitted) == Duration());
    CHECK(bench.steps.laterStages().total() == Duration::milliseconds(27));
    CHECK(bench.logged("decisionMs") == "-20");
}

TEST_CASE("each stage is measured once, and nothing is kept of ended jobs or of an earlier leadership")
{
    Steps bench;
    TaskRef other = bench.first;
    other.index = 1;
    bench.steps.onSubmitted(bench.first.job);
    bench.steps.onStageReady(bench.first, std::nullopt);
    for (TaskRef const& task : { bench.first, other })
        bench.steps.onStartDecided(task, true);
    for (TaskRef const& task : { other, bench.first }) {
        bench.steps.onStartCommitted(task);
        bench.steps.onStartAccepted(task);
    }
    CHECK(bench.events.count(EventId::JobSteps) == 1);
    bench.steps.onEndListed(other);
    bench.steps.onStageReady(bench.later, std::nullopt);
    bench.steps.onJobEnded(bench.first.job);
    CHECK(bench.steps.openCount() == 0);
    bench.steps.onEndListed(other);
    bench.steps.clear();
    CHECK(bench.steps.openCount() == 0);
}

TEST_CASE("a refused start is replaced by the one that is decided after it")
{
    Steps bench;
    bench.steps.onStartDecided(bench.later, false);
    bench.steps.onStartRefused(bench.later);
    bench.pass(30);
    bench.steps.onStageReady(bench.later, std::nullopt);
    bench.pass(5);
    bench.steps.onStartDecided(bench.later, true);
    bench.steps.onStartCommitted(bench.later);
    bench.steps.onStartAccepted(bench.later);
    CHECK(bench.total(JobStep::StartDecided) == Duration::milliseconds(5));
}
