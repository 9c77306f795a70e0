#include "cornelpond/core/scheduling/StepTimes.h"

#include "cornelpond/core/jobs/StageKey.h"

#include <algorithm>

namespace cornelpond {

namespace {

    /// Bounds memory; what happens beyond it is not measured.
    constexpr size_t maxOpen = 20000;

} // namespace

std::string_view jobStepName(JobStep step)
{
    switch (step) {
    case JobStep::SubmitCommitted:
        return "submitCommitted";
    case JobStep::EndCommitted:
        return "endCommitted";
    case JobStep::StartDecided:
        return "startDecided";
    case JobStep::StartCommitted:
        return "startCommitted";
    case JobStep::StartAccepted:
        return "startAccepted";
    }
    return "unknown";
}

StepTimes::StepTimes(Clock const& clock, EventSink& events)
    : clock(clock)
    , events(events)
{
}

bool StepTimes::hasRoom() const
{
    return this->openCount() < maxOpen;
}

StepTimes::Stage* StepTimes::find(TaskRef const& task)
{
    auto const found = this->stages.find(stageKey(task));
    return found == this->stages.end() ? nullptr : &found->second;
}

void StepTimes::onSubmitted(JobId const& job)
{
    if (this->hasRoom())
        this->submissions.try_emplace(job, this->clock.now());
}

void StepTimes::onEndListed(TaskRef const& task)
{
    if (this->hasRoom())
        this->listedEnds.try_emplace(task, this->clock.now());
}

std::optional<TimePoint> StepTimes::takeListed(TaskRef const& task)
{
    auto const found = this->listedEnds.find(task);
    if (found == this->listedEnds.end())
        return std::nullopt;
    TimePoint const listedAt = found->second;
    this->listedEnds.erase(found);
    return listedAt;
}

void StepTimes::onStageReady(TaskRef const& firstTask, std::optional<TimePoint> listedAt)
{
    Stage* stage = this->find(firstTask);
    if (!stage && !this->hasRoom())
        return;
    if (!stage)
        stage = &this->stages[stageKey(firstTask)];
    if (stage->readyAt)
        return;
    auto const submitted = this->submissions.find(firstTask.job);
    stage->isFirst = !listedAt;
    stage->calledAt = listedAt;
    if (!listedAt && submitted != this->submissions.end())
        stage->calledAt = submitted->second;
    stage->readyAt = this->clock.now();
}

void StepTimes::onStartDecided(TaskRef const& task, bool isStageReady)
{
    Stage* stage = this->find(task);
    if (!stage && !isStageReady && this->hasRoom())
        stage = &this->stages[stageKey(task)];
    if (!stage || stage->decidedAt)
        return;
    stage->decidedAt = this->clock.now();
    stage->task = task;
}

void StepTimes::onStartRefused(TaskRef const& task)
{
    Stage* stage = this->find(task);
    if (stage && stage->task == task && !stage->committedAt)
        stage->decidedAt.reset();
}

void StepTimes::onStartCommitted(TaskRef const& task)
{
    Stage* stage = this->find(task);
    if (stage && stage->decidedAt && stage->readyAt && stage->task == task && !stage->committedAt)
        stage->committedAt = this->clock.now();
}

void StepTimes::onStartAccepted(TaskRef const& task)
{
    Stage* stage = this->find(task);
    if (!stage || stage->task != task || !stage->committedAt)
        return;
    this->report(*stage, this->clock.now());
    this->stages.erase(stageKey(task));
}

void StepTimes::report(Stage const& stage, TimePoint acceptedAt)
{
    TimePoint const readyAt = *stage.readyAt;
    TimePoint const decidedAt = std::max(*stage.decidedAt, readyAt);
    auto const observe = [this](JobStep step, Duration lasted) { this->histograms.at(static_cast<size_t>(step)).observe(lasted); };
    Event event(EventId::JobSteps);
    event.with("task", stage.task.text()).with("after", stage.isFirst ? "submission" : "end");
    if (stage.calledAt) {
        observe(stage.isFirst ? JobStep::SubmitCommitted : JobStep::EndCommitted, readyAt - *stage.calledAt);
        (stage.isFirst ? this->firstStageTotals : this->laterStageTotals).observe(acceptedAt - *stage.calledAt);
        event.with("readyCommitMs", readyAt - *stage.calledAt);
    }
    observe(JobStep::StartDecided, decidedAt - readyAt);
    observe(JobStep::StartCommitted, *stage.committedAt - decidedAt);
    observe(JobStep::StartAccepted, acceptedAt - *stage.committedAt);
    event.with("decisionMs", *stage.decidedAt - readyAt).with("startCommitMs", *stage.committedAt - decidedAt).with("orderMs", acceptedAt - *stage.committedAt);
    if (stage.calledAt)
        event.with("totalMs", acceptedAt - *stage.calledAt);
    this->events.emit(event);
}

void StepTimes::onJobEnded(JobId const& job)
{
    this->submissions.erase(job);
    TaskRef const first { job, 0, 0, 0 };
    TaskRef const last { job, UINT32_MAX, UINT32_MAX, UINT32_MAX };
    this->listedEnds.erase(this->listedEnds.lower_bound(first), this->listedEnds.upper_bound(last));
    this->stages.erase(this->stages.lower_bound(first), this->stages.upper_bound(last));
}

void StepTimes::clear()
{
    this->submissions.clear();
    this->listedEnds.clear();
    this->stages.clear();
}

} // namespace cornelpond
