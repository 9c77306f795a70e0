#include "cornelpond/core/placement/WorkerHealth.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

TEST_CASE("failures of different tasks put a worker in quarantine, one task's do not")
{
    WorkerHealth health;
    TimePoint const now;
    WorkerId const bad("bad");
    for (int i = 0; i < 5; i++)
        CHECK_FALSE(health.onFailed(bad, TaskId("same"), now, 10));
    CHECK_FALSE(health.onFailed(bad, TaskId("second"), now, 10));
    CHECK(health.onFailed(bad, TaskId("third"), now, 10));
    CHECK_FALSE(health.takesNew(bad, now));
    CHECK(health.takesNew(WorkerId("good"), now));
}

TEST_CASE("a quarantined worker is probed ever more seldom and readmitted when a probe finishes")
{
    WorkerHealth health;
    WorkerId const worker("w");
    TimePoint now;
    for (int i = 0; i < 3; i++)
        health.onFailed(worker, TaskId(std::to_string(i)), now, 10);
    now = now + Duration::seconds(15);
    REQUIRE(health.takesNew(worker, now));
    REQUIRE(health.probesDue(now).size() == 1);
    health.onStarted(worker, now);
    CHECK_FALSE(health.takesNew(worker, now));
    health.onFailed(worker, TaskId("probe"), now, 10);
    CHECK_FALSE(health.takesNew(worker, now + Duration::seconds(29)));
    CHECK(health.takesNew(worker, now + Duration::seconds(30)));
    CHECK(health.onFinished(worker));
    CHECK(health.takesNew(worker, now));
    CHECK_FALSE(health.isQuarantined(worker));
}

TEST_CASE("a flood of failures leaves most of the fleet in use")
{
    WorkerHealth health;
    size_t quarantined = 0;
    for (int worker = 0; worker < 10; worker++) {
        for (int task = 0; task < 10; task++)
            quarantined += health.onFailed(WorkerId(std::to_string(worker)), TaskId(std::to_string(task)), TimePoint(), 10) ? 1 : 0;
    }
    CHECK(quarantined == 2);
}
