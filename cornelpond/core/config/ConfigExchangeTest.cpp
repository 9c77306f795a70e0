#include "cornelpond/core/config/ConfigExchange.h"

#include "testing/fakes/FakeClock.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <memory>

using namespace cornelpond;

namespace {

ConfigRecord record(uint64_t version)
{
    return { ConfigVersion(version), "op" + std::to_string(version), "ana", 5, "{\"v\":" + std::to_string(version) + "}" };
}

/// A host with its exchange; messages wait in the net until the test delivers or loses them.
struct Host {
    Host(FakeClock const& clock, std::string const& name, std::multimap<std::string, std::pair<std::string, std::string>>& net, std::string const& disk = std::string())
        : follower({ [this](ConfigRecord const& inForce) { this->served.push_back(inForce.version); }, [this](std::string const& bytes) { this->disk = bytes; } })
        , exchange(clock, this->follower, [name, &net](HostId const& to, std::string payload) { net.emplace(to.value(), std::make_pair(name, std::move(payload))); })
        , disk(disk)
    {
        if (!disk.empty())
            this->follower.restore(disk);
    }

    std::vector<ConfigVersion> served;
    LocalConfig follower;
    ConfigExchange exchange;
    std::string disk;
};

using Net = std::multimap<std::string, std::pair<std::string, std::string>>;

} // namespace

TEST_CASE("a host that hears of a newer version pulls it, again when the answer is lost")
{
    FakeClock clock;
    Net net;
    Host a(clock, "a", net);
    Host b(clock, "b", net);
    a.follower.accept(record(3));
    b.exchange.onPeerVersion(HostId("a"), ConfigVersion(3), true);
    b.exchange.onPeerVersion(HostId("a"), ConfigVersion(3), true);
    REQUIRE(net.size() == 1);
    net.clear();
    clock.advance(Duration::seconds(1));
    b.exchange.onPeerVersion(HostId("a"), ConfigVersion(3), true);
    REQUIRE(net.size() == 1);
    a.exchange.onMessage(HostId("b"), net.begin()->second.second);
    net.erase(net.begin());
    REQUIRE(net.size() == 1);
    b.exchange.onMessage(HostId("a"), net.begin()->second.second);
    CHECK(b.follower.current().version == ConfigVersion(3));
    CHECK(b.follower.current().document == record(3).document);
}

TEST_CASE("a host without a configuration knows none until someone who is sure tells it")
{
    FakeClock clock;
    Net net;
    Host fresh(clock, "fresh", net);
    fresh.exchange.onPeerVersion(HostId("b"), ConfigVersion(0), false);
    CHECK_FALSE(fresh.follower.isKnown());
    fresh.exchange.onPeerVersion(HostId("b"), ConfigVersion(0), true);
    CHECK(fresh.follower.isKnown());
    Host restarted(clock, "fresh", net, fresh.disk);
    CHECK(restarted.follower.isKnown());
}

TEST_CASE("versions only rise over pushes, pulls, duplicates, reordering and restarts")
{
    rc::prop("any schedule", [] {
        FakeClock clock;
        Net net;
        std::map<std::string, std::unique_ptr<Host>> hosts;
        for (auto const* name : { "a", "b", "c" })
            hosts[name] = std::make_unique<Host>(clock, name, net);
        std::map<std::string, ConfigVersion> seen;
        uint64_t committed = 0;
        std::vector<HostId> const all = { HostId("a"), HostId("b"), HostId("c") };
        for (int step = 0; step < 60; step++) {
            auto const name = *rc::gen::element<std::string>("a", "b", "c");
            auto const other = *rc::gen::element<std::string>("a", "b", "c");
            Host& host = *hosts[name];
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                host.follower.accept(record(++committed));
                host.exchange.push({ all.data(), all.size() });
                break;
            case 1:
                host.exchange.onPeerVersion(HostId(other), hosts[other]->follower.current().version, true);
                break;
            case 2: {
                std::string const disk = host.disk;
                hosts[name] = std::make_unique<Host>(clock, name, net, disk);
                break;
            }
            default:
                if (!net.empty()) {
                    auto at = std::next(net.begin(), *rc::gen::inRange<int>(0, static_cast<int>(net.size())));
                    hosts[at->first]->exchange.onMessage(HostId(at->second.first), at->second.second);
                    if (*rc::gen::arbitrary<bool>())
                        net.erase(at); // Otherwise it stays, to be delivered again.
                }
            }
            clock.advance(Duration::milliseconds(200));
            for (auto const& [id, each] : hosts) {
                RC_ASSERT(each->follower.current().version >= seen[id]);
                RC_ASSERT(each->follower.current().version <= ConfigVersion(committed));
                seen[id] = each->follower.current().version;
            }
        }
    });
}
