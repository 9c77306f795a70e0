#pragma once

// The injected clock. Production reads the event loop's monotonic clock; tests pause and advance a fake.

#include "cornelpond/core/base/Duration.h"

#include <cstdint>

namespace cornelpond {

class Clock {
public:
    virtual ~Clock() = default;

    /// Monotonic; never goes back within a process.
    virtual TimePoint now() const = 0;

    /// Milliseconds since the Unix epoch, for records that people read. No decision goes by it but how
    /// long the records of ended tasks are kept.
    virtual int64_t wallMilliseconds() const = 0;
};

} // namespace cornelpond
