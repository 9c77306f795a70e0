#pragma once

// The leader's view of one worker: its incarnation, clock and lease, the attempts placed on it and the resources
// that they leave free.
//
// Example:
//   WorkerView view(profile, now);
//   view.place(attempt);
//   if (need.fitsIn(view.freeResources()))
//       placeAnother();

#include "cornelpond/core/dispatch/ImageLoads.h"
#include "cornelpond/core/jobs/JobSpec.h"
#include "cornelpond/core/jobs/WorkerRoster.h"
#include "cornelpond/ports/WorkerOrders.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

namespace cornelpond {

/// Lease, timeout and retry settings of orders to workers.
struct DispatchTimes {
    /// Outlasts a change of leader; short enough that the tasks of a crashed worker soon start elsewhere.
    Duration leaseDuration = Duration::milliseconds(3500);
    /// Added before a lease counts as expired. Covers a worker clock that runs 2 % slow over one lease and the error
    /// of the leader's estimate of that clock.
    Duration leaseMargin = Duration::milliseconds(250);
    /// The longest lease that workers grant; they shorten longer ones.
    Duration maxLease = Duration::seconds(6);
    /// How long a worker may wait for an attempt to end before it answers a renewal. Bounds the age of its listing.
    Duration longPollWait = Duration::milliseconds(700);
    /// For an answer, on top of the time that the worker may wait; several round trips between data centres.
    Duration orderTimeout = Duration::milliseconds(600);
    /// A worker that has not answered for longer gets no new tasks, and its lease is no longer extended.
    Duration silenceTimeout = Duration::milliseconds(1500);
    /// Between renewals to a worker that does not answer; grows linearly with its failures in a row.
    Duration minRetryDelay = Duration::milliseconds(100);
    Duration maxRetryDelay = Duration::milliseconds(500);
    /// How much later an order that got no answer may still be executed.
    Duration maxOrderDelay = Duration::seconds(15);

    /// How long, at most, a lease lasts that a worker extends now, on a clock that runs 2 % slow.
    Duration longestLeaseOnSlowClock() const { return this->maxLease * 50 / 49; }
};

constexpr unsigned fullSpeedPercent = 100; ///< Speed of a task that is not throttled.

/// The stop orders for one attempt.
struct StopProgress {
    unsigned sent = 0;
    bool isInFlight = false;
    std::optional<TimePoint> confirmedAt; ///< When the first was confirmed, or a start of the attempt refused as old.
    bool isOutlived = false; ///< A listing that was requested long after that still held the run, so the confirmation does not count.
    TimePoint firstSentAt; ///< Meaningless while `sent` is 0.
    TimePoint nextAt;
    TimePoint nextOnRenewalConnectionAt; ///< As `nextAt`, but on the connection of a renewal, whatever other order is in flight.
    OrderResult lastResult = OrderResult::Unknown; ///< Of the latest one that was answered or given up.

    /// True from the first order until one is confirmed.
    bool isOpen() const { return this->sent && (!this->confirmedAt || this->isOutlived); }

    void confirm(TimePoint now);
    /// For what counts as another process of the worker. An open stop stays open since its first order: the report of the process may
    /// be wrong, and a run that no stop reaches must end with its lease all the same.
    StopProgress begunAgain() const;
    /// To be called when a listing that was requested at `requestedAt` holds the run.
    void noteListed(TimePoint requestedAt);

    /// The way of the next order that awaits no renewal: by turns, as a route or a pooled connection may fail without notice.
    StopWay nextWay() const { return this->sent % 2 ? StopWay::OtherRoute : StopWay::Usual; }
};

/// One attempt on a worker, from the placement decision until its end is committed.
struct PlacedAttempt {
    enum class Phase {
        Proposed, ///< The start is not committed yet.
        Starting, ///< The start is committed; the worker has not confirmed it.
        Running, ///< The worker accepted it or lists it.
    };

