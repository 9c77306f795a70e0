#include "cornelpond/core/routing/Balancer.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

BackendServerAnnouncement makeAnnouncement(std::string const& server, uint32_t slots)
{
    BackendServerAnnouncement announcement;
    announcement.server = BackendServerId(server);
    announcement.service = ServiceId("plan");
    announcement.address = "127.0.0.1";
    announcement.port = 1;
    announcement.slots = slots;
    return announcement;
}

} // namespace

TEST_CASE("a full server is never chosen")
{
    SeededRandom random(1);
    Balancer const balancer(BalancerOptions(), random);
    BackendServerTable table(Duration::seconds(3));
    TimePoint const now;
    auto const choose = [&] { return balancer.choose(table.announcedServers(ServiceId("plan"), now), BalanceRequest(), now); };
    table.announce(makeAnnouncement("a", 1), now);
    table.announce(makeAnnouncement("b", 2), now);
    table.addInFlight(BackendServerId("a"));
    for (int i = 0; i < 50; i++)
        CHECK(choose().server->lastAnnouncement.server == BackendServerId("b"));
    table.addInFlight(BackendServerId("b"));
    table.addInFlight(BackendServerId("b"));
    CHECK_FALSE(choose().server);
    CHECK(choose().hasUsableServer);
}

TEST_CASE("a slow server gets fewer requests, and is tried again once its latency has decayed")
{
    SeededRandom random(1);
    Balancer const balancer(BalancerOptions(), random);
    BackendServerTable table(Duration::seconds(1000));
    TimePoint const start;
    table.announce(makeAnnouncement("slow", 100), start);
    table.announce(makeAnnouncement("fast", 100), start);
    TimePoint now = start + Duration::seconds(10);
    table.find(BackendServerId("slow"))->health.onAnswered(Duration::milliseconds(100), now);
    table.find(BackendServerId("fast"))->health.onAnswered(Duration::milliseconds(10), now);
    auto const choose = [&] { return balancer.choose(table.announcedServers(ServiceId("plan"), now), BalanceRequest(), now).server->lastAnnouncement.server; };
    for (int i = 0; i < 20; i++)
        CHECK(choose() == BackendServerId("fast"));
    now = now + Duration::seconds(60);
    table.find(BackendServerId("fast"))->health.onAnswered(Duration::milliseconds(10), now);
    CHECK(choose() == BackendServerId("slow"));
}

TEST_CASE("a forwarded announcement that is older than a server's leave does not bring the server back")
{
    BackendServerTable table(Duration::seconds(3));
    TimePoint const now = TimePoint() + Duration::seconds(10);
    table.announce(makeAnnouncement("a", 1), now - Duration::seconds(1));
    BackendServerAnnouncement leaving = makeAnnouncement("a", 1);
    leaving.leaving = true;
    table.announce(leaving, now);
    table.announce(makeAnnouncement("a", 1), now + Duration::milliseconds(100), Duration::milliseconds(200));
    CHECK(table.announcedServers(ServiceId("plan"), now + Duration::milliseconds(100)).empty());
    CHECK(table.announce(makeAnnouncement("a", 1), now + Duration::milliseconds(200)));
}

TEST_CASE("a late leave of a server's earlier incarnation does not remove its next one")
{
    BackendServerTable table(Duration::seconds(3));
    TimePoint const now = TimePoint() + Duration::seconds(10);
    BackendServerAnnouncement leaving = makeAnnouncement("a", 1);
    leaving.leaving = true;
    BackendServerAnnouncement next = makeAnnouncement("a", 1);
    next.port++;
    table.announce(next, now);
    table.announce(leaving, now + Duration::milliseconds(10));
    CHECK(table.announcedServers(ServiceId("plan"), now).size() == 1);
    table.announce(makeAnnouncement("b", 1), now);
    leaving.server = BackendServerId("b");
    table.announce(leaving, now + Duration::milliseconds(300), Duration::milliseconds(400)); // Passed on late.
    CHECK(table.announcedServers(ServiceId("plan"), now).size() == 2);
    leaving.server = BackendServerId("b");
    table.announce(leaving, now + Duration::milliseconds(400));
    CHECK(table.announcedServers(ServiceId("plan"), now).size() == 1);
}

TEST_CASE("a server that left or whose announcement expired gets no new requests")
{
    BackendServerTable table(Duration::seconds(3));
    TimePoint const now;
    table.announce(makeAnnouncement("a", 1), now);
    table.announce(makeAnnouncement("b", 1), now);
    BackendServerAnnouncement leaving = makeAnnouncement("a", 1);
    leaving.leaving = true;
    table.announce(leaving, now);
    CHECK(table.announcedServers(ServiceId("plan"), now).size() == 1);
    CHECK(table.announcedServers(ServiceId("plan"), now + Duration::seconds(3)).empty());
    CHECK(table.takeExpired(now + Duration::seconds(3)).size() == 1);
}
