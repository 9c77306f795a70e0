#pragma once

// The messages of one group's replicated log and their compact encoding.
//
// Example:
//   std::string const bytes = encodeMessage(TimeoutNow { Term(3) });
//   AgreementMessage const message = decodeMessage(bytes);
//
// The group is not in the message: the link's envelope names it. Times are the sender's clock, only
// echoed by the receiver, never compared with its own.

#include "cornelpond/core/base/Duration.h"
#include "cornelpond/ports/Storage.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cornelpond {

struct VoteRequest {
    Term term; ///< The term that the candidate would lead.
    LogIndex lastIndex;
    Term lastTerm;
    bool isPreVote = false; ///< A question only; changes no state at the voter.
    bool isTransfer = false; ///< The leader of the term before has stepped down for this candidate.
};

struct VoteReply {
    Term term; ///< The voter's own term.
    Term requestTerm;
    bool isPreVote = false;
    bool isGranted = false;
};

/// Entries or, without any, a heartbeat.
struct AppendRequest {
    Term term;
    LogIndex previousIndex;
    Term previousTerm;
    LogIndex commitIndex;
    TimePoint sentAt;
    std::vector<LogEntry> entries;
};

struct AppendReply {
    Term term;
    bool isSuccess = false;
    LogIndex previousIndex; ///< Of the request.
    LogIndex index; ///< Success: last index known to match and synced. Failure: where to try next.
    TimePoint sentAt; ///< Of the request.
};

struct SnapshotChunk {
    Term term;
    LogIndex lastIndex;
    Term lastTerm;
    TimePoint takenAt; ///< Tells one transfer from another; the sender's clock.
    uint64_t offset = 0;
    uint64_t totalBytes = 0; ///< Bytes of the whole state.
    TimePoint sentAt;
    std::string membership;
    std::string bytes;
};

struct SnapshotReply {
    Term term;
    LogIndex lastIndex;
    uint64_t nextOffset = 0;
    TimePoint sentAt;
};

/// The leader of `term` has stepped down; the receiver is to campaign at once.
struct TimeoutNow {
    Term term;
};

using AgreementMessage = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotChunk, SnapshotReply, TimeoutNow>;

std::string encodeMessage(AgreementMessage const& message);

/// Throws Error(MalformedMessage).
AgreementMessage decodeMessage(std::string_view bytes);

} // namespace cornelpond
