#include "cornelpond/core/tasks/TaskTable.h"

#include "cornelpond/core/base/Json.h"
#include "cornelpond/core/base/ResultCode.h"
#include "cornelpond/core/tasks/TaskJson.h"

#include <nlohmann/json.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace cornelpond {

namespace {

    /// The hashes are stored in snapshots, so this function must not change.
    uint64_t hashOf(TaskId const& id)
    {
        return XXH64(id.value().data(), id.value().size(), 0);
    }

} // namespace

ResultCode TaskTable::apply(TaskCommand const& command)
{
    return std::visit([this](auto const& value) { return this->applyOne(value); }, command);
}

Task const* TaskTable::find(TaskId const& id) const
{
    auto const found = this->tasks.find(id);
    return found == this->tasks.end() ? nullptr : &found->second;
}

std::set<TaskId> const& TaskTable::tasksOnWorker(WorkerId const& worker) const
{
    static std::set<TaskId> const none;
    auto const found = this->workerTasks.find(worker);
    return found == this->workerTasks.end() ? none : found->second;
}

Resources TaskTable::reservedOn(WorkerId const& worker) const
{
    auto const found = this->workerReserved.find(worker);
    return found == this->workerReserved.end() ? Resources() : found->second;
}

Resources TaskTable::reservedBy(AssociationId const& association) const
{
    auto const found = this->associationReserved.find(association);
    return found == this->associationReserved.end() ? Resources() : found->second;
}

bool TaskTable::isRetired(TaskId const& id) const
{
    return this->retiredIds.count(hashOf(id));
}

ResultCode TaskTable::applyOne(SubmitTask const& command)
{
    if (auto const* existing = this->find(command.spec.id))
        return existing->spec == command.spec ? ResultCode::Ok : ResultCode::IdConflict;
    if (this->isRetired(command.spec.id))
        return ResultCode::IdRetired;
    Task task;
    task.spec = command.spec;
    task.sequence = this->nextSequence++;
    task.submittedAtMs = command.submittedAtMs;
    this->index(task);
    this->tasks.emplace(command.spec.id, std::move(task));
    return ResultCode::Ok;
}

ResultCode TaskTable::applyOne(StartAttempt const& command)
{
    auto const found = this->tasks.find(command.task);
    if (found == this->tasks.end())
        return ResultCode::NotFound;
    Task& task = found->second;
    if (task.state != TaskState::Queued || command.attempt != task.attempt.next())
        return ResultCode::StaleEpoch;
    this->unindex(task);
    task.state = TaskState::Starting;
    task.attempt = command.attempt;
    task.worker = command.worker;
    task.incarnation = command.incarnation;
    this->index(task);
    return ResultCode::Ok;
}

ResultCode TaskTable::applyOne(ConfirmAttempt const& command)
{
    Task* task = this->findWithCurrentAttempt(command.task, command.attempt);
    if (!task)
        return ResultCode::StaleEpoch;
    if (task->state == TaskState::Starting)
        task->state = TaskState::Running;
    return ResultCode::Ok;
}

ResultCode TaskTable::applyOne(EvictAttempt const& command)
{
    Task* task = this->findWithCurrentAttempt(command.task, command.attempt);
    if (!task)
        return ResultCode::StaleEpoch;
    task->state = TaskState::Checkpointing;
    return ResultCode::Ok;
}

ResultCode TaskTable::applyOne(EndAttempt const& command)
{
    Task* task = this->findWithCurrentAttempt(command.task, command.attempt);
    if (!task)
        return ResultCode::StaleEpoch;
    this->unindex(*task);
    if (task->history.size() >= maxAttemptHistory)
        task->history.erase(task->history.begin());
    task->history.push_back({ command.attempt, task->worker, command.outcome, command.endedAtMs });
    task->worker = WorkerId();
    if (!command.checkpoint.empty())
        task->checkpoint = command.checkpoint;
    this->updateStateAfterAttempt(*task, command);
    this->index(*task);
    return ResultCode::Ok;
}

void TaskTable::updateStateAfterAttempt(Task& task, EndAttempt const& command)
{
    task.endedAtMs = command.endedAtMs;
    if (command.outcome == AttemptOutcome::Finished) {
        task.state = TaskState::Finished;
        return;
    }
    if (command.outcome == AttemptOutcome::Failed)
        task.failures++;
    if (command.outcome == AttemptOutcome::Stopped)
        task.evictions++;
    if (task.cancelRequested)
        task.state = TaskState::Cancelled;
    else if (task.failures >= task.spec.maxFailures)
        task.state = TaskState::Failed;
    else
        task.state = TaskState::Queued;
    if (task.state == TaskState::Queued)
        task.endedAtMs = 0;
}

ResultCode TaskTable::applyOne(CancelTask const& command)
{
    auto const found = this->tasks.find(command.task);
    if (found == this->tasks.end())
        return ResultCode::NotFound;
    Task& task = found->second;
    if (task.state == TaskState::Cancelled)
        return ResultCode::Ok;
    if (isEnded(task.state))
        return ResultCode::TaskEnded;
    this->cancel(task, command.cancelledAtMs);
    return ResultCode::Ok;
}

ResultCode TaskTable::applyOne(CancelMatching const& command)
{
    for (auto& [id, task] : this->tasks) {
        if (!isEnded(task.state) && command.selector.matches(task.spec.labels))
            this->cancel(task, command.cancelledAtMs);
    }
    return ResultCode::Ok;
}

