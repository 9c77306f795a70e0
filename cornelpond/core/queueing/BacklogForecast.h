#pragma once

// Forecasts how long a new job's tasks wait behind those that rank before them, so that a job which cannot be useful any
// more by then is refused at once instead of late.
//
// Designed for: a flood of one priority, many times what the fleet can take. Without refusals the queue grows until what
// starts is of no use to anybody, while its callers still wait. Late jobs rank behind new ones and do not count, so that
// an overload in which new jobs are still served in time refuses none.
//
// Example:
//   forecast.onPass(now, workerCount, ready, placements);
//   if (auto const retryAfter = forecast.refusal(priorityBand, criticalPath, latencyObjective))
//       refuse(*retryAfter);

#include "cornelpond/core/queueing/JobProgress.h"
#include "cornelpond/core/queueing/StageRank.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace cornelpond {

class BacklogForecast {
public:
    /// To be called after each pass over all ready stages. `placements`: of the first ones.
    void onPass(TimePoint now, size_t workerCount, Span<ReadyStage const> ready, Span<StagePlacement const> placements);

    /// Counts starts of passes that were not over all stages, too.
    void onStarts(Span<ReadyStage const> ready, Span<StagePlacement const> placements);

    /// Time that a new job's first task is expected to wait; zero while there is no backlog worth mentioning.
    Duration expectedWait(unsigned priorityBand) const;

    /// Set if the job would end too late to be useful: after how long it would not, if no other job came.
    std::optional<Duration> refusal(unsigned priorityBand, Duration criticalPath, Duration latencyObjective) const;

    void clear() { *this = BacklogForecast(); }

private:
    struct Band {
        size_t waitingInTime = 0; ///< Tasks of stages in time that found no worker, as of the last full pass.
        size_t startsInWindow = 0;
        std::deque<size_t> startsByWindow; ///< Of the windows since tasks began to wait, the oldest first.
    };

    void closeWindow(Band& band, size_t workerCount) const;

    std::map<unsigned, Band> bands;
    std::optional<TimePoint> windowStart;
};

} // namespace cornelpond
