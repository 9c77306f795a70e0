#include "cornelpond/adapters/journal/JournalStorage.h"

#include "cornelpond/core/base/ResultCode.h"

#include <boost/crc.hpp>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <unistd.h>

namespace cornelpond {

namespace {

    constexpr size_t recordHeaderBytes = 9; // 4 for the length, 4 for the checksum, 1 for the kind
    constexpr size_t maxRecordBytes = size_t(256) * 1024 * 1024;

    enum class RecordKind : uint8_t {
        Entry = 1,
        Truncate = 2,
        HardState = 3,
        SnapshotState = 4,
        SyncPoint = 5,
        SegmentStart = 6,
    };

    template <typename Number>
    void putNumber(std::string& out, Number value)
    {
        for (size_t i = 0; i < sizeof(Number); i++)
            out.push_back(static_cast<char>((static_cast<uint64_t>(value) >> (8 * i)) & 0xFFU));
    }

    void putText(std::string& out, std::string_view text)
    {
        putNumber(out, static_cast<uint32_t>(text.size()));
        out.append(text);
    }

    [[noreturn]] void throwDamaged(std::string const& what)
    {
        throw Error(ResultCode::StorageDamaged, what);
    }

    /// Reads fields off the front of a record's payload.
    class FieldReader {
    public:
        explicit FieldReader(std::string_view bytes)
            : bytes(bytes)
        {
        }

        template <typename Number>
        Number number()
        {
            std::string_view const fieldBytes = this->take(sizeof(Number));
            uint64_t value = 0;
            for (size_t i = 0; i < sizeof(Number); i++)
                value |= static_cast<uint64_t>(static_cast<unsigned char>(fieldBytes[i])) << (8 * i);
            return static_cast<Number>(value);
        }

        std::string text()
        {
            auto const length = this->number<uint32_t>();
            return std::string(this->take(length));
        }

    private:
        std::string_view take(size_t length)
        {
            if (length > this->bytes.size())
                throwDamaged("a record is shorter than its fields");
            std::string_view const taken = this->bytes.substr(0, length);
            this->bytes.remove_prefix(length);
            return taken;
        }

        std::string_view bytes;
    };

    uint32_t checksum(RecordKind kind, std::string_view payload)
    {
        boost::crc_32_type crc;
        crc.process_byte(static_cast<unsigned char>(kind));
        crc.process_bytes(payload.data(), payload.size());
        return crc.checksum();
    }

    std::string encodeRecord(RecordKind kind, std::string_view payload)
    {
        std::string record;
        record.reserve(recordHeaderBytes + payload.size());
        putNumber(record, static_cast<uint32_t>(payload.size()));
        putNumber(record, checksum(kind, payload));
        record.push_back(static_cast<char>(kind));
        record.append(payload);
        return record;
    }

    std::string encode(LogEntry const& entry)
    {
        std::string payload;
        putNumber(payload, entry.index.value());
        putNumber(payload, entry.term.value());
        putNumber(payload, static_cast<uint8_t>(entry.kind));
        putText(payload, entry.payload);
        return encodeRecord(RecordKind::Entry, payload);
    }

    std::string encode(HardState const& state)
    {
        std::string payload;
        putNumber(payload, state.term.value());
        putText(payload, state.votedFor.value());
        return encodeRecord(RecordKind::HardState, payload);
    }

    std::string encode(Snapshot const& snapshot)
    {
        std::string payload;
        putNumber(payload, snapshot.lastIndex.value());
        putNumber(payload, snapshot.lastTerm.value());
        putText(payload, snapshot.membership);
        putText(payload, snapshot.state);
        return encodeRecord(RecordKind::SnapshotState, payload);
    }

    /// The first record of a segment that a snapshot started.
    struct SegmentStart {
        uint64_t oldestNeeded = 0; ///< Number of the oldest segment that holds entries after the snapshot.
        LogIndex snapshotIndex; ///< The snapshot's last index.
    };

    std::string encode(SegmentStart const& start)
    {
        std::string payload;
        putNumber(payload, start.oldestNeeded);
        putNumber(payload, start.snapshotIndex.value());
        return encodeRecord(RecordKind::SegmentStart, payload);
    }

