// An executor crashes and starts again under its id as another kind. From its first listing until its first check-in, the
// leader takes it for one of the former kind, and starts tasks there whose required label it does not have.

#include "review/standin/Case.h"

#include <thread>

using namespace review;

namespace {

constexpr int entry = 9;
constexpr size_t executorCount = 8; // One of eight crashes.
constexpr int64_t taskMilliCores = 4000; // Four fill an executor.
constexpr int tasksPerJob = 16;
constexpr int jobCount = 30;
constexpr Milliseconds crashTime = Milliseconds(2500);
constexpr Milliseconds firstCheckIn = Milliseconds(1000); // Within the interval of check-ins.
constexpr char const* requiredKind = "a";
constexpr char const* otherKind = "b";

bool body(Fleet& fleet, Record& record, bool isDisrupted)
{
    fleet.startControls();
    fleet.startEntry(entry);
    auto executors = makeExecutors(fleet, record, executorCount);
    fleet.waitUntilServing();
    fleet.configure(configuration(1, { { "plans", "/plans/" } }));
    for (auto& executor : executors)
        executor->boot();
    std::this_thread::sleep_for(Milliseconds(2000));

    for (int job = 1; job <= jobCount; job++)
        fleet.client(entry, "POST", "/plans/" + jobId(static_cast<uint64_t>(job)), jobBody(tasksPerJob, taskMilliCores, 1500, R"({"requirements":"a"})"));
    std::this_thread::sleep_for(Milliseconds(3000));
    if (isDisrupted) {
        Executor& crashing = *executors.front();
        crashing.crash();
        std::this_thread::sleep_for(crashTime);
        crashing.setKind(otherKind);
        crashing.boot(firstCheckIn, true);
    }
    std::this_thread::sleep_for(Milliseconds(10000));

    size_t broken = 0;
    for (auto const& run : record.runs()) {
        if (run.label == requiredKind)
            continue;
        broken++;
        record.line("started without the required label " + std::string(requiredKind) + ": " + run.task + " run " + std::to_string(run.number) + " on " + run.executor + " of kind " + run.label);
    }
    record.line(std::to_string(record.runs().size()) + " runs, " + std::to_string(broken) + " of them on executors without the required label");
    return broken > 0;
}

} // namespace

int main(int argc, char** argv)
{
    return runCase(argc, argv, body);
}
