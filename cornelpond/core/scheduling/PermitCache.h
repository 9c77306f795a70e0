#pragma once

// Permits to start a stage's tasks on certain workers, asked of the policy service one call at a time and
// kept until they run out.
//
// Load pattern it answers: a policy service that is slow, serves one call at a time and turns callers away
// when calls pile up.
//
// Example:
//   if (!book.request(stage, permits, candidates, clock.now()))
//       return; // The answer wakes the scheduler.
//   std::set<WorkerId> const& allowed = book.allowed(stage);

#include "cornelpond/core/jobs/QueueTable.h"
#include "cornelpond/ports/Clock.h"
#include "cornelpond/ports/WorkerOrders.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace cornelpond {

class PermitCache {
public:
    /// `orders` must outlive the book. `onAnswer` is called when new permits came.
    PermitCache(WorkerOrders& orders, Clock const& clock, std::function<void()> onAnswer);

    /// True when the stage has permits that hold for a while; else asks for them, naming `candidates`.
    bool ensurePermits(TaskRef const& stage, PermitSpec const& spec, std::vector<WorkerId> const& candidates);

    /// Workers that may run the stage now.
    std::set<WorkerId> const& permittedWorkers(TaskRef const& stage) const;

    /// Empty where the worker has none.
    std::string ticket(TaskRef const& stage, WorkerId const& worker) const;

    /// A worker refused the ticket: it is of no more use.
    void invalidate(TaskRef const& stage, WorkerId const& worker);

    void forgetJob(JobId const& job);
    void clear();

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
    };

    void sendNextQuery();
    void onAnswered(TaskRef const& stage, TimePoint askedAt, PermitAnswer const& answer);

    WorkerOrders& orders;
    Clock const& clock;
    std::function<void()> onNewPermits;
    std::map<TaskRef, StagePermits> permitsByStage;
    std::deque<PermitQuery> pendingQueries;
    bool isQueryInFlight = false;
    std::shared_ptr<bool> lifetime = std::make_shared<bool>(true);
};

} // namespace cornelpond
