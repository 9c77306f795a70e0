#pragma once

// Who leads which group, as learned from the leaders' own reports. Hosts that are no member of a group
// know its leader from here alone.
//
// Example:
//   leaders.learn(HostId("h1"), report.ledGroups);
//   HostId const leader = leaders.leaderOf(configGroupId());

#include "cornelpond/core/base/Ids.h"
#include "cornelpond/core/membership/HostReport.h"

#include <map>
#include <vector>

namespace cornelpond {

class LeaderTable {
public:
    /// Takes a host's whole report: groups that it no longer names, it no longer leads.
    void onReport(HostId const& host, std::vector<LedGroup> const& led);

    /// Forgets what an unreachable host said.
    void removeHost(HostId const& host) { this->onReport(host, {}); }

    /// The host that reported the highest term; empty when none does.
    HostId leaderOf(GroupId const& group) const;

private:
    std::map<GroupId, std::map<HostId, Term>> reportedTerms;
};

} // namespace cornelpond
