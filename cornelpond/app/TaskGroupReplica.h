#pragma once

// A passive replica of a data centre's task group: it applies the log's commands and decides nothing.
// Kept by hosts that store and vote for another data centre's group, and by `inspect`.
//
// Example:
//   TaskGroupReplica replica;
//   groups.open(group, members, folder, replica.hooks());
//   replica.tasks().all();

#include "cornelpond/core/agreement/StateMachineSet.h"
#include "cornelpond/core/claims/ClaimTable.h"
#include "cornelpond/core/tasks/TaskTable.h"

namespace cornelpond {

class TaskGroupReplica {
public:
    TaskGroupReplica()
    {
        this->machines.add(StateMachinePart::Tasks, this->taskHooks());
        this->machines.add(StateMachinePart::Claims, this->claimHooks());
    }
    TaskGroupReplica(TaskGroupReplica const&) = delete;
    TaskGroupReplica& operator=(TaskGroupReplica const&) = delete;

    /// For the log that carries the group. The replica must outlive it.
    StateMachineHooks hooks() { return this->machines.hooks(); }

    TaskTable const& tasks() const { return this->taskTable; }

private:
    StateMachineHooks taskHooks()
    {
        StateMachineHooks hooks;
        hooks.apply = [this](LogIndex, std::string const& encoded) {
            for (auto const& command : decodeTaskCommands(encoded))
                this->taskTable.apply(command);
        };
        hooks.takeSnapshot = [this] { return this->taskTable.takeSnapshot(); };
        hooks.restore = [this](std::string const& state) { this->taskTable.restore(state); };
        hooks.onLeadership = [](bool) {};
        return hooks;
    }

    StateMachineHooks claimHooks()
    {
        StateMachineHooks hooks;
        hooks.apply = [this](LogIndex, std::string const& encoded) { this->claimTable.apply(decodeClaimCommand(encoded)); };
        hooks.takeSnapshot = [this] { return this->claimTable.takeSnapshot(); };
        hooks.restore = [this](std::string const& state) { this->claimTable.restore(state); };
        hooks.onLeadership = [](bool) {};
        return hooks;
    }

    TaskTable taskTable;
    ClaimTable claimTable;
    StateMachineSet machines;
};

} // namespace cornelpond
