#include "cornelpond/core/membership/LeaderTable.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

TEST_CASE("the host with the highest reported term is the leader until it reports otherwise or is removed")
{
    GroupId const group("config");
    LeaderTable leaders;
    CHECK(leaders.leaderOf(group).empty());
    leaders.onReport(HostId("isolated"), { { group, Term(4) } });
    leaders.onReport(HostId("new"), { { group, Term(5) }, { GroupId("tasks/a"), Term(2) } });
    CHECK(leaders.leaderOf(group) == HostId("new"));
    leaders.onReport(HostId("isolated"), { { group, Term(4) } });
    CHECK(leaders.leaderOf(group) == HostId("new"));
    leaders.onReport(HostId("new"), { { GroupId("tasks/a"), Term(2) } });
    CHECK(leaders.leaderOf(group) == HostId("isolated"));
    leaders.removeHost(HostId("isolated"));
    CHECK(leaders.leaderOf(group).empty());
    CHECK(leaders.leaderOf(GroupId("tasks/a")) == HostId("new"));
}
