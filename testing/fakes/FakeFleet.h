#pragma once

// Simulated workers without sockets that follow the rules of orders, leases and epochs. They run tasks for
// their run time, list them, and let best-effort images interfere with service images. A test can crash,
// restart, drain or cut off a worker, and let orders time out and be carried out late, also by a later process of it. The fleet counts
// violations of the scheduler's rules.
//
// Example:
//   FakeFleet fleet(clock, random);
//   fleet.addWorker(profile);
//   JobService service(clock, events, fleet, DispatchTimes(), JobLimits());
//   fleet.step(); // every 10 ms

#include "cornelpond/core/jobs/StageKey.h"
#include "cornelpond/core/scheduling/JobScheduler.h"
#include "cornelpond/ports/Random.h"
#include "cornelpond/ports/WorkerOrders.h"
#include "testing/fakes/FakeClock.h"

#include <list>
#include <map>
#include <set>

namespace cornelpond {

class FakeFleet final : public WorkerOrders {
public:
    struct Faults {
        double lateOrderShare = 0; ///< Share of orders that time out and are carried out late, and of renewals that are lost.
        Duration minLateDelay = Duration::seconds(2);
        Duration maxLateDelay = Duration::seconds(12);
        double failureShare = 0; ///< Share of attempts that end as failed.
        /// Orders are carried out by whichever process of the worker reads them, also those that name another. A worker that is
        /// down reads those that were sent meanwhile when it is back, without an answer.
        bool ordersOutliveProcesses = false;
        Duration maxStopTime; ///< A worker takes up to this long to stop a run, and lists it until then.
    };

    /// Stop orders to a worker that get no answer and are not carried out, while its renewals are answered.
    enum class LostStops {
        None,
        Usual, ///< All but those by the other route.
        AllButIdleConnection, ///< Only one connection to the worker works: lost while it carries a renewal or another stop.
        All,
    };

    /// What the policy service allows, and how it answers.
    struct Policy {
        std::function<bool(TaskRef const& stage, WorkerId const& worker)> allows; ///< The index of `stage` is 0.
        PermitSpec times;
        bool isAnswering = true; ///< False: queries get no answer until they time out.
    };

    /// A run on a worker, whatever the scheduler knows of it.
    struct RunningTask {
        WorkerId worker;
        TaskRef task;
        AttemptNumber attempt;
        Duration age;
    };

    /// A query to the policy service.
    struct PermitQuery {
        TaskRef stage;
        std::vector<WorkerId> workers;
        TimePoint at;
    };

    struct Record {
        unsigned starts = 0;
        unsigned duplicateRuns = 0; ///< Starts of a task without speculative copies that was already running, counted for each worker that ran it.
        unsigned startsAfterDone = 0; ///< Starts of tasks whose end as done had been acknowledged.
        unsigned overCapacityStarts = 0; ///< Start orders refused because the worker lacked free resources.
        unsigned startsWithoutPermit = 0; ///< Start orders refused because their ticket was missing, expired or for another worker or stage.
        unsigned unknownJobStarts = 0; ///< Start orders for jobs that were never registered.
        unsigned startsWhileDraining = 0;
        unsigned startsBeforeDependencies = 0; ///< Counts each task of a preceding stage that was not done at the start.
        unsigned prematureAcknowledgements = 0; ///< Ends for which the acknowledgement check returned false.
        Duration timeOverTarget; ///< Time over the latency target, summed over all service tasks.
        Duration longestTimeOverTarget; ///< Longest uninterrupted time over the target of one service task.
    };

    static constexpr Duration maxLease = Duration::seconds(6); ///< A longer lease is cut to this, from the order's arrival.

    FakeFleet(FakeClock& clock, Random& random);

