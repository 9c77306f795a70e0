#include "cornelpond/app/SlotShareExchange.h"

#include "cornelpond/core/base/StableHash.h"

#include <algorithm>

namespace cornelpond {

namespace {

    constexpr uint32_t remoteHostSlots = 1; ///< Reserved for one host of another data centre.
    constexpr uint32_t minSlotsToReserveOne = 8; ///< Servers with fewer slots reserve none.

} // namespace

SlotShareExchange::SlotShareExchange(SlotShareExchangeOptions givenOptions, Clock const& clock, EventSink& events, BackendServerTable& servers, SlotShareExchangeHooks hooks)
    : options(std::move(givenOptions))
    , clock(clock)
    , events(events)
    , servers(servers)
    , hooks(std::move(hooks))
    , holder(this->options.self, this->selectHosts(this->options.dataCentre, true), this->options.incarnation, clock)
    , owner(this->selectHosts(this->options.dataCentre, true), SlotShareTimes(), clock)
    , hasLocalPeers(this->selectHosts(this->options.dataCentre, true).size() > 1)
{
}

/// The hosts inside the data centre, or with `isInside` false those outside it; sorted.
std::vector<HostId> SlotShareExchange::selectHosts(DataCentreId const& dataCentre, bool isInside) const
{
    std::vector<HostId> found;
    for (auto const& host : this->options.hosts) {
        if ((host.dataCentre == dataCentre) == isInside)
            found.push_back(host.host);
    }
    std::sort(found.begin(), found.end());
    return found;
}

bool SlotShareExchange::hasSlotForRemoteHost(BackendServer const& server) const
{
    return server.lastAnnouncement.slots >= minSlotsToReserveOne && !this->selectHosts(server.lastAnnouncement.dataCentre, false).empty();
}

uint32_t SlotShareExchange::sharedSlots(BackendServer const& server) const
{
    return server.lastAnnouncement.slots - (this->hasSlotForRemoteHost(server) ? remoteHostSlots : 0);
}

uint32_t SlotShareExchange::slotsFor(BackendServer const& server, TimePoint latestEnd) const
{
    if (server.lastAnnouncement.dataCentre == this->options.dataCentre)
        return this->holder.usableSlots(server.lastAnnouncement.server, this->sharedSlots(server), latestEnd);
    if (!this->hasSlotForRemoteHost(server))
        return 0;
    std::vector<HostId> const outside = this->selectHosts(server.lastAnnouncement.dataCentre, false);
    return outside[stableHash(server.lastAnnouncement.server.value()) % outside.size()] == this->options.self ? remoteHostSlots : 0;
}

std::vector<SlotShareDemand> SlotShareExchange::demands() const
{
    std::map<ServiceId, size_t> serverCounts;
    for (auto const& [id, server] : this->servers.all())
        serverCounts[server.lastAnnouncement.service]++;
    std::vector<SlotShareDemand> demands;
    for (auto const& [id, server] : this->servers.all()) {
        if (server.lastAnnouncement.dataCentre != this->options.dataCentre)
            continue;
        size_t const count = serverCounts.at(server.lastAnnouncement.service);
        size_t const waiting = (this->hooks.queuedRequests(server.lastAnnouncement.service) + count - 1) / count;
        uint32_t const slots = this->sharedSlots(server);
        size_t const wanted = std::min<size_t>(slots, server.inFlight + waiting);
        demands.push_back({ id, slots, server.inFlight, this->isReleasing ? 0 : static_cast<uint32_t>(wanted) });
    }
    return demands;
}

void SlotShareExchange::onTick()
{
    TimePoint const now = this->clock.now();
    if (!this->hasLocalPeers || now - this->lastRequestTime < this->options.requestInterval)
        return;
    this->lastRequestTime = now;
    HostId const ownerHost = this->hooks.ownerHost();
    if (ownerHost.empty())
        return;
    std::vector<SlotShareDemand> const slotDemands = this->demands();
    SlotShareRequest const request = this->holder.makeRequest({ slotDemands.data(), slotDemands.size() });
    if (ownerHost != this->options.self) {
        this->hooks.send(ownerHost, encodeSlotShareMessage(request));
        return;
    }
    if (auto const grant = this->owner.onRequest(ownerHost, request, this->hooks.isLeadershipConfirmed()))
        this->applyGrant(*grant);
}

void SlotShareExchange::onMessage(HostId const& from, std::string_view bytes)
{
    SlotShareMessage const message = decodeSlotShareMessage(bytes);
    if (auto const* grant = std::get_if<SlotShareGrant>(&message)) {
        this->applyGrant(*grant);
        return;
    }
    auto const grant = this->owner.onRequest(from, std::get<SlotShareRequest>(message), this->hooks.isLeadershipConfirmed());
    if (grant)
        this->hooks.send(from, encodeSlotShareMessage(*grant));
}

void SlotShareExchange::applyGrant(SlotShareGrant const& grant)
{
    if (!this->holder.onGrant(grant))
        return;
    uint32_t slots = 0;
    for (auto const& share : grant.servers)
        slots += share.slots;
    this->events.emit(Event(EventId::SharesChanged).with("term", grant.term).with("leasedSlots", slots).with("servers", grant.servers.size()));
    this->hooks.onSharesChanged();
}

} // namespace cornelpond
