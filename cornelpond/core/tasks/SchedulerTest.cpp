#include "cornelpond/core/tasks/Scheduler.h"

#include "cornelpond/core/agreement/SoleVoterLog.h"
#include "testing/fakes/FakeClock.h"
#include "testing/fakes/FakeStorage.h"
#include "testing/fakes/RecordingEventSink.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>

using namespace cornelpond;

namespace {

LeaseTimes const times { Duration::seconds(5), Duration::milliseconds(500) };

/// One data centre's leader over a fake disk.
class Bench {
public:
    Bench() { this->restart(); }

    void restart()
    {
        this->disk.crash();
        this->scheduler.reset();
        this->log = std::make_unique<SoleVoterLog>(HostId("h1"), this->disk, this->hooks());
        this->scheduler = std::make_unique<Scheduler>(this->clock, this->events, *this->log, times, SchedulerHooks());
        this->log->start();
    }

    AnnouncementAnswer announce(std::string const& worker, std::vector<HeldAttempt> held = {})
    {
        WorkerAnnouncement announcement;
        announcement.worker = WorkerId(worker);
        announcement.incarnation = "1";
        announcement.number = this->number = this->number.next();
        announcement.capacity = { 2000, 4096, 0 };
        announcement.held = std::move(held);
        return this->scheduler->onAnnouncement(announcement);
    }

    ResultCode submit(std::string const& id, int64_t milliCores = 1000)
    {
        TaskSpec spec;
        spec.id = TaskId(id);
        spec.association = AssociationId("a");
        spec.resources = { milliCores, 100, 0 };
        ResultCode code = ResultCode::Internal;
        this->scheduler->submit(spec, [&](TaskResult const& result) { code = result.code; });
        return code;
    }

    Task const& task(std::string const& id) { return *this->scheduler->table().find(TaskId(id)); }

    FakeClock clock;
    RecordingEventSink events;
    FakeStorage disk;
    std::unique_ptr<SoleVoterLog> log;
    std::unique_ptr<Scheduler> scheduler;
    AnnouncementNumber number;

private:
    StateMachineHooks hooks()
    {
        StateMachineHooks result;
        result.apply = [this](LogIndex, std::string const& command) { this->scheduler->applyCommand(command); };
        result.takeSnapshot = [this] { return this->scheduler->takeSnapshot(); };
        result.restore = [this](std::string const& state) { this->scheduler->restore(state); };
        result.onLeadership = [this](bool isLeader) { this->scheduler->onLeadership(isLeader); };
        return result;
    }
};

HeldAttempt running(std::string const& task, uint64_t attempt)
{
    HeldAttempt held;
    held.task = TaskId(task);
    held.attempt = AttemptNumber(attempt);
    held.reserved = { 1000, 100, 0 };
    return held;
}

HeldAttempt ended(std::string const& task, uint64_t attempt, AttemptOutcome outcome)
{
    HeldAttempt held = running(task, attempt);
    held.state = HeldState::Ended;
    held.outcome = outcome;
    return held;
}

} // namespace

TEST_CASE("a task is placed, started, finished and forgotten")
{
    Bench bench;
    bench.announce("w1");
    REQUIRE(bench.submit("t") == ResultCode::Ok);
    bench.scheduler->onTick();
    CHECK(bench.task("t").state == TaskState::Starting);
    AnnouncementAnswer const start = bench.announce("w1");
    REQUIRE(start.commands.size() == 1);
    CHECK(start.commands[0].kind == WorkerCommandKind::Start);
    bench.announce("w1", { running("t", 1) });
    CHECK(bench.task("t").state == TaskState::Running);
    bench.announce("w1", { ended("t", 1, AttemptOutcome::Finished) });
    CHECK(bench.task("t").state == TaskState::Finished);
    AnnouncementAnswer const forget = bench.announce("w1", { ended("t", 1, AttemptOutcome::Finished) });
    REQUIRE(forget.commands.size() == 1);
    CHECK(forget.commands[0].kind == WorkerCommandKind::Forget);
    CHECK(bench.events.count(EventId::TaskPlaced) == 1);
}

TEST_CASE("no worker gets more than it holds, also for attempts that are not in force")
{
    Bench bench;
    bench.announce("w1", { running("unknown", 4) });
    bench.submit("a");
    bench.submit("b");
    bench.scheduler->onTick();
    CHECK(bench.scheduler->table().reservedOn(WorkerId("w1")) == Resources { 1000, 100, 0 });
    CHECK(bench.task("b").state == TaskState::Queued);
    AnnouncementAnswer const answer = bench.announce("w1", { running("unknown", 4) });
    CHECK(std::any_of(answer.commands.begin(), answer.commands.end(), [](auto const& command) { return command.kind == WorkerCommandKind::Stop && command.task == TaskId("unknown"); }));
}

TEST_CASE("a silent worker's task moves only after lease and margin")
{
    Bench bench;
    bench.announce("w1");
    bench.submit("t");
    bench.scheduler->onTick();
    bench.announce("w1", { running("t", 1) });
    bench.clock.advance(times.lease);
    bench.announce("w2");
    bench.scheduler->onTick();
    CHECK(bench.task("t").worker == WorkerId("w1"));
    bench.clock.advance(times.driftMargin);
    bench.announce("w2");
    bench.scheduler->onTick();
    CHECK(bench.task("t").worker == WorkerId("w2"));
    CHECK(bench.task("t").attempt == AttemptNumber(2));
}

TEST_CASE("a restarted leader waits a full lease before it counts a silent worker's attempts as ended")
{
    Bench bench;
    bench.announce("w1");
    bench.submit("t");
    bench.scheduler->onTick();
    bench.announce("w1", { running("t", 1) });
    bench.clock.advance(Duration::seconds(1));
    bench.restart();
    bench.announce("w2");
    bench.clock.advance(times.lease);
    bench.announce("w2");
    bench.scheduler->onTick();
    CHECK(bench.task("t").worker == WorkerId("w1"));
    bench.clock.advance(times.driftMargin);
    bench.announce("w2");
    bench.scheduler->onTick();
    CHECK(bench.task("t").worker == WorkerId("w2"));
}

TEST_CASE("a task larger than any worker is said to be so and blocks nobody")
{
    Bench bench;
    bench.announce("w1");
    bench.submit("huge", 1000000);
    bench.submit("small");
    bench.scheduler->onTick();
    CHECK(bench.events.count(EventId::TaskUnplaceable) == 1);
    CHECK(bench.task("small").state == TaskState::Starting);
    CHECK(bench.scheduler->explain(bench.task("huge")).reason == "larger than any matching worker");
}

TEST_CASE("a cancelled running task is stopped and ends as cancelled")
{
    Bench bench;
    bench.announce("w1");
    bench.submit("t");
    bench.scheduler->onTick();
    bench.announce("w1", { running("t", 1) });
    bench.scheduler->cancel(TaskId("t"), [](TaskResult const& result) { CHECK(result.code == ResultCode::Ok); });
    AnnouncementAnswer const answer = bench.announce("w1", { running("t", 1) });
    REQUIRE(answer.commands.size() == 1);
    CHECK(answer.commands[0].kind == WorkerCommandKind::Stop);
    bench.announce("w1", { ended("t", 1, AttemptOutcome::Stopped) });
    CHECK(bench.task("t").state == TaskState::Cancelled);
}
