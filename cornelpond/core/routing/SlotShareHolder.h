#pragma once

// An entry host's shares of backend servers' slots: its floor, which needs no one, and what the owner
// has leased to it. A lease counts from when the request was sent that the grant answers, so that the
// holder stops before the owner may give the slots to another host.
//
// Example:
//   ShareHolder holder(self, hosts, incarnation, clock);
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

/// One backend server's use by this host.
struct SlotShareDemand {
    BackendServerId server;
    uint32_t slots = 0;
    uint32_t inFlight = 0;
    uint32_t wantedSlots = 0; ///< Slots that it could use, the floor included.
};

class SlotShareHolder {
public:
    /// `hosts` is sorted and holds this host. `clock` must outlive the holder.
    SlotShareHolder(HostId self, std::vector<HostId> hosts, uint64_t incarnation, Clock const& clock);

    SlotShareRequest makeRequest(Span<SlotShareDemand const> demands);

    /// Takes in a grant to this process; older and foreign ones change nothing. True when a share changed.
    bool onGrant(SlotShareGrant const& grant);

    /// Slots that this host may use for an attempt that has ended by `latestEnd`.
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
    std::map<uint64_t, TimePoint> requestSendTimes; ///< When each of the latest requests was sent.
    uint64_t lastRequestNumber = 0;
    Term lastGrantTerm;
    uint64_t lastGrantNumber = 0;
};

} // namespace cornelpond
