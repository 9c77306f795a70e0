#include "cornelpond/app/FleetSettings.h"

#include "cornelpond/adapters/file/DurableFile.h"
#include "cornelpond/adapters/http/AddressText.h"
#include "cornelpond/adapters/schema/SchemaCheck.h"
#include "cornelpond/app/DescriptorBudget.h"
#include "cornelpond/core/base/Json.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sys/resource.h>

namespace cornelpond {

namespace {

    constexpr std::string_view schemaText = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["role", "cluster", "name", "dataCentre", "seeds", "listen"],
  "properties": {
    "role": { "enum": ["entry", "control"] },
    "cluster": { "type": "string", "minLength": 1, "maxLength": 100 },
    "name": { "type": "string", "minLength": 1, "maxLength": 100 },
    "dataCentre": { "type": "string", "minLength": 1, "maxLength": 100 },
    "dataFolder": { "type": "string", "minLength": 1 },
    "firstStart": { "type": "boolean" },
    "seeds": { "type": "array", "minItems": 1, "items": { "type": "string" } },
    "lossTolerance": { "type": "integer", "minimum": 0, "maximum": 3 },
    "permitService": { "type": "string" },
    "peerRoutes": { "type": "object", "additionalProperties": { "type": "string" } },
    "listen": {
      "type": "object",
      "additionalProperties": false,
      "required": ["peers"],
      "properties": {
        "callers": { "type": "string" },
        "readiness": { "type": "string" },
        "control": { "type": "string" },
        "peers": { "type": "string" },
        "metrics": { "type": "string" }
      }
    },
    "times": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "maxLeaseMs": { "type": "integer", "minimum": 1000, "maximum": 600000 },
        "shutdownBoundMs": { "type": "integer", "minimum": 0, "maximum": 600000 }
      }
    },
    "placement": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "slowdownElsewhere": { "type": "number", "minimum": 1, "maximum": 1000 }
      }
    },
    "limits": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "descriptors": { "type": "integer", "minimum": 64, "maximum": 10000000 },
        "reservedDescriptors": { "type": "integer", "minimum": 0, "maximum": 10000000 }
      }
    }
  }
})json";

    constexpr Duration peerHeartbeatInterval = Duration::milliseconds(250); ///< Short enough to detect a silent link within a second.
    /// A machine that replaces another counts as present a few seconds after its start; by then its vote must
    /// have replaced that of the lost voter.
    constexpr Duration voterLostAfter = Duration::seconds(2);
    /// Longer than a learner's first snapshot takes in a large fleet; no other spare host is tried before.
    constexpr Duration learnerLostAfter = Duration::seconds(6);
    /// A host that was partitioned off must be a voter again within a second after the partition heals, since
    /// the next host may be lost right then. So the next step of a replacement is checked for after no more than
    /// a round trip.
    constexpr Duration voterCheckInterval = Duration::milliseconds(60);
    /// A sync blocks the loop, and a pause as long follows it; a slow disk must not hold up entries for longer.
    constexpr Duration maxLogFlushPause = Duration::milliseconds(25);
    constexpr Duration peerHandshakeTimeout = Duration::milliseconds(500);
    constexpr Duration maxPeerBackoff = Duration::milliseconds(300);

    constexpr size_t minDescriptors = 64; ///< As in the schema.
    constexpr size_t maxDescriptors = 10000000;

    void checkAddress(nlohmann::json const& value, std::string const& pointer, std::vector<DocumentFault>& faults)
    {
        try {
            addressFromText(value.get<std::string>());
        } catch (Error const& error) {
            faults.push_back({ pointer, error.what() });
        }
    }

    void require(nlohmann::json const& object, std::string const& parent, char const* key, std::vector<DocumentFault>& faults)
    {
        if (!object.contains(key))
            faults.push_back({ parent, std::string("'") + key + "' is required for this role" });
    }

    /// The process's own limit; 0 when it is not known.
    size_t processDescriptorLimit()
    {
        rlimit limit {};
        return getrlimit(RLIMIT_NOFILE, &limit) ? 0 : static_cast<size_t>(std::min<rlim_t>(limit.rlim_cur, maxDescriptors));
    }

    /// Without a setting, the process's own limit.
    FleetLimits limitsOf(nlohmann::json const& document)
    {
        FleetLimits limits;
        nlohmann::json const given = document.value("limits", nlohmann::json::object());
        limits.descriptors = given.value("descriptors", std::max(processDescriptorLimit(), minDescriptors));
        limits.reservedDescriptors = given.value("reservedDescriptors", limits.reservedDescriptors);
        return limits;
    }

    Address addressAt(nlohmann::json const& object, char const* key)
    {
        return object.contains(key) ? addressFromText(object[key].get<std::string>()) : Address();
    }

} // namespace

std::vector<DocumentFault> checkFleetSettings(nlohmann::json const& document)
{
    std::vector<DocumentFault> faults = checkSchema(schemaText, document);
    if (!faults.empty())
        return faults;
    for (auto const& item : document["listen"].items())
        checkAddress(item.value(), "/listen/" + item.key(), faults);
    for (size_t i = 0; i < document["seeds"].size(); i++)
        checkAddress(document["seeds"][i], "/seeds/" + std::to_string(i), faults);
    nlohmann::json const routes = document.value("peerRoutes", nlohmann::json::object());
    for (auto const& route : routes.items()) {
        checkAddress(route.key(), "/peerRoutes/" + route.key(), faults);
        checkAddress(route.value(), "/peerRoutes/" + route.key(), faults);
    }
    if (document.contains("permitService"))
        checkAddress(document["permitService"], "/permitService", faults);
    FleetLimits const limits = limitsOf(document);
    if (limits.reservedDescriptors + minDescriptors > limits.descriptors)
        faults.push_back({ "/limits/reservedDescriptors", "leaves fewer than 64 descriptors" });
    if (document["role"] == "entry") {
        require(document["listen"], "/listen", "callers", faults);
        require(document["listen"], "/listen", "readiness", faults);
    } else {
        require(document["listen"], "/listen", "control", faults);
        require(document, "", "dataFolder", faults);
    }
    return faults;
}

