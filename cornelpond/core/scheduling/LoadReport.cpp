#include "cornelpond/core/scheduling/LoadReport.h"

#include <algorithm>
#include <utility>

namespace cornelpond {

namespace {

    constexpr Duration reportInterval = Duration::seconds(1);
    constexpr Duration lateTickGap = Duration::milliseconds(60); ///< Three ticks.

} // namespace

LoadReport::LoadReport(EventSink& events)
    : events(events)
{
}

void LoadReport::onPass(Duration lasted)
{
    this->window.maxPass = std::max(this->window.maxPass, lasted);
}

bool LoadReport::onTick(TimePoint now)
{
    if (this->lastTickAt) {
        Duration const gap = now - *this->lastTickAt;
        this->tickGaps.observe(gap);
        this->window.maxTickGap = std::max(this->window.maxTickGap, gap);
    }
    this->lastTickAt = now;
    return now - this->window.startedAt >= reportInterval;
}

void LoadReport::emit(TimePoint now, SchedulerLoad const& load)
{
    Window const ended = std::exchange(this->window, Window { now, load, Duration(), Duration() });
    if (!load.waiting.count() && ended.maxTickGap < lateTickGap)
        return;
    this->events.emit(Event(EventId::LoadReported)
                          .with("lastedMs", now - ended.startedAt)
                          .with("passes", load.passes - ended.atStart.passes)
                          .with("starts", load.starts - ended.atStart.starts)
                          .with("workersExamined", load.workersExamined - ended.atStart.workersExamined)
                          .with("maxTickGapMs", ended.maxTickGap)
                          .with("maxPassMs", ended.maxPass)
                          .with("activeJobs", load.activeJobs)
                          .with("shortTasks", load.waiting.shortTasks.count)
                          .with("oldestShortMs", load.waiting.shortTasks.oldest)
                          .with("bestEffortTasks", load.waiting.bestEffort.count)
                          .with("oldestBestEffortMs", load.waiting.bestEffort.oldest)
                          .with("serviceTasks", load.waiting.service.count)
                          .with("oldestServiceMs", load.waiting.service.oldest));
}

void LoadReport::emitRoom(RoomSummary const& room, int64_t waitingMilliCores)
{
    this->events.emit(Event(EventId::RoomReported)
                          .with("workers", room.workerCount)
                          .with("capacityMilliCores", room.capacityMilliCores)
                          .with("reservedMilliCores", room.reservedMilliCores)
                          .with("serviceMilliCores", room.serviceMilliCores)
                          .with("waitingRestartMilliCores", waitingMilliCores)
                          .with("places1", room.freePlaces[0])
                          .with("places2", room.freePlaces[1])
                          .with("places4", room.freePlaces[2])
                          .with("places8", room.freePlaces[3])
                          .with("placesBesideServices1", room.placesBesideServices[0])
                          .with("placesBesideServices2", room.placesBesideServices[1])
                          .with("placesBesideServices4", room.placesBesideServices[2])
                          .with("placesBesideServices8", room.placesBesideServices[3]));
}

} // namespace cornelpond
