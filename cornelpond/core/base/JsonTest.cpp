#include "cornelpond/core/base/Json.h"
#include "cornelpond/core/base/ResultCode.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

#include <cmath>

using namespace cornelpond;

namespace {

ResultCode codeOf(std::string const& text, JsonLimits const& limits = JsonLimits())
{
    try {
        parseJson(text, limits);
        return ResultCode::Ok;
    } catch (Error const& error) {
        return error.code();
    }
}

} // namespace

TEST_CASE("parseJson reports each kind of bad input by its own code")
{
    CHECK(codeOf(R"({"a": [1, "x"]})") == ResultCode::Ok);
    CHECK(codeOf("{") == ResultCode::MalformedJson);
    CHECK(codeOf("") == ResultCode::MalformedJson);
    CHECK(codeOf("\"\xff\"") == ResultCode::InvalidUtf8);
    CHECK(codeOf("\"\xed\xa0\x80\"") == ResultCode::InvalidUtf8);
    CHECK(codeOf(std::string(100000, '[')) == ResultCode::JsonTooDeep);
    CHECK(codeOf(R"(["[[[[[[[["])", { 100, 2 }) == ResultCode::Ok);
    CHECK(codeOf("[1,2,3]", { 3, 32 }) == ResultCode::BodyTooLarge);
}

TEST_CASE("a number beyond the range of a double is refused as malformed, not thrown as a foreign exception")
{
    CHECK(codeOf(R"({"capacity": 1e999})") == ResultCode::MalformedJson);
    CHECK(codeOf("[-1e999]") == ResultCode::MalformedJson);
    CHECK(codeOf("1" + std::string(400, '0')) == ResultCode::MalformedJson);
    CHECK(codeOf("18446744073709551616") == ResultCode::Ok);
    CHECK(codeOf("NaN") == ResultCode::MalformedJson);
}

TEST_CASE("parseJson throws no exception other than Error")
{
    rc::prop("any bytes", [](std::string const& text) { codeOf(text); });
}

TEST_CASE("fromCbor inverts toCbor")
{
    nlohmann::json const value = { { "a", { 1, 2, "three" } }, { "b", nullptr } };
    CHECK(fromCbor(toCbor(value)) == value);
    CHECK_THROWS_AS(fromCbor("\xff\xff"), Error);
}

TEST_CASE("CBOR that nests very deep is refused before it exhausts the stack")
{
    for (char const container : { '\x81', '\x9f' }) {
        try {
            fromCbor(std::string(4 * 1024 * 1024, container));
            FAIL("accepted");
        } catch (Error const& error) {
            CHECK(error.code() == ResultCode::MalformedJson);
        }
    }
    nlohmann::json nested = 7;
    for (size_t i = 0; i < JsonLimits().maxDepth; i++)
        nested = i % 2 ? nlohmann::json { { "in", nested } } : nlohmann::json::array({ nested, "x" });
    CHECK(fromCbor(toCbor(nested)) == nested);
    CHECK_THROWS_AS(fromCbor(toCbor(nlohmann::json::array({ nested }))), Error);
}

TEST_CASE("fromCbor throws no exception other than Error, for cut, changed and random bytes")
{
    nlohmann::json const value = { 1, -5, 2.5, "text", nullptr, true, { { "key", { 1, 2 } } }, nlohmann::json::binary({ 1, 2, 3 }), uint64_t(1) << 63 };
    std::string const bytes = toCbor(value);
    CHECK(fromCbor(bytes) == value);
    auto const read = [](std::string const& text) {
        try {
            fromCbor(text);
        } catch (Error const&) {
            return;
        }
    };
    for (size_t length = 0; length < bytes.size(); length++)
        CHECK_THROWS_AS(fromCbor(std::string_view(bytes).substr(0, length)), Error);
    CHECK_THROWS_AS(fromCbor(bytes + "x"), Error);
    rc::prop("random bytes", read);
    rc::prop("one changed byte", [&](uint8_t position, char byte) {
        std::string changed = bytes;
        changed[position % changed.size()] = byte;
        read(changed);
    });
}

TEST_CASE("wholeNumber refuses what a conversion would wrap, truncate or leave undefined")
{
    auto const isRefused = [](nlohmann::json const& value, uint64_t max = UINT64_MAX) {
        try {
            wholeNumber(value, max);
            return false;
        } catch (Error const& error) {
            return error.code() == ResultCode::MalformedJson;
        }
    };
    CHECK(wholeNumber(UINT64_MAX) == UINT64_MAX);
    CHECK(wholeNumber(int64_t(7)) == 7);
    CHECK(wholeNumber(7.0, 7) == 7);
    for (auto const& value : { nlohmann::json(-1), nlohmann::json(1.5), nlohmann::json(-0.5), nlohmann::json(1e300), nlohmann::json(std::nan("")), nlohmann::json("7"), nlohmann::json(true), nlohmann::json(nullptr) })
        CHECK(isRefused(value));
    CHECK(isRefused(65536, UINT16_MAX));
    CHECK_FALSE(isRefused(65535, UINT16_MAX));
}
