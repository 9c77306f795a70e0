#include "cornelpond/core/membership/GroupPlan.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace cornelpond;

namespace {

EntryHostInfo host(std::string const& name, std::string const& dataCentre, bool hasDisk)
{
    return { HostId(name), DataCentreId(dataCentre), hasDisk };
}

std::vector<HostId> ids(std::vector<std::string> const& names)
{
    std::vector<HostId> result;
    result.reserve(names.size());
    for (auto const& name : names)
        result.emplace_back(name);
    return result;
}

Span<EntryHostInfo const> span(std::vector<EntryHostInfo> const& hosts)
{
    return { hosts.data(), hosts.size() };
}

std::vector<EntryHostInfo> const eightHosts = {
    host("a1", "a", true),
    host("a2", "a", true),
    host("a3", "a", true),
    host("b1", "b", true),
    host("b2", "b", false),
    host("b3", "b", false),
    host("c1", "c", true),
    host("c2", "c", false),
};

} // namespace

TEST_CASE("a data centre with three disks provides all voters of its task group")
{
    BootstrapMembers const members = taskGroupMembers(DataCentreId("a"), span(eightHosts));
    CHECK(members.voters == ids({ "a1", "a2", "a3" }));
    CHECK(members.eligibleLeaders == members.voters);
}

TEST_CASE("a data centre with one disk takes voters of other data centres, which may not lead")
{
    BootstrapMembers const members = taskGroupMembers(DataCentreId("c"), span(eightHosts));
    CHECK(members.voters == ids({ "c1", "a1", "a2" }));
    CHECK(members.eligibleLeaders == ids({ "c1" }));
}

TEST_CASE("the voters of the configuration group are spread over the data centres")
{
    CHECK(configGroupMembers(span(eightHosts)).voters == ids({ "a1", "b1", "c1", "a2", "a3" }));
    CHECK(configGroupMembers(span(eightHosts)).eligibleLeaders.empty());
}

TEST_CASE("the data centre of a task group follows from its id")
{
    CHECK(dataCentreOf(taskGroupId(DataCentreId("x/y"))) == DataCentreId("x/y"));
    CHECK(dataCentreOf(configGroupId()).empty());
}

TEST_CASE("the plan does not depend on the order of the hosts")
{
    rc::prop("any hosts", [] {
        auto const count = *rc::gen::inRange<size_t>(1, 20);
        std::vector<EntryHostInfo> hosts;
        for (size_t i = 0; i < count; i++)
            hosts.push_back(host("h" + std::to_string(i), std::string(1, *rc::gen::elementOf(std::string("abcd"))), *rc::gen::arbitrary<bool>()));
        std::vector<EntryHostInfo> shuffled = hosts;
        for (size_t i = shuffled.size(); i > 1; i--)
            std::swap(shuffled[i - 1], shuffled[*rc::gen::inRange<size_t>(0, i)]);
        size_t const diskCount = static_cast<size_t>(std::count_if(hosts.begin(), hosts.end(), [](auto const& entry) { return entry.hasDisk; }));
        BootstrapMembers const config = configGroupMembers(span(hosts));
        RC_ASSERT(config.voters == configGroupMembers(span(shuffled)).voters);
        RC_ASSERT(config.voters.empty() == (diskCount == 0));
        RC_ASSERT(config.voters.size() <= 2 || config.voters.size() % 2 == 1);
        for (auto const& dataCentre : dataCentresOf(span(hosts))) {
            BootstrapMembers const tasks = taskGroupMembers(dataCentre, span(hosts));
            RC_ASSERT(tasks.voters == taskGroupMembers(dataCentre, span(shuffled)).voters);
            for (auto const& leader : tasks.eligibleLeaders)
                RC_ASSERT(tasks.hasVoter(leader));
        }
    });
}
