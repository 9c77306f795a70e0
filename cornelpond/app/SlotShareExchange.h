#pragma once

// Keeps this entry host's shares of backend servers' slots up to date: requests them from their owner several
// times a second, answers the other hosts' requests while this host is the owner, and tells the balancer how
// many slots of a server it may use.
//
// Example:
//   SlotShareExchange shares(options, clock, events, servers, hooks);
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
    std::vector<SlotShareHost> hosts; ///< All entry hosts of all data centres; the same on every host.
    uint64_t incarnation = 0; ///< Random for each process.
    Duration requestInterval = Duration::milliseconds(200);
};

struct SlotShareExchangeHooks {
    /// The owner of the shares, the leader of the data centre's task group; empty while unknown.
    std::function<HostId()> ownerHost;
    std::function<void(HostId const&, std::string)> send;
    /// True while this host's leadership is confirmed.
    std::function<bool()> isLeadershipConfirmed;
    /// Number of the service's requests that wait on this host for a slot.
    std::function<size_t(ServiceId const&)> queuedRequests;
    /// Called after this host's shares changed, so that waiting requests are tried again.
    std::function<void()> onSharesChanged;
};

class SlotShareExchange {
public:
    /// All references must outlive the exchange.
    SlotShareExchange(SlotShareExchangeOptions options, Clock const& clock, EventSink& events, BackendServerTable& servers, SlotShareExchangeHooks hooks);

    /// Number of the server's slots that this host may use for an attempt that ends by `latestEnd`. One slot
    /// of a server with eight or more is reserved for one host of another data centre, which uses it only
    /// while it has no usable server of its own.
    uint32_t slotsFor(BackendServer const& server, TimePoint latestEnd) const;

    /// To be called when this host starts to lead the data centre's task group, with the term, or stops.
    void onLeadership(std::optional<Term> term) { this->owner.onLeadership(term); }

    /// Handles another host's request or grant. Throws Error(MalformedJson).
    void onMessage(HostId const& from, std::string_view bytes);

    void onTick();

    /// Requests no slots from now on, so that the other hosts get this host's shares.
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
    bool hasLocalPeers; ///< There are other entry hosts in this data centre.
    TimePoint lastRequestTime;
    bool isReleasing = false;
};

} // namespace cornelpond