    /// A sync point holds its own offset in the segment, so that no payload of an entry is taken for one.
    std::string encodeSyncPoint(size_t offset)
    {
        std::string payload;
        putNumber(payload, static_cast<uint64_t>(offset));
        return encodeRecord(RecordKind::SyncPoint, payload);
    }

    struct Record {
        RecordKind kind;
        std::string_view payload;
        size_t bytes; ///< Header included.
    };

    /// Reads the record at the front. False when it is incomplete or its checksum does not match.
    bool readRecord(std::string_view bytes, Record& record)
    {
        if (bytes.size() < recordHeaderBytes)
            return false;
        FieldReader header(bytes);
        auto const length = header.number<uint32_t>();
        auto const expectedChecksum = header.number<uint32_t>();
        auto const kind = static_cast<RecordKind>(header.number<uint8_t>());
        if (length > maxRecordBytes || length > bytes.size() - recordHeaderBytes)
            return false;
        record = { kind, bytes.substr(recordHeaderBytes, length), recordHeaderBytes + length };
        return checksum(kind, record.payload) == expectedChecksum;
    }

    /// True when the segment holds a sync point at or after `offset`.
    bool hasSyncPointFrom(std::string_view segment, size_t offset)
    {
        size_t const recordBytes = encodeSyncPoint(0).size();
        for (; offset + recordBytes <= segment.size(); offset++) {
            // Compared first, since a sync point is expected at few offsets.
            bool const isSyncPoint = static_cast<RecordKind>(segment[offset + recordHeaderBytes - 1]) == RecordKind::SyncPoint;
            if (isSyncPoint && segment.compare(offset, recordBytes, encodeSyncPoint(offset)) == 0)
                return true;
        }
        return false;
    }

    void removeFrom(std::vector<LogEntry>& entries, LogIndex index)
    {
        auto const first = std::find_if(entries.begin(), entries.end(), [&](auto const& entry) { return entry.index >= index; });
        entries.erase(first, entries.end());
    }

    void applyRecord(Record const& record, StoredLog& log)
    {
        FieldReader fields(record.payload);
        switch (record.kind) {
        case RecordKind::Entry: {
            LogEntry entry;
            entry.index = LogIndex(fields.number<uint64_t>());
            entry.term = Term(fields.number<uint64_t>());
            entry.kind = static_cast<EntryKind>(fields.number<uint8_t>());
            entry.payload = fields.text();
            if (entry.index <= log.snapshot.lastIndex)
                return;
            LogIndex const last = log.entries.empty() ? log.snapshot.lastIndex : log.entries.back().index;
            if (entry.index != last.next())
                throwDamaged("entry " + std::to_string(entry.index.value()) + " does not follow " + std::to_string(last.value()));
            log.entries.push_back(std::move(entry));
            return;
        }
        case RecordKind::Truncate:
            removeFrom(log.entries, LogIndex(fields.number<uint64_t>()));
            return;
        case RecordKind::HardState:
            log.hardState.term = Term(fields.number<uint64_t>());
            log.hardState.votedFor = HostId(fields.text());
            return;
        case RecordKind::SyncPoint:
        case RecordKind::SegmentStart:
            return; // Neither changes the log.
        case RecordKind::SnapshotState:
            throwDamaged("a snapshot record inside the journal");
        }
        throwDamaged("a record of unknown kind");
    }

    std::string readFile(std::string const& path)
    {
        std::ifstream in(path, std::ios::binary);
        if (!in)
            throw Error(ResultCode::StorageFailed, "cannot open " + path);
        try {
            return { std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>() };
        } catch (std::ios_base::failure const& failure) {
            throw Error(ResultCode::StorageFailed, "cannot read " + path + ": " + failure.what());
        }
    }

    Snapshot readSnapshot(std::string const& folder)
    {
        Snapshot snapshot;
        std::string const path = folder + "/snapshot";
        std::error_code error;
        if (!std::filesystem::exists(path, error)) {
            if (error)
                throw Error(ResultCode::StorageFailed, "cannot read " + path + ": " + error.message());
            return snapshot;
        }
        std::string const bytes = readFile(path);
        Record record {};
        if (!readRecord(bytes, record) || record.bytes != bytes.size() || record.kind != RecordKind::SnapshotState)
            throwDamaged(path + " does not hold one whole snapshot");
        FieldReader fields(record.payload);
        snapshot.lastIndex = LogIndex(fields.number<uint64_t>());
        snapshot.lastTerm = Term(fields.number<uint64_t>());
        snapshot.membership = fields.text();
        snapshot.state = fields.text();
        return snapshot;
    }

