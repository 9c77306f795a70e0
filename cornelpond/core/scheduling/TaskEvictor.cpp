#include "cornelpond/core/scheduling/TaskEvictor.h"

namespace cornelpond {

TaskEvictor::TaskEvictor(EventSink& events, Dispatcher& dispatch)
    : events(events)
    , dispatch(dispatch)
{
}

void TaskEvictor::evict(WorkerView& worker, PlacedAttempt& attempt, char const* reason)
{
    this->events.emit(Event(EventId::EvictionRequested)
                          .with("task", attempt.task.text())
                          .with("attempt", attempt.number)
                          .with("worker", worker.profile.id)
                          .with("image", attempt.stage->image)
                          .with("tailPercent", static_cast<int>(worker.tailRatio * 100))
                          .with("reason", reason));
    this->evictions++;
    this->dispatch.stop(worker, attempt);
}

PlacementRequest TaskEvictor::requestToMove(WorkerView const& worker, PlacedAttempt const& attempt)
{
    PlacementRequest request;
    request.task = attempt.task;
    request.stage = attempt.stage;
    request.image = attempt.image;
    request.service = worker.profile.service;
    return request;
}

} // namespace cornelpond
