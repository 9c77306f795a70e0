#pragma once

// Keeps service tasks under their latency targets beside best-effort tasks: decides how much of their speed
// the best-effort tasks of one worker may use, from what the worker last listed.
//
// Load pattern it answers: service tasks whose load swings within seconds, and whose harm by neighbours is
// only seen in rough figures that lag half a second.
//
// Example:
//   HarmReport const report = measureHarm(view, now);
//   unsigned const percent = nextThrottle(state, report, now, InterferenceLimits());

#include "cornelpond/core/dispatch/WorkerView.h"

namespace cornelpond {

struct InterferenceLimits {
    double slowAt = 0.85; ///< Of the target: best-effort tasks are slowed from here,
    double stopAt = 1.1; ///< and cut harder from here,
    double easeBelow = 0.65; ///< and sped up again below.
    double slowFactor = 0.6;
    double cutFactor = 0.25;
    unsigned easeStep = 15; ///< Percent points.
    unsigned smallest = 5; ///< Percent; less counts as a full stop.
    /// A change shows in the figures after the throttle's own delay and the half second they cover.
    Duration settle = Duration::milliseconds(700);
    Duration easeAfter = Duration::milliseconds(1000);
    Duration avoidFor = Duration::milliseconds(2500); ///< New best-effort tasks go elsewhere for so long.
};

/// How close the service tasks of a worker are to their targets.
struct HarmReport {
    bool hasTargets = false;
    double worstRatio = 0; ///< Tail over target of the worst task at work.
};

HarmReport measureHarm(WorkerView const& worker);

/// The share of its speed that every best-effort task on the worker may use from now on.
unsigned nextThrottle(WorkerView const& worker, HarmReport const& report, TimePoint now, InterferenceLimits const& limits);

} // namespace cornelpond
