#include "cornelpond/core/agreement/SoleVoterLog.h"

namespace cornelpond {

namespace {

    constexpr size_t entriesPerSnapshot = 10000;

} // namespace

SoleVoterLog::SoleVoterLog(HostId self, Storage& storage, StateMachineHooks hooks)
    : self(std::move(self))
    , storage(storage)
    , hooks(std::move(hooks))
{
}

void SoleVoterLog::start()
{
    StoredLog const stored = this->storage.load();
    if (stored.snapshot.lastIndex > LogIndex(0))
        this->hooks.restore(stored.snapshot.state);
    this->lastIndex = stored.snapshot.lastIndex;
    for (auto const& entry : stored.entries) {
        if (entry.kind == EntryKind::Command)
            this->hooks.apply(entry.index, entry.payload);
        this->lastIndex = entry.index;
    }
    this->entriesSinceSnapshot = stored.entries.size();
    this->currentTerm = stored.hardState.term.next();
    this->storage.saveHardState({ this->currentTerm, this->self });
    this->storage.sync();
    this->isLeading = true;
    this->hooks.onLeadership(true);
}

void SoleVoterLog::propose(std::string command, Done done)
{
    if (!this->isLeading) {
        done({ ResultCode::NotLeader, LogIndex() });
        return;
    }
    try {
        this->appendAndSync(command);
    } catch (Error const& error) {
        this->isLeading = false;
        this->hooks.onLeadership(false);
        done({ error.code(), LogIndex() });
        return;
    }
    this->hooks.apply(this->lastIndex, command);
    done({ ResultCode::Ok, this->lastIndex });
    this->snapshotWhenDue();
}

void SoleVoterLog::appendAndSync(std::string const& command)
{
    LogEntry const entry { this->lastIndex.next(), this->currentTerm, EntryKind::Command, command };
    this->storage.append(Span<LogEntry const>(&entry, 1));
    this->storage.sync();
    this->lastIndex = entry.index;
    this->entriesSinceSnapshot++;
}

void SoleVoterLog::snapshotWhenDue()
{
    if (this->entriesSinceSnapshot < entriesPerSnapshot)
        return;
    this->storage.saveSnapshot({ this->lastIndex, this->currentTerm, std::string(), this->hooks.takeSnapshot() });
    this->entriesSinceSnapshot = 0;
}

} // namespace cornelpond