    std::string segmentName(uint64_t number)
    {
        return number ? "journal." + std::to_string(number) : "journal";
    }

    std::vector<std::string> fileNames(std::string const& folder)
    {
        std::vector<std::string> names;
        try {
            for (auto const& entry : std::filesystem::directory_iterator(folder))
                names.push_back(entry.path().filename().string());
        } catch (std::filesystem::filesystem_error const& failure) {
            throw Error(ResultCode::StorageFailed, "cannot list " + folder + ": " + failure.code().message());
        }
        return names;
    }

    /// The numbers of the segments in the folder, ascending.
    std::vector<uint64_t> listSegments(std::string const& folder)
    {
        std::vector<uint64_t> numbers;
        for (auto const& name : fileNames(folder)) {
            uint64_t number = 0;
            if (name.rfind("journal.", 0) == 0)
                std::from_chars(name.data() + std::strlen("journal."), name.data() + name.size(), number);
            if (name == segmentName(number))
                numbers.push_back(number);
        }
        std::sort(numbers.begin(), numbers.end());
        return numbers;
    }

    /// Reads the start of a segment. False when it has none that is complete, with the hard state behind it: it is the first of
    /// the journal, or was being started when the power was lost.
    bool readSegmentStart(std::string const& path, SegmentStart& start)
    {
        std::string const bytes = readFile(path);
        Record record {};
        if (!readRecord(bytes, record) || record.kind != RecordKind::SegmentStart)
            return false;
        FieldReader fields(record.payload);
        start.oldestNeeded = fields.number<uint64_t>();
        start.snapshotIndex = LogIndex(fields.number<uint64_t>());
        return readRecord(std::string_view(bytes).substr(record.bytes), record) && record.kind == RecordKind::HardState;
    }

    /// The segments, of those in the folder, that the snapshot does not cover; the others were removed, but a power loss may
    /// have undone that. Throws Error(StorageDamaged) when one is missing, or the snapshot itself.
    std::vector<uint64_t> neededSegments(std::string const& folder, std::vector<uint64_t> const& present, LogIndex snapshotIndex)
    {
        // A start that tells of a later snapshot than the stored one was written before a power loss that undid the snapshot.
        SegmentStart start;
        auto const isInForce = [&](uint64_t number) { return readSegmentStart(folder + "/" + segmentName(number), start) && start.snapshotIndex <= snapshotIndex; };
        bool const hasStart = std::find_if(present.rbegin(), present.rend(), isInForce) != present.rend();
        if (!hasStart) {
            // Before the snapshot that the oldest segment starts with was stored, an older segment was there.
            if (!present.empty() && readSegmentStart(folder + "/" + segmentName(present.front()), start))
                throwDamaged(folder + " lacks the snapshot that " + segmentName(present.front()) + " starts with");
            start.oldestNeeded = present.empty() ? 0 : present.front();
        }
        std::vector<uint64_t> needed(std::lower_bound(present.begin(), present.end(), start.oldestNeeded), present.end());
        for (size_t i = 0; i < needed.size(); i++) {
            if (needed[i] != start.oldestNeeded + i)
                throwDamaged(folder + " lacks " + segmentName(start.oldestNeeded + i));
        }
        return needed;
    }

    struct SegmentEnd {
        uint64_t number = 0;
        size_t completeBytes = 0; ///< Length of the complete records.
        size_t unsyncedBytes = 0; ///< Length of what is behind them.
        size_t syncPointEnd = 0; ///< End of the latest sync point among them; 0: none.
        bool hasHardState = false;
        LogIndex lastEntry; ///< Highest index ever written to it, entries truncated since included.
    };

