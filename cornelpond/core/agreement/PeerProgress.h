#pragma once

// What a leader knows of one other member of its group: how far its log goes and when it last answered.
//
// Example:
//   progress.onSuccess(LogIndex(7));
//   if (progress.canSend(log.lastIndex()))
//       send(progress.next);

#include "cornelpond/core/base/Duration.h"
#include "cornelpond/core/base/Ids.h"

#include <algorithm>
#include <deque>

namespace cornelpond {

struct PeerProgress {
    enum class Mode {
        Probe, ///< The matching point is being looked for; one request at a time.
        Replicate, ///< Requests are pipelined.
        Snapshot, ///< The peer needs entries that are gone; it gets the state in chunks.
    };

    /// Requests with entries that may be unanswered at a time.
    static constexpr size_t maxInFlight = 16;

    Mode mode = Mode::Probe;
    LogIndex matchIndex; ///< Last index known to be synced there.
    LogIndex nextIndex = LogIndex(1); ///< First index to send.
    std::deque<LogIndex> inFlight; ///< Last index of each unanswered request.
    bool isProbeInFlight = false; ///< A probe is unanswered.
    LogIndex snapshotIndex; ///< Of the snapshot under transfer.
    uint64_t snapshotOffset = 0;
    TimePoint lastSentAt = TimePoint::distantPast(); ///< When anything was sent last.
    TimePoint answeredRequestSentAt = TimePoint::distantPast(); ///< When the latest answered request was sent.
    TimePoint lastReplyAt = TimePoint::distantPast(); ///< When the latest answer came.

    bool canSend(LogIndex last) const
    {
        if (this->mode == Mode::Probe)
            return !this->isProbeInFlight;
        return this->mode == Mode::Replicate && this->nextIndex <= last && this->inFlight.size() < maxInFlight;
    }

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

    /// Goes back to looking for the matching point, from `hint` on.
    void probeFrom(LogIndex hint)
    {
        this->mode = Mode::Probe;
        this->inFlight.clear();
        this->isProbeInFlight = false;
        this->nextIndex = std::max(this->matchIndex.next(), std::min(hint, this->nextIndex));
    }
};

} // namespace cornelpond
