#pragma once

// Carries interactive requests through admission, the choice of a backend server, attempts, retries and
// hedges until each ends in one answer or one refusal. The router holds neither the bytes of a request
// nor connections; the adapter does.
//
// Example:
//   RequestRouter router(options, hooks, events, clock, random, servers);
//   router.submit(request);                                   // calls hooks.send, or hooks.refuse
//   if (router.onAttemptEnded(attempt, report).passesAnswer)  // the adapter passes the answer on
//       responder.answer(response);
//
// Loop thread only.

#include "cornelpond/core/admission/AdmissionQueue.h"
#include "cornelpond/core/routing/Balancer.h"
#include "cornelpond/core/routing/RequestFlow.h"
#include "cornelpond/ports/Clock.h"
#include "cornelpond/ports/EventSink.h"

#include <functional>
#include <unordered_map>

namespace cornelpond {

/// An attempt for the adapter to send to a backend server.
struct SendAttempt {
    AttemptId attempt;
    RequestId request;
    BackendServerAnnouncement const* target = nullptr; ///< Valid during the call.
    Duration timeout; ///< Of this attempt.
    Duration remaining; ///< Time to the request's deadline, passed on to the backend server.
    bool needsFreshConnection = false; ///< The attempt must not use a pooled connection.
};

/// The refusal of a request.
struct RouterRefusal {
    ResultCode code = ResultCode::Ok;
    bool mayHaveRun = false;
    Duration retryAfter; ///< Delay after which the caller may retry; zero when none is advised.
    std::string message;
};

/// Calls to the adapter.
struct RouterHooks {
    std::function<void(SendAttempt const&)> send;
    std::function<void(AttemptId)> cancel; ///< The router expects no onAttemptEnded for it.
    std::function<void(RequestId, RouterRefusal const&)> refuse;
};

struct RouterOptions {
    AdmissionLimits admission;
    BalancerOptions balancer;
    RetryBudgetLimits retries { 0.1, 10 }; ///< Of each service.
    RetryBudgetLimits hedges { 0.05, 5 }; ///< Of each service.
    AdmissionQueue::WeightOf weightOf = [](AssociationId const&) { return int64_t(1); };
    /// True when slow requests of the service are hedged.
    std::function<bool(ServiceId const&)> isHedging = [](ServiceId const&) { return false; };
    /// True when the configuration names the service.
    std::function<bool(ServiceId const&)> isConfigured = [](ServiceId const&) { return false; };
};

/// What the adapter does with an attempt that ended.
struct AttemptDecision {
    bool passesAnswer = false; ///< The attempt's answer goes to the caller of `request`.
    RequestId request;
};

class RequestRouter {
public:
    /// All references must outlive the router.
    RequestRouter(RouterOptions options, RouterHooks hooks, EventSink& events, Clock const& clock, Random& random, BackendServerTable& servers);
    ~RequestRouter();
    RequestRouter(RequestRouter const&) = delete;
    RequestRouter& operator=(RequestRouter const&) = delete;

    void submit(InteractiveRequest const& request);

    /// Ignores an attempt that is no longer open.
    AttemptDecision onAttemptEnded(AttemptId attempt, AttemptReport const& report);

    /// Call when the caller has disconnected: the request is dropped and its open attempts are cancelled.
    void onCallerGone(RequestId request);

    /// Call when slots may have become free or servers may have joined; sends queued requests.
    void onServersChanged();

    /// Refuses queued requests past their deadline, hedges slow ones and sends queued ones; call about every 10 ms.
    void onTick();

    size_t openRequests() const { return this->flows.size(); }
    size_t queuedRequests() const;
    size_t queuedBytes() const;

    /// Requests of the service that wait in its admission queue for a slot.
    size_t queuedRequests(ServiceId const& service) const;

private:
    struct Service;

    Service& serviceOf(ServiceId const& id);
    BackendChoice choose(RequestFlow const& flow, bool isHedge) const;
    bool trySend(RequestFlow& flow, bool isHedge);
    void enqueue(RequestFlow& flow);
    void refuseWithoutServer(RequestFlow const& flow);
    void dispatchQueued(ServiceId const& id);
    void recordAttemptResult(OpenAttempt const& attempt, AttemptReport const& report, ServiceId const& serviceId);
    void refuse(RequestFlow const& flow, RouterRefusal const& refusal);
    void closeRequest(RequestId request);
    void closeAttempt(AttemptId attempt, OpenAttempt const& open);
    void hedgeSlowRequests();

    RouterOptions options;
    RouterHooks hooks;
    EventSink& events;
    Clock const& clock;
    BackendServerTable& servers;
    Balancer balancer;
    std::unordered_map<ServiceId, std::unique_ptr<Service>> services;
    std::unordered_map<RequestId, RequestFlow> flows;
    std::unordered_map<AttemptId, RequestId> attempts;
    uint64_t nextAttempt = 1;
};

} // namespace cornelpond
