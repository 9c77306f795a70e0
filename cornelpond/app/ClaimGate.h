#pragma once

// Holds a not-repeatable request with an idempotency key back until its claim is granted, and reports the
// request's end to the key's home data centre.
//
// Example:
//   if (ClaimGate::isNeeded(interactiveRequest, request))
//       gate.claim(interactiveRequest, request, hooks); // calls one hook, once
//   gate.onAnswered(id, response);
//
// Loop thread only.

#include "cornelpond/adapters/http/HttpTypes.h"
#include "cornelpond/core/claims/ClaimClient.h"
#include "cornelpond/core/routing/RequestRouter.h"
#include "cornelpond/ports/EventSink.h"

#include <functional>
#include <unordered_map>

namespace cornelpond {

struct ClaimGateHooks {
    std::function<void()> onGranted;
    std::function<void(HttpResponse const&)> onAnswered; ///< The key's stored answer.
    std::function<void(RouterRefusal const&)> onRefused;
};

class ClaimGate {
public:
    /// References must outlive the gate.
    ClaimGate(ClaimClient& client, EventSink& events)
        : client(client)
        , events(events)
    {
    }

    static bool isNeeded(InteractiveRequest const& interactiveRequest, HttpRequest const& request);

    void claim(InteractiveRequest const& interactiveRequest, HttpRequest const& request, ClaimGateHooks const& hooks);

    /// The request ran and this is its answer. Does nothing for a request without a claim.
    void onAnswered(RequestId id, HttpResponse const& response);

    /// The request ended without an answer. Does nothing for a request without a claim.
    void onEnded(RequestId id, bool mayHaveRun);

    /// True from the grant of the request's claim until its end is reported.
    bool hasClaim(RequestId id) const { return this->heldClaims.count(id) > 0; }

private:
    struct HeldClaim {
        ClaimKey key;
        ClaimId id;
    };

    void onClaimed(RequestId id, ClaimKey const& key, ClaimId const& claim, ClaimResult result, StoredAnswer const& answer, ClaimGateHooks const& hooks);

    ClaimClient& client;
    EventSink& events;
    std::unordered_map<RequestId, HeldClaim> heldClaims;
};

} // namespace cornelpond
