#pragma once

// What the answers to the attempts of one call prove: whether it is tried again, and which answer is true of all attempts.
//
// Example:
//   CallAttempts attempts(isIdempotent);
//   if (attempts.onAnswer(response) == CallAttempts::Next::TryAgain)
//       return tryAgainOr([&] { answer(attempts.finalAnswer(refusal)); });
//   answer(attempts.finalAnswer(response));

#include "cornelpond/adapters/http/HttpTypes.h"

namespace cornelpond {

class CallAttempts {
public:
    enum class Next {
        Answer,
        TryAgain,
    };

    /// `isIdempotent`: carrying the call out twice does no harm.
    explicit CallAttempts(bool isIdempotent)
        : isIdempotent(isIdempotent)
    {
    }

    /// Takes note of the answer to an attempt.
    Next onAnswer(HttpResponse const& response);

    /// The answer to the call when `last` is the one to its last attempt. An idempotent call of which an earlier attempt may
    /// have been carried out is not answered as one that was not, but with OutcomeUnknown.
    HttpResponse finalAnswer(HttpResponse const& last) const;

    /// True for a late answer, to an attempt after which others were made, that holds whatever the others bring.
    bool isConclusive(HttpResponse const& late) const;

private:
    bool isIdempotent;
    bool hasUnknownOutcome = false;
};

} // namespace cornelpond
