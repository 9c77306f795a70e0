#pragma once

// A stand-in for a worker of the platform: announces itself, runs each attempt for the time that its command
// gives, and stops all attempts by itself when its lease expires.
//
// A task's command is "run MS", "fail MS" or "hang"; anything else runs for 100 ms. Progress is made
// at the throttled rate; a checkpoint saves it, and an attempt that resumes from the checkpoint continues there.
//
// Example:
//   StandinWorker worker(loop, client, record, options);
//   worker.start();

#include "cornelpond/adapters/http/HttpClient.h"
#include "cornelpond/adapters/http/HttpServer.h"
#include "cornelpond/core/tasks/WorkerMessages.h"
#include "testing/standin/Record.h"

#include <deque>
#include <map>
#include <string>

namespace cornelpond {

struct StandinWorkerOptions {
    WorkerId worker;
    RackId rack;
    Labels labels;
    Resources capacity;
    std::string ip = "127.0.0.1"; ///< Where it receives pushed commands.
    std::vector<Address> entryHosts; ///< After a failed announcement the next one is used.
    Duration announceInterval = Duration::seconds(1);
    bool failsAll = false; ///< Every attempt fails immediately.
    Duration usageLag; ///< Reported usage is this old.
    Duration checkpointTime; ///< Between the stop command and the end of the attempt.
};

class StandinWorker {
public:
    /// References must outlive the worker.
    StandinWorker(EventLoop& loop, HttpClient& client, RecordFile& record, StandinWorkerOptions options);
    ~StandinWorker();

    /// Opens the command listener and begins to announce.
    void start();

    /// While silent it sends no announcements and ignores commands; attempts continue until the lease expires.
    void setSilent(bool silent) { this->isSilent = silent; }

    /// Whether every attempt started from now on fails immediately.
    void setFailsAll(bool failsAll) { this->options.failsAll = failsAll; }

    /// The actual usage of attempts, in percent of what is reserved for them.
    void setUsagePercent(int64_t percent) { this->usagePercent = percent; }

    /// Makes its clock run faster by this many parts per million from now on; negative: slower.
    void setDrift(int64_t partsPerMillion);

    /// Simulates the end of the process with all its attempts; nothing is announced until `restart`.
    void die();

    /// Starts a new incarnation without attempts.
    void restart();

    uint64_t startedAttemptCount() const { return this->startedAttempts; }

private:
    struct Attempt {
        ReportedAttempt report;
        Duration runTime;
        Duration progress; ///< At `progressAt`.
        TimePoint progressAt;
        int64_t ratePercent = 100;
        bool fails = false;
        TimePoint stopsAt = TimePoint::infiniteFuture(); ///< Finite while the attempt makes its checkpoint.
    };

    struct UsageSample {
        TimePoint at;
        std::map<TaskId, Resources> used;
    };

    TimePoint now() const;
    void beginIncarnation();
    void tick();
    void announce();
    void handleCommands(HttpRequest const& request, HttpResponder const& responder);
    void setRate(Attempt& attempt, int64_t percent) const;
    void sampleUsage();
    Resources laggedUsage(TaskId const& task) const;
    void onAnswer(TimePoint sentAt, HttpOutcome const& outcome);
    void execute(WorkerCommand const& command);
    void startAttempt(WorkerCommand const& command);
    void endAttempt(Attempt& attempt, AttemptOutcome outcome);
    void endDueAttempts(TimePoint now);
    void stopAtLeaseEnd(TimePoint now);
    void recordEnd(Attempt const& attempt, std::string const& outcome);

    EventLoop& loop;
    HttpClient& client;
    RecordFile& record;
    StandinWorkerOptions options;
    HttpServer commandServer;
    std::string incarnation;
    AnnouncementNumber lastAnnouncement;
    std::map<AnnouncementNumber, TimePoint> announcementSentAt;
    std::map<TaskId, Attempt> attempts;
    std::map<TaskId, AttemptNumber> highestAttempts; ///< For refusing a late start of an attempt that has ended.
    std::string commandAddress;
    Term epoch;
    Duration lease = Duration::seconds(5);
    TimePoint leaseEnd;
    TimePoint nextAnnouncementAt;
    size_t nextHost = 0;
    uint64_t startedAttempts = 0;
    bool isSilent = false;
    bool isDead = false;
    int64_t usagePercent = 100;
    int64_t driftPpm = 0; ///< Parts per million.
    TimePoint driftSetAt; ///< The machine's clock when the drift was set.
    TimePoint clockAtDriftSet; ///< This worker's clock when the drift was set.
    std::deque<UsageSample> usageSamples;
    TimerId timer;
};

} // namespace cornelpond
