#include "cornelpond/adapters/journal/JournalStorage.h"

#include "cornelpond/core/base/ResultCode.h"
#include "testing/fakes/RecordingEventSink.h"
#include "testing/fakes/TemporaryFolder.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>

using namespace cornelpond;

namespace {

LogEntry makeEntry(uint64_t index)
{
    return { LogIndex(index), Term(1), EntryKind::Command, "payload " + std::to_string(index) };
}

void fill(std::string const& folder, EventSink& events, uint64_t count)
{
    JournalStorage storage(folder, events);
    storage.load();
    storage.saveHardState({ Term(3), HostId("h2") });
    for (uint64_t i = 1; i <= count; i++) {
        LogEntry const entry = makeEntry(i);
        storage.append(Span<LogEntry const>(&entry, 1));
    }
    storage.sync();
}

std::string journalBytes(std::string const& folder)
{
    std::ifstream in(folder + "/journal", std::ios::binary);
    return { std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>() };
}

void writeJournal(std::string const& folder, std::string const& bytes)
{
    std::ofstream(folder + "/journal", std::ios::binary) << bytes;
}

} // namespace

TEST_CASE("what was written is read back")
{
    TemporaryFolder folder;
    RecordingEventSink events;
    fill(folder.path(), events, 3);
    JournalStorage storage(folder.path(), events);
    StoredLog const log = storage.load();
    CHECK(log.hardState.term == Term(3));
    CHECK(log.hardState.votedFor == HostId("h2"));
    REQUIRE(log.entries.size() == 3);
    CHECK(log.entries[2].payload == "payload 3");
    storage.truncateFrom(LogIndex(2));
    storage.sync();
    CHECK(JournalStorage(folder.path(), events).load().entries.size() == 1);
}

TEST_CASE("a torn tail of any length is cut off and writing continues")
{
    TemporaryFolder folder;
    RecordingEventSink events;
    fill(folder.path(), events, 1);
    LogEntry const entry = makeEntry(2);
    {
        // Not synced: a synced record that is torn is damage.
        JournalStorage storage(folder.path(), events);
        storage.load();
        storage.append(Span<LogEntry const>(&entry, 1));
    }
    std::string const whole = journalBytes(folder.path());
    size_t const lastRecordBytes = 9 + 8 + 8 + 1 + 4 + std::string("payload 2").size();
    for (size_t cut = 1; cut < lastRecordBytes; cut++) {
        writeJournal(folder.path(), whole.substr(0, whole.size() - cut));
        JournalStorage storage(folder.path(), events);
        REQUIRE(storage.load().entries.size() == 1);
        storage.append(Span<LogEntry const>(&entry, 1));
        REQUIRE(journalBytes(folder.path()) == whole);
        storage.sync();
        REQUIRE(JournalStorage(folder.path(), events).load().entries.size() == 2);
    }
    CHECK(events.count(EventId::JournalTailCut) == lastRecordBytes - 1);
}

TEST_CASE("damage before the last record is refused, not cut")
{
    TemporaryFolder folder;
    RecordingEventSink events;
    fill(folder.path(), events, 3);
    std::string bytes = journalBytes(folder.path());
    bytes[bytes.size() / 2] = static_cast<char>(bytes[bytes.size() / 2] ^ 0x40);
    writeJournal(folder.path(), bytes);
    try {
        JournalStorage(folder.path(), events).load();
        FAIL("read a damaged journal");
    } catch (Error const& error) {
        CHECK(error.code() == ResultCode::StorageDamaged);
    }
    CHECK(journalBytes(folder.path()) == bytes);
}

TEST_CASE("a snapshot replaces the entries it covers and keeps the rest")
{
    TemporaryFolder folder;
    RecordingEventSink events;
    fill(folder.path(), events, 5);
    {
        JournalStorage storage(folder.path(), events);
        storage.load();
        storage.saveSnapshot({ LogIndex(3), Term(1), "members", "state" });
        LogEntry const entry = makeEntry(6);
        storage.append(Span<LogEntry const>(&entry, 1));
        storage.sync();
    }
    StoredLog const log = JournalStorage(folder.path(), events).load();
    CHECK(log.snapshot.lastIndex == LogIndex(3));
    CHECK(log.snapshot.state == "state");
    REQUIRE(log.entries.size() == 3);
    CHECK(log.entries.front().index == LogIndex(4));
    CHECK(log.hardState.term == Term(3));
}

