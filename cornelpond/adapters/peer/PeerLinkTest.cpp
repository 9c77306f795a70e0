#include "cornelpond/adapters/peer/PeerLink.h"

#include "testing/fakes/RecordingEventSink.h"
#include "testing/faultproxy/FaultProxy.h"

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace cornelpond;

namespace {

Duration const generousBound = Duration::seconds(30);

PeerLinkTimes fastTimes()
{
    PeerLinkTimes times;
    times.minHeartbeatInterval = Duration::milliseconds(60);
    times.heartbeatIntervalPerPeer = Duration::milliseconds(1);
    times.maxMissedHeartbeats = 5;
    times.handshakeTimeout = Duration::milliseconds(500);
    times.minBackoff = Duration::milliseconds(20);
    times.maxBackoff = Duration::milliseconds(100);
    times.backupDialDelay = Duration::milliseconds(200);
    return times;
}

/// One end of a link over real sockets.
struct End {
    End(EventLoop& loop, std::string const& name, PeerLocalHost changes = PeerLocalHost(), PeerLinkLimits limits = PeerLinkLimits())
        : random(std::hash<std::string>()(name))
        , link(loop, this->random, this->events, self(name, std::move(changes)), fastTimes(), limits, this->hooks())
        , port(this->link.listen({ "127.0.0.1", 0 }))
    {
    }

    static PeerLocalHost self(std::string const& name, PeerLocalHost changes)
    {
        changes.host = HostId(name);
        changes.dataCentre = DataCentreId("dc");
        if (changes.cluster.empty())
            changes.cluster = "cluster";
        if (changes.token.empty())
            changes.token = "token";
        return changes;
    }

    PeerLinkHooks hooks()
    {
        PeerLinkHooks hooks;
        hooks.onMessage = [this](HostId const& from, PeerMessage const& message) { this->received.push_back(from.value() + ":" + message.payload); };
        hooks.heartbeatPayload = [this] { return this->news; };
        hooks.onHeartbeat = [this](HostId const&, std::string const& payload) { this->lastNews = payload; };
        return hooks;
    }

    void knows(std::string const& name, uint16_t port) { this->link.addPeer({ HostId(name), DataCentreId("dc"), { "127.0.0.1", port } }); }

    RecordingEventSink events;
    SeededRandom random;
    std::vector<std::string> received;
    std::string news;
    std::string lastNews;
    PeerLink link;
    uint16_t port;
};

void runUntil(EventLoop& loop, std::function<bool()> const& condition)
{
    TimePoint const bound = loop.now() + generousBound;
    while (!condition()) {
        if (loop.now() > bound)
            throw std::runtime_error("the awaited state never came");
        loop.after(Duration::milliseconds(2), [&loop] { loop.stop(); });
        loop.run();
    }
}

bool isUp(End const& from, char const* to)
{
    return from.link.isReachable(HostId(to));
}

/// Two ends that know each other, the lower one through a proxy.
struct Pair {
    Pair()
        : a(this->loop, "a")
        , b(this->loop, "b")
        , random(1)
        , proxy(this->loop, this->random, { "127.0.0.1", 0 }, { "127.0.0.1", this->b.port })
    {
        this->a.knows("b", this->proxy.port());
        this->b.knows("a", this->a.port);
        this->a.link.start();
        this->b.link.start();
        this->awaitUp();
    }

    void awaitUp()
    {
        runUntil(this->loop, [this] { return isUp(this->a, "b") && isUp(this->b, "a"); });
    }

    EventLoop loop;
    End a;
    End b;
    SeededRandom random;
    FaultProxy proxy;
};

} // namespace

