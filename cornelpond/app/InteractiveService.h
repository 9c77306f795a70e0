#pragma once

// Serves an entry host's interactive requests: joins the callers' endpoint, the claims of idempotency keys and
// the shares of backend servers' slots, and exchanges the messages about claims, shares and backend servers
// with the other entry hosts.
//
// Example:
//   InteractiveService interactive(loop, settings, events, metrics, client, servers, random, taskMachines, policy);
//   interactive.attach(transport, leaderOf); // only with peers
//   interactive.handle(request, responder);
//
// Loop thread only.

#include "cornelpond/app/CallerEndpoint.h"
#include "cornelpond/app/Settings.h"
#include "cornelpond/app/SlotShareExchange.h"
#include "cornelpond/core/agreement/StateMachineSet.h"
#include "cornelpond/core/claims/ClaimClient.h"
#include "cornelpond/ports/Transport.h"

namespace cornelpond {

class InteractiveService {
public:
    /// The leader of the data centre's task group; empty while unknown.
    using LeaderOf = std::function<HostId(DataCentreId const&)>;

    /// All references must outlive the service. Adds the part Claims to `taskMachines`.
    InteractiveService(EventLoop& loop, Settings const& settings, EventSink& events, Metrics& metrics, HttpClient& client, BackendServerTable& servers, Random& random,
        StateMachineSet& taskMachines, std::function<Policy const&()> policy);

    /// Connects the service to the other entry hosts; `transport` must outlive it.
    void attach(Transport& transport, LeaderOf leaderOf);

    /// Handles a backend server's announcement to this host, and sends it to the other entry hosts.
    void onAnnouncement(BackendServerAnnouncement announcement);

    /// Handles a message of the channels Announcements, Shares and Claims. One that does not decode is reported as
    /// an event and dropped.
    void onPeerMessage(HostId const& from, PeerMessage const& message);

    void handle(HttpRequest request, HttpResponder const& responder) { this->callerEndpoint.handle(std::move(request), responder); }

    /// Call every 10 to 20 ms.
    void onTick();

    /// Releases this host's slots to the other entry hosts; requests in flight keep theirs.
    void releaseShares() { this->shares.releaseShares(); }

    size_t openRequests() const { return this->callerEndpoint.openRequests(); }

private:
    StateMachineHooks claimHooks();
    SlotShareExchangeOptions shareOptions(Random& random) const;
    SlotShareExchangeHooks shareHooks();
    void onLeadership(bool isLeader);
    void applyAnnouncement(BackendServerAnnouncement const& announcement);
    void send(HostId const& to, PeerChannel channel, std::string payload);
    void dispatchPeerMessage(HostId const& from, PeerMessage const& message);
    ClaimClientOptions claimClientOptions(Random& random) const;
    ClaimClientHooks claimClientHooks();
    CallerEndpointOptions endpointOptions();
    std::vector<HostId> candidateHosts(DataCentreId const& dataCentre) const;

    Clock const& clock;
    Settings const& settings;
    EventSink& events;
    BackendServerTable& servers;
    CommandLog& claimLog; ///< The claims' part of the data centre's task group.
    Transport* transport = nullptr;
    LeaderOf leaderOf;
    ClaimService claimService;
    ClaimClient claimClient;
    SlotShareExchange shares;
    CallerEndpoint callerEndpoint;
};

} // namespace cornelpond
