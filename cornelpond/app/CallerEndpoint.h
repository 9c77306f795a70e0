#pragma once

// Interactive requests: /SERVICE/... is routed to a backend server of that service and answered whole.
// This is the HTTP edge; the decisions are in core/routing/RequestRouter.
//
// Request headers (all optional):
//   Cornelpond-Deadline-Ms     how long the caller waits; else the service's timeout from the configuration
//   Cornelpond-Not-Repeatable  "true": runs at most once; it is never sent again by itself
//   Idempotency-Key            names a not-repeatable request: sent again under the same key it gets the
//                              first answer, never a second run (docs/design/at-most-once.md). Without a
//                              key nothing ties a request that the caller sends again to the first.
//   Cornelpond-Association     for fair shares
//   Cornelpond-Class           "urgent", "normal" or "background"
//   Cornelpond-Labels          "key=value,key=value"; without a class the configuration's priorities decide
//                              by them: above 0 is urgent, 0 normal, below 0 background
// The backend server gets Cornelpond-Remaining-Ms, the time that is left for the answer.
// A refusal is JSON with code, name, message and ran ("no" or "unknown"), and Retry-After where waiting helps.

#include "cornelpond/adapters/http/HttpClient.h"
#include "cornelpond/adapters/http/HttpServer.h"
#include "cornelpond/adapters/metrics/Metrics.h"
#include "cornelpond/app/ClaimGate.h"
#include "cornelpond/core/base/ResultCode.h"
#include "cornelpond/core/config/Policy.h"
#include "cornelpond/core/routing/RequestRouter.h"
#include "cornelpond/ports/EventSink.h"
#include "cornelpond/ports/Random.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace cornelpond {

struct CallerEndpointOptions {
    AdmissionLimits admission;
    BalancerOptions balancer;
};

class CallerEndpoint {
public:
    /// All references must outlive the endpoint.
    CallerEndpoint(EventLoop& loop, EventSink& events, Metrics& metrics, HttpClient& client, BackendServerTable& servers, Random& random,
        ClaimClient& claims, std::function<Policy const&()> policy, CallerEndpointOptions const& options);

    ~CallerEndpoint();
    CallerEndpoint(CallerEndpoint const&) = delete;
    CallerEndpoint& operator=(CallerEndpoint const&) = delete;

    void handle(HttpRequest request, HttpResponder const& responder);

    /// Deadlines and hedges; call about every 10 ms.
    void onTick();

    /// Tries queued requests again after a server joined or slots became free.
    void onServersChanged() { this->router.onServersChanged(); }

    /// Requests of the service that wait for a slot.
    size_t queuedRequests(ServiceId const& service) const { return this->router.queuedRequests(service); }

    size_t openRequests() const { return this->pendingRequests.size(); }

private:
    struct PendingRequest;

    RouterOptions routerOptions(CallerEndpointOptions const& options);
    RouterHooks routerHooks();
    InteractiveRequest toInteractiveRequest(RequestId id, HttpRequest const& request) const;
    void submitClaimed(InteractiveRequest const& described);
    void onCallerGone(RequestId id);
    void send(SendAttempt const& attempt);
    void onOutcome(AttemptId attempt, HttpOutcome const& outcome);
    void answer(RequestId id, HttpResponse const& response);
    void refuse(RequestId id, RouterRefusal const& refusal);

    EventLoop& loop;
    EventSink& events;
    Metrics& metrics;
    HttpClient& client;
    std::function<Policy const&()> policy;
    std::unordered_map<RequestId, std::unique_ptr<PendingRequest>> pendingRequests;
    std::unordered_map<AttemptId, HttpExchangeId> exchanges;
    RequestRouter router;
    ClaimGate claimGate;
    uint64_t nextRequestId = 1;
};

} // namespace cornelpond
