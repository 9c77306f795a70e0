#pragma once

// The task state machine of one data centre: applies committed commands, in log order, on every
// replica of the group. It makes no decisions of its own.
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
    /// Applies one committed command. A refused command changes nothing. A repeated submission,
    /// confirmation, eviction, cancellation or drain that is already in effect is Ok; a command for an
    /// attempt that is not, or no longer, the task's current one is StaleEpoch.
    ResultCode apply(TaskCommand const& command);

    /// Null when unknown. The pointer is valid until the next apply or restore.
    Task const* find(TaskId const& id) const;

    /// Queued tasks in the order of submission.
    std::map<uint64_t, TaskId> const& queued() const { return this->queuedTasks; }

    /// Tasks that hold a reservation on `worker`.
    std::set<TaskId> const& tasksOnWorker(WorkerId const& worker) const;

    /// Sum of the declared needs of the tasks that hold a reservation on `worker`.
    Resources reservedOn(WorkerId const& worker) const;

    /// Sum of the declared needs of the association's tasks that hold a reservation.
    Resources reservedBy(AssociationId const& association) const;

    /// Sum of the declared needs of the batch tasks that hold a reservation.
    Resources const& reservedByBatch() const { return this->batchReserved; }

    bool isDrained(WorkerId const& worker) const { return this->drainedWorkers.count(worker); }
    std::set<WorkerId> const& drained() const { return this->drainedWorkers; }

    /// True when a task of this id ended and its record was removed. Compares 64-bit hashes of the ids.
    bool isRetired(TaskId const& id) const;

    /// Ended tasks by the time of their end in wall-clock milliseconds, then by submission sequence.
    std::map<std::pair<int64_t, uint64_t>, TaskId> const& ended() const { return this->endedTasks; }

    /// The earliest end, in wall-clock milliseconds, of the tasks whose ids are retired; 0 when none is.
    int64_t oldestRetiredEndMs() const { return this->retiredIdsByEndMs.empty() ? 0 : this->retiredIdsByEndMs.begin()->first; }

    std::unordered_map<TaskId, Task> const& all() const { return this->tasks; }

    /// Tasks that hold a reservation, by worker; only workers with at least one.
    std::unordered_map<WorkerId, std::set<TaskId>> const& tasksByWorker() const { return this->workerTasks; }

    std::string takeSnapshot() const;

    /// Replaces the state by that of a snapshot. Throws Error(MalformedJson), Error(StorageDamaged), or what
    /// taskSpecFromJson throws.
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
