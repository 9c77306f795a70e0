#pragma once

// The settings of a host of a fleet that finds its peers from seeds: an entry host, which takes clients'
// calls, or a control host, which keeps the state and decides. JSON, checked; read again while it runs.
//
// Example:
//   FleetSettings const settings = loadFleetSettings("/etc/cornelpond/settings.json");

#include "cornelpond/adapters/http/HttpTypes.h"
#include "cornelpond/app/Settings.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <string>
#include <vector>

namespace cornelpond {

enum class FleetRole {
    Entry, ///< No disk, no vote: takes clients' calls and passes them to the leader.
    Control, ///< Votes, stores; the leader among them schedules.
};

/// An address without an IP number: not listened on.
struct FleetListeners {
    Address callers; ///< Clients; entry hosts.
    Address readiness; ///< Whoever spreads clients' connections; entry hosts.
    Address control; ///< Workers and operators; control hosts.
    Address peers; ///< Other hosts of the system.
    Address metrics;
};

struct FleetTimes {
    Duration maxLease = Duration::seconds(6); ///< Workers shorten longer leases.
    Duration shutdownBound = Duration::seconds(5); ///< After it a graceful shutdown cuts what is left.
};

struct FleetSettings {
    FleetRole role = FleetRole::Entry;
    std::string cluster;
    std::string name; ///< For logs.
    DataCentreId dataCentre;
    std::string dataFolder; ///< Control hosts.
    bool firstStart = false; ///< The whole system starts for the first time, with empty disks.
    std::vector<Address> seeds; ///< Control addresses of some control hosts.
    size_t lossTolerance = 1; ///< Control hosts that may be lost at once.
    FleetListeners listen;
    Address permitService;
    std::map<Address, Address> peerRoutes; ///< Where to dial a peer that cannot be reached at its own address, behind a port forwarding.
    FleetTimes times;
};

/// Every fault of a settings document.
std::vector<DocumentFault> checkFleetSettings(nlohmann::json const& document);

/// Throws DocumentError(BadSettings), or Error for an unreadable file.
FleetSettings loadFleetSettings(std::string const& path);

/// Precondition: checkFleetSettings found nothing.
FleetSettings fleetSettingsFromJson(nlohmann::json const& document);

/// True for a document that names a role: it is for loadFleetSettings, not for loadSettings.
bool isFleetSettings(nlohmann::json const& document);

/// What the links and the replicated log of the host need. `identity` is the host's for life.
Settings networkSettings(FleetSettings const& fleet, HostId const& identity);

/// The peers that the seeds stand for: the peer port is the same on all hosts.
std::vector<PeerSettings> seedPeers(FleetSettings const& fleet);

/// A control host's identity, kept on its disk. One with an empty disk that is not part of the first start
/// gets a new one, so that it never votes as the host that lost the disk; `suffix` tells the two apart.
HostId hostIdentity(FleetSettings const& fleet, std::string const& suffix);

} // namespace cornelpond
