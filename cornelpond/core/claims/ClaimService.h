#pragma once

// The leader's side of claims: grants a key only once its claim is committed, and answers what the
// group already knows of a key.
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
    Duration keyRetention = Duration::seconds(24 * 3600); ///< How long a key stays taken.
    size_t maxKeys = 200000;
    size_t maxAnswerBytes = 64 * 1024; ///< A longer answer is not kept.
    size_t maxTotalAnswerBytes = 64 * 1024 * 1024; ///< Of all kept answers.
};

class ClaimService {
public:
    using Done = std::function<void(ClaimResult result, StoredAnswer const& answer)>;

    /// All references must outlive the service.
    ClaimService(Clock const& clock, CommandLog& log, ClaimLimits limits);

    /// `done` is called exactly once, possibly before this returns. Granted is said only after the claim
    /// was committed, and only for the id that holds it.
    void handle(ClaimAction const& action, Done const& done);

    void applyCommand(std::string_view command) { this->claims.apply(decodeClaimCommand(command)); }
    std::string takeSnapshot() const { return this->claims.takeSnapshot(); }
    void restore(std::string_view state) { this->claims.restore(state); }
    void onLeadership(bool isLeader);

    ClaimTable const& table() const { return this->claims; }

private:
    void begin(BeginClaim action, Done const& done);
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
