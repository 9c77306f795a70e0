#pragma once

// The settings of a host of a fleet, which finds its peers from seed addresses: an entry host forwards clients'
// calls, a control host stores the replicated log and may lead. A JSON document that is checked against a
// schema and reloaded while the host runs.
//
// Example:
//   FleetSettings const settings = loadFleetSettings("/etc/cornelpond/settings.json");

#include "cornelpond/adapters/http/HttpTypes.h"
#include "cornelpond/app/Settings.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cornelpond {

enum class FleetRole {
    Entry, ///< Has no disk and no vote; forwards clients' calls to the leader.
    Control, ///< Stores the replicated log and votes; the leader among the control hosts schedules.
};

/// Listen addresses. One without an IP number is not opened.
struct FleetListeners {
    Address callers; ///< For clients' calls; entry hosts only.
    Address readiness; ///< For the readiness checks of whoever spreads clients' connections; entry hosts only.
    Address control; ///< For workers and operators; control hosts only.
    Address peers; ///< For the other hosts of the fleet.
    Address metrics;
};

struct FleetTimes {
    Duration maxLease = Duration::seconds(6); ///< The longest lease that workers grant; they shorten longer ones.
    Duration shutdownBound = Duration::seconds(5); ///< A graceful shutdown cuts off the requests that are still open after this time.
};

/// What the process may use of its machine.
struct FleetLimits {
    size_t descriptors = 1024; ///< File descriptors that the process may open.
    size_t reservedDescriptors = 0; ///< Of these, not available to this program's own files and connections.

    size_t availableDescriptors() const { return this->descriptors - this->reservedDescriptors; }
};

/// How tasks fare on the fleet's workers.
struct FleetPlacement {
    std::optional<double> slowdownElsewhere; ///< How many times as long tasks run away from their data, and gangs on several racks; unset: not known.
};

struct FleetSettings {
    FleetRole role = FleetRole::Entry;
    std::string cluster;
    std::string name; ///< For logs.
    DataCentreId dataCentre;
    std::string dataFolder; ///< Control hosts only.
    bool firstStart = false; ///< The whole system starts for the first time, with empty disks.
    std::vector<Address> seeds; ///< Control addresses of some control hosts.
    size_t lossTolerance = 1; ///< Number of control hosts that may be lost at the same time.
    FleetListeners listen;
    Address permitService;
    std::map<Address, Address> peerRoutes; ///< Where to dial a peer that cannot be reached at its own address (the key), as behind port forwarding.
    FleetTimes times;
    FleetLimits limits;
    FleetPlacement placement;
};

/// All faults of a settings document; empty when it is valid.
std::vector<DocumentFault> checkFleetSettings(nlohmann::json const& document);

/// Throws DocumentError(BadSettings), or Error for an unreadable file.
FleetSettings loadFleetSettings(std::string const& path);

/// Precondition: checkFleetSettings found no fault.
FleetSettings fleetSettingsFromJson(nlohmann::json const& document);

/// True for a document that names a role: it is for loadFleetSettings, not for loadSettings.
bool isFleetSettings(nlohmann::json const& document);

/// The settings that the host's peer links and replicated log need. `identity` is the one from hostIdentity.
Settings networkSettings(FleetSettings const& fleet, HostId const& identity);

/// The seeds other than this host, as peers: their peer port is the same as this host's.
std::vector<PeerSettings> seedPeers(FleetSettings const& fleet);

/// An entry host's identity is its IP number. A control host's is stored on its disk: its IP number if it was
/// created at the first start, else the IP number with `suffix`. So a host with an empty disk never votes as
/// the host that lost the disk.
HostId hostIdentity(FleetSettings const& fleet, std::string const& suffix);

} // namespace cornelpond
