#pragma once

// The commands of the claim state machine, as they stand in the replicated log, and the calls by which
// entry hosts reach the group that keeps a key.
//
// Example:
//   log.propose(encodeClaimCommand({ elapsed, BeginClaim { key, id, fingerprint, deadline, keep } }), done);

#include "cornelpond/core/claims/Claim.h"

#include <string>
#include <string_view>
#include <variant>

namespace cornelpond {

/// Claims a free key.
struct BeginClaim {
    ClaimKey key;
    ClaimId id;
    uint64_t fingerprint = 0; ///< Of the request that the key names.
    Duration timeToDeadline; ///< From now; a claim that is still open then counts as unknown.
    Duration retention; ///< From now; then the key is free again.
};

/// The request ran and this is its answer.
struct FinishClaim {
    ClaimKey key;
    ClaimId id;
    StoredAnswer answer;
};

/// The request did not run; the key is free again.
struct ReleaseClaim {
    ClaimKey key;
    ClaimId id;
};

/// The request may have run.
struct AbandonClaim {
    ClaimKey key;
    ClaimId id;
};

using ClaimAction = std::variant<BeginClaim, FinishClaim, ReleaseClaim, AbandonClaim>;

struct ClaimCommand {
    Duration elapsed; ///< On the leader's clock since its last command; the table's time is their sum.
    ClaimAction action;
};

/// One action sent to the host that leads the key's group, and its answer.
struct ClaimCall {
    uint64_t callNumber = 0; ///< Chosen by the caller, for the reply.
    ClaimAction action;
};

struct ClaimReply {
    uint64_t callNumber = 0;
    ClaimId id; ///< Of the call's action: numbers start again with each process, ids do not.
    ClaimResult result = ClaimResult::Unavailable;
    StoredAnswer answer;
};

using ClaimMessage = std::variant<ClaimCall, ClaimReply>;

std::string encodeClaimCommand(ClaimCommand const& command);
std::string encodeClaimMessage(ClaimMessage const& message);

/// Throw Error(StorageDamaged) and Error(MalformedJson) for bytes that this version cannot read.
ClaimCommand decodeClaimCommand(std::string_view bytes);
ClaimMessage decodeClaimMessage(std::string_view bytes);

ClaimKey const& keyOf(ClaimAction const& action);
ClaimId const& idOf(ClaimAction const& action);

} // namespace cornelpond
