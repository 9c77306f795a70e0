#pragma once

// Logs once a second that connections have reached a bound: requests to workers waited for one, or new ones were refused.
//
// Example:
//   ConnectionReport report(events);
//   report.update(clock.now(), figures); // each tick

#include "cornelpond/core/base/Duration.h"
#include "cornelpond/ports/EventSink.h"

#include <cstddef>
#include <cstdint>

namespace cornelpond {

/// Connections of one process. Counts without "open" or "waiting" are totals since its start.
struct ConnectionFigures {
    size_t incomingOpen = 0;
    size_t incomingBound = 0;
    uint64_t incomingRefused = 0;
    size_t outgoingOpen = 0;
    size_t outgoingBound = 0;
    size_t requestsWaiting = 0; ///< For an outgoing connection.
    uint64_t requestsDelayed = 0;
    uint64_t requestsUnsent = 0; ///< Found no outgoing connection in time.
    size_t peersOpen = 0;
    size_t peersBound = 0;
};

class ConnectionReport {
public:
    /// `events` must outlive the report.
    explicit ConnectionReport(EventSink& events)
        : events(events)
    {
    }

    /// Emits ConnectionBoundReached if a total rose since the last report, at most once a second.
    void update(TimePoint now, ConnectionFigures const& figures);

private:
    EventSink& events;
    TimePoint nextAt;
    ConnectionFigures reported;
};

} // namespace cornelpond
