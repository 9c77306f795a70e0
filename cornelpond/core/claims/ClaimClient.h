#pragma once

// The client of claims on an entry host: claims keys from the task group of the key's home data centre and
// reports how each request ended. Calls are resent until they are answered; the claim's id makes a call
// idempotent.
//
// Example:
//   ClaimClient claims(options, hooks, clock);
//   claims.begin(key, fingerprint, deadline, [&](ClaimId const& id, ClaimResult result, StoredAnswer const& answer) {
//       if (result == ClaimResult::Granted)
//           sendTheRequest(id); // and later claims.finish(key, id, answer);
//   });
//
// Loop thread only.

#include "cornelpond/core/claims/ClaimService.h"

#include <functional>
#include <map>
#include <vector>

namespace cornelpond {

struct ClaimClientOptions {
    HostId self;
    uint64_t incarnation = 0; ///< Chosen at random by each process.
    std::vector<DataCentreId> dataCentres; ///< All of the cluster, in the same list on every host.
    Duration resendAfter = Duration::milliseconds(200);
    Duration beginTimeout = Duration::seconds(2); ///< Without a reply by then, the claim ends as Unavailable.
    Duration endTimeout = Duration::seconds(30); ///< For finish, release and abandon, for which no caller waits.
    size_t maxOpenCalls = 20000; ///< At this limit `begin` ends as Full; at twice the limit other calls are dropped.
};

struct ClaimClientHooks {
    /// Hosts that may lead the data centre's group, this host included, the likely leader first.
    std::function<std::vector<HostId>(DataCentreId const&)> candidates;
    /// Sends an encoded call to another host.
    std::function<void(HostId const&, std::string)> send;
    /// Handles a call on this host.
    std::function<void(ClaimAction const&, ClaimService::Done const&)> handleLocally;
};

class ClaimClient {
public:
    using BeginCallback = std::function<void(ClaimId const& id, ClaimResult result, StoredAnswer const& answer)>;

    ClaimClient(ClaimClientOptions options, ClaimClientHooks hooks, Clock const& clock);

    /// Claims the key. Calls `callback` exactly once, possibly before this returns, with Unavailable if no
    /// leader of the home's group replied in time. The request may be sent only if the result is Granted.
    void begin(ClaimKey const& key, uint64_t fingerprint, TimePoint deadline, BeginCallback callback);

    /// Reports that the request ran, with its answer.
    void finish(ClaimKey const& key, ClaimId const& id, StoredAnswer answer);
    /// Reports that the request did not run.
    void release(ClaimKey const& key, ClaimId const& id);
    /// Reports that the request may have run.
    void abandon(ClaimKey const& key, ClaimId const& id);

    /// Handles a message from another host: `handleLocally` answers a call, a reply ends an open call. Throws
    /// Error(MalformedJson) and, for an unknown action, Error(StorageDamaged).
    void onMessage(HostId const& from, std::string_view bytes);

    /// Resends unanswered calls and ends those that timed out. To be called every 10 to 50 ms.
    void onTick();

    size_t openCalls() const { return this->calls.size(); }

private:
    struct Call {
        ClaimAction action;
        BeginCallback callback; ///< Empty for finish, release and abandon.
        TimePoint lastSentAt;
        TimePoint giveUpAt;
        size_t sendCount = 0;
    };

    void startCall(ClaimAction action, BeginCallback callback, Duration timeout);
    void sendCall(uint64_t number);
    void onReply(ClaimReply const& reply);
    void endCall(uint64_t number, ClaimResult result, StoredAnswer const& answer);

    ClaimClientOptions options;
    ClaimClientHooks hooks;
    Clock const& clock;
    std::map<uint64_t, Call> calls;
    uint64_t nextCallNumber = 1;
};

} // namespace cornelpond
