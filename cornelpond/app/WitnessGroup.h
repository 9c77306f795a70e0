#pragma once

// The state machines of another data centre's group on a host that stores and votes for it but never
// leads it.
//
// Example:
//   WitnessGroup witness(clock, events, LeaseTimes());
//   groups.open(group, members, folder, witness.hooks());

#include "cornelpond/core/agreement/StateMachineSet.h"
#include "cornelpond/core/tasks/Scheduler.h"

namespace cornelpond {

class WitnessGroup {
public:
    /// References must outlive the object.
    WitnessGroup(Clock const& clock, EventSink& events, LeaseTimes times)
        : scheduler(clock, events, this->machines.add(StateMachinePart::Tasks, this->taskHooks()), times, SchedulerHooks())
    {
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

    StateMachineSet machines;
    Scheduler scheduler;
};

} // namespace cornelpond
