#pragma once

// The server of claims on the leader of a task group: grants a key only once its claim is committed, and
// answers claims of a taken key from the group's claim table.
//
// Example:
//   ClaimService service(clock, taskMachines.add(StateMachinePart::Claims, hooks), ClaimLimits());
//   service.handle(call.action, [&](ClaimResult result, StoredAnswer const& answer) { reply(result, answer); });
//
// Loop thread only.

#include "cornelpond/core/agreement/CommandLog.h"
#include "cornelpond/core/claims/ClaimTable.h"
#include "cornelpond/ports/Clock.h"

#include <functional>

namespace cornelpond {

struct ClaimLimits {
    Duration keyRetention = Duration::seconds(24 * 3600); ///< How long a key stays taken, from its claim.
    size_t maxKeys = 200000;
    size_t maxAnswerBytes = 64 * 1024; ///< A longer answer is not kept.
    size_t maxTotalAnswerBytes = 64 * 1024 * 1024; ///< Of all kept answers together; an answer beyond it is not kept.
};

class ClaimService {
public:
    using Done = std::function<void(ClaimResult result, StoredAnswer const& answer)>;

    /// All references must outlive the service.
    ClaimService(Clock const& clock, CommandLog& log, ClaimLimits limits);

    /// Calls `done` exactly once, possibly before this returns. The result is Granted only after the claim was
    /// committed, and only for the id that holds the key.
    void handle(ClaimAction const& action, Done const& done);

    void applyCommand(std::string_view command) { this->claims.apply(decodeClaimCommand(command)); }
    std::string takeSnapshot() const { return this->claims.takeSnapshot(); }
    void restore(std::string_view state) { this->claims.restore(state); }
    void onLeadership(bool isLeader);

    ClaimTable const& table() const { return this->claims; }

private:
    void begin(BeginClaim action, Done const& done);
    /// Answers a claim by the current state of its key.
    void answerFromTable(BeginClaim const& action, Done const& done) const;
    void propose(ClaimAction action, CommandLog::Done done);
    ClaimAction withoutLargeAnswer(ClaimAction action) const;

    Clock const& clock;
    CommandLog& log;
    ClaimLimits limits;
    ClaimTable claims;
    TimePoint lastProposalAt;
};

} // namespace cornelpond
