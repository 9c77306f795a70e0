#include "cornelpond/core/routing/RequestRouter.h"

#include <algorithm>

namespace cornelpond {

namespace {

    constexpr Duration noServerRetryAfter = Duration::seconds(1);
    constexpr int64_t hedgeDelayInLatencies = 3; ///< Multiples of the service's smoothed latency.
    constexpr int64_t latencySmoothingDivisor = 16;
    constexpr Duration minHedgeDelay = Duration::milliseconds(5);

    bool isServerFault(AttemptResult result)
    {
        return result != AttemptResult::Answered;
    }

} // namespace

/// State of one service.
struct RequestRouter::Service {
    explicit Service(RouterOptions const& options)
        : queue(options.admission, options.weightOf)
        , retries(options.retries)
        , hedges(options.hedges)
    {
    }

    AdmissionQueue queue;
    RetryBudget retries;
    RetryBudget hedges;
    Duration smoothedLatency; ///< Exponentially smoothed over the answers of all servers; zero before the first.
};

RequestRouter::RequestRouter(RouterOptions givenOptions, RouterHooks hooks, EventSink& events, Clock const& clock, Random& random, BackendServerTable& servers)
    : options(std::move(givenOptions))
    , hooks(std::move(hooks))
    , events(events)
    , clock(clock)
    , servers(servers)
    , balancer(this->options.balancer, random)
{
}

RequestRouter::~RequestRouter() = default;

RequestRouter::Service& RequestRouter::serviceOf(ServiceId const& id)
{
    auto& service = this->services[id];
    if (!service)
        service = std::make_unique<Service>(this->options);
    return *service;
}

size_t RequestRouter::queuedRequests() const
{
    size_t count = 0;
    for (auto const& [id, service] : this->services)
        count += service->queue.size();
    return count;
}

size_t RequestRouter::queuedBytes() const
{
    size_t bytes = 0;
    for (auto const& [id, service] : this->services)
        bytes += service->queue.bytes();
    return bytes;
}

size_t RequestRouter::queuedRequests(ServiceId const& service) const
{
    auto const found = this->services.find(service);
    return found == this->services.end() ? 0 : found->second->queue.size();
}

void RequestRouter::submit(InteractiveRequest const& request)
{
    RequestFlow& flow = this->flows.emplace(request.id, RequestFlow(request)).first->second;
    if (this->servers.announcedServers(request.service, this->clock.now()).empty()) {
        this->refuseWithoutServer(flow);
        return;
    }
    Service& service = this->serviceOf(request.service);
    service.retries.onRequest();
    service.hedges.onRequest();
    // A new request does not overtake those already queued.
    if (service.queue.size() || !this->trySend(flow, false))
        this->enqueue(flow);
}

void RequestRouter::refuseWithoutServer(RequestFlow const& flow)
{
    ServiceId const& service = flow.request().service;
    bool const isKnown = this->servers.hasSeenService(service) || this->options.isConfigured(service);
    ResultCode const code = isKnown ? ResultCode::NoBackendServer : ResultCode::ServiceUnknown;
    this->refuse(flow, { code, flow.mayHaveRun(), isKnown ? noServerRetryAfter : Duration(), "no backend server announces '" + service.value() + "'" });
}

BackendChoice RequestRouter::choose(RequestFlow const& flow, bool isHedge) const
{
    TimePoint const now = this->clock.now();
    BalanceRequest balanceRequest;
    balanceRequest.mayProbe = flow.request().isRepeatable && !isHedge && !flow.attemptCount();
    balanceRequest.latestEnd = now + flow.attemptTimeout(now);
    balanceRequest.tried = &flow.tried();
    return this->balancer.choose(this->servers.announcedServers(flow.request().service, now), balanceRequest, now);
}

bool RequestRouter::trySend(RequestFlow& flow, bool isHedge)
{
    TimePoint const now = this->clock.now();
    InteractiveRequest const& request = flow.request();
    BackendChoice const choice = this->choose(flow, isHedge);
    if (!choice.server || (isHedge && flow.tried().count(choice.server->lastAnnouncement.server)))
        return false;
    bool const isFirst = !flow.attemptCount();
    AttemptId const attempt(this->nextAttempt++);
    SendAttempt send;
    send.attempt = attempt;
    send.request = request.id;
    send.target = &choice.server->lastAnnouncement;
    send.timeout = flow.attemptTimeout(now);
    send.remaining = request.deadline - now;
    send.needsFreshConnection = !isFirst || !request.isRepeatable;
    BackendServerId const server = choice.server->lastAnnouncement.server;
    flow.addAttempt(attempt, { server, now, isHedge, choice.isProbe });
    this->attempts.emplace(attempt, request.id);
    this->servers.addInFlight(server);
    this->events.emit(Event(EventId::RequestRouted).with("request", request.id).with("service", request.service).with("server", server).with("try", flow.attemptCount()).with("reason", choice.reason));
    this->hooks.send(send);
    return true;
}

void RequestRouter::enqueue(RequestFlow& flow)
{
    TimePoint const now = this->clock.now();
    InteractiveRequest const& request = flow.request();
    if (now >= request.deadline) {
        this->refuse(flow, { ResultCode::DeadlineExceeded, flow.mayHaveRun(), Duration(), "the deadline passed" });
        return;
    }
    AdmissionDecision const decision = this->serviceOf(request.service).queue.push(request, now);
    for (auto const& displaced : decision.displaced) {
        auto const found = this->flows.find(displaced.id);
        if (found != this->flows.end())
            this->refuse(found->second, { ResultCode::QueueFull, found->second.mayHaveRun(), decision.expectedWait, "displaced from the full admission queue by another request" });
    }
    if (decision.code == ResultCode::QueueFull)
        this->refuse(flow, { decision.code, flow.mayHaveRun(), decision.expectedWait, "the admission queue is full" });
    else if (decision.code != ResultCode::Ok)
        this->refuse(flow, { decision.code, flow.mayHaveRun(), decision.expectedWait, "the expected wait exceeds the deadline" });
}

AttemptDecision RequestRouter::onAttemptEnded(AttemptId attempt, AttemptReport const& report)
{
    auto const found = this->attempts.find(attempt);
    if (found == this->attempts.end())
        return {};
    RequestId const id = found->second;
    this->attempts.erase(found);
    RequestFlow& flow = this->flows.at(id);
    ServiceId const serviceId = flow.request().service;
    OpenAttempt const ended = flow.openAttempts().at(attempt);
    this->servers.removeInFlight(ended.server);
    this->recordAttemptResult(ended, report, serviceId);
    FlowDecision const decision = flow.onAttemptEnded(attempt, report, this->serviceOf(serviceId).retries, this->clock.now());
    AttemptDecision result { decision.step == FlowStep::Answer, id };
    if (decision.step == FlowStep::Answer) {
        this->closeRequest(id);
    } else if (decision.step == FlowStep::Refuse) {
        this->refuse(flow, { decision.code, flow.mayHaveRun(), Duration(), "the backend server failed or was too slow" });
    } else if (decision.step == FlowStep::Retry) {
        this->events.emit(Event(EventId::RequestRetried).with("request", id).with("server", ended.server));
        if (!this->trySend(flow, false))
            this->enqueue(flow);
    }
    this->dispatchQueued(serviceId);
    return result;
}

/// Updates the server's health and the service's latency; ejects or readmits the server.
void RequestRouter::recordAttemptResult(OpenAttempt const& attempt, AttemptReport const& report, ServiceId const& serviceId)
{
    TimePoint const now = this->clock.now();
    BackendServer* server = this->servers.find(attempt.server);
    if (!server)
        return;
    if (isServerFault(report.result)) {
        server->health.onFailed(report.result == AttemptResult::Silent);
        bool const isFailedProbe = attempt.isProbe && server->health.isEjected();
        bool const isNewlyFailing = !server->health.isEjected() && server->health.isFailing(this->options.balancer.health);
        if (!isFailedProbe && !(isNewlyFailing && this->balancer.mayEject(this->servers.announcedServers(serviceId, now))))
            return;
        server->health.eject(this->options.balancer.health, now);
        this->events.emit(Event(EventId::BackendServerEjected).with("server", attempt.server).with("failureRate", server->health.failureRate()));
        return;
    }
    Duration const latency = now - attempt.sentAt;
    server->health.onAnswered(latency, now);
    Service& service = this->serviceOf(serviceId);
    service.smoothedLatency = service.smoothedLatency == Duration() ? latency : service.smoothedLatency + (latency - service.smoothedLatency) / latencySmoothingDivisor;
    service.queue.onServed(latency);
    if (!server->health.isEjected())
        return;
    server->health.readmit(now);
    this->events.emit(Event(EventId::BackendServerReadmitted).with("server", attempt.server));
}

void RequestRouter::refuse(RequestFlow const& flow, RouterRefusal const& refusal)
{
    InteractiveRequest const& request = flow.request();
    this->events.emit(Event(EventId::RequestRefused).with("request", request.id).with("service", request.service).with("code", static_cast<int>(refusal.code)).with("ran", refusal.mayHaveRun ? "unknown" : "no").with("reason", refusal.message));
    RequestId const id = request.id;
    this->closeRequest(id);
    this->hooks.refuse(id, refusal);
}

/// Removes the request and cancels its open attempts.
void RequestRouter::closeRequest(RequestId request)
{
    auto const found = this->flows.find(request);
    if (found == this->flows.end())
        return;
    auto const open = found->second.openAttempts();
    this->flows.erase(found);
    for (auto const& [attempt, details] : open)
        this->closeAttempt(attempt, details);
}

void RequestRouter::closeAttempt(AttemptId attempt, OpenAttempt const& open)
{
    this->attempts.erase(attempt);
    this->servers.removeInFlight(open.server);
    this->hooks.cancel(attempt);
}

void RequestRouter::onCallerGone(RequestId request)
{
    auto const found = this->flows.find(request);
    if (found == this->flows.end())
        return;
    ServiceId const service = found->second.request().service;
    this->serviceOf(service).queue.remove(request);
    this->closeRequest(request);
    this->dispatchQueued(service);
}

void RequestRouter::dispatchQueued(ServiceId const& id)
{
    TimePoint const now = this->clock.now();
    AdmissionQueue& queue = this->serviceOf(id).queue;
    while (queue.size()) {
        BalanceRequest balanceRequest;
        balanceRequest.latestEnd = now;
        BackendChoice const choice = this->balancer.choose(this->servers.announcedServers(id, now), balanceRequest, now);
        if (!choice.server)
            return;
        auto const next = queue.pop(now);
        auto const found = this->flows.find(next->id);
        if (found == this->flows.end() || this->trySend(found->second, false))
            continue;
        // A slot is free, but not for as long as this request's attempt may take: it returns to the queue until a later tick.
        this->enqueue(found->second);
        return;
    }
}

void RequestRouter::onServersChanged()
{
    std::vector<ServiceId> serviceIds;
    for (auto const& [id, service] : this->services)
        serviceIds.push_back(id);
    for (auto const& id : serviceIds)
        this->dispatchQueued(id);
}

void RequestRouter::onTick()
{
    TimePoint const now = this->clock.now();
    for (auto const& [id, service] : this->services) {
        for (auto const& expired : service->queue.takeExpired(now)) {
            auto const found = this->flows.find(expired.id);
            if (found != this->flows.end())
                this->refuse(found->second, { ResultCode::DeadlineExceeded, found->second.mayHaveRun(), Duration(), "the deadline passed in the admission queue" });
        }
    }
    this->hedgeSlowRequests();
    this->onServersChanged();
}

void RequestRouter::hedgeSlowRequests()
{
    TimePoint const now = this->clock.now();
    std::vector<RequestId> slow;
    for (auto const& [id, flow] : this->flows) {
        ServiceId const& service = flow.request().service;
        if (!this->options.isHedging(service))
            continue;
        Duration const hedgeDelay = std::max(this->serviceOf(service).smoothedLatency * hedgeDelayInLatencies, minHedgeDelay);
        if (flow.mayHedge(now, hedgeDelay))
            slow.push_back(id);
    }
    for (RequestId const id : slow) {
        RequestFlow& flow = this->flows.at(id);
        // Queued requests take precedence over hedges.
        Service& service = this->serviceOf(flow.request().service);
        if (service.queue.size() || !service.hedges.tryTake() || !this->trySend(flow, true))
            continue;
        this->events.emit(Event(EventId::RequestHedged).with("request", id));
    }
}

} // namespace cornelpond
