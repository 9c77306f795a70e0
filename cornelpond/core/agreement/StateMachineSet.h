#pragma once

// Several state machines, called parts, that share one replicated log: each part proposes through its own
// facade, and its commands and snapshot carry the part's number.
//
// Example:
//   StateMachineSet set;
//   CommandLog& tasks = set.add(StateMachinePart::Tasks, taskHooks);
//   SoleVoterLog log(self, storage, set.hooks());
//   set.attach(log);
//
// Loop thread only. Add all parts before the log starts, and attach the log before the first proposal; until
// then proposals get NotLeader.

#include "cornelpond/core/agreement/CommandLog.h"

#include <map>
#include <memory>

namespace cornelpond {

/// Stored in logs and snapshots, so values never change meaning.
enum class StateMachinePart : uint8_t {
    Tasks = 1,
    Claims = 2, ///< Idempotency keys of not-repeatable requests.
    Configuration = 3,
    Queues = 4, ///< The queues of jobs, and the services behind them.
    Workers = 5,
    Jobs = 6,
    Evacuations = 7, ///< Data centres that are to get no work.
};

class StateMachineSet {
public:
    StateMachineSet();
    ~StateMachineSet();
    StateMachineSet(StateMachineSet const&) = delete;
    StateMachineSet& operator=(StateMachineSet const&) = delete;

    /// Adds a part and returns the log facade that it proposes through, which is valid as long as the set.
    CommandLog& add(StateMachinePart part, StateMachineHooks hooks);

    /// The hooks for the log that all parts share.
    StateMachineHooks hooks();

    /// `sharedLog` must outlive the set.
    void attach(CommandLog& sharedLog) { this->log = &sharedLog; }

private:
    class Facade;
    struct Entry;

    void apply(LogIndex index, std::string const& command);
    std::string takeSnapshot() const;
    void restore(std::string const& state);

    CommandLog* log = nullptr;
    std::map<StateMachinePart, std::unique_ptr<Entry>> parts;
};

} // namespace cornelpond
