#pragma once

// Measures how long each step takes from a job's submission, or from the last end of the stages before, to the worker's answer to a
// stage's first start. Keeps a histogram of each step and logs the steps of each stage (365).
//
// Designed for: jobs of a few short stages, for which commits, passes and orders take as long as the work. Which of them is slow is
// not visible in the total.
//
// Example:
//   StepTimes steps(clock, events);
//   steps.onSubmitted(job.id);
//   steps.onStageReady({ job.id, 0, 0 }, clock.now());
//   steps.onStartDecided(task, true);
//   steps.onStartCommitted(task);
//   steps.onStartAccepted(task); // logs the stage

#include "cornelpond/core/base/Histogram.h"
#include "cornelpond/core/jobs/JobSpec.h"
#include "cornelpond/ports/Clock.h"
#include "cornelpond/ports/EventSink.h"

#include <array>
#include <map>
#include <optional>
#include <string_view>

namespace cornelpond {

/// The steps in their order. Of a job's first stages the first step is SubmitCommitted, of later ones EndCommitted.
enum class JobStep {
    SubmitCommitted, ///< From the call at the leader to the commit of the submission.
    EndCommitted, ///< From the listing with the last end of the stages before to that end's commit.
    StartDecided, ///< From then to the decision to start the stage's first task; zero when it was decided before the commit.
    StartCommitted, ///< From then, or from the commit before it if that was later, to the commit of the start.
    StartAccepted, ///< From then to the worker's answer to the start order.
};

constexpr size_t jobStepCount = 5;

std::string_view jobStepName(JobStep step);

class StepTimes {
public:
    /// References must outlive the object.
    StepTimes(Clock const& clock, EventSink& events);

    void onSubmitted(JobId const& job);
    void onSubmitEnded(JobId const& job) { this->submissions.erase(job); }
    void onEndListed(TaskRef const& task);
    /// The end of the task's attempt was committed. Returns when it was listed, unless that is not known.
    std::optional<TimePoint> takeListed(TaskRef const& task);

    /// A stage became ready by a commit: of its job's submission without `listedAt`, else of an end that was listed at that time.
    void onStageReady(TaskRef const& firstTask, std::optional<TimePoint> listedAt);
    /// `isStageReady`: false for a start that is proposed behind the submission or the ends that make its stage ready.
    void onStartDecided(TaskRef const& task, bool isStageReady);
    void onStartRefused(TaskRef const& task);
    void onStartCommitted(TaskRef const& task);
    void onStartAccepted(TaskRef const& task);
    void onJobEnded(JobId const& job);

    /// To be called when the leadership changes.
    void clear();

    /// Since this host was started.
    Histogram const& histogram(JobStep step) const { return this->histograms.at(static_cast<size_t>(step)); }
    /// From the submission, or the listing of the last end, to the worker's answer to the first start.
    Histogram const& firstStages() const { return this->firstStageTotals; }
    Histogram const& laterStages() const { return this->laterStageTotals; }
    size_t openCount() const { return this->submissions.size() + this->listedEnds.size() + this->stages.size(); }

private:
    /// Of a stage of which no start has been accepted.
    struct Stage {
        bool isFirst = false; ///< Ready since the submission.
        std::optional<TimePoint> calledAt; ///< The submission or the listing; unset when it happened under an earlier leader.
        std::optional<TimePoint> readyAt; ///< Unset: its first start was decided before.
        std::optional<TimePoint> decidedAt;
        std::optional<TimePoint> committedAt;
        TaskRef task; ///< Of the first start that was decided.
    };

    Stage* find(TaskRef const& task);
    bool hasRoom() const;
    void report(Stage const& stage, TimePoint acceptedAt);

    Clock const& clock;
    EventSink& events;
    std::map<JobId, TimePoint> submissions;
    std::map<TaskRef, TimePoint> listedEnds;
    std::map<TaskRef, Stage> stages; ///< By the first task.
    std::array<Histogram, jobStepCount> histograms;
    Histogram firstStageTotals;
    Histogram laterStageTotals;
};

} // namespace cornelpond
