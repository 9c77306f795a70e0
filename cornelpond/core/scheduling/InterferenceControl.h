#pragma once

// Keeps best-effort tasks from pushing service tasks over their latency targets: learns from each listing of a worker, then
// evicts or throttles best-effort tasks there.
//
// Designed for: best-effort work beside services whose load fluctuates, with figures that lag by half a second.
//
// Example:
//   InterferenceControl control(clock, events, dispatcher, placer, interference, cpuUsage, evictor);
//   control.processListing(worker); // after each listing

#include "cornelpond/core/dispatch/Dispatcher.h"
#include "cornelpond/core/placement/CpuUsageModel.h"
#include "cornelpond/core/placement/InterferenceModel.h"
#include "cornelpond/core/placement/InterferenceTable.h"
#include "cornelpond/core/placement/TaskPlacer.h"
#include "cornelpond/core/placement/ThrottlePolicy.h"
#include "cornelpond/core/scheduling/TaskEvictor.h"

namespace cornelpond {

class InterferenceControl {
public:
    /// References must outlive the object.
    InterferenceControl(Clock const& clock, EventSink& events, Dispatcher& dispatch, TaskPlacer& placer, InterferenceModel& interference, CpuUsageModel& cpuUsage, TaskEvictor& evictor);

    /// Updates the interference and CPU usage models from the worker's listing, then evicts or throttles best-effort
    /// tasks there that interfere with its service tasks.
    void processListing(WorkerView& worker);

    /// What is known about pairs of images and about the cores that images use.
    std::vector<LearnedFigure> learnedFigures() const;
    /// Takes in what earlier leaders had learned, except what this one has observed itself. Returns how many figures it took.
    size_t restoreLearnedFigures(std::vector<LearnedFigure> const& figures);

    /// Forgets what was learned. To be called at each change of leader.
    void clear();

private:
    void evictInterferingTasks(WorkerView& worker, TimePoint now);
    static bool hasStoppingBestEffortTask(WorkerView const& worker);
    std::map<ImageId, ImageSpeed> imageSpeeds(WorkerView const& worker, TimePoint now) const;
    void adjustSpeeds(WorkerView& worker, TimePoint now);
    void noteWorkerSpeed(WorkerView& worker, std::vector<unsigned> const& percents, TimePoint now);
    void evictStandingTasks(WorkerView& worker, TimePoint now);

    /// From the first listing that shows a service task of a worker over its target until one shows none.
    struct Overload {
        std::string service;
        std::string suspect; ///< The best-effort image expected to harm it most; empty: none.
        char const* knowledge = "none";
        size_t images = 0;
        size_t stopped = 0;
        double worstTailRatio = 0;
        Duration listingGap;
    };

    void endOverload(WorkerView& worker, TimePoint now);
    void noteOverload(WorkerView const& worker, std::map<ImageId, ImageSpeed> const& images, std::vector<unsigned> const& next, TimePoint now);
    char const* knowledgeOf(ImageId service, ImageId bestEffort) const;

    Clock const& clock;
    EventSink& events;
    Dispatcher& dispatch;
    TaskPlacer& placer;
    InterferenceModel& interference;
    CpuUsageModel& cpuUsage;
    TaskEvictor& evictor;
    TimePoint leadingSince;
    std::map<WorkerId, Overload> overloads;
    std::map<WorkerId, TimePoint> lastListedAt; ///< Workers with service tasks.
};

} // namespace cornelpond