    SegmentEnd readSegment(std::string const& path, StoredLog& log)
    {
        SegmentEnd end;
        std::string const bytes = readFile(path);
        std::string_view rest = bytes;
        Record record {};
        while (readRecord(rest, record)) {
            applyRecord(record, log);
            end.completeBytes += record.bytes;
            if (record.kind == RecordKind::Entry)
                end.lastEntry = std::max(end.lastEntry, LogIndex(FieldReader(record.payload).number<uint64_t>()));
            end.hasHardState |= record.kind == RecordKind::HardState;
            if (record.kind == RecordKind::SyncPoint)
                end.syncPointEnd = end.completeBytes;
            rest.remove_prefix(record.bytes);
        }
        if (hasSyncPointFrom(bytes, end.completeBytes))
            throwDamaged(path + " is damaged at byte " + std::to_string(end.completeBytes));
        end.unsyncedBytes = rest.size();
        return end;
    }

    /// What a folder holds.
    struct StoredFiles {
        StoredLog log;
        std::vector<uint64_t> present; ///< All segments.
        std::vector<SegmentEnd> ends; ///< Of the segments that the snapshot does not cover.
    };

    /// Reads the snapshot and the segments that it does not cover. Only the last one may hold unsynced records, because each
    /// of the others was synced before the next one was started.
    StoredFiles readFolder(std::string const& folder)
    {
        StoredFiles files;
        files.log.snapshot = readSnapshot(folder);
        files.present = listSegments(folder);
        for (uint64_t const number : neededSegments(folder, files.present, files.log.snapshot.lastIndex)) {
            if (!files.ends.empty() && files.ends.back().unsyncedBytes)
                throwDamaged(folder + "/" + segmentName(number - 1) + " ends in a torn record but is not the last");
            files.ends.push_back(readSegment(folder + "/" + segmentName(number), files.log));
            files.ends.back().number = number;
        }
        // Each segment but the first holds a copy of the hard state, which was durable before the earlier ones were removed.
        if (!files.ends.empty() && files.ends.front().number && !files.ends.front().hasHardState)
            throwDamaged(folder + "/" + segmentName(files.ends.front().number) + " is damaged at its start");
        return files;
    }

