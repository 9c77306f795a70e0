// Short soaks with full disks, lost majorities, signals and odd messages in series.

#include "testing/soak/SoakCheck.h"

using namespace cornelpond;

// A voter whose disk had been full for two seconds wrote nothing more until it was started again; after the next full
// disk the group had no majority.
TEST_CASE("soak: promises hold while one disk after the other is full for some seconds")
{
    for (uint64_t seed : { 59, 84 })
        checkSeed(FaultSet::Outages, seed, Duration::seconds(12));
}

// 443: an unreadable row of a worker's list let an attempt be concluded while it ran. 750: a row with a number but no
// attempt acknowledged ends that the leader had not seen.
TEST_CASE("soak: seeds that failed for odd listings")
{
    for (uint64_t seed : { 443, 750 })
        checkSeed(FaultSet::Outages, seed, Duration::seconds(12));
}
