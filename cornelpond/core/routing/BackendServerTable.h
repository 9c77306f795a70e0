#pragma once

// The backend servers that announced themselves. An announcement expires unless it is repeated, so a
// server that dies without announcing its leave gets no new requests after that time.
//
// Example:
//   BackendServerTable servers(Duration::seconds(3));
//   servers.announce(announcement, clock.now());
//   for (BackendServer const* server : servers.announcedServers(ServiceId("plan"), clock.now()))
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

/// What a backend server announces of itself, about once a second.
struct BackendServerAnnouncement {
    BackendServerId server;
    ServiceId service;
    DataCentreId dataCentre;
    std::string address; ///< IP address.
    uint16_t port = 0;
    uint32_t slots = 1; ///< Maximum of concurrent requests.
    uint32_t connections = 1; ///< Maximum of concurrent connections.
    WorkerId worker; ///< The worker on which it runs; empty when on none.
    RackId rack;
    Resources resources; ///< Reserved for it on its worker when cornelpond did not start it.
    Labels labels;
    bool leaving = false; ///< The last announcement of a server that stops.
};

/// Throws Error(SchemaViolation) for a missing field, a wrong type or a value out of range.
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

    /// Returns true when the server is new, came back or has another address. A leaving server is removed.
    /// `age` is the time since the server itself sent the announcement, when another entry host passed it on;
    /// an announcement that has expired or is older than the server's leave is ignored.
    bool announce(BackendServerAnnouncement const& announcement, TimePoint now, Duration age = Duration());

    /// Removes and returns the servers whose announcement expired.
    std::vector<BackendServerId> takeExpired(TimePoint now);

    /// Servers of the service whose announcement has not expired; ejected servers are included.
    std::vector<BackendServer const*> announcedServers(ServiceId const& service, TimePoint now) const;

    /// Count requests that this host sent to the server and that have not ended; do nothing when the server has left.
    void addInFlight(BackendServerId const& server);
    void removeInFlight(BackendServerId const& server);

    /// The server, or null when it is unknown or has left.
    BackendServer* find(BackendServerId const& server);

    /// Resources reserved for backend servers that cornelpond did not start, by worker.
    std::unordered_map<WorkerId, Resources> reservedOnWorkers() const;

    /// True when a server of the service announced itself since this process started.
    bool hasSeenService(ServiceId const& service) const;

    std::map<BackendServerId, BackendServer> const& all() const { return this->servers; }

private:
    void remove(BackendServerAnnouncement const& leave, TimePoint leftAt);

    Duration expiry;
    std::map<BackendServerId, BackendServer> servers;
    std::map<BackendServerId, TimePoint> leaveTimes; ///< Kept while an older announcement may still arrive.
    std::set<ServiceId> seenServices;
};

} // namespace cornelpond
