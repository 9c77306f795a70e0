// Configuration changes by operators who race and resend while hosts are killed and restarted.

#include "testing/integration/scenarios/ScenarioFixture.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

struct ChangeResult {
    ResultCode code = ResultCode::Ok;
    uint64_t version = 0;
};

nlohmann::json documentWith(int64_t timeoutMs)
{
    return { { "services", { { "plan", { { "timeoutMs", timeoutMs } } } } } };
}

ChangeResult change(ScenarioFixture& fixture, std::string const& host, std::string const& operation, uint64_t expected, int64_t timeoutMs)
{
    try {
        nlohmann::json const answer = fixture.cluster.callOperatorApi(host, "PUT", "/v1/config",
            { { "expectedVersion", expected }, { "operationId", operation }, { "author", operation }, { "document", documentWith(timeoutMs) } });
        return { ResultCode::Ok, answer["version"].get<uint64_t>() };
    } catch (Error const& error) {
        return { error.code(), 0 };
    }
}

/// Resends with the same operation id until the change is accepted or refused with VersionConflict.
ChangeResult changeUntilDecided(ScenarioFixture& fixture, std::string const& host, std::string const& operation, uint64_t expected, int64_t timeoutMs)
{
    ChangeResult result;
    waitUntil("the change to be decided", [&] {
        result = change(fixture, host, operation, expected, timeoutMs);
        return result.code == ResultCode::Ok || result.code == ResultCode::VersionConflict;
    });
    return result;
}

} // namespace

TEST_CASE("one-of-two-racing-operators-wins-each-version-through-host-kills")
{
    ScenarioFixture fixture(oneHostOptions());
    std::map<uint64_t, int64_t> accepted;
    for (uint64_t version = 0; version < 25; version++) {
        std::string const number = std::to_string(version);
        int64_t const first = fixture.randomBetween(100, 1000);
        int64_t const second = first + 1000;
        // The first response may be lost when the host is killed; both operators resend until the outcome is known.
        if (fixture.randomBetween(0, 2) == 0) {
            change(fixture, "h1", "a" + number, version, first);
            fixture.killAndRestart("h1");
        }
        ChangeResult const a = changeUntilDecided(fixture, "h1", "a" + number, version, first);
        ChangeResult const b = changeUntilDecided(fixture, "h1", "b" + number, version, second);
        REQUIRE(a.code == ResultCode::Ok);
        REQUIRE(b.code == ResultCode::VersionConflict);
        REQUIRE(a.version == version + 1);
        accepted[a.version] = first;
        CHECK(changeUntilDecided(fixture, "h1", "a" + number, version, first).version == version + 1);
    }
    fixture.killAndRestart("h1");
    for (auto const& [version, timeoutMs] : accepted)
        CHECK(fixture.cluster.callOperatorApi("h1", "GET", "/v1/config?version=" + std::to_string(version))["document"] == documentWith(timeoutMs));
    CHECK(fixture.cluster.callOperatorApi("h1", "GET", "/v1/config")["version"] == 25);
}

TEST_CASE("a-configuration-never-reverts-over-hundreds-of-changes-and-restarts")
{
    ScenarioFixture fixture(oneHostOptions());
    uint64_t version = 0;
    for (int round = 0; round < 3; round++) {
        for (int i = 0; i < 100; i++) {
            ChangeResult const result = changeUntilDecided(fixture, "h1", "op" + std::to_string(version), version, static_cast<int64_t>(1000 + version));
            REQUIRE(result.code == ResultCode::Ok);
            version = result.version;
        }
        fixture.killAndRestart("h1");
        nlohmann::json const inForce = fixture.cluster.callOperatorApi("h1", "GET", "/v1/config");
        CHECK(inForce["version"] == version);
        CHECK(inForce["document"] == documentWith(static_cast<int64_t>(1000 + version - 1)));
    }
    CHECK(changeUntilDecided(fixture, "h1", "op0", 0, 1000).version == 1);
}
