#pragma once

// The backend servers that announced themselves, by service. An announcement expires when it is not
// repeated, so a server that left or died gets nothing new within that time.
//
// Example:
//   BackendServerTable servers(Duration::seconds(3));
//   servers.announce(announcement, clock.now());
//   for (BackendServer const* server : servers.usable(ServiceId("plan"), clock.now()))
//       ...
//
// Loop thread only.

#include "cornelpond/core/base/Duration.h"
#include "cornelpond/core/base/Ids.h"
#include "cornelpond/core/base/Resources.h"
#include "cornelpond/core/routing/ServerHealth.h"
#include "cornelpond/core/selector/Selector.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornelpond {

/// What a backend server says about itself about once a second.
struct BackendServerAnnouncement {
    BackendServerId server;
    ServiceId service;
    DataCentreId dataCentre;
    std::string address; ///< IP number.
    uint16_t port = 0;
    uint32_t slots = 1; ///< Requests it runs at once.
    uint32_t connections = 1; ///< Connections it accepts at once.
    WorkerId worker; ///< Where it runs; empty when not on a worker.
    RackId rack;
    Resources resources; ///< What it holds on its worker when cornelpond did not start it.
    Labels labels;
    bool leaving = false; ///< The last announcement of a server that stops.
};

/// Throws Error(SchemaViolation).
BackendServerAnnouncement backendServerAnnouncementFromJson(nlohmann::json const& value);
nlohmann::json toJson(BackendServerAnnouncement const& announcement);

struct BackendServer {
    BackendServer(BackendServerAnnouncement announcement, TimePoint now)
        : lastAnnouncement(std::move(announcement))
        , health(now)
    {
    }

    BackendServerAnnouncement lastAnnouncement;
    TimePoint expiresAt;
    uint32_t inFlight = 0; ///< Requests sent by this host and not yet answered.
    ServerHealth health;
};

class BackendServerTable {
public:
    explicit BackendServerTable(Duration expiry)
        : expiry(expiry)
    {
    }

    /// Returns true when the server is new or came back. A leaving server is removed. `age` is the time
    /// since the server itself said so, for an announcement that another entry host passed on; one that
    /// is older than the server's leave is ignored.
    bool announce(BackendServerAnnouncement const& announcement, TimePoint now, Duration age = Duration());

    /// Removes and returns the servers whose announcement expired.
    std::vector<BackendServerId> takeExpired(TimePoint now);

    /// Servers of the service with a valid announcement, ejected ones among them.
    std::vector<BackendServer const*> announcedServers(ServiceId const& service, TimePoint now) const;

    /// Counts a request sent to the server; does nothing when it has left.
    void addInFlight(BackendServerId const& server);
    void removeInFlight(BackendServerId const& server);

    /// The server, or null when it has left.
    BackendServer* find(BackendServerId const& server);

    /// What servers that cornelpond did not start hold, by worker.
    std::unordered_map<WorkerId, Resources> reservedOnWorkers() const;

    /// True when a server of the service announced itself since this process started.
    bool hasSeenService(ServiceId const& service) const;

    std::map<BackendServerId, BackendServer> const& all() const { return this->servers; }

private:
    Duration expiry;
    std::map<BackendServerId, BackendServer> servers;
    std::map<BackendServerId, TimePoint> leaveTimes; ///< When; kept while an older announcement may still arrive.
    std::set<ServiceId> seenServices;
};

} // namespace cornelpond
