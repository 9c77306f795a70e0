#pragma once

// A simulated replicated log with several replicas that exchange no messages. The test decides when proposals
// are committed. A change of leader commits or drops each proposal in flight at random.
//
// Example:
//   FakeLogGroup group(2, random);
//   group.setHooks(0, hooks);
//   group.elect(0);
//   group.commitSome();

#include "cornelpond/core/agreement/CommandLog.h"
#include "cornelpond/ports/Random.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <vector>

namespace cornelpond {

class FakeLogGroup {
public:
    FakeLogGroup(size_t replicaCount, Random& random)
        : random(random)
    {
        for (size_t i = 0; i < replicaCount; i++)
            this->replicas.push_back(std::make_unique<Replica>(*this, i));
    }

    CommandLog& log(size_t replica) { return *this->replicas[replica]; }

    /// Attaches a new state machine to the replica, as after a restart; all commands will be applied to it again.
    void setHooks(size_t replica, StateMachineHooks hooks)
    {
        this->replicas[replica]->hooks = std::move(hooks);
        this->replicas[replica]->applied = 0;
    }

    /// Makes `replica` the leader, after the previous leader has resigned.
    void elect(size_t replica)
    {
        this->resign();
        this->currentTerm = this->currentTerm.next();
        this->leaderIndex = replica;
        this->hasLeader = true;
        this->catchUp(*this->replicas[replica]);
        this->replicas[replica]->hooks.onLeadership(true);
    }

    /// Ends the current leadership. Proposals in flight are committed or dropped at random; all end as OutcomeUnknown.
    void resign()
    {
        if (!this->hasLeader)
            return;
        this->hasLeader = false;
        std::deque<Proposal> unfinished;
        unfinished.swap(this->inFlight);
        Replica& old = *this->replicas[this->leaderIndex];
        old.hooks.onLeadership(false);
        for (auto& proposal : unfinished) {
            if (this->random.below(2))
                this->committed.push_back(proposal.command);
            proposal.done({ ResultCode::OutcomeUnknown, LogIndex() });
        }
    }

    /// Crashes the leader. Proposals in flight are committed or dropped at random; their callbacks are never called.
    void crashLeader()
    {
        if (!this->hasLeader)
            return;
        this->hasLeader = false;
        for (auto& proposal : this->inFlight) {
            if (this->random.below(2))
                this->committed.push_back(proposal.command);
        }
        this->inFlight.clear();
    }

    /// Commits up to `limit` proposals. All are applied before the first callback; on average one in 20 is committed twice.
    void commit(size_t limit)
    {
        std::vector<Proposal> ready;
        while (ready.size() < limit && !this->inFlight.empty()) {
            ready.push_back(std::move(this->inFlight.front()));
            this->inFlight.pop_front();
            this->committed.push_back(ready.back().command);
            if (this->random.below(20) == 0)
                this->committed.push_back(ready.back().command);
        }
        if (!this->hasLeader)
            return;
        this->catchUp(*this->replicas[this->leaderIndex]);
        for (auto& proposal : ready)
            proposal.done({ ResultCode::Ok, LogIndex(this->committed.size()) });
    }

    /// Applies all committed commands on all replicas. Without it a replica applies them when it becomes the leader.
    void catchUpFollowers()
    {
        for (auto const& replica : this->replicas)
            this->catchUp(*replica);
    }

    /// Gives the replica the leader's state as a snapshot.
    void installSnapshot(size_t replica)
    {
        Replica const& source = *this->replicas[this->leaderIndex];
        this->replicas[replica]->hooks.restore(source.hooks.takeSnapshot());
        this->replicas[replica]->applied = source.applied;
    }

    /// False: the leader does not know whether it still leads, as when it hears from no majority.
    void setLeadershipConfirmed(bool confirmed) { this->isConfirmed = confirmed; }

    /// False: the leader refuses proposals, as while it hands its leadership over.
    void setAcceptingProposals(bool accepting) { this->isAccepting = accepting; }

    bool hasCurrentLeader() const { return this->hasLeader; }
    size_t leader() const { return this->leaderIndex; }
    size_t commitCount() const { return this->committed.size(); }

private:
    struct Proposal {
        std::string command;
        CommandLog::Done done;
    };

    class Replica final : public CommandLog {
    public:
        Replica(FakeLogGroup& group, size_t index)
            : group(group)
            , index(index)
        {
        }

        bool isLeader() const override { return this->group.hasLeader && this->group.leaderIndex == this->index; }
        bool isLeadershipConfirmed() const override { return this->isLeader() && this->group.isConfirmed; }
        Term term() const override { return this->group.currentTerm; }
        HostId leader() const override { return HostId("h" + std::to_string(this->group.leaderIndex)); }

        void propose(std::string command, Done done) override
        {
            if (!this->isLeader() || !this->group.isAccepting) {
                done({ ResultCode::NotLeader, LogIndex() });
                return;
            }
            this->group.inFlight.push_back({ std::move(command), std::move(done) });
        }

        FakeLogGroup& group;
        size_t index;
        StateMachineHooks hooks;
        size_t applied = 0;
    };

    void catchUp(Replica& replica)
    {
        while (replica.applied < this->committed.size()) {
            size_t const next = replica.applied++;
            replica.hooks.apply(LogIndex(next + 1), this->committed[next]);
        }
    }

    Random& random;
    std::vector<std::unique_ptr<Replica>> replicas;
    std::vector<std::string> committed;
    std::deque<Proposal> inFlight;
    Term currentTerm;
    size_t leaderIndex = 0;
    bool hasLeader = false;
    bool isConfirmed = true;
    bool isAccepting = true;
};

} // namespace cornelpond
