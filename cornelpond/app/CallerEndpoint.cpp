#include "cornelpond/app/CallerEndpoint.h"

#include "cornelpond/app/ForwardedHeaders.h"
#include "cornelpond/app/InteractiveRefusal.h"
#include "cornelpond/core/selector/Selector.h"

#include <algorithm>
#include <charconv>

namespace cornelpond {

namespace {

    constexpr int64_t maxDeadlineMs = 3600 * 1000;
    constexpr size_t maxIdempotencyKeyBytes = 255;

    ServiceId serviceOf(std::string const& path)
    {
        size_t const end = path.find('/', 1);
        return ServiceId(path.size() > 1 ? path.substr(1, end == std::string::npos ? end : end - 1) : std::string());
    }

    Duration timeoutOf(HttpRequest const& request, ServicePolicy const& policy)
    {
        std::string const* header = request.headers.find("Cornelpond-Deadline-Ms");
        if (!header)
            return policy.timeout;
        int64_t milliseconds = 0;
        char const* const end = header->data() + header->size();
        auto const parsed = std::from_chars(header->data(), end, milliseconds);
        if (parsed.ec != std::errc() || parsed.ptr != end || milliseconds < 1 || milliseconds > maxDeadlineMs)
            throw Error(ResultCode::BadHeader, "Cornelpond-Deadline-Ms: expected 1 to 3600000");
        return Duration::milliseconds(milliseconds);
    }

    bool isRepeatable(HttpRequest const& request)
    {
        std::string const* header = request.headers.find("Cornelpond-Not-Repeatable");
        if (!header || *header == "false")
            return true;
        if (*header != "true")
            throw Error(ResultCode::BadHeader, "Cornelpond-Not-Repeatable: expected 'true' or 'false'");
        return false;
    }

    /// Parses "key=value,key=value". Throws Error(BadHeader).
    Labels labelsOf(std::string const& text)
    {
        Labels labels;
        size_t start = 0;
        while (start < text.size()) {
            size_t const end = std::min(text.find(',', start), text.size());
            std::string const pair = text.substr(start, end - start);
            size_t const equals = pair.find('=');
            if (equals == std::string::npos || !isLabelWord(pair.substr(0, equals)) || !isLabelWord(pair.substr(equals + 1)))
                throw Error(ResultCode::BadHeader, "Cornelpond-Labels: expected key=value,key=value");
            labels[pair.substr(0, equals)] = pair.substr(equals + 1);
            start = end + 1;
        }
        return labels;
    }

    RequestClass classOf(HttpRequest const& request, Policy const& policy)
    {
        if (std::string const* header = request.headers.find("Cornelpond-Class")) {
            auto const found = std::find(requestClassNames.begin(), requestClassNames.end(), *header);
            if (found == requestClassNames.end())
                throw Error(ResultCode::BadHeader, "Cornelpond-Class: expected 'urgent', 'normal' or 'background'");
            return static_cast<RequestClass>(found - requestClassNames.begin());
        }
        std::string const* labels = request.headers.find("Cornelpond-Labels");
        int64_t const priority = policy.priorityOf(labels ? labelsOf(*labels) : Labels());
        if (priority == 0)
            return RequestClass::Normal;
        return priority > 0 ? RequestClass::Urgent : RequestClass::Background;
    }

    AssociationId associationOf(HttpRequest const& request)
    {
        std::string const* header = request.headers.find("Cornelpond-Association");
        if (header && !isLabelWord(*header))
            throw Error(ResultCode::BadHeader, "Cornelpond-Association: expected letters, digits or any of ._-/");
        return AssociationId(header ? *header : std::string());
    }

    void checkIdempotencyKey(HttpRequest const& request)
    {
        std::string const* key = request.headers.find("Idempotency-Key");
        if (key && (key->empty() || key->size() > maxIdempotencyKeyBytes))
            throw Error(ResultCode::BadHeader, "Idempotency-Key: expected 1 to 255 bytes");
    }

    size_t bytesOf(HttpRequest const& request)
    {
        size_t bytes = request.path.size() + request.query.size() + request.body.size();
        for (auto const& field : request.headers.all())
            bytes += field.name.size() + field.value.size();
        return bytes;
    }

