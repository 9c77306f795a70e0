// Short soaks in which callers keep using open connections to entry hosts that are told to end.

#include "testing/soak/SoakCheck.h"

using namespace cornelpond;

// An entry host that drained sent a second response, 400 "malformed HTTP", behind the answer to a complete request.
TEST_CASE("soak: promises hold while entry hosts end under callers that keep their connections")
{
    checkSeed(FaultSet::Outages, 4, Duration::seconds(12));
}
