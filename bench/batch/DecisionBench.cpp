// Benchmarks of the scheduler's decisions by size of fleet and queue, on a log that commits immediately.
//
//   build/bin/batch_decision_bench
//
// Arguments of each benchmark: number of workers, number of queued or running tasks.

#include "cornelpond/core/base/Json.h"
#include "cornelpond/core/tasks/Scheduler.h"
#include "testing/fakes/FakeClock.h"
#include "testing/fakes/FakeLogGroup.h"

#include <benchmark/benchmark.h>
#include <nlohmann/json.hpp>

#include <malloc.h>

namespace {

using namespace cornelpond;

constexpr int workersPerRack = 8;
constexpr int associationCount = 56;

class NoEvents final : public EventSink {
public:
    void emit(Event const&) override { }
};

/// The scheduler of a leader with a fleet of 32-core workers.
class SchedulerFixture {
public:
    explicit SchedulerFixture(int64_t workerCount)
        : random(1)
        , group(1, this->random)
        , scheduler(this->clock, this->events, this->group.log(0), LeaseTimes(), SchedulerHooks())
    {
        StateMachineHooks hooks;
        hooks.apply = [this](LogIndex, std::string const& command) { this->scheduler.applyCommand(command); };
        hooks.onLeadership = [this](bool isLeader) { this->scheduler.onLeadership(isLeader); };
        this->group.setHooks(0, hooks);
        this->group.elect(0);
        for (int64_t i = 0; i < workerCount; i++)
            this->announcements.push_back(this->makeAnnouncement(i));
        this->announceAll();
    }

    WorkerAnnouncement makeAnnouncement(int64_t number) const
    {
        WorkerAnnouncement announcement;
        announcement.worker = WorkerId("worker-" + std::to_string(number));
        announcement.incarnation = "1";
        announcement.rack = RackId("rack-" + std::to_string(number / workersPerRack));
        announcement.labels = { { "disk", number % 3 ? "ssd" : "hdd" }, { "zone", std::to_string(number % 4) } };
        announcement.capacity = { 32000, 125 * 1024, 0 };
        return announcement;
    }

    void announce(size_t index)
    {
        WorkerAnnouncement& announcement = this->announcements[index];
        announcement.number = announcement.number.next();
        benchmark::DoNotOptimize(this->scheduler.onAnnouncement(announcement));
    }

    void announceAll()
    {
        for (size_t i = 0; i < this->announcements.size(); i++)
            this->announce(i);
        this->group.commit(100000);
    }

    void submit(int64_t count, int64_t milliCores, std::string const& prefix)
    {
        for (int64_t i = 0; i < count; i++) {
            TaskSpec spec;
            spec.id = TaskId(prefix + std::to_string(i));
            spec.association = AssociationId("association-" + std::to_string(i % associationCount));
            spec.resources = { milliCores + 100 * (i % 7), 512 + 256 * (i % 5), 0 };
            spec.labels = { { "kind", i % 2 ? "plan" : "watch" } };
            spec.workers = Selector::parse(i % 4 ? "" : "disk = ssd");
            spec.command = "run 1000";
            this->scheduler.submit(spec, [](OperationResult const&) {});
        }
        this->group.commit(1000000);
    }

    /// Starts all tasks that fit, and has the workers report them as running.
    void startAll()
    {
        for (int pass = 0; pass < 200; pass++) {
            this->scheduler.onTick();
            this->group.commit(1000);
        }
        for (auto& announcement : this->announcements) {
            announcement.held.clear();
            for (auto const& id : this->scheduler.table().tasksOnWorker(announcement.worker)) {
                Task const& task = *this->scheduler.table().find(id);
                announcement.held.push_back({ id, task.attempt, ReportedAttemptState::Running, AttemptOutcome::Finished, CheckpointId(), task.spec.resources, task.spec.resources });
            }
        }
        this->announceAll();
    }

