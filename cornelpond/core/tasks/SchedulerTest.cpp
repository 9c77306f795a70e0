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

LeaseTimes const leaseTimes { Duration::seconds(5), Duration::milliseconds(500) };

/// The leader of one data centre, with a fake disk.
class Bench {
public:
    Bench() { this->restart(); }

    void restart()
    {
        this->disk.crash();
        this->scheduler.reset();
        this->log = std::make_unique<SoleVoterLog>(HostId("h1"), this->disk, this->hooks());
        this->scheduler = std::make_unique<Scheduler>(this->clock, this->events, *this->log, leaseTimes, this->schedulerHooks());
        this->log->start();
    }

    AnnouncementAnswer announce(std::string const& worker, std::vector<ReportedAttempt> held = {}, std::string const& rack = "")
    {
        WorkerAnnouncement announcement;
        announcement.worker = WorkerId(worker);
        announcement.incarnation = "1";
        announcement.rack = RackId(rack);
        announcement.number = this->number = this->number.next();
        announcement.commandAddress = "127.0.0.1:1";
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
        this->scheduler->submit(spec, [&](OperationResult const& result) { code = result.code; });
        return code;
    }

    Task const& task(std::string const& id) { return *this->scheduler->table().find(TaskId(id)); }

    ResultCode submitUrgent(std::string const& id)
    {
        TaskSpec spec;
        spec.id = TaskId(id);
        spec.association = AssociationId("a");
        spec.taskClass = TaskClass::LatencyCritical;
        spec.resources = { 2000, 100, 0 };
        ResultCode code = ResultCode::Internal;
        this->scheduler->submit(spec, [&](OperationResult const& result) { code = result.code; });
        return code;
    }

    SchedulerHooks schedulerHooks()
    {
        SchedulerHooks result;
        result.push = [this](LeasedWorker const&, AnnouncementAnswer const& answer) { this->pushed.insert(this->pushed.end(), answer.commands.begin(), answer.commands.end()); };
        result.policy = [this]() -> Policy const& { return this->policy; };
        result.externalReservations = [this] { return this->external; };
        return result;
    }

    FakeClock clock;
    RecordingEventSink events;
    Policy policy;
    std::unordered_map<WorkerId, Resources> external;
    std::vector<WorkerCommand> pushed;
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

ReportedAttempt running(std::string const& task, uint64_t attempt)
{
    ReportedAttempt held;
    held.task = TaskId(task);
    held.attempt = AttemptNumber(attempt);
    held.reserved = { 1000, 100, 0 };
    return held;
}

ReportedAttempt ended(std::string const& task, uint64_t attempt, AttemptOutcome outcome)
{
    ReportedAttempt held = running(task, attempt);
    held.state = ReportedAttemptState::Ended;
    held.outcome = outcome;
    return held;
}

} // namespace

TEST_CASE("a task is placed, started and finished, and its end is acknowledged")
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
    CHECK(forget.commands[0].kind == WorkerCommandKind::AcknowledgeEnd);
    CHECK(bench.events.count(EventId::TaskPlaced) == 1);
}

TEST_CASE("no worker gets more than its capacity, orphaned attempts included")
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

TEST_CASE("a silent worker's task moves only after the lease and its drift margin")
{
    Bench bench;
    bench.announce("w1");
    bench.submit("t");
    bench.scheduler->onTick();
    bench.announce("w1", { running("t", 1) });
    bench.clock.advance(leaseTimes.lease);
    bench.announce("w2");
    bench.scheduler->onTick();
    CHECK(bench.task("t").worker == WorkerId("w1"));
    bench.clock.advance(leaseTimes.driftMargin);
    bench.announce("w2");
    bench.scheduler->onTick();
    CHECK(bench.task("t").worker == WorkerId("w2"));
    CHECK(bench.task("t").attempt == AttemptNumber(2));
}

TEST_CASE("a restarted leader waits for the lease and drift margin before it ends a silent worker's attempts")
{
    Bench bench;
    bench.announce("w1");
    bench.submit("t");
    bench.scheduler->onTick();
    bench.announce("w1", { running("t", 1) });
    bench.clock.advance(Duration::seconds(1));
    bench.restart();
    bench.announce("w2");
    bench.clock.advance(leaseTimes.lease);
    bench.announce("w2");
    bench.scheduler->onTick();
    CHECK(bench.task("t").worker == WorkerId("w1"));
    bench.clock.advance(leaseTimes.driftMargin);
    bench.announce("w2");
    bench.scheduler->onTick();
    CHECK(bench.task("t").worker == WorkerId("w2"));
}

