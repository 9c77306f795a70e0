#pragma once

// Serves interactive requests over HTTP: /SERVICE/... is routed to a backend server of that service, whose
// answer is passed on once it is complete. The routing decisions are made by core/routing/RequestRouter.
//
// Request headers (all optional):
//   Cornelpond-Deadline-Ms     how long the caller waits; else the service's timeout from the configuration
//   Cornelpond-Not-Repeatable  "true": runs at most once; it is not retried once it may have reached a server
//   Idempotency-Key            identifies a not-repeatable request: when the caller resends it under the same
//                              key, it gets the first answer and never runs again
//                              (docs/design/at-most-once.md). Without a key a resent request is a new one.
//   Cornelpond-Association     the association whose weight decides its fair share
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

    /// Enforces deadlines and sends hedged attempts; call every 10 to 20 ms.
    void onTick();

    /// Tries queued requests again after a server joined or slots became free.
    void onServersChanged() { this->router.onServersChanged(); }

    /// Number of the service's requests that wait for a slot.
    size_t queuedRequests(ServiceId const& service) const { return this->router.queuedRequests(service); }

    size_t openRequests() const { return this->pendingRequests.size(); }

private:
    struct PendingRequest;

    RouterOptions routerOptions(CallerEndpointOptions const& options);
    RouterHooks routerHooks();
    InteractiveRequest toInteractiveRequest(RequestId id, HttpRequest const& request) const;
    void submitClaimed(InteractiveRequest const& interactiveRequest);
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
