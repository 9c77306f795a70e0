#pragma once

// Decides which tasks are moved out of evacuated data centres, in which order and how many at a time.
//
// Designed for: a third of the fleet that is to be emptied while the rest has little room; services that may lack only a few
// tasks at a time; thousands of short tasks that end by themselves before a move would help them.
//
// Example:
//   EvacuationPlan plan(limits);
//   for (size_t index : plan.choose(candidates, movesInProgress, hasRoom))
//       evict(candidates[index]);
//
//   - A service task is moved while its stage stays within its limit of unavailable tasks. Stages with the most slack come first.
//   - A best-effort task that saves checkpoints is moved, the longest first, unless it ends sooner than the loss of its worker would
//     be noticed.
//   - All others run to their end: a move would throw their work away.

#include "cornelpond/core/base/Duration.h"
#include "cornelpond/core/base/Span.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace cornelpond {

/// A running task in an evacuated data centre.
struct EvacuationCandidate {
    bool isService = false;
    bool isBestEffort = false;
    bool isGang = false;
    bool savesCheckpoints = false;
    size_t stage = 0; ///< Tasks of one stage have the same number.
    size_t stageTasks = 1;
    size_t stageUnavailable = 0; ///< Tasks of the stage that are not at work.
    uint32_t maxUnavailable = 0; ///< As in StageSpec; 0: no limit given.
    Duration remaining; ///< Estimate, of a task that ends.
};

struct EvacuationLimits {
    size_t maxServiceMoves = 16; ///< Service tasks being moved at once.
    size_t maxBestEffortMoves = 16;
    Duration minRemaining = Duration::milliseconds(3750); ///< A best-effort task that ends sooner stays.
    size_t tasksPerUnavailable = 8; ///< Without a limit given, one of so many tasks of a service is moved at a time, at least one.
};

struct EvacuationMoves {
    size_t service = 0;
    size_t bestEffort = 0;
};

class EvacuationPlan {
public:
    explicit EvacuationPlan(EvacuationLimits limits)
        : limits(limits)
    {
    }

    /// Returns indices of `candidates` in the order of their moves. `hasRoom` is asked for each in that order, and takes the room
    /// that it finds.
    std::vector<size_t> choose(Span<EvacuationCandidate const> candidates, EvacuationMoves inProgress, std::function<bool(size_t)> const& hasRoom) const;

private:
    size_t slackOf(EvacuationCandidate const& candidate) const;

    EvacuationLimits limits;
};

} // namespace cornelpond
