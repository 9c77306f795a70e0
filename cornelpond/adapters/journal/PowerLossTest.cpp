// Guards against a journal that is refused after a power loss, though all that was ever synced is intact: writes that were
// kept behind a lost one, and removals of which only some were kept, counted as damage.

#include "cornelpond/adapters/journal/JournalStorage.h"

#include "cornelpond/core/base/ResultCode.h"
#include "testing/fakes/PowerLossDisk.h"
#include "testing/fakes/RecordingEventSink.h"
#include "testing/fakes/TemporaryFolder.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <random>
#include <set>
#include <utility>

using namespace cornelpond;

namespace {

/// A repeatable source of choices.
class Choices {
public:
    explicit Choices(unsigned seed)
        : random(seed)
    {
    }

    size_t below(size_t count) { return count ? this->random() % count : 0; }

private:
    std::mt19937 random;
};

/// Uses a journal as a replicated log does, loses power, and checks what is read back.
class Host {
public:
    Host(std::string folder, unsigned seed)
        : folder(std::move(folder))
        , choices(seed)
        , disk(this->folder)
    {
        this->open();
    }

    /// A random sequence of writes, syncs and snapshots, which a loss of power ends in the middle of a step half of the times.
    void work(size_t steps)
    {
        constexpr size_t maxCalls = 40;
        if (this->choices.below(2))
            this->disk.failAfter(this->choices.below(maxCalls));
        try {
            this->takeSteps(steps);
        } catch (Error const& error) {
            REQUIRE(error.code() == ResultCode::StorageFailed);
        }
    }

    /// Loses power and starts again. Requires that all that was synced is there, and nothing that was never written.
    void losePower()
    {
        this->storage.reset();
        this->disk.losePower([this](size_t count) { return this->choices.below(count); });
        std::vector<std::string> const durable = this->synced;
        size_t const durableCount = std::min(durable.size(), this->shortestSinceSync);
        std::vector<HardState> const states = this->statesSinceSync;
        this->open();
        REQUIRE(std::any_of(states.begin(), states.end(), [&](HardState const& state) { return state.term == this->state.term && state.votedFor == this->state.votedFor; }));
        REQUIRE(this->entries.size() >= durableCount);
        for (size_t i = this->snapshotIndex; i < this->entries.size(); i++) {
            REQUIRE((i >= durableCount || this->entries[i] == durable[i]));
            REQUIRE(this->written.count({ i, this->entries[i] }));
        }
        this->noteSynced();
    }

private:
    void takeSteps(size_t steps)
    {
        enum Step : size_t {
            Append,
            AppendMore,
            Truncate,
            Vote,
            Sync,
            TakeSnapshot,
            StepCount,
        };
        for (; steps; steps--) {
            switch (this->choices.below(StepCount)) {
            case Append:
            case AppendMore:
                this->append(1 + this->choices.below(3));
                break;
            case Truncate:
                this->truncate();
                break;
            case Vote:
                this->vote();
                break;
            case Sync:
                this->sync();
                break;
            default:
                this->takeSnapshot();
            }
        }
    }

    void open()
    {
        this->storage = std::make_unique<JournalStorage>(this->folder, this->events, this->disk.calls());
        StoredLog const log = this->storage->load();
        this->state = log.hardState;
        this->snapshotIndex = log.snapshot.lastIndex.value();
        this->entries.resize(this->snapshotIndex);
        for (auto const& entry : log.entries) {
            REQUIRE(entry.index.value() == this->entries.size() + 1);
            this->entries.push_back(entry.payload);
        }
        if (this->statesSinceSync.empty())
            this->noteSynced();
    }

    void append(size_t count)
    {
        std::vector<LogEntry> added;
        for (; count; count--) {
            this->entries.push_back("payload " + std::to_string(this->nextPayload++) + std::string(this->choices.below(40), 'x'));
            this->written.insert({ this->entries.size() - 1, this->entries.back() });
            added.push_back({ LogIndex(this->entries.size()), Term(this->state.term), EntryKind::Command, this->entries.back() });
        }
        this->storage->append(Span<LogEntry const>(added));
    }

    void truncate()
    {
        if (this->entries.size() == this->snapshotIndex)
            return;
        size_t const kept = this->snapshotIndex + this->choices.below(this->entries.size() - this->snapshotIndex);
        this->storage->truncateFrom(LogIndex(kept + 1));
        this->entries.resize(kept);
        this->shortestSinceSync = std::min(this->shortestSinceSync, kept);
    }

    void vote()
    {
        this->state = { this->state.term.next(), HostId("h" + std::to_string(this->choices.below(3))) };
        this->storage->saveHardState(this->state);
        this->statesSinceSync.push_back(this->state);
    }

    void sync()
    {
        this->storage->sync();
        this->noteSynced();
    }

    void takeSnapshot()
    {
        size_t const index = this->snapshotIndex + this->choices.below(this->entries.size() - this->snapshotIndex + 1);
        this->storage->saveSnapshot({ LogIndex(index), this->state.term, "members", "state" });
        this->snapshotIndex = index;
        this->noteSynced();
    }

