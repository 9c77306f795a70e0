#pragma once

// Chooses a backend server for one request by the power of two choices: of two random servers with a free
// slot the one with the lower cost, computed from outstanding requests, decayed latency, failure rate, round
// trip, rack and slow start. Servers of this host's data centre are preferred; others are used when every
// local server is ejected or there is none. An ejected server gets one request at a time as a probe.
//
// Example:
//   Balancer const balancer(BalancerOptions(), random);
//   BackendChoice const choice = balancer.choose(servers.announcedServers(service, now), request, now);

#include "cornelpond/core/base/Span.h"
#include "cornelpond/core/routing/BackendServerTable.h"
#include "cornelpond/ports/Random.h"

#include <functional>
#include <set>
#include <string>

namespace cornelpond {

/// Constraints on the choice for one attempt.
struct BalanceRequest {
    bool mayProbe = true; ///< False for a request that must not risk an ejected server.
    TimePoint latestEnd; ///< The attempt ends by then; its slot is needed until that time.
    std::set<BackendServerId> const* tried = nullptr; ///< Servers to avoid while another one has a free slot; null for none.
};

struct BackendChoice {
    BackendServer const* server = nullptr; ///< Null when none has a free slot.
    bool isProbe = false;
    bool hasUsableServer = false; ///< The choice is a probe or some server is not ejected, even if its slots are taken.
    std::string reason; ///< For the log.
};

struct BalancerOptions {
    DataCentreId dataCentre; ///< This host's own.
    RackId rack; ///< This host's own; empty when unknown.
    /// Slots of the server that this host may use for an attempt that ends by `latestEnd`.
    std::function<uint32_t(BackendServer const& server, TimePoint latestEnd)> slotsFor = [](BackendServer const& server, TimePoint) { return server.lastAnnouncement.slots; };
    /// Round-trip time to another data centre, added to the expected latency of its servers.
    std::function<Duration(DataCentreId const& dataCentre)> roundTripTo = [](DataCentreId const&) { return Duration::milliseconds(10); };
    HealthLimits health;
    bool hasTwoChoices = true; ///< False picks any random server; for measurements only.
};

class Balancer {
public:
    /// `random` must outlive the balancer.
    Balancer(BalancerOptions options, Random& random);

    BackendChoice choose(Span<BackendServer const* const> servers, BalanceRequest const& request, TimePoint now) const;

    /// True when ejecting one more of these servers keeps the ejected fraction within maxEjectedShare.
    bool mayEject(Span<BackendServer const* const> servers) const;

private:
    bool hasFreeSlot(BackendServer const& server, BalanceRequest const& request) const;
    double cost(BackendServer const& server, TimePoint now) const;
    BackendChoice chooseAmong(std::vector<BackendServer const*> const& free, TimePoint now) const;

    BalancerOptions options;
    Random& random;
};

} // namespace cornelpond
