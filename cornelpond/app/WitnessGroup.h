#pragma once

// The state machines of another data centre's group on a host that stores and votes for it but never
// leads it.
//
// Example:
//   WitnessGroup witness(clock, events, LeaseTimes());
//   groups.open(group, members, folder, witness.hooks());

#include "cornelpond/core/agreement/StateMachineSet.h"
#include "cornelpond/core/claims/ClaimTable.h"
#include "cornelpond/core/tasks/Scheduler.h"

namespace cornelpond {

class WitnessGroup {
public:
    /// References must outlive the object.
    WitnessGroup(Clock const& clock, EventSink& events, LeaseTimes times)
        : scheduler(clock, events, this->machines.add(StateMachinePart::Tasks, this->taskHooks()), times,
            { [](Worker const&, AnnouncementAnswer const&) {}, [this]() -> Policy const& { return this->policy; }, [] { return std::unordered_map<WorkerId, Resources>(); } })
    {
        this->machines.add(StateMachinePart::Claims, this->claimHooks());
    }
    WitnessGroup(WitnessGroup const&) = delete;
    WitnessGroup& operator=(WitnessGroup const&) = delete;

    StateMachineHooks hooks() { return this->machines.hooks(); }

private:
    StateMachineHooks taskHooks()
    {
        StateMachineHooks hooks;
        hooks.apply = [this](LogIndex, std::string const& command) { this->scheduler.applyCommand(command); };
        hooks.takeSnapshot = [this] { return this->scheduler.takeSnapshot(); };
        hooks.restore = [this](std::string const& state) { this->scheduler.restore(state); };
        hooks.onLeadership = [](bool) {};
        return hooks;
    }

    StateMachineHooks claimHooks()
    {
        StateMachineHooks hooks;
        hooks.apply = [this](LogIndex, std::string const& command) { this->claims.apply(decodeClaimCommand(command)); };
        hooks.takeSnapshot = [this] { return this->claims.takeSnapshot(); };
        hooks.restore = [this](std::string const& state) { this->claims.restore(state); };
        hooks.onLeadership = [](bool) {};
        return hooks;
    }

    StateMachineSet machines;
    Policy policy;
    ClaimTable claims;
    Scheduler scheduler;
};

} // namespace cornelpond
