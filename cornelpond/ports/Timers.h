#pragma once

// One-shot timers on the event loop.
//
// Example:
//   TimerId const timer = timers.after(Duration::seconds(1), [this] { this->onTick(); });
//   timers.cancel(timer);

#include "cornelpond/core/base/Duration.h"
#include "cornelpond/core/base/Ids.h"

#include <functional>

namespace cornelpond {

using TimerId = NumberId<struct TimerIdTag>;

class Timers {
public:
    virtual ~Timers() = default;

    /// Calls `callback` once on the loop thread, not before `delay` has passed.
    virtual TimerId after(Duration delay, std::function<void()> callback) = 0;

    /// Does nothing when the timer has already fired or been cancelled.
    virtual void cancel(TimerId timer) = 0;
};

} // namespace cornelpond
