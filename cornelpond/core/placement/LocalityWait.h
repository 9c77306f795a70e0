#pragma once

// Decides how long a task waits for a worker on the rack where it runs fastest, or a gang for one rack that takes all its members.
//
// Weighed are when the task would end near and when it would end elsewhere, by what is known: the room on the rack's workers, when
// the tasks that run there end, and the tasks that rank before and wait for the same room. A task never waits for longer in all
// than running elsewhere would cost it, so that wrong estimates at most double that cost.
//
// Designed for: many tasks at once that prefer one rack, beside idle racks or not.
//
// Example:
//   RackOutlook outlook(workers, now);
//   std::optional<Duration> const untilRoom = outlook.takePlace(stage.need);
//   if (shouldWaitForRack({ stage.estimatedRunTime, spreadFactor, untilRoom, waited }))
//       waitForNextPass();

#include "cornelpond/core/base/Span.h"
#include "cornelpond/core/dispatch/WorkerView.h"

#include <optional>
#include <vector>

namespace cornelpond {

struct LocalityInputs {
    Duration runTime; ///< Near.
    double slowdownElsewhere = 1; ///< How many times as long the task runs elsewhere.
    std::optional<Duration> untilRoom; ///< Near; unset: not known.
    Duration waited; ///< Since the task was first found to have no room near.
};

/// What a run elsewhere takes longer than one near. No task waits longer than that.
Duration costOfRunningElsewhere(LocalityInputs const& inputs);

/// True while the task is expected to end sooner if it waits for room near than if it starts elsewhere now. Where the time until
/// there is room is not known, true until the task has waited for as long as running elsewhere would cost it.
bool shouldWaitForRack(LocalityInputs const& inputs);

/// When room on the workers of one rack is expected. Each place can be taken once, so that tasks which wait for the same rack
/// get later and later ones.
class RackOutlook {
public:
    /// `workers`: those of the rack that take tasks.
    RackOutlook(Span<WorkerView const* const> workers, TimePoint now);

    /// True when no worker of the rack takes tasks.
    bool empty() const { return this->workers.empty(); }

    /// Takes the earliest place for a task that runs for `runTime`, and returns the time until then; unset if no end of a task is
    /// expected to make room for it.
    std::optional<Duration> takePlace(Resources const& need, Duration runTime);

private:
    /// Resources that become free on a worker.
    struct Release {
        Duration after;
        Resources resources;
    };

    static bool endsBefore(Release const& left, Release const& right) { return left.after < right.after; }

    struct WorkerRoom {
        Resources free; ///< From `freeFrom` on.
        Duration freeFrom;
        std::vector<Release> releases; ///< The earliest first.

        std::optional<Duration> untilRoomFor(Resources const& need) const;
        void take(Resources const& need, Duration after, Duration runTime);
    };

    static WorkerRoom roomOf(WorkerView const& worker, TimePoint now);

    std::vector<WorkerRoom> workers;
};

} // namespace cornelpond
