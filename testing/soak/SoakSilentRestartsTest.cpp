// A short soak in which most workers go down silently, are back under their ids and are cut off soon after.

#include "testing/soak/SoakCheck.h"

using namespace cornelpond;

// Starts and leases by the clocks of the former processes kept the tasks of the present ones running after they had started elsewhere:
// sent over new connections, and over connections that outlive their process.
TEST_CASE("soak: no task runs in two places while most workers restart without closing a connection and are cut off")
{
    checkSeed(FaultSet::SilentRestarts, 4, Duration::seconds(26));
}
