#pragma once

// The messages of one group's replicated log and their compact encoding.
//
// Example:
//   std::string const bytes = encodeMessage(TimeoutNow { Term(3) });
//   AgreementMessage const message = decodeMessage(bytes);
//
// A message does not name its group; the peer message that carries it does. Times are on the clock of the
// host that sends the request: the receiver only echoes them and never compares them with its own clock.

#include "cornelpond/core/base/Duration.h"
#include "cornelpond/ports/Storage.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cornelpond {

struct VoteRequest {
    Term term; ///< The term in which the candidate would lead.
    LogIndex lastIndex; ///< Of the candidate's log.
    Term lastTerm; ///< Of the candidate's last entry.
    bool isPreVote = false; ///< Asks whether a vote would be granted; changes no state at the voter.
    bool isTransfer = false; ///< The leader of the previous term stepped down in favour of this candidate.
};

struct VoteReply {
    Term term; ///< The voter's own term.
    Term requestTerm; ///< Echoed from the request.
    bool isPreVote = false;
    bool isGranted = false;
};

/// Log entries to append; a heartbeat if there are none.
struct AppendRequest {
    Term term;
    LogIndex previousIndex; ///< The index before the first entry.
    Term previousTerm; ///< Of the entry at `previousIndex`.
    LogIndex commitIndex;
    TimePoint sentAt;
    std::vector<LogEntry> entries;
};

struct AppendReply {
    Term term;
    bool isSuccess = false;
    LogIndex previousIndex; ///< Echoed from the request.
    LogIndex index; ///< On success, the last index known to match and to be synced; on failure, the index to try next.
    TimePoint sentAt; ///< Echoed from the request.
};

struct SnapshotChunk {
    Term term;
    LogIndex lastIndex; ///< The last index that the snapshot covers.
    Term lastTerm;
    TimePoint takenAt; ///< With `term`, identifies the snapshot that is transferred.
    uint64_t offset = 0; ///< Of `bytes` in the whole state.
    uint64_t totalBytes = 0; ///< Bytes of the whole state.
    TimePoint sentAt;
    std::string membership; ///< Encoded by encodeMembership.
    std::string bytes;
};

struct SnapshotReply {
    Term term;
    LogIndex lastIndex;
    uint64_t nextOffset = 0; ///< Bytes that the receiver holds; the offset of the chunk that it needs next.
    TimePoint sentAt; ///< Echoed from the chunk.
};

/// Tells the receiver that the leader of `term` has stepped down in its favour, and to campaign at once.
struct TimeoutNow {
    Term term;
};

using AgreementMessage = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotChunk, SnapshotReply, TimeoutNow>;

std::string encodeMessage(AgreementMessage const& message);

/// Throws Error(MalformedMessage).
AgreementMessage decodeMessage(std::string_view bytes);

} // namespace cornelpond
