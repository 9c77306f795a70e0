#pragma once

// The scheduler of one group: accepts jobs, places their tasks on workers and tracks them until they end.
// Combines the replicated jobs, the ranking of ready stages, placement, orders to workers and recovery.
//
// Example:
//   JobScheduler scheduler(clock, events, jobLog, rosterLog, queues, evacuations, orders, times, limits);
//   scheduler.submit(job, queue, [](SubmitResult const& result) { answer(result); });
//   scheduler.onTick(); // every 10 to 20 ms
//
// Runs on every voter; only the leader places tasks and sends orders. Loop thread only.

#include "cornelpond/core/agreement/CommandLog.h"
#include "cornelpond/core/base/Histogram.h"
#include "cornelpond/core/dispatch/Dispatcher.h"
#include "cornelpond/core/placement/InterferenceModel.h"
#include "cornelpond/core/placement/RoomSummary.h"
#include "cornelpond/core/placement/TaskPlacer.h"
#include "cornelpond/core/queueing/BacklogForecast.h"
#include "cornelpond/core/queueing/JobProgress.h"
#include "cornelpond/core/queueing/RunTimeModel.h"
#include "cornelpond/core/queueing/StageRank.h"
#include "cornelpond/core/scheduling/CallResult.h"
#include "cornelpond/core/scheduling/DataCentreEvacuation.h"
#include "cornelpond/core/scheduling/DrainEvacuation.h"
#include "cornelpond/core/scheduling/ExpectedEnds.h"
#include "cornelpond/core/scheduling/InterferenceControl.h"
#include "cornelpond/core/scheduling/LoadReport.h"
#include "cornelpond/core/scheduling/LocalityControl.h"
#include "cornelpond/core/scheduling/PassPacing.h"
#include "cornelpond/core/scheduling/PermitCache.h"
#include "cornelpond/core/scheduling/SpeculativeCopies.h"
#include "cornelpond/core/scheduling/StepTimes.h"
#include "cornelpond/core/scheduling/TaskEvictor.h"
#include "cornelpond/core/scheduling/WorkerRegistration.h"

namespace cornelpond {

struct JobLimits {
    size_t maxActiveJobs = 5000; ///< Bounds memory; further jobs are refused.
    size_t maxUnsubmittedCancels = 100; ///< Of jobs that are not known: cancels that are being committed at a time; further ones are refused.
    size_t maxStartsPerPass = 200; ///< Bounds the duration of one event loop iteration.
    Duration endedJobRetention = Duration::seconds(180); ///< How long ended jobs can be looked up.
    std::optional<double> slowdownElsewhere; ///< How many times as long tasks run away from their data, and gangs on several racks; unset: not known.
};

struct SubmitResult {
    CallResult result = CallResult::Done;
    Duration retryAfter; ///< With Refused.
};

/// Counted by this host as leader since it was started, for metrics.
struct SchedulerCounters {
    uint64_t startsDecided = 0;
    uint64_t copiesStarted = 0; ///< Second attempts among them.
    uint64_t jobsAccepted = 0;
    uint64_t jobsRefused = 0;
    uint64_t jobsCompleted = 0;
    uint64_t jobsFailed = 0;
    uint64_t jobsCancelled = 0;
    std::map<CallResult, uint64_t> cancelsAnswered;
    std::map<AttemptEnd, uint64_t> attemptEnds;
    std::map<std::pair<size_t, JobOutcome>, uint64_t> jobEnds; ///< By size class and outcome; without service jobs.
    uint64_t passes = 0;
    Histogram passDuration;
    Histogram submitLatency; ///< From the call to the commit.
    Histogram placeLatency; ///< From a job's acceptance to each decision to start one of its tasks.
    Histogram completionLatency; ///< From a job's acceptance to its completion.
};

/// Cancelled jobs of which attempts may still run.
struct CancelledRuns {
    size_t jobs = 0;
    size_t attempts = 0;
    Duration oldest; ///< Longest time since such a job's cancel was decided, by the wall clock.
};

struct JobLookup {
    CallResult result = CallResult::NotFound;
    JobState state = JobState::Active;
    bool hasStarted = false; ///< A worker is known to have begun one of its tasks.
};

class JobScheduler {
public:
    using Done = CallDone;

    /// References must outlive the object; the logs must carry only this object's commands.
    JobScheduler(Clock const& clock, EventSink& events, CommandLog& jobLog, CommandLog& rosterLog, QueueTable const& queues, EvacuationTable const& evacuations, WorkerOrders& orders, DispatchTimes times, JobLimits limits);
    ~JobScheduler();
    JobScheduler(JobScheduler const&) = delete;
    JobScheduler& operator=(JobScheduler const&) = delete;

    // State machine hooks.
    void applyJobCommand(std::string const& command);
    void applyRosterCommand(std::string const& command);
    std::string takeJobSnapshot() const { return this->jobTable.takeSnapshot(); }
    std::string takeRosterSnapshot() const { return this->workerRoster.takeSnapshot(); }
    void restoreJobs(std::string const& state) { this->jobTable.restore(state); }
    void restoreRoster(std::string const& state) { this->workerRoster.restore(state); }
    void onQueuesChanged();
    void onEvacuationsChanged();
    void onLeadership(bool isLeader);

