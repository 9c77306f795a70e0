#pragma once

// The record of the platform's stand-ins, one JSON object a line: which attempt ran on which worker from
// when to when, and which request reached which backend server. The stand-ins of all processes append to
// one file, which the checks of the tests read.
//
// Example:
//   RecordFile record(path);
//   record.add(entry);
//   std::vector<RecordEntry> const entries = readRecord(path);

#include "cornelpond/core/base/Ids.h"
#include "cornelpond/core/base/Resources.h"

#include <fstream>
#include <string>
#include <vector>

namespace cornelpond {

enum class RecordKind : uint8_t {
    WorkerUp, ///< A worker began to announce itself, with its capacity.
    AttemptStart,
    AttemptEnd, ///< `outcome` says in which way.
    RequestRun, ///< A request reached a backend server's application.
    RequestAnswered,
    RequestAbandoned, ///< The connection closed before the answer.
    SlotsExceeded, ///< More requests in flight than slots, for longer than it takes to detect a closed connection.
    ConnectionsExceeded,
    ServerLeft,
    ServerJoined, ///< It announces itself again after ServerLeft.
};

std::string_view recordKindName(RecordKind kind);

/// Outcomes of AttemptEnd besides the names of `attemptOutcomeName`.
constexpr char const* leaseEndOutcome = "leaseEnd"; ///< The worker stopped the attempt because its lease expired.
constexpr char const* diedOutcome = "died"; ///< The attempt ended with the worker's process.

struct RecordEntry {
    int64_t atUs = 0; ///< The machine's monotonic clock, the same for all processes.
    RecordKind kind = RecordKind::WorkerUp;
    std::string place; ///< Id of the worker or backend server.
    TaskId task;
    uint64_t attempt = 0;
    Resources resources; ///< WorkerUp: capacity. AttemptStart: what is reserved for it.
    std::string checkpoint; ///< AttemptStart: the one it resumes from. AttemptEnd: the one it made. Empty for none.
    std::string outcome; ///< AttemptEnd: how it ended.
    std::string key; ///< Requests: the idempotency key; empty for none.
    std::string request; ///< Requests: path and query.
};

class RecordFile {
public:
    /// Appends to the file; an empty path records nothing.
    explicit RecordFile(std::string const& path);

    void add(RecordEntry const& entry);

private:
    std::ofstream out;
};

/// Reads all complete lines, ordered by time.
std::vector<RecordEntry> readRecord(std::string const& path);

} // namespace cornelpond