ResultCode TaskTable::applyOne(SetWorkerDrained const& command)
{
    if (command.drained)
        this->drainedWorkers.insert(command.worker);
    else
        this->drainedWorkers.erase(command.worker);
    return ResultCode::Ok;
}

ResultCode TaskTable::applyOne(RemoveEndedTasks const& command)
{
    while (!this->endedTasks.empty()) {
        auto const oldest = this->endedTasks.begin();
        int64_t const endedAtMs = oldest->first.first;
        if (endedAtMs >= command.endedBeforeMs && this->endedTasks.size() <= command.maxKeptRecords)
            break;
        this->retire(hashOf(oldest->second), endedAtMs);
        this->tasks.erase(oldest->second);
        this->endedTasks.erase(oldest);
    }
    while (!this->retiredIdsByEndMs.empty() && this->retiredIdsByEndMs.begin()->first < command.forgetIdsBeforeMs) {
        this->retiredIds.erase(this->retiredIdsByEndMs.begin()->second);
        this->retiredIdsByEndMs.erase(this->retiredIdsByEndMs.begin());
    }
    return ResultCode::Ok;
}

void TaskTable::retire(uint64_t idHash, int64_t endedAtMs)
{
    if (this->retiredIds.insert(idHash).second)
        this->retiredIdsByEndMs.emplace(endedAtMs, idHash);
}

void TaskTable::cancel(Task& task, int64_t cancelledAtMs)
{
    task.cancelRequested = true;
    if (task.state != TaskState::Queued)
        return;
    this->unindex(task);
    task.state = TaskState::Cancelled;
    task.endedAtMs = cancelledAtMs;
    this->index(task);
}

Task* TaskTable::findWithCurrentAttempt(TaskId const& id, AttemptNumber attempt)
{
    auto const found = this->tasks.find(id);
    if (found == this->tasks.end())
        return nullptr;
    Task& task = found->second;
    return hasWorker(task.state) && task.attempt == attempt ? &task : nullptr;
}

void TaskTable::index(Task const& task)
{
    if (task.state == TaskState::Queued)
        this->queuedTasks.emplace(task.sequence, task.spec.id);
    if (isEnded(task.state))
        this->endedTasks.emplace(std::make_pair(task.endedAtMs, task.sequence), task.spec.id);
    if (!hasWorker(task.state))
        return;
    this->workerTasks[task.worker].insert(task.spec.id);
    this->workerReserved[task.worker] += task.spec.resources;
    this->associationReserved[task.spec.association] += task.spec.resources;
    if (task.spec.taskClass == TaskClass::Batch)
        this->batchReserved += task.spec.resources;
}

void TaskTable::unindex(Task const& task)
{
    if (task.state == TaskState::Queued)
        this->queuedTasks.erase(task.sequence);
    if (!hasWorker(task.state))
        return;
    auto& taskIds = this->workerTasks[task.worker];
    taskIds.erase(task.spec.id);
    this->workerReserved[task.worker] -= task.spec.resources;
    if (task.spec.taskClass == TaskClass::Batch)
        this->batchReserved -= task.spec.resources;
    auto& reserved = this->associationReserved[task.spec.association];
    reserved -= task.spec.resources;
    if (reserved == Resources())
        this->associationReserved.erase(task.spec.association);
    if (!taskIds.empty())
        return;
    this->workerTasks.erase(task.worker);
    this->workerReserved.erase(task.worker);
}

std::string TaskTable::takeSnapshot() const
{
    nlohmann::json records = nlohmann::json::array();
    for (auto const& [id, task] : this->tasks)
        records.push_back(toJson(task));
    nlohmann::json drained = nlohmann::json::array();
    for (auto const& worker : this->drainedWorkers)
        drained.push_back(worker.value());
    nlohmann::json retired = nlohmann::json::array();
    for (auto const& [endedAtMs, idHash] : this->retiredIdsByEndMs)
        retired.push_back({ endedAtMs, idHash });
    return toCbor({ { "nextSequence", this->nextSequence }, { "tasks", std::move(records) }, { "drained", std::move(drained) }, { "retired", std::move(retired) } });
}

void TaskTable::restore(std::string const& state)
{
    TaskTable restored;
    try {
        nlohmann::json const snapshot = fromCbor(state);
        restored.nextSequence = snapshot.at("nextSequence").get<uint64_t>();
        for (auto const& record : snapshot.at("tasks")) {
            Task task = taskFromJson(record);
            restored.index(task);
            TaskId id = task.spec.id;
            restored.tasks.emplace(std::move(id), std::move(task));
        }
        restored.restoreOptionalFields(snapshot);
    } catch (nlohmann::json::exception const& error) {
        throw Error(ResultCode::StorageDamaged, std::string("task snapshot: ") + error.what());
    }
    *this = std::move(restored);
}

void TaskTable::restoreOptionalFields(nlohmann::json const& snapshot)
{
    for (auto const& worker : snapshot.value("drained", nlohmann::json::array()))
        this->drainedWorkers.insert(WorkerId(worker.get<std::string>()));
    for (auto const& retired : snapshot.value("retired", nlohmann::json::array()))
        this->retire(retired.at(1).get<uint64_t>(), retired.at(0).get<int64_t>());
}

} // namespace cornelpond
