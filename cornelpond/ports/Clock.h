#pragma once

// Injected clock. In production it reads the event loop's monotonic clock; tests advance a fake clock.

#include "cornelpond/core/base/Duration.h"

#include <cstdint>

namespace cornelpond {

class Clock {
public:
    virtual ~Clock() = default;

    /// Monotonic time of this process; never decreases.
    virtual TimePoint now() const = 0;

    /// Milliseconds since the Unix epoch, for timestamps in records. Decisions use it only for the retention of
    /// ended tasks and jobs, the due times of scheduled jobs, and the time that a job has waited before the leader
    /// first sees it.
    virtual int64_t wallMilliseconds() const = 0;
};

} // namespace cornelpond
