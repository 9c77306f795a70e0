#include "cornelpond/core/routing/BackendServerTable.h"

#include "cornelpond/core/base/ResultCode.h"
#include "cornelpond/core/tasks/TaskJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cornelpond {

namespace {

    constexpr uint32_t maxSlots = 100000;
    constexpr size_t maxServices = 10000;

    template <typename Number>
    Number integerInRange(nlohmann::json const& value, std::string const& key, Number lowest, Number highest)
    {
        auto const& found = value.at(key);
        if (!found.is_number_integer() || found.get<int64_t>() < int64_t(lowest) || found.get<int64_t>() > int64_t(highest))
            throw Error(ResultCode::SchemaViolation, "/" + key + ": expected " + std::to_string(lowest) + " to " + std::to_string(highest));
        return found.get<Number>();
    }

} // namespace

BackendServerAnnouncement backendServerAnnouncementFromJson(nlohmann::json const& value)
{
    try {
        BackendServerAnnouncement announcement;
        announcement.server = BackendServerId(value.at("server").get<std::string>());
        announcement.service = ServiceId(value.at("service").get<std::string>());
        if (!isLabelWord(announcement.server.value()))
            throw Error(ResultCode::SchemaViolation, "/server: expected letters, digits or any of ._-/");
        if (!isLabelWord(announcement.service.value()) || announcement.service.value().find('/') != std::string::npos)
            throw Error(ResultCode::SchemaViolation, "/service: expected letters, digits or any of ._-");
        announcement.dataCentre = DataCentreId(value.value("dataCentre", std::string()));
        announcement.address = value.at("address").get<std::string>();
        announcement.port = integerInRange<uint16_t>(value, "port", 1, 65535);
        announcement.slots = integerInRange<uint32_t>(value, "slots", 1, maxSlots);
        announcement.connections = integerInRange<uint32_t>(value, "connections", 1, maxSlots);
        announcement.worker = WorkerId(value.value("worker", std::string()));
        announcement.rack = RackId(value.value("rack", std::string()));
        if (value.contains("resources"))
            announcement.resources = resourcesFromJson(value["resources"], "/resources");
        announcement.labels = labelsFromJson(value.value("labels", nlohmann::json::object()), "/labels");
        announcement.leaving = value.value("leaving", false);
        return announcement;
    } catch (nlohmann::json::exception const& error) {
        throw Error(ResultCode::SchemaViolation, std::string("announcement: ") + error.what());
    }
}

nlohmann::json toJson(BackendServerAnnouncement const& announcement)
{
    return {
        { "server", announcement.server.value() },
        { "service", announcement.service.value() },
        { "dataCentre", announcement.dataCentre.value() },
        { "address", announcement.address },
        { "port", announcement.port },
        { "slots", announcement.slots },
        { "connections", announcement.connections },
        { "worker", announcement.worker.value() },
        { "rack", announcement.rack.value() },
        { "resources", toJson(announcement.resources) },
        { "labels", announcement.labels },
        { "leaving", announcement.leaving },
    };
}

bool BackendServerTable::announce(BackendServerAnnouncement const& announcement, TimePoint now, Duration age)
{
    if (announcement.leaving) {
        this->remove(announcement, now - age);
        return false;
    }
    auto const leave = this->leaveTimes.find(announcement.server);
    bool const isOutdated = age >= this->expiry || (leave != this->leaveTimes.end() && now - age <= leave->second);
    if (isOutdated)
        return false;
    this->leaveTimes.erase(announcement.server);
    auto entry = this->servers.find(announcement.server);
    bool const hasNewAddress = entry != this->servers.end() && (entry->second.lastAnnouncement.port != announcement.port || entry->second.lastAnnouncement.address != announcement.address);
    if (hasNewAddress)
        entry = this->servers.erase(entry);
    bool const isNew = hasNewAddress || entry == this->servers.end();
    if (isNew)
        entry = this->servers.emplace(announcement.server, BackendServer(announcement, now)).first;
    entry->second.lastAnnouncement = announcement;
    entry->second.expiresAt = std::max(entry->second.expiresAt, now - age + this->expiry);
    if (this->seenServices.size() < maxServices)
        this->seenServices.insert(announcement.service);
    return isNew;
}

/// Ignores a leave that was overtaken by an announcement of the server's next incarnation.
void BackendServerTable::remove(BackendServerAnnouncement const& leave, TimePoint leftAt)
{
    auto const known = this->servers.find(leave.server);
    if (known != this->servers.end()) {
        BackendServerAnnouncement const& last = known->second.lastAnnouncement;
        bool const isElsewhere = !leave.address.empty() && (last.address != leave.address || last.port != leave.port);
        bool const isAnnouncedSince = known->second.expiresAt - this->expiry > leftAt;
        if (isElsewhere || isAnnouncedSince)
            return;
        this->servers.erase(known);
    }
    this->leaveTimes[leave.server] = leftAt;
}

std::vector<BackendServerId> BackendServerTable::takeExpired(TimePoint now)
{
    for (auto leave = this->leaveTimes.begin(); leave != this->leaveTimes.end();)
        leave = now - leave->second > this->expiry ? this->leaveTimes.erase(leave) : std::next(leave);
    std::vector<BackendServerId> expired;
    for (auto server = this->servers.begin(); server != this->servers.end();) {
        if (now < server->second.expiresAt) {
            ++server;
            continue;
        }
        expired.push_back(server->first);
        server = this->servers.erase(server);
    }
    return expired;
}

std::vector<BackendServer const*> BackendServerTable::announcedServers(ServiceId const& service, TimePoint now) const
{
    std::vector<BackendServer const*> result;
    for (auto const& [id, server] : this->servers) {
        if (server.lastAnnouncement.service == service && now < server.expiresAt)
            result.push_back(&server);
    }
    return result;
}

void BackendServerTable::addInFlight(BackendServerId const& server)
{
    auto const found = this->servers.find(server);
    if (found != this->servers.end())
        found->second.inFlight++;
}

void BackendServerTable::removeInFlight(BackendServerId const& server)
{
    auto const found = this->servers.find(server);
    if (found != this->servers.end() && found->second.inFlight)
        found->second.inFlight--;
}

BackendServer* BackendServerTable::find(BackendServerId const& server)
{
    auto const found = this->servers.find(server);
    return found == this->servers.end() ? nullptr : &found->second;
}

std::unordered_map<WorkerId, Resources> BackendServerTable::reservedOnWorkers() const
{
    std::unordered_map<WorkerId, Resources> reserved;
    for (auto const& [id, server] : this->servers) {
        if (!server.lastAnnouncement.worker.empty())
            reserved[server.lastAnnouncement.worker] += server.lastAnnouncement.resources;
    }
    return reserved;
}

bool BackendServerTable::hasSeenService(ServiceId const& service) const
{
    return this->seenServices.count(service) > 0;
}

} // namespace cornelpond
