#include "cornelpond/core/placement/WorkerHealth.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

TEST_CASE("failures of different tasks put a worker in quarantine; repeated failures of one task do not")
{
    WorkerHealth health;
    TimePoint const now;
    WorkerId const bad("bad");
    for (int i = 0; i < 5; i++)
        CHECK_FALSE(health.onTaskFailed(bad, TaskId("same"), now, 10));
    CHECK_FALSE(health.onTaskFailed(bad, TaskId("second"), now, 10));
    CHECK(health.onTaskFailed(bad, TaskId("third"), now, 10));
    CHECK_FALSE(health.canAcceptTasks(bad, now));
    CHECK(health.canAcceptTasks(WorkerId("good"), now));
}

TEST_CASE("a quarantined worker is probed at growing intervals and readmitted when a probe finishes")
{
    WorkerHealth health;
    WorkerId const worker("w");
    TimePoint now;
    for (int i = 0; i < 3; i++)
        health.onTaskFailed(worker, TaskId(std::to_string(i)), now, 10);
    now = now + Duration::seconds(15);
    REQUIRE(health.canAcceptTasks(worker, now));
    REQUIRE(health.workersDueForProbe(now).size() == 1);
    health.onTaskStarted(worker, now);
    CHECK_FALSE(health.canAcceptTasks(worker, now));
    health.onTaskFailed(worker, TaskId("probe"), now, 10);
    CHECK_FALSE(health.canAcceptTasks(worker, now + Duration::seconds(29)));
    CHECK(health.canAcceptTasks(worker, now + Duration::seconds(30)));
    CHECK(health.onTaskFinished(worker));
    CHECK(health.canAcceptTasks(worker, now));
    CHECK_FALSE(health.isQuarantined(worker));
}

TEST_CASE("a flood of failures leaves most of the fleet in use")
{
    WorkerHealth health;
    size_t quarantined = 0;
    for (int worker = 0; worker < 10; worker++) {
        for (int task = 0; task < 10; task++)
            quarantined += health.onTaskFailed(WorkerId(std::to_string(worker)), TaskId(std::to_string(task)), TimePoint(), 10) ? 1 : 0;
    }
    CHECK(quarantined == 2);
}
