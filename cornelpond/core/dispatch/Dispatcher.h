#pragma once

// Carries out committed decisions on the workers: starts, stops and throttles attempts, renews leases, reads the
// workers' listings and proposes the ends of attempts. Does not decide what runs where.
//
// Designed for: orders that get no answer and are executed seconds later; workers that are partitioned
// and keep running their tasks, crash, or come back under their old id; a new leader of a fully loaded fleet.
//
// Example:
//   Dispatcher dispatcher(clock, events, orders, times, jobs, hooks);
//   dispatcher.lead(epoch, roster);
//   dispatcher.reserve(worker, task, attempt); // then propose the start
//   dispatcher.onStartApplied(start);
//
// The end of an attempt is proposed, so that its task can start again, only once the attempt cannot run any more:
//   - its worker listed the end or refused the start;
//   - its worker confirmed the attempt or a stop of it, and a listing that was requested later lacks it;
//   - an earlier leader started it, whose epoch the worker now refuses, or it was sent to an earlier incarnation of
//     the worker, and the worker does not list it;
//   - its worker's lease has expired, or the worker was removed or replaced by another at its address.
//
// The lease in an order is a time on the clock of one process of the worker, and a later process at the same address may read the
// order: it would hold its lease for as long as it grants one. So the epoch of orders rises with each process of a worker that the
// leader learns of. Once a process has executed an order, it refuses those for former ones; until then one of them may have extended
// its lease, which the leader takes into account. Once no such lease can be left it commits that (`settleProcess`), so that a new leader
// knows of which processes it has to assume it.

#include "cornelpond/core/base/Histogram.h"
#include "cornelpond/core/dispatch/EndedJobReport.h"
#include "cornelpond/core/dispatch/ProcessChanges.h"
#include "cornelpond/core/dispatch/WorkerView.h"
#include "cornelpond/core/jobs/JobTable.h"
#include "cornelpond/ports/Clock.h"
#include "cornelpond/ports/EventSink.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace cornelpond {

struct DispatcherHooks {
    /// True while this host is the confirmed leader and may send orders.
    std::function<bool()> canSendOrders;
    /// Proposes the end of an attempt for commit.
    std::function<void(CommitEnd const&)> proposeEnd;
    /// Proposes the removal of a worker on which nothing can be running any more.
    std::function<void(WorkerProfile const&)> removeWorker;
    /// Whether a committed start may still be sent to the worker.
    std::function<bool(WorkerProfile const&, TaskRef const&, AttemptNumber)> mayStart;
    /// Proposes to record a process of a worker that has listed. The profile is that of its former process but for the start time.
    std::function<void(WorkerProfile const&)> recordProcess;
    /// Proposes to record that orders for a former process cannot take effect on the worker's present one any more.
    std::function<void(WorkerProfile const&)> settleProcess;
    /// Returns the permit for starting a task on a worker; empty when none is needed.
    std::function<std::string(TaskRef const&, WorkerId const&)> permitFor;
    std::function<void(TaskRef const&, WorkerId const&)> onPermitRefused;
    /// Called after a worker's listing was processed.
    std::function<void(WorkerView&)> onListingRead;
    /// Called when a worker has accepted the start order of an attempt. May be unset.
    std::function<void(TaskRef const&)> onStartAccepted;
    /// Called when a worker is first seen to run an attempt, or lists the end of one that is not placed there. `source`: "answer",
    /// "listing" or "listed end". May be unset.
    std::function<void(CommitStart const&, char const* source)> onAttemptSeen;
    /// Called when workers or their free resources changed, so that waiting tasks may fit now.
    std::function<void()> onCapacityChanged;
};

/// Stop orders since the host was started, for metrics and tests.
struct StopCounters {
    uint64_t sent = 0;
    uint64_t repeated = 0; ///< Sent again before the worker had confirmed one.
    Histogram confirmationTime; ///< From an attempt's first stop order to the first that the worker confirmed.
};

/// Restarts of workers under their ids since the host was started, for metrics and tests.
struct WorkerProcessCounters {
    uint64_t replaced = 0; ///< Times at which this host, as the leader, learned of a new process of a worker.
    uint64_t startsNotSent = 0; ///< Starts that were meant for a former process of the worker.
    uint64_t startsByOtherProcess = 0; ///< Starts that another process of the worker answered than they name.
    uint64_t ordersRefused = 0; ///< Orders for a former process that the present one refused for their epoch.
};

/// Workers that orders for a former process may affect, for metrics.
struct FormerOrderWorkers {
    size_t mayReceive = 0; ///< They may still get such orders.
    size_t mayHoldLease = 0; ///< They may still hold a lease that such an order extended.
};

