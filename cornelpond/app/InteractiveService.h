#pragma once

// All that an entry host needs to serve interactive requests: the callers' endpoint, the claims of
// idempotency keys, and the messages about both between entry hosts.
//
// Example:
//   InteractiveService interactive(loop, settings, events, metrics, client, servers, random, taskMachines, policy);
//   interactive.attach(transport, leaderOf); // with peers only
//   interactive.handle(request, responder);
//
// Loop thread only.

#include "cornelpond/app/CallerEndpoint.h"
#include "cornelpond/app/Settings.h"
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

    /// A message of the channel Claims.
    void onPeerMessage(HostId const& from, PeerMessage const& message);

    void handle(HttpRequest request, HttpResponder const& responder) { this->endpoint.handle(std::move(request), responder); }

    /// Call every 10 to 20 ms.
    void onTick();

    void onServersChanged() { this->endpoint.onServersChanged(); }
    size_t openRequests() const { return this->endpoint.openRequests(); }

private:
    StateMachineHooks claimHooks();
    ClaimClientOptions claimClientOptions(Random& random) const;
    ClaimClientHooks claimClientHooks();
    CallerEndpointOptions endpointOptions() const;
    std::vector<HostId> candidates(DataCentreId const& dataCentre) const;

    Settings const& settings;
    EventSink& events;
    Transport* transport = nullptr;
    LeaderOf leaderOf;
    ClaimService claimService;
    ClaimClient claimClient;
    CallerEndpoint endpoint;
};

} // namespace cornelpond
