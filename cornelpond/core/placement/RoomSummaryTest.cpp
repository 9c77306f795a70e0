#include "cornelpond/core/placement/RoomSummary.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

PlacedAttempt makeAttempt(StageSpec const& stage, std::string const& job)
{
    PlacedAttempt attempt;
    attempt.task.job = JobId(job);
    attempt.number = AttemptNumber(1);
    attempt.stage = &stage;
    return attempt;
}

} // namespace

TEST_CASE("the room summary counts places beside all tasks and beside service tasks only")
{
    StageSpec service;
    service.isService = true;
    service.need.milliCores = 6500;
    StageSpec shortTask;
    shortTask.need.milliCores = 5000;
    WorkerProfile profile;
    profile.id = WorkerId("w1");
    profile.capacity = { 16000, 64000, 0 };
    std::map<WorkerId, WorkerView> workers;
    WorkerView& worker = workers.emplace(profile.id, WorkerView(profile, TimePoint())).first->second;
    worker.hasListing = true;
    worker.hasClock = true;
    worker.place(makeAttempt(service, "watch"));
    worker.place(makeAttempt(shortTask, "due"));

    RoomSummary const room = summarizeRoom(workers, TimePoint(), DispatchTimes());
    CHECK(room.workerCount == 1);
    CHECK(room.capacityMilliCores == 16000);
    CHECK(room.reservedMilliCores == 11500);
    CHECK(room.serviceMilliCores == 6500);
    CHECK(room.freePlaces == std::array<int64_t, 4> { 4, 2, 1, 0 });
    CHECK(room.placesBesideServices == std::array<int64_t, 4> { 9, 4, 2, 1 });
}

TEST_CASE("the room summary leaves out workers that take no tasks")
{
    WorkerProfile profile;
    profile.id = WorkerId("w1");
    profile.capacity = { 16000, 64000, 0 };
    std::map<WorkerId, WorkerView> workers;
    workers.emplace(profile.id, WorkerView(profile, TimePoint())).first->second.hasListing = false;
    CHECK(summarizeRoom(workers, TimePoint(), DispatchTimes()).workerCount == 0);
}
