#include "cornelpond/core/retry/RetryBudget.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <vector>

using namespace cornelpond;

TEST_CASE("extra attempts never exceed the tokens of the requests plus maxTokens")
{
    rc::prop("in any order of requests and failures", [](std::vector<bool> const& isRequest) {
        RetryBudget budget(RetryBudgetLimits { 0.1, 3 });
        double requests = 0;
        double extraAttempts = 0;
        for (bool request : isRequest) {
            if (request) {
                budget.onRequest();
                requests++;
            } else if (budget.tryTake()) {
                extraAttempts++;
            }
            RC_ASSERT(extraAttempts <= 0.1 * requests + 3 + 1e-9);
        }
    });
}

TEST_CASE("an exhausted budget is refilled by requests, never by time")
{
    RetryBudget budget(RetryBudgetLimits { 0.5, 1 });
    CHECK(budget.tryTake());
    CHECK_FALSE(budget.tryTake());
    budget.onRequest();
    CHECK_FALSE(budget.tryTake());
    budget.onRequest();
    CHECK(budget.tryTake());
}
