#pragma once

// Keeps the roster of workers up to date with what workers announce about themselves. Announcements may be late, and anyone
// may send them.
//
// Example:
//   WorkerRegistration registration(clock, events, rosterLog, roster, queues, dispatcher);
//   registration.announce(report, [](CallResult result) { answer(result); });
//
// Loop thread only.

#include "cornelpond/core/agreement/CommandLog.h"
#include "cornelpond/core/dispatch/Dispatcher.h"
#include "cornelpond/core/jobs/QueueTable.h"
#include "cornelpond/core/scheduling/CallResult.h"

#include <map>
#include <optional>

namespace cornelpond {

/// A worker's announcement of itself.
struct WorkerReport {
    WorkerProfile profile;
    uint64_t sequence = 0; ///< Rises within one incarnation of the worker.
    Duration drainRemaining; ///< Minimum time until a draining worker leaves.
};

/// A worker's announcement that it ends.
struct WorkerDeparture {
    WorkerId worker;
    int64_t bornMs = 0; ///< Of the incarnation that ends, as in WorkerProfile; 0: not given.
};

class WorkerRegistration {
public:
    /// References must outlive the object.
    WorkerRegistration(Clock const& clock, EventSink& events, CommandLog& rosterLog, WorkerRoster const& roster, QueueTable const& queues, Dispatcher& dispatch);

    /// Done once the announcement may be acknowledged to the worker: its profile is committed, or it is stale.
    /// Refused where the configuration has no such service, unless the worker has been accepted for it before: jobs of a
    /// removed service may still run there.
    void announce(WorkerReport const& announcement, CallDone done);

    /// True when the worker is not draining and the replicated state already holds exactly its profile, so that
    /// the announcement need not go to the leader. Valid on any host.
    bool isAlreadyRecorded(WorkerReport const& announcement) const;

    /// Removes a worker that is shutting down, unless a later incarnation than the given one is known or tasks are placed there:
    /// the announcement may be late, and its sender runs on until it has an answer. With tasks, the worker drains, if the
    /// announcement is certain to be its own; the tasks end as listed or with its lease, and it is removed as a silent worker.
    void deregister(WorkerDeparture const& departure, CallDone done);

    /// Proposes the removal of a worker. `bornMs`: of the incarnation that is over.
    void remove(WorkerId const& worker, int64_t bornMs, CallDone done);

    /// Proposes to record a process that has listed and not announced itself yet: a new leader has to know of it.
    void recordListed(WorkerProfile const& profile);

    /// Proposes to record that orders for a former process cannot take effect on this one any more.
    void settle(WorkerProfile const& profile);

    /// When a draining worker may leave, by its announcements to this leader; unset if it gave no time.
    std::optional<TimePoint> drainEnd(WorkerId const& worker) const;

    /// To be called when the roster has lost the worker.
    void onWorkerRemoved(WorkerId const& worker);

    /// To be called when the leadership changes.
    void clear();

private:
    void put(WorkerProfile const& profile, CallDone done);
    void recordEarlierBorn(WorkerProfile known, WorkerProfile const& announced, WorkerView const& view, CallDone done);
    bool isOfFormerProcess(WorkerId const& worker, int64_t bornMs);
    char const* keepReason(WorkerProfile const& known, WorkerDeparture const& departure);
    void drainLeavingWorker(WorkerProfile known, WorkerDeparture const& departure, CallDone done);

    Clock const& clock;
    EventSink& events;
    CommandLog& rosterLog;
    WorkerRoster const& roster;
    QueueTable const& queues;
    Dispatcher& dispatch;
    std::map<WorkerId, std::pair<int64_t, uint64_t>> lastSequences; ///< By worker: when its incarnation was born (ms) and the sequence of its last announcement.
    std::map<WorkerId, TimePoint> drainEnds;
};

} // namespace cornelpond
