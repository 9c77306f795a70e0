#include "cornelpond/core/queueing/JobProgress.h"

#include <catch2/catch.hpp>

#include <map>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);

StageSpec makeStage(uint32_t tasks, int64_t milliCores, Duration runTime)
{
    StageSpec stage;
    stage.taskCount = tasks;
    stage.need.milliCores = milliCores;
    stage.estimatedRunTime = runTime;
    return stage;
}

/// A ready stage of a job of its own, accepted at the given second.
ReadyStage makeReady(JobRecord& job, std::string const& id, int64_t acceptedSecond, unsigned priorityBand = 1)
{
    job.spec.id = JobId(id);
    ReadyStage ready;
    ready.job = &job;
    ready.rank.priorityBand = priorityBand;
    ready.acceptedAt = TimePoint() + second * acceptedSecond;
    return ready;
}

std::map<JobId, PassedOver> passedOver(std::vector<ReadyStage> const& ready, std::vector<StagePlacement> const& placements)
{
    std::map<JobId, PassedOver> counts;
    countPassedOver(ready, placements, [&](JobId const& job, PassedOver const& count) { counts[job] += count; });
    return counts;
}

} // namespace

TEST_CASE("the size of a job sums its stages and names the largest need of a task")
{
    JobSpec job;
    job.stages = { makeStage(4, 1500, second * 2), makeStage(1, 6000, second) };
    JobSize const size = sizeOf(job);
    CHECK(size.taskCount == 5);
    CHECK(size.largestTaskMilliCores == 6000);
    CHECK(size.coreMs == 18000);
    CHECK(sizeClassOf(size) == 3);
    CHECK(sizeClassOf(JobSize()) == 0);
    CHECK(sizeClassOf({ 1, 1, 1000000 }) == sizeClassCount - 1);
}

TEST_CASE("the outcome of a job compares its duration with its objective")
{
    CHECK(outcomeOf(JobState::Completed, second, second) == JobOutcome::InTime);
    CHECK(outcomeOf(JobState::Completed, second * 3, second) == JobOutcome::Late);
    CHECK(outcomeOf(JobState::Completed, second * 4, second) == JobOutcome::TooLate);
    CHECK(outcomeOf(JobState::Failed, second, second) == JobOutcome::Failed);
    CHECK(outcomeOf(JobState::Cancelled, second, second) == JobOutcome::Cancelled);
}

TEST_CASE("starts that pass a stage without a worker are told apart by rank and by the order of acceptance")
{
    std::array<JobRecord, 5> jobs;
    std::vector<ReadyStage> const ready = {
        makeReady(jobs[0], "earlier", 1),
        makeReady(jobs[1], "later", 9),
        makeReady(jobs[2], "waiting", 5),
        makeReady(jobs[3], "behind", 7),
        makeReady(jobs[4], "otherPriority", 7, 3),
    };
    auto const counts = passedOver(ready, { { 2, false }, { 3, false }, { 0, true }, { 4, false }, { 5, false } });
    REQUIRE(counts.size() == 1);
    CHECK(counts.at(JobId("waiting")).byLaterJobs == 3);
    CHECK(counts.at(JobId("waiting")).byLowerRank == 4);
}

TEST_CASE("a stage that lacks no worker is passed by nobody")
{
    std::array<JobRecord, 2> jobs;
    std::vector<ReadyStage> const ready = { makeReady(jobs[0], "a", 1), makeReady(jobs[1], "b", 2) };
    CHECK(passedOver(ready, { { 0, false }, { 1, false } }).empty());
}