TEST_CASE("segments that a snapshot covers are removed, the others are read in order")
{
    TemporaryFolder folder;
    RecordingEventSink events;
    fill(folder.path(), events, 5);
    {
        JournalStorage storage(folder.path(), events);
        storage.load();
        storage.saveSnapshot({ LogIndex(3), Term(1), "members", "state" });
        CHECK(std::filesystem::exists(folder.path() + "/journal")); // Holds entries 4 and 5.
        for (uint64_t i = 6; i <= 9; i++) {
            LogEntry const entry = makeEntry(i);
            storage.append(Span<LogEntry const>(&entry, 1));
        }
        storage.truncateFrom(LogIndex(9));
        storage.saveSnapshot({ LogIndex(7), Term(1), "members", "later" });
    }
    CHECK_FALSE(std::filesystem::exists(folder.path() + "/journal"));
    StoredLog const log = JournalStorage(folder.path(), events).load();
    CHECK(log.snapshot.state == "later");
    REQUIRE(log.entries.size() == 1);
    CHECK(log.entries.front().index == LogIndex(8));
    CHECK(log.hardState.votedFor == HostId("h2"));
}

TEST_CASE("a missing segment and a torn one that is not the last are damage")
{
    TemporaryFolder folder;
    RecordingEventSink events;
    fill(folder.path(), events, 5);
    {
        JournalStorage storage(folder.path(), events);
        storage.load();
        storage.saveSnapshot({ LogIndex(3), Term(1), "", "state" });
        storage.saveSnapshot({ LogIndex(4), Term(1), "", "state" });
    }
    std::string const whole = journalBytes(folder.path());
    writeJournal(folder.path(), whole.substr(0, whole.size() - 1));
    CHECK_THROWS_AS(JournalStorage(folder.path(), events).load(), Error);
    writeJournal(folder.path(), whole);
    CHECK_NOTHROW(JournalStorage(folder.path(), events).load());
    std::filesystem::remove(folder.path() + "/journal.1");
    CHECK_THROWS_AS(JournalStorage(folder.path(), events).load(), Error);
}

TEST_CASE("a crash at any write or sync of a snapshot loses no synced entry")
{
    for (int failingCall = 1; failingCall <= 6; failingCall++) {
        TemporaryFolder folder;
        RecordingEventSink events;
        fill(folder.path(), events, 5);
        int callCount = 0;
        FileSystemCalls failingCalls;
        failingCalls.write = [&](int descriptor, void const* bytes, size_t count) {
            if (++callCount < failingCall)
                return ::write(descriptor, bytes, count);
            // A crash during this write: only half of the bytes reach the disk.
            if (callCount == failingCall && ::write(descriptor, bytes, count / 2) < 0)
                FAIL("the test's own write failed");
            errno = EIO;
            return ssize_t(-1);
        };
        failingCalls.sync = [&](int descriptor) { return ++callCount < failingCall ? ::fdatasync(descriptor) : (errno = EIO, -1); };
        try {
            JournalStorage storage(folder.path(), events, failingCalls);
            storage.load();
            storage.saveSnapshot({ LogIndex(3), Term(1), "", "state" });
        } catch (Error const& error) {
            CHECK(error.code() == ResultCode::StorageFailed);
        }
        StoredLog const log = JournalStorage(folder.path(), events).load();
        LogIndex const last = log.entries.empty() ? log.snapshot.lastIndex : log.entries.back().index;
        CHECK(last == LogIndex(5));
        CHECK(log.entries.size() == 5 - log.snapshot.lastIndex.value());
        CHECK(log.hardState.votedFor == HostId("h2"));
    }
}

