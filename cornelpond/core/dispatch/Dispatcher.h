#pragma once

// Carries out on the workers what was committed: starts, stops, renews leases, reads the workers' lists and
// reports the ends of attempts. Decides nothing about what runs where.
//
// Load patterns it answers: orders that get no answer and are carried out seconds later; workers that are
// cut off and run on, crash, or come back under their old id; a new leader that meets a full fleet.
//
// Example:
//   Dispatcher dispatcher(clock, events, orders, times, jobs, hooks);
//   dispatcher.lead(epoch, roster);
//   dispatcher.reserve(worker, attempt); // then commit the start
//   dispatcher.onStartApplied(start);
//
// An attempt is started elsewhere only after its end here is certain: the worker listed the end, confirmed a
// stop and does not list the attempt, never had it and refuses older epochs, or its lease is over.

#include "cornelpond/core/dispatch/WorkerView.h"
#include "cornelpond/core/jobs/JobTable.h"
#include "cornelpond/ports/Clock.h"
#include "cornelpond/ports/EventSink.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace cornelpond {

struct DispatcherHooks {
    /// True while this host may give orders as the confirmed leader.
    std::function<bool()> canSendOrders;
    /// Commits the end of an attempt.
    std::function<void(CommitEnd const&)> proposeEnd;
    /// Removes a worker of which nothing can be running any more.
    std::function<void(WorkerProfile const&)> removeWorker;
    /// The permit for starting a task on a worker; empty where none is needed.
    std::function<std::string(TaskRef const&, WorkerId const&)> permitFor;
    std::function<void(TaskRef const&, WorkerId const&)> onPermitRefused;
    /// A worker's lists were read.
    std::function<void(WorkerView&)> onListingRead;
    /// Room or workers changed, so that waiting tasks may find a place.
    std::function<void()> onCapacityChanged;
};

class Dispatcher {
public:
    /// References must outlive the object. All hooks must be set.
    Dispatcher(Clock const& clock, EventSink& events, WorkerOrders& orders, DispatchTimes times, JobTable const& jobs, DispatcherHooks hooks);
    ~Dispatcher();
    Dispatcher(Dispatcher const&) = delete;
    Dispatcher& operator=(Dispatcher const&) = delete;

    /// Takes over from earlier leaders: knows what they committed, and reads each worker's lists under the
    /// new epoch before it starts anything there.
    void lead(Term epoch, WorkerRoster const& roster);
    void resign();
    bool isLeading() const { return this->leading; }

    void onWorkerChanged(WorkerProfile const& profile);
    void onWorkerRemoved(WorkerId const& worker);
    void onWorkerAnnounced(WorkerId const& worker);

    /// Takes room on the worker for a start that is to be committed.
    /// `tricklePercent`: of its speed, at which a task that trickles begins; none: it does not trickle.
    PlacedAttempt& reserve(WorkerView& worker, TaskRef const& task, AttemptNumber attempt, std::optional<unsigned> tricklePercent = std::nullopt);

    void onStartApplied(CommitStart const& start);
    void onStartRefused(CommitStart const& start);
    void onEndApplied(CommitEnd const& end);

    /// Starts to stop an attempt. No-op when it is being stopped.
    void stop(WorkerView& worker, PlacedAttempt& attempt);

    /// Stops all attempts of the job that no longer count.
    void stopUnwanted(JobId const& job);

    /// Sets the share of its speed that an attempt works at.
    void throttle(WorkerView& worker, PlacedAttempt& attempt, unsigned percent);

    /// Call every 10 to 20 ms.
    void onTick();

    ImageId imageId(std::string const& image) { return this->imageIds.idOf(image); }
    std::map<WorkerId, WorkerView>& workers() { return this->views; }
    std::map<WorkerId, WorkerView> const& workers() const { return this->views; }
    WorkerView* findWorker(WorkerId const& worker);
    DispatchTimes const& dispatchTimes() const { return this->times; }

private:
    using WeakLeadershipToken = std::weak_ptr<bool>;

    void inheritAttempt(TaskRef const& task, TaskRecord const& record, Attempt const& attempt);
    void checkWorker(WorkerView& view);
    void checkAttempts(WorkerView& view);
    void checkOrphanedAttempts(WorkerView& view);
    void onLeaseExpired(WorkerView& view);
    void sendRenewal(WorkerView& view);
    void onRenewalAnswered(WorkerId const& worker, int64_t bornMs, TimePoint sentAt, RenewAnswer const& answer);
    void onRenewalFailed(WorkerView& view, OrderResult result);
    void updateClock(WorkerView& view, OrderAnswer const& answer, bool tellsLife);
    void handleListing(WorkerView& view, TimePoint sentAt, WorkerListing const& listing);
    void handleRunningAttempts(WorkerView& view, WorkerListing const& listing);
    void handleListedEnds(WorkerView& view, WorkerListing const& listing);
    bool isLateFinish(ListedEnd const& end) const;
    void concludeMissing(WorkerView& view, TimePoint sentAt, WorkerListing const& listing);
    static bool canConclude(PlacedAttempt const& attempt, TimePoint sentAt);
    void acknowledgeEnds(WorkerView& view);
    void sendStart(WorkerView& view, PlacedAttempt& attempt);
    void onStartAnswered(WorkerId const& worker, AttemptKey const& key, OrderAnswer const& answer);
    void handleStartAnswer(WorkerView& view, PlacedAttempt& attempt, OrderResult result);
    void retryOrWithdrawStart(WorkerView& view, PlacedAttempt& attempt);
    void sendStop(WorkerView& view, PlacedAttempt& attempt);
    void stopOrphanedAttempt(WorkerView& view, AttemptKey const& key, OrphanedAttempt& stray);
    void sendThrottle(WorkerView& view, PlacedAttempt& attempt);
    void conclude(WorkerView& view, PlacedAttempt& attempt, AttemptEnd end, char const* reason);
    void proposeEnd(WorkerView& view, PlacedAttempt& attempt, AttemptEnd end, std::string const& checkpoint);
    bool concludeAll(WorkerView& view, char const* reason);
    void onHigherEpoch(WorkerView& view);
    void removeReplacedWorker(WorkerView& view);
    template <typename Handler>
    WorkerOrders::Done ifStillLeading(Handler handler);

    Clock const& clock;
    EventSink& events;
    WorkerOrders& orders;
    DispatchTimes times;
    JobTable const& jobs;
    DispatcherHooks hooks;
    bool leading = false;
    Term epoch;
    ImageIdTable imageIds;
    std::map<WorkerId, WorkerView> views;
    std::shared_ptr<bool> leadershipToken; ///< Replaced with each leadership: answers to earlier orders are dropped.
};

} // namespace cornelpond
