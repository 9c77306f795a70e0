#pragma once

// The part of a group's replicated log that the owner of a state machine uses: proposing commands and asking
// who leads.
//
// Example:
//   log.propose(encode(command), [](ProposalOutcome const& outcome) { answer(outcome.code); });
//
// Loop thread only. The log calls the state machine's apply hook for each committed command in order, and
// then the callback of the proposal.

#include "cornelpond/core/base/Ids.h"
#include "cornelpond/core/base/ResultCode.h"

#include <functional>
#include <string>

namespace cornelpond {

/// How a proposal ended.
struct ProposalOutcome {
    /// Ok: the command is committed and applied. NotLeader, NoQuorum, StorageFailed or DiskFull: it was not
    /// accepted here. OutcomeUnknown: leadership was lost first; a later leader may still commit it.
    ResultCode code = ResultCode::Ok;
    LogIndex index; ///< Of the command, if `code` is Ok.
};

class CommandLog {
public:
    using Done = std::function<void(ProposalOutcome const&)>;

    virtual ~CommandLog() = default;

    /// True while this host leads the group and has applied all entries of earlier terms.
    virtual bool isLeader() const = 0;

    /// True while this host leads and a majority confirmed that recently enough that no other host can have
    /// been elected, so that it may renew leases.
    virtual bool isLeadershipConfirmed() const = 0;

    virtual Term term() const = 0;

    /// The leader's id; empty if this host knows of no leader.
    virtual HostId leader() const = 0;

    /// Proposes one command. Calls `done` exactly once, possibly before this returns.
    virtual void propose(std::string command, Done done) = 0;
};

/// The functions by which a log drives its state machine.
struct StateMachineHooks {
    /// Applies one committed command. Must be deterministic.
    std::function<void(LogIndex index, std::string const& command)> apply;
    /// Serialises the state after the last applied command.
    std::function<std::string()> takeSnapshot;
    /// Replaces the state by that of a snapshot.
    std::function<void(std::string const& state)> restore;
    /// Called when this host becomes leader, with all entries of earlier terms applied, and when it ceases
    /// to be.
    std::function<void(bool isLeader)> onLeadership;
};

} // namespace cornelpond
