#pragma once

// When this host learned that workers were started again or removed, as far as orders for their former processes may still be
// executed. Kept by followers too, for the orders of a leader from which they take over.
//
// Designed for: workers that are started again and cut off at once, with starts for their former processes in flight, beside a
// change of leader; a host that learns of the new processes by a snapshot.
//
// Example:
//   ProcessChanges changes(times);
//   changes.note(worker, now);
//   changes.find(worker, later); // now, until no order for the former process can be executed any more

#include "cornelpond/core/dispatch/WorkerView.h"

#include <map>
#include <optional>

namespace cornelpond {

class ProcessChanges {
public:
    explicit ProcessChanges(DispatchTimes times)
        : times(times)
    {
    }

    void note(WorkerId const& worker, TimePoint now);

    /// To be called when orders for a former process cannot take effect on the present one any more.
    void forget(WorkerId const& worker) { this->changes.erase(worker); }

    /// When the latest change was noted; unset if no order from before it can be executed any more.
    std::optional<TimePoint> find(WorkerId const& worker, TimePoint now) const;

private:
    bool isOver(TimePoint change, TimePoint now) const { return now - change > this->times.maxOrderDelay; }

    DispatchTimes times;
    std::map<WorkerId, TimePoint> changes;
};

} // namespace cornelpond
