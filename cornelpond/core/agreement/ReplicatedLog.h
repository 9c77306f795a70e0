#pragma once

// The replicated log of one group: leader election, replication, snapshots and membership changes among
// the hosts of the group. A pure state machine: messages, ticks and time in, messages and storage calls out.
//
// Example:
//   ReplicatedLog log(GroupId("config"), self, bootstrap, ReplicatedLogTimes(), clock, random, events, storage, send, hooks);
//   log.start();
//   log.propose(command, [](ProposalOutcome const& outcome) { answer(outcome.code); });
//   // from the loop: log.onMessage(from, bytes); log.onTick();
//
// Loop thread only. A group with one voter commits before `propose` returns. `send` must not call back
// into the log.

#include "cornelpond/core/agreement/AgreementMessage.h"
#include "cornelpond/core/agreement/CommandLog.h"
#include "cornelpond/core/agreement/EntryLog.h"
#include "cornelpond/core/agreement/PeerProgress.h"
#include "cornelpond/ports/Clock.h"
#include "cornelpond/ports/EventSink.h"
#include "cornelpond/ports/Random.h"

#include <map>
#include <optional>
#include <set>
#include <string_view>

namespace cornelpond {

struct ReplicatedLogTimes {
    Duration heartbeatInterval = Duration::milliseconds(200);
    /// A host that heard a leader within this time votes for no other.
    Duration electionTimeoutMin = Duration::milliseconds(600);
    /// A leader without answers of a majority for this long steps down.
    Duration electionTimeoutMax = Duration::milliseconds(1000);
    /// A candidate repeats its request this often.
    Duration voteRetryInterval = Duration::milliseconds(100);
    /// By how much two hosts' clocks may differ in speed over one election timeout.
    Duration driftMargin = Duration::milliseconds(60);
};

struct ReplicatedLogLimits {
    size_t maxPayloadBytes = 256 * 1024; ///< Payload of one append or snapshot chunk.
    size_t maxUncommittedBytes = 16 * 1024 * 1024; ///< Above it a leader refuses proposals.
    size_t snapshotAfterEntries = 10000; ///< A snapshot is taken after this many entries,
    size_t snapshotAfterBytes = 1024 * 1024; ///< or this many bytes, but never before the log outgrew the last snapshot.
    size_t retainedEntries = 1000; ///< Kept in memory behind a snapshot for members that lag a little.
};

class ReplicatedLog final : public CommandLog {
public:
    /// `bytes` is one encoded agreement message of this group.
    using Send = std::function<void(HostId const& to, std::string bytes)>;

    /// `initial` must be the same on every host; it counts until the log says otherwise. The clock, random,
    /// events and storage must outlive the log.
    ReplicatedLog(GroupId group, HostId self, Membership initial, ReplicatedLogTimes times, Clock const& clock, Random& random, EventSink& events,
        Storage& storage, Send send, StateMachineHooks hooks, ReplicatedLogLimits limits = ReplicatedLogLimits());

    /// Reads the stored state. A sole voter leads on return. Throws Error where reading fails.
    void start();

    /// A malformed message is dropped with an event.
    void onMessage(HostId const& from, std::string_view bytes);

    /// To be called every 10 to 20 ms.
    void onTick();

    /// Lets one sync serve all that arrives in one turn of the loop: `request` is called when something
    /// waits for `flush`, which the owner then calls at the end of the turn. Without it each call flushes.
    void setFlushCallback(std::function<void()> request) { this->flushCallback = std::move(request); }

    /// Sends and syncs what waits, and answers what that committed.
    void flush();

    bool isLeader() const override;
    bool isLeadershipConfirmed() const override;
    Term term() const override { return this->hardState.term; }
    HostId leader() const override;
    void propose(std::string command, Done done) override;

    /// Changes one host's role. `done` gets Ok once the change is committed; MembershipChangePending,
    /// MembershipChangeRefused or NotLeader where nothing was changed; OutcomeUnknown else.
    void proposeMembership(Membership next, Done done);

    /// Hands leadership to `to`, or to the best host that may lead when empty, once it holds the whole log;
    /// given up after an election timeout. Proposals are refused meanwhile.
    void transferLeadership(HostId const& to);

    /// True where this host may propose a membership change now; also on a witness that leads.
    bool canChangeMembership() const;

    /// True on the leader when the member holds all that is committed.
    bool isCaughtUp(HostId const& member) const;

    /// On the leader: how long the member has not answered. Infinite when it never did.
    Duration silentFor(HostId const& member) const;

    Membership const& membership() const { return this->log.membership(); }
    LogIndex commitIndex() const { return this->committed; }
    LogIndex appliedIndex() const { return this->applied; }
    LogIndex lastIndex() const { return this->log.lastIndex(); }
    /// Entries held in memory.
    size_t entriesInMemory() const { return this->log.size(); }
    bool hasFailedStorage() const { return this->isStorageFailed; }

private:
    enum class Role {
        Follower,
        PreCandidate,
        Candidate,
        Leader,
    };

    struct Proposal {
        LogIndex index;
        size_t bytes;
        Done done;
    };

    struct IncomingSnapshot {
        Term term;
        TimePoint takenAt;
        std::string state;
    };

    struct LeadershipTransfer {
        HostId to;
        TimePoint deadline;
    };

