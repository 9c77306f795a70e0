#include "cornelpond/app/EntryHost.h"

#include "cornelpond/core/tasks/TaskJson.h"

#include <nlohmann/json.hpp>

#include <random>

namespace cornelpond {

namespace {

    constexpr Duration tickInterval = Duration::milliseconds(20);

    uint64_t entropy()
    {
        std::random_device device;
        return (static_cast<uint64_t>(device()) << 32) | device();
    }

} // namespace

EntryHost::EntryHost(EventLoop& loop, Settings givenSettings, EventSink& events)
    : loop(loop)
    , settings(std::move(givenSettings))
    , events(events)
    , random(entropy())
    , client(loop, HttpClientLimits())
    , backendServers(this->settings.times.announcementExpiry)
    , pusher(this->client)
    , taskStorage(this->settings.dataFolder + "/tasks", events)
    , configStorage(this->settings.dataFolder + "/config", events)
    , interactive(loop, this->settings, events, this->metrics, this->client, this->backendServers, this->random, this->taskMachines, [this]() -> Policy const& { return this->policy; })
    , scheduler(loop, events, this->taskMachines.add(StateMachinePart::Tasks, this->taskHooks()), LeaseTimes { this->settings.times.lease, this->settings.times.driftMargin },
          { [this](Worker const& worker, AnnouncementAnswer const& commands) { this->pusher.push(worker, commands); }, [this]() -> Policy const& { return this->policy; },
              [this] { return this->backendServers.reservedOnWorkers(); } })
    , config(this->configMachines.add(StateMachinePart::Configuration, this->configHooks()), [this](ConfigRecord const& record) { this->onConfig(record); })
    , taskLog(this->settings.host, this->taskStorage, this->taskMachines.hooks())
    , configLog(this->settings.host, this->configStorage, this->configMachines.hooks())
    , workerApi(loop, events, this->scheduler, this->backendServers, this->settings.dataCentre, this->settings.times.announcementExpiry, this->jsonLimits(), [this] { this->interactive.onServersChanged(); })
    , taskApi(this->scheduler, this->jsonLimits(), [this] { return static_cast<bool>(this->onShutDown); })
    , configApi(loop, events, this->config, this->jsonLimits())
    , callerServer(loop, this->httpLimits(), [this](HttpRequest request, HttpResponder const& responder) { this->handleCaller(std::move(request), responder); })
    , workerServer(loop, this->httpLimits(), [this](HttpRequest const& request, HttpResponder const& responder) { this->handleWorker(request, responder); })
    , operatorServer(loop, this->httpLimits(), [this](HttpRequest const& request, HttpResponder const& responder) { this->handleOperator(request, responder); })
{
    this->taskMachines.attach(this->taskLog);
    this->configMachines.attach(this->configLog);
    this->addHealthRoute(this->workerRouter);
    this->addHealthRoute(this->operatorRouter);
    this->workerApi.addRoutes(this->workerRouter);
    this->taskApi.addRoutes(this->operatorRouter);
    this->configApi.addRoutes(this->operatorRouter);
    this->operatorRouter.add("GET", "/v1/status", [this](ApiCall const& call) { call.answer(jsonResponse(200, this->status())); });
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
        this->events.emit(Event(isLeader ? EventId::LeaderElected : EventId::LeaderLost).with("group", "tasks").with("term", this->taskLog.term()));
        this->scheduler.onLeadership(isLeader);
    };
    return hooks;
}

