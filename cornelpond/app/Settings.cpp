#include "cornelpond/app/Settings.h"

#include "cornelpond/adapters/schema/SchemaCheck.h"
#include "cornelpond/core/base/Json.h"

#include <arpa/inet.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>
#include <map>
#include <set>

namespace cornelpond {

namespace {

    constexpr std::string_view schemaText = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["cluster", "host", "dataCentre", "listen"],
  "properties": {
    "cluster": { "type": "string", "minLength": 1, "maxLength": 100 },
    "host": { "type": "string", "minLength": 1, "maxLength": 100 },
    "dataCentre": { "type": "string", "minLength": 1, "maxLength": 100 },
    "dataFolder": { "type": "string", "minLength": 1 },
    "operatorTokenFile": { "type": "string", "minLength": 1 },
    "peerTokenFile": { "type": "string", "minLength": 1 },
    "listen": {
      "type": "object",
      "additionalProperties": false,
      "required": ["callers", "workers", "operators"],
      "properties": {
        "callers": { "$ref": "#/definitions/address" },
        "workers": { "$ref": "#/definitions/address" },
        "operators": { "$ref": "#/definitions/address" },
        "peers": { "$ref": "#/definitions/address" }
      }
    },
    "peers": {
      "type": "array",
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["host", "dataCentre", "ip", "port"],
        "properties": {
          "host": { "type": "string", "minLength": 1, "maxLength": 100 },
          "dataCentre": { "type": "string", "minLength": 1, "maxLength": 100 },
          "ip": { "type": "string" },
          "port": { "type": "integer", "minimum": 1, "maximum": 65535 },
          "disk": { "type": "boolean" }
        }
      }
    },
    "admitNewHosts": { "type": "boolean" },
    "joins": { "type": "boolean" },
    "limits": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "maxBodyBytes": { "type": "integer", "minimum": 1024, "maximum": 1073741824 },
        "maxHeaderBytes": { "type": "integer", "minimum": 1024, "maximum": 1048576 },
        "maxJsonDepth": { "type": "integer", "minimum": 4, "maximum": 256 },
        "maxQueuedRequests": { "type": "integer", "minimum": 1, "maximum": 1000000 }
      }
    },
    "times": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "leaseMs": { "type": "integer", "minimum": 500, "maximum": 600000 },
        "driftMarginMs": { "type": "integer", "minimum": 10, "maximum": 60000 },
        "announcementExpiryMs": { "type": "integer", "minimum": 200, "maximum": 60000 },
        "drainNoticeMs": { "type": "integer", "minimum": 0, "maximum": 600000 },
        "shutdownBoundMs": { "type": "integer", "minimum": 0, "maximum": 3600000 }
      }
    }
  },
  "definitions": {
    "address": {
      "type": "object",
      "additionalProperties": false,
      "required": ["ip", "port"],
      "properties": {
        "ip": { "type": "string" },
        "port": { "type": "integer", "minimum": 0, "maximum": 65535 }
      }
    }
  }
})json";

    bool isIpNumber(std::string const& text)
    {
        in6_addr parsed {};
        return inet_pton(AF_INET, text.c_str(), &parsed) == 1 || inet_pton(AF_INET6, text.c_str(), &parsed) == 1;
    }

    void checkAddresses(nlohmann::json const& document, std::vector<DocumentFault>& faults)
    {
        std::set<Address> usedAddresses;
        for (auto const& item : document["listen"].items()) {
            std::string const pointer = "/listen/" + item.key();
            Address const address { item.value()["ip"].get<std::string>(), item.value()["port"].get<uint16_t>() };
            if (!isIpNumber(address.ip))
                faults.push_back({ pointer + "/ip", "not an IP number" });
            if (address.port && !usedAddresses.insert(address).second)
                faults.push_back({ pointer, "the same address as another listener" });
        }
    }

    /// The task group of a data centre is led by one of the data centre's own hosts, which needs a disk for that.
    void checkDisks(nlohmann::json const& document, nlohmann::json const& peers, std::vector<DocumentFault>& faults)
    {
        std::map<std::string, bool> hasDisk { { document["dataCentre"].get<std::string>(), document.contains("dataFolder") } };
        for (auto const& peer : peers)
            hasDisk[peer["dataCentre"].get<std::string>()] |= peer.value("disk", false);
        for (auto const& [dataCentre, found] : hasDisk) {
            if (!found)
                faults.push_back({ "/peers", "no host of data centre '" + dataCentre + "' has a disk" });
        }
    }

    void checkPeers(nlohmann::json const& document, std::vector<DocumentFault>& faults)
    {
        nlohmann::json const peers = document.value("peers", nlohmann::json::array());
        std::set<std::string> names { document["host"].get<std::string>() };
        for (size_t i = 0; i < peers.size(); i++) {
            std::string const pointer = "/peers/" + std::to_string(i);
            if (!names.insert(peers[i]["host"].get<std::string>()).second)
                faults.push_back({ pointer + "/host", "this name is used twice" });
            if (!isIpNumber(peers[i]["ip"].get<std::string>()))
                faults.push_back({ pointer + "/ip", "not an IP number" });
        }
        if (peers.empty() && !document.contains("dataFolder"))
            faults.push_back({ "", "'dataFolder' is required for a host without peers" });
        if (peers.empty())
            return;
        if (!document["listen"].contains("peers"))
            faults.push_back({ "/listen", "'peers' is required when there are peers" });
        if (!document.contains("peerTokenFile"))
            faults.push_back({ "", "'peerTokenFile' is required when there are peers" });
        if (!document.value("joins", false))
            checkDisks(document, peers, faults);
    }

    void checkTimes(nlohmann::json const& document, std::vector<DocumentFault>& faults)
    {
        nlohmann::json const times = document.value("times", nlohmann::json::object());
        TimeSettings const defaults;
        int64_t const leaseMs = times.value("leaseMs", defaults.lease.toMilliseconds());
        if (times.value("driftMarginMs", defaults.driftMargin.toMilliseconds()) >= leaseMs)
            faults.push_back({ "/times/driftMarginMs", "must be below leaseMs" });
    }

    Address addressFromJson(nlohmann::json const& value)
    {
        return { value["ip"].get<std::string>(), value["port"].get<uint16_t>() };
    }

    std::string readToken(nlohmann::json const& document, std::string const& key)
    {
        if (!document.contains(key))
            return std::string();
        std::string token = readTextFile(document[key].get<std::string>());
        while (!token.empty() && (token.back() == '\n' || token.back() == '\r' || token.back() == ' '))
            token.pop_back();
        if (token.empty())
            throw DocumentError(ResultCode::BadSettings, { { "/" + key, "the file is empty" } });
        return token;
    }

    std::string joinFaults(std::vector<DocumentFault> const& faults)
    {
        std::string text;
        for (auto const& fault : faults) {
            text += text.empty() ? "" : "\n";
            text += (fault.pointer.empty() ? "(document)" : fault.pointer) + ": " + fault.message;
        }
        return text;
    }

} // namespace

