#include "cornelpond/app/EntryGateway.h"

#include "cornelpond/app/FleetMetrics.h"
#include "cornelpond/app/HostRandom.h"
#include "cornelpond/app/Listeners.h"
#include "platform/ControlApi.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cornelpond {

namespace {

    constexpr Duration tickInterval = Duration::milliseconds(50);
    constexpr Duration maxClientWait = Duration::seconds(10); ///< Also used for clients that do not say how long they wait.
    constexpr Duration answerMargin = Duration::milliseconds(250); ///< Reserved for returning the answer to the client.
    constexpr Duration attemptTimeout = Duration::milliseconds(1000); ///< Of one forwarded attempt; a commit takes about 30 ms.
    /// A leader change takes 1 to 2 s. Once no leader has been reachable for longer, waiting does not help the
    /// client.
    constexpr Duration maxLeaderlessTime = Duration::milliseconds(2500);
    /// New connections stop only after two failed readiness checks, a second apart.
    constexpr Duration drainNotice = Duration::milliseconds(2500);
    constexpr size_t maxOwnConnections = 16; ///< For readiness checks and for metrics, each.

    HttpLimits limitedTo(size_t connections)
    {
        HttpLimits limits;
        limits.maxConnections = connections;
        return limits;
    }

    /// An entry host opens no connections to workers.
    size_t callerConnections(DescriptorBudget const& descriptors)
    {
        return descriptors.incoming + descriptors.outgoing - 2 * maxOwnConnections;
    }

} // namespace

EntryGateway::EntryGateway(EventLoop& loop, FleetSettings givenSettings, EventSink& events)
    : loop(loop)
    , settings(std::move(givenSettings))
    , events(events)
    , descriptors(divideDescriptors(this->settings.limits.availableDescriptors()))
    , random(systemEntropy())
    , hostSettings(networkSettings(this->settings, hostIdentity(this->settings, std::string())))
    , hostNetwork(loop, this->random, events, this->hostSettings, this->networkHooks())
    , callerServer(loop, limitedTo(callerConnections(this->descriptors)), [this](HttpRequest const& request, HttpResponder const& responder) { this->handleCaller(request, responder); })
    , readinessServer(loop, limitedTo(maxOwnConnections), [this](HttpRequest const& request, HttpResponder const& responder) { this->handleReadiness(request, responder); })
    , metricsServer(loop, limitedTo(maxOwnConnections), [this](HttpRequest const& request, HttpResponder const& responder) { this->handleMetrics(request, responder); })
    , connectionReport(events)
    , leaderLastReachable(loop.now())
{
}

EntryGateway::~EntryGateway()
{
    this->loop.cancel(this->tickTimer);
}

HostNetworkHooks EntryGateway::networkHooks() const
{
    HostNetworkHooks hooks;
    hooks.serveLocally = [](ApiKind, HttpRequest const&, ApiAnswerCallback const& answer) { answer(refusal(ResultCode::NotLeader, "an entry host leads no group")); };
    return hooks;
}

void EntryGateway::start()
{
    this->hostNetwork.start();
    openListener(this->callerServer, "callers", this->settings.listen.callers, this->events);
    openListener(this->readinessServer, "readiness", this->settings.listen.readiness, this->events);
    openListener(this->metricsServer, "metrics", this->settings.listen.metrics, this->events);
    this->events.emit(Event(EventId::HostStarted).with("role", "entry").with("dataCentre", this->settings.dataCentre));
    this->tick();
}

void EntryGateway::tick()
{
    this->tickTimer = this->loop.after(tickInterval, [this] { this->tick(); });
    this->hostNetwork.onTick();
    if (this->isLeaderReachable())
        this->leaderLastReachable = this->loop.now();
    this->connectionReport.update(this->loop.now(), this->connectionFigures());
    if (this->onShutDownComplete)
        this->finishShutDown();
}

ConnectionFigures EntryGateway::connectionFigures() const
{
    ConnectionFigures figures;
    figures.incomingOpen = this->callerServer.openConnections();
    figures.incomingBound = callerConnections(this->descriptors);
    figures.incomingRefused = this->callerServer.refusedConnections();
    figures.peersOpen = this->hostNetwork.openPeerConnections();
    figures.peersBound = this->descriptors.peers;
    return figures;
}

