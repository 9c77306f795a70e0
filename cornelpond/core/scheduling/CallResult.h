#pragma once

// Outcome of a call that changes or reads the scheduler's replicated state.
//
// Example:
//   log.propose(command, [done](ProposalOutcome const& outcome) { done(callResultOf(outcome.code)); });

#include "cornelpond/core/base/ResultCode.h"

#include <functional>
#include <string_view>

namespace cornelpond {

/// Outcome of a call that changes state, or of a lookup.
enum class CallResult {
    Done,
    NotLeader, ///< Nothing was changed; ask the leader.
    Refused, ///< Nothing was changed; the call is not carried out later either.
    OutcomeUnknown, ///< It may have been carried out; send it again.
    NotFound,
    Cancelled, ///< Of a submission: the job was cancelled before it arrived, and will not run.
};

using CallDone = std::function<void(CallResult)>;

/// Name for logs and metrics, such as "notLeader".
std::string_view callResultName(CallResult result);

/// Of a proposal to the replicated log.
CallResult callResultOf(ResultCode code);

} // namespace cornelpond
