#pragma once

// Checks over the stand-ins' own record of what ran where and when. Each returns the violations it
// found in words for a person; empty means that the property held.
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

/// What each check returns for a sound record; a comparison with it prints what was found.
inline Violations const noViolations;

/// A task with two attempts running at the same moment, or an attempt number started twice. A worker
/// whose process came up anew holds nothing and may be told again to start the attempt it has lost.
Violations findOverlaps(std::vector<RecordEntry> const& record);

/// A worker whose running attempts reserve more than its capacity at any moment.
Violations findOverCapacity(std::vector<RecordEntry> const& record);

/// An attempt that was stopped with a checkpoint and whose task was not resumed from it by the very
/// next attempt. Tasks in `cancelled` need not go on after their last attempt.
Violations findBadResumes(std::vector<RecordEntry> const& record, std::set<TaskId> const& cancelled);

/// Tasks of `accepted` without a finished attempt.
Violations findUnfinishedTasks(std::vector<RecordEntry> const& record, std::set<TaskId> const& accepted);

/// Attempts of tasks in `cancelled` that started later than `afterUs`.
Violations findStartsAfterCancellation(std::vector<RecordEntry> const& record, std::set<TaskId> const& cancelled, int64_t afterUs);

/// An idempotency key that reached backend servers more than once.
Violations findRepeatedKeys(std::vector<RecordEntry> const& record);

/// A request path of `refused` (which the caller was told did not run) that reached a backend server.
Violations findRunsOfRefusedRequests(std::vector<RecordEntry> const& record, std::set<std::string> const& refused);

/// More requests or connections at once on a backend server than it has slots or connections.
Violations findServerOverloads(std::vector<RecordEntry> const& record);

/// A request that reached a backend server more than `graceUs` after it left and before it joined again.
Violations findRequestsAfterLeave(std::vector<RecordEntry> const& record, int64_t graceUs);

} // namespace cornelpond