TEST_CASE("messages pass whole and in order in both directions, large ones too")
{
    Pair pair;
    std::string const large(3 * 1024 * 1024, 'x');
    pair.a.link.send(HostId("b"), { PeerChannel::Agreement, "1" });
    pair.a.link.send(HostId("b"), { PeerChannel::Forward, large });
    pair.a.link.send(HostId("b"), { PeerChannel::Agreement, std::string("\0\xff", 2) });
    pair.b.link.send(HostId("a"), { PeerChannel::Agreement, "back" });
    runUntil(pair.loop, [&] { return pair.b.received.size() == 3 && pair.a.received.size() == 1; });
    CHECK(pair.b.received[0] == "a:1");
    CHECK(pair.b.received[1] == "a:" + large);
    CHECK(pair.b.received[2] == "a:" + std::string("\0\xff", 2));
    CHECK(pair.a.received[0] == "b:back");
    CHECK(pair.a.link.counters().connectionsMade == 1);
}

TEST_CASE("heartbeats carry the payload of the moment")
{
    Pair pair;
    pair.a.news = "version 7";
    runUntil(pair.loop, [&] { return pair.b.lastNews == "version 7"; });
    pair.b.news = "now";
    pair.b.link.sendHeartbeats();
    runUntil(pair.loop, [&] { return pair.a.lastNews == "now"; });
}

TEST_CASE("other traffic does not keep the heartbeats back")
{
    Pair pair;
    pair.a.news = "fresh";
    size_t rounds = 0;
    runUntil(pair.loop, [&] {
        pair.a.link.send(HostId("b"), { PeerChannel::Agreement, "busy" });
        rounds++;
        return pair.b.lastNews == "fresh";
    });
    CHECK(rounds > 0);
}

TEST_CASE("an open connection gone silent is noticed at both ends and a new one is dialled")
{
    Pair pair;
    pair.proxy.silenceOpenConnections();
    runUntil(pair.loop, [&] { return pair.a.link.counters().connectionsMade == 2 && pair.b.link.counters().connectionsMade == 2; });
    pair.awaitUp();
    pair.a.link.send(HostId("b"), { PeerChannel::Agreement, "again" });
    runUntil(pair.loop, [&] { return !pair.b.received.empty(); });
    CHECK(pair.b.received.back() == "a:again");
}

TEST_CASE("a cut in one direction takes the link down at both ends until it heals")
{
    bool const toServer = GENERATE(true, false);
    Pair pair;
    LinkFaults cut;
    cut.isCutToServer = toServer;
    cut.isCutToClient = !toServer;
    pair.proxy.setFaults(cut);
    runUntil(pair.loop, [&] { return !isUp(pair.a, "b") && !isUp(pair.b, "a"); });
    pair.a.link.send(HostId("b"), { PeerChannel::Agreement, "lost" });
    CHECK(pair.a.link.counters().messagesDropped == 1);
    pair.proxy.setFaults(LinkFaults());
    pair.awaitUp();
    CHECK(pair.a.events.count(EventId::PeerLost) >= 1);
}

TEST_CASE("delay and jitter below the silence bound do not take the link down")
{
    Pair pair;
    LinkFaults lossy;
    lossy.delay = Duration::milliseconds(5);
    lossy.jitter = Duration::milliseconds(20);
    pair.proxy.setFaults(lossy);
    for (int i = 0; i < 20; i++) {
        pair.a.link.send(HostId("b"), { PeerChannel::Agreement, std::to_string(i) });
        size_t const wanted = pair.b.received.size() + 1;
        runUntil(pair.loop, [&] { return pair.b.received.size() >= wanted; });
    }
    CHECK(pair.a.events.count(EventId::PeerLost) == 0);
    CHECK(pair.b.received.back() == "a:19");
}

