#pragma once

// Chooses the worker for one task among those that take tasks.
//
// Load patterns it answers: service tasks that fill most of the fleet beside short urgent tasks; best-effort
// tasks that live on what others leave unused; data that lies on one rack.
//
// Example:
//   TaskPlacer placer(dispatcher.workers(), times, limits);
//   if (WorkerView* worker = placer.choose(request, clock.now()))
//       dispatcher.reserve(*worker, request.task, attempt);

#include "cornelpond/core/dispatch/WorkerView.h"
#include "cornelpond/core/placement/CpuUsageModel.h"
#include "cornelpond/core/placement/InterferenceModel.h"

#include <map>

namespace cornelpond {

struct PlacementParameters {
    /// Of their reservation that service tasks are taken to use; the rest is open to best-effort tasks.
    double assumedServiceUse = 0.42;
    /// A best-effort task is placed where at least so much of what it asks for is left.
    double minBestEffortShare = 0.8;
    /// Of a service's workers, kept free of service tasks: these stay for long, and without it short tasks
    /// would only find what is left over between them.
    double shortTaskReserveShare = 0.06;
    /// Of a worker's cores that a best-effort task is left where every worker has a service that it harms.
    double throttledStartShare = 0.015;
    /// On so many workers at once a best-effort image is tried beside a service image that it may harm.
    unsigned maxTrialWorkers = 2;
};

struct PlacementRequest {
    TaskRef task;
    StageSpec const* stage = nullptr;
    ImageId image; ///< Of the stage.
    ServiceId service;
    bool canLeaveDataRack = true; ///< Waiting for the data's rack costs more than running elsewhere.
    bool isRestart = false; ///< The task has run before: it may take the room kept free of service tasks.
    bool canStartThrottled = false; ///< A best-effort task may stand beside a service that it harms, hardly working.
    bool canOvercommitCores = false; ///< A best-effort task may share what other such tasks use already.
    RackId requiredRack; ///< Empty: any.
    std::set<WorkerId> const* permittedWorkers = nullptr; ///< Null: all.
};

class TaskPlacer {
public:
    /// References must outlive the object.
    TaskPlacer(std::map<WorkerId, WorkerView>& workers, InterferenceModel const& interference, CpuUsageModel const& imageUse, DispatchTimes const& times, PlacementParameters limits);

    /// Call before the choices of one pass: forgets what found no room in the last one.
    void beginPass(TimePoint now);

    /// Null when no worker fits now.
    WorkerView* choose(PlacementRequest const& request, TimePoint now);

    /// Share of the service's cores that was reserved when it was first asked for in this pass.
    double reservedShare(ServiceId const& service);

    /// Percent of its speed at which a best-effort task may trickle on the worker.
    unsigned startSpeedPercent(WorkerView const& worker, StageSpec const& stage) const;

    /// What tasks of an image that ask for so much are expected to use, as a share of the worker's cores.
    double expectedCpuShare(WorkerView const& worker, ImageId image, int64_t askedMilliCores) const;

    /// Cores of the worker that nobody is taken to use.
    double unusedMilliCores(WorkerView const& worker) const;

private:
    /// Workers on which the image stands beside each service image.
    using TrialCounts = std::map<ImageId, unsigned>;

    bool fits(WorkerView const& worker, PlacementRequest const& request, TimePoint now) const;
    bool canShareWorker(WorkerView const& worker, PlacementRequest const& request, TrialCounts const& trials, TimePoint now) const;
    int64_t milliCoresOpenToServices(PlacementRequest const& request) const;
    static bool isEligible(WorkerView const& worker, PlacementRequest const& request);
    bool canRunBestEffort(WorkerView const& worker, PlacementRequest const& request, TrialCounts const& trials, TimePoint now) const;
    bool canStartTrial(ImageId service, bool isPresent, size_t images, TrialCounts const& trials) const;
    TrialCounts trialCounts(ImageId image) const;
    bool isOnTrialForAnyService(ImageId image) const;
    WorkerView* findBestWorker(PlacementRequest const& request, TimePoint now) const;
    bool hasFailedInPass(PlacementRequest const& request) const;
    double score(WorkerView const& worker, PlacementRequest const& request) const;
    double harmlessImageShare(WorkerView const& worker) const;
    static double serviceScore(WorkerView const& worker, PlacementRequest const& request);

    /// A task that no worker had room for in this pass: nor for a like one that asks for as much.
    struct FailedRequest {
        ImageId image;
        ServiceId service;
        bool isBestEffort = false;
        bool isService = false;
        bool isRestart = false;
        Resources need;
    };

    std::map<WorkerId, WorkerView>& workers;
    std::vector<FailedRequest> failedRequests;
    std::map<ServiceId, double> reservedShares;
    std::map<ImageId, double> harmlessImageShares; ///< Of all workers, as the pass began, with their openness to best-effort images.
    InterferenceModel const& interference;
    CpuUsageModel const& cpuUsage;
    DispatchTimes const& times;
    PlacementParameters parameters;
};

} // namespace cornelpond
