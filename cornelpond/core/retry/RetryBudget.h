#pragma once

// Retry budget: a token bucket that bounds extra attempts (retries or hedges) to a fraction of the requests,
// so that they cannot multiply the load on backend servers that are already overloaded.
//
// Example:
//   RetryBudget retries(RetryBudgetLimits { 0.1, 10 });
//   retries.onRequest();
//   if (retries.tryTake())
//       sendAgain();
//
// Loop thread only.

#include <algorithm>

namespace cornelpond {

struct RetryBudgetLimits {
    double tokensPerRequest = 0.1; ///< Extra attempts per request in the long run.
    double maxTokens = 10; ///< Extra attempts that may be made at once after enough requests without any; also the number at the start.
};

class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetLimits limits)
        : limits(limits)
        , tokens(limits.maxTokens)
    {
    }

    /// Adds the tokens that one request earns.
    void onRequest() { this->tokens = std::min(this->tokens + this->limits.tokensPerRequest, this->limits.maxTokens); }

    /// Takes a token for one extra attempt; returns false when there is none.
    bool tryTake()
    {
        if (this->tokens < 1)
            return false;
        this->tokens -= 1;
        return true;
    }

private:
    RetryBudgetLimits limits;
    double tokens;
};

} // namespace cornelpond
