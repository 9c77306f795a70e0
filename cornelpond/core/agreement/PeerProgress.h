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
    LogIndex match; ///< Last index known to be synced there.
    LogIndex next = LogIndex(1); ///< First index to send.
    std::deque<LogIndex> inFlight; ///< Last index of each unanswered request.
    bool probing = false; ///< A probe is unanswered.
    LogIndex snapshotIndex; ///< Of the snapshot under transfer.
    uint64_t snapshotOffset = 0;
    TimePoint lastSent = TimePoint::distantPast(); ///< When anything was sent last.
    TimePoint confirmed = TimePoint::distantPast(); ///< When the latest answered request was sent.
    TimePoint lastHeard = TimePoint::distantPast(); ///< When the latest answer came.

    bool canSend(LogIndex last) const
    {
        if (this->mode == Mode::Probe)
            return !this->probing;
        return this->mode == Mode::Replicate && this->next <= last && this->inFlight.size() < maxInFlight;
    }

    void onSuccess(LogIndex index)
    {
        this->match = std::max(this->match, index);
        this->next = std::max(this->next, this->match.next());
        while (!this->inFlight.empty() && this->inFlight.front() <= this->match)
            this->inFlight.pop_front();
        this->probing = false;
        if (this->mode == Mode::Probe)
            this->mode = Mode::Replicate;
    }

    /// Goes back to looking for the matching point, from `hint` on.
    void probeFrom(LogIndex hint)
    {
        this->mode = Mode::Probe;
        this->inFlight.clear();
        this->probing = false;
        this->next = std::max(this->match.next(), std::min(hint, this->next));
    }
};

} // namespace cornelpond
