#include "cornelpond/core/base/Json.h"
#include "cornelpond/core/base/ResultCode.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

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
