// The elections of ReplicatedLog: pre-vote, vote, candidacy of a witness and leadership transfer.

#include "cornelpond/core/agreement/ReplicatedLog.h"

#include <algorithm>

namespace cornelpond {

namespace {

    /// A witness waits this many times electionTimeoutMax longer before it campaigns than a host that may lead.
    constexpr int64_t witnessExtraTimeouts = 2;

    /// After a split vote the next attempt follows within electionTimeoutMin divided by this.
    constexpr int64_t splitVoteRetryDivisor = 4;

} // namespace

void ReplicatedLog::becomeFollower(Term term, HostId const& leader)
{
    bool const isNewTerm = term > this->hardState.term;
    if (isNewTerm)
        this->hardState = { term, HostId() };
    this->stepDown();
    this->votes.clear();
    this->pendingVoteRequest.reset();
    this->knownLeader = leader;
    this->deferredAppendReply.reset();
    this->resetElectionDeadline();
    if (isNewTerm)
        this->saveHardState();
}

void ReplicatedLog::stepDown()
{
    bool const hadNotifiedLeadership = this->hasNotifiedLeadership;
    std::deque<Proposal> const unanswered = std::move(this->proposals);
    this->role = Role::Follower;
    this->isEstablished = this->hasNotifiedLeadership = false;
    this->proposals.clear();
    this->proposedBytes = 0;
    this->peers.clear();
    this->leadershipTransfer.reset();
    this->outgoingSnapshot.reset();
    if (hadNotifiedLeadership)
        this->hooks.onLeadership(false);
    for (auto const& proposal : unanswered)
        proposal.done({ ResultCode::OutcomeUnknown, LogIndex() });
}

void ReplicatedLog::resetElectionDeadline()
{
    Duration const spread = this->times.electionTimeoutMax - this->times.electionTimeoutMin;
    auto const jitterUs = this->random.below(static_cast<uint64_t>(spread.toMicroseconds()) + 1);
    this->electionDeadline = this->clock.now() + this->times.electionTimeoutMin + Duration::microseconds(static_cast<int64_t>(jitterUs));
    if (!this->membership().canLead(this->self))
        this->electionDeadline = this->electionDeadline + this->times.electionTimeoutMax * witnessExtraTimeouts;
}

void ReplicatedLog::campaignWhenDue()
{
    if (this->clock.now() >= this->electionDeadline && this->membership().isVoter(this->self))
        this->startPreVote();
    else if (this->pendingVoteRequest && this->clock.now() >= this->voteRequestSentAt + this->times.voteRetryInterval)
        this->requestVotes(*this->pendingVoteRequest);
}

bool ReplicatedLog::hasRecentLeaderContact() const
{
    TimePoint const lastContact = this->role == Role::Leader ? this->majorityConfirmedAt() : this->lastLeaderContact;
    return this->clock.now() < lastContact + this->times.electionTimeoutMin;
}

bool ReplicatedLog::isUpToDate(LogIndex lastIndex, Term lastTerm) const
{
    Term const ownTerm = this->log.lastTerm();
    return lastTerm > ownTerm || (lastTerm == ownTerm && lastIndex >= this->log.lastIndex());
}

void ReplicatedLog::startPreVote()
{
    this->role = Role::PreCandidate;
    this->knownLeader = HostId();
    this->votes = { this->self };
    this->resetElectionDeadline();
    this->requestVotes({ this->hardState.term.next(), this->log.lastIndex(), this->log.lastTerm(), true, false });
    if (this->hasVoteMajority())
        this->startElection(false);
}

void ReplicatedLog::startElection(bool isTransfer)
{
    this->role = Role::Candidate;
    this->pendingVoteRequest.reset();
    this->knownLeader = HostId();
    this->deferredAppendReply.reset();
    this->votes = { this->self };
    this->hardState = { this->hardState.term.next(), this->self };
    this->resetElectionDeadline();
    if (!this->saveHardState())
        return;
    if (this->hasVoteMajority())
        this->becomeLeader();
    else
        this->requestVotes({ this->hardState.term, this->log.lastIndex(), this->log.lastTerm(), false, isTransfer });
}

void ReplicatedLog::requestVotes(VoteRequest const& request)
{
    this->voteRequestSentAt = this->clock.now();
    for (auto const& voter : this->membership().voters) {
        if (!this->votes.count(voter))
            this->send(voter, request);
    }
    this->pendingVoteRequest = request;
}

bool ReplicatedLog::hasVoteMajority() const
{
    auto const& voters = this->membership().voters;
    auto const granted = std::count_if(voters.begin(), voters.end(), [&](auto const& voter) { return this->votes.count(voter) > 0; });
    return static_cast<size_t>(granted) >= this->membership().quorum();
}

void ReplicatedLog::becomeLeader()
{
    this->role = Role::Leader;
    this->pendingVoteRequest.reset();
    this->knownLeader = this->self;
    this->leaderSince = this->clock.now();
    this->barrierIndex = this->log.lastIndex().next();
    this->updatePeers();
    ResultCode code = ResultCode::Ok;
    if (this->appendAsLeader(EntryKind::Barrier, std::string(), code))
        this->requestFlush();
}

void ReplicatedLog::establishLeadership()
{
    this->isEstablished = true;
    if (!this->membership().canLead(this->self)) {
        this->events.emit(Event(EventId::WitnessLeads).with("group", this->group).with("term", this->hardState.term));
        return;
    }
    this->hasNotifiedLeadership = true;
    this->hooks.onLeadership(true);
}

void ReplicatedLog::onVoteRequest(HostId const& from, VoteRequest const& request)
{
    VoteReply reply;
    reply.requestTerm = request.term;
    reply.isPreVote = request.isPreVote;
    reply.isGranted = request.isPreVote ? this->grantsPreVote(request) : this->grantsVote(from, request);
    if (this->storageOutage)
        return;
    reply.term = this->hardState.term;
    this->send(from, reply);
    if (!reply.isGranted)
        this->campaignForLaggingCandidate(from, request);
}

bool ReplicatedLog::grantsPreVote(VoteRequest const& request) const
{
    return request.term > this->hardState.term && !this->hasRecentLeaderContact() && this->isUpToDate(request.lastIndex, request.lastTerm);
}

bool ReplicatedLog::grantsVote(HostId const& from, VoteRequest const& request)
{
    if (this->hasRecentLeaderContact() && !request.isTransfer)
        return false;
    if (request.term > this->hardState.term)
        this->becomeFollower(request.term, HostId());
    bool const isVoteAvailable = this->hardState.votedFor.empty() || this->hardState.votedFor == from;
    if (request.term < this->hardState.term || !isVoteAvailable || !this->isUpToDate(request.lastIndex, request.lastTerm))
        return false;
    if (this->hardState.votedFor == from)
        return true;
    this->hardState.votedFor = from;
    this->resetElectionDeadline();
    return this->saveHardState();
}

void ReplicatedLog::campaignForLaggingCandidate(HostId const& candidate, VoteRequest const& request)
{
    // A witness whose log is ahead of the candidate's campaigns itself: as leader it replicates the missing
    // entries to a host that may lead, and then transfers leadership to it.
    bool const isWitness = this->membership().isVoter(this->self) && !this->membership().canLead(this->self);
    bool const isBehind = !this->isUpToDate(request.lastIndex, request.lastTerm);
    if (isWitness && isBehind && this->membership().canLead(candidate) && !this->hasRecentLeaderContact() && this->role == Role::Follower)
        this->startPreVote();
}

void ReplicatedLog::onVoteReply(HostId const& from, VoteReply const& reply)
{
    if (reply.term > this->hardState.term) {
        this->becomeFollower(reply.term, HostId());
        return;
    }
    Term const requestedTerm = reply.isPreVote ? this->hardState.term.next() : this->hardState.term;
    Role const requestingRole = reply.isPreVote ? Role::PreCandidate : Role::Candidate;
    if (this->role != requestingRole || reply.requestTerm != requestedTerm)
        return;
    if (!reply.isGranted) {
        this->retrySoonAfterSplitVote(reply);
        return;
    }
    this->votes.insert(from);
    if (!this->hasVoteMajority())
        return;
    if (reply.isPreVote)
        this->startElection(false);
    else
        this->becomeLeader();
}

void ReplicatedLog::retrySoonAfterSplitVote(VoteReply const& reply)
{
    // The voter denied its vote for the candidate's current term, so waiting a whole election timeout before
    // trying the next term gains nothing.
    if (reply.isPreVote || reply.term != this->hardState.term)
        return;
    Duration const longest = this->times.electionTimeoutMin / splitVoteRetryDivisor;
    auto const waitUs = this->random.below(static_cast<uint64_t>(longest.toMicroseconds()) + 1);
    this->electionDeadline = std::min(this->electionDeadline, this->clock.now() + Duration::microseconds(static_cast<int64_t>(waitUs)));
}

void ReplicatedLog::onTimeoutNow(TimeoutNow const& message)
{
    if (message.term == this->hardState.term && this->role != Role::Leader && this->membership().isVoter(this->self))
        this->startElection(true);
}

void ReplicatedLog::transferLeadership(HostId const& to)
{
    if (this->role != Role::Leader)
        return;
    this->leadershipTransfer = LeadershipTransfer { to, this->clock.now() + this->times.electionTimeoutMax };
    this->advanceLeadershipTransfer();
}

void ReplicatedLog::advanceLeadershipTransfer()
{
    if (this->isEstablished && !this->leadershipTransfer && !this->membership().canLead(this->self) && !this->bestSuccessor().empty())
        this->leadershipTransfer = LeadershipTransfer { HostId(), this->clock.now() + this->times.electionTimeoutMax };
    if (!this->leadershipTransfer)
        return;
    if (this->clock.now() >= this->leadershipTransfer->deadline) {
        this->leadershipTransfer.reset();
        return;
    }
    HostId const to = this->leadershipTransfer->to.empty() ? this->bestSuccessor() : this->leadershipTransfer->to;
    auto const found = this->peers.find(to);
    bool const isReady = found != this->peers.end() && found->second.matchIndex == this->log.lastIndex() && this->committed == this->log.lastIndex();
    if (isReady && this->membership().isVoter(to))
        this->finishLeadershipTransfer(to);
}

void ReplicatedLog::finishLeadershipTransfer(HostId const& to)
{
    // Steps down before the successor campaigns, whose vote requests are granted even by voters that heard
    // from this leader recently.
    this->events.emit(Event(EventId::LeadershipTransferred).with("group", this->group).with("term", this->hardState.term).with("to", to));
    Term const term = this->hardState.term;
    this->becomeFollower(term, HostId());
    this->send(to, TimeoutNow { term });
}

HostId ReplicatedLog::bestSuccessor() const
{
    HostId best;
    LogIndex bestMatch;
    for (auto const& [host, progress] : this->peers) {
        bool const isReplying = this->clock.now() - progress.lastReplyAt < this->times.electionTimeoutMin;
        if (!isReplying || !this->membership().canLead(host) || (!best.empty() && progress.matchIndex <= bestMatch))
            continue;
        best = host;
        bestMatch = progress.matchIndex;
    }
    return best;
}

} // namespace cornelpond
