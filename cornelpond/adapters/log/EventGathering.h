#pragma once

// Gathers events about tasks of one stage into one line, so that a burst of starts or ends takes few bytes in the log:
//   {"time":...,"id":301,"event":"TaskPlaced","host":"core-1","stage":"7.0.0","objectiveMs":802,
//    "columns":["atMs","index","worker"],"rows":[[0,3,"w1"],[2,4,"w5"]]}
//
// Example:
//   EventGathering gathering(GatheringLimits(), [&](GatheredEvents const& events) { append(events); });
//   if (!gathering.add(event, now, wallMilliseconds))
//       append(event); // It names no task.
//   gathering.release(now);

#include "cornelpond/core/base/Duration.h"
#include "cornelpond/core/base/Event.h"

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cornelpond {

struct GatheredEvent {
    Event event;
    int64_t wallMs = 0;
};

/// Events of one id about tasks of one stage, with the same keys, in order of time. Never empty.
using GatheredEvents = std::vector<GatheredEvent>;

struct GatheringLimits {
    Duration window = Duration::milliseconds(100); ///< For which events are kept.
    size_t maxRowsPerLine = 32;
    size_t maxKeptEvents = 4000;
};

class EventGathering {
public:
    using Release = std::function<void(GatheredEvents const&)>;

    EventGathering(GatheringLimits limits, Release onRelease);

    /// Keeps a copy of an event that names a task. False for any other event.
    bool add(Event const& event, TimePoint now, int64_t wallMs);

    /// Releases all events once the first of them has been kept for the window. Call every few 10 ms.
    void release(TimePoint now);
    void releaseAll();

    size_t knownStages() const { return this->groups.size(); }

private:
    GatheredEvents& groupOf(Event const& event, std::string_view stage);
    void releaseGroup(GatheredEvents& group);

    GatheringLimits limits;
    Release onRelease;
    std::vector<GatheredEvents> groups; ///< In order of their first events.
    std::unordered_map<std::string, size_t> groupsByKey; ///< Indexes into `groups`, by event id and stage.
    std::string key; ///< Of the latest event; a member to reuse its memory.
    size_t keptEvents = 0;
    TimePoint keptSince;
};

/// Returns the line without a line end: that of the event if there is only one. Else fields with the same value in all events
/// come first, and the rows hold the others with the milliseconds since the time of the line.
std::string formatGatheredEvents(GatheredEvents const& events, HostId const& host);

} // namespace cornelpond