    /// Accepted once committed. Submitting an id that exists already is answered as accepted again. Cancelled for an id that was
    /// cancelled lately and has no record.
    void submit(JobSpec job, QueueSpec const& queue, std::function<void(SubmitResult const&)> done);
    /// Done once committed, or at once for a job that has ended. Also ends a job whose submission is being committed. For a job
    /// that is not known, NotFound once committed: a submission of it that arrives later is not accepted.
    void cancel(JobId const& job, Done answer);
    /// Answers only on the confirmed leader, else NotLeader.
    JobLookup lookUp(JobId const& job) const;
    /// True on the leader for a job that is accepted or being committed, so that a denial of its submission would not be true.
    bool mayBeAccepted(JobId const& job) const { return this->jobTable.find(job) || this->proposedJobs.count(job); }
    /// Sets `count` to the queue's active jobs without a schedule of which no worker is known to have begun a task. NotLeader, with `count`
    /// unchanged, unless this host is the confirmed leader.
    CallResult countPending(QueueId const& queue, size_t& count) const;

    /// The roster of workers, as they announce themselves.
    WorkerRegistration& workerRegistration() { return this->registration; }
    WorkerRegistration const& workerRegistration() const { return this->registration; }

    /// Call every 10 to 20 ms.
    void onTick();

    /// `callback` is called when there is something to decide or to propose before the next tick; the owner then calls `onWork` at
    /// the end of the turn of its loop. Without a callback all waits for the tick.
    void setWorkCallback(std::function<void()> callback) { this->workCallback = std::move(callback); }

    /// Runs a pass if one is called for and the pace of passes allows it, and proposes what has been decided.
    void onWork();

    JobTable const& jobs() const { return this->jobTable; }
    Dispatcher const& dispatcher() const { return this->dispatch; }
    SchedulerCounters const& counters() const { return this->schedulerCounters; }
    StepTimes const& stepTimes() const { return this->steps; }
    uint64_t evictionCount() const { return this->evictor.count(); }
    LocalityCounters const& localityCounters() const { return this->locality.counters(); }
    Histogram const& tickGap() const { return this->loadReport.tickGap(); }
    PermitCache const& permitCache() const { return this->permits; }
    PlacementCounters const& placementCounters() const { return this->placer.counters(); }
    size_t workerCount() const { return this->workerRoster.all().size(); } ///< On followers too.
    size_t activeJobCount() const { return this->activeJobs.size(); }
    /// Accepted jobs of which no worker is known to have begun a task. Zero on a follower.
    size_t pendingJobCount() const;
    /// Accepted jobs that have not ended, by size class; without service jobs. Zeros on a follower.
    std::array<size_t, sizeClassCount> activeJobsBySize() const;
    CancelledRuns cancelledRuns() const;
    /// Tasks that wait for a worker. Empty on a follower.
    WaitingSummary waitingTasks() const;
    WorkerRoster const& roster() const { return this->workerRoster; }
    DataCentreEvacuation const& evacuation() const { return this->dataCentreEvacuation; }
    RoomSummary room() const { return summarizeRoom(this->dispatch.workers(), this->clock.now(), this->times); }

private:
    JobTableHooks tableHooks();
    RosterHooks rosterHooks();
    DispatcherHooks dispatcherHooks();
    template <typename... Arguments>
    std::function<void(Arguments...)> guarded(std::function<void(Arguments...)> reaction);
    void onJobChanged(JobRecord const& job);
    void onStartApplied(CommitStart const& start);
    void onEndApplied(CommitEnd const& end, EndEffect effect);
    void expectJob(SubmitJob const& command, QueueSpec const& queue);
    std::optional<Duration> refusalFor(JobSpec const& job, QueueSpec const& queue) const;
    bool isCancelledWithoutRecord(JobId const& id) const;
    void refuse(JobSpec const& job, QueueSpec const& queue, char const* reason, Duration retryAfter);
    Done withCancelReport(JobId const& id, JobRecord const* job, Done answer);
    void observeRunTime(CommitEnd const& end);
    void noteServiceTaskEnd(TaskRef const& task);
    void stopRestOfGang(CommitEnd const& end);
    void noteBegun(CommitStart const& seen, char const* source);
    bool hasBegun(JobRecord const& job) const;
    void addPendingMarks();
    void noteReadyStages(JobRecord const& job, std::optional<TimePoint> listedAt);

    /// What only the leader keeps of a job that has not ended.
    struct ActiveJob {
        JobRecord const* record = nullptr; ///< Valid while the job is active; before that, of the job as JobTable expects it.
        bool isBestEffort = false; ///< All its stages are.
        bool allowsCopies = false; ///< One of its stages does.
        bool hasBegun = false; ///< A worker was seen to run one of its tasks.
        JobObjective objective;
        JobProgress progress;
    };

