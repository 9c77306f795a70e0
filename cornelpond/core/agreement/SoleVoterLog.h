#pragma once

// The replicated log of a group with one voter: an entry is committed once it is synced.
//
// Example:
//   SoleVoterLog log(HostId("h1"), storage, hooks);
//   log.start();

#include "cornelpond/core/agreement/CommandLog.h"
#include "cornelpond/ports/Storage.h"

namespace cornelpond {

class SoleVoterLog final : public CommandLog {
public:
    /// `storage` must outlive the log.
    SoleVoterLog(HostId self, Storage& storage, StateMachineHooks hooks);

    /// Reads the stored state, applies it and becomes leader in a new term. Throws Error if the storage fails.
    void start();

    bool isLeader() const override { return this->isLeading; }
    bool isLeadershipConfirmed() const override { return this->isLeading; }
    Term term() const override { return this->currentTerm; }
    HostId leader() const override { return this->isLeading ? this->self : HostId(); }
    void propose(std::string command, Done done) override;

private:
    /// Throws Error if the storage fails.
    void appendAndSync(std::string const& command);
    void snapshotWhenDue();

    HostId self;
    Storage& storage;
    StateMachineHooks hooks;
    Term currentTerm;
    LogIndex lastIndex;
    size_t entriesSinceSnapshot = 0;
    bool isLeading = false;
};

} // namespace cornelpond
