// Short soaks in which workers are restarted under their ids and cut off soon after.

#include "testing/soak/SoakCheck.h"

using namespace cornelpond;

// A lease by the clock of a worker's former process let its tasks run on after they had started elsewhere.
TEST_CASE("soak: no task runs in two places while its workers restart and are cut off")
{
    for (uint64_t seed : { 1, 2 })
        checkSeed(FaultSet::Restarts, seed, Duration::seconds(16));
}
