#pragma once

// All that an entry host needs to serve interactive requests: the callers' endpoint, the claims of
// idempotency keys, the shares of backend servers' slots, and the messages about all three and about the
// servers themselves between entry hosts.
//
// Example:
//   InteractiveService interactive(loop, settings, events, metrics, client, servers, random, taskMachines, policy);
//   interactive.attach(transport, leaderOf); // with peers only
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
    /// The host that leads the task group of the data centre as far as known; empty when unknown.
    using LeaderOf = std::function<HostId(DataCentreId const&)>;

    /// All references must outlive the service. `taskMachines` gets the part Claims.
    InteractiveService(EventLoop& loop, Settings const& settings, EventSink& events, Metrics& metrics, HttpClient& client, BackendServerTable& servers, Random& random,
        StateMachineSet& taskMachines, std::function<Policy const&()> policy);

    /// Connects the service to the other entry hosts; `transport` must outlive it.
    void attach(Transport& transport, LeaderOf leaderOf);

    /// What a backend server says of itself to this host; the other hosts get it at once.
    void onAnnouncement(BackendServerAnnouncement announcement);

    /// A message of the channels Announcements, Shares and Claims.
    void onPeerMessage(HostId const& from, PeerMessage const& message);

    void handle(HttpRequest request, HttpResponder const& responder) { this->callerEndpoint.handle(std::move(request), responder); }

    /// Call every 10 to 20 ms.
    void onTick();

    /// Lets the other entry hosts have this one's slots; what is in flight keeps its own.
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
