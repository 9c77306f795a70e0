#pragma once

// Decides the next membership change that keeps a group at its target number of live voters. A voter that
// has been silent for too long is replaced by a spare host in three steps: the spare joins as a learner,
// becomes a voter once it has caught up, and then the lost voter is removed.
//
// Example:
//   if (auto const next = nextMembership(view, VoterReplacementTimes()))
//       log.proposeMembership(*next, done);
//
// The decision depends on the arguments alone. To be called on the leader only, while no membership change
// is pending.

#include "cornelpond/core/agreement/Membership.h"
#include "cornelpond/core/base/Duration.h"

#include <optional>

namespace cornelpond {

struct VoterReplacementTimes {
    Duration voterLostAfter = Duration::seconds(10); ///< A voter silent for this long counts as lost.
    /// A learner silent for this long is removed. Loading its first snapshot may keep it silent for several seconds.
    Duration learnerLostAfter = Duration::seconds(10);
    Duration presentWithin = Duration::seconds(2); ///< A host that replied within this time counts as present.
};

/// One host as the leader sees it.
struct HostView {
    HostId host;
    Duration silentFor; ///< Time since its last reply; infinite if unknown.
    bool isCaughtUp = false; ///< The member holds the committed entries, see ReplicatedLog::isCaughtUp; false for other hosts.
    bool isEligibleLeader = false; ///< May lead the group once it is a voter.
};

struct GroupView {
    HostId self; ///< The leader, on which this runs.
    Membership membership;
    size_t voterTarget = 3; ///< Number of voters that the group should have.
    std::vector<HostView> hosts; ///< All hosts with a disk, members and spares, in order of preference as a spare.
};

/// The membership to propose; none if no change is needed, or none can be made or committed now.
std::optional<Membership> nextMembership(GroupView const& view, VoterReplacementTimes const& times);

} // namespace cornelpond
