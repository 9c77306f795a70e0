#pragma once

// Learns how much longer tasks take than their jobs estimate, from the decision to start them to the commit of their end.
//
// Designed for: overload. Estimates know nothing of commits, throttled speeds and shared cores. A job that counts as in time
// by its estimates alone keeps its place until it is late, so that in the end most jobs are late by a little.
//
// Example:
//   model.observe(stage, now - attempt.placedAt);
//   Duration const expected = stage.estimatedRunTime * model.stretchOf(stage);

#include "cornelpond/core/base/Duration.h"
#include "cornelpond/core/jobs/JobSpec.h"

namespace cornelpond {

class RunTimeModel {
public:
    /// `took`: of an attempt that ended as done and was not started throttled.
    void observe(StageSpec const& stage, Duration took);

    /// What nine of ten tasks like the stage's stay within, as a multiple of their estimated run time; at least 1. A stage
    /// ends with its slowest task.
    double stretchOf(StageSpec const& stage) const;

    void clear() { *this = RunTimeModel(); }

private:
    double shortStretch = 1;
    double bestEffortStretch = 1;
};

} // namespace cornelpond
