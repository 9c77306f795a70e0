#include "cornelpond/core/routing/SlotShareHolder.h"

namespace cornelpond {

namespace {

    constexpr size_t keptRequests = 64;

} // namespace

SlotShareHolder::SlotShareHolder(HostId self, std::vector<HostId> hosts, uint64_t incarnation, Clock const& clock)
    : self(std::move(self))
    , hosts(std::move(hosts))
    , incarnation(incarnation)
    , clock(clock)
{
}

uint32_t SlotShareHolder::leasedSlots(BackendServerId const& server, TimePoint latestEnd) const
{
    auto const found = this->leases.find(server);
    bool const holds = found != this->leases.end() && latestEnd < found->second.end && this->clock.now() < found->second.end;
    return holds ? found->second.slots : 0;
}

uint32_t SlotShareHolder::usableSlots(BackendServerId const& server, uint32_t slots, TimePoint latestEnd) const
{
    uint32_t const floor = guaranteedSlots(server, slots, this->self, { this->hosts.data(), this->hosts.size() });
    return std::min(slots, floor + this->leasedSlots(server, latestEnd));
}

SlotShareRequest SlotShareHolder::makeRequest(Span<SlotShareDemand const> demands)
{
    TimePoint const now = this->clock.now();
    SlotShareRequest request { this->incarnation, ++this->lastRequestNumber, this->lastGrantTerm, this->lastGrantNumber, {} };
    for (auto const& demand : demands) {
        uint32_t const floor = guaranteedSlots(demand.server, demand.slots, this->self, { this->hosts.data(), this->hosts.size() });
        uint32_t const busy = demand.inFlight - std::min(demand.inFlight, floor);
        uint32_t const wanted = demand.wantedSlots - std::min(demand.wantedSlots, floor);
        request.servers.push_back({ demand.server, demand.slots, std::max(this->leasedSlots(demand.server, now), busy), wanted });
    }
    this->requestSendTimes.emplace(request.requestNumber, now);
    if (this->requestSendTimes.size() > keptRequests)
        this->requestSendTimes.erase(this->requestSendTimes.begin());
    return request;
}

bool SlotShareHolder::onGrant(SlotShareGrant const& grant)
{
    bool const isNewer = grant.term > this->lastGrantTerm || (grant.term == this->lastGrantTerm && grant.grantNumber > this->lastGrantNumber);
    auto const asked = this->requestSendTimes.find(grant.requestNumber);
    if (grant.incarnation != this->incarnation || !isNewer || asked == this->requestSendTimes.end())
        return false;
    this->lastGrantTerm = grant.term;
    this->lastGrantNumber = grant.grantNumber;
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
