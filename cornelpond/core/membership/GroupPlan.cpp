#include "cornelpond/core/membership/GroupPlan.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace cornelpond {

namespace {

    constexpr size_t maxTaskVoters = 3;
    constexpr size_t maxConfigVoters = 5;
    constexpr std::string_view taskGroupPrefix = "tasks/";

    bool precedes(EntryHostInfo const& left, EntryHostInfo const& right)
    {
        return left.dataCentre != right.dataCentre ? left.dataCentre < right.dataCentre : left.host < right.host;
    }

    std::vector<EntryHostInfo> sortedWithDisk(Span<EntryHostInfo const> hosts)
    {
        std::vector<EntryHostInfo> sorted;
        std::copy_if(hosts.begin(), hosts.end(), std::back_inserter(sorted), [](auto const& host) { return host.hasDisk; });
        std::sort(sorted.begin(), sorted.end(), precedes);
        return sorted;
    }

    /// Orders the hosts round-robin over the data centres.
    std::vector<HostId> roundRobin(std::vector<EntryHostInfo> const& sorted)
    {
        std::map<size_t, std::vector<HostId>> rounds;
        std::map<DataCentreId, size_t> hostsTaken;
        for (auto const& host : sorted)
            rounds[hostsTaken[host.dataCentre]++].push_back(host.host);
        std::vector<HostId> order;
        for (auto const& [round, inRound] : rounds)
            order.insert(order.end(), inRound.begin(), inRound.end());
        return order;
    }

    size_t voterCount(size_t available, size_t maxVoters)
    {
        size_t const count = std::min(available, maxVoters);
        return count > 2 && count % 2 == 0 ? count - 1 : count;
    }

} // namespace

bool BootstrapMembers::hasVoter(HostId const& host) const
{
    return std::find(this->voters.begin(), this->voters.end(), host) != this->voters.end();
}

GroupId configGroupId()
{
    return GroupId("config");
}

GroupId taskGroupId(DataCentreId const& dataCentre)
{
    return GroupId(std::string(taskGroupPrefix) + dataCentre.value());
}

DataCentreId dataCentreOf(GroupId const& group)
{
    std::string const& name = group.value();
    bool const isTaskGroup = name.compare(0, taskGroupPrefix.size(), taskGroupPrefix) == 0;
    return DataCentreId(isTaskGroup ? name.substr(taskGroupPrefix.size()) : std::string());
}

BootstrapMembers taskGroupMembers(DataCentreId const& dataCentre, Span<EntryHostInfo const> hosts)
{
    std::vector<EntryHostInfo> order = sortedWithDisk(hosts);
    std::stable_partition(order.begin(), order.end(), [&](auto const& host) { return host.dataCentre == dataCentre; });
    BootstrapMembers members;
    size_t const count = voterCount(order.size(), maxTaskVoters);
    for (size_t i = 0; i < count; i++) {
        members.voters.push_back(order[i].host);
        if (order[i].dataCentre == dataCentre)
            members.eligibleLeaders.push_back(order[i].host);
    }
    return members;
}

BootstrapMembers configGroupMembers(Span<EntryHostInfo const> hosts)
{
    BootstrapMembers members;
    members.voters = roundRobin(sortedWithDisk(hosts));
    members.voters.resize(voterCount(members.voters.size(), maxConfigVoters));
    return members;
}

std::set<DataCentreId> dataCentresOf(Span<EntryHostInfo const> hosts)
{
    std::set<DataCentreId> all;
    for (auto const& host : hosts)
        all.insert(host.dataCentre);
    return all;
}

} // namespace cornelpond
