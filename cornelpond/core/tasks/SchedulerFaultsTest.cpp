// Random faults against the scheduler: crashing leaders, lost and duplicated commands, late and reordered
// announcements, and restarting workers. The invariants are checked against the workers' own records.

#include "cornelpond/core/tasks/Scheduler.h"

#include "testing/fakes/FakeClock.h"
#include "testing/fakes/FakeLogGroup.h"
#include "testing/fakes/FakeWorker.h"
#include "testing/fakes/RecordingEventSink.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <memory>

using namespace cornelpond;

namespace {

LeaseTimes const leaseTimes { Duration::seconds(5), Duration::milliseconds(500) };
constexpr Duration step = Duration::milliseconds(250);
constexpr size_t replicaCount = 2;
constexpr size_t workerCount = 3;
constexpr int taskCount = 12;

/// A small data centre whose network loses, duplicates and delays messages.
class TestDataCentre {
public:
    explicit TestDataCentre(uint64_t seed)
        : random(seed)
        , group(replicaCount, this->random)
    {
        for (size_t i = 0; i < workerCount; i++)
            this->workers.emplace_back(WorkerId("w" + std::to_string(i)), RackId("r" + std::to_string(i % 2)), Resources { 3000, 4096, 0 });
        for (size_t i = 0; i < replicaCount; i++)
            this->startReplica(i);
        this->group.elect(0);
    }

    void startReplica(size_t index)
    {
        SchedulerHooks hooks;
        hooks.push = [this](LeasedWorker const& worker, AnnouncementAnswer const& commands) { this->sendToWorker(worker.lastAnnouncement.worker, commands, false); };
        this->schedulers[index] = std::make_unique<Scheduler>(this->clock, this->events, this->group.log(index), leaseTimes, hooks);
        Scheduler* scheduler = this->schedulers[index].get();
        StateMachineHooks machine;
        machine.apply = [scheduler](LogIndex, std::string const& command) { scheduler->applyCommand(command); };
        machine.onLeadership = [scheduler](bool isLeader) { scheduler->onLeadership(isLeader); };
        this->group.setHooks(index, machine);
    }

    Scheduler& leader() { return *this->schedulers[this->group.leader()]; }

    void submit(int number)
    {
        TaskSpec spec;
        spec.id = TaskId("t" + std::to_string(number));
        spec.association = AssociationId(number % 2 ? "sluices" : "awnings");
        spec.taskClass = number % 5 ? TaskClass::Batch : TaskClass::LatencyCritical;
        spec.resources = { 1000 + (number % 3) * 500, 100, 0 };
        spec.maxFailures = 1000;
        this->leader().submit(spec, [](OperationResult const&) {});
    }

    void cancel(int number)
    {
        TaskId const id("t" + std::to_string(number));
        this->leader().cancel(id, [this, id](OperationResult const& result) {
            if (result.code == ResultCode::Ok)
                this->cancelled.insert(id);
        });
    }

    void injectRandomFault()
    {
        switch (this->random.below(40)) {
        case 0:
            this->group.crashLeader();
            this->startReplica(this->group.leader());
            break;
        case 1:
            this->group.resign();
            break;
        case 2:
            this->workers[this->random.below(workerCount)].restart();
            break;
        case 3:
            this->workers[this->random.below(workerCount)].endRunningAttempts(this->random.below(2) ? AttemptOutcome::Finished : AttemptOutcome::Failed);
            break;
        case 4:
            this->silentUntil[this->random.below(workerCount)] = this->clock.now() + Duration::seconds(static_cast<int64_t>(this->random.below(15)));
            break;
        case 5:
            if (this->group.hasCurrentLeader())
                this->cancel(static_cast<int>(this->random.below(taskCount * 2)));
            break;
        default:
            break;
        }
    }

    void advance(bool isCalm)
    {
        this->clock.advance(step);
        if (!this->group.hasCurrentLeader() && (isCalm || this->random.below(8) == 0))
            this->group.elect(this->random.below(replicaCount));
        this->group.commit(isCalm ? 1000 : this->random.below(6));
        this->deliver();
        for (size_t i = 0; i < workerCount; i++) {
            this->workers[i].onTick(this->clock.now());
            if ((isCalm || this->clock.now() >= this->silentUntil[i]) && (this->random.below(4) == 0))
                this->announce(i, isCalm);
        }
        if (this->group.hasCurrentLeader())
            this->leader().onTick();
        this->checkInvariants();
    }

    void finishAll()
    {
        for (auto& worker : this->workers)
            worker.endRunningAttempts(AttemptOutcome::Finished);
    }