bool EntryGateway::isLeaderReachable() const
{
    HostId const leader = this->hostNetwork.leaderOf(configGroupId());
    return !leader.empty() && this->hostNetwork.isReachable(leader);
}

void EntryGateway::handleCaller(HttpRequest const& request, HttpResponder const& responder)
{
    TimePoint const started = this->loop.now();
    Duration const clientWait = std::max(platform::clientTimeout(request, maxClientWait) - answerMargin, Duration());
    LeaderCallOptions options;
    options.maxWait = std::max(std::min(clientWait, maxLeaderlessTime - (started - this->leaderLastReachable)), Duration());
    options.maxWaitWithoutQuorum = options.maxWait;
    options.attemptTimeout = std::min(attemptTimeout, std::max(clientWait, answerMargin));
    options.isIdempotent = true; // Calls on a job carry its id, so that they can be repeated safely.
    HttpRequest const packed = platform::packClientCall(request);
    this->hostNetwork.serveByLeader(
        configGroupId(), ApiKind::Callers, packed,
        [this, packed, responder, started](HttpResponse const& response) {
            this->recordCall(packed, response, this->loop.now() - started);
            responder.answer(response);
        },
        options);
}

void EntryGateway::recordCall(HttpRequest const& request, HttpResponse const& response, Duration elapsed)
{
    constexpr int firstErrorStatus = 400;
    bool const isRead = request.method == "GET";
    this->metrics.count(response.status < firstErrorStatus ? "callsServed" : "callsRefused");
    this->metrics.observe("callLatency", elapsed);
    if (isRead && response.status < firstErrorStatus)
        return;
    this->events.emit(Event(response.status < firstErrorStatus ? EventId::CallForwarded : EventId::CallRefused)
                          .with("method", request.method)
                          .with("path", request.path)
                          .with("status", response.status)
                          .with("lastedMs", elapsed)
                          .with("leader", this->hostNetwork.leaderOf(configGroupId()))
                          .with("leaderAgeMs", this->loop.now() - this->leaderLastReachable));
}

void EntryGateway::handleReadiness(HttpRequest const& request, HttpResponder const& responder)
{
    if (!platform::isReadinessRequest(request))
        responder.answer(refusal(ResultCode::NotFound, "no such call"));
    else if (this->onShutDownComplete)
        responder.answer(refusal(ResultCode::ShuttingDown, "draining"));
    else if (!this->isLeaderReachable())
        responder.answer(refusal(ResultCode::NotLeader, "no leader in reach"));
    else
        responder.answer(jsonResponse(200, nlohmann::json::object()));
}

void EntryGateway::handleMetrics(HttpRequest const&, HttpResponder const& responder)
{
    this->metrics.setGauge("openCalls", static_cast<int64_t>(this->callerServer.openRequests()));
    this->hostNetwork.fillMetrics(this->metrics);
    fillConnectionMetrics(this->connectionFigures(), this->metrics);
    fillLogMetrics(this->events, this->metrics);
    responder.answer(metricsResponse(this->metrics));
}

void EntryGateway::onSettingsChanged(FleetSettings const& changed)
{
    for (auto const& peer : seedPeers(changed))
        this->hostNetwork.addPeer(peer);
}

void EntryGateway::shutDown(std::function<void()> done)
{
    if (this->onShutDownComplete)
        return;
    this->onShutDownComplete = std::move(done);
    this->drainNoticeEnd = this->loop.now() + std::min(drainNotice, this->settings.times.shutdownBound / 2);
    this->shutDownDeadline = this->loop.now() + this->settings.times.shutdownBound;
    this->events.emit(Event(EventId::HostStopping));
    this->callerServer.setClosing(true);
}

void EntryGateway::finishShutDown()
{
    TimePoint const now = this->loop.now();
    if (now < this->drainNoticeEnd)
        return;
    this->callerServer.stopListening();
    size_t const openRequests = this->callerServer.openRequests();
    if (openRequests && now < this->shutDownDeadline)
        return;
    this->events.emit(Event(EventId::HostStopped).with("cut", openRequests));
    this->onShutDownComplete();
}

} // namespace cornelpond
