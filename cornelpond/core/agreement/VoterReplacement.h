#pragma once

// Decides the next step that keeps a group at its number of live voters: a voter that has been silent for
// long is replaced by a spare, which first learns the log, then gets the vote, and only then the lost
// voter goes.
//
// Example:
//   if (auto const next = nextMembership(view, VoterKeeperTimes()))
//       log.proposeMembership(*next, done);
//
// Pure: same view, same decision. Asked by the leader only, while no change is pending.

#include "cornelpond/core/agreement/Membership.h"
#include "cornelpond/core/base/Duration.h"

#include <optional>

namespace cornelpond {

struct VoterReplacementTimes {
    Duration voterLostAfter = Duration::seconds(10); ///< A voter silent for this long is lost.
    /// A learner silent for this long is given up; its first snapshot may take it several seconds.
    Duration learnerLostAfter = Duration::seconds(10);
    Duration presentWithin = Duration::seconds(2); ///< A host that answered within this time is present.
};

/// One host as the leader sees it.
struct HostView {
    HostId host;
    Duration silentFor;
    bool isCaughtUp = false; ///< Holds all that is committed; only for members.
    bool isEligibleLeader = false; ///< Belongs to those that may lead the group.
};

struct GroupView {
    HostId self; ///< The leader that asks.
    Membership membership;
    size_t voterTarget = 3; ///< How many voters the group is to have.
    std::vector<HostView> hosts; ///< All hosts with a disk: members and spares, in order of preference.
};

/// The membership to propose, or none when the group is as it should be or can't be bettered now.
std::optional<Membership> nextMembership(GroupView const& view, VoterReplacementTimes const& times);

} // namespace cornelpond
