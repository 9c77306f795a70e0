#pragma once

// Which control host passes the leader's orders on to a worker.
//
// Load pattern it answers: hundreds of workers, each with its long poll and its orders, are more than the
// leader's processor can serve beside its decisions; and calls between data centres cost more than within.
//
// Example:
//   RelayChoice choice;
//   choice.update(hosts, leader);
//   HostId const relay = choice.relayFor(worker, dataCentre);
//
// Hosts of the worker's data centre come first, the leader last. Among equals the worker's id decides, so
// that hosts with the same view agree and a lost host moves its own workers only.

#include "cornelpond/core/base/Ids.h"

#include <vector>

namespace cornelpond {

/// A control host in reach.
struct RelayHost {
    HostId host;
    DataCentreId dataCentre;
};

class RelayChoice {
public:
    void update(std::vector<RelayHost> inReach, HostId leader);

    /// Empty only when no host is in reach.
    HostId relayFor(WorkerId const& worker, DataCentreId const& dataCentre) const;

private:
    std::vector<RelayHost> hosts;
    HostId leader;
};

} // namespace cornelpond
