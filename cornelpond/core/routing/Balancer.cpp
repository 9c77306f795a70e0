#include "cornelpond/core/routing/Balancer.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace cornelpond {

namespace {

    constexpr double minLatencySeconds = 0.001; ///< Also assumed for a server that has not answered yet.
    constexpr double otherRackCostFactor = 1.1;
    constexpr double minSuccessRate = 0.05;

    using Servers = std::vector<BackendServer const*>;

    template <typename Predicate>
    Servers filter(Servers const& servers, Predicate const& keep)
    {
        Servers kept;
        std::copy_if(servers.begin(), servers.end(), std::back_inserter(kept), keep);
        return kept;
    }

} // namespace

Balancer::Balancer(BalancerOptions options, Random& random)
    : options(std::move(options))
    , random(random)
{
}

bool Balancer::hasFreeSlot(BackendServer const& server, BalanceRequest const& request) const
{
    return server.inFlight < this->options.slotsFor(server, request.latestEnd);
}

double Balancer::cost(BackendServer const& server, TimePoint now) const
{
    bool const isLocal = server.lastAnnouncement.dataCentre == this->options.dataCentre;
    double const roundTrip = isLocal ? 0 : this->options.roundTripTo(server.lastAnnouncement.dataCentre).toSeconds();
    double const latency = std::max(server.health.latency(now).toSeconds(), minLatencySeconds);
    double const rack = server.lastAnnouncement.rack == this->options.rack ? 1 : otherRackCostFactor;
    double const success = std::max(1 - server.health.failureRate(), minSuccessRate);
    double const outstanding = static_cast<double>(server.inFlight) + 1;
    return (outstanding * latency + roundTrip) * rack / success / server.health.slowStartWeight(this->options.health, now);
}

BackendChoice Balancer::choose(Span<BackendServer const* const> servers, BalanceRequest const& request, TimePoint now) const
{
    Servers const all(servers.begin(), servers.end());
    if (request.mayProbe) {
        for (auto const* server : all) {
            if (server->health.isProbeDue(now) && !server->inFlight && this->hasFreeSlot(*server, request))
                return { server, true, true, "probe of an ejected server" };
        }
    }
    Servers candidates = filter(all, [](auto const* server) { return !server->health.isEjected(); });
    Servers const local = filter(candidates, [&](auto const* server) { return server->lastAnnouncement.dataCentre == this->options.dataCentre; });
    if (!local.empty())
        candidates = local;
    BackendChoice none;
    none.hasUsableServer = !candidates.empty();
    none.reason = "no free slot";
    Servers free = filter(candidates, [&](auto const* server) { return this->hasFreeSlot(*server, request); });
    Servers const untried = filter(free, [&](auto const* server) { return !request.tried || !request.tried->count(server->lastAnnouncement.server); });
    if (!untried.empty())
        free = untried;
    return free.empty() ? none : this->chooseAmong(free, now);
}

BackendChoice Balancer::chooseAmong(Servers const& free, TimePoint now) const
{
    if (free.size() == 1)
        return { free.front(), false, true, "only server with a free slot" };
    size_t const first = this->random.below(free.size());
    if (!this->options.hasTwoChoices)
        return { free[first], false, true, "random" };
    size_t const second = (first + 1 + this->random.below(free.size() - 1)) % free.size();
    bool const isSecondCheaper = this->cost(*free[second], now) < this->cost(*free[first], now);
    return { isSecondCheaper ? free[second] : free[first], false, true, "lower cost of two among " + std::to_string(free.size()) };
}

bool Balancer::mayEject(Span<BackendServer const* const> servers) const
{
    auto const ejected = std::count_if(servers.begin(), servers.end(), [](auto const* server) { return server->health.isEjected(); });
    return static_cast<double>(ejected + 1) <= this->options.health.maxEjectedShare * static_cast<double>(servers.size());
}

} // namespace cornelpond
