#include "cornelpond/core/routing/SlotShareHolder.h"

namespace cornelpond {

namespace {

    constexpr size_t maxRememberedRequests = 64;

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
    bool const isValid = found != this->leases.end() && latestEnd < found->second.end && this->clock.now() < found->second.end;
    return isValid ? found->second.slots : 0;
}

uint32_t SlotShareHolder::usableSlots(BackendServerId const& server, uint32_t slots, TimePoint latestEnd) const
{
    uint32_t const guaranteed = guaranteedSlots(server, slots, this->self, { this->hosts.data(), this->hosts.size() });
    return std::min(slots, guaranteed + this->leasedSlots(server, latestEnd));
}

SlotShareRequest SlotShareHolder::makeRequest(Span<SlotShareDemand const> demands)
{
    TimePoint const now = this->clock.now();
    SlotShareRequest request { this->incarnation, ++this->lastRequestNumber, this->lastGrantTerm, this->lastGrantNumber, {} };
    for (auto const& demand : demands) {
        uint32_t const guaranteed = guaranteedSlots(demand.server, demand.slots, this->self, { this->hosts.data(), this->hosts.size() });
        uint32_t const busyLeased = demand.inFlight - std::min(demand.inFlight, guaranteed);
        uint32_t const wanted = demand.wantedSlots - std::min(demand.wantedSlots, guaranteed);
        request.servers.push_back({ demand.server, demand.slots, std::max(this->leasedSlots(demand.server, now), busyLeased), wanted });
    }
    this->requestSendTimes.emplace(request.requestNumber, now);
    if (this->requestSendTimes.size() > maxRememberedRequests)
        this->requestSendTimes.erase(this->requestSendTimes.begin());
    return request;
}

bool SlotShareHolder::onGrant(SlotShareGrant const& grant)
{
    bool const isNewer = grant.term > this->lastGrantTerm || (grant.term == this->lastGrantTerm && grant.grantNumber > this->lastGrantNumber);
    auto const sendTime = this->requestSendTimes.find(grant.requestNumber);
    if (grant.incarnation != this->incarnation || !isNewer || sendTime == this->requestSendTimes.end())
        return false;
    this->lastGrantTerm = grant.term;
    this->lastGrantNumber = grant.grantNumber;
    TimePoint const end = sendTime->second + grant.lease;
    bool hasChanged = false;
    std::map<BackendServerId, Lease> newLeases;
    for (auto const& share : grant.servers) {
        newLeases[share.server] = { share.slots, end };
        hasChanged = hasChanged || this->leasedSlots(share.server, this->clock.now()) != share.slots;
    }
    this->leases = std::move(newLeases);
    return hasChanged;
}

} // namespace cornelpond
