#pragma once

// Which hosts are the first voters of which group. Every host computes the same result from the same set
// of hosts, in whatever order they are listed.
//
// Example:
//   BootstrapMembers const members = taskGroupMembers(DataCentreId("north"), hosts);
//   if (members.hasVoter(self))
//       openGroup(taskGroupId(DataCentreId("north")), members);

#include "cornelpond/core/base/Ids.h"
#include "cornelpond/core/base/Span.h"

#include <set>
#include <vector>

namespace cornelpond {

/// The properties of an entry host that decide which groups it votes in.
struct EntryHostInfo {
    HostId host;
    DataCentreId dataCentre;
    bool hasDisk = false;
};

/// The first voters of a group.
struct BootstrapMembers {
    std::vector<HostId> voters;
    std::vector<HostId> eligibleLeaders; ///< Empty: every voter may lead.

    bool hasVoter(HostId const& host) const;
};

GroupId configGroupId();
GroupId taskGroupId(DataCentreId const& dataCentre);

/// The data centre of a task group; empty for any other group.
DataCentreId dataCentreOf(GroupId const& group);

/// Up to three hosts with a disk: first those of the data centre, then those of others. Only hosts of the
/// data centre may lead.
BootstrapMembers taskGroupMembers(DataCentreId const& dataCentre, Span<EntryHostInfo const> hosts);

/// Up to five hosts with a disk, spread evenly over the data centres. The number is odd if it is above
/// two.
BootstrapMembers configGroupMembers(Span<EntryHostInfo const> hosts);

/// The data centres of the hosts, each once.
std::set<DataCentreId> dataCentresOf(Span<EntryHostInfo const> hosts);

} // namespace cornelpond
