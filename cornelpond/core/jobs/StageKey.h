#pragma once

// The key under which state of a stage is kept: the reference of its first task.
//
// Example:
//   std::map<TaskRef, TimePoint> waitingSince;
//   waitingSince.emplace(stageKey(task), now);

#include "cornelpond/core/jobs/JobSpec.h"

namespace cornelpond {

inline TaskRef stageKey(TaskRef task)
{
    task.index = 0;
    return task;
}

} // namespace cornelpond
