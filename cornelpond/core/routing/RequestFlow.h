#pragma once

// The state of one admitted request: its attempts, and what follows when one ends. An attempt's answer
// belongs to this request only; the first usable answer wins, late ones are ignored.
//
// Example:
//   RequestFlow flow(request);
//   flow.addAttempt(attempt, server, now, false);
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
    Answered, ///< A whole answer of any status but those below.
    Unavailable, ///< A whole answer with status 502, 503 or 504.
    ConnectFailed, ///< No byte of the request left this host.
    Broken,
    Truncated, ///< The answer began and was incomplete or malformed.
    Silent, ///< No byte of an answer within the attempt's time.
    TimedOut, ///< The answer began and was not whole in time.
};

struct AttemptReport {
    AttemptResult result = AttemptResult::Answered;
    bool mayHaveRun = true;
    /// It ran on a connection that had answered before and that is closed now.
    bool isOnPooledConnection = false;

    /// Something between the two ends may have lost track of the connection. Trying again multiplies no load:
    /// each connection must have answered before it can go silent once.
    bool isLostConnection() const { return this->isOnPooledConnection && this->result == AttemptResult::Silent; }
};

enum class FlowStep {
    Wait, ///< Another attempt is still open, or the attempt is not this request's.
    Answer, ///< Pass this attempt's answer on.
    Retry,
    Refuse,
};

struct FlowDecision {
    FlowStep step = FlowStep::Wait;
    ResultCode code = ResultCode::Ok; ///< For a refusal.
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

    /// A second attempt may run beside the open one.
    bool mayHedge(TimePoint now, Duration after) const;

    /// When to give an attempt up that starts now: earlier than the deadline while another one could follow.
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
