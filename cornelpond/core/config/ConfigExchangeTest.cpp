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

/// A host with its exchange. Messages stay in the network until the test delivers or drops them.
struct Host {
    Host(FakeClock const& clock, std::string const& name, std::multimap<std::string, std::pair<std::string, std::string>>& network, std::string const& disk = std::string())
        : localConfig({ [this](ConfigRecord const& inForce) { this->served.push_back(inForce.version); }, [this](std::string const& bytes) { this->disk = bytes; } })
        , exchange(clock, this->localConfig, [name, &network](HostId const& to, std::string payload) { network.emplace(to.value(), std::make_pair(name, std::move(payload))); })
        , disk(disk)
    {
        if (!disk.empty())
            this->localConfig.restore(disk);
    }

    std::vector<ConfigVersion> served;
    LocalConfig localConfig;
    ConfigExchange exchange;
    std::string disk;
};

using Network = std::multimap<std::string, std::pair<std::string, std::string>>;

} // namespace

TEST_CASE("a host pulls a newer version that a peer reports, and pulls again when the answer is lost")
{
    FakeClock clock;
    Network network;
    Host a(clock, "a", network);
    Host b(clock, "b", network);
    a.localConfig.accept(record(3));
    b.exchange.onPeerVersion(HostId("a"), ConfigVersion(3), true);
    b.exchange.onPeerVersion(HostId("a"), ConfigVersion(3), true);
    REQUIRE(network.size() == 1);
    network.clear();
    clock.advance(Duration::seconds(1));
    b.exchange.onPeerVersion(HostId("a"), ConfigVersion(3), true);
    REQUIRE(network.size() == 1);
    a.exchange.onMessage(HostId("b"), network.begin()->second.second);
    network.erase(network.begin());
    REQUIRE(network.size() == 1);
    b.exchange.onMessage(HostId("a"), network.begin()->second.second);
    CHECK(b.localConfig.current().version == ConfigVersion(3));
    CHECK(b.localConfig.current().document == record(3).document);
}

TEST_CASE("a host without a configuration is unconfirmed until a confirmed peer reports the same version")
{
    FakeClock clock;
    Network network;
    Host fresh(clock, "fresh", network);
    fresh.exchange.onPeerVersion(HostId("b"), ConfigVersion(0), false);
    CHECK_FALSE(fresh.localConfig.isKnown());
    fresh.exchange.onPeerVersion(HostId("b"), ConfigVersion(0), true);
    CHECK(fresh.localConfig.isKnown());
    Host restarted(clock, "fresh", network, fresh.disk);
    CHECK(restarted.localConfig.isKnown());
}

TEST_CASE("versions never fall under pushes, pulls, duplicates, reordering and restarts")
{
    rc::prop("any schedule", [] {
        FakeClock clock;
        Network network;
        std::map<std::string, std::unique_ptr<Host>> hosts;
        for (auto const* name : { "a", "b", "c" })
            hosts[name] = std::make_unique<Host>(clock, name, network);
        std::map<std::string, ConfigVersion> seen;
        uint64_t committed = 0;
        std::vector<HostId> const all = { HostId("a"), HostId("b"), HostId("c") };
        for (int step = 0; step < 60; step++) {
            auto const name = *rc::gen::element<std::string>("a", "b", "c");
            auto const other = *rc::gen::element<std::string>("a", "b", "c");
            Host& host = *hosts[name];
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                host.localConfig.accept(record(++committed));
                host.exchange.push({ all.data(), all.size() });
                break;
            case 1:
                host.exchange.onPeerVersion(HostId(other), hosts[other]->localConfig.current().version, true);
                break;
            case 2: {
                std::string const disk = host.disk;
                hosts[name] = std::make_unique<Host>(clock, name, network, disk);
                break;
            }
            default:
                if (!network.empty()) {
                    auto at = std::next(network.begin(), *rc::gen::inRange<int>(0, static_cast<int>(network.size())));
                    hosts[at->first]->exchange.onMessage(HostId(at->second.first), at->second.second);
                    if (*rc::gen::arbitrary<bool>())
                        network.erase(at); // Otherwise it stays and may be delivered again.
                }
            }
            clock.advance(Duration::milliseconds(200));
            for (auto const& [id, each] : hosts) {
                RC_ASSERT(each->localConfig.current().version >= seen[id]);
                RC_ASSERT(each->localConfig.current().version <= ConfigVersion(committed));
                seen[id] = each->localConfig.current().version;
            }
        }
    });
}