    void checkInvariants()
    {
        std::map<TaskId, int> runningAttempts;
        for (auto const& worker : this->workers) {
            Resources used;
            for (auto const& running : worker.runningAttempts()) {
                runningAttempts[running.task]++;
                used += running.reserved;
            }
            RC_ASSERT(used.fitsIn(worker.totalResources()));
        }
        for (auto const& [task, count] : runningAttempts)
            RC_ASSERT(count == 1);
        std::map<std::pair<TaskId, AttemptNumber>, int> starts;
        for (auto const& worker : this->workers) {
            for (auto const& start : worker.starts())
                RC_ASSERT(++starts[start] == 1);
        }
        if (this->group.hasCurrentLeader())
            this->checkEndedTasksStayEnded();
    }

    void checkEndedTasksStayEnded()
    {
        for (auto const& [id, state] : this->endedStates)
            RC_ASSERT(this->leader().table().find(id)->state == state);
        for (auto const& [id, task] : this->leader().table().all()) {
            if (isEnded(task.state))
                this->endedStates.emplace(id, task.state);
        }
    }

    FakeClock clock;
    SeededRandom random;
    RecordingEventSink events;
    FakeLogGroup group;
    std::vector<FakeWorker> workers;
    std::set<TaskId> cancelled;

private:
    struct Message {
        TimePoint at;
        std::function<void()> deliver;
    };

    /// May lose, duplicate or delay the message; a calm network delivers it once, one step later.
    void send(std::function<void()> const& deliver, bool isCalm = false)
    {
        if (isCalm) {
            this->network.push_back({ this->clock.now() + step, deliver });
            return;
        }
        size_t const copies = this->random.below(8) == 0 ? 0 : 1 + (this->random.below(10) == 0);
        for (size_t i = 0; i < copies; i++) {
            int64_t const lateMs = this->random.below(6) == 0 ? static_cast<int64_t>(this->random.below(12000)) : static_cast<int64_t>(this->random.below(300));
            this->network.push_back({ this->clock.now() + Duration::milliseconds(lateMs), deliver });
        }
    }

    void announce(size_t index, bool isCalm)
    {
        WorkerAnnouncement const announcement = this->workers[index].announce(this->clock.now());
        this->send([this, announcement, isCalm] {
            if (!this->group.hasCurrentLeader())
                return;
            try {
                this->sendToWorker(announcement.worker, this->leader().onAnnouncement(announcement), true, isCalm);
            } catch (Error const& error) {
                RC_ASSERT(error.code() == ResultCode::StaleEpoch);
            }
        },
            isCalm);
    }

    void sendToWorker(WorkerId const& id, AnnouncementAnswer const& answer, bool renews, bool isCalm = false)
    {
        this->send([this, id, answer, renews] {
            for (auto& worker : this->workers) {
                if (worker.workerId() == id)
                    worker.onAnswer(answer, this->clock.now(), renews);
            }
        },
            isCalm);
    }

    void deliver()
    {
        std::vector<Message> due;
        auto const firstDue = std::stable_partition(this->network.begin(), this->network.end(), [this](Message const& message) { return this->clock.now() < message.at; });
        due.assign(std::make_move_iterator(firstDue), std::make_move_iterator(this->network.end()));
        this->network.erase(firstDue, this->network.end());
        std::stable_sort(due.begin(), due.end(), [](auto const& left, auto const& right) { return left.at < right.at; });
        for (auto const& message : due)
            message.deliver();
    }

    std::unique_ptr<Scheduler> schedulers[replicaCount];
    std::vector<Message> network;
    std::map<size_t, TimePoint> silentUntil;
    std::map<TaskId, TaskState> endedStates;
};

} // namespace

TEST_CASE("under random faults no task runs twice, no worker is overcommitted, no end is undone and no task is lost")
{
    rc::prop("random faults", [] {
        TestDataCentre dataCentre(*rc::gen::arbitrary<uint64_t>());
        int submitted = 0;
        for (int i = 0; i < 240; i++) {
            if (submitted < taskCount && i % 4 == 0 && dataCentre.group.hasCurrentLeader())
                dataCentre.submit(submitted++);
            dataCentre.injectRandomFault();
            dataCentre.advance(false);
        }
        for (int i = 0; i < 200; i++)
            dataCentre.advance(true);
        // Resend all submissions: the outcome of some is unknown.
        for (int number = 0; number < taskCount; number++)
            dataCentre.submit(number);
        for (int i = 0; i < 600; i++) {
            if (i % 20 == 0)
                dataCentre.finishAll();
            dataCentre.advance(true);
        }
        for (int number = 0; number < taskCount; number++) {
            Task const* task = dataCentre.leader().table().find(TaskId("t" + std::to_string(number)));
            RC_ASSERT(task);
            RC_ASSERT((task->state == TaskState::Finished || task->state == TaskState::Cancelled));
        }
        for (auto const& id : dataCentre.cancelled)
            RC_ASSERT(isEnded(dataCentre.leader().table().find(id)->state));
    });
}
