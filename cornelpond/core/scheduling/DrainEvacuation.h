#pragma once

// Evicts tasks from draining workers before these leave.
//
// Example:
//   DrainEvacuation evacuation(clock, dispatcher, placer, registration, evictor);
//   evacuation.evacuate(); // a few times a second, outside of passes

#include "cornelpond/core/dispatch/Dispatcher.h"
#include "cornelpond/core/placement/TaskPlacer.h"
#include "cornelpond/core/scheduling/TaskEvictor.h"
#include "cornelpond/core/scheduling/WorkerRegistration.h"

namespace cornelpond {

class DrainEvacuation {
public:
    /// References must outlive the object.
    DrainEvacuation(Clock const& clock, Dispatcher& dispatch, TaskPlacer& placer, WorkerRegistration const& registration, TaskEvictor& evictor);

    /// Evicts service tasks as soon as another worker has room for them, and tasks that save checkpoints shortly before the
    /// worker leaves.
    void evacuate();

private:
    Clock const& clock;
    Dispatcher& dispatch;
    TaskPlacer& placer;
    WorkerRegistration const& registration;
    TaskEvictor& evictor;
};

} // namespace cornelpond
