#pragma once

// Numbered result codes for callers, workers and operators, and the exception that carries one.
// docs/CODES.md lists them; a test compares that page with the table.
//
// Example:
//   throw Error(ResultCode::NotFound, "no task 'plan-7'");

#include "cornelpond/core/base/Span.h"

#include <stdexcept>
#include <string>
#include <string_view>

namespace cornelpond {

/// Numbers never change meaning; a retired one is not reused.
/// 1xx bad input, 2xx refused by state, 3xx interactive requests, 4xx agreement and storage, 5xx internal.
enum class ResultCode {
    Ok = 0,
    // 1xx: bad input.
    MalformedJson = 100,
    SchemaViolation = 101,
    BadSelector = 102,
    BodyTooLarge = 103,
    InvalidUtf8 = 104,
    JsonTooDeep = 105,
    BadToken = 106,
    NotFound = 107,
    MethodNotAllowed = 108,
    BadSettings = 109,
    BadHeader = 110,
    BadArgument = 111,
    // 2xx: refused by the current state.
    VersionConflict = 200,
    IdConflict = 201,
    NotLeader = 202,
    ShuttingDown = 203,
    NoQuorum = 204,
    StaleEpoch = 205,
    QuotaExceeded = 206,
    TaskEnded = 207,
    IdRetired = 210,
    // 3xx: interactive requests.
    NoBackendServer = 300,
    QueueFull = 301,
    DeadlineUnmeetable = 302,
    DeadlineExceeded = 303,
    BackendServerFailed = 304,
    TruncatedAnswer = 305,
    OutcomeUnknown = 306,
    HomeUnreachable = 307,
    DuplicateInProgress = 308,
    ServiceUnknown = 309,
    AnswerNotKept = 310,
    ClaimsFull = 311,
    // 4xx: agreement and storage.
    StorageFailed = 400,
    StorageDamaged = 401,
    DiskFull = 402,
    WrongCluster = 403,
    MembershipChangePending = 410,
    MembershipChangeRefused = 411,
    MalformedMessage = 412,
    ConfigurationMissing = 420,
    ForwardFailed = 421,
    // 5xx: internal.
    Internal = 500,
    Unreachable = 501,
};

/// One row of the code table.
struct ResultCodeInfo {
    ResultCode code;
    std::string_view name;
    int httpStatus;
    std::string_view meaning;
};

/// All codes by increasing number.
Span<ResultCodeInfo const> resultCodeTable();

/// The row of `code`. Every enumerator has one.
ResultCodeInfo const& resultCodeInfo(ResultCode code);

/// An error with a result code and a message for people.
class Error : public std::runtime_error {
public:
    Error(ResultCode code, std::string const& message)
        : std::runtime_error(message)
        , resultCode(code)
    {
    }

    ResultCode code() const { return this->resultCode; }

private:
    ResultCode resultCode;
};

} // namespace cornelpond