class Dispatcher {
public:
    /// References must outlive the object. All hooks must be set, unless their description says otherwise.
    Dispatcher(Clock const& clock, EventSink& events, WorkerOrders& orders, DispatchTimes times, JobTable const& jobs, DispatcherHooks hooks);
    ~Dispatcher();
    Dispatcher(Dispatcher const&) = delete;
    Dispatcher& operator=(Dispatcher const&) = delete;

    /// Takes over from earlier leaders: inherits the attempts that they committed. A worker takes no new tasks
    /// until it has answered a renewal under the new epoch with its listing.
    void lead(Term epoch, WorkerRoster const& roster);
    void resign();
    bool isLeading() const { return this->leading; }

    /// `isOtherProcess`: the worker was known before, with another start time.
    void onWorkerChanged(WorkerProfile const& profile, bool isOtherProcess);
    void onWorkerRemoved(WorkerId const& worker);
    void onWorkerSettled(WorkerId const& worker);
    /// To be called for each worker of a restored roster that is not settled.
    void onUnsettledRestored(WorkerId const& worker) { this->processChanges.note(worker, this->clock.now()); }
    void onWorkerAnnounced(WorkerId const& worker);

    /// Reserves resources on the worker for a start that is about to be proposed.
    /// `startSpeedPercent`: speed of a throttled start, in percent of full speed; unset: the start is not throttled.
    PlacedAttempt& reserve(WorkerView& worker, TaskRef const& task, AttemptNumber attempt, std::optional<unsigned> startSpeedPercent = std::nullopt);

    void onStartApplied(CommitStart const& start);
    void onStartRefused(CommitStart const& start);
    void onEndApplied(CommitEnd const& end);

    /// Begins to stop an attempt. Does nothing when it is being stopped already, its start is not committed or its
    /// end has been proposed.
    void stop(WorkerView& worker, PlacedAttempt& attempt);

    /// To be called once for each job that ends, before `stopUnwanted`. `hasBegun`: a worker was seen to run one of its tasks.
    void reportJobEnd(JobRecord const& job, bool hasBegun) { this->endedJobs.onJobEnded(job, hasBegun); }

    /// Stops all attempts of the job whose outcome no longer matters.
    void stopUnwanted(JobId const& job);

    /// Sets the speed of an attempt, in percent of its full speed.
    void throttle(WorkerView& worker, PlacedAttempt& attempt, unsigned percent);

    /// Call every 10 to 20 ms.
    void onTick();

    ImageId imageId(std::string const& image) { return this->imageIds.idOf(image); }
    std::map<WorkerId, WorkerView>& workers() { return this->views; }
    std::map<WorkerId, WorkerView> const& workers() const { return this->views; }
    WorkerView* findWorker(WorkerId const& worker);
    /// The epoch of orders to the worker's present process: rises with each leader and, under one leader, with each process.
    Term orderEpoch(WorkerView const& view) const;
    DispatchTimes const& dispatchTimes() const { return this->times; }
    /// Placed attempts that checks by the clock have visited, for metrics and tests.
    uint64_t attemptsChecked() const { return this->attemptCheckCount; }
    StopCounters const& stopCounters() const { return this->stopTotals; }
    WorkerProcessCounters const& processCounters() const { return this->processTotals; }
    FormerOrderWorkers formerOrderWorkers() const;
    EndedJobReport const& endedJobReport() const { return this->endedJobs; }

private:
    using WeakLeadershipToken = std::weak_ptr<bool>;

    static constexpr uint64_t generationsPerEpoch = uint64_t(1) << 20U; ///< Keeps the epochs of orders below 2^53, which JSON numbers hold exactly.

    /// What was known when an order was sent.
    struct SendContext {
        uint64_t generation = 0; ///< Of the worker's process.
        int64_t bornMs = 0; ///< Of the same.
        Duration workerClock; ///< Estimate of the process's steady clock.
        TimePoint at;
    };

