#pragma once

// The scheduler of one group: accepts jobs, places their tasks on workers and tracks them until they end.
// Combines the replicated jobs, the ranking of ready stages, placement, orders to workers and recovery.
//
// Example:
//   JobScheduler scheduler(clock, events, jobLog, rosterLog, queues, orders, times, limits);
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
#include "cornelpond/core/scheduling/PassPacing.h"
#include "cornelpond/core/scheduling/PermitCache.h"

namespace cornelpond {

struct JobLimits {
    size_t maxActiveJobs = 5000; ///< Bounds memory; further jobs are refused.
    size_t maxUnsubmittedCancels = 100; ///< Of jobs that are not known: cancels that are being committed at a time; further ones are refused.
    size_t maxStartsPerPass = 200; ///< Bounds the duration of one event loop iteration.
    Duration endedJobRetention = Duration::seconds(180); ///< How long ended jobs can be looked up.
};

/// Outcome of a call that changes state, or of a lookup.
enum class CallResult {
    Done,
    NotLeader, ///< Nothing was changed; ask the leader.
    Refused, ///< Nothing was changed; the call is not carried out later either.
    OutcomeUnknown, ///< It may have been carried out; send it again.
    NotFound,
    Cancelled, ///< Of a submission: the job was cancelled before it arrived, and will not run.
};

/// Name for logs and metrics, such as "notLeader".
std::string_view callResultName(CallResult result);

struct SubmitResult {
    CallResult result = CallResult::Done;
    Duration retryAfter; ///< With Refused.
};

/// Counted by this host as leader since it was started, for metrics.
struct SchedulerCounters {
    uint64_t startsDecided = 0;
    uint64_t jobsAccepted = 0;
    uint64_t jobsRefused = 0;
    uint64_t jobsCompleted = 0;
    uint64_t jobsFailed = 0;
    uint64_t jobsCancelled = 0;
    uint64_t evictions = 0;
    std::map<CallResult, uint64_t> cancelsAnswered;
    std::map<AttemptEnd, uint64_t> attemptEnds;
    std::map<std::pair<size_t, JobOutcome>, uint64_t> jobEnds; ///< By size class and outcome; without service jobs.
    uint64_t passes = 0;
    Histogram passDuration;
    Histogram tickGap; ///< Between two ticks: a busy event loop runs them late.
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

/// A worker's announcement of itself.
struct WorkerReport {
    WorkerProfile profile;
    uint64_t sequence = 0; ///< Rises within one incarnation of the worker.
    Duration drainRemaining; ///< Minimum time until a draining worker leaves.
};

/// A worker's announcement that it ends.
struct WorkerDeparture {
    WorkerId worker;
    int64_t bornMs = 0; ///< Of the incarnation that ends, as in WorkerProfile; 0: not given.
};

struct JobLookup {
    CallResult result = CallResult::NotFound;
    JobState state = JobState::Active;
    bool hasStarted = false;
};

class JobScheduler {
public:
    using Done = std::function<void(CallResult)>;

    /// References must outlive the object; the logs must carry only this object's commands.
    JobScheduler(Clock const& clock, EventSink& events, CommandLog& jobLog, CommandLog& rosterLog, QueueTable const& queues, WorkerOrders& orders, DispatchTimes times, JobLimits limits);
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
    /// Sets `count` to the queue's active jobs without a schedule of which no task has started. NotLeader, with `count`
    /// unchanged, unless this host is the confirmed leader.
    CallResult countPending(QueueId const& queue, size_t& count) const;

    /// Done once the announcement may be acknowledged to the worker: its profile is committed, or it is stale.
    /// Refused where the configuration has no such service, unless the worker has been accepted for it before: jobs of a
    /// removed service may still run there.
    void announce(WorkerReport const& announcement, Done done);

    /// True when the worker is not draining and the replicated state already holds exactly its profile, so that
    /// the announcement need not go to the leader. Valid on any host.
    bool isAlreadyRecorded(WorkerReport const& announcement) const;

    /// Removes a worker that is shutting down, unless a later incarnation than the given one is known or tasks are placed there:
    /// the announcement may be late, and its sender runs on until it has an answer. With tasks, the worker drains, if the
    /// announcement is certain to be its own; the tasks end as listed or with its lease, and it is removed as a silent worker.
    void deregisterWorker(WorkerDeparture const& departure, Done done);

    /// Call every 10 to 20 ms.
    void onTick();

