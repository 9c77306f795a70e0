#pragma once

// An entry host's side of claims: asks the group of the key's home data centre, wherever its leader is,
// and tells it how the request ended. Calls are sent again until answered; a claim's id makes that safe.
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
    uint64_t incarnation = 0; ///< Random for each process.
    std::vector<DataCentreId> dataCentres; ///< All of the cluster, alike on every host.
    Duration resendAfter = Duration::milliseconds(200);
    Duration beginTimeout = Duration::seconds(2); ///< Then the home counts as out of reach.
    Duration endTimeout = Duration::seconds(30); ///< For the end of a claim, which has no caller waiting.
    size_t maxOpenCalls = 20000;
};

struct ClaimClientHooks {
    /// Hosts of the data centre that may lead its group, the likely leader first; this host included.
    std::function<std::vector<HostId>(DataCentreId const&)> candidates;
    /// Sends an encoded call to another host.
    std::function<void(HostId const&, std::string)> send;
    /// Handles a call to this host.
    std::function<void(ClaimAction const&, ClaimService::Done const&)> handleLocally;
};

class ClaimClient {
public:
    using BeginCallback = std::function<void(ClaimId const& id, ClaimResult result, StoredAnswer const& answer)>;

    ClaimClient(ClaimClientOptions options, ClaimClientHooks hooks, Clock const& clock);

    /// `begun` is called exactly once, possibly before this returns; Unavailable when the home did not
    /// answer in time. Whatever else than Granted: the request must not be sent.
    void begin(ClaimKey const& key, uint64_t fingerprint, TimePoint deadline, BeginCallback begun);

    void finish(ClaimKey const& key, ClaimId const& id, StoredAnswer answer);
    void release(ClaimKey const& key, ClaimId const& id);
    void abandon(ClaimKey const& key, ClaimId const& id);

    /// A message from another host. `handleHere` answers calls; replies go to the open calls.
    void onMessage(HostId const& from, std::string_view bytes);

    /// Sends unanswered calls again; call every 10 to 50 ms.
    void onTick();

    size_t openCalls() const { return this->calls.size(); }

private:
    struct Call {
        ClaimAction action;
        BeginCallback callback; ///< Empty for the end of a claim.
        TimePoint lastSentAt;
        TimePoint giveUpAt;
        size_t sendCount = 0;
    };

    void startCall(ClaimAction action, BeginCallback begun, Duration giveUpAfter);
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
