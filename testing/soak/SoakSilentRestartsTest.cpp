// A short soak in which most workers go down silently, are back under their ids and are cut off soon after.

#include "testing/soak/SoakCheck.h"

using namespace cornelpond;

// Starts by the clocks of the former processes, read by the present ones, kept tasks running after they had started elsewhere.
TEST_CASE("soak: no task runs in two places while most workers restart without closing a connection and are cut off")
{
    SoakOptions options;
    options.seed = 4;
    options.faultSet = FaultSet::SilentRestarts;
    options.loadDuration = Duration::seconds(28);
    options.workerCount = 8;
    options.connections = ConnectionsOverRestart::Kept;
    checkSoak(options);
}
