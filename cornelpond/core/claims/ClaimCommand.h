#pragma once

// The commands of the claim state machine in the replicated log, and the messages between entry hosts that
// carry claim calls and their replies.
//
// Example:
//   log.propose(encodeClaimCommand({ elapsed, BeginClaim { key, id, fingerprint, timeToDeadline, retention } }), done);

#include "cornelpond/core/claims/Claim.h"

#include <string>
#include <string_view>
#include <variant>

namespace cornelpond {

/// Claims a key.
struct BeginClaim {
    ClaimKey key;
    ClaimId id;
    uint64_t fingerprint = 0; ///< Hash of the request, which tells apart two requests with the same key.
    Duration timeToDeadline; ///< From when the command is applied; a claim still in progress then counts as unknown.
    Duration retention; ///< From when the command is applied; then the key is free again. Set by the leader.
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
    Duration elapsed; ///< On the leader's clock since its previous command, or since it became leader; the sum is the table's logical time.
    ClaimAction action;
};

/// One action, sent to a host that may lead the key's group. A ClaimReply answers it.
struct ClaimCall {
    uint64_t callNumber = 0; ///< Chosen by the caller; the reply repeats it.
    ClaimAction action;
};

struct ClaimReply {
    uint64_t callNumber = 0;
    ClaimId id; ///< Of the call's action, as call numbers start again with each process but claim ids do not.
    ClaimResult result = ClaimResult::Unavailable;
    StoredAnswer answer;
};

using ClaimMessage = std::variant<ClaimCall, ClaimReply>;

std::string encodeClaimCommand(ClaimCommand const& command);
std::string encodeClaimMessage(ClaimMessage const& message);

/// Throw Error(MalformedJson) for bytes that are not CBOR, and Error(StorageDamaged) for an unknown action. For
/// other bytes that can't be decoded, the first throws Error(StorageDamaged), the second Error(MalformedJson).
ClaimCommand decodeClaimCommand(std::string_view bytes);
ClaimMessage decodeClaimMessage(std::string_view bytes);

ClaimKey const& keyOf(ClaimAction const& action);
ClaimId const& idOf(ClaimAction const& action);

} // namespace cornelpond
