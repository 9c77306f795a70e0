#include "cornelpond/core/relay/RelayChoice.h"

#include "cornelpond/core/base/StableHash.h"

#include <tuple>

namespace cornelpond {

namespace {

    /// Up to this many workers, the leader has the processor time to serve those of its data centre itself, which saves
    /// bytes between data centres.
    constexpr size_t maxWorkersOfSmallFleet = 200;

} // namespace

void RelayChoice::update(std::vector<RelayHost> reachableHosts, HostId currentLeader, size_t workerCount)
{
    this->isLargeFleet = workerCount > maxWorkersOfSmallFleet;
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
        bool const isNear = candidate.dataCentre == dataCentre;
        bool const isFollower = candidate.host != this->leader;
        Rank const rank = this->isLargeFleet ? Rank { isFollower, isNear, tieBreaker } : Rank { isNear, isFollower, tieBreaker };
        if (best && rank <= bestRank)
            continue;
        best = &candidate;
        bestRank = rank;
    }
    return best ? best->host : HostId();
}

} // namespace cornelpond
