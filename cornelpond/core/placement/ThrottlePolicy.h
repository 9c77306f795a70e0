#pragma once

// At what share of their speed best-effort tasks may work beside service tasks that they disturb.
//
// Load pattern it answers: services whose load swings, beside best-effort work whose harm grows about in line
// with its pace and is only seen in figures that lag half a second.
//
// Example:
//   unsigned const percent = tricklePace(attempt.throttle, worker.tailRatio, now - attempt.throttledAt);

#include "cornelpond/core/base/Duration.h"

namespace cornelpond {

/// For a task beside a service that it is known to harm. Rises while the services are well under their targets,
/// falls at once when they come near, never to nothing, so that the task gets on.
/// `tailRatio`: worst tail over target on the worker; `steady`: time since the pace last took effect.
unsigned taskSpeedPercent(unsigned percent, double tailRatio, Duration steady);

/// For all tasks of a worker of which none is known to harm. May fall to nothing.
/// `canSlow`: there are tasks that slowing down would help.
unsigned workerSpeedPercent(unsigned percent, double tailRatio, Duration steady, bool canSlow);

} // namespace cornelpond
