#include "cornelpond/core/tasks/ReplicaChanges.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace cornelpond {

namespace {

    constexpr std::string_view idPrefix = "replica/";
    constexpr size_t maxChanges = 256;

    using Replicas = std::map<ServiceId, std::vector<Task const*>>;

    /// Replicas that have not ended and are not being cancelled, by service.
    Replicas liveReplicas(TaskTable const& table)
    {
        Replicas replicas;
        for (auto const& [id, task] : table.all()) {
            bool const isLive = !isEnded(task.state) && !task.cancelRequested;
            if (!isLive || id.value().compare(0, idPrefix.size(), idPrefix) != 0)
                continue;
            auto const service = task.spec.labels.find("service");
            if (service != task.spec.labels.end())
                replicas[ServiceId(service->second)].push_back(&task);
        }
        return replicas;
    }

    /// Orders replicas for cancellation: those without a worker first, then the newest.
    bool isCancelledBefore(Task const* left, Task const* right)
    {
        bool const leftHasWorker = hasWorker(left->state);
        bool const rightHasWorker = hasWorker(right->state);
        return leftHasWorker != rightHasWorker ? rightHasWorker : left->sequence > right->sequence;
    }

    bool isOutdated(Task const& task, TaskSpec const& description)
    {
        TaskSpec spec = description;
        spec.id = task.spec.id;
        return !(spec == task.spec);
    }

} // namespace

TaskCommandBatch replicaChanges(Policy const& policy, TaskTable const& table, int64_t nowMs)
{
    TaskCommandBatch changes;
    Replicas replicas = liveReplicas(table);
    for (auto const& [service, servicePolicy] : policy.services) {
        auto& live = replicas[service];
        auto count = static_cast<int64_t>(live.size());
        std::sort(live.begin(), live.end(), isCancelledBefore);
        for (int64_t number = 0; count < servicePolicy.replicas && changes.size() < maxChanges; number++, count++) {
            TaskSpec spec = servicePolicy.replica;
            spec.id = TaskId(std::string(idPrefix) + service.value() + "/" + std::to_string(nowMs) + "-" + std::to_string(number));
            changes.push_back(SubmitTask { spec, nowMs });
        }
        int64_t surplus = count - servicePolicy.replicas;
        for (auto const* task : live) {
            if (surplus-- <= 0 || changes.size() >= maxChanges)
                break;
            changes.push_back(CancelTask { task->spec.id, nowMs });
        }
        // Replaces replicas of an earlier description one at a time, and only while all replicas run.
        bool const isEachRunning = std::all_of(live.begin(), live.end(), [](Task const* task) { return task->state == TaskState::Running; });
        TaskSpec const& description = servicePolicy.replica;
        auto const outdated = std::find_if(live.begin(), live.end(), [&description](Task const* task) { return isOutdated(*task, description); });
        if (count == servicePolicy.replicas && static_cast<int64_t>(live.size()) == count && isEachRunning && outdated != live.end())
            changes.push_back(CancelTask { (*outdated)->spec.id, nowMs });
    }
    return changes;
}

} // namespace cornelpond
