#include "cornelpond/core/scheduling/CallResult.h"

namespace cornelpond {

std::string_view callResultName(CallResult result)
{
    switch (result) {
    case CallResult::Done:
        return "done";
    case CallResult::NotLeader:
        return "notLeader";
    case CallResult::Refused:
        return "refused";
    case CallResult::OutcomeUnknown:
        return "outcomeUnknown";
    case CallResult::NotFound:
        return "notFound";
    case CallResult::Cancelled:
        return "cancelled";
    }
    return "outcomeUnknown";
}

CallResult callResultOf(ResultCode code)
{
    switch (code) {
    case ResultCode::Ok:
        return CallResult::Done;
    case ResultCode::OutcomeUnknown:
        return CallResult::OutcomeUnknown;
    default:
        return CallResult::NotLeader;
    }
}

} // namespace cornelpond
