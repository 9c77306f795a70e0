#include "cornelpond/adapters/peer/PeerFrame.h"

#include "cornelpond/core/base/Json.h"
#include "cornelpond/core/base/ResultCode.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

#include <vector>

using namespace cornelpond;

namespace {

nlohmann::json binary(std::string const& bytes)
{
    return nlohmann::json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
}

PeerHello someHello()
{
    return { peerProtocolVersion, "cluster", HostId("h1"), DataCentreId("north"), "token", Duration::milliseconds(500), "10.0.0.1", 7003, ownPeerFeatures };
}

} // namespace

TEST_CASE("frames read back as they were sent")
{
    auto const message = std::get<PeerMessage>(decodePeerFrame(encode(PeerMessage { PeerChannel::Orders, std::string(70000, 'x') })));
    CHECK(message.channel == PeerChannel::Orders);
    CHECK(message.payload == std::string(70000, 'x'));
    CHECK(std::get<PeerHeartbeat>(decodePeerFrame(encode(PeerHeartbeat { "report" }))).payload == "report");
    auto const hello = std::get<PeerHello>(decodePeerFrame(encode(someHello())));
    CHECK(hello.host == HostId("h1"));
    CHECK(hello.token == "token");
    CHECK(hello.listenPort == 7003);
}

TEST_CASE("hosts of an earlier version read the frames of this one during a rolling restart")
{
    CHECK(encode(PeerMessage { PeerChannel::Orders, "abc" }) == toCbor(nlohmann::json::array({ 2, 9, binary("abc") })));
    CHECK(encode(PeerHeartbeat { "abc" }) == toCbor(nlohmann::json::array({ 1, binary("abc") })));
}

TEST_CASE("the hello of an earlier version names no features")
{
    auto const fields = nlohmann::json::array({ 0, peerProtocolVersion, "cluster", "h1", "north", binary("token"), 500, "10.0.0.1", 7003 });
    PeerHello const hello = std::get<PeerHello>(decodePeerFrame(toCbor(fields)));
    CHECK(hello.listenPort == 7003);
    CHECK(hello.features == 0);
}

TEST_CASE("a hello whose features are out of range is refused")
{
    for (auto const& features : { nlohmann::json(uint64_t { UINT32_MAX } + 1), nlohmann::json(-1), nlohmann::json(1.5), nlohmann::json("1"), nlohmann::json(nullptr) }) {
        nlohmann::json fields = fromCbor(encode(someHello()));
        fields[9] = features;
        CHECK_THROWS_AS(decodePeerFrame(toCbor(fields)), Error);
    }
}

TEST_CASE("a frame with fields missing, added or out of range is refused")
{
    for (auto const& fields : { nlohmann::json::array({ 2, 9 }), nlohmann::json::array({ 2, 9, binary("abc"), 1 }), nlohmann::json::array({ 2, 256, binary("abc") }),
             nlohmann::json::array({ 2, 9, "abc" }), nlohmann::json::array({ 1, 9, binary("abc") }), nlohmann::json::array({ 3, binary("abc") }), nlohmann::json::array({ 0, 1 }), nlohmann::json::array() })
        CHECK_THROWS_AS(decodePeerFrame(toCbor(fields)), Error);
    CHECK_THROWS_AS(decodePeerFrame(encode(PeerHeartbeat { "abc" }) + "x"), Error);
}

TEST_CASE("property: corrupted frames decode or throw MalformedJson, nothing else")
{
    rc::prop("truncated or changed frames decode or throw a typed error", [](std::string const& payload) {
        std::string bytes = *rc::gen::element(encode(PeerMessage { PeerChannel::Forward, payload }), encode(PeerHeartbeat { payload }), encode(someHello()));
        auto const at = *rc::gen::inRange<size_t>(0, bytes.size());
        if (*rc::gen::arbitrary<bool>())
            bytes.resize(at);
        else
            bytes[at] = *rc::gen::arbitrary<char>();
        try {
            decodePeerFrame(bytes);
        } catch (Error const& error) {
            RC_ASSERT(error.code() == ResultCode::MalformedJson);
        }
    });
}
