#include "cornelpond/core/scheduling/ExpectedEnds.h"

#include <algorithm>

namespace cornelpond {

bool ExpectedEnds::onProposed(CommitEnd const& end, JobRecord const* job)
{
    bool const isExpected = end.end == AttemptEnd::Done && job && job->state == JobState::Active && job->occurrences.count(end.task.occurrence) && !job->spec.stages[end.task.stage].isService;
    if (!isExpected)
        return false;
    this->tasksByStage[{ end.task.job, end.task.occurrence, end.task.stage, 0 }].insert(end.task.index);
    return this->isDone(*job, end.task.occurrence, end.task.stage);
}

void ExpectedEnds::onApplied(CommitEnd const& end)
{
    auto const found = this->tasksByStage.find({ end.task.job, end.task.occurrence, end.task.stage, 0 });
    if (end.end != AttemptEnd::Done || found == this->tasksByStage.end())
        return;
    found->second.erase(end.task.index);
    if (found->second.empty())
        this->tasksByStage.erase(found);
}

bool ExpectedEnds::isStageReady(JobRecord const& job, uint32_t occurrence, uint32_t stage) const
{
    auto const& after = job.spec.stages[stage].dependsOn;
    return std::all_of(after.begin(), after.end(), [&](uint32_t earlier) { return this->isDone(job, occurrence, earlier); });
}

bool ExpectedEnds::isDone(JobRecord const& job, uint32_t occurrence, uint32_t stage) const
{
    StageRecord const& record = job.occurrences.at(occurrence).stages[stage];
    if (record.isDone())
        return true;
    auto const expected = this->tasksByStage.find({ job.spec.id, occurrence, stage, 0 });
    if (expected == this->tasksByStage.end())
        return false;
    // The end of one member of a gang as done is that of the stage.
    if (job.spec.stages[stage].isGang)
        return true;
    auto const open = std::count_if(expected->second.begin(), expected->second.end(), [&](uint32_t index) { return !record.tasks[index].isDone; });
    return record.doneCount + static_cast<size_t>(open) == record.tasks.size();
}

} // namespace cornelpond
