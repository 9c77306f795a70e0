#pragma once

// The task state machine of one data centre: applies committed commands, in log order, on every
// replica. It decides nothing by itself.
//
// Example:
//   ResultCode const code = table.apply(CancelTask { id, nowMs });
//
// Deterministic; loop thread only.

#include "cornelpond/core/base/ResultCode.h"
#include "cornelpond/core/tasks/TaskCommand.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace cornelpond {

class TaskTable {
public:
    /// A refused command changes nothing. Ok also for a repeated command whose effect stands already.
    ResultCode apply(TaskCommand const& command);

    /// Null when unknown. The pointer is valid until the next apply.
    Task const* find(TaskId const& id) const;

    /// Queued tasks in the order of submission.
    std::map<uint64_t, TaskId> const& queued() const { return this->queuedTasks; }

    /// Tasks that hold a reservation on `worker`.
    std::set<TaskId> const& tasksOnWorker(WorkerId const& worker) const;

    /// Sum of the declared needs of all tasks that hold `worker`.
    Resources reservedOn(WorkerId const& worker) const;

    /// Sum of the declared needs of the association's tasks that hold a worker.
    Resources reservedBy(AssociationId const& association) const;

    /// Sum of the declared needs of the batch tasks that hold a worker.
    Resources const& reservedByBatch() const { return this->batchReserved; }

    bool isDrained(WorkerId const& worker) const { return this->drainedWorkers.count(worker); }
    std::set<WorkerId> const& drained() const { return this->drainedWorkers; }

    /// True when a task of this id ended and its record was removed.
    bool isRetired(TaskId const& id) const;

    /// Ended tasks in the order of their end: time and submission sequence.
    std::map<std::pair<int64_t, uint64_t>, TaskId> const& ended() const { return this->endedTasks; }

    /// When the longest retired id belonged to an ended task; 0 when no id is retired.
    int64_t oldestRetiredEndMs() const { return this->retiredIdsByEndMs.empty() ? 0 : this->retiredIdsByEndMs.begin()->first; }

    std::unordered_map<TaskId, Task> const& all() const { return this->tasks; }

    /// Workers that hold at least one attempt.
    std::unordered_map<WorkerId, std::set<TaskId>> const& tasksByWorker() const { return this->workerTasks; }

    std::string takeSnapshot() const;

    /// Throws Error(StorageDamaged).
    void restore(std::string const& state);

private:
    ResultCode applyOne(SubmitTask const& command);
    ResultCode applyOne(StartAttempt const& command);
    ResultCode applyOne(ConfirmAttempt const& command);
    ResultCode applyOne(EvictAttempt const& command);
    ResultCode applyOne(EndAttempt const& command);
    ResultCode applyOne(CancelTask const& command);
    ResultCode applyOne(CancelMatching const& command);
    ResultCode applyOne(SetWorkerDrained const& command);
    ResultCode applyOne(RemoveEndedTasks const& command);

    void cancel(Task& task, int64_t cancelledAtMs);
    void retire(uint64_t idHash, int64_t endedAtMs);
    void restoreOptionalFields(nlohmann::json const& snapshot);
    Task* findWithCurrentAttempt(TaskId const& id, AttemptNumber attempt);
    void index(Task const& task);
    void unindex(Task const& task);
    void updateStateAfterAttempt(Task& task, EndAttempt const& command);

    std::unordered_map<TaskId, Task> tasks;
    std::map<uint64_t, TaskId> queuedTasks;
    std::unordered_map<WorkerId, std::set<TaskId>> workerTasks;
    std::unordered_map<WorkerId, Resources> workerReserved;
    std::unordered_map<AssociationId, Resources> associationReserved;
    Resources batchReserved;
    std::map<std::pair<int64_t, uint64_t>, TaskId> endedTasks;
    std::unordered_set<uint64_t> retiredIds; ///< Hashes of the ids of removed tasks.
    std::multimap<int64_t, uint64_t> retiredIdsByEndMs;
    std::set<WorkerId> drainedWorkers;
    uint64_t nextSequence = 1;
};

} // namespace cornelpond
