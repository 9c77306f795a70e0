#include "cornelpond/core/relay/RelayChoice.h"

#include "cornelpond/core/base/StableHash.h"

#include <tuple>

namespace cornelpond {

void RelayChoice::update(std::vector<RelayHost> reachableHosts, HostId currentLeader)
{
    this->hosts = std::move(reachableHosts);
    this->leader = std::move(currentLeader);
}

HostId RelayChoice::relayFor(WorkerId const& worker, DataCentreId const& dataCentre) const
{
    using Rank = std::tuple<bool, bool, uint64_t>;
    RelayHost const* best = nullptr;
    Rank bestRank;
    for (auto const& candidate : this->hosts) {
        uint64_t const tieBreaker = stableHash(worker.value(), stableHash(candidate.host.value()));
        Rank const rank { candidate.dataCentre == dataCentre, candidate.host != this->leader, tieBreaker };
        if (best && rank <= bestRank)
            continue;
        best = &candidate;
        bestRank = rank;
    }
    return best ? best->host : HostId();
}

} // namespace cornelpond