    void addWorker(WorkerProfile const& profile, double speed = 1);
    /// Allows the job's tasks to be started. They run for `factor` times their estimated run time.
    void registerJob(JobSpec const& job, double factor = 1);
    /// Starts of the job need a ticket of the policy service from now on.
    void requirePermits(JobId const& job) { this->jobsWithPermits.insert(job); }
    Policy& policy() { return this->policyService; }
    std::vector<PermitQuery> const& permitQueries() const { return this->receivedPermitQueries; }
    /// The best-effort image raises the tail latency of the service image by the latency target times `slope`
    /// times the share of the worker's CPU that it uses.
    void setInterference(std::string const& service, std::string const& bestEffort, double slope);

    WorkerReport report(WorkerId const& worker);
    std::vector<WorkerId> reachableWorkers() const;
    /// Start time (ms) of the worker's present or latest process.
    int64_t processBornMs(WorkerId const& worker) const { return this->workers.at(worker).profile.bornMs; }

    void crash(WorkerId const& worker);
    /// Starts a new incarnation under the same id, without any earlier state.
    void restart(WorkerId const& worker);
    /// As `restart`, with the start time that the worker's wall clock gives; it may have been set.
    void restart(WorkerId const& worker, int64_t bornMs);
    /// As `restart`, at another address. Another worker answers orders to the former one, after `answerDelay`.
    void restartAt(WorkerId const& worker, std::string address, Duration answerDelay);
    void setCut(WorkerId const& worker, bool isCut);
    void setDraining(WorkerId const& worker) { this->workers.at(worker).profile.isDraining = true; }
    /// While set, start orders to the worker get no answer and are not carried out.
    void setLostStarts(WorkerId const& worker, bool isLost) { this->workers.at(worker).losesStarts = isLost; }
    /// While set, the worker answers start orders as an unhealthy one does, which has then done nothing.
    void setUnhealthy(WorkerId const& worker, bool isUnhealthy) { this->workers.at(worker).isUnhealthy = isUnhealthy; }
    void setLostStops(WorkerId const& worker, LostStops lost) { this->workers.at(worker).lostStops = lost; }
    void setFaults(Faults const& given) { this->faults = given; }
    /// Tasks run this many times as long away from the rack of their data.
    void setSlowdownElsewhere(double factor) { this->slowdownElsewhere = factor; }

    /// Advances all workers to the clock's current time.
    void step();

    Record const& record() const { return this->recorded; }
    size_t runningCount(JobId const& job) const;
    std::vector<RunningTask> runningTasks() const;
    size_t runningCountOn(WorkerId const& worker) const { return this->workers.at(worker).runs.size(); }
    /// True once an attempt of the task has ended as done.
    bool isDone(TaskRef const& task) const { return this->doneTasks.count(task); }
    /// Speed in percent of the job's most throttled task; 100 if none runs.
    unsigned lowestSpeedPercent(JobId const& job) const;
    std::set<std::string> imagesOn(WorkerId const& worker) const;
    /// `observer` is called for each task that a worker starts.
    void setStartObserver(std::function<void(TaskRef const&)> observer) { this->onStart = std::move(observer); }
    /// `check` is called for each end that the scheduler acknowledges; false counts as a premature acknowledgement.
    void setAcknowledgementCheck(std::function<bool(ListedEnd const&, WorkerId const&)> check) { this->acknowledgementCheck = std::move(check); }

    void start(WorkerTarget const& target, StartOrder const& order, Done done) override;
    void stop(WorkerTarget const& target, StopOrder const& order, Done done) override;
    void throttle(WorkerTarget const& worker, ThrottleOrder const& order, Done done) override;
    void renew(WorkerTarget const& target, RenewOrder const& order, std::function<void(RenewAnswer const&)> done) override;
    void requestPermits(TaskRef const& stage, std::vector<WorkerId> const& workers, Duration timeout, std::function<void(PermitAnswer const&)> done) override;

private:
    struct Run {
        StageSpec stage;
        Duration remainingWork;
        Duration workSinceCheckpoint;
        Duration age;
        std::string checkpoint;
        unsigned speedPercent = 100;
        double usedMilliCores = 0;
        int64_t tailLatencyMs = 0;
        Duration timeOverTarget; ///< Time for which it has been over its latency target without interruption.
        bool willFail = false;
    };