TEST_CASE("a full disk and a failed sync have their own codes")
{
    TemporaryFolder folder;
    RecordingEventSink events;
    bool isFull = false;
    bool isBroken = false;
    FileSystemCalls calls;
    calls.write = [&](int descriptor, void const* bytes, size_t count) { return isFull ? (errno = ENOSPC, ssize_t(-1)) : ::write(descriptor, bytes, count); };
    calls.sync = [&](int descriptor) { return isBroken ? (errno = EIO, -1) : ::fdatasync(descriptor); };
    JournalStorage storage(folder.path(), events, calls);
    storage.load();
    auto const codeOf = [](std::function<void()> const& call) {
        try {
            call();
        } catch (Error const& error) {
            return error.code();
        }
        return ResultCode::Ok;
    };
    LogEntry const entry = makeEntry(1);
    isBroken = true;
    CHECK(codeOf([&] { storage.sync(); }) == ResultCode::StorageFailed);
    isFull = true;
    CHECK(codeOf([&] { storage.append(Span<LogEntry const>(&entry, 1)); }) == ResultCode::DiskFull);
    CHECK(codeOf([&] { storage.saveHardState({ Term(1), HostId("h1") }); }) == ResultCode::DiskFull);
}

TEST_CASE("a large torn record is distinguished from damage without computing a checksum at every byte")
{
    TemporaryFolder folder;
    RecordingEventSink events;
    fill(folder.path(), events, 2);
    std::string bytes = journalBytes(folder.path());
    // A torn record whose length field says 4 MB, filled with bytes that look like record headers.
    std::string torn("\xff\xff\x3f\0\0\0\0\0\x01", 9);
    for (size_t i = 0; i < 200000; i++)
        torn += std::string("\x10\0\0\0\0\0\0\0\x01", 9);
    writeJournal(folder.path(), bytes + torn);
    CHECK(JournalStorage(folder.path(), events).load().entries.size() == 2);
    CHECK(journalBytes(folder.path()) == bytes);
}

namespace {

/// What the caller of a JournalStorage has in memory, and what must be durable.
struct Model {
    StoredLog memory;
    LogIndex synced;

    LogIndex lastIndex() const { return this->memory.entries.empty() ? this->memory.snapshot.lastIndex : this->memory.entries.back().index; }
};

/// Carries out a fixed sequence of writes; a failing call ends it with an Error.
class Writer {
public:
    Writer(JournalStorage& storage, Model& model)
        : storage(storage)
        , model(model)
    {
    }

    void run()
    {
        this->append(1, 4, 1);
        this->vote(4, "h1");
        this->sync();
        this->append(5, 6, 2);
        this->truncate(6);
        this->append(6, 8, 4);
        this->vote(5, "h2");
        this->sync();
        this->append(9, 9, 5);
        this->snapshot(3);
        this->append(10, 11, 5);
        this->sync();
        this->truncate(11);
        this->append(11, 12, 5);
        this->snapshot(9);
        this->vote(6, "h3");
        this->sync();
    }

    /// What the owner does after a failure, until it succeeds.
    void recover()
    {
        this->storage.discardUnsynced();
        this->storage.truncateFrom(this->model.synced.next());
        std::vector<LogEntry> entries;
        for (auto const& entry : this->model.memory.entries) {
            if (entry.index > this->model.synced)
                entries.push_back(entry);
        }
        this->storage.append(Span<LogEntry const>(entries));
        this->storage.saveHardState(this->model.memory.hardState);
        this->sync();
    }

private:
    void append(uint64_t first, uint64_t last, uint64_t term)
    {
        std::vector<LogEntry> entries;
        for (uint64_t i = first; i <= last; i++)
            entries.push_back({ LogIndex(i), Term(term), EntryKind::Command, "payload " + std::to_string(i) + " of term " + std::to_string(term) });
        this->storage.append(Span<LogEntry const>(entries));
        this->model.memory.entries.insert(this->model.memory.entries.end(), entries.begin(), entries.end());
    }

    void truncate(uint64_t index)
    {
        this->storage.truncateFrom(LogIndex(index));
        auto& entries = this->model.memory.entries;
        entries.erase(std::find_if(entries.begin(), entries.end(), [&](auto const& entry) { return entry.index >= LogIndex(index); }), entries.end());
        this->model.synced = std::min(this->model.synced, LogIndex(index - 1));
    }

    void vote(uint64_t term, std::string const& candidate)
    {
        this->model.memory.hardState = { Term(term), HostId(candidate) };
        this->storage.saveHardState(this->model.memory.hardState);
    }

