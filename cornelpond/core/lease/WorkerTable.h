#pragma once

// The leader's soft view of its data centre's workers: the last announcement of each and the end of
// its lease. Nothing here is replicated; a new leader learns it anew from announcements.
//
// Example:
//   WorkerTable workers(LeaseTimes { lease, margin });
//   workers.onAnnouncement(announcement, clock.now());
//   for (WorkerId const& lost : workers.takeExpired(clock.now()))
//       endAttemptsOf(lost);
//
// A worker counts its lease from when it sent the announcement, the leader from when it received it,
// plus a margin for clock drift: the worker's end always comes first.

#include "cornelpond/core/base/Duration.h"
#include "cornelpond/core/tasks/WorkerMessages.h"

#include <unordered_map>
#include <vector>

namespace cornelpond {

struct LeaseTimes {
    Duration lease = Duration::seconds(5);
    Duration driftMargin = Duration::milliseconds(500);
};

/// One worker that announced itself within its lease.
struct LeasedWorker {
    WorkerAnnouncement lastAnnouncement;
    TimePoint leaseEnd; ///< On the leader's clock, margin included.
};

class WorkerTable {
public:
    explicit WorkerTable(LeaseTimes times)
        : times(times)
    {
    }

    /// Renews the lease. Returns false for an announcement that is older than the last one of the same
    /// incarnation; such a one renews nothing.
    bool onAnnouncement(WorkerAnnouncement announcement, TimePoint now);

    /// Removes and returns the workers whose lease and margin have passed.
    std::vector<WorkerId> takeExpired(TimePoint now);

    /// Null when the worker holds no lease.
    LeasedWorker const* find(WorkerId const& id) const;

    std::unordered_map<WorkerId, LeasedWorker> const& all() const { return this->workers; }

    void clear() { this->workers.clear(); }

    LeaseTimes const& leaseTimes() const { return this->times; }

private:
    LeaseTimes times;
    std::unordered_map<WorkerId, LeasedWorker> workers;
};

} // namespace cornelpond
