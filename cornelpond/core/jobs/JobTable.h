#pragma once

// All jobs and the attempts of their tasks: the replicated state machine of a group's log. Every host applies the
// same commands in the same order.
//
// Example:
//   JobTable jobs(hooks);
//   jobs.apply(decodeJobCommand(bytes), queues);
//   jobs.find(JobId("plan-7"))->state;
//
// Deterministic: uses no clock and no randomness. A command that no longer applies has no effect.

#include "cornelpond/core/jobs/CancelledIds.h"
#include "cornelpond/core/jobs/JobCommand.h"
#include "cornelpond/core/jobs/QueueTable.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string_view>
#include <unordered_map>

namespace cornelpond {

enum class JobState : uint8_t {
    Active = 1,
    Completed = 2,
    Failed = 3,
    Cancelled = 4,
};

/// Name for logs, such as "active".
std::string_view jobStateName(JobState state);

/// One attempt that is committed and not ended, so it may be running.
struct Attempt {
    AttemptNumber number;
    WorkerId worker;

    bool operator==(Attempt const& other) const { return this->number == other.number && this->worker == other.worker; }
};

struct TaskRecord {
    AttemptNumber lastAttempt;
    uint32_t failures = 0;
    bool isDone = false;
    std::string checkpoint; ///< The latest of the ended attempts (of a gang: of any member); empty: none.
    std::vector<Attempt> liveAttempts;

    bool isWaiting() const { return !this->isDone && this->liveAttempts.empty(); }
};

struct StageRecord {
    std::vector<TaskRecord> tasks;
    uint32_t doneCount = 0;
    uint32_t waitingCount = 0;
    uint32_t gangFailures = 0; ///< Failed attempts of the gang, however many members failed in each.
    AttemptNumber lastGangFailure; ///< The latest attempt among them; zero: none.

    bool isDone() const { return this->doneCount == this->tasks.size(); }
};

/// One run through a job's stages.
struct OccurrenceRecord {
    std::vector<StageRecord> stages;

    bool isDone() const;
};

struct JobRecord {
    JobSpec spec;
    QueueId queue;
    ServiceId service; ///< From the configuration in force.
    uint32_t priority = 0;
    uint32_t maxAttempts = 1;
    JobState state = JobState::Active;
    bool hasStarted = false; ///< A worker has begun a task: it confirmed a start or listed an end.
    int64_t acceptedWallMs = 0;
    int64_t endedWallMs = 0;
    uint32_t occurrencesOpened = 0;
    uint32_t liveAttemptCount = 0;
    std::map<uint32_t, OccurrenceRecord> occurrences; ///< Opened ones; dropped once they are done and without live attempts.

    /// The number of occurrences that the job asks for: 1 without a schedule.
    uint32_t occurrenceCount() const { return std::max(this->spec.schedule.occurrences, 1U); }
    /// The opened occurrences that are done. Of an active job; the records of others may have been dropped.
    uint32_t occurrencesDone() const;
    /// True when all stages that the stage depends on are done.
    bool isStageReady(OccurrenceRecord const& occurrence, size_t stage) const;
};

/// What the end of an attempt changed.
enum class EndEffect : uint8_t {
    Ignored, ///< Nothing: the attempt was not live, and did not finish its task late.
    AttemptOver, ///< The attempt is no longer live; nothing else changed.
    FailureCounted, ///< One more failure of the task, or of the gang.
    JobFailed,
    TaskDone,
    StageDone,
    OccurrenceDone,
    JobCompleted,
};

/// Name for logs, such as "stageDone".
std::string_view endEffectName(EndEffect effect);

/// True for the one end that made its task done.
bool isTaskFinished(EndEffect effect);

/// Called while commands are applied. Unset hooks are skipped.
struct JobTableHooks {
    std::function<void(CommitStart const&)> onStartApplied;
    std::function<void(CommitStart const&)> onStartRefused; ///< The start did not apply any more.
    std::function<void(CommitEnd const&, EndEffect)> onEndApplied; ///< Also when the attempt was no longer live.
    std::function<void(JobRecord const&)> onJobChanged; ///< It was submitted or ended, a stage is done or an occurrence was opened.
    std::function<void(JobId const&)> onJobRemoved;
};

class JobTable {
public:
    explicit JobTable(JobTableHooks hooks = JobTableHooks());