    void snapshot(uint64_t index)
    {
        Snapshot const snapshot { LogIndex(index), Term(4), "members", "state " + std::to_string(index) };
        this->storage.saveSnapshot(snapshot);
        this->model.memory.snapshot = snapshot;
        this->model.synced = this->model.lastIndex();
        auto& entries = this->model.memory.entries;
        entries.erase(entries.begin(), std::find_if(entries.begin(), entries.end(), [&](auto const& entry) { return entry.index > LogIndex(index); }));
    }

    void sync()
    {
        this->storage.sync();
        this->model.synced = this->model.lastIndex();
    }

    JournalStorage& storage;
    Model& model;
};

/// System calls of which some fail, counted from the first.
class FailingCalls {
public:
    /// The calls with numbers from `first` on fail, `count` of them; a failing write is carried out in part.
    FailingCalls(int first, int count, int error)
        : first(first)
        , end(first + count)
        , error(error)
    {
        this->calls.write = [this](int descriptor, void const* bytes, size_t size) {
            if (!this->isFailing())
                return ::write(descriptor, bytes, size);
            if (::write(descriptor, bytes, size / 2) < 0)
                FAIL("the test's own write failed");
            return static_cast<ssize_t>(this->fail());
        };
        this->calls.sync = [this](int descriptor) { return this->isFailing() ? this->fail() : ::fdatasync(descriptor); };
        this->calls.syncFolder = [this](int descriptor) { return this->isFailing() ? this->fail() : ::fsync(descriptor); };
        this->calls.open = [this](char const* path, int flags) { return this->isFailing() ? this->fail() : ::open(path, flags, 0600); };
        this->calls.rename = [this](char const* from, char const* to) { return this->isFailing() ? this->fail() : std::rename(from, to); };
        this->calls.unlink = [this](char const* path) { return this->isFailing() ? this->fail() : ::unlink(path); };
        this->calls.truncate = [this](int descriptor, off_t length) { return this->isFailing() ? this->fail() : ::ftruncate(descriptor, length); };
    }

    FileSystemCalls calls;
    int failed = 0;

private:
    bool isFailing() { return this->number++ >= this->first && this->number <= this->end; }
    int fail()
    {
        this->failed++;
        errno = this->error;
        return -1;
    }

    int first;
    int end;
    int error;
    int number = 0;
};

void checkStored(std::string const& folder, Model const& model)
{
    RecordingEventSink events;
    StoredLog const stored = JournalStorage(folder, events).load();
    CHECK(stored.hardState.term == model.memory.hardState.term);
    CHECK(stored.hardState.votedFor == model.memory.hardState.votedFor);
    // A snapshot that failed may be stored; it covers entries that the caller still has.
    CHECK(stored.snapshot.lastIndex >= model.memory.snapshot.lastIndex);
    LogIndex next = stored.snapshot.lastIndex.next();
    for (auto const& entry : stored.entries) {
        REQUIRE(entry.index == next);
        LogIndex const firstInMemory = model.memory.entries.front().index;
        REQUIRE(entry.index >= firstInMemory);
        LogEntry const& expected = model.memory.entries.at(entry.index.value() - firstInMemory.value());
        REQUIRE(entry.payload == expected.payload);
        REQUIRE(entry.term == expected.term);
        next = next.next();
    }
    CHECK(next == model.lastIndex().next());
}

/// Lets `count` calls from `first` on fail, with a recovery after each failure. False if no call was left to fail.
bool failAndRecover(int first, int count, int error)
{
    TemporaryFolder folder;
    RecordingEventSink events;
    Model model;
    FailingCalls failing(first, count, error);
    JournalStorage storage(folder.path(), events, failing.calls);
    storage.load();
    Writer writer(storage, model);
    bool isFailed = false;
    try {
        writer.run();
    } catch (Error const& failure) {
        CHECK(failure.code() == (error == ENOSPC ? ResultCode::DiskFull : ResultCode::StorageFailed));
        isFailed = true;
    }
    for (int i = 0; isFailed && i <= count; i++) {
        try {
            writer.recover();
            isFailed = false;
        } catch (Error const&) { // NOLINT(bugprone-empty-catch)
            // Tried again, as the owner of a storage does.
        }
    }
    CHECK_FALSE(isFailed);
    checkStored(folder.path(), model);
    return failing.failed > 0;
}

} // namespace

