#pragma once

// An entry host's shares of the backend servers' slots: its guaranteed slots, which need no grant, and the
// slots that the owner has leased to it. A lease counts from the time at which the request was sent that the
// grant answers, so that the holder stops using the slots before the owner may lease them to another host.
//
// Example:
//   SlotShareHolder holder(self, hosts, incarnation, clock);
//   send(owner, holder.makeRequest(demands));
//   holder.onGrant(grant);
//   if (inFlight < holder.usableSlots(server, slots, latestEnd))
//       sendRequest();
//
// Loop thread only.

#include "cornelpond/core/routing/SlotShareMessages.h"
#include "cornelpond/ports/Clock.h"

#include <map>

namespace cornelpond {

/// This host's use of one backend server.
struct SlotShareDemand {
    BackendServerId server;
    uint32_t slots = 0; ///< Slots of the server that the entry hosts of the data centre share.
    uint32_t inFlight = 0; ///< Requests of this host.
    uint32_t wantedSlots = 0; ///< Slots that this host could use, the guaranteed ones included.
};

class SlotShareHolder {
public:
    /// `hosts` is sorted and holds this host. `clock` must outlive the holder.
    SlotShareHolder(HostId self, std::vector<HostId> hosts, uint64_t incarnation, Clock const& clock);

    /// The next request to the owner, which must be sent now: the lease of its grant counts from this call.
    SlotShareRequest makeRequest(Span<SlotShareDemand const> demands);

    /// Applies a grant to this process; ignores one to another process, one not newer than the latest, and one that
    /// answers a request too old to be remembered. Returns true when the grant changed a share.
    bool onGrant(SlotShareGrant const& grant);

    /// Slots that this host may use for an attempt that ends by `latestEnd`, of the `slots` of the server.
    uint32_t usableSlots(BackendServerId const& server, uint32_t slots, TimePoint latestEnd) const;

private:
    struct Lease {
        uint32_t slots = 0;
        TimePoint end;
    };

    uint32_t leasedSlots(BackendServerId const& server, TimePoint latestEnd) const;

    HostId self;
    std::vector<HostId> hosts;
    uint64_t incarnation;
    Clock const& clock;
    std::map<BackendServerId, Lease> leases;
    std::map<uint64_t, TimePoint> requestSendTimes; ///< Of the latest requests, by request number.
    uint64_t lastRequestNumber = 0;
    Term lastGrantTerm;
    uint64_t lastGrantNumber = 0;
};

} // namespace cornelpond
