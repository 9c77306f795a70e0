// Short soaks in which jobs with tasks that last are cancelled before, amid and after a round of overlapping faults.

#include "testing/soak/SoakCheck.h"

using namespace cornelpond;

// A task of a cancelled job ran on after faults.
TEST_CASE("soak: no task of a cancelled job runs on after a round of overlapping faults")
{
    for (uint64_t seed : { 1, 2 }) {
        SoakOptions options;
        options.seed = seed;
        options.faultSet = FaultSet::CancelledRuns;
        options.loadDuration = Duration::seconds(7);
        options.controlHostCount = 5;
        options.workerCount = 12;
        checkSoak(options);
    }
}
