#pragma once

// A group of hosts that schedule jobs over a fake fleet, on a paused clock.
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

#include <memory>

namespace cornelpond {

class JobBench {
public:
    explicit JobBench(uint64_t seed, size_t hosts = 2);

    /// Equal workers "w0", "w1", ... of 62 GiB, eight to a rack.
    void addWorkers(size_t count, int64_t milliCores);

    /// Hands the job to the leader; the result arrives while the bench runs.
    void submit(JobSpec const& job, double realTimeFactor = 1);
    void cancel(JobId const& job);
    void elect(size_t host);
    void crashLeader();

    /// Lets time pass in steps of 10 ms.
    void run(Duration span);

    /// Runs until nothing is active any more, or the time is over; true when all ended.
    bool runUntilIdle(Duration most);

    JobService& leader() { return *this->services[this->group.leader()]; }
    JobRecord const* find(JobId const& job) { return this->leader().scheduler().jobs().find(job); }
    JobState state(JobId const& job) { return this->find(job)->state; }
    /// From acceptance to the end, on the bench's clock.
    Duration turnaroundTime(JobId const& job) const;

    FakeClock clock;
    SeededRandom random;
    RecordingEventSink events;
    FakeLogGroup group;
    FakeFleet fleet;
    std::vector<std::unique_ptr<JobService>> services;
    std::vector<SubmitResult> submitResults; ///< Of submit, in order of arrival.
    bool isCommitting = true; ///< False: proposals stay open.
    Duration announceInterval = Duration::milliseconds(1500);

private:
    void tick();
    void announceWorkers();
    void startService(size_t host);
    QueueSpec queueOf(JobSpec const& job) const;

    std::map<JobId, TimePoint> submittedAt;
    std::map<JobId, TimePoint> endedAt;
    TimePoint nextAnnouncement;
};

/// A job of one stage.
JobSpec makeJob(std::string const& id, uint32_t tasks, int64_t milliCores, Duration estimate);

/// Service tasks that last, of an image with a latency target.
JobSpec makeServiceJob(std::string const& id, uint32_t tasks, int64_t milliCores, std::string const& image);

/// Best-effort tasks of an image.
JobSpec makeBestEffortJob(std::string const& id, uint32_t tasks, int64_t milliCores, Duration estimate, std::string const& image);

} // namespace cornelpond