    TaskRef task;
    AttemptNumber number;
    StageSpec const* stage = nullptr; ///< Valid as long as the job's record.
    ImageId image;
    Phase phase = Phase::Proposed;
    bool isInherited = false; ///< Committed by an earlier leader or for an earlier incarnation of the worker, and not listed since.
    bool isEndProposed = false; ///< The end is proposed and not committed yet.
    std::optional<TimePoint> placedAt; ///< When this leader decided on it; unset if an earlier one did.
    TimePoint confirmedAt; ///< When this leader first saw it running.

    unsigned startsSent = 0;
    bool isStartPending = true; ///< Neither listed nor answered yet, whatever the answer.
    bool isStartInFlight = false; ///< A start order awaits its answer.
    bool isStartUncertain = false; ///< A start order got no answer and may be executed late.
    TimePoint openStartSince; ///< When the first start order was sent of those that got no answer yet.
    TimePoint nextStartAt;

    bool isStopping = false;
    std::optional<TimePoint> refusedAsOldAt; ///< When the worker last refused its start as old, unless a listing since has held it.
    StopProgress stopOrders;

    uint64_t lastListing = 0; ///< Number of the latest listing that held it.
    std::optional<TimePoint> lastListedAt; ///< When that listing arrived, for the log.
    std::string checkpoint; ///< The latest that the worker listed, else the task's committed one; empty: none.
    unsigned progressPercent = 0;
    int64_t latencyMsOrMilliCores = -1; ///< As in ListedAttempt; -1: not given.
    /// A best-effort task placed next to a service that it interferes with, at a speed that the service tolerates.
    bool isThrottledStart = false;
    unsigned targetSpeedPercent = fullSpeedPercent; ///< The speed that was last asked for.
    std::optional<unsigned> acknowledgedSpeedPercent = fullSpeedPercent; ///< Unset: unknown, as an earlier leader may have changed it.
    bool isThrottleInFlight = false;
    TimePoint throttleConfirmedAt; ///< When the worker last confirmed a throttle order.

    bool isService() const { return this->stage->isService; }
    bool isBestEffort() const { return this->stage->isBestEffort; }
    /// True when it runs, is not being stopped and its end is not proposed.
    bool isRunning() const { return this->phase == Phase::Running && !this->isStopping && !this->isEndProposed; }
    /// When the worker said that it cannot start any more: by refusing its start as old, or by confirming a stop.
    std::optional<TimePoint> closedAt() const { return this->refusedAsOldAt ? this->refusedAsOldAt : this->stopOrders.confirmedAt; }
    /// True from its first stop order until the worker has confirmed one, and again when it is listed long after that, until it ends.
    bool hasUnconfirmedStop() const { return this->isStopping && this->stopOrders.isOpen() && !this->isEndProposed; }
    /// True while it also may run. `listedAt`: when the worker's latest listing arrived.
    bool awaitsStop(TimePoint listedAt) const;
    /// Resources that count against the worker's capacity: a best-effort task reserves no cores.
    Resources reserved() const;
};

using AttemptKey = std::pair<TaskRef, AttemptNumber>;

/// Compares the job once, and takes keys by reference, so that a lookup copies no id.
struct AttemptKeyLess {
    using is_transparent = void;

    template <typename Left, typename Right>
    bool operator()(Left const& left, Right const& right) const
    {
        int const jobs = left.first.job.value().compare(right.first.job.value());
        return jobs ? jobs < 0 : this->restOf(left) < this->restOf(right);
    }

private:
    template <typename Key>
    static auto restOf(Key const& key)
    {
        return std::make_tuple(key.first.occurrence, key.first.stage, key.first.index, key.second);
    }
};

/// An attempt to be stopped: the worker lists it though it is not placed there or its end is proposed, or may still execute a start order
/// that was sent to its earlier incarnation.
struct OrphanedAttempt {
    StopProgress stopOrders;
    TimePoint forgetAt; ///< Earliest time of removal when it is not listed.
    bool isListed = true; ///< In the worker's latest listing.
    std::optional<TimePoint> listedSince; ///< When it was first listed, for the log.
    TimePoint nextReportAt;

