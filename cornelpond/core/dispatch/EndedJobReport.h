#pragma once

// Logs, on the leader, what becomes of the attempts that were live when their job was cancelled or ended otherwise, and of
// orphaned attempts that a worker goes on listing. Decides nothing.
//
// Example:
//   EndedJobReport report(clock, events, jobs, times, workers);
//   report.onJobEnded(job, hasBegun); // before its attempts are stopped
//   report.onEndApplied(end, placedAttempt);
//   report.onTick(canSendOrders);

#include "cornelpond/core/base/Event.h"
#include "cornelpond/core/dispatch/WorkerView.h"
#include "cornelpond/core/jobs/JobTable.h"
#include "cornelpond/ports/Clock.h"
#include "cornelpond/ports/EventSink.h"

#include <map>

namespace cornelpond {

class EndedJobReport {
public:
    /// References must outlive the object.
    EndedJobReport(Clock const& clock, EventSink& events, JobTable const& jobs, DispatchTimes const& times, std::map<WorkerId, WorkerView>& workers);

    /// Takes over the ended jobs of earlier leaders that have live attempts, in place of those known so far.
    void lead();
    void resign() { this->endedJobs.clear(); }

    /// To be called once for each job that ends, before its attempts are stopped.
    void onJobEnded(JobRecord const& job, bool hasBegun);
    /// `attempt`: null when its worker is not known or the attempt is not placed there.
    void onEndApplied(CommitEnd const& end, PlacedAttempt const* attempt);
    void onTick(bool canSendOrders);

    /// Live attempts of jobs that were cancelled, or ended otherwise, at least `age` ago.
    size_t attemptsOlderThan(Duration age) const;
    /// Attempts that no committed record accounts for, in the latest listings of their workers.
    size_t listedOrphans() const;

private:
    struct EndedJob {
        TimePoint endedAt;
        TimePoint nextReportAt;
        size_t attempts = 0; ///< Live ones when it ended, or when this leader took it over.
        uint64_t stops = 0; ///< Sent by this leader for attempts that have ended since.
    };

    void add(JobRecord const& job, Duration age, char const* stateBefore, bool isInherited);
    std::string liveAttempts(JobId const& job);
    char const* phaseName(TaskRef const& task, Attempt const& attempt);
    void reportAttempts(JobId const& id, EndedJob const& ended, bool canSendOrders);
    void reportOrphans(bool canSendOrders);
    /// With what the lines of all attempts begin with.
    Event attemptEvent(TaskRef const& task, Attempt const& attempt, char const* phase, Duration age) const;
    void reportAttempt(TaskRef const& task, Attempt const& attempt, Duration age, bool canSendOrders);
    /// Precondition: `orphan.listedSince` is set.
    void reportOrphan(WorkerId const& worker, AttemptKey const& key, OrphanedAttempt const& orphan, bool canSendOrders);
    void addWorker(Event& event, WorkerId const& worker) const;
    bool takeLine();
    PlacedAttempt* findPlaced(TaskRef const& task, Attempt const& attempt);

    Clock const& clock;
    EventSink& events;
    JobTable const& jobs;
    DispatchTimes const& times;
    std::map<WorkerId, WorkerView>& workers;
    std::map<JobId, EndedJob> endedJobs; ///< With live attempts.
    TimePoint nextCheckAt;
    size_t linesLeft = 0; ///< In the present check.
    size_t suppressedLines = 0;
};

} // namespace cornelpond
