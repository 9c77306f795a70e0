#include "cornelpond/core/membership/LeaderTable.h"

namespace cornelpond {

void LeaderTable::onReport(HostId const& host, std::vector<LedGroup> const& led)
{
    for (auto& [group, hosts] : this->reportedTerms)
        hosts.erase(host);
    for (auto const& entry : led)
        this->reportedTerms[entry.group][host] = entry.term;
}

HostId LeaderTable::leaderOf(GroupId const& group) const
{
    auto const found = this->reportedTerms.find(group);
    HostId best;
    Term bestTerm;
    if (found == this->reportedTerms.end())
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
