#include "cornelpond/core/scheduling/JobService.h"

#include "testing/fakes/JobBench.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);
constexpr int imageCount = 12;

/// Services whose load swings by half within ten seconds, beside best-effort images of which every fourth harms one of them.
class SwingingFleet {
public:
    explicit SwingingFleet(uint64_t seed)
        : bench(seed)
    {
        this->bench.addWorkers(24, 16000);
        for (char const* service : { "odd", "even" }) {
            this->bench.fleet.setSwingingLoad(service, 0.42, 0.5, second * 10);
            for (int image = 0; image < imageCount; image++)
                this->bench.fleet.setInterference(service, imageName(image), image % 4 == (service[0] == 'o' ? 0 : 1) ? 3 : 0.02);
        }
        for (int i = 0; i < 14; i++)
            this->bench.submit(makeServiceJob("watch" + std::to_string(i), 6, 3200, i % 2 ? "odd" : "even"));
        this->bench.run(second * 12);
    }

    static std::string imageName(int image) { return "f" + std::to_string(image); }

    /// Submits best-effort jobs, three every 400 ms. Returns the time over target that was added.
    Duration flood(Duration span)
    {
        Duration const before = this->bench.fleet.record().timeOverTarget;
        Duration const step = Duration::milliseconds(400);
        for (Duration passed; passed < span; passed = passed + step) {
            for (int i = 0; i < 3; i++) {
                this->jobs.emplace_back("plan" + std::to_string(this->jobs.size()));
                this->bench.submit(makeBestEffortJob(this->jobs.back().value(), 4, 1800, second * 2, imageName(static_cast<int>(this->jobs.size()) % imageCount)));
            }
            this->bench.run(step);
        }
        return this->bench.fleet.record().timeOverTarget - before;
    }

    size_t completedCount()
    {
        return static_cast<size_t>(std::count_if(this->jobs.begin(), this->jobs.end(), [&](JobId const& job) { return this->bench.state(job) == JobState::Completed; }));
    }

    JobBench bench;
    std::vector<JobId> jobs;
};

} // namespace

TEST_CASE("load: best-effort images beside services whose load swings")
{
    SwingingFleet fleet(1);
    Duration const learning = fleet.flood(second * 15);
    Duration const learned = fleet.flood(second * 15);
    fleet.bench.run(second * 15);
    INFO("over target: " << learning.toMilliseconds() << " ms, then " << learned.toMilliseconds() << " ms; longest " << fleet.bench.fleet.record().longestTimeOverTarget.toMilliseconds() << "; completed " << fleet.completedCount() << " of " << fleet.jobs.size());
    // Of 84 service tasks: a hundredth of their time.
    CHECK(learned.toMilliseconds() < 84 * 150);
    CHECK(fleet.bench.fleet.record().longestTimeOverTarget < second * 2);
    CHECK(fleet.completedCount() * 10 >= fleet.jobs.size() * 9);
}

TEST_CASE("load: a new leader in the middle of a flood keeps what was learned about images")
{
    SwingingFleet fleet(2);
    fleet.flood(second * 15);
    Duration const before = fleet.flood(second * 8);
    fleet.bench.crashLeader();
    fleet.bench.run(second);
    fleet.bench.elect(1);
    Duration const after = fleet.flood(second * 8);
    INFO("over target: " << before.toMilliseconds() << " ms before, " << after.toMilliseconds() << " ms after");
    CHECK(fleet.bench.events.count(EventId::InterferenceRestored) == 1);
    CHECK(after.toMilliseconds() < before.toMilliseconds() + 84 * 80);
}

TEST_CASE("load: an image that begins to harm is found out within seconds")
{
    SwingingFleet fleet(3);
    fleet.flood(second * 15);
    fleet.bench.fleet.setInterference("odd", SwingingFleet::imageName(3), 3);
    fleet.bench.fleet.setInterference("even", SwingingFleet::imageName(3), 3);
    fleet.flood(second * 5);
    Duration const later = fleet.flood(second * 10);
    INFO("over target: " << later.toMilliseconds() << " ms");
    CHECK(later.toMilliseconds() < 84 * 100);
    CHECK(fleet.bench.fleet.record().longestTimeOverTarget < second * 2);
}

TEST_CASE("load: what is known about images is kept when a worker restarts")
{
    SwingingFleet fleet(4);
    fleet.flood(second * 15);
    Duration const before = fleet.flood(second * 8);
    for (int i = 0; i < 4; i++)
        fleet.bench.fleet.restart(WorkerId("w" + std::to_string(i)));
    Duration const after = fleet.flood(second * 8);
    INFO("over target: " << before.toMilliseconds() << " ms before, " << after.toMilliseconds() << " ms after");
    CHECK(after.toMilliseconds() < before.toMilliseconds() + 84 * 80);
}

TEST_CASE("what was learned about images reaches the other hosts, by one proposal of a few figures every few seconds")
{
    SwingingFleet fleet(5);
    fleet.flood(second * 10);
    fleet.bench.run(second * 4);
    size_t const learned = fleet.bench.leader().interferences().replicated().figures().size();
    CHECK(learned >= imageCount);
    CHECK(learned <= imageCount * 3);
}

TEST_CASE("a snapshot of a version that learned nothing restores to nothing learned")
{
    JobBench bench(6, 1);
    bench.addWorkers(2, 16000);
    bench.run(second);
    CHECK(bench.leader().interferences().replicated().empty());
    CHECK_NOTHROW(bench.leader().hooks().restore(bench.leader().hooks().takeSnapshot()));
}
