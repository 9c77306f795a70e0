#pragma once

// Decides which passes of the scheduler look at best-effort stages too, and whether one may run at once instead of at the next tick.
//
// Designed for: an overload in which thousands of best-effort tasks wait. A pass over all of them then takes so long that
// commits, answers of workers and starts of short tasks wait for it. Between two such passes, passes over the other
// stages are cheap and go on. And a fleet that is almost idle, where a pass takes next to no time and a job must not wait for the
// next tick.
//
// Example:
//   bool const isFull = pacing.isFullPassDue(clock.now());
//   TimePoint const started = clock.now();
//   runPass(isFull);
//   if (isFull)
//       pacing.onFullPass(started, clock.now());

#include "cornelpond/core/base/Duration.h"

namespace cornelpond {

class PassPacing {
public:
    bool isFullPassDue(TimePoint now) const { return now >= this->nextFullPass; }

    /// The next one is due so much later that full passes take a fifth of the time at most.
    void onFullPass(TimePoint startedAt, TimePoint endedAt) { this->nextFullPass = endedAt + (endedAt - startedAt) * pausePerPassTime; }

    /// True when a pass that something calls for may run before the next tick.
    bool isEarlyPassDue(TimePoint now) const { return now >= this->nextEarlyPass; }

    /// After any pass. Those before the next tick take a fifth of the time at most too.
    void onPass(TimePoint startedAt, TimePoint endedAt) { this->nextEarlyPass = endedAt + (endedAt - startedAt) * pausePerPassTime; }

private:
    static constexpr int64_t pausePerPassTime = 4;

    TimePoint nextFullPass;
    TimePoint nextEarlyPass;
};

} // namespace cornelpond
