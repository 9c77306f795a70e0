#pragma once

// Durable state of one replicated log: its entries, its vote and its snapshot.
//
// Contract: nothing is durable before `sync` has returned, unless a function says otherwise. A function that
// writes throws Error(StorageFailed) or Error(DiskFull) on failure; after that the caller must acknowledge
// nothing more and must call nothing else until `discardUnsynced` has returned. Loop thread only.

#include "cornelpond/core/base/Ids.h"
#include "cornelpond/core/base/Span.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cornelpond {

/// The use of an entry. The numbers are stored and never change meaning.
enum class EntryKind : uint8_t {
    Command = 0, ///< For the state machine.
    Barrier = 1, ///< A new leader's first entry; its payload is empty.
    Membership = 2, ///< The group's voters and learners from this index on.
};

/// One entry of a replicated log.
struct LogEntry {
    LogIndex index;
    Term term;
    EntryKind kind = EntryKind::Command;
    std::string payload; ///< Opaque bytes.
};

/// The term and vote that must survive a crash.
struct HardState {
    Term term;
    HostId votedFor; ///< Empty when this host has not voted in `term`.
};

/// A state machine's state after `lastIndex`, and the membership in force there.
struct Snapshot {
    LogIndex lastIndex;
    Term lastTerm;
    std::string membership; ///< Opaque to storage.
    std::string state; ///< Opaque bytes.
};

/// The state read back at start.
struct StoredLog {
    HardState hardState;
    Snapshot snapshot; ///< lastIndex is 0 when none was taken.
    std::vector<LogEntry> entries; ///< Contiguous; the first follows the snapshot.
};

class Storage {
public:
    virtual ~Storage() = default;

    /// Reads the stored state. Throws Error(StorageDamaged) for damage other than an incomplete last record.
    virtual StoredLog load() = 0;

    /// Adds entries whose indexes continue those of the stored ones.
    virtual void append(Span<LogEntry const> entries) = 0;

    /// Removes the entry at `index` and all later ones.
    virtual void truncateFrom(LogIndex index) = 0;

    virtual void saveHardState(HardState const& state) = 0;

    /// Replaces the snapshot and removes all entries up to its last index. Durable on return, like everything
    /// written before. On failure the stored snapshot is the old or the new one.
    virtual void saveSnapshot(Snapshot const& snapshot) = 0;

    /// Makes everything written so far durable.
    virtual void sync() = 0;

    /// Makes the object usable after a failure: returns the entries and the hard state to what the last
    /// successful `sync` made durable, or to what a `saveSnapshot` that failed has made durable since. The
    /// caller must write again all that it has written since that `sync`, since a failed sync may leave
    /// writes that neither are durable nor will be by another sync. On failure it may be called again.
    virtual void discardUnsynced() = 0;
};

} // namespace cornelpond
