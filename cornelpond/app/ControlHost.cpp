#include "cornelpond/app/ControlHost.h"

#include "cornelpond/app/FleetMetrics.h"
#include "cornelpond/app/HostRandom.h"
#include "cornelpond/app/Listeners.h"

#include <algorithm>

namespace cornelpond {

namespace {

    constexpr Duration tickInterval = Duration::milliseconds(15); ///< For what depends on time alone, and at most this late for all else.
    constexpr size_t maxControlBodyBytes = 4 * 1024 * 1024;
    constexpr size_t maxMetricsConnections = 16;
    constexpr size_t maxIdleConnectionsPerWorker = 5; ///< For its long poll and a few orders at once.
    /// How long a call from a worker or an operator waits for a leader; the caller tries the next host after
    /// a second.
    constexpr Duration maxLeaderWait = Duration::milliseconds(800);
    constexpr Duration shutDownNotice = Duration::milliseconds(300); ///< Time for the peers to learn of the new leader.
    constexpr Duration relayUpdateInterval = Duration::milliseconds(100); ///< Short against the second that it takes to detect a broken link.
    /// Two heartbeats between control hosts, and the time by which a busy event loop may delay one.
    constexpr Duration maxRelaySilence = Duration::milliseconds(600);
    constexpr Duration leaseReserve = Duration::milliseconds(500); ///< Subtracted from the longest lease that workers grant.

    DispatchTimes dispatchTimes(FleetSettings const& settings)
    {
        DispatchTimes times;
        times.maxLease = settings.times.maxLease;
        times.leaseDuration = std::min(times.leaseDuration, settings.times.maxLease - leaseReserve);
        return times;
    }

    JobLimits jobLimits(FleetSettings const& settings)
    {
        JobLimits limits;
        limits.slowdownElsewhere = settings.placement.slowdownElsewhere;
        return limits;
    }

    HttpClientLimits workerClientLimits(DescriptorBudget const& descriptors)
    {
        HttpClientLimits limits;
        limits.maxIdlePerAddress = maxIdleConnectionsPerWorker;
        limits.maxConnections = descriptors.outgoing;
        return limits;
    }

    HttpLimits controlLimits(DescriptorBudget const& descriptors)
    {
        HttpLimits limits;
        limits.maxBodyBytes = maxControlBodyBytes;
        limits.maxConnections = descriptors.incoming;
        return limits;
    }

