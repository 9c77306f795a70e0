#include "cornelpond/core/agreement/VoterReplacement.h"

#include <algorithm>

namespace cornelpond {

namespace {

    void erase(std::vector<HostId>& hosts, HostId const& host)
    {
        hosts.erase(std::remove(hosts.begin(), hosts.end(), host), hosts.end());
    }

    /// The decision over one view.
    class Decision {
    public:
        Decision(GroupView const& view, VoterReplacementTimes const& times)
            : view(view)
            , times(times)
        {
        }

        std::optional<Membership> next() const
        {
            if (auto const surplus = this->surplusVoter())
                return this->withoutVoter(*surplus);
            if (this->liveVoters() >= this->view.voterTarget)
                return this->withoutSpareLearner();
            if (auto const ready = this->readyLearner())
                return this->withVoter(*ready);
            if (auto const gone = this->goneLearner())
                return this->withoutLearner(*gone);
            if (this->hasLearnerUnderway())
                return std::nullopt;
            if (auto const* spare = this->bestSpare())
                return this->withLearner(*spare);
            return std::nullopt;
        }

    private:
        HostView const* find(HostId const& host) const
        {
            auto const found = std::find_if(this->view.hosts.begin(), this->view.hosts.end(), [&](auto const& entry) { return entry.host == host; });
            return found == this->view.hosts.end() ? nullptr : &*found;
        }

        bool isLost(HostId const& host) const
        {
            if (host == this->view.self)
                return false;
            HostView const* entry = this->find(host);
            return !entry || entry->silentFor >= this->times.voterLostAfter;
        }

        bool isPresent(HostId const& host) const
        {
            HostView const* entry = this->find(host);
            return host == this->view.self || (entry && entry->silentFor < this->times.presentWithin);
        }

        size_t liveVoters() const
        {
            auto const& voters = this->view.membership.voters;
            return static_cast<size_t>(std::count_if(voters.begin(), voters.end(), [&](auto const& voter) { return !this->isLost(voter); }));
        }

        /// True when a majority of `next` answers, so that the change and what follows can commit.
        bool canCommit(Membership const& next) const
        {
            auto const present = std::count_if(next.voters.begin(), next.voters.end(), [&](auto const& voter) { return this->isPresent(voter); });
            return static_cast<size_t>(present) >= next.quorum();
        }

        std::optional<Membership> checked(Membership next) const
        {
            if (!this->canCommit(next))
                return std::nullopt;
            return next;
        }

        /// A voter beyond the target: a lost one, else the one that joined last.
        std::optional<HostId> surplusVoter() const
        {
            auto const& voters = this->view.membership.voters;
            if (voters.size() <= this->view.voterTarget)
                return std::nullopt;
            for (auto const& voter : voters) {
                if (this->isLost(voter))
                    return voter;
            }
            auto const last = std::find_if(voters.rbegin(), voters.rend(), [&](auto const& voter) { return voter != this->view.self; });
            return last == voters.rend() ? std::nullopt : std::optional<HostId>(*last);
        }

        std::optional<HostId> readyLearner() const
        {
            for (auto const& learner : this->view.membership.learners) {
                HostView const* entry = this->find(learner);
                if (entry && entry->isCaughtUp && this->isPresent(learner))
                    return learner;
            }
            return std::nullopt;
        }

        std::optional<HostId> goneLearner() const
        {
            auto const& learners = this->view.membership.learners;
            auto const gone = std::find_if(learners.begin(), learners.end(), [&](auto const& learner) {
                HostView const* entry = this->find(learner);
                return !entry || entry->silentFor >= this->times.learnerLostAfter;
            });
            return gone == learners.end() ? std::nullopt : std::optional<HostId>(*gone);
        }

        bool hasLearnerUnderway() const { return !this->view.membership.learners.empty(); }

        /// The first present host that is no member; one that may lead goes first where none that may is left.
        HostView const* bestSpare() const
        {
            Membership const& members = this->view.membership;
            HostView const* best = nullptr;
            for (auto const& entry : this->view.hosts) {
                bool const isMember = members.isVoter(entry.host) || members.isLearner(entry.host);
                if (isMember || !this->isPresent(entry.host))
                    continue;
                if (!best || (entry.isEligibleLeader && !best->isEligibleLeader))
                    best = &entry;
            }
            return best;
        }

        std::optional<Membership> withLearner(HostView const& spare) const
        {
            Membership next = this->view.membership;
            next.learners.push_back(spare.host);
            bool const isListed = std::find(next.eligibleLeaders.begin(), next.eligibleLeaders.end(), spare.host) != next.eligibleLeaders.end();
            if (!next.eligibleLeaders.empty() && spare.isEligibleLeader && !isListed)
                next.eligibleLeaders.push_back(spare.host);
            return this->checked(std::move(next));
        }

        std::optional<Membership> withVoter(HostId const& learner) const
        {
            Membership next = this->view.membership;
            erase(next.learners, learner);
            next.voters.push_back(learner);
            return this->checked(std::move(next));
        }

        /// The host stays named among those that may lead, so that the list never empties by losses.
        std::optional<Membership> withoutVoter(HostId const& voter) const
        {
            Membership next = this->view.membership;
            erase(next.voters, voter);
            return this->checked(std::move(next));
        }

        std::optional<Membership> withoutLearner(HostId const& learner) const
        {
            Membership next = this->view.membership;
            erase(next.learners, learner);
            return this->checked(std::move(next));
        }

        /// A learner of a repair that is no longer needed.
        std::optional<Membership> withoutSpareLearner() const
        {
            auto const& learners = this->view.membership.learners;
            if (learners.empty() || this->view.membership.voters.size() < this->view.voterTarget)
                return std::nullopt;
            return this->withoutLearner(learners.back());
        }

        GroupView const& view;
        VoterReplacementTimes const& times;
    };

} // namespace

std::optional<Membership> nextMembership(GroupView const& view, VoterReplacementTimes const& times)
{
    return Decision(view, times).next();
}

} // namespace cornelpond
