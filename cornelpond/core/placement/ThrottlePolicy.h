#pragma once

// Computes the speed, in percent, of best-effort tasks beside service tasks with which they interfere.
//
// Designed for: services whose load fluctuates, beside best-effort tasks whose interference grows roughly in
// proportion to their speed and shows only in figures that lag by half a second.
//
// Example:
//   unsigned const percent = taskSpeedPercent(attempt.targetSpeedPercent, worker.tailRatio, now - attempt.throttleConfirmedAt);

#include "cornelpond/core/base/Duration.h"

namespace cornelpond {

/// Next speed of a task that was started throttled. Rises while the services are well under their targets, is halved
/// when they come near them, and never falls to 0, so that the task makes progress.
/// `percent`: the current speed; `tailRatio`: highest tail latency over target on the worker; `sinceChange`: time since
/// the current speed took effect.
unsigned taskSpeedPercent(unsigned percent, double tailRatio, Duration sinceChange);

/// Next speed of a worker's best-effort tasks of which none is known to interfere. May fall to 0.
/// `canLowerSpeed`: false when a lower speed would not help; the speed can then only rise.
unsigned workerSpeedPercent(unsigned percent, double tailRatio, Duration sinceChange, bool canLowerSpeed);

} // namespace cornelpond