TEST_CASE("a call that fails at any step leaves a journal that can be used again and holds what was written")
{
    constexpr int callsBeforeWriting = 8; // Of the constructor and of `load`.
    for (int const error : { ENOSPC, EIO }) {
        for (int count = 1; count <= 4; count++) {
            int first = callsBeforeWriting;
            while (failAndRecover(first, count, error))
                first++;
            CHECK(first > callsBeforeWriting + 30);
        }
    }
}

TEST_CASE("what a failed sync covered is written again, not only synced again")
{
    TemporaryFolder folder;
    RecordingEventSink events;
    FileSystemCalls calls;
    bool isFailing = false;
    calls.sync = [&](int descriptor) { return isFailing ? (errno = EIO, -1) : ::fdatasync(descriptor); };
    JournalStorage storage(folder.path(), events, calls);
    storage.load();
    LogEntry const entry = makeEntry(1);
    storage.append(Span<LogEntry const>(&entry, 1));
    isFailing = true;
    CHECK_THROWS_AS(storage.sync(), Error);
    isFailing = false;
    storage.discardUnsynced();
    CHECK(journalBytes(folder.path()).empty());
    storage.append(Span<LogEntry const>(&entry, 1));
    storage.sync();
    CHECK(JournalStorage(folder.path(), events).load().entries.size() == 1);
}

TEST_CASE("a journal that cannot be read is a failed storage, not an empty journal")
{
    TemporaryFolder folder;
    RecordingEventSink events;
    auto const loadFault = [&] {
        try {
            JournalStorage(folder.path() + "/g", events).load();
        } catch (Error const& error) {
            return error.code();
        }
        return ResultCode::Ok;
    };
    CHECK(loadFault() == ResultCode::Ok);
    std::string const journal = folder.path() + "/g/journal";
    std::filesystem::remove(journal);
    std::filesystem::create_symlink(folder.path() + "/absent", journal);
    CHECK(loadFault() == ResultCode::StorageFailed);
    std::filesystem::remove(journal);
    std::filesystem::create_directory(journal);
    CHECK(loadFault() == ResultCode::StorageFailed);
    std::filesystem::remove(journal);
    std::string const snapshot = folder.path() + "/g/snapshot";
    std::filesystem::create_symlink(snapshot, snapshot);
    CHECK(loadFault() == ResultCode::StorageFailed);
    std::filesystem::remove(snapshot);
    CHECK(loadFault() == ResultCode::Ok);
}

TEST_CASE("a snapshot older than one that was stored by a call that failed loses no synced entry")
{
    TemporaryFolder folder;
    RecordingEventSink events;
    int unlinksUntilFailure = 0;
    FileSystemCalls calls;
    calls.unlink = [&](char const* path) { return unlinksUntilFailure && --unlinksUntilFailure == 0 ? (errno = EIO, -1) : ::unlink(path); };
    JournalStorage storage(folder.path(), events, calls);
    storage.load();
    auto const append = [&](uint64_t first, uint64_t last) {
        for (uint64_t i = first; i <= last; i++) {
            LogEntry const entry = makeEntry(i);
            storage.append(Span<LogEntry const>(&entry, 1));
        }
        storage.sync();
    };
    append(1, 3);
    storage.saveSnapshot({ LogIndex(1), Term(1), "", "state 1" });
    append(4, 6);
    // A leader's snapshot comes; it is stored, but the second of the covered segments cannot be removed.
    unlinksUntilFailure = 2;
    try {
        storage.saveSnapshot({ LogIndex(62), Term(2), "", "state 62" });
    } catch (Error const&) {
        // What ReplicatedLog does: it recovers, holds 1 to 6 in memory as synced, of which 2 are applied, and snapshots these.
        storage.discardUnsynced();
        storage.truncateFrom(LogIndex(7));
        storage.saveHardState({ Term(2), HostId() });
        storage.sync();
        storage.saveSnapshot({ LogIndex(2), Term(1), "", "state 2" });
    }
    StoredLog log;
    REQUIRE_NOTHROW(log = JournalStorage(folder.path(), events).load());
    LogIndex const last = log.entries.empty() ? log.snapshot.lastIndex : log.entries.back().index;
    CHECK(last >= LogIndex(6));
}
