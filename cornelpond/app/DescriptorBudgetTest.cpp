#include "cornelpond/app/DescriptorBudget.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

TEST_CASE("the shares of the descriptors never exceed what the process may open")
{
    for (size_t total = 0; total < 6000; total += 7) {
        DescriptorBudget const budget = divideDescriptors(total);
        CHECK(budget.files + budget.peers + budget.incoming + budget.outgoing <= total);
    }
}

TEST_CASE("a process with few descriptors keeps some for each purpose")
{
    DescriptorBudget const budget = divideDescriptors(40);
    CHECK(budget.files >= 8);
    CHECK(budget.peers >= 8);
    CHECK(budget.incoming >= 4);
    CHECK(budget.outgoing >= 4);
}

TEST_CASE("the relays of a large fleet have a connection for each worker's long poll and one for its orders")
{
    // A leader with 4,096 descriptors, 200 of them reserved, ran out of them and could not write its log
    // (skyggni-hub-grown trouble-2), and one with 4,324 could not accept connections (schmierdienst-large scale-1).
    constexpr size_t availableDescriptors = 4324 - 200;
    constexpr size_t connectionsPerWorker = 2;
    DescriptorBudget const budget = divideDescriptors(availableDescriptors);
    constexpr size_t controlHosts = 5;
    for (size_t const workers : { 300, 1100, 3000 }) {
        // One control host may be lost; the others share the workers.
        CHECK(budget.outgoing >= workers / (controlHosts - 1) * connectionsPerWorker);
        CHECK(budget.incoming >= workers / (controlHosts - 1));
    }
    // A leader that has lost its relays reaches each of 1,100 workers itself.
    CHECK(budget.outgoing >= 1100);
    CHECK(budget.files >= 64);
}
