#pragma once

// The ends of attempts as done that were proposed and await their commit, and which stages become ready by them.
//
// Designed for: jobs of several short stages. The starts of the next stage are proposed right behind the last ends of the stages
// before it, in the same batch, instead of waiting for the commit of these ends. The log applies commands in their order, and
// JobTable refuses a start whose stage is not ready then.
//
// Example:
//   ExpectedEnds ends;
//   ends.onProposed(end); // then propose it
//   if (ends.isStageReady(job, occurrence, 1))
//       decideStarts();
//   ends.onApplied(end);

#include "cornelpond/core/jobs/JobTable.h"

#include <map>
#include <set>

namespace cornelpond {

class ExpectedEnds {
public:
    /// `job`: that of the end's task; null if it is not known. True when all of the task's stage is done or expected to be.
    bool onProposed(CommitEnd const& end, JobRecord const* job);
    void onApplied(CommitEnd const& end);
    /// To be called when the leadership changes: nothing that was proposed before is expected any more.
    void clear() { this->tasksByStage.clear(); }

    /// True when each task of the stages before this one is done or expected to be.
    bool isStageReady(JobRecord const& job, uint32_t occurrence, uint32_t stage) const;

private:
    bool isDone(JobRecord const& job, uint32_t occurrence, uint32_t stage) const;

    std::map<TaskRef, std::set<uint32_t>> tasksByStage; ///< Indexes of tasks, by the first task of their stage.
};

} // namespace cornelpond