    void addView(WorkerProfile const& profile, bool isSettled);
    void settleProcess(WorkerView& view);
    void reportTakeOver();
    void reportFormerOrders(WorkerView const& view, char const* source);
    void reportConcludedWithoutWorker(TaskRef const& task, AttemptNumber attempt, WorkerId const& worker, bool isInherited);
    void reportFurtherAttempt(CommitStart const& start);
    void reportStray(WorkerView const& view, AttemptKey const& key);
    void reportAnsweringProcess(WorkerView const& view, AttemptKey const& key, SendContext const& sent, OrderAnswer const& answer);
    void countRefused(WorkerView const& view, uint64_t generation, OrderResult result);
    void inheritAttempt(TaskRef const& task, TaskRecord const& record, Attempt const& attempt);
    void checkWorker(WorkerView& view);
    void checkAttempts(WorkerView& view);
    bool sendDueOrder(WorkerView& view, PlacedAttempt& attempt);
    void stopCopies(TaskRef const& task);
    void stopIfUnwanted(TaskRef const& task, Attempt const& attempt);
    void checkOrphanedAttempts(WorkerView& view);
    void onLeaseExpired(WorkerView& view);
    SendContext sendContext(WorkerView const& view) const;
    void renewWhenDue(WorkerView& view);
    void sendRenewal(WorkerView& view);
    void onRenewalAnswered(WorkerId const& worker, SendContext const& sent, RenewAnswer const& answer);
    void onRenewalFailed(WorkerView& view, uint64_t generation, OrderResult result);
    /// `source`: what showed that the worker was started again, for the log.
    void onNewIncarnation(WorkerView& view, char const* source);
    void updateClock(WorkerView& view, OrderAnswer const& answer, bool isIncarnationKnown);
    void handleListing(WorkerView& view, SendContext const& sent, WorkerListing const& listing);
    void handleRunningAttempts(WorkerView& view, WorkerListing const& listing, TimePoint sentAt);
    static void reopen(PlacedAttempt& attempt);
    void handleListedEnds(WorkerView& view, WorkerListing const& listing);
    bool isLateFinish(ListedEnd const& end) const;
    void concludeMissing(WorkerView& view, TimePoint sentAt);
    static bool canConclude(PlacedAttempt const& attempt, TimePoint sentAt);
    void acknowledgeHeldEnds(WorkerView& view);
    void acknowledgeEnds(WorkerView& view);
    void sendStart(WorkerView& view, PlacedAttempt& attempt);
    void onStartAnswered(WorkerId const& worker, SendContext const& sent, AttemptKey const& key, OrderAnswer const& answer);
    static bool isFromLaterProcess(SendContext const& sent, OrderAnswer const& answer);
    void checkAnsweringProcess(WorkerView& view, SendContext const& sent, OrderAnswer const& answer);
    void reportSeen(WorkerView const& view, AttemptKey const& key, char const* source) const;
    void handleStartAnswer(WorkerView& view, PlacedAttempt& attempt, OrderResult result);
    void retryOrWithdrawStart(WorkerView& view, PlacedAttempt& attempt);
    void noteStopSent(WorkerView& view, AttemptKey const& key, StopProgress& progress, StopWay way);
    void sendStop(WorkerView& view, PlacedAttempt& attempt, StopWay way);
    void stopOrphanedAttempt(WorkerView& view, AttemptKey const& key, OrphanedAttempt& orphan, StopWay way);
    bool sendOverdueStop(WorkerView& view);
    void onStopAnswered(WorkerView& view, StopProgress& progress, StopWay way, uint64_t generation, OrderResult result);
    void releaseRenewal(WorkerView& view, StopWay way);
    void noteOpenStops(WorkerView& view);
    void sendThrottle(WorkerView& view, PlacedAttempt& attempt);
    void conclude(WorkerView& view, PlacedAttempt& attempt, AttemptEnd end, char const* reason);
    void proposeEnd(WorkerView& view, PlacedAttempt& attempt, AttemptEnd end, std::string const& checkpoint);
    bool concludeAll(WorkerView& view, char const* reason);
    void onHigherEpoch(WorkerView& view);
    void removeReplacedWorker(WorkerView& view);

    /// Wraps the handler of an answer so that answers that arrive after a change of leader are dropped.
    template <typename Handler>
    WorkerOrders::Done ifStillLeading(Handler handler)
    {
        return [token = WeakLeadershipToken(this->leadershipToken), handler = std::move(handler)](OrderAnswer const& answer) {
            if (!token.expired())
                handler(answer);
        };
    }

    Clock const& clock;
    EventSink& events;
    WorkerOrders& orders;
    DispatchTimes times;
    JobTable const& jobs;
    DispatcherHooks hooks;
    bool leading = false;
    Term epoch; ///< Of this leadership.
    uint64_t lastGeneration = 0; ///< Of the processes of all workers in this leadership.
    ImageIdTable imageIds;
    std::map<WorkerId, WorkerView> views;
    EndedJobReport endedJobs;
    uint64_t attemptCheckCount = 0;
    StopCounters stopTotals;
    WorkerProcessCounters processTotals;
    ProcessChanges processChanges;
    std::set<TaskRef> proposedFinishes; ///< Tasks of which an earlier attempt's end as done awaits its commit.
    std::shared_ptr<bool> leadershipToken; ///< Replaced by each lead(), so that answers to orders from before are dropped.
};

} // namespace cornelpond