    struct PendingRenewal {
        RenewOrder order;
        std::function<void(RenewAnswer const&)> done;
        TimePoint waitEndsAt;
    };

    struct Worker {
        WorkerProfile profile;
        double speed = 1;
        bool isUp = true;
        bool isCut = false;
        bool losesStarts = false;
        bool isUnhealthy = false;
        LostStops lostStops = LostStops::None;
        unsigned ordersOnOpenConnection = 0; ///< Renewals and delivered stops without an answer.
        TimePoint startedAt;
        TimePoint leaseEnd;
        Term epoch;
        std::map<AttemptKey, Run> runs;
        std::map<TaskRef, AttemptNumber> closedUpTo; ///< Attempts up to this number can no longer start.
        std::vector<ListedEnd> unacknowledgedEnds;
        uint64_t lastEndBeforeLeaseExpiry = 0; ///< Ends up to this number precede the latest lease expiry; `startsAfterDone` leaves them out.
        uint64_t endCount = 0;
        uint64_t sequence = 0;
        std::list<PendingRenewal> pendingRenewals;
        std::vector<std::function<void(Worker&)>> unreadOrders; ///< Sent while it was down.
        bool hasAnsweredRenewal = false; ///< Since its last restart; stands for an open connection to it.
    };

    bool isOtherWorker(WorkerTarget const& target) const;
    bool isLost(Worker const& worker, StopOrder const& order) const;
    void leaveOpenConnection(WorkerId const& worker);
    void failPendingRenewals(Worker& worker);
    OrderAnswer makeAnswer(Worker const& worker, OrderResult result) const;
    Duration drawLateDelay();
    void deliver(WorkerTarget const& target, int64_t processBornMs, std::function<OrderAnswer(Worker&)> action, Done done);
    bool acceptRenewal(Worker& worker, RenewOrder const& order);
    void executeUnanswered(Worker& worker, RenewOrder const& order);
    static void extendLease(Worker& worker, TimePoint until, TimePoint now);
    std::string ticketText(TaskRef const& task, Worker const& worker) const;
    bool hasValidTicket(Worker const& worker, StartOrder const& order) const;
    OrderAnswer executeStart(Worker& worker, StartOrder const& order);
    void recordStart(TaskRef const& task, StageSpec const& stage, Worker const& worker);
    OrderAnswer executeStop(Worker& worker, StopOrder const& order);
    void acknowledge(Worker& worker, RenewOrder const& order);
    RenewAnswer acknowledgeAndList(Worker& worker, RenewOrder const& order);
    void answerPendingRenewals(Worker& worker, bool isForced);
    void endAttempt(Worker& worker, AttemptKey const& key, AttemptEnd how);
    void advanceRuns(Worker& worker, Duration span);
    Resources reservedResources(Worker const& worker) const;

    FakeClock& clock;
    Random& random;
    double slowdownElsewhere = 1;
    Faults faults;
    Record recorded;
    std::map<WorkerId, Worker> workers;
    std::map<JobId, std::pair<JobSpec, double>> jobs;
    std::map<std::pair<std::string, std::string>, double> interferenceSlopes;
    Policy policyService;
    std::set<JobId> jobsWithPermits;
    std::map<std::string, TimePoint> ticketsValidUntil;
    std::vector<PermitQuery> receivedPermitQueries;
    std::set<TaskRef> acknowledgedDoneTasks;
    std::map<TaskRef, bool> doneTasks;
    std::map<TaskRef, std::set<WorkerId>> workersStartedOn; ///< Every worker that began an attempt of the task.
    std::function<bool(ListedEnd const&, WorkerId const&)> acknowledgementCheck;
    std::function<void(TaskRef const&)> onStart;
    Duration otherWorkerDelay; ///< Until another worker answers an order that was not meant for it.
    TimePoint lastStepAt;
    uint64_t nextCheckpoint = 1;
};

} // namespace cornelpond
