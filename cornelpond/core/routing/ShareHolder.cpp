#include "cornelpond/core/routing/ShareHolder.h"

namespace cornelpond {

namespace {

    constexpr size_t keptRequests = 64;

} // namespace

ShareHolder::ShareHolder(HostId self, std::vector<HostId> hosts, uint64_t incarnation, Clock const& clock)
    : self(std::move(self))
    , hosts(std::move(hosts))
    , incarnation(incarnation)
    , clock(clock)
{
}

uint32_t ShareHolder::leasedSlots(BackendServerId const& server, TimePoint latestEnd) const
{
    auto const found = this->leases.find(server);
    bool const holds = found != this->leases.end() && latestEnd < found->second.end && this->clock.now() < found->second.end;
    return holds ? found->second.slots : 0;
}

uint32_t ShareHolder::usableSlots(BackendServerId const& server, uint32_t slots, TimePoint latestEnd) const
{
    uint32_t const floor = floorOf(server, slots, this->self, { this->hosts.data(), this->hosts.size() });
    return std::min(slots, floor + this->leasedSlots(server, latestEnd));
}

ShareRequest ShareHolder::makeRequest(Span<ShareDemand const> demands)
{
    TimePoint const now = this->clock.now();
    ShareRequest request { this->incarnation, ++this->lastRequest, this->seenTerm, this->seenGrant, {} };
    for (auto const& demand : demands) {
        uint32_t const floor = floorOf(demand.server, demand.slots, this->self, { this->hosts.data(), this->hosts.size() });
        uint32_t const busy = demand.inFlight - std::min(demand.inFlight, floor);
        uint32_t const wanted = demand.wanted - std::min(demand.wanted, floor);
        request.servers.push_back({ demand.server, demand.slots, std::max(this->leasedSlots(demand.server, now), busy), wanted });
    }
    this->sent.emplace(request.number, now);
    if (this->sent.size() > keptRequests)
        this->sent.erase(this->sent.begin());
    return request;
}

bool ShareHolder::onGrant(ShareGrant const& grant)
{
    bool const isNewer = grant.term > this->seenTerm || (grant.term == this->seenTerm && grant.number > this->seenGrant);
    auto const asked = this->sent.find(grant.request);
    if (grant.incarnation != this->incarnation || !isNewer || asked == this->sent.end())
        return false;
    this->seenTerm = grant.term;
    this->seenGrant = grant.number;
    TimePoint const end = asked->second + grant.lease;
    bool changed = false;
    std::map<BackendServerId, Lease> next;
    for (auto const& share : grant.servers) {
        next[share.server] = { share.slots, end };
        changed = changed || this->leasedSlots(share.server, this->clock.now()) != share.slots;
    }
    this->leases = std::move(next);
    return changed;
}

} // namespace cornelpond