    HttpLimits metricsLimits()
    {
        HttpLimits limits;
        limits.maxConnections = maxMetricsConnections;
        return limits;
    }

} // namespace

ControlHost::ControlHost(EventLoop& loop, FleetSettings givenSettings, EventSink& events)
    : loop(loop)
    , settings(std::move(givenSettings))
    , events(events)
    , descriptors(divideDescriptors(this->settings.limits.availableDescriptors()))
    , random(systemEntropy())
    , hostSettings(networkSettings(this->settings, hostIdentity(this->settings, identitySuffix(this->random))))
    , client(loop, workerClientLimits(this->descriptors))
    , workerClient(loop, this->client, dispatchTimes(this->settings), this->settings.permitService)
    , orderRelay(loop, loop, this->workerClient, dispatchTimes(this->settings), this->random.next(), this->relayHooks())
    , jobService(loop, events, this->orderRelay, dispatchTimes(this->settings), jobLimits(this->settings))
    , controlApi(
          this->jobService, [this](WorkerProfile const& worker) { return this->heartbeatAddress(worker); }, [this](DataCentreId const& dataCentre) { return this->hasHosts(dataCentre); })
    , hostNetwork(loop, this->random, events, this->hostSettings, this->networkHooks())
    , controlServer(loop, controlLimits(this->descriptors), [this](HttpRequest const& request, HttpResponder const& responder) { this->handleControl(request, responder); })
    , metricsServer(loop, metricsLimits(), [this](HttpRequest const& request, HttpResponder const& responder) { this->handleMetrics(request, responder); })
    , connectionReport(events)
{
    this->hostNetwork.setReceiver(PeerChannel::Orders, [this](HostId const& from, PeerMessage const& message) { this->orderRelay.onMessage(from, message.payload); });
    this->jobService.setWorkCallback([this] { this->scheduleWork(); });
    this->jobService.attach(this->hostNetwork.openGroup(configGroupId(), "jobs", this->groupHooks()));
}

ControlHost::~ControlHost()
{
    this->loop.cancel(this->tickTimer);
    this->loop.cancel(this->workTimer);
}

StateMachineHooks ControlHost::groupHooks()
{
    StateMachineHooks hooks = this->jobService.hooks();
    auto inner = std::move(hooks.onLeadership);
    hooks.onLeadership = [this, inner = std::move(inner)](bool isLeader) {
        this->events.emit(Event(isLeader ? EventId::LeaderElected : EventId::LeaderLost).with("group", configGroupId()));
        inner(isLeader);
    };
    return hooks;
}

HostNetworkHooks ControlHost::networkHooks()
{
    HostNetworkHooks hooks;
    hooks.serveLocally = [this](ApiKind api, HttpRequest const& request, ApiAnswerCallback const& answer) { this->serveLocally(api, request, answer); };
    hooks.onPeerDown = [this](HostId const& peer) { this->orderRelay.onPeerDown(peer); };
    return hooks;
}

OrderRelayHooks ControlHost::relayHooks()
{
    OrderRelayHooks hooks;
    hooks.relayFor = [this](WorkerTarget const& worker) {
        HostId const host = this->relayChoice.relayFor(worker.id, worker.dataCentre);
        return host == this->hostSettings.host ? HostId() : host;
    };
    hooks.isReachable = [this](HostId const& host) { return this->hostNetwork.isReachable(host); };
    hooks.knowsListingChanges = [this](HostId const& host) { return this->hostNetwork.hasFeature(host, PeerFeature::ListingChanges); };
    hooks.knowsDeadlines = [this](HostId const& host) { return this->hostNetwork.hasFeature(host, PeerFeature::OrderDeadlines); };
    hooks.knowsProcesses = [this](HostId const& host) { return this->hostNetwork.hasFeature(host, PeerFeature::OrderProcesses); };
    hooks.send = [this](HostId const& to, std::string payload) { this->hostNetwork.transport().send(to, { PeerChannel::Orders, std::move(payload) }); };
    hooks.emit = [this](Event const& event) { this->events.emit(event); };
    return hooks;
}

void ControlHost::updateRelays()
{
    TimePoint const now = this->loop.now();
    if (now < this->nextRelayUpdate)
        return;
    this->nextRelayUpdate = now + relayUpdateInterval;
    std::vector<RelayHost> relays = this->hostNetwork.reachableControlHosts(maxRelaySilence);
    this->failOrdersOfLostRelays(relays);
    this->relayChoice.update(std::move(relays), this->hostNetwork.leaderOf(configGroupId()), this->jobService.scheduler().workerCount());
}

/// An order that waits at a relay which has gone silent is tried again by way of another one. Otherwise the tasks of a large
/// part of the fleet would wait until the link counts as lost.
void ControlHost::failOrdersOfLostRelays(std::vector<RelayHost> const& relays)
{
    std::set<HostId> current;
    for (auto const& relay : relays)
        current.insert(relay.host);
    for (auto const& host : this->relayHosts) {
        if (!current.count(host))
            this->orderRelay.onPeerDown(host);
    }
    this->relayHosts = std::move(current);
}

/// The control address of the host that relays the worker's orders; empty if unknown. The control port is the
/// same on all hosts.
std::string ControlHost::heartbeatAddress(WorkerProfile const& worker) const
{
    std::string const ip = this->hostNetwork.ipOf(this->relayChoice.relayFor(worker.id, worker.dataCentre));
    return ip.empty() ? ip : Address { ip, this->settings.listen.control.port }.text();
}

bool ControlHost::hasHosts(DataCentreId const& dataCentre) const
{
    auto const& hosts = this->hostNetwork.hosts().all();
    return dataCentre == this->settings.dataCentre || std::any_of(hosts.begin(), hosts.end(), [&](auto const& host) { return host.second.dataCentre == dataCentre; });
}

bool ControlHost::isFollowingLeader() const
{
    HostId const leader = this->hostNetwork.leaderOf(configGroupId());
    return !leader.empty() && leader != this->hostSettings.host && this->hostNetwork.isReachable(leader);
}

void ControlHost::start()
{
    this->hostNetwork.start();
    openListener(this->controlServer, "control", this->settings.listen.control, this->events);
    openListener(this->metricsServer, "metrics", this->settings.listen.metrics, this->events);
    this->events.emit(Event(EventId::HostStarted).with("role", "control").with("identity", this->hostSettings.host).with("dataCentre", this->settings.dataCentre).with("firstStart", static_cast<int>(this->settings.firstStart)));
    this->tick();
}

void ControlHost::tick()
{
    this->tickTimer = this->loop.after(tickInterval, [this] { this->tick(); });
    this->hostNetwork.onTick();
    this->updateRelays();
    this->jobService.onTick();
    this->connectionReport.update(this->loop.now(), this->connectionFigures());
    if (this->onShutDownComplete)
        this->finishShutDown();
}

/// At the end of the turn, so that all that arrives in it is decided and proposed together.
void ControlHost::scheduleWork()
{
    this->workTimer = this->loop.after(Duration(), [this] { this->jobService.onWork(); });
}

ConnectionFigures ControlHost::connectionFigures() const
{
    ConnectionFigures figures;
    figures.incomingOpen = this->controlServer.openConnections();
    figures.incomingBound = this->descriptors.incoming;
    figures.incomingRefused = this->controlServer.refusedConnections();
    figures.outgoingOpen = this->client.openConnections();
    figures.outgoingBound = this->descriptors.outgoing;
    figures.requestsWaiting = this->client.waitingRequests();
    figures.requestsDelayed = this->client.counters().requestsDelayed;
    figures.requestsUnsent = this->client.counters().requestsUnsent;
    figures.peersOpen = this->hostNetwork.openPeerConnections();
    figures.peersBound = this->descriptors.peers;
    return figures;
}

void ControlHost::serveLocally(ApiKind kind, HttpRequest const& request, ApiAnswerCallback const& answer)
{
    if (kind == ApiKind::Callers)
        this->controlApi.handleClient(request, answer);
    else
        this->controlApi.handle(request, answer);
}

void ControlHost::handleControl(HttpRequest const& request, HttpResponder const& responder)
{
    if (this->isFollowingLeader() && this->controlApi.acknowledgeUnchangedHeartbeat(request, [responder](HttpResponse const& response) { responder.answer(response); }))
        return;
    LeaderCallOptions options;
    options.maxWait = maxLeaderWait;
    options.maxWaitWithoutQuorum = maxLeaderWait;
    options.attemptTimeout = maxLeaderWait;
    this->hostNetwork.serveByLeader(
        configGroupId(), ApiKind::Workers, request, [responder](HttpResponse const& response) { responder.answer(response); }, options);
}

void ControlHost::handleMetrics(HttpRequest const&, HttpResponder const& responder)
{
    fillSchedulerMetrics(this->jobService.scheduler(), this->metrics);
    this->hostNetwork.fillMetrics(this->metrics);
    fillRelayMetrics(this->orderRelay, this->metrics);
    fillConnectionMetrics(this->connectionFigures(), this->metrics);
    fillLogMetrics(this->events, this->metrics);
    this->metrics.setGauge("loopTurns", static_cast<int64_t>(this->loop.turns()));
    responder.answer(metricsResponse(this->metrics));
}

void ControlHost::onSettingsChanged(FleetSettings const& changed)
{
    for (auto const& peer : seedPeers(changed))
        this->hostNetwork.addPeer(peer);
}

void ControlHost::shutDown(std::function<void()> done)
{
    if (this->onShutDownComplete)
        return;
    this->onShutDownComplete = std::move(done);
    this->shutDownEarliest = this->loop.now() + shutDownNotice;
    this->shutDownDeadline = this->loop.now() + this->settings.times.shutdownBound;
    this->events.emit(Event(EventId::HostStopping));
    this->hostNetwork.startLeaving();
}

void ControlHost::finishShutDown()
{
    TimePoint const now = this->loop.now();
    if (now < this->shutDownEarliest)
        return;
    this->controlServer.stopListening();
    this->controlServer.setClosing(true);
    size_t const openRequests = this->controlServer.openRequests();
    bool const isDone = !openRequests && this->hostNetwork.hasHandedOverLeaderships();
    if (!isDone && now < this->shutDownDeadline)
        return;
    this->events.emit(Event(EventId::HostStopped).with("cut", openRequests));
    this->onShutDownComplete();
}

} // namespace cornelpond
