#pragma once

// The entries of one replicated log that are in memory, and the memberships that they set.
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

    /// `initial` is in force unless the snapshot or an entry sets another membership.
    EntryLog(StoredLog stored, Membership initial);

    LogIndex lastIndex() const { return LogIndex(this->base.value() + this->entries.size()); }
    Term lastTerm() const { return this->termAt(this->lastIndex()); }

    /// The index before the first entry in memory.
    LogIndex baseIndex() const { return this->base; }

    /// Precondition: baseIndex() <= index <= lastIndex().
    Term termAt(LogIndex index) const;

    /// Precondition: baseIndex() < index <= lastIndex().
    LogEntry const& at(LogIndex index) const;

    /// Entries from `first` on with at most `maxBytes` of payload in total, but at least one if there is any.
    std::vector<LogEntry> slice(LogIndex first, size_t maxBytes) const;

    /// The first index in memory with the same term as `index`.
    LogIndex firstOfTermAt(LogIndex index) const;

    /// Precondition: entry.index follows lastIndex().
    void append(LogEntry entry);

    /// Drops the entry at `index` and all after it.
    void truncateFrom(LogIndex index);

    /// Drops the entries up to and including `index`, if they are still in memory.
    void compactTo(LogIndex index);

    /// Drops all entries and restarts the log after a snapshot whose last entry has this index and term.
    void reset(LogIndex index, Term term, Membership membership);

    /// The membership in force: the latest in the log, whether committed or not.
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
    std::vector<MembershipPoint> memberships { MembershipPoint {} }; ///< By rising index; the first is in force at the base index.
    size_t bytes = 0;
};

} // namespace cornelpond
