// Short soaks in which configurations remove queues that have jobs, and callers cancel these jobs.

#include "testing/soak/SoakCheck.h"

using namespace cornelpond;

// Each cancel of a job whose queue was removed was answered 404, and the job ran on.
TEST_CASE("soak: cancels take effect while queues are removed and added")
{
    for (uint64_t seed : { 1, 3 })
        checkSeed(FaultSet::Cancels, seed, Duration::seconds(16));
}
