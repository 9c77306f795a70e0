#include "cornelpond/core/scheduling/LocalityControl.h"

#include "cornelpond/core/jobs/StageKey.h"

#include <algorithm>
#include <set>

namespace cornelpond {

namespace {

    /// Where the slowdown elsewhere is not known: multiples of the estimated run time since the job's acceptance.
    constexpr int64_t dataRackWaitFactor = 2;
    constexpr int64_t oneRackWaitFactor = 1;

} // namespace

std::string_view localityOutcomeName(LocalityOutcome outcome)
{
    switch (outcome) {
    case LocalityOutcome::Near:
        return "near";
    case LocalityOutcome::NearAfterWait:
        return "nearAfterWait";
    case LocalityOutcome::Elsewhere:
        return "elsewhere";
    case LocalityOutcome::ElsewhereAfterWait:
        return "elsewhereAfterWait";
    }
    return "near";
}

LocalityControl::LocalityControl(Clock const& clock, EventSink& events, std::map<WorkerId, WorkerView> const& workers, DispatchTimes const& times, std::optional<double> slowdownElsewhere)
    : clock(clock)
    , events(events)
    , workers(workers)
    , times(times)
    , slowdownElsewhere(slowdownElsewhere)
{
}

void LocalityControl::beginPass()
{
    this->outlooks.clear();
}

RackOutlook& LocalityControl::outlookOf(ServiceId const& service, RackId const& rack)
{
    auto const known = this->outlooks.find({ service, rack });
    if (known != this->outlooks.end())
        return known->second;
    TimePoint const now = this->clock.now();
    std::vector<WorkerView const*> ofRack;
    for (auto const& [id, worker] : this->workers) {
        if (worker.profile.service == service && worker.profile.rack == rack && worker.canTakeTasks(now, this->times))
            ofRack.push_back(&worker);
    }
    return this->outlooks.emplace(std::make_pair(service, rack), RackOutlook(ofRack, now)).first->second;
}

bool LocalityControl::shouldWaitForDataRack(PlacementRequest const& request, TimePoint acceptedAt)
{
    RackOutlook& outlook = this->outlookOf(request.service, request.stage->dataRack);
    if (outlook.empty())
        return false;
    if (!this->slowdownElsewhere)
        return this->clock.now() - acceptedAt <= request.stage->estimatedRunTime * dataRackWaitFactor;
    // The cores of best-effort tasks are not reserved, so that no end of a task tells when there is room for one.
    if (request.stage->isBestEffort)
        return this->decide(request, std::nullopt);
    std::optional<Duration> const untilRoom = outlook.takePlace(request.stage->need, request.stage->estimatedRunTime);
    return untilRoom && this->decide(request, untilRoom);
}

bool LocalityControl::shouldWaitForOneRack(PlacementRequest const& request, TimePoint acceptedAt)
{
    if (!this->slowdownElsewhere)
        return this->clock.now() - acceptedAt < request.stage->estimatedRunTime * oneRackWaitFactor;
    std::optional<Duration> const untilRoom = this->untilRoomForGang(request);
    return untilRoom && this->decide(request, untilRoom);
}

/// Until some rack has room for all members; unset if none is expected to.
std::optional<Duration> LocalityControl::untilRoomForGang(PlacementRequest const& request)
{
    std::set<RackId> racks;
    for (auto const& [id, worker] : this->workers) {
        if (worker.profile.service == request.service)
            racks.insert(worker.profile.rack);
    }
    std::optional<Duration> earliest;
    RackOutlook* best = nullptr;
    std::optional<RackOutlook> bestAfterwards;
    for (auto const& rack : racks) {
        RackOutlook& present = this->outlookOf(request.service, rack);
        RackOutlook outlook = present;
        std::optional<Duration> last = Duration();
        for (uint32_t member = 0; last && member < request.stage->taskCount; member++)
            last = outlook.takePlace(request.stage->need, request.stage->estimatedRunTime);
        if (!last || (earliest && *last >= *earliest))
            continue;
        earliest = last;
        best = &present;
        bestAfterwards = std::move(outlook);
    }
    if (best)
        *best = std::move(*bestAfterwards);
    return earliest;
}

bool LocalityControl::decide(PlacementRequest const& request, std::optional<Duration> untilRoom)
{
    auto const [known, isNew] = this->waitingSince.try_emplace(stageKey(request.task), Wait { this->clock.now(), false });
    Wait& wait = known->second;
    LocalityInputs const inputs { request.stage->estimatedRunTime, *this->slowdownElsewhere, untilRoom, this->clock.now() - wait.since };
    bool const isWaiting = shouldWaitForRack(inputs);
    if (isNew || isWaiting != wait.isWaiting) {
        this->events.emit(Event(EventId::LocalityDecided)
                              .with("task", request.task.text())
                              .with("rack", request.stage->dataRack)
                              .with("waits", static_cast<int>(isWaiting))
                              .with("waitedMs", inputs.waited)
                              .with("untilRoomMs", untilRoom ? untilRoom->toMilliseconds() : -1)
                              .with("costElsewhereMs", costOfRunningElsewhere(inputs)));
    }
    wait.isWaiting = isWaiting;
    return isWaiting;
}

void LocalityControl::onTaskStarted(PlacementRequest const& request, WorkerView const& worker)
{
    if (!request.stage->dataRack.empty())
        this->onStart(request, worker.profile.rack == request.stage->dataRack);
}

void LocalityControl::onGangStarted(PlacementRequest const& request, bool isOnOneRack)
{
    if (request.stage->prefersOneRack)
        this->onStart(request, isOnOneRack);
}

void LocalityControl::onStart(PlacementRequest const& request, bool isNear)
{
    auto const wait = this->waitingSince.find(stageKey(request.task));
    Duration const waited = wait == this->waitingSince.end() ? Duration() : this->clock.now() - wait->second.since;
    bool const hasWaited = waited > Duration();
    LocalityOutcome const afterWait = isNear ? LocalityOutcome::NearAfterWait : LocalityOutcome::ElsewhereAfterWait;
    LocalityOutcome const atOnce = isNear ? LocalityOutcome::Near : LocalityOutcome::Elsewhere;
    LocalityOutcome const outcome = hasWaited ? afterWait : atOnce;
    this->totals.starts[outcome]++;
    if (hasWaited)
        this->totals.waits[outcome].observe(waited);
}

void LocalityControl::forgetJob(JobId const& job)
{
    this->waitingSince.erase(this->waitingSince.lower_bound({ job, 0, 0, 0 }), this->waitingSince.lower_bound({ job, UINT32_MAX, 0, 0 }));
}

} // namespace cornelpond
