#include "cornelpond/core/retry/RetryBudget.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <vector>

using namespace cornelpond;

TEST_CASE("extra attempts never exceed the ratio of the requests plus the reserve")
{
    rc::prop("in any order of requests and failures", [](std::vector<bool> const& isRequest) {
        RetryBudget budget(RetryBudgetLimits { 0.1, 3 });
        double requests = 0;
        double extra = 0;
        for (bool request : isRequest) {
            if (request) {
                budget.onRequest();
                requests++;
            } else if (budget.tryTake()) {
                extra++;
            }
            RC_ASSERT(extra <= 0.1 * requests + 3 + 1e-9);
        }
    });
}

TEST_CASE("a spent budget comes back with requests, never with time")
{
    RetryBudget budget(RetryBudgetLimits { 0.5, 1 });
    CHECK(budget.tryTake());
    CHECK_FALSE(budget.tryTake());
    budget.onRequest();
    CHECK_FALSE(budget.tryTake());
    budget.onRequest();
    CHECK(budget.tryTake());
}
