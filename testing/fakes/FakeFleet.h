#pragma once

// Workers that keep the rules of orders, leases and epochs, without sockets: they run tasks for their time,
// list them, disturb each other by image, and can crash, come back, be cut off, or leave orders unanswered
// and carry them out late. Records what must never happen.
//
// Example:
//   FakeFleet fleet(clock, random);
//   fleet.addWorker(profile);
//   JobService service(clock, events, fleet, DispatchTimes(), JobLimits());
//   fleet.step(); // every 10 ms

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
        double lateOrderShare = 0; ///< Share of orders that get no answer and are carried out late.
        Duration minLateDelay = Duration::seconds(2);
        Duration maxLateDelay = Duration::seconds(12);
        double failureShare = 0; ///< Share of runs that end failed.
    };

    struct Record {
        unsigned starts = 0;
        unsigned duplicateRuns = 0; ///< Two runs of a task that allows no copies, at once.
        unsigned startsAfterDone = 0; ///< A start after an acknowledged end as done.
        unsigned overCapacityStarts = 0; ///< Starts that were refused for want of room.
        unsigned unknownJobStarts = 0; ///< Of jobs that nobody submitted.
        unsigned startsWhileDraining = 0;
        unsigned startsBeforeDependencies = 0; ///< Starts of a stage before the ones it comes after were done.
        unsigned prematureAcknowledgements = 0; ///< Ends that a check found forgotten before they were committed.
        Duration timeOverTarget; ///< Time of service tasks at work over their target.
        Duration longestTimeOverTarget; ///< Of one of them on end.
    };

    FakeFleet(FakeClock& clock, Random& random);

    void addWorker(WorkerProfile const& profile, double speed = 1);
    /// The job's tasks may be started; `factor` times their estimate is how long they really take.
    void registerJob(JobSpec const& job, double factor = 1);
    /// Tail latency grows by `slope` times the target for each whole worker that the image uses.
    void setInterference(std::string const& service, std::string const& bestEffort, double slope);

    WorkerReport report(WorkerId const& worker);
    std::vector<WorkerId> reachableWorkers() const;

    void crash(WorkerId const& worker);
    /// The same id, with nothing of before.
    void restart(WorkerId const& worker);
    void setCut(WorkerId const& worker, bool isCut);
    void setDraining(WorkerId const& worker) { this->workers.at(worker).profile.isDraining = true; }
    void setFaults(Faults const& given) { this->faults = given; }

    /// Lets everything run on to the clock's present time.
    void step();

    Record const& record() const { return this->recorded; }
    size_t runningCount(JobId const& job) const;
    size_t runningCountOn(WorkerId const& worker) const { return this->workers.at(worker).runs.size(); }
    /// Percent at which the job's slowest task works; 100 with none running.
    unsigned lowestSpeedPercent(JobId const& job) const;
    std::set<std::string> imagesOn(WorkerId const& worker) const;
    /// Hears of each task that a worker starts.
    void setStartObserver(std::function<void(TaskRef const&)> observer) { this->onStart = std::move(observer); }
    /// Asked whenever a worker is told to forget an end; false is recorded as a fault.
    void setAcknowledgementCheck(std::function<bool(ListedEnd const&, WorkerId const&)> check) { this->acknowledgementCheck = std::move(check); }

    void start(WorkerTarget const& worker, StartOrder const& order, Done done) override;
    void stop(WorkerTarget const& worker, StopOrder const& order, Done done) override;
    void throttle(WorkerTarget const& worker, ThrottleOrder const& order, Done done) override;
    void renew(WorkerTarget const& worker, RenewOrder const& order, std::function<void(RenewAnswer const&)> done) override;
    void requestPermits(TaskRef const& stage, std::vector<WorkerId> const& workers, Duration timeout, std::function<void(PermitAnswer const&)> done) override;

private:
    struct Run {
        StageSpec stage;
        Duration remainingWork;
        Duration workSinceCheckpoint; ///< Since the last checkpoint.
        Duration age;
        std::string checkpoint;
        unsigned speedPercent = 100;
        double usedMilliCores = 0;
        int64_t tailLatencyMs = 0;
        Duration timeOverTarget; ///< Over its target for so long on end.
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
        TimePoint startedAt;
        TimePoint leaseEnd;
        Term epoch;
        std::map<AttemptKey, Run> runs;
        std::map<TaskRef, AttemptNumber> closedUpTo; ///< No attempt up to this one may start any more.
        std::vector<ListedEnd> unacknowledgedEnds;
        uint64_t lastEndBeforeLeaseExpiry = 0; ///< Ends up to this number were followed by the lapse of the lease.
        uint64_t endCount = 0;
        uint64_t sequence = 0;
        std::list<PendingRenewal> pendingRenewals;
        bool hasAnsweredRenewal = false; ///< This life; a connection to it is open.
    };

    bool isUnknownWorker(WorkerTarget const& target) const;
    void failPendingRenewals(Worker& worker);
    OrderAnswer makeAnswer(Worker const& worker, OrderResult result) const;
    void deliver(WorkerTarget const& target, std::function<OrderAnswer(Worker&)> action, Done done);
    OrderAnswer executeStart(Worker& worker, StartOrder const& order);
    void recordStart(TaskRef const& task, StageSpec const& stage, Worker const& worker);
    OrderAnswer executeStop(Worker& worker, StopOrder const& order);
    RenewAnswer acknowledgeAndList(Worker& worker, RenewOrder const& order);
    void answerPendingRenewals(Worker& worker, bool isForced);
    void endAttempt(Worker& worker, AttemptKey const& key, AttemptEnd how);
    void advanceRuns(Worker& worker, Duration span);
    Resources reservedResources(Worker const& worker) const;

    FakeClock& clock;
    Random& random;
    Faults faults;
    Record recorded;
    std::map<WorkerId, Worker> workers;
    std::map<JobId, std::pair<JobSpec, double>> jobs;
    std::map<std::pair<std::string, std::string>, double> interferenceSlopes;
    std::set<TaskRef> acknowledgedDoneTasks;
    std::map<TaskRef, bool> doneTasks;
    std::function<bool(ListedEnd const&, WorkerId const&)> acknowledgementCheck;
    std::function<void(TaskRef const&)> onStart;
    TimePoint lastStepAt;
    uint64_t nextCheckpoint = 1;
};

} // namespace cornelpond
