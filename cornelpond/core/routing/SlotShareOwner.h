#pragma once

// Leases the slots of a data centre's backend servers to its entry hosts. The owner is the host that
// leads the data centre's task group; its state is soft and rebuilt from the holders' requests. Every slot
// that a host may still use under a lease counts as outstanding, so that the sum of the shares never exceeds
// a server's slots despite lost messages, crashes, pauses, partitions or a change of the owner. A new owner
// raises no share until every host has applied a grant of its term, or a lease and the drift margin have
// passed since it took the lead.
//
// Example:
//   SlotShareOwner owner(hosts, SlotShareTimes(), clock);
//   owner.onLeadership(term);
//   if (auto const grant = owner.onRequest(from, request, log.isLeadershipConfirmed()))
//       send(from, *grant);
//
// Loop thread only.

#include "cornelpond/core/routing/SlotShareMessages.h"
#include "cornelpond/ports/Clock.h"

#include <map>
#include <optional>
#include <set>

namespace cornelpond {

struct SlotShareTimes {
    Duration lease = Duration::seconds(15); ///< An attempt that may take longer uses guaranteed slots only.
    Duration driftMargin = Duration::milliseconds(500);
    Duration silentAfter = Duration::seconds(1); ///< A host whose last request is older gets no part when slots are divided.
};

class SlotShareOwner {
public:
    /// `hosts` is sorted, all entry hosts of the data centre. `clock` must outlive the owner.
    SlotShareOwner(std::vector<HostId> hosts, SlotShareTimes times, Clock const& clock);

    /// Starts a new leadership, or ends it with nullopt.
    void onLeadership(std::optional<Term> term);

    /// The grant that answers a holder's request. Returns nullopt while this host does not lead, while its
    /// leadership is not confirmed, or when `from` is not an entry host of the data centre.
    std::optional<SlotShareGrant> onRequest(HostId const& from, SlotShareRequest const& request, bool isLeadershipConfirmed);

    /// True once every host has applied a grant of this term, or a lease and the drift margin have passed.
    bool canRaiseShares() const;

private:
    /// Slots that a process may use under one grant until it expires.
    struct OutstandingGrant {
        uint64_t grantNumber = 0;
        uint32_t slots = 0;
        TimePoint expiresAt;
    };

    /// One process of an entry host, identified by its incarnation.
    struct Process {
        std::map<BackendServerId, std::vector<OutstandingGrant>> outstandingGrants;
    };

    struct Holder {
        uint64_t incarnation = 0; ///< Of the latest request.
        TimePoint lastRequestAt;
        bool hasAdoptedTerm = false; ///< Has applied a grant of this term.
        std::map<BackendServerId, uint32_t> wantedSlots;
        std::map<uint64_t, Process> processes; ///< By incarnation; the leases of an ended process count until they expire.
    };

    void recordReport(Holder& holder, SlotShareRequest const& request, bool couldRaiseShares);
    uint32_t outstandingSlots(Holder const& holder, uint64_t incarnation, BackendServerId const& server) const;
    uint32_t outstandingSlots(BackendServerId const& server) const;
    uint32_t leasableSlots(BackendServerId const& server, uint32_t slots) const;
    uint32_t targetSlots(HostId const& host, SlotShareReport const& report) const;
    uint32_t slotsToGrant(HostId const& host, Holder const& holder, SlotShareReport const& report) const;
    void expire();

    std::vector<HostId> hosts;
    SlotShareTimes times;
    Clock const& clock;
    std::optional<Term> term;
    TimePoint leadingSince;
    uint64_t lastGrantNumber = 0;
    std::map<HostId, Holder> holders;
};

} // namespace cornelpond
