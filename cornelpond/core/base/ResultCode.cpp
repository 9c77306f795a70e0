#include "cornelpond/core/base/ResultCode.h"

#include <array>

namespace cornelpond {

namespace {

    constexpr std::array codeTable = {
        ResultCodeInfo { ResultCode::Ok, "Ok", 200, "Done." },
        ResultCodeInfo { ResultCode::MalformedJson, "MalformedJson", 400, "The body is not JSON; the message gives the byte position." },
        ResultCodeInfo { ResultCode::SchemaViolation, "SchemaViolation", 422, "The JSON has an unknown key, a wrong type or an impossible value; each fault has a JSON pointer." },
        ResultCodeInfo { ResultCode::BadSelector, "BadSelector", 422, "A label or selector does not parse; the message gives the position." },
        ResultCodeInfo { ResultCode::BodyTooLarge, "BodyTooLarge", 413, "The body or a header exceeds the limit from the settings." },
        ResultCodeInfo { ResultCode::InvalidUtf8, "InvalidUtf8", 400, "The text is not valid UTF-8." },
        ResultCodeInfo { ResultCode::JsonTooDeep, "JsonTooDeep", 400, "The JSON nests deeper than allowed." },
        ResultCodeInfo { ResultCode::BadToken, "BadToken", 401, "The operator or peer token is missing or wrong; nothing was changed." },
        ResultCodeInfo { ResultCode::NotFound, "NotFound", 404, "No such task, version, host or path." },
        ResultCodeInfo { ResultCode::MethodNotAllowed, "MethodNotAllowed", 405, "The path exists but not with this method." },
        ResultCodeInfo { ResultCode::BadSettings, "BadSettings", 422, "The settings file is invalid; nothing was started." },
        ResultCodeInfo { ResultCode::BadHeader, "BadHeader", 400, "A request header has an unusable value." },
        ResultCodeInfo { ResultCode::BadArgument, "BadArgument", 400, "A command-line or query argument is missing or unusable." },
        ResultCodeInfo { ResultCode::VersionConflict, "VersionConflict", 409, "Another change was committed first; the answer holds the version in force." },
        ResultCodeInfo { ResultCode::IdConflict, "IdConflict", 409, "The id was used before with other content." },
        ResultCodeInfo { ResultCode::NotLeader, "NotLeader", 503, "This host does not lead the group and has found no leader; try again." },
        ResultCodeInfo { ResultCode::ShuttingDown, "ShuttingDown", 503, "The host is draining and accepts no new work." },
        ResultCodeInfo { ResultCode::NoQuorum, "NoQuorum", 503, "No majority of the group's voters is reachable; nothing was changed." },
        ResultCodeInfo { ResultCode::StaleEpoch, "StaleEpoch", 409, "The message comes from a deposed leader or an ended attempt." },
        ResultCodeInfo { ResultCode::QuotaExceeded, "QuotaExceeded", 429, "The association's quota does not allow it." },
        ResultCodeInfo { ResultCode::TaskEnded, "TaskEnded", 409, "The task has already ended." },
        ResultCodeInfo { ResultCode::IdRetired, "IdRetired", 410, "The id belonged to a task that ended and whose record was removed; nothing was run." },
        ResultCodeInfo { ResultCode::NoBackendServer, "NoBackendServer", 503, "No backend server of the service is usable; the request did not run." },
        ResultCodeInfo { ResultCode::QueueFull, "QueueFull", 503, "The admission queue is full; the request did not run." },
        ResultCodeInfo { ResultCode::DeadlineUnmeetable, "DeadlineUnmeetable", 503, "The expected wait exceeds the deadline; the request did not run." },
        ResultCodeInfo { ResultCode::DeadlineExceeded, "DeadlineExceeded", 504, "The deadline passed; the answer says whether the request may have run." },
        ResultCodeInfo { ResultCode::BackendServerFailed, "BackendServerFailed", 502, "The backend server could not be reached or closed the connection; the answer says whether the request may have run." },
        ResultCodeInfo { ResultCode::TruncatedAnswer, "TruncatedAnswer", 502, "The backend server's answer was incomplete and was not passed on." },
        ResultCodeInfo { ResultCode::OutcomeUnknown, "OutcomeUnknown", 502, "A not-repeatable request may have run; it was not tried again." },
        ResultCodeInfo { ResultCode::HomeUnreachable, "HomeUnreachable", 503, "The home data centre of the idempotency key is unreachable; the request did not run." },
        ResultCodeInfo { ResultCode::DuplicateInProgress, "DuplicateInProgress", 409, "A request with this idempotency key is still in progress." },
        ResultCodeInfo { ResultCode::ServiceUnknown, "ServiceUnknown", 404, "No service of this name was ever announced or configured; the request did not run." },
        ResultCodeInfo { ResultCode::AnswerNotKept, "AnswerNotKept", 409, "The request with this idempotency key ran before; its answer was too long to keep." },
        ResultCodeInfo { ResultCode::ClaimsFull, "ClaimsFull", 503, "No further idempotency key can be claimed now; the request did not run." },
        ResultCodeInfo { ResultCode::StorageFailed, "StorageFailed", 503, "Writing or syncing the data folder failed; nothing was acknowledged." },
        ResultCodeInfo { ResultCode::StorageDamaged, "StorageDamaged", 500, "The data folder holds a damaged record that is not a torn tail; the group is not served." },
        ResultCodeInfo { ResultCode::DiskFull, "DiskFull", 507, "No space is left in the data folder; nothing was acknowledged." },
        ResultCodeInfo { ResultCode::WrongCluster, "WrongCluster", 403, "The message comes from another cluster or an unknown host." },
        ResultCodeInfo { ResultCode::MembershipChangePending, "MembershipChangePending", 409, "An earlier membership change is not committed yet." },
        ResultCodeInfo { ResultCode::MembershipChangeRefused, "MembershipChangeRefused", 409, "The membership change is more than one step, leaves no voter or makes a voter of a host that is not caught up." },
        ResultCodeInfo { ResultCode::MalformedMessage, "MalformedMessage", 400, "A message or record between entry hosts does not decode." },
        ResultCodeInfo { ResultCode::ConfigurationMissing, "ConfigurationMissing", 503, "This host has no configuration yet, from its disk or a peer; the request did not run." },
        ResultCodeInfo { ResultCode::ForwardFailed, "ForwardFailed", 503, "The group's leader did not answer; the request may have been carried out, send it again." },
        ResultCodeInfo { ResultCode::Internal, "Internal", 500, "A fault in cornelpond itself; the log has the details." },
        ResultCodeInfo { ResultCode::Unreachable, "Unreachable", 503, "The entry host could not be reached." },
    };

} // namespace

Span<ResultCodeInfo const> resultCodeTable()
{
    return { codeTable.data(), codeTable.size() };
}

ResultCodeInfo const& resultCodeInfo(ResultCode code)
{
    for (auto const& info : codeTable) {
        if (info.code == code)
            return info;
    }
    throw std::logic_error("result code without a table row");
}

} // namespace cornelpond
