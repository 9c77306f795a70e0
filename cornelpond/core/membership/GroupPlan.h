#pragma once

// Which hosts bootstrap which group. Every host computes the same answer from the same hosts, in
// whatever order they are listed.
//
// Example:
//   GroupMembers const members = taskGroupMembers(DataCentreId("north"), hosts);
//   if (members.has(self))
//       openGroup(taskGroupId(DataCentreId("north")), members);

#include "cornelpond/core/base/Ids.h"
#include "cornelpond/core/base/Span.h"

#include <set>
#include <vector>

namespace cornelpond {

/// What the plan needs to know of an entry host.
struct EntryHostInfo {
    HostId host;
    DataCentreId dataCentre;
    bool hasDisk = false;
};

/// The first voters of a group.
struct BootstrapMembers {
    std::vector<HostId> voters;
    std::vector<HostId> eligibleLeaders; ///< Empty: every voter.

    bool hasVoter(HostId const& host) const;
};

GroupId configGroupId();
GroupId taskGroupId(DataCentreId const& dataCentre);

/// The data centre whose tasks the group keeps; empty for another kind of group.
DataCentreId dataCentreOf(GroupId const& group);

/// Up to three hosts with a disk: the data centre's own first, completed from the others. Only own hosts
/// may lead.
BootstrapMembers taskGroupMembers(DataCentreId const& dataCentre, Span<EntryHostInfo const> hosts);

/// Up to five hosts with a disk, spread evenly over the data centres; an odd number, but for two.
BootstrapMembers configGroupMembers(Span<EntryHostInfo const> hosts);

/// All data centres that have a host.
std::set<DataCentreId> dataCentresOf(Span<EntryHostInfo const> hosts);

} // namespace cornelpond
