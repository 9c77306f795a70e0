#pragma once

// Keeps the configured number of replicas of each service in one data centre: which to submit and
// which to cancel. A service that the configuration does not name is left alone, so that a leader
// without a configuration stops nothing; "replicas": 0 ends them.
//
// Example:
//   for (TaskCommand const& command : replicaChanges(policy, table, clock.wallMilliseconds()))
//       batch.push_back(command);

#include "cornelpond/core/config/Policy.h"
#include "cornelpond/core/tasks/TaskTable.h"

namespace cornelpond {

/// Bounded in number; call again once the commands are committed. Ids are new as long as no two calls
/// that both lead to commits have the same time.
TaskCommandBatch replicaChanges(Policy const& policy, TaskTable const& table, int64_t nowMs);

} // namespace cornelpond
