#pragma once

// Chooses the worker for one task among those that accept tasks.
//
// Designed for: service tasks that fill most of the fleet beside short urgent tasks; best-effort tasks that run
// on cores that others leave unused; data that is stored on one rack. For hundreds of workers and a thousand starts a
// second: the tasks of a stage share one search, and a request that found no worker is compared with changed workers
// only, for a while. Only requests of service tasks are compared with all workers again in each pass.
//
// Example:
//   TaskPlacer placer(dispatcher.workers(), interference, cpuUsage, times, parameters);
//   if (WorkerView* worker = placer.choose(request, clock.now()))
//       dispatcher.reserve(*worker, request.task, attempt);

#include "cornelpond/core/dispatch/WorkerView.h"
#include "cornelpond/core/placement/CpuUsageModel.h"
#include "cornelpond/core/placement/InterferenceModel.h"
#include "cornelpond/core/placement/PlacementRequest.h"
#include "cornelpond/core/placement/ServiceReserve.h"

#include <map>
#include <optional>
#include <vector>

namespace cornelpond {

struct PlacementParameters {
    /// Share of their reservation that service tasks are assumed to use; the rest is available to best-effort tasks.
    double assumedServiceUse = 0.42;
    /// A best-effort task is placed where at least this share of its expected use is unused.
    double minBestEffortShare = 0.8;
    ReserveShares reserveShares;
    /// Starts on one worker that it has not confirmed yet. A data centre that comes back empty would get more orders at once
    /// than the host that relays them can pass on in time; they would all be sent again. Members of a gang are exempt.
    size_t maxPendingStarts = 8;
    /// Share of a worker's cores that a best-effort task starts with where it interferes with a service on every
    /// worker.
    double throttledStartShare = 0.015;
    /// Number of workers on which a best-effort image is tried at once beside a service image with which it may interfere.
    unsigned maxTrialWorkers = 2;
    /// A request that found no worker is compared with all of them again after this time: interference estimates decay,
    /// and trials elsewhere end.
    Duration fullSearchInterval = Duration::milliseconds(250);
    /// Each time that so many different requests have found no worker, full searches become rarer by one more interval.
    size_t failedRequestsPerInterval = 64;
    /// The same for throttled starts, for which only the learned use of cores changes by itself.
    Duration fullThrottledSearchInterval = Duration::milliseconds(500);
};

/// Work done since the placer was made, for metrics and tests.
struct PlacementCounters {
    uint64_t choices = 0; ///< Calls of `choose` and `chooseNext`.
    uint64_t workersExamined = 0; ///< By those calls, each worker of each call.
};

/// A worker that could run a request's tasks.
struct EligibleWorker {
    WorkerView const* worker = nullptr;
    bool hasRoom = false; ///< For one of them now; else once other tasks have ended there.
};

class TaskPlacer {
public:
    /// References must outlive the object.
    TaskPlacer(std::map<WorkerId, WorkerView>& workers, InterferenceModel const& interference, CpuUsageModel const& cpuUsage, DispatchTimes const& times, PlacementParameters parameters);

    /// Call at the start of each pass: clears what was cached for the last one.
    void beginPass(TimePoint now);

    void setShortTaskNeed(ServiceId const& service, int64_t milliCores) { this->reserve.setShortTaskNeed(service, milliCores); }

    /// Null when no worker fits now.
    WorkerView* choose(PlacementRequest const& request, TimePoint now);

    /// Like `choose`, for the next task of a stage: goes on with the search of the call before where that was for a like
    /// request. Between the two, the caller must have reserved the room on the worker that the first returned, and have
    /// changed nothing else.
    WorkerView* chooseNext(PlacementRequest const& request, TimePoint now);

    /// The workers that could run the request's tasks: first those on the rack of its data, then those with room, then the best.
    std::vector<EligibleWorker> eligibleWorkers(PlacementRequest const& request, TimePoint now) const;

    /// Keeps one worker for a short task that found none: the one with the most cores free among those where it fits
    /// once other short tasks end. Later requests of this pass, which rank behind, do not get it.
    void holdWorkerFor(PlacementRequest const& request, TimePoint now);

    /// Reserved share of the cores of the service's workers, as of the first call for the service in this pass; 1
    /// without workers.
    double reservedShare(ServiceId const& service);

    /// Speed in percent at which a best-effort task starts on the worker when it starts throttled.
    unsigned startSpeedPercent(WorkerView const& worker, StageSpec const& stage) const;

    /// Expected CPU use of tasks of an image that request the given cores together, as a share of the worker's cores.
    double expectedCpuShare(WorkerView const& worker, ImageId image, int64_t requestedMilliCores) const;

    /// Cores of the worker less what its tasks are expected to use. Best-effort tasks that were started throttled
    /// do not count.
    double unusedMilliCores(WorkerView const& worker) const;

    PlacementCounters const& counters() const { return this->placementCounters; }

private:
    /// By service image: the number of workers on which a best-effort image runs beside it.
    using TrialCounts = std::map<ImageId, unsigned>;

