#include "cornelpond/core/membership/HostReport.h"

#include "cornelpond/core/base/Json.h"
#include "cornelpond/core/base/ResultCode.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

using namespace cornelpond;

TEST_CASE("a decoded host report equals the encoded one")
{
    rc::prop("any report", [](uint64_t incarnation, bool isLeaving, bool hasDisk, bool hasConfiguration, uint64_t version, uint64_t term) {
        HostReport const sent { incarnation, isLeaving, hasDisk, hasConfiguration, ConfigVersion(version), { { GroupId("tasks/north"), Term(term) }, { GroupId("config"), Term(1) } } };
        HostReport const decoded = decodeHostReport(encodeHostReport(sent));
        RC_ASSERT(decoded.incarnation == incarnation);
        RC_ASSERT(decoded.isLeaving == isLeaving);
        RC_ASSERT(decoded.hasDisk == hasDisk);
        RC_ASSERT(decoded.hasConfiguration == hasConfiguration);
        RC_ASSERT(decoded.configVersion == sent.configVersion);
        RC_ASSERT(decoded.ledGroups.size() == 2U);
        RC_ASSERT(decoded.ledGroups[0].group == sent.ledGroups[0].group);
        RC_ASSERT(decoded.ledGroups[0].term == sent.ledGroups[0].term);
    });
}

TEST_CASE("the report of a host that leads no group has at most 12 bytes")
{
    HostReport report;
    report.incarnation = UINT32_MAX;
    report.configVersion = ConfigVersion(100000);
    CHECK(encodeHostReport(report).size() <= 12);
}

TEST_CASE("bytes that are not a host report are refused as malformed")
{
    rc::prop("any bytes", [](std::string const& bytes) {
        try {
            decodeHostReport(bytes);
        } catch (Error const& error) {
            RC_ASSERT(error.code() == ResultCode::MalformedJson);
        }
    });
}

TEST_CASE("a host report with numbers of another type or range is refused, not converted")
{
    nlohmann::json const fields = { 7, 1, 3, "config", 5 };
    for (size_t index : { 0, 1, 2, 4 }) {
        for (auto const& odd : { nlohmann::json(-1), nlohmann::json(1e300), nlohmann::json(1.5), nlohmann::json("x"), nlohmann::json(nullptr) }) {
            nlohmann::json changed = fields;
            changed[index] = odd;
            CHECK_THROWS_AS(decodeHostReport(toCbor(changed)), Error);
        }
    }
    CHECK(decodeHostReport(toCbor(fields)).configVersion == ConfigVersion(3));
}
