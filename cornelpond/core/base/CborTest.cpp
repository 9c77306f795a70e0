#include "cornelpond/core/base/Cbor.h"

#include "cornelpond/core/base/Json.h"

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

} // namespace

TEST_CASE("property: hosts of earlier versions read what CborWriter wrote, and CborReader what they wrote")
{
    rc::prop("the bytes equal those of the JSON library's encoder and decode to the same values", [](uint64_t number, std::string const& text) {
        auto const repeats = *rc::gen::element<size_t>(1, 30, 300, 70000);
        std::string large;
        for (size_t i = 0; i < repeats; i++)
            large += text.substr(0, 4);
        CborWriter out;
        out.array(3);
        out.number(number);
        out.bytes(text);
        out.bytes(large);
        std::string const bytes = out.take();
        RC_ASSERT(bytes == toCbor(nlohmann::json::array({ number, binary(text), binary(large) })));
        CborReader in(bytes);
        RC_ASSERT(in.array() == 3U);
        RC_ASSERT(in.number() == number);
        RC_ASSERT(in.bytes() == text);
        RC_ASSERT(in.bytes() == large);
        in.expectEnd();
    });
}

TEST_CASE("every width of a number is read back")
{
    for (uint64_t const value : { uint64_t { 0 }, uint64_t { 23 }, uint64_t { 24 }, uint64_t { 255 }, uint64_t { 256 }, uint64_t { 65535 }, uint64_t { 65536 }, uint64_t { UINT32_MAX }, uint64_t { UINT32_MAX } + 1, UINT64_MAX }) {
        CborWriter out;
        out.number(value);
        std::string const bytes = out.take();
        CHECK(bytes == toCbor(nlohmann::json(value)));
        CHECK(CborReader(bytes).number() == value);
    }
}

TEST_CASE("a number above its limit, an item of another type and an indefinite length are refused")
{
    CHECK_THROWS_AS(CborReader("\x18\xff").number(254), Error);
    CHECK(CborReader("\x18\xff").number(255) == 255);
    CHECK_THROWS_AS(CborReader("\x61x").bytes(), Error);
    CHECK_THROWS_AS(CborReader("\x5f\x41x\xff").bytes(), Error);
    CHECK_THROWS_AS(CborReader("\x9f").array(), Error);
    CHECK_THROWS_AS(CborReader("").number(), Error);
}

TEST_CASE("property: arbitrary bytes are read or throw MalformedJson, nothing else")
{
    rc::prop("arbitrary bytes are read or throw a typed error", [](std::string const& bytes) {
        CborReader in(bytes);
        try {
            in.array();
            in.number();
            in.bytes();
            in.expectEnd();
        } catch (Error const& error) {
            RC_ASSERT(error.code() == ResultCode::MalformedJson);
        }
    });
}
