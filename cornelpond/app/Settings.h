#pragma once

// The settings of one entry host: its identity, listen addresses, data folder, peers, limits and times. Read
// once at start.
//
// Example:
//   Settings const settings = loadSettings("/etc/cornelpond/settings.json");

#include "cornelpond/adapters/http/HttpTypes.h"
#include "cornelpond/core/base/Duration.h"
#include "cornelpond/core/base/Ids.h"
#include "cornelpond/core/base/ResultCode.h"
#include "cornelpond/core/config/Policy.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <string>
#include <vector>

namespace cornelpond {

/// Another entry host that is known from the settings.
struct PeerSettings {
    HostId host;
    DataCentreId dataCentre;
    Address address;
    bool hasDisk = false;
};

struct ListenSettings {
    Address callers;
    Address workers; ///< For workers and backend servers.
    Address operators;
    Address peers; ///< Empty IP number: no listener for peers.
};

struct LimitSettings {
    size_t maxBodyBytes = 1024 * 1024;
    size_t maxHeaderBytes = 16 * 1024;
    size_t maxJsonDepth = 32;
    size_t maxQueuedRequests = 1000;
};

struct TimeSettings {
    Duration lease = Duration::seconds(5);
    Duration driftMargin = Duration::milliseconds(500);
    Duration announcementExpiry = Duration::seconds(3);
    Duration drainNotice = Duration::seconds(2); ///< How long /health answers 503 before the listeners close.
    Duration shutdownBound = Duration::seconds(30); ///< A graceful shutdown cuts off the requests that are still open after this time.
};

struct Settings {
    std::string cluster;
    HostId host;
    DataCentreId dataCentre;
    std::string dataFolder; ///< Empty: the host has no disk and no vote.
    ListenSettings listen;
    std::string operatorToken; ///< Read from its file.
    std::string peerToken; ///< Read from its file.
    std::vector<PeerSettings> peers;
    bool joins = false; ///< Joins a running cluster in place of another host; bootstraps no group.
    /// The first voters of the configuration group, which is then the only group. Empty: the first voters of each
    /// group are derived from the hosts, by GroupPlan.
    std::vector<HostId> initialVoters;
    size_t voterTarget = 3; ///< Number of voters that the group should have; only used with initialVoters.
    Duration voterLostAfter = Duration::seconds(30); ///< A voter of the configuration group that is silent for this long is replaced if there is a spare host.
    std::map<Address, Address> peerRoutes; ///< Where to dial a peer that cannot be reached at its own address (the key).
    bool dialsAllPeers = false; ///< Dials every peer, since the peers may not know this host's address.
    Duration learnerLostAfter = Duration::seconds(10);
    Duration voterCheckInterval = Duration::milliseconds(500);
    Duration maxLogFlushPause; ///< Between two syncs of one log; zero: a busy log syncs without pauses.
    Duration peerHeartbeatInterval = Duration::milliseconds(500);
    Duration peerHandshakeTimeout = Duration::seconds(2); ///< A dial that takes longer is abandoned.
    Duration maxPeerBackoff = Duration::seconds(2); ///< Longest pause between two dials of a peer.
    size_t maxPeerConnections = SIZE_MAX; ///< Open at once; each takes a file descriptor.
    bool admitNewHosts = false; ///< Accept entry hosts that are not in the settings if their cluster and peer token are right.
    LimitSettings limits;
    TimeSettings times;
};

/// All faults of a settings document; empty when it is valid. Checks across fields run only on a document that
/// matches the schema.
std::vector<DocumentFault> checkSettings(nlohmann::json const& document);

/// Thrown for a document with faults; the message lists all of them.
class DocumentError : public Error {
public:
    DocumentError(ResultCode code, std::vector<DocumentFault> faults);

    std::vector<DocumentFault> const& faults() const { return this->documentFaults; }

private:
    std::vector<DocumentFault> documentFaults;
};

/// Throws DocumentError(BadSettings), or Error for an unreadable file or token file.
Settings loadSettings(std::string const& path);

/// Precondition: checkSettings found no fault. Reads the token files; throws Error where that fails.
Settings settingsFromJson(nlohmann::json const& document);

/// The built-in settings of `serve --default`: one entry host on loopback with its disk in `folder`.
nlohmann::json defaultSettings(std::string const& folder);

/// Throws Error(BadArgument) when the file cannot be read.
std::string readTextFile(std::string const& path);

} // namespace cornelpond
