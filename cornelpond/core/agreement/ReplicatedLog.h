#pragma once

// The replicated log of one group, after Raft: leader election, replication, snapshots and membership
// changes among the hosts of the group. Starts no threads and opens no connections: the owner passes in
// messages and ticks, and the log calls the given `send` function, storage and hooks.
//
// Example:
//   ReplicatedLog log(GroupId("config"), self, bootstrap, ReplicatedLogTimes(), clock, random, events, storage, send, hooks);
//   log.start();
//   log.propose(command, [](ProposalOutcome const& outcome) { answer(outcome.code); });
//   // from the loop: log.onMessage(from, bytes); log.onTick();
//
// Loop thread only. In a group with one voter an entry is committed before `propose` returns. `send` must
// not call back into the log.

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
    /// The shortest election timeout. A host that heard from a leader within this time grants no vote to
    /// another host.
    Duration electionTimeoutMin = Duration::milliseconds(600);
    /// The longest election timeout. A leader that has no replies from a majority for this long steps down.
    Duration electionTimeoutMax = Duration::milliseconds(1000);
    /// A candidate resends its vote request to the voters that have not granted it at this interval.
    Duration voteRetryInterval = Duration::milliseconds(100);
    /// How far two hosts' clocks may drift apart over one election timeout.
    Duration driftMargin = Duration::milliseconds(60);
    /// A host whose storage failed tries at this interval to use it again; after outages in quick succession, at
    /// intervals that double up to `storageFaultInterval`.
    Duration storageRetryInterval = Duration::milliseconds(500);
    /// StorageFault is emitted again at this interval while the storage fails.
    Duration storageFaultInterval = Duration::seconds(5);
    /// After a snapshot that could not be stored, the next one is tried no sooner.
    Duration snapshotRetryInterval = Duration::seconds(5);
};

struct ReplicatedLogLimits {
    size_t maxPayloadBytes = 256 * 1024; ///< Of one append or snapshot chunk; a longer entry is sent alone.
    size_t maxUncommittedBytes = 16 * 1024 * 1024; ///< A leader refuses proposals beyond it with NoQuorum.
    /// A snapshot is taken once this many entries, or payload bytes, have been applied since the last one,
    /// but not before their payload is as large as the last snapshot.
    size_t snapshotAfterEntries = 10000;
    size_t snapshotAfterBytes = 1024 * 1024;
    size_t retainedEntries = 1000; ///< Entries covered by a snapshot that stay in memory, for members that lag slightly.
};

class ReplicatedLog final : public CommandLog {
public:
    /// `bytes` is one encoded agreement message of this group.
    using Send = std::function<void(HostId const& to, std::string bytes)>;

    /// `initial` must be the same on every host; it is in force until a snapshot or an entry holds another
    /// membership. The clock, random, events and storage must outlive the log.
    ReplicatedLog(GroupId group, HostId self, Membership initial, ReplicatedLogTimes times, Clock const& clock, Random& random, EventSink& events,
        Storage& storage, Send send, StateMachineHooks hooks, ReplicatedLogLimits limits = ReplicatedLogLimits());

    /// Reads the stored state. A sole voter is the leader on return. Throws Error if reading fails.
    void start();

    /// Handles one encoded agreement message. Drops a malformed one and emits AgreementMessageRefused.
    void onMessage(HostId const& from, std::string_view bytes);

    /// Runs what is due: heartbeats, elections, snapshots; also a flush, or with a flush callback the request for one that is
    /// needed. To be called every 10 to 20 ms.
    void onTick();

    /// Batches all that arrives in one turn of the loop into one sync: `callback` is called when entries or
    /// replies wait for `flush`, and the owner then calls `flush` at the end of the turn. Without a callback
    /// the log flushes by itself at once, as it always does for a sole voter.
    void setFlushCallback(std::function<void()> callback) { this->flushCallback = std::move(callback); }

    /// Sends pending entries. An owner whose messages leave at the end of a turn of the loop calls it a turn before `flush`, so
    /// that the others' syncs run beside this host's.
    void sendPending();

    /// Sends pending entries, syncs the storage, sends the reply that waited for the sync and commits and
    /// applies what a majority now holds.
    void flush();

    bool isLeader() const override;
    bool isLeadershipConfirmed() const override;
    Term term() const override { return this->hardState.term; }
    HostId leader() const override;
    void propose(std::string command, Done done) override;

