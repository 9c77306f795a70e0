#pragma once

// Logs, once a second while tasks wait, what the scheduler did and what waits, and measures how late its ticks are.
//
// Example:
//   LoadReport report(events);
//   report.onPass(lasted);
//   if (report.onTick(now))
//       report.emit(now, load); // a second is over

#include "cornelpond/core/base/Duration.h"
#include "cornelpond/core/base/Histogram.h"
#include "cornelpond/core/placement/RoomSummary.h"
#include "cornelpond/core/queueing/JobProgress.h"
#include "cornelpond/ports/EventSink.h"

#include <cstdint>
#include <optional>

namespace cornelpond {

/// What the leader has done since it was started, and what waits now.
struct SchedulerLoad {
    uint64_t passes = 0;
    uint64_t starts = 0;
    uint64_t workersExamined = 0;
    size_t activeJobs = 0;
    WaitingSummary waiting;
};

class LoadReport {
public:
    explicit LoadReport(EventSink& events);

    void onPass(Duration lasted);

    /// Notes a tick. True when a report is due.
    bool onTick(TimePoint now);

    /// Logs the load of the window that ends now, unless nothing waits and the ticks are in time.
    void emit(TimePoint now, SchedulerLoad const& load);

    /// Logs the room on the workers. `waitingMilliCores`: of service tasks that wait to be restarted.
    void emitRoom(RoomSummary const& room, int64_t waitingMilliCores);

    /// To be called when the leadership changes.
    void clear() { this->lastTickAt.reset(); }

    /// Between two ticks: a busy event loop runs them late.
    Histogram const& tickGap() const { return this->tickGaps; }

private:
    /// Since the load was last reported.
    struct Window {
        TimePoint startedAt;
        SchedulerLoad atStart;
        Duration maxTickGap;
        Duration maxPass;
    };

    EventSink& events;
    Window window;
    std::optional<TimePoint> lastTickAt; ///< Unset: no tick since this host leads.
    Histogram tickGaps;
};

} // namespace cornelpond