    void noteSynced()
    {
        this->synced = this->entries;
        this->shortestSinceSync = this->entries.size();
        this->statesSinceSync = { this->state };
    }

    std::string folder;
    Choices choices;
    PowerLossDisk disk;
    RecordingEventSink events;
    std::unique_ptr<JournalStorage> storage;
    std::vector<std::string> entries; ///< Those that the snapshot covers included.
    std::vector<std::string> synced;
    std::set<std::pair<size_t, std::string>> written; ///< Every entry ever written, by its place in the log.
    size_t shortestSinceSync = 0; ///< Number of entries after the farthest truncation since the last sync.
    size_t snapshotIndex = 0;
    size_t nextPayload = 1;
    HardState state;
    std::vector<HardState> statesSinceSync; ///< The synced one and all that were saved later.
};

std::string readAll(std::string const& path)
{
    std::ifstream in(path, std::ios::binary);
    return { std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>() };
}

void writeAll(std::string const& path, std::string const& bytes)
{
    std::ofstream(path, std::ios::binary) << bytes;
}

LogEntry makeEntry(uint64_t index)
{
    return { LogIndex(index), Term(1), EntryKind::Command, "payload " + std::to_string(index) };
}

void appendEach(JournalStorage& storage, uint64_t first, uint64_t last)
{
    for (uint64_t i = first; i <= last; i++) {
        LogEntry const entry = makeEntry(i);
        storage.append(Span<LogEntry const>(&entry, 1));
    }
}

/// Calls that sync nothing, for journals that are only read.
FileSystemCalls fastCalls()
{
    FileSystemCalls calls;
    calls.sync = calls.syncFolder = [](int) { return 0; };
    return calls;
}

ResultCode loadResult(std::string const& folder)
{
    RecordingEventSink events;
    try {
        JournalStorage(folder, events, fastCalls()).load();
    } catch (Error const& error) {
        return error.code();
    }
    return ResultCode::Ok;
}

size_t entryCount(std::string const& folder)
{
    RecordingEventSink events;
    return JournalStorage(folder, events, fastCalls()).load().entries.size();
}

} // namespace

TEST_CASE("whatever a power loss keeps of unsynced writes and of names, the journal opens with all that was synced")
{
    constexpr unsigned seeds = 400;
    for (unsigned seed = 1; seed <= seeds; seed++) {
        INFO("seed " << seed);
        TemporaryFolder folder;
        Host host(folder.path(), seed);
        for (size_t loss = 0; loss < 6; loss++) {
            host.work(1 + seed % 12);
            host.losePower();
        }
    }
}

TEST_CASE("unsynced writes behind one that was lost or torn are cut off")
{
    TemporaryFolder folder;
    std::string const journal = folder.path() + "/journal";
    RecordingEventSink events;
    JournalStorage storage(folder.path(), events);
    storage.load();
    appendEach(storage, 1, 2);
    storage.sync();
    size_t const syncedBytes = readAll(journal).size();
    appendEach(storage, 3, 3);
    size_t const lostBytes = readAll(journal).size() - syncedBytes;
    appendEach(storage, 4, 6);
    std::string const whole = readAll(journal);
    for (size_t torn = 0; torn < lostBytes; torn++) {
        std::string bytes = whole;
        std::fill_n(bytes.begin() + static_cast<std::ptrdiff_t>(syncedBytes + torn), lostBytes - torn, '\0');
        writeAll(journal, bytes);
        REQUIRE(entryCount(folder.path()) == 2);
    }
}

TEST_CASE("segments that the snapshot covers may be there or not, whichever removals were kept")
{
    TemporaryFolder folder;
    RecordingEventSink events;
    std::vector<std::string> covered;
    {
        FileSystemCalls calls;
        // Removed segments are copied aside, as an undone removal leaves them.
        calls.unlink = [&](char const* path) {
            covered.emplace_back(path);
            return std::rename(path, (std::string(path) + "~").c_str());
        };
        JournalStorage storage(folder.path(), events, calls);
        storage.load();
        for (uint64_t i = 1; i <= 4; i++) {
            appendEach(storage, i, i);
            storage.saveSnapshot({ LogIndex(i - 1), Term(1), "", "state" });
        }
        appendEach(storage, 5, 5);
        storage.saveSnapshot({ LogIndex(4), Term(1), "", "state" });
    }
    REQUIRE(covered.size() == 4);
    for (unsigned kept = 0; kept < 1U << covered.size(); kept++) {
        TemporaryFolder copy;
        for (auto const& entry : std::filesystem::directory_iterator(folder.path())) {
            if (entry.path().string().back() != '~')
                std::filesystem::copy_file(entry.path(), copy.path() + "/" + entry.path().filename().string());
        }
        for (size_t i = 0; i < covered.size(); i++) {
            if (kept & (1U << i))
                std::filesystem::copy_file(covered[i] + "~", copy.path() + "/" + std::filesystem::path(covered[i]).filename().string());
        }
        REQUIRE(entryCount(copy.path()) == 1);
        // The next snapshot removes them for good.
        JournalStorage storage(copy.path(), events);
        storage.load();
        storage.saveSnapshot({ LogIndex(5), Term(1), "", "state" });
        auto const files = std::distance(std::filesystem::directory_iterator(copy.path()), std::filesystem::directory_iterator());
        REQUIRE(files == 2);
    }
}

