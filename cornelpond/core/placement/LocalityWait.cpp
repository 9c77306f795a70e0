#include "cornelpond/core/placement/LocalityWait.h"

#include <algorithm>

namespace cornelpond {

namespace {

    /// A task that runs for longer than estimated is expected to end after this share of the estimate at the latest.
    constexpr int64_t overrunDivisor = 4;

    /// From now on.
    Duration expectedRemainder(PlacedAttempt const& attempt, TimePoint now)
    {
        Duration const estimate = attempt.stage->estimatedRunTime;
        Duration const elapsed = attempt.placedAt ? now - *attempt.placedAt : Duration();
        return std::max(estimate - elapsed, estimate / overrunDivisor);
    }

} // namespace

Duration costOfRunningElsewhere(LocalityInputs const& inputs)
{
    return inputs.runTime.scaled(std::max(inputs.slowdownElsewhere - 1, 0.0));
}

bool shouldWaitForRack(LocalityInputs const& inputs)
{
    Duration const cost = costOfRunningElsewhere(inputs);
    if (inputs.waited >= cost)
        return false;
    return !inputs.untilRoom || *inputs.untilRoom < cost;
}

RackOutlook::RackOutlook(Span<WorkerView const* const> workers, TimePoint now)
{
    for (auto const* worker : workers)
        this->workers.push_back(roomOf(*worker, now));
}

RackOutlook::WorkerRoom RackOutlook::roomOf(WorkerView const& worker, TimePoint now)
{
    WorkerRoom room;
    room.free = worker.freeResources();
    for (auto const& [key, attempt] : worker.placed) {
        if (attempt.stage->isShort())
            room.releases.push_back({ expectedRemainder(attempt, now), attempt.reserved() });
    }
    std::sort(room.releases.begin(), room.releases.end(), endsBefore);
    return room;
}

std::optional<Duration> RackOutlook::WorkerRoom::untilRoomFor(Resources const& need) const
{
    Resources free = this->free;
    if (need.fitsIn(free))
        return this->freeFrom;
    for (auto const& release : this->releases) {
        free += release.resources;
        if (need.fitsIn(free))
            return release.after;
    }
    return std::nullopt;
}

/// Room that was free before then counts as free from then on only.
void RackOutlook::WorkerRoom::take(Resources const& need, Duration after, Duration runTime)
{
    auto const later = std::find_if(this->releases.begin(), this->releases.end(), [&](Release const& release) { return release.after > after; });
    for (auto release = this->releases.begin(); release != later; release++)
        this->free += release->resources;
    this->releases.erase(this->releases.begin(), later);
    this->free = this->free - need;
    this->freeFrom = after;
    Release const own { after + runTime, need };
    this->releases.insert(std::upper_bound(this->releases.begin(), this->releases.end(), own, endsBefore), own);
}

std::optional<Duration> RackOutlook::takePlace(Resources const& need, Duration runTime)
{
    std::optional<Duration> earliest;
    WorkerRoom* best = nullptr;
    for (auto& worker : this->workers) {
        std::optional<Duration> const until = worker.untilRoomFor(need);
        if (until && (!earliest || *until < *earliest)) {
            earliest = until;
            best = &worker;
        }
    }
    if (best)
        best->take(need, *earliest, runTime);
    return earliest;
}

} // namespace cornelpond
