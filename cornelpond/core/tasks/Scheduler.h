#pragma once

// The leader's duty for one data centre's tasks: accepts work, places it, renews leases and ends
// attempts. Every decision is proposed to the group's log and acts only once it is committed; a
// commit may come later, or its outcome stay unknown when leadership is lost.
//
// Example:
//   Scheduler scheduler(clock, events, log, LeaseTimes(), { push, policy, externalReservations });
//   scheduler.submit(spec, [](TaskResult const& result) { ... });
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

/// The answer to a submission, cancellation or drain.
struct OperationResult {
    ResultCode code = ResultCode::Ok;
    std::string message;
};

/// What `explain` shows.
struct TaskExplanation {
    std::string reason; ///< Why it is here or why it waits.
};

/// What the scheduler asks of its surroundings. Empty functions stand for "nothing".
struct SchedulerHooks {
    /// Sends commands to a worker ahead of its next announcement; may lose them.
    std::function<void(LeasedWorker const& worker, AnnouncementAnswer const& commands)> push;
    /// The configuration in force.
    std::function<Policy const&()> policy;
    /// What backend servers that cornelpond did not start hold on their workers.
    std::function<std::unordered_map<WorkerId, Resources>()> externalReservations;
};

class Scheduler {
public:
    using OperationDone = std::function<void(OperationResult const&)>;

    /// All references must outlive the scheduler.
    Scheduler(Clock const& clock, EventSink& events, CommandLog& log, LeaseTimes times, SchedulerHooks hooks);

    /// Answered after the commit. The same spec again is Ok; another spec under the same id is
    /// IdConflict; an id whose ended task was removed is IdRetired.
    void submit(TaskSpec const& spec, OperationDone done);

    /// Ok once the cancel is on record: a queued task has ended, a running attempt is being stopped.
    void cancel(TaskId const& id, OperationDone done);

    /// Cancels all tasks whose labels match, by one command. `done` gets the count in its message.
    void cancelMatching(Selector const& selector, OperationDone done);

    /// Throws Error(NotLeader) or Error(StaleEpoch).
    AnnouncementAnswer onAnnouncement(WorkerAnnouncement const& announcement);

    /// A worker that is drained gets nothing new; what runs there goes on. Holds over a leader change.
    void setDrained(WorkerId const& worker, bool drained, OperationDone done);

    /// Expires leases, places queued tasks, keeps the services' replicas and removes old records.
    void onTick();

    /// The configuration changed: queued tasks get their priorities anew.
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
    /// What the leader knows of a running attempt's progress.
    struct AttemptProgress {
        TimePoint firstReportedAt;
        TimePoint checkpointReportedAt;
        CheckpointId checkpoint; ///< The latest one reported.
    };

    // Committed state to soft state.
    void apply(TaskCommand const& command);
    void onTaskChanged(TaskId const& id, WorkerId const& workerBefore);
    void onAttemptEnded(EndAttempt const& command, WorkerId const& worker);
    void rebuildQueue();
    void removeCancelledFromQueue();
    void enqueue(Task const& task);

    // Announcements.
    void processReportedAttempts(WorkerAnnouncement const& announcement, TaskCommandBatch& proposals, std::vector<WorkerCommand>& commands);
    void processRunningAttempt(ReportedAttempt const& held, Task const& task, WorkerAnnouncement const& announcement, TaskCommandBatch& proposals, std::vector<WorkerCommand>& commands);
    void processMissingAttempts(WorkerAnnouncement const& announcement, TaskCommandBatch& proposals, std::vector<WorkerCommand>& commands);
    void processUnconfirmedAttempt(Task const& task, WorkerAnnouncement const& announcement, TaskCommandBatch& proposals, std::vector<WorkerCommand>& commands);
    void recordProgress(ReportedAttempt const& held);

    // Periodic duties.
    void expireWorkers();
    void endLostAttempts(WorkerId const& worker);
    void refreshSoftState();
    void removeEndedTasks();
    void reconcileReplicas();

    // Placement.
    void runPlacementPass();
    OfferResult tryToPlace(TaskId const& id, TaskCommandBatch& starts, TaskCommandBatch& evictions);
    bool tryToPreempt(Task const& task, TaskCommandBatch& evictions);
    PreemptionCandidate preemptionCandidate(WorkerCandidate const& candidate) const;
    /// Committed and proposed starts.
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
    /// Proposes; a task in the batch is not proposed for again until the outcome is known.
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
    std::multimap<TimePoint, TaskId> backingOff; ///< Failed tasks by when they may start again.
    std::unordered_map<TaskId, AttemptProgress> attemptProgress;
    std::unordered_map<TaskId, std::string> placementReasons; ///< Why a task is where it is or waits.
    std::unordered_set<TaskId> tasksWithPendingProposal; ///< Proposed for and not yet committed, but for starts.
    size_t pendingStartCount = 0;
    std::unordered_map<AssociationId, Resources> proposedReservations; ///< Of the starts that are proposed.
    uint64_t leadershipGeneration = 0; ///< Rises with each change; outcomes of an earlier one are ignored.
    bool isLeading = false;
    bool isPlacementDue = false; ///< Something changed since the last pass.
    TimePoint leaderSince;
    TimePoint nextRefresh;
    TimePoint nextRemoval;
    TimePoint nextReplicaCheck;
    bool isReplicaChangePending = false;
    uint64_t committedStartCount = 0;
};

} // namespace cornelpond
