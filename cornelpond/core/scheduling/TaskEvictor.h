#pragma once

// Stops running attempts so that their tasks are placed anew, and counts and logs each.
//
// Example:
//   TaskEvictor evictor(events, dispatcher);
//   if (placer.choose(TaskEvictor::requestToMove(worker, attempt), now))
//       evictor.evict(worker, attempt, "worker drains");

#include "cornelpond/core/dispatch/Dispatcher.h"
#include "cornelpond/core/placement/PlacementRequest.h"

namespace cornelpond {

class TaskEvictor {
public:
    /// References must outlive the object.
    TaskEvictor(EventSink& events, Dispatcher& dispatch);

    /// `reason`: for the log.
    void evict(WorkerView& worker, PlacedAttempt& attempt, char const* reason);

    /// The request that placing the attempt's task anew would make. Does not exclude `worker` itself.
    static PlacementRequest requestToMove(WorkerView const& worker, PlacedAttempt const& attempt);

    /// Attempts evicted since the host was started.
    uint64_t count() const { return this->evictions; }

private:
    EventSink& events;
    Dispatcher& dispatch;
    uint64_t evictions = 0;
};

} // namespace cornelpond
