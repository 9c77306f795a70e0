#pragma once

// The workers of the leader's data centre: the last announcement of each and the end of its lease. Soft state that is
// not replicated; a new leader rebuilds it from announcements.
//
// Example:
//   WorkerTable workers(LeaseTimes { lease, margin });
//   workers.onAnnouncement(announcement, clock.now());
//   for (WorkerId const& lost : workers.takeExpired(clock.now()))
//       endAttemptsOf(lost);
//
// A worker's lease starts when it sends the announcement; the leader counts from when it received it and adds a margin
// for clock drift. So the lease ends on the worker before it ends on the leader.

#include "cornelpond/core/base/Duration.h"
#include "cornelpond/core/tasks/WorkerMessages.h"

#include <unordered_map>
#include <vector>

namespace cornelpond {

struct LeaseTimes {
    Duration lease = Duration::seconds(5);
    Duration driftMargin = Duration::milliseconds(500);
};

/// A worker whose lease has not expired.
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

    /// Renews the lease. Returns false, without renewing it, for an announcement that is not newer than the last one of
    /// the same incarnation.
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
