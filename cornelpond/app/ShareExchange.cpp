#include "cornelpond/app/ShareExchange.h"

#include <algorithm>

namespace cornelpond {

namespace {

    constexpr uint32_t slotsElsewhere = 1;

} // namespace

ShareExchange::ShareExchange(ShareExchangeOptions givenOptions, Clock const& clock, EventSink& events, BackendServerTable& servers, ShareExchangeHooks hooks)
    : options(std::move(givenOptions))
    , clock(clock)
    , events(events)
    , servers(servers)
    , hooks(std::move(hooks))
    , holder(this->options.self, this->options.hosts, this->options.incarnation, clock)
    , owner(this->options.hosts, ShareTimes(), clock)
{
}

uint32_t ShareExchange::slotsFor(BackendServer const& server, TimePoint latestEnd) const
{
    if (server.last.dataCentre != this->options.dataCentre)
        return std::min(server.last.slots, slotsElsewhere);
    return this->holder.usableSlots(server.last.server, server.last.slots, latestEnd);
}

std::vector<ShareDemand> ShareExchange::demands() const
{
    std::map<ServiceId, size_t> serversOf;
    for (auto const& [id, server] : this->servers.all())
        serversOf[server.last.service]++;
    std::vector<ShareDemand> demands;
    for (auto const& [id, server] : this->servers.all()) {
        if (server.last.dataCentre != this->options.dataCentre)
            continue;
        size_t const count = serversOf.at(server.last.service);
        size_t const waiting = (this->hooks.waiting(server.last.service) + count - 1) / count;
        size_t const wanted = std::min<size_t>(server.last.slots, server.inFlight + waiting);
        demands.push_back({ id, server.last.slots, server.inFlight, this->isGivingBack ? 0 : static_cast<uint32_t>(wanted) });
    }
    return demands;
}

void ShareExchange::onTick()
{
    TimePoint const now = this->clock.now();
    if (this->options.hosts.size() < 2 || now - this->asked < this->options.interval)
        return;
    this->asked = now;
    HostId const to = this->hooks.owner();
    if (to.empty())
        return;
    std::vector<ShareDemand> const wishes = this->demands();
    ShareRequest const request = this->holder.makeRequest({ wishes.data(), wishes.size() });
    if (to != this->options.self) {
        this->hooks.send(to, encodeShareMessage(request));
        return;
    }
    if (auto const grant = this->owner.onRequest(to, request, this->hooks.isLeadershipConfirmed()))
        this->take(*grant);
}

void ShareExchange::onMessage(HostId const& from, std::string_view bytes)
{
    ShareMessage const message = decodeShareMessage(bytes);
    if (auto const* grant = std::get_if<ShareGrant>(&message)) {
        this->take(*grant);
        return;
    }
    auto const grant = this->owner.onRequest(from, std::get<ShareRequest>(message), this->hooks.isLeadershipConfirmed());
    if (grant)
        this->hooks.send(from, encodeShareMessage(*grant));
}

void ShareExchange::take(ShareGrant const& grant)
{
    if (!this->holder.onGrant(grant))
        return;
    uint32_t slots = 0;
    for (auto const& share : grant.servers)
        slots += share.slots;
    this->events.emit(Event(EventId::SharesChanged).with("term", grant.term).with("leasedSlots", slots).with("servers", grant.servers.size()));
    this->hooks.onChanged();
}

} // namespace cornelpond
