#pragma once

// Chooses a backend server for one request: of two random ones the one expected to answer sooner, by
// requests outstanding, decayed latency, failure rate and link. The own data centre goes first; another
// one is used when no server here is usable. Ejected servers get one request at a time as a probe.
//
// Example:
//   Balancer const balancer(BalancerOptions(), random);
//   BackendChoice const choice = balancer.choose(servers.usable(service, now), request, now);

#include "cornelpond/core/base/Span.h"
#include "cornelpond/core/routing/BackendServerTable.h"
#include "cornelpond/ports/Random.h"

#include <functional>
#include <set>
#include <string>

namespace cornelpond {

/// What the choice has to regard.
struct BalanceRequest {
    bool mayProbe = true; ///< False for a request that must not meet a server known to fail.
    TimePoint latestEnd; ///< When the attempt is given up at the latest.
    std::set<BackendServerId> const* tried = nullptr; ///< Avoided while there is another.
};

struct BackendChoice {
    BackendServer const* server = nullptr; ///< Null when none has a free slot.
    bool isProbe = false;
    bool hasUsableServer = false; ///< A server exists that is not ejected; its slots may be taken.
    std::string reason; ///< For the log.
};

struct BalancerOptions {
    DataCentreId dataCentre; ///< This host's own.
    RackId rack; ///< This host's own; empty when unknown.
    /// Slots of the server that this host may use for an attempt that ends by then.
    std::function<uint32_t(BackendServer const& server, TimePoint latestEnd)> slotsFor = [](BackendServer const& server, TimePoint) { return server.lastAnnouncement.slots; };
    /// Round trip to another data centre, added to its servers' latency.
    std::function<Duration(DataCentreId const& dataCentre)> roundTripTo = [](DataCentreId const&) { return Duration::milliseconds(10); };
    HealthLimits health;
    bool hasTwoChoices = true; ///< Off only in measurements: any random server.
};

class Balancer {
public:
    /// `random` must outlive the balancer.
    Balancer(BalancerOptions options, Random& random);

    BackendChoice choose(Span<BackendServer const* const> servers, BalanceRequest const& request, TimePoint now) const;

    /// True when ejecting one more of these servers keeps the ejected share within its cap.
    bool mayEject(Span<BackendServer const* const> servers) const;

private:
    bool hasFreeSlot(BackendServer const& server, BalanceRequest const& request) const;
    double cost(BackendServer const& server, TimePoint now) const;
    BackendChoice chooseAmong(std::vector<BackendServer const*> const& free, TimePoint now) const;

    BalancerOptions options;
    Random& random;
};

} // namespace cornelpond