bool isFleetSettings(nlohmann::json const& document)
{
    return document.is_object() && document.contains("role");
}

FleetSettings loadFleetSettings(std::string const& path)
{
    nlohmann::json const document = parseJson(readTextFile(path), JsonLimits());
    std::vector<DocumentFault> faults = checkFleetSettings(document);
    if (!faults.empty())
        throw DocumentError(ResultCode::BadSettings, std::move(faults));
    return fleetSettingsFromJson(document);
}

FleetSettings fleetSettingsFromJson(nlohmann::json const& document)
{
    FleetSettings settings;
    settings.role = document["role"] == "entry" ? FleetRole::Entry : FleetRole::Control;
    settings.cluster = document["cluster"].get<std::string>();
    settings.name = document["name"].get<std::string>();
    settings.dataCentre = DataCentreId(document["dataCentre"].get<std::string>());
    settings.dataFolder = settings.role == FleetRole::Control ? document["dataFolder"].get<std::string>() : std::string();
    settings.firstStart = document.value("firstStart", false);
    for (auto const& seed : document["seeds"])
        settings.seeds.push_back(addressFromText(seed.get<std::string>()));
    settings.lossTolerance = document.value("lossTolerance", settings.lossTolerance);
    auto const& listen = document["listen"];
    settings.listen = { addressAt(listen, "callers"), addressAt(listen, "readiness"), addressAt(listen, "control"), addressAt(listen, "peers"), addressAt(listen, "metrics") };
    settings.permitService = addressAt(document, "permitService");
    nlohmann::json const routes = document.value("peerRoutes", nlohmann::json::object());
    for (auto const& route : routes.items())
        settings.peerRoutes[addressFromText(route.key())] = addressFromText(route.value().get<std::string>());
    nlohmann::json const times = document.value("times", nlohmann::json::object());
    settings.times.maxLease = Duration::milliseconds(times.value("maxLeaseMs", settings.times.maxLease.toMilliseconds()));
    settings.times.shutdownBound = Duration::milliseconds(times.value("shutdownBoundMs", settings.times.shutdownBound.toMilliseconds()));
    settings.limits = limitsOf(document);
    nlohmann::json const placement = document.value("placement", nlohmann::json::object());
    if (placement.contains("slowdownElsewhere"))
        settings.placement.slowdownElsewhere = placement["slowdownElsewhere"].get<double>();
    return settings;
}

std::vector<PeerSettings> seedPeers(FleetSettings const& fleet)
{
    std::vector<PeerSettings> peers;
    for (auto const& seed : fleet.seeds) {
        if (seed.ip != fleet.listen.peers.ip)
            peers.push_back({ HostId(seed.ip), DataCentreId(), { seed.ip, fleet.listen.peers.port }, true });
    }
    return peers;
}

Settings networkSettings(FleetSettings const& fleet, HostId const& identity)
{
    Settings settings;
    settings.cluster = fleet.cluster;
    settings.host = identity;
    settings.dataCentre = fleet.dataCentre;
    settings.dataFolder = fleet.dataFolder;
    settings.listen.peers = fleet.listen.peers;
    settings.peers = seedPeers(fleet);
    settings.peerRoutes = fleet.peerRoutes;
    for (auto const& seed : fleet.seeds)
        settings.initialVoters.emplace_back(seed.ip);
    bool const hasIpIdentity = identity.value() == fleet.listen.peers.ip;
    settings.joins = !hasIpIdentity;
    settings.voterTarget = 2 * fleet.lossTolerance + 1;
    settings.voterLostAfter = voterLostAfter;
    settings.learnerLostAfter = learnerLostAfter;
    bool const isSeed = std::any_of(fleet.seeds.begin(), fleet.seeds.end(), [&](auto const& seed) { return seed.ip == fleet.listen.peers.ip; });
    settings.dialsAllPeers = !hasIpIdentity || !isSeed;
    settings.voterCheckInterval = voterCheckInterval;
    settings.maxLogFlushPause = maxLogFlushPause;
    settings.peerHeartbeatInterval = peerHeartbeatInterval;
    settings.peerHandshakeTimeout = peerHandshakeTimeout;
    settings.maxPeerBackoff = maxPeerBackoff;
    settings.maxPeerConnections = divideDescriptors(fleet.limits.availableDescriptors()).peers;
    settings.admitNewHosts = true;
    return settings;
}

HostId hostIdentity(FleetSettings const& fleet, std::string const& suffix)
{
    std::string const& ip = fleet.listen.peers.ip;
    if (fleet.role == FleetRole::Entry)
        return HostId(ip);
    DurableFile const file(fleet.dataFolder + "/identity");
    std::string identity = file.read();
    if (!identity.empty())
        return HostId(identity);
    identity = fleet.firstStart ? ip : ip + "~" + suffix;
    file.replace(identity);
    return HostId(identity);
}

} // namespace cornelpond
