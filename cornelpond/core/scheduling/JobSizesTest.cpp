#include "cornelpond/core/scheduling/JobService.h"

#include "testing/fakes/JobBench.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);
constexpr Duration submitInterval = Duration::milliseconds(50);
constexpr int64_t workerMilliCores = 16000;

/// Log-normal sizes of jobs of short tasks: many small ones, few with many tasks or with large needs.
class SizedJobs {
public:
    explicit SizedJobs(uint64_t seed)
        : random(seed)
    {
    }

    JobSpec next()
    {
        auto const tasks = static_cast<uint32_t>(this->logNormal(9, 0.8, 1, 50));
        auto const milliCores = static_cast<int64_t>(this->logNormal(2000, 0.45, 500, 6100));
        JobSpec job = makeJob("due" + std::to_string(this->count++), tasks, milliCores, Duration::milliseconds(static_cast<int64_t>(this->logNormal(640, 0.5, 100, 1600))));
        constexpr double secondStageShare = 0.5;
        if (this->random.nextDouble() < secondStageShare) {
            job.stages.push_back(job.stages[0]);
            job.stages[1].dependsOn = { 0 };
        }
        return job;
    }

    /// True in `share` of the calls.
    bool nextIsTrue(double share) { return this->random.nextDouble() < share; }

private:
    double logNormal(double mean, double spread, double least, double most)
    {
        constexpr double twoPi = 6.283185307179586;
        double const radius = std::sqrt(-2 * std::log(1 - this->random.nextDouble()));
        double const normal = radius * std::cos(twoPi * this->random.nextDouble());
        return std::clamp(mean * std::exp(spread * normal - spread * spread / 2), least, most);
    }

    SeededRandom random;
    unsigned count = 0;
};

/// Share of jobs that were completed before they were too late to be useful.
struct ServedShares {
    double all = 0;
    double largestTenth = 0;
    double nextFifth = 0;
};

/// Submits jobs of short tasks for 30 s and keeps those of the last 24 s, as the first find an empty fleet.
class SizedLoad {
public:
    SizedLoad(JobBench& bench, uint64_t seed)
        : bench(bench)
        , jobs(seed)
    {
    }

    void run(double jobsPerSecond)
    {
        constexpr int intervals = 600;
        constexpr int leadIn = 120;
        for (int i = 0; i < intervals; i++) {
            if (this->jobs.nextIsTrue(jobsPerSecond * submitInterval.toSeconds())) {
                JobSpec const job = this->jobs.next();
                this->bench.submit(job);
                if (i >= leadIn)
                    this->submitted.push_back(job);
            }
            this->bench.run(submitInterval);
        }
        this->bench.run(second * 10);
    }

    ServedShares served()
    {
        std::sort(this->submitted.begin(), this->submitted.end(), [](JobSpec const& left, JobSpec const& right) { return sizeOf(left).coreMs < sizeOf(right).coreMs; });
        auto const part = [&](double from, double to) {
            size_t const first = static_cast<size_t>(from * static_cast<double>(this->submitted.size()));
            size_t const last = static_cast<size_t>(to * static_cast<double>(this->submitted.size()));
            size_t count = 0;
            for (size_t i = first; i < last; i++)
                count += this->isServed(this->submitted[i]);
            return static_cast<double>(count) / static_cast<double>(last - first);
        };
        return { part(0, 1), part(0.9, 1), part(0.7, 0.9) };
    }

private:
    bool isServed(JobSpec const& job)
    {
        Duration const objective = objectiveOf(job, &this->bench.queueOf(job), TimePoint()).latencyObjective;
        return this->bench.turnaroundTime(job.id) <= objective * tooLateFactor;
    }

    JobBench& bench;
    SizedJobs jobs;
    std::vector<JobSpec> submitted;
};

/// Submits service jobs of six tasks of 2.9 cores until they ask for the given share of the fleet.
void submitServices(JobBench& bench, size_t workerCount, double share)
{
    constexpr int64_t need = 2900;
    constexpr uint32_t tasks = 6;
    auto const jobCount = static_cast<size_t>(share * static_cast<double>(workerCount) * workerMilliCores / (need * tasks));
    for (size_t i = 0; i < jobCount; i++)
        bench.submit(makeServiceJob("watch" + std::to_string(i), tasks, need, "image" + std::to_string(i % 3)));
    bench.run(second * 3);
}

/// The users' bound: each of the two largest parts is served at least half as often as all jobs.
void checkLargeJobsAreServed(ServedShares const& served)
{
    INFO("served: all " << served.all << ", next fifth " << served.nextFifth << ", largest tenth " << served.largestTenth);
    CHECK(served.largestTenth >= served.all / 2);
    CHECK(served.nextFifth >= served.all / 2);
}

} // namespace

TEST_CASE("sizes: large jobs are served after service tasks of lost workers started elsewhere")
{
    auto const seed = GENERATE(as<uint64_t> {}, 1, 2, 3, 4, 5, 6);
    JobBench bench(seed);
    constexpr size_t workerCount = 120;
    bench.addWorkers(workerCount, workerMilliCores);
    submitServices(bench, workerCount, 0.9);
    for (size_t i = 0; i < workerCount / 8; i++)
        bench.fleet.crash(WorkerId("w" + std::to_string(i * 8)));
    bench.run(second * 6);
    SizedLoad load(bench, seed);
    load.run(4);
    checkLargeJobsAreServed(load.served());
}

TEST_CASE("sizes: large jobs are served while short tasks ask for more than there is")
{
    auto const seed = GENERATE(as<uint64_t> {}, 1, 2, 3, 4, 5, 6);
    JobBench bench(seed);
    bench.addWorkers(8, workerMilliCores);
    SizedLoad load(bench, seed);
    load.run(11);
    checkLargeJobsAreServed(load.served());
}
