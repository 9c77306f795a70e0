#include "cornelpond/core/agreement/VoterReplacement.h"

#include <algorithm>

namespace cornelpond {

namespace {

    void erase(std::vector<HostId>& hosts, HostId const& host)
    {
        hosts.erase(std::remove(hosts.begin(), hosts.end(), host), hosts.end());
    }

    /// Chooses the next membership for one view.
    class MembershipDecision {
    public:
        MembershipDecision(GroupView const& view, VoterReplacementTimes const& times)
            : view(view)
            , times(times)
        {
        }

        std::optional<Membership> next() const
        {
            if (auto const surplus = this->surplusVoter())
                return this->withoutVoter(*surplus);
            if (this->liveVoters() >= this->view.voterTarget)
                return this->withoutUnneededLearner();
            if (auto const ready = this->readyLearner())
                return this->withPromotedLearner(*ready);
            if (auto const lost = this->lostLearner())
                return this->withoutLearner(*lost);
            if (this->hasLearner())
                return std::nullopt;
            if (auto const* spare = this->bestSpare())
                return this->withNewLearner(*spare);
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

        /// True if a majority of the voters of `next` is present, so that this change and later entries can commit.
        bool canCommit(Membership const& next) const
        {
            auto const present = std::count_if(next.voters.begin(), next.voters.end(), [&](auto const& voter) { return this->isPresent(voter); });
            return static_cast<size_t>(present) >= next.quorum();
        }

        std::optional<Membership> ifCommittable(Membership next) const
        {
            if (!this->canCommit(next))
                return std::nullopt;
            return next;
        }

        /// The voter to remove if there are more than the target: a lost one, else the one that joined last,
        /// never this leader.
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

        std::optional<HostId> lostLearner() const
        {
            auto const& learners = this->view.membership.learners;
            auto const lost = std::find_if(learners.begin(), learners.end(), [&](auto const& learner) {
                HostView const* entry = this->find(learner);
                return !entry || entry->silentFor >= this->times.learnerLostAfter;
            });
            return lost == learners.end() ? std::nullopt : std::optional<HostId>(*lost);
        }

        bool hasLearner() const { return !this->view.membership.learners.empty(); }

        /// The first present host that is not a member; hosts that may lead come before others.
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

        std::optional<Membership> withNewLearner(HostView const& spare) const
        {
            Membership next = this->view.membership;
            next.learners.push_back(spare.host);
            bool const isListed = std::find(next.eligibleLeaders.begin(), next.eligibleLeaders.end(), spare.host) != next.eligibleLeaders.end();
            if (!next.eligibleLeaders.empty() && spare.isEligibleLeader && !isListed)
                next.eligibleLeaders.push_back(spare.host);
            return this->ifCommittable(std::move(next));
        }

        std::optional<Membership> withPromotedLearner(HostId const& learner) const
        {
            Membership next = this->view.membership;
            erase(next.learners, learner);
            next.voters.push_back(learner);
            return this->ifCommittable(std::move(next));
        }

        /// Keeps the host in eligibleLeaders, since an empty list would let every voter lead.
        std::optional<Membership> withoutVoter(HostId const& voter) const
        {
            Membership next = this->view.membership;
            erase(next.voters, voter);
            return this->ifCommittable(std::move(next));
        }

        std::optional<Membership> withoutLearner(HostId const& learner) const
        {
            Membership next = this->view.membership;
            erase(next.learners, learner);
            return this->ifCommittable(std::move(next));
        }

        /// Removes a learner that is no longer needed to replace a voter.
        std::optional<Membership> withoutUnneededLearner() const
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
    return MembershipDecision(view, times).next();
}

} // namespace cornelpond