    /// Changes one host's role. `done` gets Ok once the change is committed; MembershipChangePending,
    /// MembershipChangeRefused or NotLeader if nothing was changed; the storage's error code if the entry
    /// could not be written; OutcomeUnknown if this host lost leadership first.
    void proposeMembership(Membership next, Done done);

    /// Transfers leadership to `to`, or if that is empty to the most up-to-date host that may lead, once that
    /// host holds the whole log. The attempt ends after the longest election timeout. Proposals are refused
    /// with NotLeader meanwhile.
    void transferLeadership(HostId const& to);

    /// True while this host leads and could propose a membership change now; also on a witness that leads.
    bool canChangeMembership() const;

    /// True on the leader if the member holds all committed entries, except at most the last 100.
    bool isCaughtUp(HostId const& member) const;

    /// On the leader: time since the member's last reply, or before its first reply since it became a peer
    /// of this leader. Infinite for a host that is not a member, and on a host that does not lead.
    Duration silentFor(HostId const& member) const;

    Membership const& membership() const { return this->log.membership(); }
    LogIndex commitIndex() const { return this->committed; }
    LogIndex appliedIndex() const { return this->applied; }
    LogIndex lastIndex() const { return this->log.lastIndex(); }
    size_t entriesInMemory() const { return this->log.size(); }
    /// True while this host takes no part in the group because its storage failed.
    bool hasFailedStorage() const { return this->storageOutage.has_value(); }

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

    /// The time from a storage call that failed until this host takes part in the group again.
    struct StorageOutage {
        TimePoint since;
        TimePoint triedAt;
        TimePoint reportedAt;
        ResultCode code;
        std::string reason;
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
    void retrySoonAfterSplitVote(VoteReply const& reply);
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
    /// Records that a member replied and returns its progress. Null if this host does not lead in `term` or
    /// `from` is not a member; a higher `term` makes this host a follower.
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
    /// Removes the entries that are already in the log from the front of `entries`, and truncates the log
    /// where the first remaining one conflicts with it. False if the storage failed.
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
    bool storeOwnSnapshot(Snapshot const& snapshot);
    void answerProposals();
    void stepDownWhenRemoved();
    void reportMembership() const;
    Snapshot makeSnapshot() const;
    bool isSoleVoter() const;
    bool saveHardState();
    void onStorageFailure(Error const& error);
    void reportStorageOutage();
    void tickWithoutStorage();
    void recoverStorage();
    /// Makes a storage that failed usable: writes again what is not known to be durable, and syncs it. Throws Error if the
    /// storage still fails.
    void rewriteUnsynced();
    void rejoin();
    /// Runs a storage call. False if it failed, now or earlier; this host then takes no part in the group until
    /// `recoverStorage` succeeds.
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
    LogIndex synced; ///< The entries in memory are durable in this host's storage up to here; never before the first in memory.
    Role role = Role::Follower;
    HostId knownLeader;
    TimePoint lastLeaderContact = TimePoint::distantPast(); ///< While recent, this host grants no vote to another host.
    TimePoint electionDeadline;
    std::set<HostId> votes;
    std::optional<VoteRequest> pendingVoteRequest; ///< Resent to voters that have not granted it, since messages get lost.
    TimePoint voteRequestSentAt;
    Duration storageRetryDelay; ///< In the present outage.
    TimePoint storageRecoveredAt = TimePoint::distantPast();
    std::optional<StorageOutage> storageOutage; ///< While set, this host takes no part in the group.

    std::map<HostId, PeerProgress> peers; ///< On a leader: all other members; else empty.
    LogIndex barrierIndex; ///< Of the first entry of this leader's term.
    bool isEstablished = false; ///< The barrier entry is applied.
    bool hasNotifiedLeadership = false; ///< onLeadership(true) has been called; never on a witness.
    TimePoint leaderSince;
    std::optional<LeadershipTransfer> leadershipTransfer;
    std::optional<Snapshot> outgoingSnapshot;
    TimePoint outgoingSnapshotTakenAt;
    std::deque<Proposal> proposals;
    size_t proposedBytes = 0;

    std::optional<IncomingSnapshot> incomingSnapshot;
    std::optional<AppendReply> deferredAppendReply; ///< Sent after the next sync.
    bool isFlushRequested = false;
    bool isFlushing = false;
    bool isApplying = false;
    LogIndex storedSnapshotIndex;
    LogIndex highestSnapshotTried; ///< Of the calls that failed.
    TimePoint nextSnapshotAt; ///< After a call that failed.
    size_t storedSnapshotBytes = 0;
    size_t bytesSinceSnapshot = 0;
};

} // namespace cornelpond
