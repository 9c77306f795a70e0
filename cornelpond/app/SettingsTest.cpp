#include "cornelpond/app/Settings.h"

#include "testing/fakes/TemporaryFolder.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>

using namespace cornelpond;

namespace {

bool hasFault(std::vector<DocumentFault> const& faults, std::string const& pointer)
{
    return std::any_of(faults.begin(), faults.end(), [&](auto const& fault) { return fault.pointer == pointer; });
}

} // namespace

TEST_CASE("the settings of serve --default are valid")
{
    CHECK(checkSettings(defaultSettings("/tmp/x")).empty());
}

TEST_CASE("all schema faults are reported at once with their pointers")
{
    nlohmann::json document = defaultSettings("/tmp/x");
    document["listen"]["callers"]["port"] = "seven";
    document["limits"]["maxJsonDepth"] = 1;
    document["surprise"] = true;
    std::vector<DocumentFault> const faults = checkSettings(document);
    CHECK(hasFault(faults, "/listen/callers/port"));
    CHECK(hasFault(faults, "/limits/maxJsonDepth"));
    CHECK(std::any_of(faults.begin(), faults.end(), [](auto const& fault) { return fault.message.find("surprise") != std::string::npos; }));
}

TEST_CASE("faults across fields are found")
{
    nlohmann::json document = defaultSettings("/tmp/x");
    document["listen"]["workers"] = document["listen"]["callers"];
    document["times"] = { { "leaseMs", 1000 }, { "driftMarginMs", 1000 } };
    document["listen"]["operators"]["ip"] = "localhost";
    document["peers"] = nlohmann::json::array({ { { "host", "h1" }, { "dataCentre", "dc2" }, { "ip", "127.0.0.1" }, { "port", 1 } } });
    std::vector<DocumentFault> const faults = checkSettings(document);
    CHECK(hasFault(faults, "/listen/workers"));
    CHECK(hasFault(faults, "/times/driftMarginMs"));
    CHECK(hasFault(faults, "/listen/operators/ip"));
    CHECK(hasFault(faults, "/peers/0/host"));
    CHECK(hasFault(faults, "/listen"));
}

TEST_CASE("loading a file with faults throws all of them; loading an absent file throws")
{
    TemporaryFolder folder;
    std::string const path = folder.path() + "/settings.json";
    std::ofstream(path) << R"({"cluster": 1})";
    try {
        loadSettings(path);
        FAIL("accepted");
    } catch (DocumentError const& error) {
        CHECK(error.code() == ResultCode::BadSettings);
        CHECK(error.faults().size() >= 4);
    }
    CHECK_THROWS_AS(loadSettings(folder.path() + "/absent.json"), Error);
}

TEST_CASE("a data centre without a host with a disk is a fault, except for a host that joins")
{
    nlohmann::json document = defaultSettings("/tmp/x");
    document["listen"]["peers"] = { { "ip", "127.0.0.1" }, { "port", 7003 } };
    document["peerTokenFile"] = "/tmp/token";
    document["peers"] = nlohmann::json::array({ { { "host", "h2" }, { "dataCentre", "dc2" }, { "ip", "127.0.0.1" }, { "port", 1 } } });
    CHECK(hasFault(checkSettings(document), "/peers"));
    document["joins"] = true;
    CHECK(checkSettings(document).empty());
    document["joins"] = false;
    document["peers"][0]["disk"] = true;
    CHECK(checkSettings(document).empty());
}