TEST_CASE("damage of any synced byte is refused, also by a journal that was not used again")
{
    TemporaryFolder folder;
    std::string const journal = folder.path() + "/journal";
    RecordingEventSink events;
    {
        JournalStorage storage(folder.path(), events);
        storage.load();
        storage.saveHardState({ Term(3), HostId("h2") });
        appendEach(storage, 1, 2);
        storage.sync();
        appendEach(storage, 3, 4);
        storage.sync();
    }
    std::string const whole = readAll(journal);
    size_t const lastSyncPoint = 9 + 8;
    for (size_t at = 0; at < whole.size() - lastSyncPoint; at++) {
        std::string bytes = whole;
        bytes[at] = static_cast<char>(bytes[at] ^ 0x10);
        writeAll(journal, bytes);
        INFO("byte " << at);
        REQUIRE(loadResult(folder.path()) == ResultCode::StorageDamaged);
        REQUIRE(readAll(journal) == bytes);
    }
}

TEST_CASE("a segment that the snapshot does not cover is missed, also the oldest one")
{
    for (std::string const missing : { "journal", "journal.1" }) {
        TemporaryFolder folder;
        RecordingEventSink events;
        {
            JournalStorage storage(folder.path(), events);
            storage.load();
            appendEach(storage, 1, 2);
            storage.saveSnapshot({ LogIndex(1), Term(1), "", "state" });
            appendEach(storage, 3, 4);
            storage.saveSnapshot({ LogIndex(1), Term(1), "", "state" });
        }
        std::filesystem::remove(folder.path() + "/" + missing);
        CHECK(loadResult(folder.path()) == ResultCode::StorageDamaged);
    }
}

TEST_CASE("damage of a segment's start, or the loss of its snapshot, is refused once the segments before it are gone")
{
    TemporaryFolder folder;
    std::string const segment = folder.path() + "/journal.1";
    RecordingEventSink events;
    {
        JournalStorage storage(folder.path(), events);
        storage.load();
        storage.saveHardState({ Term(3), HostId("h2") });
        appendEach(storage, 1, 2);
        storage.saveSnapshot({ LogIndex(2), Term(1), "", "state" });
    }
    REQUIRE(entryCount(folder.path()) == 0);
    std::string const whole = readAll(segment);
    size_t const lastSyncPoint = 9 + 8; // Written by the load above.
    for (size_t at = 0; at < whole.size() - lastSyncPoint; at++) {
        for (bool const isSyncPointKept : { true, false }) {
            std::string bytes = whole.substr(0, whole.size() - (isSyncPointKept ? 0 : lastSyncPoint));
            bytes[at] = static_cast<char>(bytes[at] ^ 0x10);
            writeAll(segment, bytes);
            REQUIRE(loadResult(folder.path()) == ResultCode::StorageDamaged);
        }
    }
    writeAll(segment, whole);
    REQUIRE(loadResult(folder.path()) == ResultCode::Ok);
    std::filesystem::remove(folder.path() + "/snapshot");
    CHECK(loadResult(folder.path()) == ResultCode::StorageDamaged);
}

TEST_CASE("an entry whose payload looks like a sync point proves nothing")
{
    TemporaryFolder folder;
    std::string const journal = folder.path() + "/journal";
    RecordingEventSink events;
    {
        JournalStorage storage(folder.path(), events);
        storage.load();
        appendEach(storage, 1, 1);
        storage.sync();
    }
    std::string const syncPoint = readAll(journal).substr(readAll(journal).size() - 17);
    JournalStorage storage(folder.path(), events);
    storage.load();
    size_t const lostAt = readAll(journal).size();
    appendEach(storage, 2, 2);
    LogEntry const imitation { LogIndex(3), Term(1), EntryKind::Command, syncPoint };
    storage.append(Span<LogEntry const>(&imitation, 1));
    std::string bytes = readAll(journal);
    bytes[lostAt] = static_cast<char>(bytes[lostAt] ^ 1);
    writeAll(journal, bytes);
    CHECK(entryCount(folder.path()) == 1);
}

TEST_CASE("the name of every folder that is created is made durable")
{
    TemporaryFolder folder;
    RecordingEventSink events;
    std::vector<std::string> synced;
    FileSystemCalls calls;
    calls.open = [&](char const* path, int flags) {
        synced.emplace_back(path);
        return ::open(path, flags, 0600);
    };
    JournalStorage const storage(folder.path() + "/a/b/c", events, calls);
    CHECK(synced == std::vector<std::string> { folder.path() + "/a/b", folder.path() + "/a", folder.path() });
}
