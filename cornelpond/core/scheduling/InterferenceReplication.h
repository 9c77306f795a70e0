#pragma once

// Keeps what the leader has learned about images in the replicated state, so that a new leader does not try every pair of
// images again.
//
// Designed for: changes of leader under a flood of best-effort tasks, when trials of many pairs at once push services over
// their targets.
//
// Example:
//   InterferenceReplication replication(clock, events, log, control);
//   stateMachines.add(StateMachinePart::Interference, replication.hooks());
//   replication.onTick(); // every 10 to 20 ms
//
// At most one proposal at a time and per `interval`, of at most `maxFiguresPerProposal` figures that changed materially.
// A proposal that fails is not repeated: a later one holds what is then learned. Loop thread only.

#include "cornelpond/core/agreement/CommandLog.h"
#include "cornelpond/core/placement/InterferenceTable.h"
#include "cornelpond/core/scheduling/InterferenceControl.h"

namespace cornelpond {

class InterferenceReplication {
public:
    static constexpr Duration interval = Duration::seconds(3);
    static constexpr size_t maxFiguresPerProposal = 64;

    /// References must outlive the object; the log must carry only this object's commands.
    InterferenceReplication(Clock const& clock, EventSink& events, CommandLog& log, InterferenceControl& control);

    // State machine hooks.
    void apply(std::string const& command) { this->table.apply(command); }
    std::string takeSnapshot() const { return this->table.takeSnapshot(); }
    void restore(std::string const& state) { this->table.restore(state); }
    /// The control must have forgotten what this host learned as an earlier leader.
    void onLeadership(bool isLeader);

    void onTick();

    InterferenceTable const& replicated() const { return this->table; }

private:
    std::vector<LearnedFigure> changedFigures() const;

    Clock const& clock;
    EventSink& events;
    CommandLog& log;
    InterferenceControl& control;
    InterferenceTable table;
    TimePoint nextProposal;
    bool isInFlight = false;
};

} // namespace cornelpond
