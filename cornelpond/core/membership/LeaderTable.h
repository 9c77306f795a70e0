#pragma once

// Which host leads which group, according to the leaders' own reports. For hosts that are not members of a
// group this is the only source.
//
// Example:
//   leaders.onReport(HostId("h1"), report.ledGroups);
//   HostId const leader = leaders.leaderOf(configGroupId());

#include "cornelpond/core/base/Ids.h"
#include "cornelpond/core/membership/HostReport.h"

#include <map>
#include <vector>

namespace cornelpond {

class LeaderTable {
public:
    /// Replaces the groups that a host leads by `led`.
    void onReport(HostId const& host, std::vector<LedGroup> const& led);

    /// Removes the reports of a host that can't be reached.
    void removeHost(HostId const& host) { this->onReport(host, {}); }

    /// The host that reported to lead the group in the highest term; empty if none did.
    HostId leaderOf(GroupId const& group) const;

private:
    std::map<GroupId, std::map<HostId, Term>> reportedTerms;
};

} // namespace cornelpond