    /// True while it runs and no stop order is confirmed, or one was that it outlived.
    bool awaitsStop() const { return this->isListed && this->stopOrders.isOpen(); }
};

class WorkerView {
public:
    WorkerView(WorkerProfile profile, TimePoint now);

    PlacedAttempt& place(PlacedAttempt attempt);
    void remove(AttemptKey const& key);
    /// To be called when the worker has answered the attempt's start order, or lists the attempt.
    void settleStart(PlacedAttempt& attempt);
    /// Placed attempts of which the worker has not been heard of yet.
    size_t pendingStarts() const { return this->pendingStartCount; }
    PlacedAttempt* find(AttemptKey const& key) { return this->find(key.first, key.second); }
    PlacedAttempt* find(TaskRef const& task, AttemptNumber attempt);

    /// Capacity less all reservations. Negative when a worker came back with less capacity.
    Resources freeResources() const { return this->profile.capacity - this->reserved; }

    /// Cores that no task used since the last but one call of startIdleWindow; 0 before the second call.
    int64_t idleMilliCores() const { return std::min(this->leastFreeMilliCores, this->leastFreeMilliCoresBefore); }
    void startIdleWindow();

    /// Estimate of the worker's steady clock at `now`. Precondition: hasClock.
    Duration estimatedClock(TimePoint now) const { return this->workerClock + (now - this->workerClockReadAt); }

    /// True once the lease that was last granted, plus the margin, is over, and any that an order for a former process may have
    /// extended: nothing that ran under them still runs.
    bool isLeaseExpired(TimePoint now, DispatchTimes const& times) const;

    bool isAnswering(TimePoint now, DispatchTimes const& times) const { return this->consecutiveRenewalFailures == 0 && now - this->lastAnswerAt <= times.silenceTimeout; }

    /// Updates `openStopSince`.
    void refreshOpenStops();
    /// The time at which a lease that is extended now begins: no later than the first order of the oldest open stop, so that
    /// an attempt that no stop order reaches ends with its lease. A stop that is confirmed soon hardly shortens the lease.
    TimePoint leaseBase(TimePoint now) const { return this->openStopSince ? std::min(now, *this->openStopSince) : now; }
    /// True while a stop order is unconfirmed for longer than its answer may take.
    bool isStopOverdue(TimePoint now, DispatchTimes const& times) const { return this->openStopSince && now - *this->openStopSince > times.orderTimeout; }

    /// When the first start was sent of those that no listing or answer settles; infinite if there is none.
    TimePoint oldestOpenStart() const;

    /// True when new tasks may be placed there.
    bool canTakeTasks(TimePoint now, DispatchTimes const& times) const;

    /// Number of placed attempts of the same job, occurrence and stage; the index of `stage` is ignored.
    size_t countTasksOfStage(TaskRef const& stage) const;

    /// Discards the state of the worker's earlier incarnation. `newGeneration` must be higher than that of any earlier one.
    void resetForNewIncarnation(uint64_t newGeneration, TimePoint now, DispatchTimes const& times);

    /// To be called when the process is reported at another address. Until it lists from there, an answer tells nothing of what it runs.
    void noteAddressChange(TimePoint now);

    /// To be called when the worker has executed its first order of the present generation. From now on it refuses orders for former
    /// processes, one of which may just have extended its lease.
    void noteGenerationSeen(TimePoint now, DispatchTimes const& times);

    /// Call after a change that may let tasks fit that did not fit before.
    void noteChange() { this->hasChanged = true; }
    /// True once after each change.
    bool takeChange() { return std::exchange(this->hasChanged, false); }

    WorkerTarget target() const { return { this->profile.id, this->profile.address, this->profile.dataCentre }; }

    WorkerProfile profile;
    std::map<AttemptKey, PlacedAttempt, AttemptKeyLess> placed;
    std::map<AttemptKey, OrphanedAttempt> orphanedAttempts; ///< Removed once the worker no longer lists them and cannot start them any more.
    Resources reserved;
    int64_t serviceMilliCores = 0; ///< Reserved by service tasks.
    Resources shortTaskReserved; ///< By tasks that are neither service tasks nor best-effort.
    ImageLoads serviceImages; ///< Placed service tasks with a latency target, by image.
    ImageLoads bestEffortImages; ///< Placed best-effort tasks except throttled starts, by image.
    unsigned throttledStartCount = 0; ///< Placed attempts with isThrottledStart.

