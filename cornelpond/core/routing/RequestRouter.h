#pragma once

// Takes interactive requests through admission, choice of a backend server, attempts, retries and
// hedges to one answer or refusal. It holds no request bytes and no connection; the adapter does.
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

struct SendAttempt {
    AttemptId attempt;
    RequestId request;
    BackendServerAnnouncement const* target = nullptr; ///< Valid during the call.
    Duration timeout; ///< For this attempt.
    Duration remaining; ///< To the request's deadline, for the backend server.
    bool needsFreshConnection = false;
};

struct RouterRefusal {
    ResultCode code = ResultCode::Ok;
    bool mayHaveRun = false;
    Duration retryAfter; ///< Zero: no advice.
    std::string message;
};

struct RouterHooks {
    std::function<void(SendAttempt const&)> send;
    std::function<void(AttemptId)> cancel; ///< The router expects no report on it.
    std::function<void(RequestId, RouterRefusal const&)> refuse;
};

struct RouterOptions {
    AdmissionLimits admission;
    BalancerOptions balancer;
    RetryBudgetLimits retries { 0.1, 10 };
    RetryBudgetLimits hedges { 0.05, 5 };
    AdmissionQueue::WeightOf weightOf = [](AssociationId const&) { return int64_t(1); };
    std::function<bool(ServiceId const&)> isHedging = [](ServiceId const&) { return false; };
    std::function<bool(ServiceId const&)> isConfigured = [](ServiceId const&) { return false; };
};

/// What the adapter does with an attempt that ended.
struct AttemptDecision {
    bool passesAnswer = false;
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

    /// An attempt that is not known any more changes nothing.
    AttemptDecision onAttemptEnded(AttemptId attempt, AttemptReport const& report);

    /// The caller has left: nothing more is sent, open attempts are cancelled.
    void onCallerGone(RequestId request);

    /// Slots may have become free or servers joined.
    void onServersChanged();

    /// Deadlines and hedges; call about every 10 ms.
    void onTick();

    size_t openRequests() const { return this->flows.size(); }
    size_t queuedRequests() const;
    size_t queuedBytes() const;

    /// Requests of the service that wait for a slot.
    size_t queuedRequests(ServiceId const& service) const;

private:
    struct Service;

    Service& serviceOf(ServiceId const& id);
    BackendChoice choose(RequestFlow const& flow, bool isHedge) const;
    bool trySend(RequestFlow& flow, bool isHedge);
    void enqueue(RequestFlow& flow);
    void refuseWithoutServer(RequestFlow const& flow);
    void dispatchQueued(ServiceId const& id);
    void recordAttemptResult(OpenAttempt const& attempt, AttemptReport const& report, ServiceId const& service);
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
