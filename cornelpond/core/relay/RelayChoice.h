#pragma once

// Chooses the control host that relays the leader's orders to a worker.
//
// Designed for: hundreds of workers, each with a long poll and orders, which are more than the leader's processor can
// serve besides its decisions; and calls between data centres, which cost more than calls within one.
//
// Example:
//   RelayChoice choice;
//   choice.update(hosts, leader);
//   HostId const relay = choice.relayFor(worker, dataCentre);
//
// Prefers hosts of the worker's data centre, and among those a host other than the leader. In a large fleet a host other
// than the leader comes first, even in another data centre: an order by way of a relay costs the leader a fraction of a
// direct one. Ties are broken by a stable hash of host and worker id (rendezvous hashing), so that hosts with the same
// view agree and the loss of a host moves only the workers that it relayed for.

#include "cornelpond/core/base/Ids.h"

#include <cstddef>
#include <vector>

namespace cornelpond {

/// A control host that this host can reach.
struct RelayHost {
    HostId host;
    DataCentreId dataCentre;
};

class RelayChoice {
public:
    void update(std::vector<RelayHost> reachableHosts, HostId leader, size_t workerCount);

    /// Empty only when no host can be reached.
    HostId relayFor(WorkerId const& worker, DataCentreId const& dataCentre) const;

private:
    std::vector<RelayHost> hosts;
    HostId leader;
    bool isLargeFleet = false;
};

} // namespace cornelpond
