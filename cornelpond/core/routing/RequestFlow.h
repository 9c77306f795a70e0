#pragma once

// The state of one admitted request: its attempts, and the decision when one of them ends. The answer of an
// attempt is used for this request only; the first usable answer is passed on, later ones are ignored.
//
// Example:
//   RequestFlow flow(request);
//   flow.addAttempt(attempt, OpenAttempt { server, now });
//   FlowDecision const decision = flow.onAttemptEnded(attempt, report, retryBudget, now);
//   if (decision.step == FlowStep::Answer)
//       passOn();
//
// Loop thread only.

#include "cornelpond/core/admission/InteractiveRequest.h"
#include "cornelpond/core/base/ResultCode.h"
#include "cornelpond/core/retry/RetryBudget.h"

#include <map>
#include <set>

namespace cornelpond {

using AttemptId = NumberId<struct AttemptIdTag>;

/// How one attempt at a backend server ended.
enum class AttemptResult {
    Answered, ///< A complete answer with a status other than 502, 503 and 504.
    Unavailable, ///< A complete answer with status 502, 503 or 504.
    ConnectFailed, ///< No byte of the request left this host.
    Broken, ///< The connection failed before the first byte of an answer, or the exchange was cancelled.
    Truncated, ///< The answer began and was incomplete or malformed.
    Silent, ///< No byte of an answer within the attempt's timeout.
    TimedOut, ///< The answer began and was incomplete at the attempt's timeout.
};

struct AttemptReport {
    AttemptResult result = AttemptResult::Answered;
    bool mayHaveRun = true;
    /// The attempt used a pooled connection, which had answered before and is closed now.
    bool isOnPooledConnection = false;

    /// True when a device on the path may have dropped its state of a pooled connection. The retry does not draw on
    /// the retry budget: it cannot multiply the load, since a connection must have answered before it goes silent,
    /// and that happens only once.
    bool isLostConnection() const { return this->isOnPooledConnection && this->result == AttemptResult::Silent; }
};

enum class FlowStep {
    Wait, ///< Another attempt is still open, or the ended one is not an open attempt of this request.
    Answer, ///< Pass this attempt's answer on to the caller.
    Retry,
    Refuse,
};

struct FlowDecision {
    FlowStep step = FlowStep::Wait;
    ResultCode code = ResultCode::Ok; ///< Of the refusal when `step` is Refuse.
};

/// One attempt that has not ended.
struct OpenAttempt {
    BackendServerId server;
    TimePoint sentAt;
    bool isHedge = false;
    bool isProbe = false;
};

class RequestFlow {
public:
    explicit RequestFlow(InteractiveRequest request);

    void addAttempt(AttemptId id, OpenAttempt attempt);
    FlowDecision onAttemptEnded(AttemptId id, AttemptReport const& report, RetryBudget& retries, TimePoint now);

    /// True when a second attempt may run beside the only open one, which has been open for `hedgeDelay`.
    bool mayHedge(TimePoint now, Duration hedgeDelay) const;

    /// Timeout of an attempt that starts now: half the time to the deadline while another attempt could follow,
    /// all of it for the last one.
    Duration attemptTimeout(TimePoint now) const;

    InteractiveRequest const& request() const { return this->interactiveRequest; }
    std::map<AttemptId, OpenAttempt> const& openAttempts() const { return this->attempts; }
    std::set<BackendServerId> const& tried() const { return this->triedServers; }
    uint32_t attemptCount() const { return this->attemptsMade; }

    /// False only while no byte of the request can have reached a backend server.
    bool mayHaveRun() const { return this->mayHaveReachedServer || !this->attempts.empty(); }

private:
    bool mayRetry(TimePoint now) const;
    ResultCode refusalCode(AttemptResult result, TimePoint now) const;

    InteractiveRequest interactiveRequest;
    std::map<AttemptId, OpenAttempt> attempts;
    std::set<BackendServerId> triedServers;
    uint32_t attemptsMade = 0;
    bool mayHaveReachedServer = false;
};

} // namespace cornelpond