    [[noreturn]] void throwWriteError(std::string const& what)
    {
        int const error = errno;
        ResultCode const code = error == ENOSPC || error == EDQUOT ? ResultCode::DiskFull : ResultCode::StorageFailed;
        throw Error(code, what + ": " + std::strerror(error));
    }

} // namespace

JournalStorage::JournalStorage(std::string folder, EventSink& events, FileSystemCalls calls)
    : folder(std::move(folder))
    , events(events)
    , systemCalls(std::move(calls))
{
    // The entry of each new folder in its parent must survive a power loss too.
    std::error_code error;
    std::vector<std::filesystem::path> parents { std::filesystem::absolute(this->folder).parent_path() };
    while (!std::filesystem::exists(parents.back(), error) && parents.back().has_relative_path())
        parents.push_back(parents.back().parent_path());
    std::filesystem::create_directories(this->folder, error);
    if (error)
        throw Error(ResultCode::StorageFailed, "cannot create " + this->folder + ": " + error.message());
    for (auto const& parent : parents)
        this->syncFolder(parent.string());
}

JournalStorage::~JournalStorage()
{
    if (this->segmentDescriptor >= 0)
        ::close(this->segmentDescriptor);
}

StoredLog JournalStorage::load()
{
    StoredFiles files = readFolder(this->folder);
    StoredLog& log = files.log;
    this->segments.clear();
    // Segments that the snapshot covers are kept in the list, so that the next snapshot removes them.
    size_t const coveredCount = files.present.size() - files.ends.size();
    for (size_t i = 0; i < coveredCount; i++)
        this->segments.push_back({ files.present[i], LogIndex() });
    for (auto const& end : files.ends)
        this->segments.push_back({ end.number, end.lastEntry });
    if (this->segments.empty())
        this->segments.push_back({ 0, LogIndex() });
    SegmentEnd const end = files.ends.empty() ? SegmentEnd() : files.ends.back();
    std::string const path = this->segmentPath(this->segments.back().number);
    int const descriptor = this->openFile(path, O_WRONLY | O_CREAT | O_APPEND);
    if (this->segmentDescriptor >= 0)
        ::close(this->segmentDescriptor);
    this->segmentDescriptor = descriptor;
    this->segmentBytes = end.completeBytes;
    this->syncPointEnd = end.syncPointEnd;
    this->hardState = log.hardState;
    if (end.unsyncedBytes) {
        this->cutSegment(end.completeBytes);
        this->events.emit(Event(EventId::JournalTailCut).with("folder", this->folder).with("segment", end.number).with("atByte", end.completeBytes).with("bytes", end.unsyncedBytes).with("syncPointEnd", end.syncPointEnd));
    }
    // The power was lost while the segment was being started. The earlier ones, which hold the hard state, may be removed now.
    if (end.number && !end.hasHardState)
        this->writeToSegment(encode(this->hardState));
    this->syncSegment();
    this->syncFolder(this->folder);
    this->writeSyncPoint();
    LogIndex const last = log.entries.empty() ? log.snapshot.lastIndex : log.entries.back().index;
    this->events.emit(Event(EventId::JournalOpened)
                          .with("folder", this->folder)
                          .with("term", log.hardState.term)
                          .with("lastIndex", last)
                          .with("entries", log.entries.size())
                          .with("segments", files.ends.size())
                          .with("coveredSegments", coveredCount));
    return std::move(log);
}

StoredLog JournalStorage::inspect(std::string const& folder, size_t& tornBytes)
{
    if (!std::filesystem::is_directory(folder))
        throw Error(ResultCode::NotFound, folder + " is not a folder");
    StoredFiles files = readFolder(folder);
    tornBytes = files.ends.empty() ? 0 : files.ends.back().unsyncedBytes;
    return std::move(files.log);
}

std::string JournalStorage::segmentPath(uint64_t number) const
{
    return this->folder + "/" + segmentName(number);
}

void JournalStorage::writeTo(int descriptor, std::string_view bytes, std::string const& path)
{
    while (!bytes.empty()) {
        ssize_t const written = this->systemCalls.write(descriptor, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR)
            continue;
        if (written < 0)
            throwWriteError("writing " + path);
        bytes.remove_prefix(static_cast<size_t>(written));
    }
}

void JournalStorage::syncFile(int descriptor, std::string const& path)
{
    if (this->systemCalls.sync(descriptor) < 0)
        throwWriteError("syncing " + path);
}

void JournalStorage::writeToSegment(std::string_view bytes)
{
    this->writeTo(this->segmentDescriptor, bytes, this->segmentPath(this->segments.back().number));
    this->segmentBytes += bytes.size();
}

void JournalStorage::append(Span<LogEntry const> entries)
{
    if (entries.empty())
        return;
    std::string bytes;
    for (auto const& entry : entries)
        bytes += encode(entry);
    this->writeToSegment(bytes);
    LogIndex& last = this->segments.back().highestIndex;
    last = std::max(last, entries[entries.size() - 1].index);
}

void JournalStorage::truncateFrom(LogIndex index)
{
    std::string payload;
    putNumber(payload, index.value());
    this->writeToSegment(encodeRecord(RecordKind::Truncate, payload));
}

void JournalStorage::saveHardState(HardState const& state)
{
    this->writeToSegment(encode(state));
    this->hardState = state;
}

void JournalStorage::saveSnapshot(Snapshot const& snapshot)
{
    this->syncSegment(); // Without a sync point, which a power loss could tear: the next segment proves as much.
    std::string const path = this->folder + "/snapshot";
    std::string const temporary = path + ".new";
    this->writeNewFile(temporary, encode(snapshot));
    uint64_t const nextSegment = this->segments.back().number + 1;
    std::string const head = encode(SegmentStart { this->oldestNeededSegment(snapshot.lastIndex), snapshot.lastIndex }) + encode(this->hardState);
    this->writeNewFile(this->segmentPath(nextSegment), head);
    this->renameFile(temporary, path);
    // One sync of the folder makes the new segment's name and the new snapshot durable.
    this->syncFolder(this->folder);
    this->startSegment(nextSegment, head.size());
    this->removeCoveredSegments(snapshot.lastIndex);
    this->events.emit(Event(EventId::SnapshotTaken).with("folder", this->folder).with("lastIndex", snapshot.lastIndex).with("bytes", snapshot.state.size()));
}

int JournalStorage::openFile(std::string const& path, int flags)
{
    int const descriptor = this->systemCalls.open(path.c_str(), flags | O_CLOEXEC);
    if (descriptor < 0)
        throwWriteError("opening " + path);
    return descriptor;
}

void JournalStorage::syncFolder(std::string const& path)
{
    int const descriptor = this->openFile(path, O_RDONLY | O_DIRECTORY);
    int const result = this->systemCalls.syncFolder(descriptor);
    int const error = errno;
    ::close(descriptor);
    errno = error;
    if (result < 0)
        throwWriteError("syncing " + path);
}

void JournalStorage::renameFile(std::string const& from, std::string const& to)
{
    if (this->systemCalls.rename(from.c_str(), to.c_str()) < 0)
        throwWriteError("renaming " + from);
}

void JournalStorage::removeFile(std::string const& path)
{
    if (this->systemCalls.unlink(path.c_str()) < 0 && errno != ENOENT)
        throwWriteError("removing " + path);
}

void JournalStorage::cutSegment(size_t length)
{
    if (this->systemCalls.truncate(this->segmentDescriptor, static_cast<off_t>(length)) < 0)
        throwWriteError("cutting " + this->segmentPath(this->segments.back().number));
}

void JournalStorage::writeNewFile(std::string const& path, std::string_view bytes)
{
    int const descriptor = this->openFile(path, O_WRONLY | O_CREAT | O_TRUNC);
    try {
        this->writeTo(descriptor, bytes, path);
        this->syncFile(descriptor, path);
    } catch (...) {
        ::close(descriptor);
        throw;
    }
    ::close(descriptor);
}

void JournalStorage::startSegment(uint64_t number, size_t bytes)
{
    int const descriptor = this->openFile(this->segmentPath(number), O_WRONLY | O_APPEND);
    ::close(this->segmentDescriptor);
    this->segmentDescriptor = descriptor;
    this->segmentBytes = this->syncedBytes = bytes;
    this->syncPointEnd = 0;
    this->segments.push_back({ number, LogIndex() });
}

/// The number of the first segment that a snapshot up to `covered` does not cover; of the next one if it covers all.
uint64_t JournalStorage::oldestNeededSegment(LogIndex covered) const
{
    auto const needed = std::find_if(this->segments.begin(), this->segments.end(), [&](Segment const& segment) { return segment.highestIndex > covered; });
    return needed == this->segments.end() ? this->segments.back().number + 1 : needed->number;
}

void JournalStorage::removeCoveredSegments(LogIndex covered)
{
    while (this->segments.size() > 1 && this->segments.front().highestIndex <= covered) {
        try {
            this->removeFile(this->segmentPath(this->segments.front().number));
        } catch (Error const& error) {
            // Nothing depends on the removal; the next snapshot tries it again.
            this->events.emit(Event(EventId::SnapshotFailed).with("folder", this->folder).with("code", static_cast<int>(error.code())).with("reason", error.what()).with("lastIndex", covered));
            return;
        }
        this->segments.erase(this->segments.begin());
    }
}

void JournalStorage::sync()
{
    size_t const durableBytes = this->segmentBytes;
    this->syncFile(this->segmentDescriptor, this->segmentPath(this->segments.back().number));
    this->writeSyncPoint();
    this->syncedBytes = durableBytes;
    this->syncedHardState = this->hardState;
}

void JournalStorage::syncSegment()
{
    this->syncFile(this->segmentDescriptor, this->segmentPath(this->segments.back().number));
    this->syncedBytes = this->segmentBytes;
    this->syncedHardState = this->hardState;
}

/// Call only when everything in the segment is durable. Writes nothing behind another sync point or to an empty segment.
void JournalStorage::writeSyncPoint()
{
    if (this->segmentBytes == this->syncPointEnd)
        return;
    this->writeToSegment(encodeSyncPoint(this->segmentBytes));
    this->syncPointEnd = this->segmentBytes;
}

void JournalStorage::discardUnsynced()
{
    // The files of a snapshot that failed. Without its segment the journal goes on in the last one, which
    // holds all that the snapshot covers, whichever of the two snapshots is stored.
    this->removeFile(this->folder + "/snapshot.new");
    this->removeFile(this->segmentPath(this->segments.back().number + 1));
    this->cutSegment(this->syncedBytes);
    this->syncFile(this->segmentDescriptor, this->segmentPath(this->segments.back().number));
    this->syncFolder(this->folder);
    this->segmentBytes = this->syncedBytes;
    this->syncPointEnd = 0;
    this->hardState = this->syncedHardState;
}

} // namespace cornelpond
