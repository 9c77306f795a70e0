#include "cornelpond/core/membership/LeaderTable.h"

namespace cornelpond {

void LeaderTable::learn(HostId const& host, std::vector<LedGroup> const& led)
{
    for (auto& [group, hosts] : this->claims)
        hosts.erase(host);
    for (auto const& entry : led)
        this->claims[entry.group][host] = entry.term;
}

HostId LeaderTable::leaderOf(GroupId const& group) const
{
    auto const found = this->claims.find(group);
    HostId best;
    Term bestTerm;
    if (found == this->claims.end())
        return best;
    for (auto const& [host, term] : found->second) {
        if (best.empty() || term > bestTerm) {
            best = host;
            bestTerm = term;
        }
    }
    return best;
}

} // namespace cornelpond
