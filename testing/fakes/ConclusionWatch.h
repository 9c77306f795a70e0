#pragma once

// Runs a bench in single steps, with followers that apply commands at once, and counts the attempts that the leader concludes while
// they run on.
//
// Example:
//   ConclusionWatch watch(bench);
//   watch.run(Duration::seconds(5));
//   CHECK(watch.concludedRuns == 0);

#include "testing/fakes/EventFields.h"
#include "testing/fakes/JobBench.h"

#include <algorithm>
#include <string>

namespace cornelpond {

/// The bench's jobs must have one task each, without speculative copies.
class ConclusionWatch {
public:
    /// `bench` must outlive the object.
    explicit ConclusionWatch(JobBench& bench)
        : bench(bench)
    {
    }

    void run(Duration span)
    {
        constexpr Duration step = Duration::milliseconds(10);
        for (TimePoint const end = this->bench.clock.now() + span; this->bench.clock.now() < end;) {
            this->bench.run(step);
            this->bench.group.catchUpFollowers();
            this->readEvents();
        }
    }

    /// Runs until `condition` is true, at most for `bound`; returns the time that it took, or `bound`.
    template <typename Condition>
    Duration runUntil(Condition condition, Duration bound)
    {
        TimePoint const start = this->bench.clock.now();
        while (!condition() && this->bench.clock.now() - start < bound)
            this->run(Duration::milliseconds(10));
        return std::min(this->bench.clock.now() - start, bound);
    }

    unsigned concluded = 0; ///< Attempts that the leader concluded.
    unsigned concludedRuns = 0; ///< Of these, those whose task was running at that moment.

private:
    void readEvents()
    {
        auto const& events = this->bench.events.all();
        for (; this->readCount < events.size(); this->readCount++) {
            if (events[this->readCount].id() == EventId::AttemptConcluded)
                this->noteConclusion(events[this->readCount]);
        }
    }

    void noteConclusion(Event const& event)
    {
        std::string const task = valueOf(event, "task");
        this->concluded++;
        this->concludedRuns += this->bench.fleet.runningCount(JobId(task.substr(0, task.find('.')))) > 0;
    }

    JobBench& bench;
    size_t readCount = 0;
};

/// The worker of the live attempt of the job's only task; empty: none.
inline WorkerId workerOf(JobBench& bench, JobId const& job)
{
    WorkerId worker;
    bench.leader().scheduler().jobs().forEachLiveAttemptOf(job, [&](TaskRef const&, TaskRecord const&, Attempt const& attempt) { worker = attempt.worker; });
    return worker;
}

} // namespace cornelpond
