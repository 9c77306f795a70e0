// Short soaks in which data centres are evacuated while hosts are killed, stopped and paused and workers are cut off.

#include "testing/soak/SoakCheck.h"

using namespace cornelpond;

TEST_CASE("soak: no task starts in a data centre whose evacuation is acknowledged")
{
    for (uint64_t seed : { 1, 2 })
        checkSeed(FaultSet::Evacuations, seed, Duration::seconds(24));
}
