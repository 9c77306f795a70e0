#pragma once

// Checks on the stand-ins' record of what ran where and when. Each returns a description of every violation
// that it found; an empty list means that the property holds.
//
// Example:
//   std::vector<RecordEntry> const record = readRecord(path);
//   CHECK(findOverlaps(record) == noViolations);

#include "testing/standin/Record.h"

#include <set>
#include <string>
#include <vector>

namespace cornelpond {

using Violations = std::vector<std::string>;

/// What each check returns for a record without violations. Tests compare with it so that a failure prints the violations.
inline Violations const noViolations;

/// Tasks with two attempts running at the same time, and attempt numbers started twice. A worker whose process
/// restarted has lost its attempts, so it may start the same attempt number once more.
Violations findOverlaps(std::vector<RecordEntry> const& record);

/// Workers whose running attempts together reserve more than the worker's capacity.
Violations findOverCapacity(std::vector<RecordEntry> const& record);

/// Attempts that ended with a checkpoint and whose task did not resume from it in its next attempt.
/// Tasks in `cancelled` need no further attempt.
Violations findBadResumes(std::vector<RecordEntry> const& record, std::set<TaskId> const& cancelled);

/// Tasks in `accepted` without an attempt whose outcome is "finished".
Violations findUnfinishedTasks(std::vector<RecordEntry> const& record, std::set<TaskId> const& accepted);

/// Attempts of tasks in `cancelled` that started later than `afterUs` on the record's clock.
Violations findStartsAfterCancellation(std::vector<RecordEntry> const& record, std::set<TaskId> const& cancelled, int64_t afterUs);

/// Idempotency keys that reached backend servers more than once.
Violations findRepeatedKeys(std::vector<RecordEntry> const& record);

/// Request paths in `refused` that reached a backend server, though the response said that the request did not run.
Violations findRunsOfRefusedRequests(std::vector<RecordEntry> const& record, std::set<std::string> const& refused);

/// Backend servers with more concurrent requests than slots, or more connections than their limit.
Violations findServerOverloads(std::vector<RecordEntry> const& record);

/// Requests that reached a backend server more than `graceUs` after it left and before it joined again.
Violations findRequestsAfterLeave(std::vector<RecordEntry> const& record, int64_t graceUs);

} // namespace cornelpond
