// The work that the leader does per decision, counted, not timed, so that the result does not depend on the machine.

#include "cornelpond/core/scheduling/JobService.h"

#include "testing/fakes/JobBench.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);
constexpr size_t workerCount = 490;
constexpr int64_t workerMilliCores = 32000;
constexpr int interfererCount = 18;
constexpr int serviceImageCount = 10;

/// Services on most cores of a large fleet, of ten images; a third of the best-effort images interfere with each.
void fillWithServices(JobBench& bench)
{
    for (int service = 0; service < serviceImageCount; service++) {
        for (int image = 0; image < interfererCount; image++)
            bench.fleet.setInterference("s" + std::to_string(service), "f" + std::to_string(image), (service + image) % 3 ? 0.3 : 20);
    }
    for (int i = 0; i < 130; i++)
        bench.submit(makeServiceJob("watch" + std::to_string(i), 14, 6400, "s" + std::to_string(i % serviceImageCount)));
    bench.run(second * 3);
}

/// Short and best-effort jobs: some 1,100 tasks a second, most of them best-effort, of needs that differ.
void submitLoad(JobBench& bench, Duration span)
{
    constexpr Duration interval = Duration::milliseconds(50);
    int number = 0;
    for (Duration passed; passed < span; passed = passed + interval) {
        number++;
        if (number % 2)
            bench.submit(makeJob("due" + std::to_string(number), 9, 3000 + number % 7 * 700, second));
        for (int plan = 0; plan < 2; plan++)
            bench.submit(makeBestEffortJob("plan" + std::to_string(number) + "." + std::to_string(plan), 20, 2000 + number % 9 * 300, second * 2, "f" + std::to_string((number * 2 + plan) % interfererCount)));
        bench.run(interval);
    }
}

} // namespace

TEST_CASE("decision work: a start does not cost an examination of the whole fleet")
{
    JobBench bench(1);
    bench.addWorkers(workerCount, workerMilliCores);
    fillWithServices(bench);
    JobScheduler const& scheduler = bench.leader().scheduler();
    uint64_t const startsBefore = scheduler.counters().startsDecided;
    uint64_t const examinedBefore = scheduler.placementCounters().workersExamined;
    submitLoad(bench, second * 4);
    uint64_t const starts = scheduler.counters().startsDecided - startsBefore;
    uint64_t const examined = scheduler.placementCounters().workersExamined - examinedBefore;
    INFO("starts " << starts << ", workers examined " << examined);
    REQUIRE(starts > 2000);
    // Stages have 9 to 20 tasks: one search of the fleet for each, and as much again for tasks that wait.
    CHECK(examined / starts <= workerCount / 5);
}

TEST_CASE("decision work: tasks that wait are not compared with all workers again and again")
{
    JobBench bench(1);
    bench.addWorkers(workerCount, workerMilliCores);
    for (int i = 0; i < 30; i++)
        bench.submit(makeBestEffortJob("full" + std::to_string(i), 33, 16000, second * 60, "f" + std::to_string(i % interfererCount)));
    bench.run(second * 3);
    for (int i = 0; i < 200; i++)
        bench.submit(makeBestEffortJob("waits" + std::to_string(i), 20, 16000 + i % 9 * 300, second * 60, "f" + std::to_string(i % interfererCount)));
    bench.run(second);
    uint64_t const examinedBefore = bench.leader().scheduler().placementCounters().workersExamined;
    constexpr int seconds = 5;
    bench.run(second * seconds);
    uint64_t const examined = (bench.leader().scheduler().placementCounters().workersExamined - examinedBefore) / seconds;
    // Each image may look at each worker four times a second; twice, as tasks of an image differ in their needs.
    CHECK(examined <= workerCount * interfererCount * 4 * 2);
}

TEST_CASE("decision work: the leader's load is logged once a second while tasks wait, and not on a calm fleet")
{
    JobBench bench(1);
    bench.addWorkers(1, 4000);
    bench.run(second * 3);
    CHECK(bench.events.count(EventId::LoadReported) == 0);
    bench.submit(makeJob("waits", 3, 4000, second * 60));
    bench.run(second * 5);
    CHECK(bench.events.count(EventId::LoadReported) >= 4);
    CHECK(bench.events.count(EventId::LoadReported) <= 5);
}

TEST_CASE("decision work: attempts that await no order are not looked up many times a second")
{
    JobBench bench(1);
    bench.addWorkers(workerCount, workerMilliCores);
    constexpr uint32_t runningTasks = 980;
    bench.submit(makeJob("long", runningTasks, 16000, second * 60));
    bench.run(second * 3);
    uint64_t const checkedBefore = bench.leader().scheduler().dispatcher().attemptsChecked();
    constexpr int seconds = 4;
    bench.run(second * seconds);
    uint64_t const checked = (bench.leader().scheduler().dispatcher().attemptsChecked() - checkedBefore) / seconds;
    // A task that is not wanted any more is noticed within half a second at the latest.
    CHECK(checked <= runningTasks * 2);
}

TEST_CASE("decision work: short tasks that wait are not compared with all workers in each pass")
{
    // 1,000 short tasks waited on 1,100 workers; each pass compared them with the whole fleet, and 30 passes a second took
    // half of the leader's processor time (schmierdienst-large scale-1).
    constexpr int differentNeeds = 9;
    JobBench bench(1);
    bench.addWorkers(workerCount, workerMilliCores);
    bench.submit(makeJob("full", workerCount * 2, 16000, second * 60));
    bench.run(second * 3);
    int waiting = 0;
    for (; waiting < 300; waiting++)
        bench.submit(makeJob("waits" + std::to_string(waiting), 5, 3000 + waiting % differentNeeds * 300, second));
    bench.run(second);
    uint64_t const passesBefore = bench.leader().scheduler().counters().passes;
    uint64_t const examinedBefore = bench.leader().scheduler().placementCounters().workersExamined;
    constexpr int seconds = 4;
    constexpr Duration interval = Duration::milliseconds(20);
    for (Duration passed; passed < second * seconds; passed = passed + interval) {
        bench.cancel(JobId("waits" + std::to_string(--waiting))); // Any change brings another pass.
        bench.run(interval);
    }
    REQUIRE(bench.leader().scheduler().counters().passes - passesBefore >= 100);
    uint64_t const examined = (bench.leader().scheduler().placementCounters().workersExamined - examinedBefore) / seconds;
    // Each need may look at each worker four times a second.
    CHECK(examined <= workerCount * differentNeeds * 4);
}
