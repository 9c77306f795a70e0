#pragma once

// Computes which service replicas to submit and which to cancel so that each service has its configured
// number of replicas in one data centre. Services that the configuration does not name are left alone, so
// that a leader without a configuration stops nothing; "replicas": 0 cancels all replicas of a service.
//
// Example:
//   for (TaskCommand const& command : replicaChanges(policy, table, clock.wallMilliseconds()))
//       batch.push_back(command);

#include "cornelpond/core/config/Policy.h"
#include "cornelpond/core/tasks/TaskTable.h"

namespace cornelpond {

/// Returns a bounded number of commands; call again once they are committed. The ids of new replicas
/// contain `nowMs`, so two calls whose commands are both committed must not have the same time.
TaskCommandBatch replicaChanges(Policy const& policy, TaskTable const& table, int64_t nowMs);

} // namespace cornelpond
