#pragma once

// The Storage port on disk: append-only journal segments and one snapshot file in a folder.
//
// Example:
//   JournalStorage storage("/var/lib/cornelpond/tasks", events);
//   StoredLog const stored = storage.load();
//
// Each record consists of the payload length, a CRC-32 over kind and payload, the kind and the payload. After
// a power loss, each write since the last sync may be present, missing or torn, whatever became of the others.
// So a sync point is written after each sync: a record which proves that everything before it was durable. A
// record that is incomplete or fails its checksum was never acknowledged if no sync point follows, and `load`
// cuts it off with all that is behind it. If one follows, `load` throws Error(StorageDamaged).
//
// A snapshot starts a new segment and removes the segments that it covers. The folder is not synced after the
// removals, each of which a power loss may undo: a segment begins with the number of the oldest one that was
// still needed, and `load` ignores those before it. No entry is written twice, and none is kept in memory. A
// new segment is used only once its name and the snapshot's are durable, so that after a failure the last
// segment can be cut back to its last sync.
// Files: snapshot, journal, journal.1, journal.2, ...

#include "cornelpond/ports/EventSink.h"
#include "cornelpond/ports/Storage.h"

#include <cstdio>
#include <fcntl.h>
#include <functional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <unistd.h>
#include <vector>

namespace cornelpond {

/// The system calls that fail when the disk is full or broken; tests replace them by failing ones.
struct FileSystemCalls {
    std::function<ssize_t(int descriptor, void const* bytes, size_t count)> write = ::write;
    std::function<int(int descriptor)> sync = ::fdatasync;
    std::function<int(int descriptor)> syncFolder = ::fsync;
    std::function<int(char const* path, int flags)> open = [](char const* path, int flags) { return ::open(path, flags, 0600); };
    std::function<int(char const* from, char const* to)> rename = std::rename;
    std::function<int(char const* path)> unlink = ::unlink;
    std::function<int(int descriptor, off_t length)> truncate = ::ftruncate;
};

class JournalStorage final : public Storage {
public:
    /// Creates the folder when absent. `events` must outlive the object.
    JournalStorage(std::string folder, EventSink& events, FileSystemCalls calls = FileSystemCalls());
    ~JournalStorage() override;
    JournalStorage(JournalStorage const&) = delete;
    JournalStorage& operator=(JournalStorage const&) = delete;

    StoredLog load() override;
    void append(Span<LogEntry const> entries) override;
    void truncateFrom(LogIndex index) override;
    void saveHardState(HardState const& state) override;
    void saveSnapshot(Snapshot const& snapshot) override;
    void sync() override;
    void discardUnsynced() override;

    /// Reads a folder without changing it; `tornBytes` is set to the length of a tail that was never synced.
    static StoredLog inspect(std::string const& folder, size_t& tornBytes);

private:
    struct Segment {
        uint64_t number = 0;
        LogIndex highestIndex; ///< Highest index ever written to it, entries truncated since included.
    };

    std::string segmentPath(uint64_t number) const;
    void writeToSegment(std::string_view bytes);
    void writeTo(int descriptor, std::string_view bytes, std::string const& path);
    void syncFile(int descriptor, std::string const& path);
    void syncSegment();
    void writeSyncPoint();
    void writeNewFile(std::string const& path, std::string_view bytes);
    int openFile(std::string const& path, int flags);
    void syncFolder(std::string const& path);
    void renameFile(std::string const& from, std::string const& to);
    void removeFile(std::string const& path);
    void cutSegment(size_t length);
    void startSegment(uint64_t number, size_t bytes);
    uint64_t oldestNeededSegment(LogIndex covered) const;
    void removeCoveredSegments(LogIndex covered);

    std::string folder;
    EventSink& events;
    FileSystemCalls systemCalls;
    int segmentDescriptor = -1; ///< Of the last segment; -1 before `load`.
    size_t segmentBytes = 0; ///< Length of the records written to the last segment.
    size_t syncedBytes = 0; ///< Length of those that are durable.
    size_t syncPointEnd = 0; ///< End of the latest sync point in the last segment; 0: none.
    HardState hardState; ///< Written at the start of each new segment.
    HardState syncedHardState;
    std::vector<Segment> segments; ///< All in the folder, in ascending order; writes go to the last one.
};

} // namespace cornelpond