    JobTable const& jobs() const { return this->jobTable; }
    Dispatcher const& dispatcher() const { return this->dispatch; }
    SchedulerCounters const& counters() const { return this->schedulerCounters; }
    PlacementCounters const& placementCounters() const { return this->placer.counters(); }
    size_t workerCount() const { return this->workerRoster.all().size(); } ///< On followers too.
    size_t activeJobCount() const { return this->activeJobs.size(); }
    /// Accepted jobs that have not ended, by size class; without service jobs. Zeros on a follower.
    std::array<size_t, sizeClassCount> activeJobsBySize() const;
    CancelledRuns cancelledRuns() const;
    /// Tasks that wait for a worker. Empty on a follower.
    WaitingSummary waitingTasks() const;
    RoomSummary room() const { return summarizeRoom(this->dispatch.workers(), this->clock.now(), this->times); }

private:
    JobTableHooks tableHooks();
    RosterHooks rosterHooks();
    DispatcherHooks dispatcherHooks();
    void onJobChanged(JobRecord const& job);
    void onStartApplied(CommitStart const& start);
    void onEndApplied(CommitEnd const& end);
    std::optional<Duration> refusalFor(JobSpec const& job, QueueSpec const& queue) const;
    bool isCancelledWithoutRecord(JobId const& id) const;
    void refuse(JobSpec const& job, QueueSpec const& queue, char const* reason, Duration retryAfter);
    Done withCancelReport(JobId const& id, JobRecord const* job, Done answer);
    void observeRunTime(CommitEnd const& end);
    void noteServiceTaskEnd(TaskRef const& task);
    void stopRestOfGang(CommitEnd const& end);

    /// What only the leader keeps of a job that has not ended.
    struct ActiveJob {
        JobRecord const* record = nullptr; ///< Valid while the job is active.
        bool isBestEffort = false; ///< All its stages are.
        JobObjective objective;
        JobProgress progress;
    };

    ActiveJob& activeJob(JobRecord const& job);
    JobObjective const& objectiveFor(JobRecord const& job) { return this->activeJob(job).objective; }
    void reportEnd(JobRecord const& job);
    void putWorker(WorkerProfile const& profile, Done done);
    void removeWorker(WorkerId const& worker, int64_t bornMs, Done done);
    void recordEarlierBorn(WorkerProfile known, WorkerProfile const& announced, WorkerView const& view, Done done);
    bool isOfFormerProcess(WorkerId const& worker, int64_t bornMs);
    char const* keepReason(WorkerProfile const& known, WorkerDeparture const& departure);
    void drainLeavingWorker(WorkerProfile known, WorkerDeparture const& departure, Done done);
    static PlacementRequest requestToMove(WorkerView const& worker, PlacedAttempt const& attempt);
    void evict(WorkerView& worker, PlacedAttempt& attempt, char const* reason);

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
    bool preparePermits(ReadyStage const& ready, PlacementRequest& request);
    PlacementRequest requestFor(ReadyStage const& ready, TimePoint now);
    void decideStart(WorkerView& worker, CommitStart const& start, ReadyStage const& ready, TimePoint now, std::optional<unsigned> startSpeedPercent = std::nullopt);
    void openDueOccurrences();
    void evacuateDrainingWorkers();
    void forgetEndedJobs();
    void processListing(WorkerView& worker);
    void evictInterferingTasks(WorkerView& worker, TimePoint now);
    bool isUnproven(WorkerView const& worker, ImageLoad const& load) const;
    static bool hasStoppingBestEffortTask(WorkerView const& worker);
    void updateWorkerThrottle(WorkerView& worker, TimePoint now);
    void proposeUpdates();
    void reportRoom();
    void noteTick(TimePoint now);
    void reportLoad(TimePoint now);

    Clock const& clock;
    EventSink& events;
    CommandLog& jobLog;
    CommandLog& rosterLog;
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

    std::map<JobId, ActiveJob> activeJobs; ///< Kept on the leader only.
    std::map<TaskRef, TimePoint> waitingSince; ///< Best-effort stages that found no room, by their first task.
    std::map<TaskRef, TimePoint> serviceTaskEnds; ///< When the last attempt of a waiting service task ended. Under an earlier leader: not listed.
    std::set<TaskRef> proposedTasks; ///< Tasks whose start is being committed.
    std::multiset<JobId> proposedJobs; ///< Jobs that are being committed. A refusal of such an id might not be true.
    std::multiset<JobId> proposedUnsubmittedCancels; ///< Jobs that were not known when their cancel was proposed.
    std::map<WorkerId, std::pair<int64_t, uint64_t>> lastSequences; ///< By worker: when its incarnation was born (ms) and the sequence of its last announcement.
    std::map<WorkerId, TimePoint> drainEnds;
    std::vector<TaskUpdate> pendingUpdates; ///< To be proposed with the next batch.
    bool isPassNeeded = false; ///< Something changed, so that waiting tasks may find a worker.
    TimePoint nextPass;
    PassPacing pacing;
    TimePoint startsAllowedFrom; ///< Of a new leader.
    TimePoint nextSlowCheck;
    bool hasLackedWorker = false; ///< A task found no worker since the room was last reported.
    TimePoint nextRoomReport;
    TimePoint nextIdleWindow;

    /// Since the load was last reported.
    struct LoadWindow {
        TimePoint startedAt;
        uint64_t passes = 0;
        uint64_t starts = 0;
        uint64_t workersExamined = 0;
        Duration maxTickGap;
        Duration maxPass;
    };

    LoadWindow loadWindow;
    std::optional<TimePoint> lastTickAt; ///< Unset: no tick since this host leads.
    SchedulerCounters schedulerCounters;
};

} // namespace cornelpond
