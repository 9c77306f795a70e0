#pragma once

// A replicated log of several replicas without messages. Commits happen when the test says so; a
// change of leader loses or keeps what is in flight, and its proposers learn nothing of that.
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

    /// A restarted replica starts anew with the hooks of its new state machine and an empty state.
    void setHooks(size_t replica, StateMachineHooks hooks)
    {
        this->replicas[replica]->hooks = std::move(hooks);
        this->replicas[replica]->applied = 0;
    }

    /// Makes `replica` the leader. What the previous one has in flight is committed or lost at random.
    void elect(size_t replica)
    {
        this->resign();
        this->currentTerm = this->currentTerm.next();
        this->leaderIndex = replica;
        this->hasLeader = true;
        this->catchUp(*this->replicas[replica]);
        this->replicas[replica]->hooks.onLeadership(true);
    }

    /// Ends the present leadership.
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

    /// The leader's process dies: nobody hears of what was in flight.
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

    /// Commits up to `limit` proposals together: all are applied before the first is answered.
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
        bool isLeadershipConfirmed() const override { return this->isLeader(); }
        Term term() const override { return this->group.currentTerm; }
        HostId leader() const override { return HostId("h" + std::to_string(this->group.leaderIndex)); }

        void propose(std::string command, Done done) override
        {
            if (!this->isLeader()) {
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
};

} // namespace cornelpond
