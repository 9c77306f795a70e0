#include "cornelpond/core/config/ConfigTable.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace cornelpond;

namespace {

ConfigChange makeChange(uint64_t expected, std::string const& operation, std::string const& document)
{
    return decodeConfigChange(encodeConfigChange({ ConfigVersion(expected), operation, "ana", 5, document }));
}

} // namespace

TEST_CASE("exactly one of two changes to the same version is accepted")
{
    std::vector<uint64_t> seen;
    ConfigTable table([&](ConfigRecord const& record) { seen.push_back(record.version.value()); });
    CHECK(table.apply(makeChange(0, "a", "{\"x\":1}")).code == ResultCode::Ok);
    ConfigResult const lost = table.apply(makeChange(0, "b", "{\"x\":2}"));
    CHECK(lost.code == ResultCode::VersionConflict);
    CHECK(lost.version == ConfigVersion(1));
    CHECK(seen == std::vector<uint64_t> { 1 });
}

TEST_CASE("a resent change gets the first result, also after other changes")
{
    ConfigTable table([](ConfigRecord const&) {});
    table.apply(makeChange(0, "a", "{\"x\":1}"));
    table.apply(makeChange(1, "b", "{\"x\":2}"));
    ConfigResult const again = table.apply(makeChange(0, "a", "{\"x\":1}"));
    CHECK(again.code == ResultCode::Ok);
    CHECK(again.version == ConfigVersion(1));
    CHECK(table.apply(makeChange(2, "a", "{\"x\":3}")).code == ResultCode::IdConflict);
    CHECK(table.current().version == ConfigVersion(2));
}

TEST_CASE("versions never fall, and a snapshot restores the version and document in force")
{
    rc::prop("random changes", [] {
        ConfigTable table([](ConfigRecord const&) {});
        uint64_t last = 0;
        for (int i = 0; i < 30; i++) {
            std::string const operation = "op" + std::to_string(*rc::gen::inRange(0, 20));
            table.apply(makeChange(*rc::gen::inRange<uint64_t>(0, 10), operation, "{\"n\":" + std::to_string(*rc::gen::inRange(0, 3)) + "}"));
            RC_ASSERT(table.current().version.value() >= last);
            last = table.current().version.value();
        }
        ConfigTable restored([](ConfigRecord const&) {});
        restored.restore(table.takeSnapshot());
        RC_ASSERT(restored.current().version == table.current().version);
        RC_ASSERT(restored.current().document == table.current().document);
    });
}