DocumentError::DocumentError(ResultCode code, std::vector<DocumentFault> faults)
    : Error(code, joinFaults(faults))
    , documentFaults(std::move(faults))
{
}

std::string readTextFile(std::string const& path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in)
        throw Error(ResultCode::BadArgument, "cannot read " + path);
    return { std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>() };
}

std::vector<DocumentFault> checkSettings(nlohmann::json const& document)
{
    std::vector<DocumentFault> faults = checkSchema(schemaText, document);
    if (!faults.empty())
        return faults;
    checkAddresses(document, faults);
    checkPeers(document, faults);
    checkTimes(document, faults);
    return faults;
}

Settings loadSettings(std::string const& path)
{
    nlohmann::json const document = parseJson(readTextFile(path), JsonLimits());
    std::vector<DocumentFault> faults = checkSettings(document);
    if (!faults.empty())
        throw DocumentError(ResultCode::BadSettings, std::move(faults));
    return settingsFromJson(document);
}

Settings settingsFromJson(nlohmann::json const& document)
{
    Settings settings;
    settings.cluster = document["cluster"].get<std::string>();
    settings.host = HostId(document["host"].get<std::string>());
    settings.dataCentre = DataCentreId(document["dataCentre"].get<std::string>());
    settings.dataFolder = document.value("dataFolder", std::string());
    settings.operatorToken = readToken(document, "operatorTokenFile");
    settings.peerToken = readToken(document, "peerTokenFile");
    auto const& listen = document["listen"];
    settings.listen.callers = addressFromJson(listen["callers"]);
    settings.listen.workers = addressFromJson(listen["workers"]);
    settings.listen.operators = addressFromJson(listen["operators"]);
    if (listen.contains("peers"))
        settings.listen.peers = addressFromJson(listen["peers"]);
    for (auto const& peer : document.value("peers", nlohmann::json::array()))
        settings.peers.push_back({ HostId(peer["host"].get<std::string>()), DataCentreId(peer["dataCentre"].get<std::string>()), addressFromJson(peer), peer.value("disk", false) });
    settings.joins = document.value("joins", false);
    settings.admitNewHosts = document.value("admitNewHosts", false);
    nlohmann::json const limits = document.value("limits", nlohmann::json::object());
    settings.limits.maxBodyBytes = limits.value("maxBodyBytes", settings.limits.maxBodyBytes);
    settings.limits.maxHeaderBytes = limits.value("maxHeaderBytes", settings.limits.maxHeaderBytes);
    settings.limits.maxJsonDepth = limits.value("maxJsonDepth", settings.limits.maxJsonDepth);
    settings.limits.maxQueuedRequests = limits.value("maxQueuedRequests", settings.limits.maxQueuedRequests);
    nlohmann::json const times = document.value("times", nlohmann::json::object());
    auto const durationAt = [&](char const* key, Duration fallback) { return Duration::milliseconds(times.value(key, fallback.toMilliseconds())); };
    settings.times.lease = durationAt("leaseMs", settings.times.lease);
    settings.times.driftMargin = durationAt("driftMarginMs", settings.times.driftMargin);
    settings.times.announcementExpiry = durationAt("announcementExpiryMs", settings.times.announcementExpiry);
    settings.times.drainNotice = durationAt("drainNoticeMs", settings.times.drainNotice);
    settings.times.shutdownBound = durationAt("shutdownBoundMs", settings.times.shutdownBound);
    return settings;
}

nlohmann::json defaultSettings(std::string const& folder)
{
    auto const address = [](int port) { return nlohmann::json { { "ip", "127.0.0.1" }, { "port", port } }; };
    return {
        { "cluster", "default" },
        { "host", "h1" },
        { "dataCentre", "dc1" },
        { "dataFolder", folder },
        { "listen", { { "callers", address(7000) }, { "workers", address(7001) }, { "operators", address(7002) } } },
    };
}

} // namespace cornelpond
