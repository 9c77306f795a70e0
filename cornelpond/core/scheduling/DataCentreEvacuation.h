#pragma once

// Keeps the leader's placement out of evacuated data centres and moves the tasks that run there, as EvacuationPlan decides.
//
// Example:
//   DataCentreEvacuation evacuation(clock, events, evacuations, jobs, dispatcher, placer, evictor);
//   evacuation.markWorkers(); // before each pass, and when the evacuations change
//   evacuation.moveTasks(); // a few times a second, outside of passes
//
// Keeps only what the leader of the moment needs: another leader knows the evacuations from the replicated state and the tasks that
// are left from the workers' listings. Loop thread only.

#include "cornelpond/core/dispatch/Dispatcher.h"
#include "cornelpond/core/evacuation/EvacuationPlan.h"
#include "cornelpond/core/evacuation/EvacuationTable.h"
#include "cornelpond/core/placement/TaskPlacer.h"
#include "cornelpond/core/scheduling/TaskEvictor.h"

#include <map>
#include <set>

namespace cornelpond {

/// Of one evacuated data centre.
struct EvacuationProgress {
    Duration age; ///< Since its start was proposed, by the wall clock.
    size_t service = 0; ///< Tasks left there, by class.
    size_t bestEffort = 0;
    size_t shortTasks = 0;

    size_t tasksLeft() const { return this->service + this->bestEffort + this->shortTasks; }
};

/// Active jobs of which tasks wait for workers that only evacuated data centres have.
struct JobsWithoutWorkers {
    size_t count = 0;
    JobId example;
    std::string label; ///< That the example's tasks require; empty: none.
};

class DataCentreEvacuation {
public:
    /// References must outlive the object.
    DataCentreEvacuation(Clock const& clock, EventSink& events, EvacuationTable const& evacuations, JobTable const& jobs, Dispatcher& dispatch, TaskPlacer& placer, TaskEvictor& evictor);

    /// Updates which workers may take tasks.
    void markWorkers();

    /// Whether a committed start may still be sent to the worker; logs each that may not.
    bool mayStart(WorkerProfile const& worker, TaskRef const& task, AttemptNumber attempt);

    /// To be called when a task found no worker. Moves wait until that is some time ago: room that others wait for is not free.
    void noteLackOfRoom(StageSpec const& stage, TimePoint now);

    void moveTasks();

    /// Logs what is left, every two seconds for each evacuated data centre.
    void reportProgress();

    /// Empty on a follower for classes of tasks, which only the leader knows.
    std::map<DataCentreId, EvacuationProgress> progress() const;
    JobsWithoutWorkers jobsWithoutWorkers() const;

    /// To be called when the leadership changes.
    void clear();

private:
    void addCandidates(WorkerView& worker);
    size_t unavailableTasks(TaskRef const& task) const;
    bool isAtWork(TaskRef const& task, TaskRecord const& record) const;
    bool takeRoom(size_t index);
    EvacuationMoves movesInProgress();
    bool isBeingMoved(TaskRef const& task) const;

    Clock const& clock;
    EventSink& events;
    EvacuationTable const& evacuations;
    JobTable const& jobs;
    Dispatcher& dispatch;
    TaskPlacer& placer;
    TaskEvictor& evictor;
    EvacuationPlan plan;
    bool hasMarks = false; ///< Some worker is marked as evacuated.
    std::map<TaskRef, bool> moved; ///< Tasks that were stopped here and do not run elsewhere yet; true: of a service.
    TimePoint lackedRoomAt = TimePoint::distantPast();
    TimePoint nextReport;

    // Of one call of moveTasks:
    std::vector<EvacuationCandidate> candidates;
    std::vector<std::pair<WorkerView*, PlacedAttempt*>> attempts; ///< Of the candidates.
    std::map<TaskRef, size_t> stageNumbers; ///< By the first task of the stage.
    std::vector<std::pair<WorkerView*, AttemptKey>> takenRoom;
};

} // namespace cornelpond
