#pragma once

// Lets tasks wait for the rack of their data, and gangs for one rack that takes all members, for as long as that is expected to pay.
// Keeps how long each stage has waited and counts how the waits end.
//
// Designed for: many tasks at once that prefer one rack, beside idle racks or not.
//
// Example:
//   LocalityControl locality(clock, events, dispatcher.workers(), times, limits.slowdownElsewhere);
//   locality.beginPass();
//   if (!worker && !locality.shouldWaitForDataRack(request))
//       request.canLeaveDataRack = true;
//   locality.onStart(request, *worker);
//
// Without a known slowdown, tasks wait for twice and gangs for once their estimated run time since their job's acceptance.

#include "cornelpond/core/base/Histogram.h"
#include "cornelpond/core/placement/LocalityWait.h"
#include "cornelpond/core/placement/PlacementRequest.h"
#include "cornelpond/ports/Clock.h"
#include "cornelpond/ports/EventSink.h"

#include <map>
#include <optional>

namespace cornelpond {

/// How the choice of a rack for a task or gang ended.
enum class LocalityOutcome : uint8_t {
    Near, ///< On the rack of its data, or all members on one rack.
    NearAfterWait,
    Elsewhere,
    ElsewhereAfterWait,
};

/// Name for metrics, such as "nearAfterWait".
std::string_view localityOutcomeName(LocalityOutcome outcome);

struct LocalityCounters {
    std::map<LocalityOutcome, uint64_t> starts; ///< Of tasks and gangs that prefer a rack.
    std::map<LocalityOutcome, Histogram> waits; ///< Until the start, of those that waited.
};

class LocalityControl {
public:
    /// References must outlive the object. `slowdownElsewhere`: how many times as long tasks run away from their data, and gangs on
    /// several racks; unset: not known.
    LocalityControl(Clock const& clock, EventSink& events, std::map<WorkerId, WorkerView> const& workers, DispatchTimes const& times, std::optional<double> slowdownElsewhere);

    /// Call at the start of each pass.
    void beginPass();

    /// For a task that found no room on the rack of its data. `acceptedAt`: when its job was accepted. Call once for each task, in
    /// the order of their ranks: each one that waits takes a place in the outlook of the rack.
    bool shouldWaitForDataRack(PlacementRequest const& request, TimePoint acceptedAt);

    /// For a gang that found no rack with room for all its members.
    bool shouldWaitForOneRack(PlacementRequest const& request, TimePoint acceptedAt);

    /// Call for the start of a task, or of a gang on one rack or several.
    void onTaskStarted(PlacementRequest const& request, WorkerView const& worker);
    void onGangStarted(PlacementRequest const& request, bool isOnOneRack);

    void forgetJob(JobId const& job);
    /// To be called when the leadership changes.
    void clear() { this->waitingSince.clear(); }

    LocalityCounters const& counters() const { return this->totals; }

private:
    struct Wait {
        TimePoint since;
        bool isWaiting = true; ///< By the latest decision.
    };

    using Outlooks = std::map<std::pair<ServiceId, RackId>, RackOutlook>;

    RackOutlook& outlookOf(ServiceId const& service, RackId const& rack);
    std::optional<Duration> untilRoomForGang(PlacementRequest const& request);
    bool decide(PlacementRequest const& request, std::optional<Duration> untilRoom);
    void onStart(PlacementRequest const& request, bool isNear);

    Clock const& clock;
    EventSink& events;
    std::map<WorkerId, WorkerView> const& workers;
    DispatchTimes const& times;
    std::optional<double> slowdownElsewhere;
    Outlooks outlooks; ///< Of this pass; filled at need.
    std::map<TaskRef, Wait> waitingSince; ///< By the first task of the stage.
    LocalityCounters totals;
};

} // namespace cornelpond
