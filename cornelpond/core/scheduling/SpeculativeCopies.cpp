#include "cornelpond/core/scheduling/SpeculativeCopies.h"

#include "cornelpond/core/jobs/StageKey.h"

#include <algorithm>

namespace cornelpond {

namespace {

    constexpr double stragglerFactor = 1.5;
    /// Covers the commits and orders of an attempt, which count as run time.
    constexpr Duration stragglerMargin = Duration::milliseconds(200);

} // namespace

bool shouldStartCopy(CopyInputs const& inputs)
{
    if (inputs.failures + 2 >= inputs.maxAttempts)
        return false;
    bool const isStraggler = inputs.typicalRunTime && inputs.running > inputs.typicalRunTime->scaled(stragglerFactor) + stragglerMargin;
    return !inputs.isWorkerAnswering || isStraggler;
}

SpeculativeCopies::SpeculativeCopies(Clock const& clock, Dispatcher& dispatch, DispatchTimes const& times)
    : clock(clock)
    , dispatch(dispatch)
    , times(times)
{
}

void SpeculativeCopies::onTaskDone(TaskRef const& task, Duration took)
{
    std::vector<Duration>& known = this->runTimes[stageKey(task)];
    known.insert(std::upper_bound(known.begin(), known.end(), took), took);
}

void SpeculativeCopies::forgetJob(JobId const& job)
{
    this->runTimes.erase(this->runTimes.lower_bound({ job, 0, 0, 0 }), this->runTimes.lower_bound({ job, UINT32_MAX, 0, 0 }));
}

std::optional<Duration> SpeculativeCopies::typicalRunTime(TaskRef const& task, StageRecord const& stage) const
{
    auto const known = this->runTimes.find(stageKey(task));
    if (known == this->runTimes.end() || known->second.size() * 2 < stage.tasks.size())
        return std::nullopt;
    return known->second[known->second.size() / 2];
}

std::vector<CopyCandidate> SpeculativeCopies::candidates(JobRecord const& job)
{
    std::vector<CopyCandidate> found;
    for (auto const& [number, occurrence] : job.occurrences) {
        for (uint32_t stage = 0; stage < occurrence.stages.size(); stage++) {
            StageRecord const& record = occurrence.stages[stage];
            StageSpec const& spec = job.spec.stages[stage];
            if (!spec.allowsSpeculativeCopies || spec.isGang || spec.isService || record.isDone())
                continue;
            TaskRef task { job.spec.id, number, stage, 0 };
            std::optional<Duration> const typical = this->typicalRunTime(task, record);
            for (; task.index < record.tasks.size(); task.index++) {
                if (auto const each = this->candidate(job, task, record.tasks[task.index], typical))
                    found.push_back(*each);
            }
        }
    }
    return found;
}

std::optional<CopyCandidate> SpeculativeCopies::candidate(JobRecord const& job, TaskRef const& task, TaskRecord const& record, std::optional<Duration> const& typical)
{
    if (record.isDone || record.liveAttempts.size() != 1)
        return std::nullopt;
    Attempt const& live = record.liveAttempts.front();
    WorkerView* worker = this->dispatch.findWorker(live.worker);
    PlacedAttempt const* placed = worker ? worker->find(task, live.number) : nullptr;
    if (!placed || placed->isStopping || placed->isEndProposed)
        return std::nullopt;
    TimePoint const now = this->clock.now();
    Duration const running = placed->placedAt ? now - *placed->placedAt : Duration();
    bool const isAnswering = worker->isAnswering(now, this->times);
    if (!shouldStartCopy({ running, typical, isAnswering, record.failures, job.maxAttempts }))
        return std::nullopt;
    return CopyCandidate { task, live.worker, isAnswering, running };
}

} // namespace cornelpond
