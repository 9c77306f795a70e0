// The replication of ReplicatedLog: appends, heartbeats, snapshots sent in chunks and the commit index.

#include "cornelpond/core/agreement/ReplicatedLog.h"

#include <algorithm>

namespace cornelpond {

void ReplicatedLog::tickAsLeader()
{
    TimePoint const now = this->clock.now();
    if (now - std::max(this->majorityConfirmedAt(), this->leaderSince) > this->times.electionTimeoutMax) {
        this->events.emit(Event(EventId::QuorumLost).with("group", this->group).with("term", this->hardState.term));
        this->becomeFollower(this->hardState.term, HostId());
        return;
    }
    for (auto& [host, progress] : this->peers) {
        if (now - progress.lastSentAt >= this->times.heartbeatInterval)
            this->sendHeartbeat(host, progress);
    }
    this->advanceLeadershipTransfer();
}

TimePoint ReplicatedLog::majorityConfirmedAt() const
{
    std::vector<TimePoint> confirmed;
    for (auto const& voter : this->membership().voters) {
        auto const found = this->peers.find(voter);
        if (voter == this->self)
            confirmed.push_back(this->clock.now());
        else
            confirmed.push_back(found == this->peers.end() ? TimePoint::distantPast() : found->second.answeredRequestSentAt);
    }
    std::sort(confirmed.begin(), confirmed.end(), [](TimePoint a, TimePoint b) { return a > b; });
    return confirmed.empty() ? TimePoint::distantPast() : confirmed[this->membership().quorum() - 1];
}

void ReplicatedLog::updatePeers()
{
    Membership const& members = this->membership();
    for (auto entry = this->peers.begin(); entry != this->peers.end();) {
        bool const isMember = members.isVoter(entry->first) || members.isLearner(entry->first);
        entry = isMember ? std::next(entry) : this->peers.erase(entry);
    }
    auto const add = [this](HostId const& host) {
        if (host == this->self || this->peers.count(host))
            return;
        PeerProgress progress;
        progress.nextIndex = this->log.lastIndex().next();
        progress.lastReplyAt = this->clock.now();
        this->peers.emplace(host, std::move(progress));
    };
    std::for_each(members.voters.begin(), members.voters.end(), add);
    std::for_each(members.learners.begin(), members.learners.end(), add);
}

void ReplicatedLog::sendAppends(HostId const& to, PeerProgress& progress)
{
    while (progress.canSend(this->log.lastIndex()))
        this->sendAppend(to, progress);
}

void ReplicatedLog::sendAppend(HostId const& to, PeerProgress& progress)
{
    if (progress.nextIndex <= this->log.baseIndex()) {
        this->startSnapshotTransfer(to, progress);
        return;
    }
    AppendRequest request = this->makeEmptyAppend(progress);
    request.entries = this->log.slice(progress.nextIndex, this->limits.maxPayloadBytes);
    if (progress.mode == PeerProgress::Mode::Probe) {
        progress.isProbeInFlight = true;
    } else if (!request.entries.empty()) {
        progress.nextIndex = request.entries.back().index.next();
        progress.inFlight.push_back(request.entries.back().index);
    }
    this->send(to, request);
}

AppendRequest ReplicatedLog::makeEmptyAppend(PeerProgress& progress) const
{
    // The previous index makes the peer refuse the request if an earlier one was lost.
    AppendRequest request;
    request.term = this->hardState.term;
    request.previousIndex = std::max(LogIndex(progress.nextIndex.value() - 1), this->log.baseIndex());
    request.previousTerm = this->log.termAt(request.previousIndex);
    request.commitIndex = this->committed;
    request.sentAt = progress.lastSentAt = this->clock.now();
    return request;
}

void ReplicatedLog::sendHeartbeat(HostId const& to, PeerProgress& progress)
{
    if (progress.mode == PeerProgress::Mode::Snapshot && this->isSilent(progress)) {
        progress.probeFrom(progress.nextIndex);
        this->dropOutgoingSnapshotWhenUnused();
    }
    if (progress.mode == PeerProgress::Mode::Snapshot) {
        this->sendSnapshotChunk(to, progress);
        return;
    }
    progress.isProbeInFlight = progress.mode == PeerProgress::Mode::Probe;
    this->send(to, this->makeEmptyAppend(progress));
}

bool ReplicatedLog::isSilent(PeerProgress const& progress) const
{
    return this->clock.now() - progress.lastReplyAt > this->times.electionTimeoutMax;
}

void ReplicatedLog::startSnapshotTransfer(HostId const& to, PeerProgress& progress)
{
    // A member that does not reply gets small probes instead of chunks until it does.
    if (this->isSilent(progress)) {
        progress.probeFrom(progress.nextIndex);
        progress.isProbeInFlight = true;
        return;
    }
    // A snapshot that ends before the first entry in memory would leave a gap, and the member would need
    // another snapshot right after it.
    if (!this->outgoingSnapshot || this->outgoingSnapshot->lastIndex < this->log.baseIndex())
        this->takeOutgoingSnapshot();
    progress.mode = PeerProgress::Mode::Snapshot;
    progress.inFlight.clear();
    progress.isProbeInFlight = false;
    progress.snapshotIndex = this->outgoingSnapshot->lastIndex;
    progress.snapshotOffset = 0;
    this->sendSnapshotChunk(to, progress);
}

void ReplicatedLog::takeOutgoingSnapshot()
{
    this->outgoingSnapshot = this->makeSnapshot();
    this->outgoingSnapshotTakenAt = this->clock.now();
    for (auto& [host, progress] : this->peers) {
        // Transfers in progress restart with the new snapshot at the next heartbeat.
        progress.snapshotIndex = this->outgoingSnapshot->lastIndex;
        progress.snapshotOffset = 0;
    }
}

void ReplicatedLog::sendSnapshotChunk(HostId const& to, PeerProgress& progress)
{
    Snapshot const& snapshot = *this->outgoingSnapshot;
    SnapshotChunk chunk;
    chunk.term = this->hardState.term;
    chunk.lastIndex = snapshot.lastIndex;
    chunk.lastTerm = snapshot.lastTerm;
    chunk.takenAt = this->outgoingSnapshotTakenAt;
    chunk.offset = progress.snapshotOffset;
    chunk.totalBytes = snapshot.state.size();
    chunk.sentAt = progress.lastSentAt = this->clock.now();
    chunk.membership = snapshot.membership;
    chunk.bytes = snapshot.state.substr(progress.snapshotOffset, this->limits.maxPayloadBytes);
    this->send(to, chunk);
}

void ReplicatedLog::dropOutgoingSnapshotWhenUnused()
{
    bool const isUsed = std::any_of(this->peers.begin(), this->peers.end(), [](auto const& peer) { return peer.second.mode == PeerProgress::Mode::Snapshot; });
    if (!isUsed)
        this->outgoingSnapshot.reset();
}

PeerProgress* ReplicatedLog::onMemberReply(HostId const& from, Term term, TimePoint sentAt)
{
    if (term > this->hardState.term) {
        this->becomeFollower(term, HostId());
        return nullptr;
    }
    auto const found = this->peers.find(from);
    if (this->role != Role::Leader || term != this->hardState.term || found == this->peers.end())
        return nullptr;
    PeerProgress& progress = found->second;
    progress.lastReplyAt = this->clock.now();
    progress.answeredRequestSentAt = std::max(progress.answeredRequestSentAt, std::min(sentAt, this->clock.now()));
    return &progress;
}

void ReplicatedLog::onAppendReply(HostId const& from, AppendReply const& reply)
{
    PeerProgress* const member = this->onMemberReply(from, reply.term, reply.sentAt);
    if (!member)
        return;
    PeerProgress& progress = *member;
    if (progress.mode == PeerProgress::Mode::Snapshot)
        return;
    if (progress.nextIndex <= this->log.baseIndex() && !reply.isSuccess) {
        this->startSnapshotTransfer(from, progress);
        return;
    }
    if (reply.isSuccess) {
        progress.onSuccess(std::min(reply.index, this->log.lastIndex()));
    } else {
        bool const isStale = reply.previousIndex <= progress.matchIndex || (progress.mode == PeerProgress::Mode::Probe && reply.previousIndex.next() != progress.nextIndex);
        if (isStale)
            return;
        progress.probeFrom(reply.index);
    }
    this->sendAppends(from, progress);
    this->advanceCommit();
    if (this->role == Role::Leader)
        this->advanceLeadershipTransfer();
}

void ReplicatedLog::onSnapshotReply(HostId const& from, SnapshotReply const& reply)
{
    PeerProgress* const member = this->onMemberReply(from, reply.term, reply.sentAt);
    if (!member)
        return;
    PeerProgress& progress = *member;
    if (progress.mode != PeerProgress::Mode::Snapshot || reply.lastIndex != progress.snapshotIndex)
        return;
    if (reply.nextOffset < this->outgoingSnapshot->state.size()) {
        this->advanceSnapshotTransfer(from, progress, reply);
        return;
    }
    progress.mode = PeerProgress::Mode::Probe;
    progress.onSuccess(reply.lastIndex);
    this->dropOutgoingSnapshotWhenUnused();
    this->sendAppends(from, progress);
    this->advanceCommit();
}

void ReplicatedLog::advanceSnapshotTransfer(HostId const& to, PeerProgress& progress, SnapshotReply const& reply)
{
    // The next chunk is sent at once only if the member's offset advanced, so that duplicated replies do not
    // multiply messages. A member that lacks a chunk gets it again with the next heartbeat.
    bool const isProgress = reply.nextOffset > progress.snapshotOffset;
    if (isProgress || reply.sentAt >= progress.lastSentAt)
        progress.snapshotOffset = reply.nextOffset;
    if (isProgress)
        this->sendSnapshotChunk(to, progress);
}

void ReplicatedLog::advanceCommit()
{
    if (this->role != Role::Leader)
        return;
    std::vector<LogIndex> matches;
    for (auto const& voter : this->membership().voters) {
        auto const found = this->peers.find(voter);
        if (voter == this->self)
            matches.push_back(this->synced);
        else
            matches.push_back(found == this->peers.end() ? LogIndex() : found->second.matchIndex);
    }
    std::sort(matches.begin(), matches.end(), [](LogIndex a, LogIndex b) { return a > b; });
    LogIndex const majorityMatch = matches[this->membership().quorum() - 1];
    // Entries of earlier terms are committed only together with a later entry of the current term.
    if (majorityMatch > this->committed && this->log.termAt(majorityMatch) == this->hardState.term)
        this->commitTo(majorityMatch);
}

bool ReplicatedLog::acceptLeader(HostId const& from, Term term)
{
    bool const isSecondLeader = this->role == Role::Leader && term == this->hardState.term;
    if (term < this->hardState.term || isSecondLeader)
        return false;
    if (term > this->hardState.term || this->role != Role::Follower || this->knownLeader != from)
        this->becomeFollower(term, from);
    this->lastLeaderContact = this->clock.now();
    this->resetElectionDeadline();
    return true;
}

void ReplicatedLog::onAppendRequest(HostId const& from, AppendRequest request)
{
    if (!this->acceptLeader(from, request.term)) {
        this->refuseAppend(from, request);
        return;
    }
    if (this->storageOutage)
        return;
    if (!this->matchesPrevious(request)) {
        this->refuseAppend(from, request);
        return;
    }
    AppendReply reply;
    reply.term = this->hardState.term;
    reply.isSuccess = true;
    reply.previousIndex = request.previousIndex;
    reply.index = LogIndex(request.previousIndex.value() + request.entries.size());
    reply.sentAt = request.sentAt;
    if (!this->appendReceived(request))
        return;
    this->acknowledge(from, reply);
    this->commitTo(std::min(request.commitIndex, reply.index));
}

bool ReplicatedLog::matchesPrevious(AppendRequest const& request) const
{
    if (request.previousIndex <= this->committed)
        return true;
    return request.previousIndex <= this->log.lastIndex() && this->log.termAt(request.previousIndex) == request.previousTerm;
}

void ReplicatedLog::refuseAppend(HostId const& from, AppendRequest const& request)
{
    AppendReply reply;
    reply.term = this->hardState.term;
    reply.previousIndex = request.previousIndex;
    reply.sentAt = request.sentAt;
    reply.index = this->log.lastIndex().next();
    if (request.previousIndex <= this->log.lastIndex() && request.previousIndex > this->log.baseIndex())
        reply.index = std::max(this->log.firstOfTermAt(request.previousIndex), this->committed.next());
    this->send(from, reply);
}

bool ReplicatedLog::appendReceived(AppendRequest& request)
{
    auto& entries = request.entries;
    if (!this->dropConflicts(entries))
        return false;
    if (entries.empty())
        return true;
    if (!this->runStorageCall([&] { this->storage.append(Span<LogEntry const>(entries)); }))
        return false;
    for (auto& entry : entries)
        this->log.append(std::move(entry));
    return true;
}

bool ReplicatedLog::dropConflicts(std::vector<LogEntry>& entries)
{
    auto const isHeld = [this](LogEntry const& entry) {
        if (entry.index <= this->committed)
            return true;
        return entry.index <= this->log.lastIndex() && this->log.termAt(entry.index) == entry.term;
    };
    entries.erase(entries.begin(), std::find_if_not(entries.begin(), entries.end(), isHeld));
    if (entries.empty() || entries.front().index > this->log.lastIndex())
        return true;
    LogIndex const conflict = entries.front().index;
    if (!this->runStorageCall([&] { this->storage.truncateFrom(conflict); }))
        return false;
    this->log.truncateFrom(conflict);
    this->synced = std::min(this->synced, this->log.lastIndex());
    return true;
}

void ReplicatedLog::acknowledge(HostId const& from, AppendReply const& reply)
{
    if (reply.index <= this->synced && !this->deferredAppendReply) {
        this->send(from, reply);
        return;
    }
    if (!this->deferredAppendReply || reply.index >= this->deferredAppendReply->index)
        this->deferredAppendReply = reply;
    this->requestFlush();
}

void ReplicatedLog::onSnapshotChunk(HostId const& from, SnapshotChunk& chunk)
{
    SnapshotReply reply;
    reply.lastIndex = chunk.lastIndex;
    reply.sentAt = chunk.sentAt;
    if (this->acceptLeader(from, chunk.term) && !this->storageOutage) {
        auto const isSame = [&] { return this->incomingSnapshot && this->incomingSnapshot->term == chunk.term && this->incomingSnapshot->takenAt == chunk.takenAt; };
        if (chunk.offset == 0 && !isSame())
            this->incomingSnapshot = IncomingSnapshot { chunk.term, chunk.takenAt, std::string() };
        bool const isExpected = isSame();
        if (isExpected && this->incomingSnapshot->state.size() == chunk.offset)
            this->incomingSnapshot->state += chunk.bytes;
        reply.nextOffset = isExpected ? this->incomingSnapshot->state.size() : 0;
        if (chunk.lastIndex <= this->committed)
            reply.nextOffset = chunk.totalBytes;
        else if (isExpected && reply.nextOffset == chunk.totalBytes)
            this->installSnapshot(chunk, std::move(this->incomingSnapshot->state));
        if (reply.nextOffset == chunk.totalBytes)
            this->incomingSnapshot.reset();
    }
    if (this->storageOutage)
        return;
    reply.term = this->hardState.term;
    this->send(from, reply);
}

void ReplicatedLog::installSnapshot(SnapshotChunk const& lastChunk, std::string state)
{
    Snapshot const snapshot { lastChunk.lastIndex, lastChunk.lastTerm, lastChunk.membership, std::move(state) };
    Membership members = decodeMembership(snapshot.membership);
    bool const isHeld = snapshot.lastIndex <= this->log.lastIndex() && this->log.termAt(snapshot.lastIndex) == snapshot.lastTerm;
    if (!isHeld)
        this->synced = std::min(this->synced, snapshot.lastIndex);
    bool const isStored = this->runStorageCall([&] {
        if (!isHeld && this->log.lastIndex() > snapshot.lastIndex)
            this->storage.truncateFrom(snapshot.lastIndex.next());
        this->storage.saveSnapshot(snapshot);
    });
    if (!isStored) {
        this->highestSnapshotTried = std::max(this->highestSnapshotTried, snapshot.lastIndex);
        return;
    }
    if (isHeld)
        this->log.compactTo(snapshot.lastIndex);
    else
        this->log.reset(snapshot.lastIndex, snapshot.lastTerm, std::move(members));
    this->synced = isHeld ? std::max(this->synced, snapshot.lastIndex) : snapshot.lastIndex;
    this->committed = this->applied = this->storedSnapshotIndex = snapshot.lastIndex;
    this->storedSnapshotBytes = snapshot.state.size();
    this->bytesSinceSnapshot = 0;
    this->hooks.restore(snapshot.state);
}

} // namespace cornelpond
