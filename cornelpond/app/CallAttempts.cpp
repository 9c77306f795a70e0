#include "cornelpond/app/CallAttempts.h"

#include "cornelpond/app/Api.h"

#include <nlohmann/json.hpp>

namespace cornelpond {

namespace {

    bool hasCode(HttpResponse const& response, ResultCode code)
    {
        if (response.status != resultCodeInfo(code).httpStatus)
            return false;
        nlohmann::json const body = nlohmann::json::parse(response.body, nullptr, false);
        return body.is_object() && body.value("code", 0) == static_cast<int>(code);
    }

    /// True for an answer by which the caller takes the call as not carried out, and which depends on when it was given: an
    /// earlier attempt may have had another one. A call that is refused as invalid is so at every attempt.
    bool isNotCarriedOutNow(HttpResponse const& response)
    {
        constexpr int notFound = 404; // What the call names has been removed since.
        constexpr int tooManyRequests = 429;
        constexpr int unavailable = 503;
        return response.status == notFound || response.status == tooManyRequests || response.status == unavailable;
    }

} // namespace

CallAttempts::Next CallAttempts::onAnswer(HttpResponse const& response)
{
    bool const isUnknown = hasCode(response, ResultCode::ForwardFailed) || hasCode(response, ResultCode::OutcomeUnknown);
    this->hasUnknownOutcome |= isUnknown;
    bool const isTriedAgain = hasCode(response, ResultCode::NotLeader) || (isUnknown && this->isIdempotent);
    return isTriedAgain ? Next::TryAgain : Next::Answer;
}

HttpResponse CallAttempts::finalAnswer(HttpResponse const& last) const
{
    if (!this->isIdempotent || !this->hasUnknownOutcome || !isNotCarriedOutNow(last))
        return last;
    return refusal(ResultCode::OutcomeUnknown, "an earlier attempt got no answer and may have been carried out");
}

bool CallAttempts::isConclusive(HttpResponse const& late) const
{
    constexpr int firstServerError = 500;
    return late.status < firstServerError && this->finalAnswer(late).status == late.status;
}

} // namespace cornelpond