    FakeClock clock;
    NoEvents events;
    SeededRandom random;
    FakeLogGroup group;
    Scheduler scheduler;
    std::vector<WorkerAnnouncement> announcements;
};

/// A pass of up to 256 starts over a long queue; `perStart` is the time for each start.
void placementPass(benchmark::State& state)
{
    size_t starts = 0;
    for (auto _ : state) {
        state.PauseTiming();
        auto fixture = std::make_unique<SchedulerFixture>(state.range(0));
        fixture->submit(state.range(1), 1000, "t");
        state.ResumeTiming();
        fixture->scheduler.onTick();
        state.PauseTiming();
        fixture->group.commit(1000);
        starts += fixture->scheduler.startsCommitted();
        fixture.reset();
        state.ResumeTiming();
    }
    state.counters["starts"] = static_cast<double>(starts) / static_cast<double>(state.iterations());
    state.counters["perStart"] = benchmark::Counter(static_cast<double>(starts), benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}

/// A pass that finds no room for any of the queued tasks.
void fullFleetPass(benchmark::State& state)
{
    SchedulerFixture fixture(state.range(0));
    fixture.submit(state.range(0) * 40, 1000, "running");
    fixture.startAll();
    fixture.submit(state.range(1), 40000, "waiting");
    int64_t number = 0;
    for (auto _ : state) {
        fixture.scheduler.setDrained(WorkerId("none"), number++ % 2, [](OperationResult const&) {});
        fixture.group.commit(10);
        fixture.scheduler.onTick();
    }
}

/// Handling of one worker's announcement, with decoding it from JSON and encoding the answer.
void announcement(benchmark::State& state)
{
    SchedulerFixture fixture(state.range(0));
    fixture.submit(state.range(1), 1000, "t");
    fixture.startAll();
    size_t next = 0;
    for (auto _ : state) {
        state.PauseTiming();
        size_t const index = next++ % fixture.announcements.size();
        fixture.announcements[index].number = fixture.announcements[index].number.next();
        std::string const text = toJson(fixture.announcements[index]).dump();
        state.ResumeTiming();
        WorkerAnnouncement const parsed = workerAnnouncementFromJson(parseJson(text, JsonLimits()));
        std::string const answer = toJson(fixture.scheduler.onAnnouncement(parsed)).dump();
        benchmark::DoNotOptimize(answer.size());
    }
}

/// Handling of one worker's announcement by the scheduler alone, without JSON.
void announcementHandled(benchmark::State& state)
{
    SchedulerFixture fixture(state.range(0));
    fixture.submit(state.range(1), 1000, "t");
    fixture.startAll();
    size_t next = 0;
    for (auto _ : state)
        fixture.announce(next++ % fixture.announcements.size());
}

/// A tick without anything to do.
void idleTick(benchmark::State& state)
{
    SchedulerFixture fixture(state.range(0));
    fixture.submit(state.range(1), 1000, "t");
    fixture.startAll();
    for (auto _ : state)
        fixture.scheduler.onTick();
}

/// Cancels all queued tasks by one selector.
void cancelBySelector(benchmark::State& state)
{
    for (auto _ : state) {
        state.PauseTiming();
        auto fixture = std::make_unique<SchedulerFixture>(state.range(0));
        fixture->submit(state.range(1), 40000, "t");
        state.ResumeTiming();
        fixture->scheduler.cancelMatching(Selector::parse("kind in (plan, watch)"), [](OperationResult const&) {});
        fixture->group.commit(10);
        state.PauseTiming();
        fixture.reset();
        state.ResumeTiming();
    }
}

/// Heap bytes per queued task and per worker without tasks.
void memory(benchmark::State& state)
{
    for (auto _ : state) {
        size_t const before = mallinfo2().uordblks;
        SchedulerFixture fixture(state.range(0));
        size_t const withWorkers = mallinfo2().uordblks;
        fixture.submit(state.range(1), 40000, "t");
        size_t const withTasks = mallinfo2().uordblks;
        state.counters["bytesPerWorker"] = static_cast<double>(withWorkers - before) / static_cast<double>(state.range(0));
        state.counters["bytesPerTask"] = static_cast<double>(withTasks - withWorkers) / static_cast<double>(state.range(1));
    }
}

BENCHMARK(placementPass)->Args({ 50, 13000 })->Args({ 500, 13000 })->Args({ 1500, 13000 })->Iterations(5)->Unit(benchmark::kMicrosecond);
BENCHMARK(fullFleetPass)->Args({ 50, 13000 })->Args({ 500, 13000 })->Args({ 1500, 13000 })->Unit(benchmark::kMicrosecond);
BENCHMARK(announcement)->Args({ 50, 600 })->Args({ 1500, 19100 })->Iterations(5000)->Unit(benchmark::kMicrosecond);
BENCHMARK(announcementHandled)->Args({ 50, 600 })->Args({ 500, 6400 })->Args({ 1500, 19100 })->Iterations(20000)->Unit(benchmark::kMicrosecond);
BENCHMARK(idleTick)->Args({ 1500, 19100 })->Unit(benchmark::kMicrosecond);
BENCHMARK(cancelBySelector)->Args({ 50, 10000 })->Iterations(3)->Unit(benchmark::kMillisecond);
BENCHMARK(memory)->Args({ 1500, 13000 })->Iterations(1);

} // namespace

BENCHMARK_MAIN();
