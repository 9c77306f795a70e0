#include "cornelpond/app/EntryHost.h"

#include "cornelpond/app/HostRandom.h"
#include "cornelpond/app/Listeners.h"
#include "cornelpond/core/tasks/TaskJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <string_view>

namespace cornelpond {

namespace {

    constexpr Duration tickInterval = Duration::milliseconds(20);

    constexpr char const* taskStatusPath = "/v1/tasks-status";

    /// Path prefixes of the requests that the leader of a data centre's task group serves.
    constexpr std::array<std::string_view, 6> taskPaths = { "/v1/workers/announce", "/v1/tasks", "/v1/explain/", "/v1/cancel", "/v1/drain", taskStatusPath };

    bool startsWith(std::string_view text, std::string_view prefix)
    {
        return text.substr(0, prefix.size()) == prefix;
    }

    /// Adds the field that says whether the request may have run; it did not.
    HttpResponse withNotRun(HttpResponse response)
    {
        nlohmann::json body = nlohmann::json::parse(response.body);
        body["ran"] = "no";
        response.body = body.dump();
        return response;
    }

} // namespace

EntryHost::EntryHost(EventLoop& loop, Settings givenSettings, EventSink& events)
    : loop(loop)
    , settings(std::move(givenSettings))
    , events(events)
    , random(systemEntropy())
    , client(loop, HttpClientLimits())
    , backendServers(this->settings.times.announcementExpiry)
    , commandPusher(this->client)
    , interactiveService(loop, this->settings, events, this->metrics, this->client, this->backendServers, this->random, this->taskMachines, [this]() -> Policy const& { return this->policy; })
    , scheduler(loop, events, this->taskMachines.add(StateMachinePart::Tasks, this->taskHooks()), LeaseTimes { this->settings.times.lease, this->settings.times.driftMargin },
          { [this](LeasedWorker const& worker, AnnouncementAnswer const& commands) { this->commandPusher.push(worker, commands); }, [this]() -> Policy const& { return this->policy; },
              [this] { return this->backendServers.reservedOnWorkers(); } })
    , configService(this->configMachines.add(StateMachinePart::Configuration, this->configHooks()), [this](ConfigRecord const& record) { this->hostNetwork.onConfigCommitted(record); })
    , hostNetwork(loop, this->random, events, this->settings, this->networkHooks())
    , workerApi(this->scheduler, this->settings.times.announcementExpiry, this->jsonLimits(), [this](BackendServerAnnouncement const& announcement) { this->interactiveService.onAnnouncement(announcement); })
    , taskApi(this->scheduler, this->jsonLimits(), [this] { return static_cast<bool>(this->onShutDownComplete); })
    , configApi(loop, events, this->configService, this->hostNetwork.configuration(), this->jsonLimits())
    , callerServer(loop, this->httpLimits(), [this](HttpRequest request, HttpResponder const& responder) { this->handleCaller(std::move(request), responder); })
    , workerServer(loop, this->httpLimits(), [this](HttpRequest const& request, HttpResponder const& responder) { this->handleWorker(request, responder); })
    , operatorServer(loop, this->httpLimits(), [this](HttpRequest const& request, HttpResponder const& responder) { this->handleOperator(request, responder); })
{
    this->taskMachines.attach(this->hostNetwork.openGroup(taskGroupId(this->settings.dataCentre), "tasks", this->taskMachines.hooks()));
    this->configMachines.attach(this->hostNetwork.openGroup(configGroupId(), "config", this->configMachines.hooks()));
    this->interactiveService.attach(this->hostNetwork.transport(), [this](DataCentreId const& dataCentre) { return this->hostNetwork.leaderOf(taskGroupId(dataCentre)); });
    for (auto const channel : { PeerChannel::Announcements, PeerChannel::Shares, PeerChannel::Claims })
        this->hostNetwork.setReceiver(channel, [this](HostId const& from, PeerMessage const& message) { this->interactiveService.onPeerMessage(from, message); });
    this->addHealthAndMetricsRoutes(this->workerRouter);
    this->addHealthAndMetricsRoutes(this->operatorRouter);
    this->workerApi.addRoutes(this->workerRouter);
    this->taskApi.addRoutes(this->operatorRouter);
    this->configApi.addRoutes(this->operatorRouter);
    this->operatorRouter.add("GET", "/v1/status", [this](ApiCall const& call) { this->answerStatus(call); });
    this->operatorRouter.add("GET", taskStatusPath, [this](ApiCall const& call) { call.answer(jsonResponse(200, this->taskStatus())); });
}

EntryHost::~EntryHost()
{
    this->loop.cancel(this->tickTimer);
}

StateMachineHooks EntryHost::taskHooks()
{
    StateMachineHooks hooks;
    hooks.apply = [this](LogIndex, std::string const& command) { this->scheduler.applyCommand(command); };
    hooks.takeSnapshot = [this] { return this->scheduler.takeSnapshot(); };
    hooks.restore = [this](std::string const& state) { this->scheduler.restore(state); };
    hooks.onLeadership = [this](bool isLeader) {
        this->events.emit(Event(isLeader ? EventId::LeaderElected : EventId::LeaderLost).with("group", taskGroupId(this->settings.dataCentre)));
        this->scheduler.onLeadership(isLeader);
    };
    return hooks;
}

StateMachineHooks EntryHost::configHooks()
{
    StateMachineHooks hooks;
    hooks.apply = [this](LogIndex, std::string const& command) { this->configService.applyCommand(command); };
    hooks.takeSnapshot = [this] { return this->configService.table().takeSnapshot(); };
    hooks.restore = [this](std::string const& state) { this->configService.table().restore(state); };
    hooks.onLeadership = [this](bool isLeader) {
        this->events.emit(Event(isLeader ? EventId::LeaderElected : EventId::LeaderLost).with("group", configGroupId()));
    };
    return hooks;
}

JsonLimits EntryHost::jsonLimits() const
{
    return { this->settings.limits.maxBodyBytes, this->settings.limits.maxJsonDepth };
}

HttpLimits EntryHost::httpLimits() const
{
    HttpLimits limits;
    limits.maxBodyBytes = this->settings.limits.maxBodyBytes;
    limits.maxHeaderBytes = this->settings.limits.maxHeaderBytes;
    return limits;
}

void EntryHost::start()
{
    uint16_t const peerPort = this->hostNetwork.start();
    if (peerPort)
        this->events.emit(Event(EventId::ListenerOpened).with("listener", "peers").with("address", Address { this->settings.listen.peers.ip, peerPort }.text()));
    openListener(this->callerServer, "callers", this->settings.listen.callers, this->events);
    openListener(this->workerServer, "workers", this->settings.listen.workers, this->events);
    openListener(this->operatorServer, "operators", this->settings.listen.operators, this->events);
    this->events.emit(Event(EventId::HostStarted).with("dataCentre", this->settings.dataCentre).with("cluster", this->settings.cluster));
    this->tick();
}

void EntryHost::tick()
{
    this->tickTimer = this->loop.after(tickInterval, [this] { this->tick(); });
    this->expireBackendServers();
    this->hostNetwork.onTick();
    this->interactiveService.onTick();
    this->scheduler.onTick();
    if (this->onShutDownComplete)
        this->finishShutDown();
}

void EntryHost::expireBackendServers()
{
    for (auto const& server : this->backendServers.takeExpired(this->loop.now()))
        this->events.emit(Event(EventId::BackendServerLeft).with("server", server).with("reason", "silent"));
}

void EntryHost::onConfig(ConfigRecord const& record)
{
    this->policy = policyFromJson(parseJson(record.document, JsonLimits()));
    this->scheduler.onPolicyChanged();
    this->events.emit(Event(EventId::ConfigurationInForce).with("version", record.version));
}

void EntryHost::addHealthAndMetricsRoutes(ApiRouter& router)
{
    router.add("GET", "/health", [this](ApiCall const& call) {
        call.answer(this->health());
    });
    router.add("GET", "/metrics", [this](ApiCall const& call) {
        this->metrics.setGauge("openRequests", static_cast<int64_t>(this->interactiveService.openRequests()));
        this->metrics.setGauge("startsCommitted", static_cast<int64_t>(this->scheduler.startsCommitted()));
        this->hostNetwork.fillMetrics(this->metrics);
        HttpResponse response;
        response.headers.add("Content-Type", "text/plain");
        response.body = this->metrics.text();
        call.answer(response);
    });
}

HttpResponse EntryHost::health() const
{
    if (this->onShutDownComplete)
        return refusal(ResultCode::ShuttingDown, "draining");
    if (!this->hostNetwork.configuration().isKnown())
        return refusal(ResultCode::ConfigurationMissing, "no configuration from disk or a peer yet");
    return jsonResponse(200, { { "code", 0 }, { "host", this->settings.host.value() }, { "configVersion", this->hostNetwork.configuration().current().version.value() } });
}

nlohmann::json EntryHost::hostStatus() const
{
    nlohmann::json servers = nlohmann::json::array();
    for (auto const& [id, server] : this->backendServers.all())
        servers.push_back({ { "server", id.value() }, { "service", server.lastAnnouncement.service.value() }, { "slots", server.lastAnnouncement.slots }, { "inFlight", server.inFlight } });
    return {
        { "host", this->settings.host.value() },
        { "dataCentre", this->settings.dataCentre.value() },
        { "draining", static_cast<bool>(this->onShutDownComplete) },
        { "configVersion", this->hostNetwork.configuration().current().version.value() },
        { "configKnown", this->hostNetwork.configuration().isKnown() },
        { "groups", this->hostNetwork.groupStatus() },
        { "peers", this->hostNetwork.peerStatus() },
        { "backendServers", std::move(servers) },
    };
}

nlohmann::json EntryHost::taskStatus() const
{
    nlohmann::json workers = nlohmann::json::array();
    for (auto const& [id, worker] : this->scheduler.workerTable().all()) {
        workers.push_back({ { "worker", id.value() }, { "rack", worker.lastAnnouncement.rack.value() }, { "capacity", toJson(worker.lastAnnouncement.capacity) },
            { "reserved", toJson(this->scheduler.table().reservedOn(id)) }, { "tasks", this->scheduler.table().tasksOnWorker(id).size() } });
    }
    return {
        { "tasks", this->scheduler.table().all().size() },
        { "queuedTasks", this->scheduler.table().queued().size() },
        { "workers", std::move(workers) },
    };
}

/// Answers with this host's own status and the data centre's tasks and workers. These come from the leader of
/// the task group or, without its answer, from this host's replica of the log.
void EntryHost::answerStatus(ApiCall const& call)
{
    nlohmann::json ownStatus = this->hostStatus();
    ownStatus.update(this->taskStatus());
    ownStatus["tasksFromLeader"] = this->hostNetwork.leaderOf(taskGroupId(this->settings.dataCentre)) == this->settings.host;
    HostId const leader = this->hostNetwork.leaderOf(taskGroupId(this->settings.dataCentre));
    if (leader.empty() || ownStatus["tasksFromLeader"].get<bool>()) {
        call.answer(jsonResponse(200, ownStatus));
        return;
    }
    HttpRequest request;
    request.method = "GET";
    request.path = taskStatusPath;
    this->hostNetwork.serveByLeader(taskGroupId(this->settings.dataCentre), ApiKind::Operators, request, [call, ownStatus](HttpResponse const& response) {
        nlohmann::json merged = ownStatus;
        if (response.status == 200) {
            merged.update(nlohmann::json::parse(response.body));
            merged["tasksFromLeader"] = true;
        }
        call.answer(jsonResponse(200, merged));
    });
}

HostNetworkHooks EntryHost::networkHooks()
{
    HostNetworkHooks hooks;
    hooks.serveLocally = [this](ApiKind api, HttpRequest const& request, ApiAnswerCallback const& answer) { this->serveLocally(api, request, answer); };
    hooks.onConfiguration = [this](ConfigRecord const& record) { this->onConfig(record); };
    hooks.witnessHooks = [this](DataCentreId const& dataCentre) {
        return this->witnessReplicas.try_emplace(dataCentre).first->second.hooks();
    };
    return hooks;
}

/// The group whose leader serves the request; empty for requests that every host serves itself. The query
/// parameter "dataCentre" selects another data centre than this host's.
GroupId EntryHost::groupOf(HttpRequest const& request) const
{
    if (startsWith(request.path, "/v1/config"))
        return configGroupId();
    bool const isTaskRequest = std::any_of(taskPaths.begin(), taskPaths.end(), [&](auto prefix) { return startsWith(request.path, prefix); });
    if (!isTaskRequest)
        return GroupId();
    ApiCall call;
    call.request = request;
    std::string const dataCentre = call.parameter("dataCentre");
    return taskGroupId(dataCentre.empty() ? this->settings.dataCentre : DataCentreId(dataCentre));
}

void EntryHost::routeRequest(ApiKind api, HttpRequest const& request, ApiAnswerCallback const& answer)
{
    GroupId const group = this->groupOf(request);
    // A data centre that is cut off from the leader can still read the configuration that it serves by.
    bool const isConfigRead = request.method == "GET" && group == configGroupId() && !this->hostNetwork.hasLeader(group);
    if (group.empty() || isConfigRead)
        this->serveLocally(api, request, answer);
    else
        this->hostNetwork.serveByLeader(group, api, request, answer);
}

void EntryHost::serveLocally(ApiKind api, HttpRequest const& request, ApiAnswerCallback const& answer)
{
    (api == ApiKind::Workers ? this->workerRouter : this->operatorRouter).handle(request, answer);
}

void EntryHost::handleCaller(HttpRequest request, HttpResponder const& responder)
{
    if (request.path == "/health") {
        responder.answer(this->health());
        return;
    }
    if (!this->hostNetwork.configuration().isKnown()) {
        responder.answer(withNotRun(refusal(ResultCode::ConfigurationMissing, "no configuration from disk or a peer yet")));
        return;
    }
    this->interactiveService.handle(std::move(request), responder);
}

void EntryHost::handleWorker(HttpRequest const& request, HttpResponder const& responder)
{
    this->routeRequest(ApiKind::Workers, request, [responder](HttpResponse const& response) { responder.answer(response); });
}

void EntryHost::handleOperator(HttpRequest const& request, HttpResponder const& responder)
{
    bool const isPublic = request.path == "/health" || request.path == "/metrics";
    std::string const* given = request.headers.find("Authorization");
    bool const isAllowed = isPublic || this->settings.operatorToken.empty() || (given && constantTimeEqual("Bearer " + this->settings.operatorToken, *given));
    if (!isAllowed) {
        this->events.emit(Event(EventId::InputRefused).with("code", static_cast<int>(ResultCode::BadToken)).with("path", request.path));
        responder.answer(refusal(ResultCode::BadToken, "the operator token is missing or wrong"));
        return;
    }
    this->routeRequest(ApiKind::Operators, request, [responder](HttpResponse const& response) { responder.answer(response); });
}

void EntryHost::shutDown(std::function<void()> done)
{
    if (this->onShutDownComplete)
        return;
    this->events.emit(Event(EventId::HostStopping).with("open", this->callerServer.openRequests()));
    this->onShutDownComplete = std::move(done);
    this->drainNoticeEnd = this->loop.now() + this->settings.times.drainNotice;
    this->shutDownDeadline = this->drainNoticeEnd + this->settings.times.shutdownBound;
    this->interactiveService.releaseShares();
    this->hostNetwork.startLeaving();
    for (auto* server : { &this->callerServer, &this->workerServer, &this->operatorServer })
        server->setClosing(true);
}

/// Called after the drain notice, when the load balancer has had time to see the answer of /health.
void EntryHost::stopAccepting()
{
    this->isAccepting = false;
    for (auto* server : { &this->callerServer, &this->workerServer, &this->operatorServer })
        server->stopListening();
}

void EntryHost::finishShutDown()
{
    if (this->loop.now() < this->drainNoticeEnd)
        return;
    if (this->isAccepting)
        this->stopAccepting();
    size_t const openRequests = this->callerServer.openRequests();
    bool const isDone = !openRequests && this->hostNetwork.hasHandedOverLeaderships();
    if (!isDone && this->loop.now() < this->shutDownDeadline)
        return;
    this->events.emit(Event(EventId::HostStopped).with("cut", openRequests));
    this->onShutDownComplete();
}

} // namespace cornelpond
