#include "cornelpond/core/queueing/BacklogForecast.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);
constexpr Duration pass = Duration::milliseconds(50);
constexpr unsigned band = 3;
constexpr size_t workers = 100;

/// A stage of which `waiting` tasks find no worker while `startsPerPass` of others start in each pass.
class Backlog {
public:
    explicit Backlog(uint32_t waiting, StageRank::Lateness lateness = StageRank::Lateness::InTime)
    {
        this->job.occurrences[0].stages.resize(1);
        this->job.occurrences[0].stages[0].waitingCount = waiting;
        ReadyStage stage;
        stage.job = &this->job;
        stage.rank.priorityBand = band;
        stage.rank.lateness = lateness;
        this->ready.push_back(stage);
        stage.job = &this->started;
        this->started.occurrences[0].stages.resize(1);
        this->ready.push_back(stage);
    }

    void run(Duration span, size_t startsPerPass)
    {
        std::vector<StagePlacement> const placements { { 0, true }, { startsPerPass, false } };
        for (TimePoint const end = this->now + span; this->now < end; this->now = this->now + pass)
            this->forecast.onPass(this->now, workers, this->ready, placements);
    }

    BacklogForecast forecast;

private:
    JobRecord job;
    JobRecord started;
    std::vector<ReadyStage> ready;
    TimePoint now;
};

} // namespace

TEST_CASE("the expected wait is the backlog over the rate at which tasks start")
{
    Backlog backlog(2000);
    backlog.run(second * 4, 10); // 200 a second.
    CHECK(backlog.forecast.expectedWait(band) > second * 9);
    CHECK(backlog.forecast.expectedWait(band) < second * 11);
    CHECK(backlog.forecast.expectedWait(band + 1) == Duration());
}

TEST_CASE("a job that would end too late to be useful is refused with the time after which it would not")
{
    Backlog backlog(2000);
    backlog.run(second * 4, 10);
    CHECK_FALSE(backlog.forecast.refusal(band, second, second * 5));
    auto const retryAfter = backlog.forecast.refusal(band, second, second * 3);
    REQUIRE(retryAfter);
    CHECK(*retryAfter > second);
    CHECK(*retryAfter < second * 3);
    CHECK_FALSE(backlog.forecast.refusal(band + 1, second, second));
}

TEST_CASE("a few tasks that fit nowhere, a backlog that has just begun and late jobs refuse nothing")
{
    Backlog few(workers);
    few.run(second * 10, 0);
    CHECK_FALSE(few.forecast.refusal(band, second, second));
    Backlog begun(100000);
    begun.run(second / 2, 10);
    CHECK_FALSE(begun.forecast.refusal(band, second, second));
    Backlog late(100000, StageRank::Lateness::Late);
    late.run(second * 10, 10);
    CHECK_FALSE(late.forecast.refusal(band, second, second));
}

TEST_CASE("once the backlog is gone jobs are accepted at the next look")
{
    Backlog backlog(2000);
    backlog.run(second * 4, 1);
    REQUIRE(backlog.forecast.refusal(band, second, second));
    Backlog none(0);
    none.forecast = backlog.forecast;
    none.run(second * 5, 0);
    CHECK_FALSE(none.forecast.refusal(band, second, second));
}
