#include "cornelpond/core/selector/Selector.h"

#include "cornelpond/core/base/ResultCode.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace cornelpond;

namespace {

Labels const labels = { { "kind", "plan" }, { "zone", "a" }, { "empty", "" } };

bool matches(std::string const& text)
{
    return Selector::parse(text).matches(labels);
}

} // namespace

TEST_CASE("each operator matches as documented")
{
    CHECK(matches(""));
    CHECK(matches("kind = plan"));
    CHECK_FALSE(matches("kind = watch"));
    CHECK(matches("kind != watch"));
    CHECK(matches("absent != watch"));
    CHECK(matches("zone in (a, b)"));
    CHECK_FALSE(matches("zone in (b)"));
    CHECK(matches("zone notin (b, c)"));
    CHECK(matches("absent notin (b)"));
    CHECK(matches("kind"));
    CHECK_FALSE(matches("absent"));
    CHECK(matches("!absent"));
    CHECK(matches("empty = \"\""));
}

TEST_CASE("not binds closer than and, and binds closer than or")
{
    CHECK(matches("kind = watch and zone = b or zone = a"));
    CHECK_FALSE(matches("kind = watch and (zone = b or zone = a)"));
    CHECK(matches("not kind = watch and zone = a"));
    CHECK(matches("kind = plan, zone = a"));
}

TEST_CASE("a syntax error names its position")
{
    try {
        Selector::parse("kind = plan and (zone in a");
        FAIL("parsed");
    } catch (Error const& error) {
        CHECK(error.code() == ResultCode::BadSelector);
        CHECK(std::string(error.what()).find("position 25") != std::string::npos);
    }
    CHECK_THROWS_AS(Selector::parse("kind ="), Error);
    CHECK_THROWS_AS(Selector::parse("kind plan"), Error);
    CHECK_THROWS_AS(Selector::parse(std::string(10000, '(')), Error);
    CHECK_THROWS_AS(Selector::parse("a = \"open"), Error);
}

TEST_CASE("any text parses or is refused with the code for bad selectors")
{
    rc::prop("no other exception", [](std::string const& text) {
        try {
            Selector::parse(text);
        } catch (Error const& error) {
            RC_ASSERT(error.code() == ResultCode::BadSelector);
        }
    });
}

TEST_CASE("notin is the negation of in")
{
    rc::prop("for all values", [] {
        std::string const value = *rc::gen::container<std::string>(3, rc::gen::inRange('a', 'd'));
        Labels const given = { { "k", value } };
        RC_ASSERT(Selector::parse("k in (abc, bbb)").matches(given) != Selector::parse("k notin (abc, bbb)").matches(given));
    });
}
