#pragma once

// The leader's scheduler for the tasks of one data centre: accepts tasks, places them on workers, renews
// the workers' leases and ends attempts. Every change of a task is proposed to the group's log and takes
// effect only once it is committed. A commit may come late; when leadership is lost first, the outcome
// of the proposal stays unknown.
//
// Example:
//   Scheduler scheduler(clock, events, log, LeaseTimes(), { push, policy, externalReservations });
//   scheduler.submit(spec, [](OperationResult const& result) { ... });
//   AnnouncementAnswer const answer = scheduler.onAnnouncement(announcement);
//   scheduler.onTick(); // about every 20 ms
//
// Loop thread only.

#include "cornelpond/core/agreement/CommandLog.h"
#include "cornelpond/core/config/Policy.h"
#include "cornelpond/core/lease/AttemptTracker.h"
#include "cornelpond/core/lease/WorkerTable.h"
#include "cornelpond/core/placement/Preemption.h"
#include "cornelpond/core/placement/WorkerHealth.h"
#include "cornelpond/core/tasks/PlacementState.h"
#include "cornelpond/core/tasks/TaskQueue.h"
#include "cornelpond/core/tasks/TaskTable.h"
#include "cornelpond/ports/Clock.h"
#include "cornelpond/ports/EventSink.h"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace cornelpond {

/// The outcome of a submission, cancellation or drain.
struct OperationResult {
    ResultCode code = ResultCode::Ok;
    std::string message;
};

/// The answer to an operator's `explain` request.
struct TaskExplanation {
    std::string reason; ///< Why the task runs on its worker, or why it waits.
};

/// Callbacks into the host. Each may be empty: then nothing is pushed, the default policy applies, and
/// no resources are reserved for other backend servers.
struct SchedulerHooks {
    /// Sends commands to a worker ahead of its next announcement. Delivery is not guaranteed.
    std::function<void(LeasedWorker const& worker, AnnouncementAnswer const& commands)> push;
    /// The configuration in force.
    std::function<Policy const&()> policy;
    /// The resources that backend servers not started by cornelpond use on their workers.
    std::function<std::unordered_map<WorkerId, Resources>()> externalReservations;
};

class Scheduler {
public:
    using OperationDone = std::function<void(OperationResult const&)>;

    /// All references must outlive the scheduler.
    Scheduler(Clock const& clock, EventSink& events, CommandLog& log, LeaseTimes times, SchedulerHooks hooks);

    /// Calls `done` after the commit. Submitting the same spec again is Ok; a different spec with the
    /// same id is IdConflict; the id of an ended task whose record was removed is IdRetired.
    void submit(TaskSpec const& spec, OperationDone done);

    /// Ok once the cancellation is committed: a queued task has ended, a running attempt is being stopped.
    void cancel(TaskId const& id, OperationDone done);

    /// Cancels all tasks whose labels match, with one command. The result's message holds their number.
    void cancelMatching(Selector const& selector, OperationDone done);

    /// Renews the worker's lease and returns the commands for it. Throws Error(NotLeader) unless this
    /// host is the confirmed leader, and Error(StaleEpoch) for an announcement that is not newer than
    /// the last one of the same worker process.
    AnnouncementAnswer onAnnouncement(WorkerAnnouncement const& announcement);

    /// A drained worker gets no new tasks; attempts that run there continue. Survives a change of leader.
    void setDrained(WorkerId const& worker, bool drained, OperationDone done);

    /// Expires leases, places queued tasks, submits and cancels service replicas and removes old records.
    /// Does nothing unless this host is the confirmed leader.
    void onTick();

    /// Call when the configuration has changed: updates the priorities of the queued tasks.
    void onPolicyChanged();

    TaskExplanation explain(Task const& task);

    TaskTable const& table() const { return this->tasks; }
    WorkerTable const& workerTable() const { return this->workers; }
    uint64_t startsCommitted() const { return this->committedStartCount; }

    // Called by the log.
    void applyCommand(std::string const& command);
    std::string takeSnapshot() const { return this->tasks.takeSnapshot(); }
    void restore(std::string const& state);
    void onLeadership(bool isLeader);

private:
    /// The progress of a running attempt, as reported to this leader.
    struct AttemptProgress {
        TimePoint firstReportedAt;
        TimePoint checkpointReportedAt; ///< When `checkpoint` was first reported.
        CheckpointId checkpoint; ///< The latest one reported; empty before the first.
    };