    bool isAllowed(WorkerView const& worker, PlacementRequest const& request, TimePoint now) const;
    bool fits(WorkerView const& worker, PlacementRequest const& request, TimePoint now) const;
    std::vector<WorkerView const*> const& holdCandidatesOf(ServiceId const& service);
    bool canShareWorker(WorkerView const& worker, PlacementRequest const& request, TrialCounts const* trialWorkers, TimePoint now);
    static bool isEligible(WorkerView const& worker, PlacementRequest const& request);
    bool canRunBestEffort(WorkerView const& worker, PlacementRequest const& request, TrialCounts const* trialWorkers, TimePoint now);
    bool canStartTrial(ImageId service, bool isPresent, size_t imageCount, TrialCounts const* trialWorkers) const;
    TrialCounts& trialCounts(ImageId image);
    void countTrials();
    bool isOnTrialForAnyService(ImageId image) const;
    /// A request for which no worker had room: like requests that need at least as much fail too.
    struct FailedRequest {
        ServiceId service;
        bool isBestEffort = false;
        bool isService = false;
        bool isRestart = false;
        bool canUseReserve = false;
        bool canStartThrottled = false;
        bool canOvercommitCores = false;
        Resources need;
        uint64_t pass = 0; ///< In which it failed last.
        TimePoint comparedAt; ///< When it was last compared with all workers.

        /// True when the failure holds for the request too.
        bool covers(PlacementRequest const& request) const;
    };

    /// A worker that could take tasks as the pass began.
    struct Candidate {
        WorkerView* worker = nullptr;
        uint64_t lastPassChanged = 0;
    };

    /// A candidate that fitted the request, and its score then.
    struct Match {
        double score = 0;
        size_t candidate = 0; ///< Index. Of equal scores, the lowest comes first.

        bool operator<(Match const& other) const { return this->score < other.score || (this->score == other.score && this->candidate > other.candidate); }
    };

    /// The search for the tasks of one stage.
    struct Search {
        PlacementRequest request;
        std::vector<Match> matches; ///< A heap. Scores may be outdated for workers that were returned.
        std::vector<Candidate> const* candidates = nullptr;
        TimePoint comparedAt; ///< When the request was last compared with all workers.
        TrialCounts* trialWorkers = nullptr; ///< Null: the image is on trial beside no service.
        /// By the number of a service image: whether a best-effort task of the request interferes too much with it on any
        /// worker, however empty. Unset: not computed yet.
        std::vector<std::optional<bool>> excludingServices;
    };

    void beginSearch(PlacementRequest const& request, FailedRequest const* failed, TimePoint now);
    WorkerView* takeBestMatch(TimePoint now);
    bool isMatch(WorkerView const& worker, Search& search, TimePoint now);
    bool isExcludedBesideAnyService(WorkerView const& worker, Search& search, TimePoint now) const;
    bool isExcludedBeside(ImageId service, PlacementRequest const& request, TimePoint now) const;
    bool isOverLimit(ImageId service, ImageId image, double addedShare, ImageCpuShares const& shares, TimePoint now) const;
    WorkerView* search(PlacementRequest const& request, TimePoint now);
    double score(WorkerView const& worker, PlacementRequest const& request) const;
    double harmlessImageShare(WorkerView const& worker) const;
    static double serviceScore(WorkerView const& worker, PlacementRequest const& request);

    FailedRequest const* findFailed(PlacementRequest const& request) const;
    void noteFailed(PlacementRequest const& request, TimePoint comparedAt);
    void forgetFailedRequests(TimePoint now);

    std::map<WorkerId, WorkerView>& workers;
    std::map<ImageId, std::vector<FailedRequest>> failedRequests; ///< By the image that decides; those of short tasks under none.
    uint64_t passNumber = 0;
    std::map<ServiceId, std::vector<Candidate>> candidates; ///< In this pass; in the order of `workers`.
    std::map<ImageId, TrialCounts> trialCountsByImage; ///< In this pass; counted at need.
    bool hasCountedTrials = false; ///< In this pass.
    std::map<ServiceId, int64_t> largestCapacities; ///< Milli-cores of the service's largest worker in this pass.
    ImageCpuShares sharesBuffer; ///< Of canRunBestEffort; keeps its memory.
    Search currentSearch; ///< Of the latest `chooseNext`; keeps its memory.
    bool hasSearch = false; ///< The current search may go on.
    std::set<WorkerView const*> heldWorkers; ///< In this pass.
    std::map<ServiceId, std::vector<WorkerView const*>> holdCandidates; ///< Workers with short tasks or free cores, most free first; filled at need.
    std::map<ServiceId, double> reservedShares;
    std::map<ImageId, double> harmlessImageShares; ///< By service image on any worker as the pass began: the share of best-effort images that hardly interfere with it.
    InterferenceModel const& interference;
    CpuUsageModel const& cpuUsage;
    DispatchTimes const& times;
    PlacementParameters parameters;
    ServiceReserve reserve;
    PlacementCounters placementCounters;
};

} // namespace cornelpond
