#pragma once

// Bounds extra attempts to a part of the requests, so that retries never multiply a load that the
// backend servers cannot take.
//
// Example:
//   RetryBudget retries(RetryBudgetLimits { 0.1, 10 });
//   retries.onRequest();
//   if (retries.take())
//       sendAgain();
//
// Loop thread only.

#include <algorithm>

namespace cornelpond {

struct RetryBudgetLimits {
    double tokensPerRequest = 0.1; ///< Extra attempts for each request, in the long run.
    double maxTokens = 10; ///< Extra attempts that a quiet host may make at once.
};

class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetLimits limits)
        : limits(limits)
        , tokens(limits.maxTokens)
    {
    }

    /// Counts one first attempt.
    void onRequest() { this->tokens = std::min(this->tokens + this->limits.tokensPerRequest, this->limits.maxTokens); }

    /// True when one more extra attempt may be made; it is counted.
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
