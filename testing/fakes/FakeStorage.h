#pragma once

// Storage in memory that loses unsynced writes on a crash and fails on demand.
//
// Example:
//   FakeStorage disk;
//   disk.failNext(ResultCode::DiskFull);
//   disk.crash(); // loses unsynced writes

#include "cornelpond/core/base/ResultCode.h"
#include "cornelpond/ports/Storage.h"

#include <algorithm>
#include <optional>

namespace cornelpond {

class FakeStorage final : public Storage {
public:
    StoredLog load() override
    {
        if (this->isForgettingVotes)
            this->written.hardState.votedFor = HostId();
        return this->written;
    }

    void append(Span<LogEntry const> entries) override
    {
        this->throwIfFailureDue();
        this->written.entries.insert(this->written.entries.end(), entries.begin(), entries.end());
    }

    void truncateFrom(LogIndex index) override
    {
        this->throwIfFailureDue();
        auto& entries = this->written.entries;
        entries.erase(std::find_if(entries.begin(), entries.end(), [&](auto const& entry) { return entry.index >= index; }), entries.end());
    }

    void saveHardState(HardState const& state) override
    {
        this->throwIfFailureDue();
        this->written.hardState = state;
    }

    void saveSnapshot(Snapshot const& snapshot) override
    {
        this->throwIfFailureDue();
        auto& entries = this->written.entries;
        entries.erase(entries.begin(), std::find_if(entries.begin(), entries.end(), [&](auto const& entry) { return entry.index > snapshot.lastIndex; }));
        this->written.snapshot = snapshot;
        this->synced = this->written;
    }

    void sync() override
    {
        this->throwIfFailureDue();
        if (this->syncFailure) {
            if (this->isSyncedDespiteFailure)
                this->synced = this->written;
            throw Error(*this->syncFailure, "the fake disk failed to sync");
        }
        if (!this->isIgnoringSyncs)
            this->synced = this->written;
        this->completedSyncs++;
    }

    /// Loses all unsynced writes and clears the failures that were set.
    void crash()
    {
        this->written = this->synced;
        this->failure.reset();
        this->syncFailure.reset();
        this->callsUntilFailure = 0;
    }

    /// The next call that writes or syncs throws Error(code).
    void failNext(ResultCode code) { this->failNth(1, code); }

    /// The n-th call from now that writes or syncs throws Error(code); `calls` is n, from 1.
    void failNth(size_t calls, ResultCode code)
    {
        this->failure = code;
        this->callsUntilFailure = calls;
    }

    /// Every sync throws Error(code) until the next crash. With `isSynced` it makes the writes durable all the same.
    void failSyncs(ResultCode code, bool isSynced = false)
    {
        this->syncFailure = code;
        this->isSyncedDespiteFailure = isSynced;
    }

    /// Every call that writes or syncs throws Error(code) until `heal`, also after a crash.
    void failAll(ResultCode code) { this->lastingFailure = code; }

    /// Ends `failAll`.
    void heal() { this->lastingFailure.reset(); }

    /// From now on `sync` returns without making the writes durable, so that a crash loses them.
    void ignoreSyncs() { this->isIgnoringSyncs = true; }

    /// From now on `load` returns the hard state without its vote.
    void forgetVotes() { this->isForgettingVotes = true; }

    size_t syncCount() const { return this->completedSyncs; }

private:
    void throwIfFailureDue()
    {
        if (this->lastingFailure)
            throw Error(*this->lastingFailure, "the fake disk fails every call");
        if (!this->failure || --this->callsUntilFailure > 0)
            return;
        ResultCode const code = *this->failure;
        this->failure.reset();
        throw Error(code, "the fake disk failed");
    }

    StoredLog written;
    StoredLog synced;
    std::optional<ResultCode> failure;
    std::optional<ResultCode> syncFailure;
    std::optional<ResultCode> lastingFailure;
    size_t callsUntilFailure = 0;
    bool isIgnoringSyncs = false;
    bool isForgettingVotes = false;
    bool isSyncedDespiteFailure = false;
    size_t completedSyncs = 0;
};

} // namespace cornelpond
