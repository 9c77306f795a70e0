#pragma once

// Decides when a log syncs its storage. A sync blocks the event loop, so that syncs must leave time for other work.
//
// Designed for: a log that is idle most of the time, where an entry must not wait for others to share its sync; and a flood of
// entries, which would take all of the loop's time if each was synced at once.
//
// Example:
//   FlushPacing pacing(Duration::milliseconds(25));
//   timers.after(pacing.waitAt(clock.now()), [&] {
//       TimePoint const started = clock.now();
//       log.flush();
//       pacing.onFlush(started, clock.now());
//   });

#include "cornelpond/core/base/Duration.h"

#include <algorithm>

namespace cornelpond {

class FlushPacing {
public:
    /// `maxPause`: between two flushes, however long the first one lasted. Zero: flushes are not paced.
    explicit FlushPacing(Duration maxPause)
        : maxPause(maxPause)
    {
    }

    /// Zero when a flush is due at once.
    Duration waitAt(TimePoint now) const { return std::max(this->nextFlush - now, Duration()); }

    /// The next flush waits as long again, so that flushes take half of the time at most while they last no longer than `maxPause`.
    void onFlush(TimePoint startedAt, TimePoint endedAt) { this->nextFlush = endedAt + std::min(endedAt - startedAt, this->maxPause); }

private:
    Duration maxPause;
    TimePoint nextFlush = TimePoint::distantPast();
};

} // namespace cornelpond
