#pragma once

// Sends requests that one process of a peer may carry out and no later one at the same address. An open connection usually ends
// with the process that accepted it, so such a request goes only over a connection on which the process has identified itself. Where
// something on the path outlives the process, a later one may read the request all the same.
// Without one, the client first asks whoever answers at the address which process it is, with a request that changes nothing.
//
// Example:
//   PeerBoundClient bound(clock, client);
//   bound.send(address, bornMs, request, { question, readBornMs }, timeout, [](PeerBoundOutcome const& outcome) {
//       if (outcome.kind == PeerBoundOutcome::Kind::OtherPeer)
//           forget(bornMs);
//   });
//
// Loop thread only.

#include "cornelpond/adapters/http/HttpClient.h"
#include "cornelpond/ports/Clock.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace cornelpond {

/// Asks a peer for its tag.
struct PeerQuestion {
    HttpRequest request; ///< Must be safe for any process at the address.
    std::function<std::optional<int64_t>(HttpOutcome const&)> readTag; ///< Nothing when the outcome does not show it.
};

struct PeerBoundOutcome {
    enum class Kind {
        Sent, ///< `exchange` is that of the request.
        OtherPeer, ///< Another process answered the question; the request was not sent.
        Unidentified, ///< The question showed no tag in time or its connection was closed, and `exchange` is its outcome; the request was not sent.
    };

    Kind kind = Kind::Unidentified;
    HttpOutcome exchange;
};

class PeerBoundClient {
public:
    using Done = std::function<void(PeerBoundOutcome const&)>;

    /// References must outlive the object and its requests.
    PeerBoundClient(Clock const& clock, HttpClient& client);

    /// Sends the request to the process with the tag. `timeout` bounds question and request together. Calls `done` exactly once,
    /// never before this returns, unless the HTTP client is destroyed first.
    void send(Address const& to, int64_t peerTag, HttpRequest const& request, PeerQuestion const& question, Duration timeout, Done done);

private:
    void sendIdentified(Address const& to, int64_t peerTag, HttpRequest const& request, TimePoint deadline, Done done);

    Clock const& clock;
    HttpClient& client;
};

} // namespace cornelpond