    AttemptReport toReport(HttpOutcome const& outcome)
    {
        AttemptReport report;
        report.mayHaveRun = outcome.mayHaveRun;
        report.isOnPooledConnection = outcome.wasPooled;
        switch (outcome.kind) {
        case HttpOutcome::Kind::Answered:
            report.result = outcome.response.status >= 502 && outcome.response.status <= 504 ? AttemptResult::Unavailable : AttemptResult::Answered;
            break;
        case HttpOutcome::Kind::ConnectFailed:
            report.result = AttemptResult::ConnectFailed;
            break;
        case HttpOutcome::Kind::Truncated:
            report.result = AttemptResult::Truncated;
            break;
        case HttpOutcome::Kind::TimedOutBeforeResponse:
            report.result = AttemptResult::Silent;
            break;
        case HttpOutcome::Kind::TimedOutInResponse:
            report.result = AttemptResult::TimedOut;
            break;
        case HttpOutcome::Kind::ConnectionLost:
        case HttpOutcome::Kind::Cancelled:
            report.result = AttemptResult::Broken;
            break;
        }
        return report;
    }

} // namespace

struct CallerEndpoint::PendingRequest {
    HttpRequest request;
    HttpResponder responder;
    TimePoint received;
    bool wasSent = false;
};

CallerEndpoint::CallerEndpoint(EventLoop& loop, EventSink& events, Metrics& metrics, HttpClient& client, BackendServerTable& servers, Random& random,
    ClaimClient& claims, std::function<Policy const&()> policy, CallerEndpointOptions const& options)
    : loop(loop)
    , events(events)
    , metrics(metrics)
    , client(client)
    , policy(std::move(policy))
    , router(this->routerOptions(options), this->routerHooks(), events, loop, random, servers)
    , claimGate(claims, events)
{
}

CallerEndpoint::~CallerEndpoint() = default;

RouterOptions CallerEndpoint::routerOptions(CallerEndpointOptions const& options)
{
    RouterOptions result;
    result.admission = options.admission;
    result.balancer = options.balancer;
    result.weightOf = [this](AssociationId const& association) { return this->policy().association(association).weight; };
    result.isHedging = [this](ServiceId const& service) { return this->policy().service(service).hedging; };
    result.isConfigured = [this](ServiceId const& service) { return this->policy().services.count(service) > 0; };
    return result;
}

RouterHooks CallerEndpoint::routerHooks()
{
    RouterHooks hooks;
    hooks.send = [this](SendAttempt const& attempt) { this->send(attempt); };
    hooks.cancel = [this](AttemptId attempt) {
        auto const found = this->exchanges.extract(attempt);
        if (found)
            this->client.cancel(found.mapped());
    };
    hooks.refuse = [this](RequestId id, RouterRefusal const& refusal) { this->refuse(id, refusal); };
    return hooks;
}

InteractiveRequest CallerEndpoint::toInteractiveRequest(RequestId id, HttpRequest const& request) const
{
    checkIdempotencyKey(request);
    InteractiveRequest interactiveRequest;
    interactiveRequest.id = id;
    interactiveRequest.service = serviceOf(request.path);
    interactiveRequest.association = associationOf(request);
    interactiveRequest.requestClass = classOf(request, this->policy());
    interactiveRequest.receivedAt = this->loop.now();
    interactiveRequest.deadline = interactiveRequest.receivedAt + timeoutOf(request, this->policy().service(interactiveRequest.service));
    interactiveRequest.isRepeatable = isRepeatable(request);
    interactiveRequest.memoryBytes = bytesOf(request);
    return interactiveRequest;
}

void CallerEndpoint::handle(HttpRequest request, HttpResponder const& responder)
{
    RequestId const id(this->nextRequestId++);
    InteractiveRequest interactiveRequest;
    try {
        interactiveRequest = this->toInteractiveRequest(id, request);
    } catch (Error const& error) {
        this->events.emit(Event(EventId::InputRefused).with("code", static_cast<int>(error.code())).with("reason", std::string(error.what())));
        responder.answer(interactiveRefusal({ error.code(), false, Duration(), error.what() }));
        return;
    }
    this->pendingRequests.emplace(id, std::unique_ptr<PendingRequest>(new PendingRequest { std::move(request), responder, interactiveRequest.receivedAt }));
    responder.onClientDisconnected([this, id] { this->onCallerGone(id); });
    if (!ClaimGate::isNeeded(interactiveRequest, this->pendingRequests.at(id)->request)) {
        this->router.submit(interactiveRequest);
        return;
    }
    ClaimGateHooks hooks;
    hooks.onGranted = [this, interactiveRequest] { this->submitClaimed(interactiveRequest); };
    hooks.onAnswered = [this, id](HttpResponse const& response) { this->answer(id, response); };
    hooks.onRefused = [this, id](RouterRefusal const& refusal) { this->refuse(id, refusal); };
    this->claimGate.claim(interactiveRequest, this->pendingRequests.at(id)->request, hooks);
}

void CallerEndpoint::submitClaimed(InteractiveRequest const& interactiveRequest)
{
    if (this->pendingRequests.count(interactiveRequest.id))
        this->router.submit(interactiveRequest);
    else
        this->claimGate.onEnded(interactiveRequest.id, false);
}

/// A claimed request that was already sent is not cancelled: its answer is stored for a caller that resends
/// the key.
void CallerEndpoint::onCallerGone(RequestId id)
{
    auto const found = this->pendingRequests.find(id);
    if (found == this->pendingRequests.end() || (found->second->wasSent && this->claimGate.hasClaim(id)))
        return;
    this->pendingRequests.erase(found);
    this->router.onCallerGone(id);
    this->claimGate.onEnded(id, false);
}

void CallerEndpoint::send(SendAttempt const& attempt)
{
    PendingRequest& pending = *this->pendingRequests.at(attempt.request);
    pending.wasSent = true;
    HttpRequest const& request = pending.request;
    HttpRequest outgoing;
    outgoing.method = request.method;
    outgoing.path = request.path;
    outgoing.query = request.query;
    outgoing.headers = endToEndHeaders(request.headers);
    outgoing.headers.add("Cornelpond-Remaining-Ms", std::to_string(attempt.remaining.toMilliseconds()));
    outgoing.body = request.body;
    HttpSendOptions options;
    options.timeout = attempt.timeout;
    options.needsFreshConnection = attempt.needsFreshConnection;
    HttpExchangeId const exchange = this->client.send({ attempt.target->address, attempt.target->port }, outgoing, options,
        [this, id = attempt.attempt](HttpOutcome const& outcome) { this->onOutcome(id, outcome); });
    this->exchanges[attempt.attempt] = exchange;
}

void CallerEndpoint::onOutcome(AttemptId attempt, HttpOutcome const& outcome)
{
    this->exchanges.erase(attempt);
    AttemptDecision const decision = this->router.onAttemptEnded(attempt, toReport(outcome));
    if (!decision.passesAnswer)
        return;
    HttpResponse response = outcome.response;
    response.headers = endToEndHeaders(response.headers);
    this->claimGate.onAnswered(decision.request, response);
    this->answer(decision.request, response);
}

void CallerEndpoint::answer(RequestId id, HttpResponse const& response)
{
    auto const found = this->pendingRequests.extract(id);
    if (!found)
        return;
    Duration const elapsed = this->loop.now() - found.mapped()->received;
    this->metrics.count("requestsAnswered");
    this->metrics.observe("requestLatency", elapsed);
    this->events.emit(Event(EventId::RequestAnswered).with("request", id).with("status", response.status).with("ms", elapsed));
    found.mapped()->responder.answer(response);
}

void CallerEndpoint::refuse(RequestId id, RouterRefusal const& refusal)
{
    this->claimGate.onEnded(id, refusal.mayHaveRun);
    auto const found = this->pendingRequests.extract(id);
    if (!found)
        return;
    this->metrics.count("requestsRefused");
    found.mapped()->responder.answer(interactiveRefusal(refusal));
}

void CallerEndpoint::onTick()
{
    this->router.onTick();
    this->metrics.setGauge("queuedRequests", static_cast<int64_t>(this->router.queuedRequests()));
    this->metrics.setGauge("queuedBytes", static_cast<int64_t>(this->router.queuedBytes()));
}

} // namespace cornelpond
