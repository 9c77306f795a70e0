#include "cornelpond/core/tasks/TaskTable.h"

#include "cornelpond/core/base/ResultCode.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace cornelpond;

namespace {

TaskSpec makeSpec(std::string const& id)
{
    TaskSpec spec;
    spec.id = TaskId(id);
    spec.association = AssociationId("sluices");
    spec.resources = { 1000, 512, 0 };
    return spec;
}

AttemptNumber const firstAttempt(1);
WorkerId const worker("w1");

TaskTable runningTable()
{
    TaskTable table;
    table.apply(SubmitTask { makeSpec("t"), 1 });
    table.apply(StartAttempt { TaskId("t"), firstAttempt, worker });
    table.apply(ConfirmAttempt { TaskId("t"), firstAttempt });
    return table;
}

} // namespace

TEST_CASE("a resent submission is the same task; another specification with the same id is a conflict")
{
    TaskTable table;
    CHECK(table.apply(SubmitTask { makeSpec("t"), 1 }) == ResultCode::Ok);
    CHECK(table.apply(SubmitTask { makeSpec("t"), 2 }) == ResultCode::Ok);
    TaskSpec other = makeSpec("t");
    other.resources.milliCores = 7;
    CHECK(table.apply(SubmitTask { other, 3 }) == ResultCode::IdConflict);
    CHECK(table.all().size() == 1);
    CHECK(table.find(TaskId("t"))->submittedAtMs == 1);
}

TEST_CASE("a task with a running attempt is not started again")
{
    TaskTable table = runningTable();
    CHECK(table.apply(StartAttempt { TaskId("t"), AttemptNumber(2), WorkerId("w2") }) == ResultCode::StaleEpoch);
    CHECK(table.find(TaskId("t"))->worker == worker);
    CHECK(table.reservedOn(worker) == Resources { 1000, 512, 0 });
}

TEST_CASE("an evicted task is queued again exactly once, with its checkpoint")
{
    TaskTable table = runningTable();
    CHECK(table.apply(EvictAttempt { TaskId("t"), firstAttempt }) == ResultCode::Ok);
    EndAttempt const stopped { TaskId("t"), firstAttempt, AttemptOutcome::Stopped, CheckpointId("c1"), 5 };
    CHECK(table.apply(stopped) == ResultCode::Ok);
    CHECK(table.apply(stopped) == ResultCode::StaleEpoch);
    Task const& task = *table.find(TaskId("t"));
    CHECK(task.state == TaskState::Queued);
    CHECK(task.checkpoint == CheckpointId("c1"));
    CHECK(task.evictions == 1);
    CHECK(table.queued().size() == 1);
    CHECK(table.reservedOn(worker) == Resources());
}

TEST_CASE("a cancellation of an attempt that finishes first has no effect")
{
    TaskTable table = runningTable();
    CHECK(table.apply(CancelTask { TaskId("t"), 5 }) == ResultCode::Ok);
    CHECK(table.find(TaskId("t"))->state == TaskState::Running);
    CHECK(table.apply(EndAttempt { TaskId("t"), firstAttempt, AttemptOutcome::Finished, CheckpointId(), 6 }) == ResultCode::Ok);
    CHECK(table.find(TaskId("t"))->state == TaskState::Finished);
    CHECK(table.apply(CancelTask { TaskId("t"), 7 }) == ResultCode::TaskEnded);
}

TEST_CASE("a task has failed once its limit of failed attempts is reached")
{
    TaskTable table;
    table.apply(SubmitTask { makeSpec("t"), 1 });
    for (uint64_t attempt = 1; attempt <= 3; attempt++) {
        CHECK(table.apply(StartAttempt { TaskId("t"), AttemptNumber(attempt), worker }) == ResultCode::Ok);
        CHECK(table.apply(EndAttempt { TaskId("t"), AttemptNumber(attempt), AttemptOutcome::Failed, CheckpointId(), 1 }) == ResultCode::Ok);
    }
    CHECK(table.find(TaskId("t"))->state == TaskState::Failed);
}

TEST_CASE("any sequence of encoded commands keeps the indexes consistent and survives a snapshot")
{
    rc::prop("random commands", [] {
        TaskTable table;
        size_t const steps = *rc::gen::inRange<size_t>(1, 60);
        for (size_t i = 0; i < steps; i++) {
            TaskId const task("t" + std::to_string(*rc::gen::inRange(0, 3)));
            AttemptNumber const attempt(*rc::gen::inRange<uint64_t>(1, 4));
            WorkerId const on("w" + std::to_string(*rc::gen::inRange(0, 2)));
            auto const outcome = static_cast<AttemptOutcome>(*rc::gen::inRange(0, 6));
            std::vector<TaskCommand> const choices = { SubmitTask { makeSpec(task.value()), 1 }, StartAttempt { task, attempt, on }, ConfirmAttempt { task, attempt }, EvictAttempt { task, attempt },
                EndAttempt { task, attempt, outcome, CheckpointId("c"), 2 }, CancelTask { task, 3 } };
            TaskCommand const command = choices[*rc::gen::inRange<size_t>(0, choices.size())];
            table.apply(decodeTaskCommands(encodeTaskCommands({ command })).front());
        }
        TaskTable restored;
        restored.restore(table.takeSnapshot());
        std::unordered_map<WorkerId, Resources> reserved;
        size_t queued = 0;
        for (auto const& [id, task] : table.all()) {
            RC_ASSERT(restored.find(id)->state == task.state);
            RC_ASSERT(restored.find(id)->attempt == task.attempt);
            RC_ASSERT(hasWorker(task.state) == !task.worker.empty());
            queued += task.state == TaskState::Queued ? 1 : 0;
            if (hasWorker(task.state))
                reserved[task.worker] += task.spec.resources;
        }
        RC_ASSERT(table.queued().size() == queued);
        RC_ASSERT(restored.queued() == table.queued());
        for (auto const& name : { "w0", "w1" }) {
            RC_ASSERT(table.reservedOn(WorkerId(name)) == reserved[WorkerId(name)]);
            RC_ASSERT(restored.reservedOn(WorkerId(name)) == reserved[WorkerId(name)]);
        }
    });
}
