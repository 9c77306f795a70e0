#pragma once

// Permits to start a stage's tasks on certain workers, requested from the policy service one call at a time and
// cached until they expire.
//
// Designed for: a policy service that is slow, serves one call at a time and refuses calls when they pile up.
//
// Example:
//   if (!cache.ensurePermits(stage, queue.permits, candidates))
//       return; // The answer triggers another scheduler pass.
//   std::set<WorkerId> const& workers = cache.permittedWorkers(stage);
//
// The task index of a `stage` argument is ignored.

#include "cornelpond/core/base/Histogram.h"
#include "cornelpond/core/jobs/QueueTable.h"
#include "cornelpond/ports/Clock.h"
#include "cornelpond/ports/EventSink.h"
#include "cornelpond/ports/WorkerOrders.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace cornelpond {

/// Queries to the policy service since the host was started, for metrics.
struct PermitCounters {
    uint64_t answered = 0;
    uint64_t unanswered = 0; ///< The service was busy, unreachable or gave no valid answer.
    uint64_t workersAsked = 0; ///< In all queries, each worker of each query.
    uint64_t workersPermitted = 0;
    Histogram queryDuration;
};

class PermitCache {
public:
    /// References must outlive the cache. `onNewPermits` is called when an answer grants permits.
    PermitCache(WorkerOrders& orders, Clock const& clock, EventSink& events, std::function<void()> onNewPermits);

    /// True when the stage has permits that stay valid long enough to be used; otherwise requests them for
    /// `candidates`, unless a request is pending or the last answer is too recent.
    bool ensurePermits(TaskRef const& stage, PermitSpec const& spec, std::vector<WorkerId> const& candidates);

    /// Workers with a permit for the stage; does not check whether the permits have expired.
    std::set<WorkerId> const& permittedWorkers(TaskRef const& stage) const;

    /// Permit ticket to be sent with a start; empty when the worker has none.
    std::string ticket(TaskRef const& stage, WorkerId const& worker) const;

    /// Drops the worker's ticket after the worker refused it.
    void invalidate(TaskRef const& stage, WorkerId const& worker);

    void forgetJob(JobId const& job);
    void clear();

    PermitCounters const& counters() const { return this->totals; }
    /// Stages whose query waits for its turn.
    size_t waitingQueries() const { return this->pendingQueries.size(); }

private:
    struct StagePermits {
        std::map<WorkerId, std::string> tickets;
        std::set<WorkerId> workers;
        TimePoint validUntil;
        TimePoint retryAt;
        bool isQueryPending = false;
    };

    struct PermitQuery {
        TaskRef stage;
        PermitSpec spec;
        std::vector<WorkerId> candidates;
        TimePoint requestedAt;
        TimePoint sentAt;
    };

    void sendNextQuery();
    void onAnswered(TaskRef const& stage, TimePoint sentAt, PermitAnswer const& answer);
    void report(PermitQuery const& query, PermitAnswer const& answer);

    WorkerOrders& orders;
    Clock const& clock;
    EventSink& events;
    std::function<void()> onNewPermits;
    std::map<TaskRef, StagePermits> permitsByStage;
    std::deque<PermitQuery> pendingQueries;
    bool isQueryInFlight = false;
    PermitCounters totals;
    std::shared_ptr<bool> lifetime = std::make_shared<bool>(true); ///< Replaced by clear(): answers to earlier queries are dropped.
};

} // namespace cornelpond
