#pragma once

// Simulated hosts that schedule jobs on a fake fleet, driven by a fake clock.
//
// Example:
//   JobBench bench(1);
//   bench.addWorkers(4, 16000);
//   bench.submit(job);
//   bench.run(Duration::seconds(5));
//   CHECK(bench.state(job.id) == JobState::Completed);

#include "cornelpond/core/scheduling/JobService.h"
#include "testing/fakes/FakeFleet.h"
#include "testing/fakes/FakeLogGroup.h"
#include "testing/fakes/RecordingEventSink.h"

#include <functional>
#include <memory>
#include <optional>

namespace cornelpond {

class JobBench {
public:
    /// Returns the orders by which the hosts reach the fleet.
    using OrdersFactory = std::function<std::unique_ptr<WorkerOrders>(FakeClock& clock, WorkerOrders& fleet)>;

    /// `makeOrders`: unset for orders that reach the fleet directly.
    explicit JobBench(uint64_t seed, size_t hosts = 2, OrdersFactory const& makeOrders = OrdersFactory(), JobLimits const& limits = JobLimits());

    /// Adds equal workers "w0", "w1", ... with 62000 MiB each, eight per rack. With `dataCentres`, they are in "dc0", "dc1", ... by
    /// turns, and have that as a label.
    void addWorkers(size_t count, int64_t milliCores, size_t dataCentres = 0);
    /// Starts or finishes an evacuation at the leader; returns the answer after 50 ms, unset if there is none yet.
    std::optional<CallResult> evacuate(EvacuationChange change, std::string const& dataCentre);

    /// Submits the job to the leader; the result arrives in `submitResults`. The tasks run for `runTimeFactor` times
    /// their estimated run time.
    void submit(JobSpec const& job, double runTimeFactor = 1);
    /// As `submit`, into a queue whose starts need permits.
    void submitWithPermits(JobSpec const& job);
    /// Replaces the times of the policy service, as the configuration gives them and as it keeps to them.
    void setPolicyTimes(PermitSpec const& times);
    void cancel(JobId const& job);
    void elect(size_t host);
    void crashLeader();

    /// Advances the clock in steps of 10 ms.
    void run(Duration span);

    /// Runs until no job is active, at most for `bound`; returns whether all jobs have ended.
    bool runUntilIdle(Duration bound);

    JobService& leader() { return *this->services[this->group.leader()]; }
    /// The queue that `submit` puts the job into.
    QueueSpec const& queueOf(JobSpec const& job) const;
    JobRecord const* find(JobId const& job) { return this->leader().scheduler().jobs().find(job); }
    JobState state(JobId const& job) { return this->find(job)->state; }
    /// Time from the first submission to the end of the job as the leader records it; infinite if it has not ended.
    Duration turnaroundTime(JobId const& job) const;

    FakeClock clock;
    SeededRandom random;
    RecordingEventSink events;
    FakeLogGroup group;
    FakeFleet fleet;
    std::unique_ptr<WorkerOrders> orders; ///< Null: the hosts reach the fleet directly.
    std::vector<std::unique_ptr<JobService>> services;
    std::vector<SubmitResult> submitResults; ///< Results of `submit`, in order of arrival.
    bool isCommitting = true; ///< False: proposals stay uncommitted.
    Duration announceInterval = Duration::milliseconds(1500);

private:
    void tick();
    void announceWorkers();
    void startService(size_t host);

    JobLimits limits;
    QueueConfig queues;
    std::map<JobId, TimePoint> submittedAt;
    std::map<JobId, TimePoint> endedAt;
    TimePoint nextAnnouncement;
};

/// A job of one stage.
JobSpec makeJob(std::string const& id, uint32_t tasks, int64_t milliCores, Duration estimate);

/// A job of service tasks whose image has a latency target of 18 ms.
JobSpec makeServiceJob(std::string const& id, uint32_t tasks, int64_t milliCores, std::string const& image);

/// A job of best-effort tasks that save checkpoints.
JobSpec makeBestEffortJob(std::string const& id, uint32_t tasks, int64_t milliCores, Duration estimate, std::string const& image);

} // namespace cornelpond
