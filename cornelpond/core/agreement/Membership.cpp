#include "cornelpond/core/agreement/Membership.h"

#include "cornelpond/core/base/ByteCodec.h"

#include <algorithm>
#include <set>

namespace cornelpond {

namespace {

    bool contains(std::vector<HostId> const& hosts, HostId const& host)
    {
        return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
    }

    void writeHosts(ByteWriter& out, std::vector<HostId> const& hosts)
    {
        out.number(hosts.size());
        for (auto const& host : hosts)
            out.text(host.value());
    }

    std::vector<HostId> readHosts(ByteReader& in)
    {
        std::vector<HostId> hosts;
        uint64_t const count = in.number();
        for (uint64_t i = 0; i < count; i++)
            hosts.emplace_back(std::string(in.text()));
        return hosts;
    }

    enum class Role {
        None,
        Learner,
        Voter,
    };

    Role roleOf(Membership const& membership, HostId const& host)
    {
        if (membership.isVoter(host))
            return Role::Voter;
        return membership.isLearner(host) ? Role::Learner : Role::None;
    }

    std::set<HostId> hostsOf(Membership const& membership)
    {
        std::set<HostId> hosts(membership.voters.begin(), membership.voters.end());
        hosts.insert(membership.learners.begin(), membership.learners.end());
        return hosts;
    }

} // namespace

bool Membership::isVoter(HostId const& host) const
{
    return contains(this->voters, host);
}

bool Membership::isLearner(HostId const& host) const
{
    return contains(this->learners, host);
}

bool Membership::canLead(HostId const& host) const
{
    return this->isVoter(host) && (this->eligibleLeaders.empty() || contains(this->eligibleLeaders, host));
}

bool Membership::operator==(Membership const& other) const
{
    return this->voters == other.voters && this->learners == other.learners && this->eligibleLeaders == other.eligibleLeaders;
}

bool isSingleStep(Membership const& current, Membership const& next)
{
    std::set<HostId> hosts = hostsOf(current);
    hosts.merge(hostsOf(next));
    auto const changed = std::count_if(hosts.begin(), hosts.end(), [&](auto const& host) { return roleOf(current, host) != roleOf(next, host); });
    return changed <= 1;
}

std::string encodeMembership(Membership const& membership)
{
    ByteWriter out;
    writeHosts(out, membership.voters);
    writeHosts(out, membership.learners);
    writeHosts(out, membership.eligibleLeaders);
    return out.take();
}

Membership decodeMembership(std::string_view bytes)
{
    ByteReader in(bytes);
    Membership membership;
    membership.voters = readHosts(in);
    membership.learners = readHosts(in);
    membership.eligibleLeaders = readHosts(in);
    in.expectEnd();
    return membership;
}

} // namespace cornelpond
