#pragma once

// The settings of one entry host: who it is, where it listens, where its disk is. Read once at start.
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

/// Another entry host that this one may dial first.
struct PeerSettings {
    HostId host;
    DataCentreId dataCentre;
    Address address;
    bool hasDisk = false;
};

struct ListenSettings {
    Address callers;
    Address workers; ///< Workers and backend servers.
    Address operators;
    Address peers; ///< Port 0 with an empty IP number: no peers.
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
    Duration drainNotice = Duration::seconds(2); ///< How long health says 503 before nothing new is accepted.
    Duration shutdownBound = Duration::seconds(30); ///< After it a graceful shutdown cuts what is left.
};

struct Settings {
    std::string cluster;
    HostId host;
    DataCentreId dataCentre;
    std::string dataFolder; ///< Empty: no disk, no vote.
    ListenSettings listen;
    std::string operatorToken; ///< Read from its file.
    std::string peerToken; ///< Read from its file.
    std::vector<PeerSettings> peers;
    bool joins = false; ///< Comes to a running cluster in place of another host: it bootstraps no group.
    /// The voters of the only group at the first start; empty: the groups are planned from the hosts.
    std::vector<HostId> initialVoters;
    size_t voterTarget = 3; ///< With founders: how many voters the group is to have.
    Duration voterLostAfter = Duration::seconds(30); ///< A voter silent for so long is replaced where a spare is there.
    std::map<Address, Address> peerRoutes; ///< Where to dial a peer that cannot be reached at its own address.
    bool dialsAllPeers = false; ///< Peers may not know this host: it dials them all.
    Duration learnerLostAfter = Duration::seconds(10);
    Duration voterCheckInterval = Duration::milliseconds(500);
    Duration minLogFlushInterval; ///< Least time between two syncs of a log.
    Duration peerHeartbeatInterval = Duration::milliseconds(500);
    Duration peerHandshakeTimeout = Duration::seconds(2); ///< A dial that takes longer is given up.
    Duration maxPeerBackoff = Duration::seconds(2); ///< Longest pause between two dials.
    bool admitNewHosts = false; ///< Take entry hosts that no setting names when cluster and peer token are right.
    LimitSettings limits;
    TimeSettings times;
};

/// Every fault of a settings document: schema first, then checks across fields.
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

/// Precondition: checkSettings found nothing. Token files are read here.
Settings settingsFromJson(nlohmann::json const& document);

/// The built-in settings of `serve --default`: one entry host on loopback with its disk in `folder`.
nlohmann::json defaultSettings(std::string const& folder);

/// Throws Error(BadArgument) when the file cannot be read.
std::string readTextFile(std::string const& path);

} // namespace cornelpond
