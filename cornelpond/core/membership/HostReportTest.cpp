#include "cornelpond/core/membership/HostReport.h"

#include "cornelpond/core/base/ResultCode.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace cornelpond;

TEST_CASE("a host report comes back as it was sent")
{
    rc::prop("any report", [](uint64_t incarnation, bool leaving, bool disk, bool knows, uint64_t version, uint64_t term) {
        HostReport const sent { incarnation, leaving, disk, knows, ConfigVersion(version), { { GroupId("tasks/north"), Term(term) }, { GroupId("config"), Term(1) } } };
        HostReport const got = decodeHostReport(encodeHostReport(sent));
        RC_ASSERT(got.incarnation == incarnation);
        RC_ASSERT(got.isLeaving == leaving);
        RC_ASSERT(got.hasDisk == disk);
        RC_ASSERT(got.hasConfiguration == knows);
        RC_ASSERT(got.configVersion == sent.configVersion);
        RC_ASSERT(got.ledGroups.size() == 2U);
        RC_ASSERT(got.ledGroups[0].group == sent.ledGroups[0].group);
        RC_ASSERT(got.ledGroups[0].term == sent.ledGroups[0].term);
    });
}

TEST_CASE("a host that leads nothing reports in a few bytes")
{
    HostReport report;
    report.incarnation = UINT32_MAX;
    report.configVersion = ConfigVersion(100000);
    CHECK(encodeHostReport(report).size() <= 12);
}

TEST_CASE("bytes that are no host report are refused by number")
{
    rc::prop("any bytes", [](std::string const& bytes) {
        try {
            decodeHostReport(bytes);
        } catch (Error const& error) {
            RC_ASSERT(error.code() == ResultCode::MalformedJson);
        }
    });
}
