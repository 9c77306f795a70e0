#pragma once

// A leader's view of one other member of its group: how far the member's log matches its own and when the
// member last replied.
//
// Example:
//   progress.onSuccess(LogIndex(7));
//   if (progress.canSend(log.lastIndex()))
//       send(progress.nextIndex);

#include "cornelpond/core/base/Duration.h"
#include "cornelpond/core/base/Ids.h"

#include <algorithm>
#include <deque>

namespace cornelpond {

struct PeerProgress {
    enum class Mode {
        Probe, ///< Searches the last index where the logs match, with one request at a time.
        Replicate, ///< Requests are pipelined.
        Snapshot, ///< The peer needs entries that the leader no longer holds; it gets a snapshot in chunks.
    };

    /// Limit of append requests with entries that are unanswered at a time.
    static constexpr size_t maxInFlight = 16;

    Mode mode = Mode::Probe;
    LogIndex matchIndex; ///< Last index known to match and to be synced at the peer.
    LogIndex nextIndex = LogIndex(1); ///< First index to send next.
    std::deque<LogIndex> inFlight; ///< Last index of each unanswered request.
    bool isProbeInFlight = false; ///< A probe is unanswered; only heartbeats are sent meanwhile.
    LogIndex snapshotIndex; ///< Last index that the snapshot in transfer covers.
    uint64_t snapshotOffset = 0; ///< Byte offset of the next chunk.
    TimePoint lastSentAt = TimePoint::distantPast(); ///< When the last request was sent.
    TimePoint answeredRequestSentAt = TimePoint::distantPast(); ///< Send time of the latest request that the peer answered.
    TimePoint lastReplyAt = TimePoint::distantPast(); ///< When the latest reply came, or when the peer was added.

    /// True if another append request may be sent now; `lastIndex` is the leader's.
    bool canSend(LogIndex lastIndex) const
    {
        if (this->mode == Mode::Probe)
            return !this->isProbeInFlight;
        return this->mode == Mode::Replicate && this->nextIndex <= lastIndex && this->inFlight.size() < maxInFlight;
    }

    /// Records that the peer matches and has synced the log up to `index`.
    void onSuccess(LogIndex index)
    {
        this->matchIndex = std::max(this->matchIndex, index);
        this->nextIndex = std::max(this->nextIndex, this->matchIndex.next());
        while (!this->inFlight.empty() && this->inFlight.front() <= this->matchIndex)
            this->inFlight.pop_front();
        this->isProbeInFlight = false;
        if (this->mode == Mode::Probe)
            this->mode = Mode::Replicate;
    }

    /// Returns to probing, from `hint` or the current nextIndex, whichever is lower, but after matchIndex.
    void probeFrom(LogIndex hint)
    {
        this->mode = Mode::Probe;
        this->inFlight.clear();
        this->isProbeInFlight = false;
        this->nextIndex = std::max(this->matchIndex.next(), std::min(hint, this->nextIndex));
    }
};

} // namespace cornelpond
