#pragma once

// Permits to start a stage's tasks on certain workers, requested from the policy service one call at a time and
// cached until they expire.
//
// Designed for: a policy service that is slow, serves one call at a time and refuses calls when they pile up; a policy that allows
// a stage few of many workers, or none for now; thousands of stages that wait for it.
//
// A query names few workers. Those that the policy did not allow are not named again before all others that could run the stage
// were, and then only after a pause, which becomes longer each time. Stages take turns: a stage that needs many queries does not
// hold up the others.
//
// Example:
//   std::set<WorkerId> const& workers = cache.permittedWorkers(stage);
//   if (!placeOn(workers))
//       cache.request(stage);
//   cache.sendQueries(); // An answer with permits triggers another scheduler pass.
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
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace cornelpond {

/// Queries to the policy service since the host was started, for metrics.
struct PermitCounters {
    uint64_t answered = 0;
    uint64_t unanswered = 0; ///< The service was busy, unreachable or gave no valid answer.
    uint64_t workersAsked = 0; ///< In all queries, each worker of each query.
    uint64_t workersPermitted = 0;
    Histogram queryDuration;
};

/// What a stage needs permits for.
struct PermitNeed {
    PermitSpec spec;
    std::vector<WorkerId> workers; ///< On which it could start, best first; empty when it needs no permits, or no further ones.
};

class PermitCache {
public:
    /// Called when it is a stage's turn, with its first task.
    using NeedOf = std::function<PermitNeed(TaskRef const&)>;

    /// References must outlive the cache. `onNewPermits` is called when an answer grants permits.
    PermitCache(WorkerOrders& orders, Clock const& clock, EventSink& events, NeedOf needOf, std::function<void()> onNewPermits);

    /// Lets the stage take its turn, unless it waits for one already or has been told lately that there is nothing to ask.
    void request(TaskRef const& stage);

    /// Sends the next query, if none is in flight.
    void sendQueries();

    /// Workers with a permit that stays valid long enough to be used. Valid until the next call for the stage or change of its permits.
    std::set<WorkerId> const& permittedWorkers(TaskRef const& stage);

    /// False while the policy is known not to allow the worker.
    bool mayPermit(TaskRef const& stage, WorkerId const& worker) const;

    /// Permit ticket to be sent with a start; empty when the worker has none.
    std::string ticket(TaskRef const& stage, WorkerId const& worker) const;

    /// To be called when the worker refused its ticket.
    void invalidate(TaskRef const& stage, WorkerId const& worker);

    void forgetJob(JobId const& job);
    void clear();

    PermitCounters const& counters() const { return this->totals; }
    /// Stages whose query waits for its turn.
    size_t waitingQueries() const { return this->turns.size(); }
    /// Stages of which every worker that could run them was asked about, and none is allowed.
    size_t stagesWithoutPermit() const;

private:
    struct HeldPermit {
        std::string ticket;
        TimePoint validUntil;
        std::optional<TimePoint> ticketRefusedAt; ///< When the worker last refused its ticket.
    };

    struct StagePermits {
        std::map<WorkerId, HeldPermit> permits; ///< Expired ones too: their workers are asked about first.
        std::set<WorkerId> validWorkers;
        TimePoint validWorkersUntil; ///< When the first of them expires.
        std::vector<bool> refused; ///< By worker number: not allowed when last asked.
        size_t queryWorkers = 0; ///< How many to ask about next; 0: the least.
        bool hasTurn = false; ///< Its query waits or is in flight.
        TimePoint retryAt;
        unsigned rounds = 0; ///< Since a permit was granted. A round ends when all workers that could run the stage were asked about.
        std::optional<TimePoint> pausedUntil; ///< Between two rounds: the refused workers are not asked about again before.
    };

    struct Turn {
        TaskRef stage;
        TimePoint requestedAt;
    };

    struct PermitQuery {
        TaskRef stage;
        PermitSpec spec;
        std::vector<WorkerId> workers;
        TimePoint requestedAt;
        TimePoint sentAt;
    };

    void takeTurn(Turn const& turn);
    std::vector<WorkerId> chooseWorkers(StagePermits& permits, PermitNeed const& need);
    void pauseRound(TaskRef const& stage, StagePermits& permits, size_t workerCount);
    void send(PermitQuery const& query);
    void onAnswered(PermitQuery const& query, PermitAnswer const& answer);
    void storeAnswer(StagePermits& permits, PermitQuery const& query, PermitAnswer const& answer);
    void report(PermitQuery const& query, PermitAnswer const& answer);
    void refreshValidWorkers(StagePermits& permits) const;
    size_t workerNumber(WorkerId const& worker);
    bool isRefused(StagePermits const& permits, WorkerId const& worker) const;
    void setRefused(StagePermits& permits, WorkerId const& worker, bool isRefused);

    WorkerOrders& orders;
    Clock const& clock;
    EventSink& events;
    NeedOf needOf;
    std::function<void()> onNewPermits;
    std::map<TaskRef, StagePermits> permitsByStage;
    std::unordered_map<WorkerId, size_t> workerNumbers;
    std::deque<Turn> turns;
    bool isQueryInFlight = false;
    TimePoint pausedUntil; ///< The service did not answer the last query.
    PermitCounters totals;
    std::shared_ptr<bool> lifetime = std::make_shared<bool>(true); ///< Replaced by clear(): answers to earlier queries are dropped.
};

} // namespace cornelpond