StateMachineHooks EntryHost::configHooks()
{
    StateMachineHooks hooks;
    hooks.apply = [this](LogIndex, std::string const& command) { this->config.applyCommand(command); };
    hooks.takeSnapshot = [this] { return this->config.table().takeSnapshot(); };
    hooks.restore = [this](std::string const& state) { this->config.table().restore(state); };
    hooks.onLeadership = [this](bool isLeader) {
        this->events.emit(Event(isLeader ? EventId::LeaderElected : EventId::LeaderLost).with("group", "config").with("term", this->configLog.term()));
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
    this->configLog.start();
    this->taskLog.start();
    auto const open = [this](HttpServer& server, std::string const& name, Address const& address) {
        uint16_t const port = server.listen(address);
        this->events.emit(Event(EventId::ListenerOpened).with("listener", name).with("address", Address { address.ip, port }.text()));
    };
    open(this->callerServer, "callers", this->settings.listen.callers);
    open(this->workerServer, "workers", this->settings.listen.workers);
    open(this->operatorServer, "operators", this->settings.listen.operators);
    this->events.emit(Event(EventId::HostStarted).with("dataCentre", this->settings.dataCentre).with("cluster", this->settings.cluster));
    this->tick();
}

void EntryHost::tick()
{
    this->tickTimer = this->loop.after(tickInterval, [this] { this->tick(); });
    this->expireBackendServers();
    this->interactive.onTick();
    this->scheduler.onTick();
    if (this->onShutDown)
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

void EntryHost::addHealthRoute(ApiRouter& router)
{
    router.add("GET", "/health", [this](ApiCall const& call) {
        if (this->onShutDown)
            call.answer(refusal(ResultCode::ShuttingDown, "draining"));
        else
            call.answer(jsonResponse(200, { { "code", 0 }, { "host", this->settings.host.value() } }));
    });
    router.add("GET", "/metrics", [this](ApiCall const& call) {
        this->metrics.setGauge("openRequests", static_cast<int64_t>(this->interactive.openRequests()));
        this->metrics.setGauge("startsCommitted", static_cast<int64_t>(this->scheduler.startsCommitted()));
        HttpResponse response;
        response.headers.add("Content-Type", "text/plain");
        response.body = this->metrics.text();
        call.answer(response);
    });
}

nlohmann::json EntryHost::status() const
{
    nlohmann::json workers = nlohmann::json::array();
    for (auto const& [id, worker] : this->scheduler.workerTable().all()) {
        workers.push_back({ { "worker", id.value() }, { "rack", worker.last.rack.value() }, { "capacity", toJson(worker.last.capacity) },
            { "reserved", toJson(this->scheduler.table().reservedOn(id)) }, { "tasks", this->scheduler.table().onWorker(id).size() } });
    }
    nlohmann::json servers = nlohmann::json::array();
    for (auto const& [id, server] : this->backendServers.all())
        servers.push_back({ { "server", id.value() }, { "service", server.last.service.value() }, { "slots", server.last.slots }, { "inFlight", server.inFlight } });
    return {
        { "host", this->settings.host.value() },
        { "dataCentre", this->settings.dataCentre.value() },
        { "draining", static_cast<bool>(this->onShutDown) },
        { "configVersion", this->config.table().current().version.value() },
        { "tasks", this->scheduler.table().all().size() },
        { "queuedTasks", this->scheduler.table().queued().size() },
        { "workers", std::move(workers) },
        { "backendServers", std::move(servers) },
    };
}

void EntryHost::handleCaller(HttpRequest request, HttpResponder const& responder)
{
    if (request.path == "/health") {
        bool const draining = static_cast<bool>(this->onShutDown);
        responder.answer(draining ? refusal(ResultCode::ShuttingDown, "draining") : jsonResponse(200, { { "code", 0 } }));
        return;
    }
    this->interactive.handle(std::move(request), responder);
}

void EntryHost::handleWorker(HttpRequest const& request, HttpResponder const& responder)
{
    this->workerRouter.handle(request, [responder](HttpResponse const& response) { responder.answer(response); });
}

void EntryHost::handleOperator(HttpRequest const& request, HttpResponder const& responder)
{
    bool const open = request.path == "/health" || request.path == "/metrics";
    std::string const* given = request.headers.find("Authorization");
    bool const allowed = open || this->settings.operatorToken.empty() || (given && constantTimeEqual("Bearer " + this->settings.operatorToken, *given));
    if (!allowed) {
        this->events.emit(Event(EventId::InputRefused).with("code", static_cast<int>(ResultCode::BadToken)).with("path", request.path));
        responder.answer(refusal(ResultCode::BadToken, "the operator token is missing or wrong"));
        return;
    }
    this->operatorRouter.handle(request, [responder](HttpResponse const& response) { responder.answer(response); });
}

void EntryHost::shutDown(std::function<void()> done)
{
    if (this->onShutDown)
        return;
    this->events.emit(Event(EventId::HostStopping).with("open", this->callerServer.openRequests()));
    this->onShutDown = std::move(done);
    this->noticeEnd = this->loop.now() + this->settings.times.drainNotice;
    this->shutDownBound = this->noticeEnd + this->settings.times.shutdownBound;
    for (auto* server : { &this->callerServer, &this->workerServer, &this->operatorServer })
        server->setClosing(true);
}

/// From now on the balancer has had time to see the health answer.
void EntryHost::stopAccepting()
{
    this->isAccepting = false;
    for (auto* server : { &this->callerServer, &this->workerServer, &this->operatorServer })
        server->stopListening();
}

void EntryHost::finishShutDown()
{
    if (this->loop.now() < this->noticeEnd)
        return;
    if (this->isAccepting)
        this->stopAccepting();
    size_t const open = this->callerServer.openRequests();
    if (open && this->loop.now() < this->shutDownBound)
        return;
    this->events.emit(Event(EventId::HostStopped).with("cut", open));
    this->onShutDown();
}

} // namespace cornelpond
