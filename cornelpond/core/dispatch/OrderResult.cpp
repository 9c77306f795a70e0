#include "cornelpond/ports/WorkerOrders.h"

namespace cornelpond {

std::string_view orderResultName(OrderResult result)
{
    switch (result) {
    case OrderResult::Accepted:
        return "accepted";
    case OrderResult::RefusedEpoch:
        return "refusedEpoch";
    case OrderResult::RefusedOld:
        return "refusedOld";
    case OrderResult::RefusedLate:
        return "refusedLate";
    case OrderResult::RefusedRoom:
        return "refusedRoom";
    case OrderResult::RefusedPermit:
        return "refusedPermit";
    case OrderResult::NotDone:
        return "notDone";
    case OrderResult::Invalid:
        return "invalid";
    case OrderResult::OtherLife:
        return "otherLife";
    case OrderResult::Unknown:
        return "unknown";
    case OrderResult::NotSent:
        return "notSent";
    case OrderResult::OtherProcess:
        return "otherProcess";
    }
    return "unknown";
}

std::string_view stopWayName(StopWay way)
{
    switch (way) {
    case StopWay::Usual:
        return "usual";
    case StopWay::OtherRoute:
        return "otherRoute";
    case StopWay::RenewalConnection:
        return "renewalConnection";
    }
    return "unknown";
}

} // namespace cornelpond