TEST_CASE("another cluster, a wrong token and an unknown host are refused")
{
    EventLoop loop;
    PeerLocalHost changes;
    std::string const fault = GENERATE("cluster", "token", "name");
    if (fault == "cluster")
        changes.cluster = "other";
    if (fault == "token")
        changes.token = "wrong";
    End stranger(loop, fault == "name" ? "aa" : "a", changes);
    End b(loop, "b");
    stranger.knows("b", b.port);
    b.knows("a", 1);
    stranger.link.start();
    b.link.start();
    runUntil(loop, [&] { return b.events.count(EventId::PeerRefused) > 0; });
    CHECK_FALSE(isUp(b, "a"));
    CHECK_FALSE(isUp(b, "aa"));
    CHECK_FALSE(isUp(stranger, "b"));
    CHECK(stranger.link.counters().bytesReceived < 300); // The WebSocket handshake's answer alone.
}

TEST_CASE("a new host with the right cluster and token is admitted where the settings allow it")
{
    EventLoop loop;
    PeerLocalHost admitting;
    admitting.admitNewHosts = true;
    End older(loop, "a", admitting);
    End newcomer(loop, "n", admitting);
    newcomer.knows("a", older.port);
    older.link.start();
    newcomer.link.start();
    runUntil(loop, [&] { return isUp(older, "n") && isUp(newcomer, "a"); });
}

TEST_CASE("a host that answers at the address of a lost one is admitted under its own name")
{
    EventLoop loop;
    PeerLocalHost admitting;
    admitting.admitNewHosts = true;
    End a(loop, "a", admitting);
    End newcomer(loop, "n", admitting);
    a.knows("lost", newcomer.port);
    newcomer.knows("a", a.port);
    a.link.start();
    newcomer.link.start();
    runUntil(loop, [&] { return isUp(a, "n") && isUp(newcomer, "a"); });
    CHECK_FALSE(isUp(a, "lost"));
}

TEST_CASE("two hosts that dial each other at once end with one connection")
{
    EventLoop loop;
    PeerLocalHost admitting;
    admitting.admitNewHosts = true;
    End a(loop, "a", admitting);
    End b(loop, "b", admitting);
    a.knows("b", b.port);
    b.knows("a", a.port);
    a.link.start();
    b.link.start();
    runUntil(loop, [&] { return isUp(a, "b") && isUp(b, "a"); });
    a.link.send(HostId("b"), { PeerChannel::Agreement, "x" });
    b.link.send(HostId("a"), { PeerChannel::Agreement, "y" });
    runUntil(loop, [&] { return !a.received.empty() && !b.received.empty(); });
    CHECK(a.events.count(EventId::PeerLost) == 0);
}

TEST_CASE("messages beyond the queue bound are dropped and counted")
{
    EventLoop loop;
    PeerLinkLimits limits;
    limits.maxQueuedBytes = 100000;
    End a(loop, "a", PeerLocalHost(), limits);
    End b(loop, "b");
    a.knows("b", b.port);
    b.knows("a", a.port);
    a.link.start();
    b.link.start();
    runUntil(loop, [&] { return isUp(a, "b"); });
    std::string const payload(1000, 'p');
    for (int i = 0; i < 200; i++)
        a.link.send(HostId("b"), { PeerChannel::Agreement, payload });
    CHECK(a.link.queuedBytes(HostId("b")) <= limits.maxQueuedBytes);
    uint64_t const dropped = a.link.counters().messagesDropped;
    CHECK(dropped > 0);
    runUntil(loop, [&] { return b.received.size() == 200 - dropped; });
}

TEST_CASE("bytes that are no frame end the connection and nothing else")
{
    Pair pair;
    std::unique_ptr<WebSocketConnection> raw;
    bool closed = false;
    WebSocketHooks hooks;
    hooks.onOpen = [&] { raw->send("nonsense"); };
    hooks.onMessage = [](std::string const&) { FAIL("a stranger was answered"); };
    hooks.onClosed = [&](std::string const&) { closed = true; };
    raw = WebSocketConnection::dial(pair.loop, { "127.0.0.1", pair.b.port }, hooks);
    runUntil(pair.loop, [&] { return closed; });
    CHECK(pair.b.events.count(EventId::PeerRefused) == 1);
    CHECK(isUp(pair.a, "b"));
}
