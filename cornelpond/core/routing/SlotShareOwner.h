#pragma once

// Leases the slots of a data centre's backend servers to its entry hosts. The owner is the host that
// leads the data centre's task group; its state is soft. It counts as given whatever a host may still
// believe to hold, so that the sum never exceeds a server's slots through loss, crash, pause, partition
// or change of the owner. A new owner raises no share until every host has taken in a grant of its term,
// or a lease and the drift margin have passed.
//
// Example:
//   ShareOwner owner(hosts, ShareTimes(), clock);
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
    Duration lease = Duration::seconds(15); ///< An attempt that may take longer uses floor slots only.
    Duration driftMargin = Duration::milliseconds(500);
    Duration silentAfter = Duration::seconds(1); ///< A host that asks no more gets nothing new kept for it.
};

class SlotShareOwner {
public:
    /// `hosts` is sorted, all entry hosts of the data centre. `clock` must outlive the owner.
    SlotShareOwner(std::vector<HostId> hosts, SlotShareTimes times, Clock const& clock);

    /// Starts a new leadership, or ends it with nullopt.
    void onLeadership(std::optional<Term> term);

    /// The answer to a holder; none while this host does not lead, or its leadership is not confirmed.
    std::optional<SlotShareGrant> onRequest(HostId const& from, SlotShareRequest const& request, bool isLeadershipConfirmed);

    /// True once shares may be raised.
    bool canRaiseShares() const;

private:
    /// Slots that a process may believe to hold: by one grant, until then.
    struct OutstandingGrant {
        uint64_t grantNumber = 0;
        uint32_t slots = 0;
        TimePoint expiresAt;
    };

    struct Process {
        std::map<BackendServerId, std::vector<OutstandingGrant>> outstandingGrants;
    };

    struct Holder {
        uint64_t incarnation = 0;
        TimePoint lastRequestAt;
        bool hasAdoptedTerm = false; ///< Has taken in a grant of this term.
        std::map<BackendServerId, uint32_t> wantedSlots;
        std::map<uint64_t, Process> processes; ///< By incarnation; a dead one's leases still count.
    };

    void recordReport(Holder& holder, SlotShareRequest const& request, bool wasSettled);
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
