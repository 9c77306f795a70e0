#include "cornelpond/core/queueing/StageRank.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);

/// A job of one stage of four tasks of a second each, accepted at time zero with an objective of two seconds.
class RankedJob {
public:
    RankedJob()
    {
        StageSpec stage;
        stage.taskCount = 4;
        stage.need.milliCores = 1000;
        stage.estimatedRunTime = second;
        this->job.spec.stages.push_back(stage);
        this->occurrence.stages.resize(1);
        this->occurrence.stages[0].tasks.resize(stage.taskCount);
        QueueSpec queue;
        queue.stretchFactor = 2;
        this->objective = objectiveOf(this->job.spec, &queue, TimePoint());
    }

    StageRank rank(uint32_t waitingCount, Duration age, double runTimeStretch = 1)
    {
        this->occurrence.stages[0].waitingCount = waitingCount;
        return rankOf(this->job, this->occurrence, 0, this->objective, TimePoint(), TimePoint() + age, runTimeStretch);
    }

private:
    JobRecord job;
    OccurrenceRecord occurrence;
    JobObjective objective;
};

} // namespace

TEST_CASE("a job that cannot finish in time ranks behind one that can, and one that is too late behind both")
{
    RankedJob job;
    StageRank const inTime = job.rank(4, second);
    StageRank const late = job.rank(4, second * 3 / 2);
    StageRank const tooLate = job.rank(4, second * 6);
    CHECK(inTime < late);
    CHECK(late < tooLate);
    CHECK(late.isUseful());
    CHECK_FALSE(tooLate.isUseful());
}

TEST_CASE("a late job of which half has started keeps its place among jobs in time")
{
    RankedJob job;
    CHECK(job.rank(2, second * 3 / 2).lateness == job.rank(4, second).lateness);
    CHECK(job.rank(3, second * 3 / 2).lateness == job.rank(4, second * 3 / 2).lateness);
    CHECK_FALSE(job.rank(1, second * 6).isUseful());
}

TEST_CASE("a job ranks as late once what is left takes longer than its time, as tasks like its own take lately")
{
    RankedJob job;
    constexpr double slow = 1.5;
    CHECK(job.rank(4, second / 4, slow).lateness == StageRank::Lateness::InTime);
    CHECK(job.rank(4, second * 3 / 4, slow).lateness == StageRank::Lateness::Late);
    CHECK(job.rank(4, second * 3 / 4).lateness == StageRank::Lateness::InTime);
    CHECK(job.rank(2, second * 3 / 4, slow).lateness == StageRank::Lateness::InTime);
}

TEST_CASE("a job that was accepted just now is in time however slow tasks like its own are")
{
    RankedJob job;
    CHECK(job.rank(4, Duration::milliseconds(100), 10).lateness == StageRank::Lateness::InTime);
}
