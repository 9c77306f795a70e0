// Orders for a worker's former process that a later one carries out before the leader has heard of it.

#include "testing/fakes/RestartSequences.h"

using namespace cornelpond;

TEST_CASE("no task runs in two places where workers are cut off before the leader has heard of their new process")
{
    RestartFaults faults;
    faults.orders.ordersOutliveProcesses = true;
    checkRestartSequences(faults);
}

TEST_CASE("no task runs in two places where a later process carries out a start seconds late")
{
    RestartFaults faults;
    faults.orders.ordersOutliveProcesses = true;
    faults.orders.lateOrderShare = 0.05;
    faults.announceInterval = Duration::milliseconds(100);
    faults.minTimeToCut = Duration::milliseconds(500);
    checkRestartSequences(faults);
}
