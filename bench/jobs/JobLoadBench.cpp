// Runs the load of a large fleet through the real scheduler on fakes, on a clock that the bench advances, and prints what
// became of the jobs and what the leader's decisions cost.
//
//   build/bin/job_load_bench --workers 1100 --seconds 10 --burst 2
//
// The load: services that hold most cores, short jobs that someone waits for, and wide best-effort jobs, at rates in
// proportion to the number of workers. `--burst` multiplies the best-effort rate in the middle third of the run.

#include "testing/fakes/JobBench.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <chrono>
#include <cmath>

namespace {

using namespace cornelpond;

constexpr int serviceImages = 16;
constexpr int bestEffortImages = 30;
constexpr int64_t workerMilliCores = 18000;
constexpr double referenceWorkers = 1100;
constexpr double shortJobsPerSecond = 24.1;
constexpr double bestEffortJobsPerSecond = 23.3;
constexpr int serviceJobs = 214;
constexpr Duration loadStep = Duration::milliseconds(10);

class Load {
public:
    Load(JobBench& bench, size_t workers, double burst, Duration span)
        : bench(bench)
        , scale(static_cast<double>(workers) / referenceWorkers)
        , burst(burst)
        , span(span)
    {
    }

    void startServices()
    {
        for (int service = 0; service < serviceImages; service++) {
            for (int image = 0; image < bestEffortImages; image++)
                this->bench.fleet.setInterference("s" + std::to_string(service), "f" + std::to_string(image), (service * 7 + image) % 3 ? 5 : 0.2);
        }
        for (int i = 0; i < serviceJobs * this->scale; i++)
            this->bench.submit(makeServiceJob("watch" + std::to_string(i), 24, 3200, "s" + std::to_string(i % serviceImages)));
    }

    void run()
    {
        for (Duration passed; passed < this->span; passed = passed + loadStep) {
            bool const isBurst = passed * 3 > this->span && passed * 3 < this->span * 2;
            this->shortJobs += shortJobsPerSecond * this->scale * 0.01;
            this->bestEffortJobs += bestEffortJobsPerSecond * this->scale * 0.01 * (isBurst ? this->burst : 1);
            for (; this->shortJobs >= 1; this->shortJobs--)
                this->submitShort();
            for (; this->bestEffortJobs >= 1; this->bestEffortJobs--)
                this->submitBestEffort();
            this->bench.run(loadStep);
        }
    }

    void report(std::chrono::steady_clock::duration elapsed)
    {
        JobScheduler const& scheduler = this->bench.leader().scheduler();
        for (std::string const kind : { "due", "plan" }) {
            size_t submitted = 0;
            size_t inTime = 0;
            size_t late = 0;
            for (auto const& job : this->jobs) {
                if (job.id.value().compare(0, kind.size(), kind) != 0)
                    continue;
                submitted++;
                Duration const objective = objectiveOf(job, &this->bench.queueOf(job), TimePoint()).latencyObjective;
                Duration const took = this->bench.turnaroundTime(job.id);
                inTime += took <= objective;
                late += took > objective && took <= objective * tooLateFactor;
            }
            fmt::print("{:>5}: {} jobs, in time {:.3f}, late {:.3f}\n", kind, submitted, static_cast<double>(inTime) / static_cast<double>(submitted), static_cast<double>(late) / static_cast<double>(submitted));
        }
        auto const& counters = scheduler.counters();
        double const seconds = std::chrono::duration<double>(elapsed).count();
        fmt::print("starts {}, refused {}, passes {}, workers examined a start {:.1f}, elapsed {:.2f} s, with the fake fleet {:.1f} us a start\n", counters.startsDecided, counters.jobsRefused, counters.passes,
            static_cast<double>(scheduler.placementCounters().workersExamined) / static_cast<double>(counters.startsDecided), seconds, seconds * 1e6 / static_cast<double>(counters.startsDecided));
    }

private:
    uint32_t width(double mean, double spread)
    {
        double const normal = std::sqrt(-2 * std::log(1 - this->bench.random.nextDouble())) * std::cos(6.2831853 * this->bench.random.nextDouble());
        return std::max(1U, static_cast<uint32_t>(mean * std::exp(spread * normal - spread * spread / 2)));
    }

    void submit(JobSpec job, uint32_t stages)
    {
        for (uint32_t i = 1; i < stages; i++) {
            job.stages.push_back(job.stages.front());
            job.stages.back().dependsOn = { i - 1 };
        }
        this->jobs.push_back(job);
        this->bench.submit(job);
    }

    void submitShort()
    {
        int64_t const milliCores = 2000 + static_cast<int64_t>(this->bench.random.below(2400));
        this->submit(makeJob("due" + std::to_string(this->number++), this->width(13, 0.8), milliCores, Duration::milliseconds(640)), 1 + static_cast<uint32_t>(this->bench.random.below(100) < 60));
    }

    void submitBestEffort()
    {
        int64_t const milliCores = 1200 + static_cast<int64_t>(this->bench.random.below(1200));
        std::string const image = "f" + std::to_string(this->bench.random.below(bestEffortImages));
        this->submit(makeBestEffortJob("plan" + std::to_string(this->number++), this->width(40, 0.6), milliCores, Duration::milliseconds(2200), image), 2);
    }

    JobBench& bench;
    double scale;
    double burst;
    Duration span;
    double shortJobs = 0;
    double bestEffortJobs = 0;
    int number = 0;
    std::vector<JobSpec> jobs;
};

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("job_load_bench", "Load of a large fleet on the real scheduler");
    options.add_options()("workers", "", cxxopts::value<size_t>()->default_value("1100"))("seconds", "", cxxopts::value<int>()->default_value("10"))(
        "burst", "", cxxopts::value<double>()->default_value("2"))("seed", "", cxxopts::value<uint64_t>()->default_value("1"));
    auto const given = options.parse(argc, argv);
    JobBench bench(given["seed"].as<uint64_t>());
    bench.addWorkers(given["workers"].as<size_t>(), workerMilliCores);
    Load load(bench, given["workers"].as<size_t>(), given["burst"].as<double>(), Duration::seconds(given["seconds"].as<int>()));
    load.startServices();
    bench.run(Duration::seconds(4));
    auto const started = std::chrono::steady_clock::now();
    load.run();
    bench.run(Duration::seconds(5));
    load.report(std::chrono::steady_clock::now() - started);
}
