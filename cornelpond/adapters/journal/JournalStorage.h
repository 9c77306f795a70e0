#pragma once

// The Storage port on disk: append-only journal segments and one snapshot file in a folder.
//
// Example:
//   JournalStorage storage("/var/lib/cornelpond/tasks", events);
//   StoredLog const stored = storage.load();
//
// Each record is length, CRC-32 over kind and payload, kind, payload. An incomplete or mismatching last
// record was never synced, hence never acknowledged, and is cut; a mismatch with whole records after it
// is damage and is refused. A snapshot starts a new segment and removes the segments it covers; no entry
// is ever written twice, and none is held in memory. Files: snapshot, journal, journal.1, journal.2, ...

#include "cornelpond/ports/EventSink.h"
#include "cornelpond/ports/Storage.h"

#include <functional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <unistd.h>
#include <vector>

namespace cornelpond {

/// The system calls that can fail for want of space or by a broken disk; tests put failing ones in.
struct FileSystemCalls {
    std::function<ssize_t(int file, void const* bytes, size_t count)> write = ::write;
    std::function<int(int file)> sync = ::fdatasync;
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

    /// Reads a folder without changing it; `tornBytes` gets the length of an incomplete tail.
    static StoredLog inspect(std::string const& folder, size_t& tornBytes);

private:
    struct Segment {
        uint64_t number = 0;
        LogIndex highestIndex; ///< Highest index that was ever written to it.
    };

    std::string segmentPath(uint64_t number) const;
    void writeToSegment(std::string_view bytes);
    void writeTo(int target, std::string_view bytes, std::string const& path);
    void syncFile(int target, std::string const& path);
    void writeNewFile(std::string const& path, std::string_view bytes);
    void startSegment();
    void removeCoveredSegments(LogIndex covered);

    std::string folder;
    EventSink& events;
    FileSystemCalls systemCalls;
    int segmentDescriptor = -1; ///< The last segment.
    HardState hardState; ///< Opens every segment.
    std::vector<Segment> segments; ///< Rising; the last is written to.
};

} // namespace cornelpond
