#include "cornelpond/app/InteractiveService.h"

#include <algorithm>

namespace cornelpond {

InteractiveService::InteractiveService(EventLoop& loop, Settings const& settings, EventSink& events, Metrics& metrics, HttpClient& client, BackendServerTable& servers,
    Random& random, StateMachineSet& taskMachines, std::function<Policy const&()> policy)
    : settings(settings)
    , events(events)
    , claimService(loop, taskMachines.add(StateMachinePart::Claims, this->claimHooks()), ClaimLimits())
    , claimClient(this->claimClientOptions(random), this->claimClientHooks(), loop)
    , endpoint(loop, events, metrics, client, servers, random, this->claimClient, std::move(policy), this->endpointOptions())
{
}

void InteractiveService::attach(Transport& givenTransport, LeaderOf givenLeaderOf)
{
    this->transport = &givenTransport;
    this->leaderOf = std::move(givenLeaderOf);
}

StateMachineHooks InteractiveService::claimHooks()
{
    StateMachineHooks hooks;
    hooks.apply = [this](LogIndex, std::string const& command) { this->claimService.applyCommand(command); };
    hooks.takeSnapshot = [this] { return this->claimService.takeSnapshot(); };
    hooks.restore = [this](std::string const& state) { this->claimService.restore(state); };
    hooks.onLeadership = [this](bool isLeader) { this->claimService.onLeadership(isLeader); };
    return hooks;
}

ClaimClientOptions InteractiveService::claimClientOptions(Random& random) const
{
    ClaimClientOptions options;
    options.self = this->settings.host;
    options.incarnation = random.next();
    options.dataCentres.push_back(this->settings.dataCentre);
    for (auto const& peer : this->settings.peers)
        options.dataCentres.push_back(peer.dataCentre);
    std::sort(options.dataCentres.begin(), options.dataCentres.end());
    options.dataCentres.erase(std::unique(options.dataCentres.begin(), options.dataCentres.end()), options.dataCentres.end());
    return options;
}

ClaimClientHooks InteractiveService::claimClientHooks()
{
    ClaimClientHooks hooks;
    hooks.candidates = [this](DataCentreId const& dataCentre) { return this->candidates(dataCentre); };
    hooks.handleHere = [this](ClaimAction const& action, ClaimService::Done const& done) { this->claimService.handle(action, done); };
    hooks.send = [this](HostId const& to, std::string bytes) {
        if (this->transport)
            this->transport->send(to, PeerMessage { PeerChannel::Claims, std::move(bytes) });
    };
    return hooks;
}

/// The data centre's hosts, its likely leader first.
std::vector<HostId> InteractiveService::candidates(DataCentreId const& dataCentre) const
{
    std::vector<HostId> hosts;
    if (dataCentre == this->settings.dataCentre)
        hosts.push_back(this->settings.host);
    for (auto const& peer : this->settings.peers) {
        if (peer.dataCentre == dataCentre)
            hosts.push_back(peer.host);
    }
    HostId const leader = this->leaderOf ? this->leaderOf(dataCentre) : HostId();
    auto const found = std::find(hosts.begin(), hosts.end(), leader);
    if (found != hosts.end())
        std::rotate(hosts.begin(), found, found + 1);
    return hosts;
}

CallerEndpointOptions InteractiveService::endpointOptions() const
{
    CallerEndpointOptions options;
    options.admission.maxRequests = this->settings.limits.maxQueuedRequests;
    options.balancer.dataCentre = this->settings.dataCentre;
    return options;
}

void InteractiveService::onPeerMessage(HostId const& from, PeerMessage const& message)
{
    try {
        this->claimClient.onMessage(from, message.payload);
    } catch (Error const& error) {
        this->events.emit(Event(EventId::InputRefused).with("code", static_cast<int>(error.code())).with("peer", from).with("reason", std::string(error.what())));
    }
}

void InteractiveService::onTick()
{
    this->claimClient.onTick();
    this->endpoint.onTick();
}

} // namespace cornelpond
