#include "cornelpond/core/scheduling/DrainEvacuation.h"

namespace cornelpond {

namespace {

    /// A task that saves a checkpoint when stopped is stopped this long before its worker leaves.
    constexpr Duration evacuationLeadTime = Duration::milliseconds(900);

} // namespace

DrainEvacuation::DrainEvacuation(Clock const& clock, Dispatcher& dispatch, TaskPlacer& placer, WorkerRegistration const& registration, TaskEvictor& evictor)
    : clock(clock)
    , dispatch(dispatch)
    , placer(placer)
    , registration(registration)
    , evictor(evictor)
{
}

void DrainEvacuation::evacuate()
{
    TimePoint const now = this->clock.now();
    this->placer.beginPass(now);
    for (auto& [id, worker] : this->dispatch.workers()) {
        if (!worker.profile.isDraining)
            continue;
        std::optional<TimePoint> const drainEnd = this->registration.drainEnd(id);
        bool const isLeavingSoon = drainEnd && now + evacuationLeadTime >= *drainEnd;
        for (auto& [key, attempt] : worker.placed) {
            if (!attempt.isRunning())
                continue;
            if (attempt.isService()) {
                PlacementRequest request = TaskEvictor::requestToMove(worker, attempt);
                request.isRestart = true;
                if (!this->placer.choose(request, now))
                    continue;
            } else if (!isLeavingSoon || !attempt.stage->savesCheckpoints) {
                continue;
            }
            this->evictor.evict(worker, attempt, "worker drains");
        }
    }
}

} // namespace cornelpond
