#include "cornelpond/app/InteractiveService.h"

#include "cornelpond/core/base/Json.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cornelpond {

InteractiveService::InteractiveService(EventLoop& loop, Settings const& settings, EventSink& events, Metrics& metrics, HttpClient& client, BackendServerTable& servers,
    Random& random, StateMachineSet& taskMachines, std::function<Policy const&()> policy)
    : clock(loop)
    , settings(settings)
    , events(events)
    , servers(servers)
    , claimLog(taskMachines.add(StateMachinePart::Claims, this->claimHooks()))
    , claimService(loop, this->claimLog, ClaimLimits())
    , claimClient(this->claimClientOptions(random), this->claimClientHooks(), loop)
    , shares(this->shareOptions(random), loop, events, servers, this->shareHooks())
    , callerEndpoint(loop, events, metrics, client, servers, random, this->claimClient, std::move(policy), this->endpointOptions())
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
    hooks.onLeadership = [this](bool isLeader) { this->onLeadership(isLeader); };
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
    hooks.candidates = [this](DataCentreId const& dataCentre) { return this->candidateHosts(dataCentre); };
    hooks.handleLocally = [this](ClaimAction const& action, ClaimService::Done const& done) { this->claimService.handle(action, done); };
    hooks.send = [this](HostId const& to, std::string bytes) { this->send(to, PeerChannel::Claims, std::move(bytes)); };
    return hooks;
}

SlotShareExchangeOptions InteractiveService::shareOptions(Random& random) const
{
    SlotShareExchangeOptions options;
    options.self = this->settings.host;
    options.dataCentre = this->settings.dataCentre;
    options.incarnation = random.next();
    options.hosts.push_back({ this->settings.host, this->settings.dataCentre });
    for (auto const& peer : this->settings.peers)
        options.hosts.push_back({ peer.host, peer.dataCentre });
    return options;
}

SlotShareExchangeHooks InteractiveService::shareHooks()
{
    SlotShareExchangeHooks hooks;
    hooks.ownerHost = [this] { return this->leaderOf ? this->leaderOf(this->settings.dataCentre) : HostId(); };
    hooks.send = [this](HostId const& to, std::string bytes) { this->send(to, PeerChannel::Shares, std::move(bytes)); };
    hooks.isLeadershipConfirmed = [this] { return this->claimLog.isLeader() && this->claimLog.isLeadershipConfirmed(); };
    hooks.queuedRequests = [this](ServiceId const& service) { return this->callerEndpoint.queuedRequests(service); };
    hooks.onSharesChanged = [this] { this->callerEndpoint.onServersChanged(); };
    return hooks;
}

void InteractiveService::onLeadership(bool isLeader)
{
    this->claimService.onLeadership(isLeader);
    this->shares.onLeadership(isLeader ? std::optional(this->claimLog.term()) : std::nullopt);
}

void InteractiveService::send(HostId const& to, PeerChannel channel, std::string payload)
{
    if (this->transport)
        this->transport->send(to, PeerMessage { channel, std::move(payload) });
}

void InteractiveService::onAnnouncement(BackendServerAnnouncement announcement)
{
    if (announcement.dataCentre.empty())
        announcement.dataCentre = this->settings.dataCentre;
    this->applyAnnouncement(announcement);
    std::string const encoded = toCbor(toJson(announcement));
    for (auto const& peer : this->settings.peers)
        this->send(peer.host, PeerChannel::Announcements, encoded);
}

void InteractiveService::applyAnnouncement(BackendServerAnnouncement const& announcement)
{
    bool const isLeaving = announcement.leaving && this->servers.find(announcement.server);
    if (this->servers.announce(announcement, this->clock.now())) {
        this->events.emit(Event(EventId::BackendServerJoined).with("server", announcement.server).with("service", announcement.service).with("slots", announcement.slots));
        this->callerEndpoint.onServersChanged();
    }
    if (isLeaving)
        this->events.emit(Event(EventId::BackendServerLeft).with("server", announcement.server).with("reason", "announced leaving"));
}

/// The data centre's entry hosts; the leader of its task group comes first, if known.
std::vector<HostId> InteractiveService::candidateHosts(DataCentreId const& dataCentre) const
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

CallerEndpointOptions InteractiveService::endpointOptions()
{
    CallerEndpointOptions options;
    options.admission.maxRequests = this->settings.limits.maxQueuedRequests;
    options.balancer.dataCentre = this->settings.dataCentre;
    options.balancer.slotsFor = [this](BackendServer const& server, TimePoint latestEnd) { return this->shares.slotsFor(server, latestEnd); };
    return options;
}

void InteractiveService::onPeerMessage(HostId const& from, PeerMessage const& message)
{
    try {
        this->dispatchPeerMessage(from, message);
    } catch (Error const& error) {
        this->events.emit(Event(EventId::InputRefused).with("code", static_cast<int>(error.code())).with("peer", from).with("reason", std::string(error.what())));
    }
}

void InteractiveService::dispatchPeerMessage(HostId const& from, PeerMessage const& message)
{
    if (message.channel == PeerChannel::Claims)
        this->claimClient.onMessage(from, message.payload);
    else if (message.channel == PeerChannel::Shares)
        this->shares.onMessage(from, message.payload);
    else
        this->applyAnnouncement(backendServerAnnouncementFromJson(fromCbor(message.payload)));
}

void InteractiveService::onTick()
{
    this->shares.onTick();
    this->claimClient.onTick();
    this->callerEndpoint.onTick();
}

} // namespace cornelpond
