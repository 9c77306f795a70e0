#pragma once

// Keeps this entry host's shares of backend servers' slots up to date: asks the owner several times a
// second, answers the others while this host owns them, and tells the balancer what may be used.
//
// Example:
//   ShareExchange shares(options, clock, events, servers, hooks);
//   balancer.slotsFor = [&](BackendServer const& server, TimePoint latestEnd) { return shares.slotsFor(server, latestEnd); };
//   shares.onTick();
//
// Loop thread only.

#include "cornelpond/core/routing/BackendServerTable.h"
#include "cornelpond/core/routing/SlotShareHolder.h"
#include "cornelpond/core/routing/SlotShareOwner.h"
#include "cornelpond/ports/EventSink.h"

#include <functional>

namespace cornelpond {

struct SlotShareHost {
    HostId host;
    DataCentreId dataCentre;
};

struct SlotShareExchangeOptions {
    HostId self;
    DataCentreId dataCentre;
    std::vector<SlotShareHost> hosts; ///< All entry hosts of all data centres, alike on every host.
    uint64_t incarnation = 0; ///< Random for each process.
    Duration requestInterval = Duration::milliseconds(200);
};

struct SlotShareExchangeHooks {
    /// The owner as far as known; empty when unknown.
    std::function<HostId()> ownerHost;
    std::function<void(HostId const&, std::string)> send;
    /// True while this host's leadership is confirmed.
    std::function<bool()> isLeadershipConfirmed;
    /// Requests of the service that wait here for a slot.
    std::function<size_t(ServiceId const&)> queuedRequests;
    /// Shares have changed; waiting requests may go.
    std::function<void()> onSharesChanged;
};

class SlotShareExchange {
public:
    /// All references must outlive the exchange.
    SlotShareExchange(SlotShareExchangeOptions options, Clock const& clock, EventSink& events, BackendServerTable& servers, SlotShareExchangeHooks hooks);

    /// Slots of the server for an attempt that has ended by then. One slot of a server with eight or more
    /// is kept for one host of another data centre, which has no usable server of its own.
    uint32_t slotsFor(BackendServer const& server, TimePoint latestEnd) const;

    /// This host began or ceased to lead the data centre's task group.
    void onLeadership(std::optional<Term> term) { this->owner.onLeadership(term); }

    /// Throws Error(MalformedJson).
    void onMessage(HostId const& from, std::string_view bytes);

    void onTick();

    /// From now on wants nothing, so that the others get this host's slots.
    void releaseShares() { this->isReleasing = true; }

private:
    std::vector<HostId> selectHosts(DataCentreId const& dataCentre, bool isInside) const;
    uint32_t sharedSlots(BackendServer const& server) const;
    bool hasSlotForRemoteHost(BackendServer const& server) const;
    std::vector<SlotShareDemand> demands() const;
    void applyGrant(SlotShareGrant const& grant);

    SlotShareExchangeOptions options;
    Clock const& clock;
    EventSink& events;
    BackendServerTable& servers;
    SlotShareExchangeHooks hooks;
    SlotShareHolder holder;
    SlotShareOwner owner;
    bool hasLocalPeers; ///< Other entry hosts in this data centre.
    TimePoint lastRequestTime;
    bool isReleasing = false;
};

} // namespace cornelpond