TEST_CASE("a task larger than any worker is reported as such and blocks no other")
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
    bench.scheduler->cancel(TaskId("t"), [](OperationResult const& result) { CHECK(result.code == ResultCode::Ok); });
    AnnouncementAnswer const answer = bench.announce("w1", { running("t", 1) });
    REQUIRE(answer.commands.size() == 1);
    CHECK(answer.commands[0].kind == WorkerCommandKind::Stop);
    bench.announce("w1", { ended("t", 1, AttemptOutcome::Stopped) });
    CHECK(bench.task("t").state == TaskState::Cancelled);
}

TEST_CASE("a cancelled attempt that no worker confirmed ends once no start can still arrive")
{
    Bench bench;
    bench.announce("w1");
    bench.submit("t");
    bench.scheduler->onTick();
    bench.scheduler->cancel(TaskId("t"), [](OperationResult const&) {});
    CHECK(bench.announce("w1").commands.empty());
    bench.clock.advance(leaseTimes.lease + leaseTimes.lease);
    bench.announce("w1");
    CHECK(bench.task("t").state == TaskState::Starting);
    bench.clock.advance(leaseTimes.driftMargin);
    bench.announce("w1");
    CHECK(bench.task("t").state == TaskState::Cancelled);
    CHECK(bench.scheduler->table().reservedOn(WorkerId("w1")) == Resources());
}

TEST_CASE("a new leader does not end an attempt because one late announcement leaves it out")
{
    Bench bench;
    bench.announce("w1");
    bench.submit("t");
    bench.scheduler->onTick();
    bench.announce("w1", { running("t", 1) });
    bench.restart();
    bench.announce("w1"); // Stands for one sent before the start and delivered late.
    CHECK(bench.task("t").state == TaskState::Running);
    bench.announce("w1", { running("t", 1) });
    bench.announce("w1");
    CHECK(bench.task("t").state == TaskState::Queued);
}

TEST_CASE("a drain survives a change of leader")
{
    Bench bench;
    bench.announce("w1");
    bench.scheduler->setDrained(WorkerId("w1"), true, [](OperationResult const& result) { CHECK(result.code == ResultCode::Ok); });
    bench.restart();
    bench.announce("w1");
    bench.submit("t");
    bench.scheduler->onTick();
    CHECK(bench.task("t").state == TaskState::Queued);
    bench.scheduler->setDrained(WorkerId("w1"), false, [](OperationResult const&) {});
    bench.scheduler->onTick();
    CHECK(bench.task("t").state == TaskState::Starting);
}

TEST_CASE("what a backend server that cornelpond did not start uses is not given to tasks")
{
    Bench bench;
    bench.external[WorkerId("w1")] = { 1500, 0, 0 };
    bench.announce("w1");
    bench.submit("t");
    bench.scheduler->onTick();
    CHECK(bench.task("t").state == TaskState::Queued);
    bench.external.clear();
    bench.clock.advance(Duration::seconds(1));
    bench.scheduler->onTick();
    CHECK(bench.task("t").state == TaskState::Starting);
}

TEST_CASE("a worker whose attempts use more than its capacity gets no tasks")
{
    Bench bench;
    bench.announce("w1", { running("unknown", 1), running("unknown2", 1), running("unknown3", 1) });
    bench.submit("t", 0);
    bench.scheduler->onTick();
    CHECK(bench.task("t").state == TaskState::Queued);
}

TEST_CASE("a task over its association's quota waits with the quota as its reason")
{
    Bench bench;
    bench.policy.associations[AssociationId("a")].quota = { 1000, 0, 0 };
    bench.announce("w1");
    bench.submit("t1");
    bench.submit("t2");
    bench.scheduler->onTick();
    bench.scheduler->onTick();
    CHECK(bench.task("t1").state == TaskState::Starting);
    CHECK(bench.scheduler->explain(bench.task("t2")).reason == "the association's quota is in use");
}

