// Sequences of restarts, cuts and orders that are read late by other processes than those for which they were sent.

#include "testing/fakes/LaterProcessSequences.h"
#include "testing/fakes/LaterProcessBench.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace cornelpond;

namespace {

constexpr Duration second = Duration::seconds(1);

} // namespace

TEST_CASE("no sequence of restarts and cuts runs a task in two places where orders reach later processes late")
{
    rc::prop("", [] {
        SequenceFaults faults;
        faults.hasStartsInFlight = true;
        faults.orders.ordersOutliveProcesses = true;
        faults.orders.lateOrderShare = 0.05;
        faults.orders.minLateDelay = Duration::milliseconds(100);
        faults.orders.maxLateDelay = second * 3;
        RC_ASSERT(runSequence(*rc::gen::arbitrary<uint32_t>(), faults).duplicateRuns == 0U);
    });
}

TEST_CASE("no sequence of restarts, cuts and crashes of leaders runs a task in two places where starts in flight reach later processes")
{
    rc::prop("", [] {
        SequenceFaults faults;
        faults.hasStartsInFlight = true;
        faults.orders.ordersOutliveProcesses = true;
        faults.changesLeaders = true;
        RC_ASSERT(runSequence(*rc::gen::arbitrary<uint32_t>(), faults).duplicateRuns == 0U);
    });
}
