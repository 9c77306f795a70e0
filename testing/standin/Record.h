#pragma once

// What the platform's stand-ins saw, one JSON line for each entry: which attempt ran on which worker
// from when to when, and which request reached which backend server. Stand-ins of all processes append
// to one file; checkers read it.
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
    AttemptEnd, ///< `outcome` says how.
    RequestRun, ///< A request reached a backend server's application.
    RequestAnswered,
    RequestAbandoned, ///< The connection closed before the answer.
    SlotsExceeded, ///< More requests at once than slots, for longer than a closed connection takes to show.
    ConnectionsExceeded,
    ServerLeft,
    ServerJoined, ///< It announces itself again after it left.
};

std::string_view recordKindName(RecordKind kind);

/// Outcomes of AttemptEnd besides the names of `attemptOutcomeName`.
constexpr char const* leaseEndOutcome = "leaseEnd"; ///< The worker stopped it because its lease ended.
constexpr char const* diedOutcome = "died"; ///< The worker's process ended.

struct RecordEntry {
    int64_t atUs = 0; ///< The machine's monotonic clock, the same for all processes.
    RecordKind kind = RecordKind::WorkerUp;
    std::string place; ///< The worker or backend server.
    TaskId task;
    uint64_t attempt = 0;
    Resources resources; ///< WorkerUp: capacity. AttemptStart: what is reserved for it.
    std::string checkpoint; ///< AttemptStart: resumed from. AttemptEnd: made. Empty for none.
    std::string outcome; ///< AttemptEnd.
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

/// All whole lines, in order of time.
std::vector<RecordEntry> readRecord(std::string const& path);

} // namespace cornelpond
