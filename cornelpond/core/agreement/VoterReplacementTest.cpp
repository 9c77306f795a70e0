#include "cornelpond/core/agreement/VoterReplacement.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

HostId const a("a"), b("b"), c("c"), d("d"), e("e");
Duration const present = Duration::milliseconds(100);
Duration const lost = Duration::seconds(11);

GroupView makeView(std::vector<HostId> voters, std::vector<HostId> learners, std::vector<HostView> hosts)
{
    return { a, { std::move(voters), std::move(learners), {} }, 3, std::move(hosts) };
}

} // namespace

TEST_CASE("a group with all its voters is not changed")
{
    auto const view = makeView({ a, b, c }, {}, { { a, Duration() }, { b, present }, { c, Duration::seconds(9) }, { d, present } });
    CHECK_FALSE(nextMembership(view, {}));
}

TEST_CASE("a lost voter is replaced in three steps: learner added, learner promoted, lost voter removed")
{
    auto view = makeView({ a, b, c }, {}, { { a, Duration() }, { b, present }, { c, lost }, { d, present } });
    auto next = nextMembership(view, {});
    REQUIRE(next);
    CHECK(next->learners == std::vector<HostId> { d });
    CHECK(next->voters == std::vector<HostId> { a, b, c });

    view.membership = *next;
    CHECK_FALSE(nextMembership(view, {})); // The learner d has not caught up.

    view.hosts.back().isCaughtUp = true;
    next = nextMembership(view, {});
    REQUIRE(next);
    CHECK(next->voters == std::vector<HostId> { a, b, c, d });

    view.membership = *next;
    next = nextMembership(view, {});
    REQUIRE(next);
    CHECK(next->voters == std::vector<HostId> { a, b, d });
    view.membership = *next;
    CHECK_FALSE(nextMembership(view, {}));
}

TEST_CASE("no change is proposed that a majority could not commit")
{
    auto const view = makeView({ a, b, c }, { d }, { { a, Duration() }, { b, lost }, { c, lost }, { d, present, true, true } });
    CHECK_FALSE(nextMembership(view, {}));
}

TEST_CASE("a learner that is lost before it caught up is removed, to make way for another spare")
{
    auto const view = makeView({ a, b, c }, { d }, { { a, Duration() }, { b, present }, { c, lost }, { d, lost }, { e, present } });
    auto const next = nextMembership(view, {});
    REQUIRE(next);
    CHECK(next->learners.empty());
}

TEST_CASE("a voter that returns in time ends its replacement")
{
    auto view = makeView({ a, b, c }, { d }, { { a, Duration() }, { b, present }, { c, present }, { d, present, true } });
    auto next = nextMembership(view, {});
    REQUIRE(next);
    CHECK(next->learners.empty());

    view.membership = { { a, b, c, d }, {}, {} };
    next = nextMembership(view, {});
    REQUIRE(next);
    CHECK(next->voters == std::vector<HostId> { a, b, c });
}

TEST_CASE("a spare that may lead is preferred and listed as an eligible leader")
{
    auto view = makeView({ a, b, c }, {}, { { a, Duration() }, { b, present }, { c, lost }, { d, present, false, false }, { e, present, false, true } });
    view.membership.eligibleLeaders = { a };
    auto const next = nextMembership(view, {});
    REQUIRE(next);
    CHECK(next->learners == std::vector<HostId> { e });
    CHECK(next->eligibleLeaders == std::vector<HostId> { a, e });
}

TEST_CASE("a learner that is silent while it loads its first snapshot is not removed as early as a voter")
{
    VoterReplacementTimes times;
    times.voterLostAfter = Duration::seconds(2);
    times.learnerLostAfter = Duration::seconds(6);
    auto view = makeView({ a, b, c }, { d }, { { a, Duration() }, { b, present }, { c, lost }, { d, Duration::seconds(4) } });
    CHECK_FALSE(nextMembership(view, times));
    view.hosts.back().silentFor = Duration::seconds(6);
    auto const next = nextMembership(view, times);
    REQUIRE(next);
    CHECK(next->learners.empty());
}