    void apply(JobCommand const& command, QueueTable const& queues);

    /// Updates the services, priorities and attempt limits of all jobs whose queue is in the new configuration.
    void onQueuesChanged(QueueTable const& queues);

    std::string takeSnapshot() const;

    /// Throws Error(MalformedMessage).
    void restore(std::string const& snapshot);

    JobRecord const* find(JobId const& id) const;

    /// Returns the record that the job is going to have once its submission, which was proposed, is applied; it keeps its address
    /// then. Until then `find` does not return it, and it is no part of the table's state.
    JobRecord const& expect(SubmitJob const& command, QueueTable const& queues);
    /// To be called when the leadership changes, once nothing refers to expected records any more.
    void dropExpected() { this->expectedJobs.clear(); }
    /// Also of an expected job. Null when the job is not known.
    JobSpec const* findSpec(JobId const& id) const;

    TaskRecord const* findTask(TaskRef const& task) const;

    /// For logs: that of its state, "notKnown" for a job without a record.
    std::string_view stateName(JobId const& job) const;

    /// True for a job that was cancelled lately and has no record. Its submission is to be refused: once committed, the job
    /// would start.
    bool isCancelledWithoutRecord(JobId const& job) const { return this->cancelledIds.contains(job) && !this->find(job); }

    /// True while the attempt is live and its outcome still matters: the job is active and the task not done, or
    /// the task belongs to a gang.
    bool isWanted(TaskRef const& task, Attempt const& attempt) const;

    /// True when the attempt is no longer live, as its worker could not be reached, but would still finish its task if
    /// the worker reported it as done.
    bool canFinishLate(TaskRef const& task, AttemptNumber attempt) const;

    /// True while a task other than a service task has a live attempt, whose start order may still be in flight.
    bool hasLiveNonServiceAttempt(TaskRef const& task) const;

    /// True while the start of the attempt is committed and its end is not.
    bool isLive(TaskRef const& task, Attempt const& attempt) const;

    void forEachLiveAttempt(std::function<void(TaskRef const&, TaskRecord const&, Attempt const&)> const& visit) const;

    /// The job's live attempts only. `visit` must not change the table.
    void forEachLiveAttemptOf(JobId const& job, std::function<void(TaskRef const&, TaskRecord const&, Attempt const&)> const& visit) const;

    std::unordered_map<JobId, JobRecord> const& all() const { return this->jobs; }

private:
    void apply(SubmitJob const& command, QueueTable const& queues);
    void apply(CancelJob const& command, QueueTable const& queues);
    void apply(UpdateTasks const& command, QueueTable const& queues);
    void applyUpdate(CommitStart const& start, int64_t wallMs);
    void applyUpdate(CommitEnd const& end, int64_t wallMs);
    void applyUpdate(OpenOccurrence const& open, int64_t wallMs);
    void applyUpdate(RemoveJob const& remove, int64_t wallMs);
    void applyUpdate(MarkBegun const& mark, int64_t wallMs);
    bool startIfAllowed(CommitStart const& start);
    EndEffect applyEnd(JobRecord& job, StageRecord& stage, CommitEnd const& end, int64_t wallMs);
    EndEffect applyEndOfOpenTask(JobRecord& job, StageRecord& stage, CommitEnd const& end, int64_t wallMs);
    EndEffect finishTask(JobRecord& job, OccurrenceRecord& occurrence, TaskRef const& task, int64_t wallMs);
    EndEffect countFailure(JobRecord& job, StageRecord& stage, CommitEnd const& end, int64_t wallMs);
    void endJob(JobRecord& job, JobState state, int64_t wallMs);
    void dropFinishedRecords(JobRecord& job);
    void notifyJobChanged(JobRecord const& job) const;
    JobRecord* findMutable(JobId const& id);

    JobTableHooks hooks;
    std::unordered_map<JobId, JobRecord> jobs;
    std::unordered_map<JobId, JobRecord> expectedJobs; ///< Their submissions await their commit.
    CancelledIds cancelledIds;
};

} // namespace cornelpond
