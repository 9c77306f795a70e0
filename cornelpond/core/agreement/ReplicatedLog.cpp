#include "cornelpond/core/agreement/ReplicatedLog.h"

#include <algorithm>
#include <limits>

namespace cornelpond {

namespace {

    /// A member that lags by no more entries than this counts as caught up, since some entries are always in flight.
    constexpr uint64_t caughtUpLagEntries = 100;

    std::string join(std::vector<HostId> const& hosts)
    {
        std::string text;
        for (auto const& host : hosts)
            text += (text.empty() ? "" : ",") + host.value();
        return text;
    }

} // namespace

ReplicatedLog::ReplicatedLog(GroupId group, HostId self, Membership initial, ReplicatedLogTimes times, Clock const& clock, Random& random, EventSink& events,
    Storage& storage, Send send, StateMachineHooks hooks, ReplicatedLogLimits limits)
    : group(std::move(group))
    , self(std::move(self))
    , initialMembership(std::move(initial))
    , times(times)
    , clock(clock)
    , random(random)
    , events(events)
    , storage(storage)
    , sendBytes(std::move(send))
    , hooks(std::move(hooks))
    , limits(limits)
{
}

void ReplicatedLog::start()
{
    StoredLog stored = this->storage.load();
    this->hardState = stored.hardState;
    this->storedSnapshotIndex = stored.snapshot.lastIndex;
    this->storedSnapshotBytes = stored.snapshot.state.size();
    if (stored.snapshot.lastIndex > LogIndex(0))
        this->hooks.restore(stored.snapshot.state);
    this->committed = this->applied = stored.snapshot.lastIndex;
    this->log = EntryLog(std::move(stored), this->initialMembership);
    this->synced = this->log.lastIndex();
    // This host may have heard from a leader just before a crash. That leader relies on it to grant no other
    // host a vote until electionTimeoutMin has passed.
    if (this->hardState.term > Term(0))
        this->lastLeaderContact = this->clock.now();
    this->resetElectionDeadline();
    if (this->isSoleVoter())
        this->startElection(false);
}

void ReplicatedLog::onMessage(HostId const& from, std::string_view bytes)
{
    if (this->storageOutage)
        return;
    AgreementMessage message;
    try {
        message = decodeMessage(bytes);
    } catch (Error const& error) {
        this->events.emit(Event(EventId::AgreementMessageRefused).with("group", this->group).with("from", from).with("reason", error.what()));
        return;
    }
    this->dispatch(from, std::move(message));
}

void ReplicatedLog::dispatch(HostId const& from, AgreementMessage message)
{
    if (auto const* voteRequest = std::get_if<VoteRequest>(&message))
        this->onVoteRequest(from, *voteRequest);
    else if (auto const* voteReply = std::get_if<VoteReply>(&message))
        this->onVoteReply(from, *voteReply);
    else if (auto* appendRequest = std::get_if<AppendRequest>(&message))
        this->onAppendRequest(from, std::move(*appendRequest));
    else if (auto const* appendReply = std::get_if<AppendReply>(&message))
        this->onAppendReply(from, *appendReply);
    else if (auto* chunk = std::get_if<SnapshotChunk>(&message))
        this->onSnapshotChunk(from, *chunk);
    else if (auto const* snapshotReply = std::get_if<SnapshotReply>(&message))
        this->onSnapshotReply(from, *snapshotReply);
    else if (auto const* timeoutNow = std::get_if<TimeoutNow>(&message))
        this->onTimeoutNow(*timeoutNow);
}

void ReplicatedLog::onTick()
{
    if (this->storageOutage) {
        this->tickWithoutStorage();
        return;
    }
    if (this->role == Role::Leader)
        this->tickAsLeader();
    else
        this->campaignWhenDue();
    this->snapshotWhenDue();
    if (!this->flushCallback)
        this->flush();
    else if (this->synced < this->log.lastIndex() || this->deferredAppendReply)
        this->requestFlush();
}

void ReplicatedLog::requestFlush()
{
    if (this->isFlushRequested)
        return;
    this->isFlushRequested = true;
    if (this->isSoleVoter() || !this->flushCallback)
        this->flush();
    else
        this->flushCallback();
}

void ReplicatedLog::sendPending()
{
    if (this->storageOutage)
        return;
    for (auto& [host, progress] : this->peers)
        this->sendAppends(host, progress);
}

void ReplicatedLog::flush()
{
    if (this->isFlushing || this->storageOutage)
        return;
    this->isFlushing = true;
    do {
        this->isFlushRequested = false;
        this->sendPending();
        LogIndex const last = this->log.lastIndex();
        if (this->synced < last && !this->runStorageCall([this] { this->storage.sync(); }))
            break;
        this->synced = last;
        if (this->deferredAppendReply)
            this->send(this->knownLeader, *this->deferredAppendReply);
        this->deferredAppendReply.reset();
        this->advanceCommit();
    } while (this->isFlushRequested && (this->isSoleVoter() || !this->flushCallback) && !this->storageOutage);
    this->isFlushing = false;
}

bool ReplicatedLog::isLeader() const
{
    return this->role == Role::Leader && this->hasNotifiedLeadership;
}

bool ReplicatedLog::isLeadershipConfirmed() const
{
    if (!this->isLeader())
        return false;
    Duration const validity = this->times.electionTimeoutMin - this->times.driftMargin;
    return this->clock.now() < this->majorityConfirmedAt() + validity;
}

HostId ReplicatedLog::leader() const
{
    if (this->role != Role::Leader)
        return this->knownLeader;
    return this->hasNotifiedLeadership ? this->self : HostId();
}

void ReplicatedLog::propose(std::string command, Done done)
{
    if (!this->isLeader() || this->leadershipTransfer) {
        done({ ResultCode::NotLeader, LogIndex() });
        return;
    }
    if (this->proposedBytes + command.size() > this->limits.maxUncommittedBytes) {
        done({ ResultCode::NoQuorum, LogIndex() });
        return;
    }
    size_t const bytes = command.size();
    ResultCode code = ResultCode::Ok;
    if (!this->appendAsLeader(EntryKind::Command, std::move(command), code)) {
        done({ code, LogIndex() });
        return;
    }
    this->proposedBytes += bytes;
    this->proposals.push_back({ this->log.lastIndex(), bytes, std::move(done) });
    this->requestFlush();
}

bool ReplicatedLog::canChangeMembership() const
{
    return this->role == Role::Leader && this->isEstablished && !this->leadershipTransfer && this->log.membershipIndex() <= this->committed;
}

void ReplicatedLog::proposeMembership(Membership next, Done done)
{
    if (this->role != Role::Leader || !this->isEstablished || this->leadershipTransfer) {
        done({ ResultCode::NotLeader, LogIndex() });
        return;
    }
    if (!this->canChangeMembership()) {
        done({ ResultCode::MembershipChangePending, LogIndex() });
        return;
    }
    bool const areNewVotersReady = std::all_of(next.voters.begin(), next.voters.end(), [&](auto const& voter) {
        return this->membership().isVoter(voter) || (this->membership().isLearner(voter) && this->isCaughtUp(voter));
    });
    if (next.voters.empty() || !areNewVotersReady || !isSingleStep(this->membership(), next)) {
        done({ ResultCode::MembershipChangeRefused, LogIndex() });
        return;
    }
    ResultCode code = ResultCode::Ok;
    if (!this->appendAsLeader(EntryKind::Membership, encodeMembership(next), code)) {
        done({ code, LogIndex() });
        return;
    }
    this->proposals.push_back({ this->log.lastIndex(), 0, std::move(done) });
    this->requestFlush();
}

bool ReplicatedLog::isCaughtUp(HostId const& member) const
{
    if (this->role != Role::Leader)
        return false;
    if (member == this->self)
        return true;
    auto const found = this->peers.find(member);
    return found != this->peers.end() && found->second.matchIndex.value() + caughtUpLagEntries >= this->committed.value();
}

Duration ReplicatedLog::silentFor(HostId const& member) const
{
    if (member == this->self)
        return Duration();
    auto const found = this->peers.find(member);
    return found == this->peers.end() ? Duration::infinite() : this->clock.now() - found->second.lastReplyAt;
}

void ReplicatedLog::send(HostId const& to, AgreementMessage const& message)
{
    if (!to.empty() && to != this->self)
        this->sendBytes(to, encodeMessage(message));
}

void ReplicatedLog::commitTo(LogIndex index)
{
    this->committed = std::max(this->committed, std::min(index, this->log.lastIndex()));
    this->applyCommitted();
}

void ReplicatedLog::applyCommitted()
{
    if (this->isApplying)
        return;
    this->isApplying = true;
    try {
        while (this->applied < this->committed) {
            this->applyEntry(this->log.at(this->applied.next()));
            this->answerProposals();
        }
    } catch (...) {
        this->isApplying = false; // Otherwise this host would apply nothing more.
        throw;
    }
    this->isApplying = false;
    this->stepDownWhenRemoved();
}

void ReplicatedLog::applyEntry(LogEntry const& entry)
{
    this->applied = entry.index;
    this->bytesSinceSnapshot += entry.payload.size();
    if (entry.kind == EntryKind::Command)
        this->hooks.apply(entry.index, entry.payload);
    if (entry.kind == EntryKind::Membership)
        this->reportMembership();
    if (this->role == Role::Leader && !this->isEstablished && entry.index >= this->barrierIndex)
        this->establishLeadership();
}

void ReplicatedLog::answerProposals()
{
    while (!this->proposals.empty() && this->proposals.front().index <= this->applied) {
        Proposal const proposal = std::move(this->proposals.front());
        this->proposals.pop_front();
        this->proposedBytes -= proposal.bytes;
        proposal.done({ ResultCode::Ok, proposal.index });
    }
}

void ReplicatedLog::stepDownWhenRemoved()
{
    bool const isSettled = this->isEstablished && this->log.membershipIndex() <= this->applied;
    if (this->role == Role::Leader && isSettled && !this->membership().isVoter(this->self))
        this->finishLeadershipTransfer(this->bestSuccessor());
}

void ReplicatedLog::reportMembership() const
{
    Membership const& members = this->log.membershipAt(this->applied);
    this->events.emit(Event(EventId::MembershipChanged)
                          .with("group", this->group)
                          .with("voters", join(members.voters))
                          .with("learners", join(members.learners))
                          .with("mayLead", join(members.eligibleLeaders)));
}

Snapshot ReplicatedLog::makeSnapshot() const
{
    return { this->applied, this->log.termAt(this->applied), encodeMembership(this->log.membershipAt(this->applied)), this->hooks.takeSnapshot() };
}

void ReplicatedLog::snapshotWhenDue()
{
    uint64_t const entries = this->applied.value() - this->storedSnapshotIndex.value();
    bool const isThresholdReached = entries >= this->limits.snapshotAfterEntries || this->bytesSinceSnapshot >= this->limits.snapshotAfterBytes;
    if (!entries || !isThresholdReached || this->bytesSinceSnapshot < this->storedSnapshotBytes)
        return;
    // A call that failed may have stored its snapshot, which an older one must not replace.
    if (this->clock.now() < this->nextSnapshotAt || this->applied < this->highestSnapshotTried)
        return;
    Snapshot const snapshot = this->makeSnapshot();
    if (!this->storeOwnSnapshot(snapshot))
        return;
    this->storedSnapshotIndex = snapshot.lastIndex;
    this->storedSnapshotBytes = snapshot.state.size();
    this->bytesSinceSnapshot = 0;
    if (snapshot.lastIndex.value() > this->limits.retainedEntries)
        this->log.compactTo(LogIndex(snapshot.lastIndex.value() - this->limits.retainedEntries));
}

/// Without room for a snapshot the host goes on as long as the storage takes entries.
bool ReplicatedLog::storeOwnSnapshot(Snapshot const& snapshot)
{
    bool isStored = false;
    bool const isUsable = this->runStorageCall([&] {
        try {
            this->storage.saveSnapshot(snapshot);
            isStored = true;
        } catch (Error const& error) {
            this->nextSnapshotAt = this->clock.now() + this->times.snapshotRetryInterval;
            this->highestSnapshotTried = std::max(this->highestSnapshotTried, snapshot.lastIndex);
            this->events.emit(Event(EventId::SnapshotFailed)
                                  .with("group", this->group)
                                  .with("code", static_cast<int>(error.code()))
                                  .with("reason", error.what())
                                  .with("lastIndex", snapshot.lastIndex)
                                  .with("bytes", snapshot.state.size()));
            this->rewriteUnsynced();
        }
    });
    if (isUsable)
        this->synced = this->log.lastIndex();
    return isStored;
}

bool ReplicatedLog::isSoleVoter() const
{
    auto const& voters = this->membership().voters;
    return voters.size() == 1 && voters.front() == this->self;
}

bool ReplicatedLog::saveHardState()
{
    LogIndex const last = this->log.lastIndex();
    bool const isStored = this->runStorageCall([this] {
        this->storage.saveHardState(this->hardState);
        this->storage.sync();
    });
    if (isStored)
        this->synced = last;
    return isStored;
}

bool ReplicatedLog::runStorageCall(std::function<void()> const& write)
{
    if (this->storageOutage)
        return false;
    try {
        write();
        return true;
    } catch (Error const& error) {
        this->onStorageFailure(error);
        return false;
    }
}

void ReplicatedLog::onStorageFailure(Error const& error)
{
    TimePoint const now = this->clock.now();
    // A storage that takes the few bytes of a recovery but nothing after them would fail again and again.
    bool const isSoonAgain = now - this->storageRecoveredAt < this->times.storageFaultInterval;
    this->storageRetryDelay = isSoonAgain ? std::min(this->storageRetryDelay * 2, this->times.storageFaultInterval) : this->times.storageRetryInterval;
    this->storageOutage = StorageOutage { now, now, now, error.code(), error.what() };
    this->reportStorageOutage();
    HostId const successor = this->role == Role::Leader ? this->bestSuccessor() : HostId();
    this->becomeFollower(this->hardState.term, HostId());
    this->incomingSnapshot.reset();
    // Without it the others would wait for an election timeout.
    this->send(successor, TimeoutNow { this->hardState.term });
}

void ReplicatedLog::reportStorageOutage()
{
    StorageOutage& outage = *this->storageOutage;
    outage.reportedAt = this->clock.now();
    this->events.emit(Event(EventId::StorageFault)
                          .with("group", this->group)
                          .with("code", static_cast<int>(outage.code))
                          .with("reason", outage.reason)
                          .with("lastedMs", outage.reportedAt - outage.since));
}

void ReplicatedLog::tickWithoutStorage()
{
    TimePoint const now = this->clock.now();
    bool const isPassing = this->storageOutage->code != ResultCode::StorageDamaged;
    if (isPassing && now - this->storageOutage->triedAt >= this->storageRetryDelay)
        this->recoverStorage();
    if (this->storageOutage && now - this->storageOutage->reportedAt >= this->times.storageFaultInterval)
        this->reportStorageOutage();
}

void ReplicatedLog::recoverStorage()
{
    StorageOutage& outage = *this->storageOutage;
    outage.triedAt = this->clock.now();
    try {
        this->rewriteUnsynced();
    } catch (Error const& error) {
        outage.code = error.code();
        outage.reason = error.what();
        return;
    }
    this->events.emit(Event(EventId::StorageRecovered)
                          .with("group", this->group)
                          .with("code", static_cast<int>(outage.code))
                          .with("lastedMs", this->clock.now() - outage.since)
                          .with("entriesWritten", this->log.lastIndex().value() - this->synced.value())
                          .with("lastIndex", this->log.lastIndex())
                          .with("term", this->hardState.term));
    this->synced = this->log.lastIndex();
    this->storageOutage.reset();
    this->storageRecoveredAt = this->clock.now();
    this->rejoin();
}

void ReplicatedLog::rewriteUnsynced()
{
    this->storage.discardUnsynced();
    // Applied entries may be among them: others committed them while this host had not synced them yet.
    LogIndex const first = this->synced.next();
    this->storage.truncateFrom(first);
    std::vector<LogEntry> const entries = this->log.slice(first, std::numeric_limits<size_t>::max());
    this->storage.append(Span<LogEntry const>(entries));
    this->storage.saveHardState(this->hardState);
    this->storage.sync();
}

/// Unlike after a restart, lastLeaderContact still tells until when this host promised its vote to a leader.
void ReplicatedLog::rejoin()
{
    this->isFlushRequested = false;
    this->resetElectionDeadline();
    if (this->isSoleVoter())
        this->startElection(false);
}

bool ReplicatedLog::appendAsLeader(EntryKind kind, std::string payload, ResultCode& code)
{
    LogEntry entry { this->log.lastIndex().next(), this->hardState.term, kind, std::move(payload) };
    try {
        this->storage.append(Span<LogEntry const>(&entry, 1));
    } catch (Error const& error) {
        code = error.code();
        this->onStorageFailure(error);
        return false;
    }
    this->log.append(std::move(entry));
    if (kind == EntryKind::Membership)
        this->updatePeers();
    return true;
}

} // namespace cornelpond
