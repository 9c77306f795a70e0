#pragma once

// The entries of one replicated log that are held in memory, and the memberships among them.
//
// Example:
//   EntryLog log(stored, bootstrapMembership);
//   log.append(entry);
//   log.termAt(entry.index);

#include "cornelpond/core/agreement/Membership.h"
#include "cornelpond/ports/Storage.h"

#include <deque>

namespace cornelpond {

class EntryLog {
public:
    EntryLog() = default;

    /// `initial` is in force until the snapshot or an entry says otherwise.
    EntryLog(StoredLog stored, Membership initial);

    LogIndex lastIndex() const { return LogIndex(this->base.value() + this->entries.size()); }
    Term lastTerm() const { return this->termAt(this->lastIndex()); }

    /// The index before the first entry held here.
    LogIndex baseIndex() const { return this->base; }

    /// Precondition: baseIndex() <= index <= lastIndex().
    Term termAt(LogIndex index) const;

    /// Precondition: baseIndex() < index <= lastIndex().
    LogEntry const& at(LogIndex index) const;

    /// Entries from `first` on, of at most `maxBytes` of payload together, but at least one when there is one.
    std::vector<LogEntry> slice(LogIndex first, size_t maxBytes) const;

    /// The first held index of the term that `index` belongs to.
    LogIndex firstOfTermAt(LogIndex index) const;

    /// Precondition: the entry follows the last one.
    void append(LogEntry entry);

    /// Drops the entry at `index` and all after it.
    void truncateFrom(LogIndex index);

    /// Drops the entries up to `index`; does nothing when they are gone already.
    void compactTo(LogIndex index);

    /// Replaces everything by the point that a snapshot covers.
    void reset(LogIndex index, Term term, Membership membership);

    /// The membership in force: the latest in the log, committed or not.
    Membership const& membership() const { return this->memberships.back().membership; }
    LogIndex membershipIndex() const { return this->memberships.back().index; }

    /// The latest membership at or before `index`.
    Membership const& membershipAt(LogIndex index) const;

    size_t payloadBytes() const { return this->bytes; }
    size_t size() const { return this->entries.size(); }

private:
    struct MembershipPoint {
        LogIndex index;
        Membership membership;
    };

    LogIndex base;
    Term baseTerm;
    std::deque<LogEntry> entries;
    std::vector<MembershipPoint> memberships { MembershipPoint {} }; ///< Rising; the first is in force at the base.
    size_t bytes = 0;
};

} // namespace cornelpond