    // Elections.
    void becomeFollower(Term term, HostId const& leader);
    void stepDown();
    void startPreVote();
    void startElection(bool isTransfer);
    void requestVotes(VoteRequest const& request);
    void becomeLeader();
    void establishLeadership();
    void resetElectionDeadline();
    void campaignWhenDue();
    bool hasRecentLeaderContact() const;
    bool isUpToDate(LogIndex lastIndex, Term lastTerm) const;
    void onVoteRequest(HostId const& from, VoteRequest const& request);
    bool grantsPreVote(VoteRequest const& request) const;
    bool grantsVote(HostId const& from, VoteRequest const& request);
    void campaignForLaggingCandidate(HostId const& candidate, VoteRequest const& request);
    void onVoteReply(HostId const& from, VoteReply const& reply);
    void retrySoonAfterSplitVote(VoteReply const& denial);
    void onTimeoutNow(TimeoutNow const& message);
    bool hasVoteMajority() const;

    // Leading.
    void tickAsLeader();
    void advanceLeadershipTransfer();
    void finishLeadershipTransfer(HostId const& to);
    HostId bestSuccessor() const;
    void updatePeers();
    void sendAppends(HostId const& to, PeerProgress& progress);
    void sendAppend(HostId const& to, PeerProgress& progress);
    void sendSnapshotChunk(HostId const& to, PeerProgress& progress);
    void sendHeartbeat(HostId const& to, PeerProgress& progress);
    AppendRequest makeEmptyAppend(PeerProgress& progress) const;
    bool isSilent(PeerProgress const& progress) const;
    void takeOutgoingSnapshot();
    void startSnapshotTransfer(HostId const& to, PeerProgress& progress);
    void onAppendReply(HostId const& from, AppendReply const& reply);
    void onSnapshotReply(HostId const& from, SnapshotReply const& reply);
    void advanceSnapshotTransfer(HostId const& to, PeerProgress& progress, SnapshotReply const& reply);
    /// What this leader knows of the member that answered; null when the answer is not to this leadership.
    PeerProgress* onMemberReply(HostId const& from, Term term, TimePoint sentAt);
    void dropOutgoingSnapshotWhenUnused();
    void advanceCommit();
    TimePoint majorityConfirmedAt() const;
    bool appendAsLeader(EntryKind kind, std::string payload, ResultCode& code);

    // Following.
    bool acceptLeader(HostId const& from, Term term);
    void onAppendRequest(HostId const& from, AppendRequest request);
    bool matchesPrevious(AppendRequest const& request) const;
    void refuseAppend(HostId const& from, AppendRequest const& request);
    bool appendReceived(AppendRequest& request);
    bool dropConflicts(std::vector<LogEntry>& entries);
    void acknowledge(HostId const& from, AppendReply const& reply);
    void onSnapshotChunk(HostId const& from, SnapshotChunk& chunk);
    void installSnapshot(SnapshotChunk const& lastChunk, std::string state);

    // Shared.
    void dispatch(HostId const& from, AgreementMessage message);
    void send(HostId const& to, AgreementMessage const& message);
    void requestFlush();
    void commitTo(LogIndex index);
    void applyCommitted();
    void applyEntry(LogEntry const& entry);
    void snapshotWhenDue();
    void answerProposals();
    void stepDownWhenRemoved();
    void reportMembership() const;
    Snapshot makeSnapshot() const;
    bool isSoleVoter() const;
    bool saveHardState();
    void onStorageFailure(Error const& error);
    /// Runs a storage call; false when it failed, after which this host takes no further part.
    bool runStorageCall(std::function<void()> const& write);

    GroupId group;
    HostId self;
    Membership initialMembership;
    ReplicatedLogTimes times;
    Clock const& clock;
    Random& random;
    EventSink& events;
    Storage& storage;
    Send sendBytes;
    StateMachineHooks hooks;
    ReplicatedLogLimits limits;
    std::function<void()> flushCallback;

    HardState hardState;
    EntryLog log;
    LogIndex committed;
    LogIndex applied;
    LogIndex synced; ///< Own entries up to here are durable.
    Role role = Role::Follower;
    HostId knownLeader;
    TimePoint lastLeaderContact = TimePoint::distantPast(); ///< When any leader was heard last; closes the vote for a while.
    TimePoint electionDeadline;
    std::set<HostId> votes;
    std::optional<VoteRequest> pendingVoteRequest; ///< Repeated to those who have not granted it, as answers get lost.
    TimePoint voteRequestSentAt;
    bool isStorageFailed = false;

    std::map<HostId, PeerProgress> peers; ///< On a leader: all other members.
    LogIndex barrierIndex; ///< First entry of this leader's term.
    bool isEstablished = false; ///< The barrier is applied.
    bool hasNotifiedLeadership = false; ///< The state machine was told that it leads.
    TimePoint leaderSince;
    std::optional<LeadershipTransfer> leadershipTransfer;
    std::optional<Snapshot> outgoingSnapshot;
    TimePoint outgoingSnapshotTakenAt;
    std::deque<Proposal> proposals;
    size_t proposedBytes = 0;

    std::optional<IncomingSnapshot> incomingSnapshot;
    std::optional<AppendReply> deferredAppendReply; ///< To be sent after the next sync.
    bool isFlushRequested = false;
    bool isFlushing = false;
    bool isApplying = false;
    LogIndex storedSnapshotIndex;
    size_t storedSnapshotBytes = 0;
    size_t bytesSinceSnapshot = 0;
};

} // namespace cornelpond
