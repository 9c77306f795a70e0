#include "cornelpond/core/routing/RequestFlow.h"

namespace cornelpond {

namespace {

    constexpr uint32_t maxAttempts = 3;

} // namespace

RequestFlow::RequestFlow(InteractiveRequest request)
    : interactiveRequest(std::move(request))
{
}

void RequestFlow::addAttempt(AttemptId id, OpenAttempt attempt)
{
    this->triedServers.insert(attempt.server);
    this->attemptsMade++;
    this->attempts.emplace(id, std::move(attempt));
}

FlowDecision RequestFlow::onAttemptEnded(AttemptId id, AttemptReport const& report, RetryBudget& retries, TimePoint now)
{
    if (!this->attempts.erase(id))
        return {};
    this->mayHaveReachedServer = this->mayHaveReachedServer || report.mayHaveRun;
    bool const isAnswer = report.result == AttemptResult::Answered;
    bool const isComplete = isAnswer || report.result == AttemptResult::Unavailable;
    if (isAnswer)
        return { FlowStep::Answer, ResultCode::Ok };
    if (!this->attempts.empty())
        return {};
    if (this->mayRetry(now) && (report.isLostConnection() || retries.tryTake()))
        return { FlowStep::Retry, ResultCode::Ok };
    if (isComplete)
        return { FlowStep::Answer, ResultCode::Ok };
    return { FlowStep::Refuse, this->refusalCode(report.result, now) };
}

bool RequestFlow::mayRetry(TimePoint now) const
{
    return this->attemptsMade < maxAttempts && now < this->interactiveRequest.deadline && (this->interactiveRequest.isRepeatable || !this->mayHaveReachedServer);
}

ResultCode RequestFlow::refusalCode(AttemptResult result, TimePoint now) const
{
    if (!this->interactiveRequest.isRepeatable && this->mayHaveReachedServer)
        return ResultCode::OutcomeUnknown;
    if (now >= this->interactiveRequest.deadline || result == AttemptResult::Silent || result == AttemptResult::TimedOut)
        return ResultCode::DeadlineExceeded;
    return result == AttemptResult::Truncated ? ResultCode::TruncatedAnswer : ResultCode::BackendServerFailed;
}

bool RequestFlow::mayHedge(TimePoint now, Duration hedgeDelay) const
{
    if (!this->interactiveRequest.isRepeatable || this->attempts.size() != 1 || this->attemptsMade >= maxAttempts)
        return false;
    return now < this->interactiveRequest.deadline && now - this->attempts.begin()->second.sentAt >= hedgeDelay;
}

Duration RequestFlow::attemptTimeout(TimePoint now) const
{
    Duration const left = this->interactiveRequest.deadline - now;
    bool const isLast = !this->interactiveRequest.isRepeatable || this->attemptsMade + 1 >= maxAttempts;
    return isLast ? left : left / 2;
}

} // namespace cornelpond
