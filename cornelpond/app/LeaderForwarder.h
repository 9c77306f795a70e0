#pragma once

// Forwards API requests to the host that leads a group, and passes its complete answers back.
//
// Example:
//   LeaderForwarder forwarder(loop, transport, serveHere);
//   forwarder.forward(leader, ForwardedRequest { group, ApiKind::Operators, request }, timeout, answer);
//
// Loop thread only. The receiver serves a request only while it leads the group, so that a request
// makes one hop at most.

#include "cornelpond/app/Api.h"
#include "cornelpond/core/base/Duration.h"
#include "cornelpond/core/base/Ids.h"
#include "cornelpond/ports/Timers.h"
#include "cornelpond/ports/Transport.h"

#include <functional>
#include <map>
#include <string>

namespace cornelpond {

/// The listener whose API a request came in by. Sent between hosts, so that a number's meaning must not change.
enum class ApiKind : uint8_t {
    Workers = 1,
    Operators = 2,
    Callers = 3,
};

struct ForwardedRequest {
    GroupId group; ///< The group whose leader is to serve it.
    ApiKind api = ApiKind::Operators;
    HttpRequest request; ///< Without headers; the sender has checked the token.
};

class LeaderForwarder {
public:
    /// Serves a forwarded request on this host; refuses with NotLeader when it does not lead the group.
    using Serve = std::function<void(ForwardedRequest const& request, ApiAnswerCallback const& answer)>;

    /// References must outlive the forwarder. `firstId` is random, so that a late answer to an earlier
    /// process of this host matches no request of this one.
    LeaderForwarder(Timers& timers, Transport& transport, uint64_t firstId, Serve serve);
    ~LeaderForwarder();
    LeaderForwarder(LeaderForwarder const&) = delete;
    LeaderForwarder& operator=(LeaderForwarder const&) = delete;

    /// Answers exactly once: with the leader's answer, or ForwardFailed when none came in time or the
    /// link broke, in which case the request may have been carried out.
    void forward(HostId const& leader, ForwardedRequest const& request, Duration timeout, ApiAnswerCallback answer);

    /// Drops a message that does not decode.
    void onMessage(HostId const& from, std::string const& payload);

    /// Fails the requests that wait for the peer's answer, with ForwardFailed.
    void onPeerDown(HostId const& peer);

    size_t openRequests() const { return this->pendingRequests.size(); }

private:
    struct PendingRequest {
        HostId leader;
        ApiAnswerCallback answer;
        TimerId timer;
    };

    void finish(uint64_t id, HttpResponse const& response);
    void serveRemote(HostId const& from, uint64_t id, ForwardedRequest const& request);

    Timers& timers;
    Transport& transport;
    Serve serve;
    std::map<uint64_t, PendingRequest> pendingRequests;
    uint64_t nextId;
};

} // namespace cornelpond