    // Applying committed commands, and the updates of soft state that follow.
    void apply(TaskCommand const& command);
    void onTaskChanged(TaskId const& id, WorkerId const& workerBefore);
    void onAttemptEnded(EndAttempt const& command, WorkerId const& worker);
    void rebuildQueue();
    void removeCancelledFromQueue();
    void enqueue(Task const& task);

    // Announcements.
    void processReportedAttempts(WorkerAnnouncement const& announcement, TaskCommandBatch& proposals, std::vector<WorkerCommand>& commands);
    void processRunningAttempt(ReportedAttempt const& reported, Task const& task, WorkerAnnouncement const& announcement, TaskCommandBatch& proposals, std::vector<WorkerCommand>& commands);
    void processMissingAttempts(WorkerAnnouncement const& announcement, TaskCommandBatch& proposals, std::vector<WorkerCommand>& commands);
    void processUnconfirmedAttempt(Task const& task, WorkerAnnouncement const& announcement, TaskCommandBatch& proposals, std::vector<WorkerCommand>& commands);
    void recordProgress(ReportedAttempt const& reported);

    // Periodic work.
    void expireWorkers();
    void endLostAttempts(WorkerId const& worker);
    void refreshSoftState();
    void removeEndedTasks();
    void reconcileReplicas();

    // Placement.
    void runPlacementPass();
    OfferResult tryToPlace(TaskId const& id, TaskCommandBatch& starts, TaskCommandBatch& evictions);
    bool tryToPreempt(Task const& task, TaskCommandBatch& evictions);
    PreemptionCandidate preemptionCandidate(WorkerCandidate const& worker) const;
    /// Resources reserved by the association's committed and proposed starts.
    Resources reservedIncludingProposed(AssociationId const& association) const;
    std::string quotaReason(Task const& task) const;
    double weightedShareOf(AssociationId const& association) const;
    bool isBatchBelowFloor() const;
    void recordWaitReason(TaskId const& id, Placement const& placement);
    void proposeStarts(TaskCommandBatch starts);
    void onStartsCommitted(TaskCommandBatch const& starts);
    void onEvictionsCommitted(TaskCommandBatch const& evictions);

    WorkerCommand makeStartCommand(Task const& task) const;
    WorkerCommand makeWorkerCommand(WorkerCommandKind kind, TaskId const& task, AttemptNumber attempt) const;
    EndAttempt makeEndAttempt(Task const& task, AttemptOutcome outcome) const;
    /// Proposes the commands. Until the outcome is known, no further confirmation, eviction or end is
    /// proposed for their tasks.
    void proposeAndMarkPending(TaskCommandBatch const& commands);
    void propose(TaskCommandBatch const& commands, std::function<void(ResultCode)> done);
    void pushCommands(std::map<WorkerId, std::vector<WorkerCommand>> const& commands);
    Policy const& policy() const;

    Clock const& clock;
    EventSink& events;
    CommandLog& log;
    SchedulerHooks hooks;
    TaskTable tasks;

    // Soft state of the leader.
    WorkerTable workers;
    WorkerHealth health;
    PlacementState placementState;
    AttemptTracker tracker;
    TaskQueue queue;
    std::multimap<TimePoint, TaskId> backingOff; ///< Failed tasks by the time when they may be placed again.
    std::unordered_map<TaskId, AttemptProgress> attemptProgress;
    std::unordered_map<TaskId, std::string> placementReasons; ///< Why each task runs on its worker or waits.
    std::unordered_set<TaskId> tasksWithPendingProposal; ///< A confirmation, eviction or end is proposed and its outcome not yet known.
    size_t pendingStartCount = 0;
    std::unordered_map<AssociationId, Resources> proposedReservations; ///< Resources of the proposed starts.
    uint64_t leadershipGeneration = 0; ///< Rises with each leadership change; outcomes of proposals from before are ignored.
    bool isLeading = false;
    bool isPlacementDue = false; ///< Something that affects placement changed since the last pass.
    TimePoint leaderSince;
    TimePoint nextRefresh;
    TimePoint nextRemoval;
    TimePoint nextReplicaCheck;
    bool isReplicaChangePending = false;
    uint64_t committedStartCount = 0;
};

} // namespace cornelpond
