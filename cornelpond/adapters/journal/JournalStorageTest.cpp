#include "cornelpond/adapters/journal/JournalStorage.h"

#include "cornelpond/core/base/ResultCode.h"
#include "testing/fakes/RecordingEventSink.h"
#include "testing/fakes/TemporaryFolder.h"

#include <catch2/catch.hpp>

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
    fill(folder.path(), events, 2);
    std::string const whole = journalBytes(folder.path());
    fill(TemporaryFolder().path(), events, 1);
    size_t const lastRecordBytes = 9 + 8 + 8 + 1 + 4 + std::string("payload 2").size();
    for (size_t cut = 1; cut < lastRecordBytes; cut++) {
        writeJournal(folder.path(), whole.substr(0, whole.size() - cut));
        JournalStorage storage(folder.path(), events);
        REQUIRE(storage.load().entries.size() == 1);
        LogEntry const entry = makeEntry(2);
        storage.append(Span<LogEntry const>(&entry, 1));
        storage.sync();
        REQUIRE(journalBytes(folder.path()) == whole);
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