    bool hasClock = false;
    Duration workerClock; ///< The worker's steady clock as last reported.
    TimePoint workerClockReadAt; ///< When that report arrived, on this host's clock.
    TimePoint lastLeaseExtensionAt; ///< When the last order that extended the lease was sent.
    uint64_t generation = 0; ///< Rises with each process of the worker that this leader learns of.
    /// Orders for a former process, with leases by its clock, may have reached the present one before an order of the present generation.
    bool mayReceiveFormerOrders = false;
    bool isSettled = true; ///< As the roster has it: orders for a former process cannot take effect on the present one any more.
    TimePoint nextSettleAt;
    TimePoint formerOrdersLeaseEnd; ///< The latest end of a lease on the present process that such an order extended.
    TimePoint lastAnswerAt;
    TimePoint lastAnnouncedAt;
    std::optional<TimePoint> addressChangedAt; ///< For the present process. Listings that were requested before are of another address.
    int64_t listingBornMs = 0; ///< As the latest listing gave it; 0 if it gave none.
    bool hasListing = false; ///< This leader has processed a listing of the worker's current incarnation.
    bool hasHigherEpoch = false; ///< It has seen a higher epoch and refuses this leader's orders.
    unsigned consecutiveRenewalFailures = 0; ///< Renewals without an answer; reset by a listing.

    bool isRenewalInFlight = false;
    TimePoint nextRenewalAt;
    TimePoint renewalHeldUntil; ///< Stop orders use the connection of the latest renewal until then.
    std::optional<TimePoint> openStopSince; ///< When the first order was sent of the oldest unconfirmed stop of an attempt that may run.
    bool isLeaseWithheld = false; ///< As last logged.
    TimePoint nextCheckAt; ///< Of the lease, and of attempts that await orders.
    TimePoint nextFullCheckAt; ///< Of all placed attempts.
    bool hasOpenOrders = true; ///< Some placed attempt may await an order: a start, stop or throttle.
    uint64_t listingCount = 0; ///< Listings processed.
    uint64_t acknowledgedEnds = 0; ///< The worker may drop its listed ends up to this number.
    uint64_t deliveredAcknowledgedEnds = 0; ///< The part of acknowledgedEnds that is known to have been passed on to the worker.
    std::vector<ListedEnd> listedEnds; ///< By the worker, and not acknowledged yet.
    std::map<uint64_t, TimePoint> endsListedAt; ///< When each of these was first listed, by number.

    TimePoint startsPausedUntil; ///< Set when the worker refused a start for lack of resources or as invalid, or did not confirm one.
    unsigned bestEffortSpeedPercent = fullSpeedPercent; ///< For its best-effort tasks; throttled starts have their own speeds.
    TimePoint bestEffortSpeedChangedAt;
    TimePoint bestEffortLeftAt; ///< When the end of a best-effort task was last committed.
    bool isEvacuated = false; ///< Its data centre is being evacuated: no tasks are placed there.
    std::optional<TimePoint> overTargetSince; ///< Since then every listing had a service task at or over its latency target.
    uint64_t lastPassAvailable = 0; ///< Number of the latest pass in which it could take tasks.
    uint64_t lastPassChanged = 0; ///< Number of the first pass that saw its latest change.
    double tailRatio = 0; ///< Worst ratio of tail latency to target in the last listing; 0 without a service task.

private:
    void updateTotals(PlacedAttempt const& attempt, int direction);

    bool hasChanged = true;
    size_t pendingStartCount = 0;
    int64_t leastFreeMilliCores = 0; ///< Since the current idle window began.
    int64_t leastFreeMilliCoresBefore = 0; ///< In the window before.
};

} // namespace cornelpond