TEST_CASE("a latency-critical task evicts batch tasks, which are queued again")
{
    Bench bench;
    bench.announce("w1");
    bench.submit("batch1");
    bench.submit("batch2");
    bench.scheduler->onTick();
    bench.announce("w1", { running("batch1", 1), running("batch2", 1) });
    bench.submitUrgent("urgent");
    bench.pushed.clear();
    bench.scheduler->onTick();
    CHECK(bench.task("batch1").state == TaskState::Checkpointing);
    CHECK(std::count_if(bench.pushed.begin(), bench.pushed.end(), [](auto const& command) { return command.kind == WorkerCommandKind::Stop; }) == 2);
    bench.announce("w1", { ended("batch1", 1, AttemptOutcome::Stopped), ended("batch2", 1, AttemptOutcome::Stopped) });
    bench.scheduler->onTick();
    CHECK(bench.task("urgent").state == TaskState::Starting);
    CHECK(bench.task("batch1").state == TaskState::Queued);
    CHECK(bench.task("batch1").evictions == 1);
}

TEST_CASE("a failed task is retried on another worker after a delay")
{
    Bench bench;
    bench.announce("w1");
    bench.submit("t");
    bench.scheduler->onTick();
    bench.announce("w2");
    bench.announce("w1", { ended("t", 1, AttemptOutcome::Failed) });
    bench.scheduler->onTick();
    CHECK(bench.task("t").state == TaskState::Queued);
    bench.clock.advance(Duration::seconds(1));
    bench.scheduler->onTick();
    CHECK(bench.task("t").worker == WorkerId("w2"));
}

TEST_CASE("old task records are removed; their ids are refused until their retention ends")
{
    Bench bench;
    bench.announce("w1");
    bench.submit("t");
    bench.scheduler->cancel(TaskId("t"), [](OperationResult const&) {});
    Duration const day = Duration::minutes(24 * 60);
    bench.clock.advance(day * 8);
    bench.scheduler->onTick();
    CHECK(bench.scheduler->table().find(TaskId("t")) == nullptr);
    CHECK(bench.submit("t") == ResultCode::IdRetired);
    bench.restart();
    CHECK(bench.submit("t") == ResultCode::IdRetired);
    bench.clock.advance(day * 7);
    bench.scheduler->onTick();
    CHECK(bench.submit("t") == ResultCode::Ok);
}

TEST_CASE("one command cancels all matching tasks")
{
    Bench bench;
    for (int i = 0; i < 1000; i++)
        bench.submit("t" + std::to_string(i));
    size_t const syncs = bench.disk.syncCount();
    std::string message;
    bench.scheduler->cancelMatching(Selector::parse("!none"), [&](OperationResult const& result) { message = result.message; });
    CHECK(message == "cancelled 1000 tasks");
    CHECK(bench.disk.syncCount() == syncs + 1);
    CHECK(bench.scheduler->table().queued().empty());
}

TEST_CASE("a service keeps its number of replicas, spread over racks and replaced when one ends")
{
    Bench bench;
    ServicePolicy& service = bench.policy.services[ServiceId("plan")];
    service.replicas = 4;
    service.replica.association = AssociationId("a");
    service.replica.taskClass = TaskClass::LatencyCritical;
    service.replica.resources = { 500, 100, 0 };
    service.replica.labels = { { "service", "plan" } };
    bench.announce("w1", {}, "r1");
    bench.announce("w2", {}, "r1");
    bench.announce("w3", {}, "r2");
    bench.scheduler->onTick();
    bench.scheduler->onTick();
    auto const onWorker = [&](std::string const& worker) { return bench.scheduler->table().tasksOnWorker(WorkerId(worker)); };
    CHECK(onWorker("w3").size() == 2);
    CHECK(onWorker("w1").size() + onWorker("w2").size() == 2);

    std::string const ends = onWorker("w3").begin()->value();
    std::string const stays = onWorker("w3").rbegin()->value();
    bench.announce("w3", { ended(ends, 1, AttemptOutcome::Finished), running(stays, 1) }, "r2");
    bench.clock.advance(Duration::seconds(1));
    bench.scheduler->onTick();
    CHECK(onWorker("w3").size() == 2);
    CHECK(onWorker("w3").count(TaskId(ends)) == 0);

    service.replicas = 1;
    bench.clock.advance(Duration::seconds(1));
    bench.scheduler->onTick();
    size_t live = 0;
    for (auto const& [id, task] : bench.scheduler->table().all())
        live += isEnded(task.state) || task.cancelRequested ? 0 : 1;
    CHECK(live == 1);
    bench.policy.services.clear();
    bench.clock.advance(Duration::seconds(1));
    bench.scheduler->onTick();
    size_t liveAfter = 0;
    for (auto const& [id, task] : bench.scheduler->table().all())
        liveAfter += isEnded(task.state) || task.cancelRequested ? 0 : 1;
    CHECK(liveAfter == 1);
}
