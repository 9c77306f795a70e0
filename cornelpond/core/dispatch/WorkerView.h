#pragma once

// What a leader believes of one worker: its life, its clock, its lease, what is placed on it, and how much
// room that leaves.
//
// Example:
//   WorkerView view(profile, now);
//   view.place(attempt);
//   if (need.fitsIn(view.freeRoom()))
//       placeAnother();

#include "cornelpond/core/dispatch/ImageLoads.h"
#include "cornelpond/core/jobs/JobSpec.h"
#include "cornelpond/core/jobs/WorkerRoster.h"
#include "cornelpond/ports/WorkerOrders.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cornelpond {

/// How long leases last and when a worker counts as out of touch.
struct DispatchTimes {
    /// Long enough to outlast a change of leader, short enough that the work of a crashed worker is soon
    /// free to start elsewhere.
    Duration leaseDuration = Duration::milliseconds(3500);
    /// Covers a worker clock that is 2 % slow over one lease, and the error of the estimate of that clock.
    Duration leaseMargin = Duration::milliseconds(250);
    /// How long a worker may wait for an end before it answers a renewal. Bounds the age of its lists.
    Duration longPollWait = Duration::milliseconds(700);
    /// Of an answer beyond what the worker may wait; several round trips between data centres.
    Duration orderTimeout = Duration::milliseconds(600);
    /// A worker silent for longer gets no new tasks, and its lease is no longer extended.
    Duration silenceTimeout = Duration::milliseconds(1500);
    /// Between attempts to reach a worker that does not answer.
    Duration minRetryDelay = Duration::milliseconds(100);
    Duration maxRetryDelay = Duration::milliseconds(500);
    /// Orders without an answer may be carried out this much later.
    Duration maxOrderDelay = Duration::seconds(15);
};

constexpr unsigned fullSpeedPercent = 100; ///< Percent: a task that is not slowed down.

/// One attempt on a worker, from the decision to place it until its end is committed.
struct PlacedAttempt {
    enum class Phase {
        Proposed, ///< The start is not committed yet.
        Starting, ///< Committed; the worker has not confirmed it.
        Running, ///< The worker accepted it or lists it.
    };

    TaskRef task;
    AttemptNumber number;
    StageSpec const* stage = nullptr; ///< Lives as long as the job's record.
    ImageId image;
    Phase phase = Phase::Proposed;
    bool isInherited = false; ///< Committed by an earlier leader.
    bool isEndProposed = false; ///< Its end is proposed and not committed yet.
    TimePoint confirmedAt; ///< Running since, as far as this leader knows.

    unsigned startsSent = 0;
    bool isStartInFlight = false; ///< A start order is under way.
    bool isStartUncertain = false; ///< One of them got no answer and may be carried out late.
    TimePoint nextStartAt;

    bool isStopping = false;
    bool isStopInFlight = false;
    TimePoint nextStopAt;
    std::optional<TimePoint> stopConfirmedAt;

    std::string checkpoint; ///< The latest listed.
    unsigned progressPercent = 0;
    int64_t latencyMsOrMilliCores = -1;
    /// A best-effort task beside a service that it harms: it works at a pace that the service bears.
    bool isThrottledStart = false;
    unsigned targetSpeedPercent = fullSpeedPercent; ///< Wanted, in percent.
    std::optional<unsigned> acknowledgedSpeedPercent = fullSpeedPercent; ///< Acknowledged; none: an earlier leader may have changed it.
    bool isThrottleInFlight = false;
    TimePoint throttleConfirmedAt; ///< When the worker last confirmed a change.

    bool isService() const { return this->stage->isService; }
    bool isBestEffort() const { return this->stage->isBestEffort; }
    /// It runs and is neither being stopped nor known to have ended.
    bool isRunning() const { return this->phase == Phase::Running && !this->isStopping && !this->isEndProposed; }
    /// What counts against the worker's capacity.
    Resources reserved() const;
};

using AttemptKey = std::pair<TaskRef, AttemptNumber>;

struct OrphanedAttempt {
    bool isStopInFlight = false;
    TimePoint nextStopAt;
    TimePoint forgetAt;
    bool isListed = true;
};

class WorkerView {
public:
    WorkerView(WorkerProfile profile, TimePoint now);

    PlacedAttempt& place(PlacedAttempt attempt);
    void remove(AttemptKey const& key);
    PlacedAttempt* find(AttemptKey const& key);

    /// Capacity less all reservations. Negative where a worker came back smaller.
    Resources freeResources() const { return this->profile.capacity - this->reserved; }

    /// The worker's steady clock now, as far as it can be told. Precondition: knowsClock.
    Duration estimatedClock(TimePoint now) const { return this->workerClock + (now - this->workerClockReadAt); }

    /// True once everything that ran there when the last order left must have ended with its lease.
    bool isLeaseExpired(TimePoint now, DispatchTimes const& times) const;

    bool isAnswering(TimePoint now, DispatchTimes const& times) const { return this->consecutiveRenewalFailures == 0 && now - this->lastAnswerAt <= times.silenceTimeout; }

    /// True when a task may be started there.
    bool canTakeTasks(TimePoint now, DispatchTimes const& times) const;

    /// Tasks of one stage of one occurrence placed here.
    size_t countTasksOfStage(TaskRef const& stage) const;

    /// Forgets what only held for the former life.
    void resetForNewIncarnation(TimePoint now, Duration lateOrder);

    WorkerTarget target() const { return { this->profile.id, this->profile.address, this->profile.dataCentre }; }

    WorkerProfile profile;
    std::map<AttemptKey, PlacedAttempt> placed;
    std::map<AttemptKey, OrphanedAttempt> orphanedAttempts; ///< Runs that nobody wants, to be stopped.
    Resources reserved;
    int64_t serviceMilliCores = 0; ///< Reserved by service tasks.
    ImageLoads serviceImages; ///< Placed service tasks with a latency target, by image.
    ImageLoads bestEffortImages; ///< Placed best-effort tasks that do not trickle, by image.
    unsigned throttledStartCount = 0;

    bool hasClock = false;
    Duration workerClock;
    TimePoint workerClockReadAt;
    TimePoint lastLeaseExtensionAt; ///< When the last order that extended the lease left.
    TimePoint lastAnswerAt;
    TimePoint lastAnnouncedAt;
    bool hasListing = false; ///< Its lists of this life were read under this leader.
    bool hasHigherEpoch = false; ///< It knows a higher epoch.
    unsigned consecutiveRenewalFailures = 0; ///< Renewals without an answer in a row.

    bool isRenewalInFlight = false;
    TimePoint nextRenewalAt;
    TimePoint nextCheckAt; ///< Of what is placed.
    uint64_t acknowledgedEnds = 0; ///< Ends up to here are committed.
    uint64_t deliveredAcknowledgedEnds = 0; ///< Up to here the worker was told to forget them.
    std::vector<ListedEnd> listedEnds; ///< Not acknowledged yet.

    TimePoint startsPausedUntil; ///< It refused a start for want of room, or did not take one.
    unsigned bestEffortSpeedPercent = fullSpeedPercent; ///< Of all best-effort tasks here.
    TimePoint bestEffortSpeedChangedAt;
    TimePoint bestEffortLeftAt; ///< When a best-effort task last left.
    std::optional<TimePoint> overTargetSince; ///< A service task is over its target at every look since then.
    double tailRatio = 0; ///< Worst tail over target at the last look; 0 without a service task.

private:
    void updateTotals(PlacedAttempt const& attempt, int direction);
};

} // namespace cornelpond
