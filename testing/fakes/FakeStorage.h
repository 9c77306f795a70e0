#pragma once

// Storage in memory that loses unsynced writes on a crash and fails on demand. A call that fails may have been
// carried out in part. Throws std::logic_error if it is used after a failure without `discardUnsynced`.
//
// Example:
//   FakeStorage disk;
//   disk.failNext(ResultCode::DiskFull);
//   disk.crash(); // loses unsynced writes

#include "cornelpond/core/base/ResultCode.h"
#include "cornelpond/ports/Storage.h"

#include <algorithm>
#include <optional>
#include <stdexcept>

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
        auto failureCode = this->nextFailure();
        if (!failureCode && !entries.empty())
            failureCode = this->entryFailure;
        size_t const count = failureCode ? entries.size() / 2 : entries.size();
        for (size_t i = 0; i < count; i++) {
            if (entries[i].index > this->written.snapshot.lastIndex)
                this->appendOne(entries[i]);
        }
        this->throwIf(failureCode);
    }

    void truncateFrom(LogIndex index) override
    {
        this->throwIf(this->nextFailure());
        auto& entries = this->written.entries;
        entries.erase(std::find_if(entries.begin(), entries.end(), [&](auto const& entry) { return entry.index >= index; }), entries.end());
    }

    void saveHardState(HardState const& state) override
    {
        this->throwIf(this->nextFailure());
        this->written.hardState = state;
    }

    void saveSnapshot(Snapshot const& snapshot) override
    {
        auto failureCode = this->nextFailure();
        if (!failureCode)
            failureCode = this->snapshotFailure;
        // A failing call ends before its first sync, after it, or once the snapshot is stored.
        size_t const completedSteps = failureCode ? this->failureCount % 3 : 2;
        if (completedSteps > 0)
            this->recordSync();
        if (completedSteps > 1) {
            auto& entries = this->written.entries;
            entries.erase(entries.begin(), std::find_if(entries.begin(), entries.end(), [&](auto const& entry) { return entry.index > snapshot.lastIndex; }));
            this->written.snapshot = snapshot;
            this->synced = this->reportedSynced = this->written;
        }
        this->throwIf(failureCode);
    }

    void sync() override
    {
        this->throwIf(this->nextFailure());
        if (this->syncFailure && this->isSyncedDespiteFailure)
            this->synced = this->written;
        this->throwIf(this->syncFailure);
        this->recordSync();
        this->completedSyncs++;
    }

    void discardUnsynced() override
    {
        this->isUsable = true;
        this->throwIf(this->nextFailure());
        this->throwIf(this->syncFailure);
        this->written = this->reportedSynced;
        this->recordSync();
    }

    /// Loses all unsynced writes and clears the failures that were set.
    void crash()
    {
        this->written = this->reportedSynced = this->synced;
        this->failure.reset();
        this->syncFailure.reset();
        this->callsUntilFailure = 0;
        this->isUsable = true;
    }

    /// The next call that writes or syncs throws Error(code).
    void failNext(ResultCode code) { this->failNth(1, code); }

    /// The n-th call from now that writes or syncs throws Error(code); `calls` is n, from 1.
    void failNth(size_t calls, ResultCode code)
    {
        this->failure = code;
        this->callsUntilFailure = calls;
    }

    /// Every sync throws Error(code) until the next crash or `heal`. With `isSynced` it makes the writes durable all the same.
    void failSyncs(ResultCode code, bool isSynced = false)
    {
        this->syncFailure = code;
        this->isSyncedDespiteFailure = isSynced;
    }

    /// Every call that writes or syncs throws Error(code) until `heal`, also after a crash.
    void failAll(ResultCode code) { this->lastingFailure = code; }

    /// Every saveSnapshot throws Error(code) until `heal`, as on a disk that has room for entries only.
    void failSnapshots(ResultCode code) { this->snapshotFailure = code; }

    /// Every call that adds entries throws Error(code) until `heal`, as on a disk that has room for a few bytes only.
    void failEntries(ResultCode code) { this->entryFailure = code; }

    /// Ends all failures that were set.
    void heal()
    {
        this->snapshotFailure.reset();
        this->entryFailure.reset();
        this->lastingFailure.reset();
        this->syncFailure.reset();
        this->failure.reset();
    }

    /// From now on `sync` returns without making the writes durable, so that a crash loses them.
    void ignoreSyncs() { this->isIgnoringSyncs = true; }

    /// From now on `load` returns the hard state without its vote.
    void forgetVotes() { this->isForgettingVotes = true; }

    /// What a crash now would leave.
    StoredLog const& durable() const { return this->synced; }

    size_t syncCount() const { return this->completedSyncs; }

private:
    void recordSync()
    {
        this->reportedSynced = this->written;
        if (!this->isIgnoringSyncs)
            this->synced = this->written;
    }

    /// The code of the failure that is due in this call.
    std::optional<ResultCode> nextFailure()
    {
        if (!this->isUsable)
            throw std::logic_error("the storage was used after a failure");
        if (this->lastingFailure)
            return this->lastingFailure;
        if (!this->failure || --this->callsUntilFailure > 0)
            return std::nullopt;
        auto const code = this->failure;
        this->failure.reset();
        return code;
    }

    void throwIf(std::optional<ResultCode> failureCode)
    {
        if (!failureCode)
            return;
        this->isUsable = false;
        this->failureCount++;
        throw Error(*failureCode, "the fake disk failed");
    }

    void appendOne(LogEntry const& entry)
    {
        auto const& entries = this->written.entries;
        LogIndex const last = entries.empty() ? this->written.snapshot.lastIndex : entries.back().index;
        if (entry.index != last.next())
            throw std::logic_error("entry " + std::to_string(entry.index.value()) + " was stored after " + std::to_string(last.value()));
        this->written.entries.push_back(entry);
    }

    StoredLog written;
    StoredLog reportedSynced; ///< Of the last sync that reported success.
    StoredLog synced; ///< What a crash leaves.
    std::optional<ResultCode> failure;
    std::optional<ResultCode> syncFailure;
    std::optional<ResultCode> lastingFailure;
    std::optional<ResultCode> snapshotFailure;
    std::optional<ResultCode> entryFailure;
    size_t callsUntilFailure = 0;
    size_t failureCount = 0;
    bool isUsable = true; ///< False from a failure until `discardUnsynced` or a crash.
    bool isIgnoringSyncs = false;
    bool isForgettingVotes = false;
    bool isSyncedDespiteFailure = false;
    size_t completedSyncs = 0;
};

} // namespace cornelpond