    ActiveJob& activeJob(JobRecord const& job);
    bool isPending(ActiveJob const& active) const;
    JobObjective const& objectiveFor(JobRecord const& job) { return this->activeJob(job).objective; }
    void reportEnd(JobRecord const& job);

    void runPass();
    /// Without `isFull`, only of jobs that have other than best-effort stages.
    std::vector<ReadyStage> collectReadyStages(TimePoint now, bool isFull) const;
    void collectReadyStagesOf(JobRecord const& job, JobObjective const& objective, TimePoint now, std::vector<ReadyStage>& ready) const;
    StagePlacement placeStage(ReadyStage const& ready, TimePoint now);
    bool hasWaitedLong(TaskRef const& task, TimePoint now) const;
    int64_t waitingRestartMilliCores() const;
    void updateShortTaskNeeds();
    void updateIdleWindows();
    StagePlacement placeGang(ReadyStage const& ready, PlacementRequest request, TimePoint now);
    bool chooseGangWorkers(ReadyStage const& ready, PlacementRequest const& request, TimePoint now, std::vector<CommitStart>& placed);
    bool startThrottled(ReadyStage const& ready, PlacementRequest request, TimePoint now);
    void moveThrottledTasks();
    void startCopies(size_t most, TimePoint now);
    /// False when no worker has room for it.
    bool startCopy(JobRecord const& job, CopyCandidate const& candidate, TimePoint now);
    PlacementRequest requestFor(ReadyStage const& ready);
    StagePlacement placeTasks(ReadyStage const& ready, PlacementRequest request, TimePoint now);
    /// Whether starts of the queue's jobs need permits, and how these are asked for; null when they need none.
    PermitSpec const* requiredPermits(QueueId const& queue) const;
    /// Restricts the request to workers with a permit where the queue requires that. False when there are none.
    bool applyPermits(QueueId const& queue, PlacementRequest& request);
    bool mayRunOnDataRack(PlacementRequest const& request) const;
    PermitNeed permitNeedOf(TaskRef const& stage);
    bool hasUnplacedTask(JobRecord const& job, TaskRef const& stage) const;
    void decideStart(WorkerView& worker, CommitStart const& start, ReadyStage const& ready, TimePoint now, std::optional<unsigned> startSpeedPercent = std::nullopt);
    void openDueOccurrences();
    void forgetEndedJobs();
    void runPassWhenDue(bool isTick);
    void proposeUpdates();
    void callForPass();
    void callForWork();
    void addUpdate(TaskUpdate update);
    void addEnd(CommitEnd const& end);

    Clock const& clock;
    EventSink& events;
    CommandLog& jobLog;
    QueueTable const& queues;
    DispatchTimes times;
    JobLimits limits;
    JobTable jobTable;
    WorkerRoster workerRoster;
    PermitCache permits;
    Dispatcher dispatch;
    InterferenceModel interference;
    CpuUsageModel cpuUsage;
    RunTimeModel runTimes;
    BacklogForecast backlog;
    TaskPlacer placer;
    TaskEvictor evictor;
    InterferenceControl interferenceControl;
    WorkerRegistration registration;
    LocalityControl locality;
    SpeculativeCopies copies;
    LoadReport loadReport;
    StepTimes steps;
    DrainEvacuation drainEvacuation;
    DataCentreEvacuation dataCentreEvacuation;

    std::map<JobId, ActiveJob> activeJobs; ///< Kept on the leader only.
    std::map<TaskRef, TimePoint> waitingSince; ///< Best-effort stages that found no room, by their first task.
    std::map<TaskRef, TimePoint> serviceTaskEnds; ///< When the last attempt of a waiting service task ended. Under an earlier leader: not listed.
    std::set<TaskRef> proposedTasks; ///< Tasks whose start is being committed.
    std::multiset<JobId> proposedJobs; ///< Jobs that are being committed. A refusal of such an id might not be true.
    std::multiset<JobId> proposedCancels; ///< Jobs whose cancel is being committed: no start of theirs is sent any more.
    std::multiset<JobId> proposedUnsubmittedCancels; ///< Jobs that were not known when their cancel was proposed.
    ExpectedEnds expectedEnds;
    std::vector<TaskUpdate> pendingUpdates; ///< To be proposed with the next batch.
    std::vector<MarkBegun> pendingMarks; ///< To be proposed with other updates, or at the next slow check.
    std::function<void()> workCallback;
    bool isWorkCalledFor = false; ///< `workCallback` was called, and `onWork` has not been called since.
    bool isPassNeeded = false; ///< Something changed, so that waiting tasks may find a worker.
    TimePoint nextPass;
    PassPacing pacing;
    TimePoint startsAllowedFrom; ///< Of a new leader.
    TimePoint nextSlowCheck;
    bool hasLackedWorker = false; ///< A task found no worker since the room was last reported.
    TimePoint nextRoomReport;
    TimePoint nextIdleWindow;

    SchedulerCounters schedulerCounters;
};

} // namespace cornelpond
