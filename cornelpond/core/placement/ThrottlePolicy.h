#pragma once

// Computes the speed, in percent, of best-effort tasks beside service tasks with which they interfere.
//
// Designed for: services whose load fluctuates, beside best-effort tasks whose interference grows roughly in
// proportion to their speed and shows only in figures that lag by half a second.
//
// Example:
//   unsigned const percent = taskSpeedPercent(attempt.targetSpeedPercent, worker.tailRatio, now - attempt.throttleConfirmedAt);

#include "cornelpond/core/base/Duration.h"

#include <vector>

namespace cornelpond {

/// Next speed of a task that was started throttled. Rises while the services are well under their targets, is halved
/// when they come near them, and never falls to 0, so that the task makes progress.
/// `percent`: the current speed; `tailRatio`: highest tail latency over target on the worker; `sinceChange`: time since
/// the current speed took effect.
unsigned taskSpeedPercent(unsigned percent, double tailRatio, Duration sinceChange);

/// The tasks of one best-effort image beside service tasks.
struct ImageSpeed {
    unsigned percent = 100; ///< At present.
    Duration sinceChange; ///< Since the present speed took effect.
    /// Headroom (see ServiceLoadModel) that the image is expected to take, at its present speed, from the service that is
    /// nearest to its target.
    double lostHeadroom = 0;
};

/// Next speeds of the images, in their order. Where a service is near its target, the likeliest cause is slowed: as many images,
/// the one with the largest expected effect first, and as far as brings the service well under its target. Once a service has stayed over
/// its target for longer than a change takes to show, all images are stopped. Each returns in steps while the services are
/// well under their targets.
/// `tailRatio`: highest tail latency over target on the worker; `timeOverTarget`: since the first listing that showed a service
/// over its target; `isEvicting`: some task there is being stopped, the effect of which is not seen yet.
std::vector<unsigned> imageSpeedPercents(std::vector<ImageSpeed> const& images, double tailRatio, Duration timeOverTarget, bool isEvicting);

} // namespace cornelpond
