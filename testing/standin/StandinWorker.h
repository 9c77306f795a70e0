#pragma once

// A worker as the platform would run one: announces itself, keeps attempts under leases, runs each for
// the time its command names, and stops at lease end by itself.
//
// A task's command is "run MS", "fail MS" or "hang"; anything else runs for 100 ms. Progress counts at
// the throttled rate, is kept in checkpoints and goes on from there.
//
// Example:
//   StandinWorker worker(loop, client, options);
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
    std::string ip = "127.0.0.1"; ///< Where it takes pushed commands.
    std::vector<Address> entryHosts; ///< Announces to one after the other until one answers.
    Duration announceInterval = Duration::seconds(1);
    bool failsAll = false; ///< Every attempt fails at once.
    Duration usageLag; ///< Reported usage is this old.
    Duration checkpointTime; ///< Between the command to stop and the end.
};

class StandinWorker {
public:
    /// References must outlive the worker.
    StandinWorker(EventLoop& loop, HttpClient& client, RecordFile& record, StandinWorkerOptions options);
    ~StandinWorker();

    /// Opens the command listener and begins to announce.
    void start();

    /// While silent it announces nothing and takes no commands; attempts run on until the lease ends.
    void setSilent(bool silent) { this->isSilent = silent; }

    /// From now on every attempt fails at once, or no longer.
    void setFailsAll(bool failsAll) { this->options.failsAll = failsAll; }

    /// What attempts really use, in percent of what is reserved for them.
    void setUsagePercent(int64_t percent) { this->usagePercent = percent; }

    /// Its clock runs fast (or slow) by this many parts in a million from now on.
    void setDrift(int64_t partsPerMillion);

    /// The process ends with all its attempts; nothing more is announced until `restart`.
    void die();

    /// Comes back as a new incarnation that holds nothing.
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
        TimePoint stopsAt = TimePoint::infiniteFuture(); ///< Set while it makes its checkpoint.
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
    std::map<TaskId, AttemptNumber> highestAttempts; ///< Refuses a late start of an attempt that has ended.
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
    int64_t driftPpm = 0; ///< Parts in a million.
    TimePoint driftSetAt; ///< The machine's clock when the drift was set …
    TimePoint clockAtDriftSet; ///< … and this worker's clock then.
    std::deque<UsageSample> usageSamples;
    TimerId timer;
};

} // namespace cornelpond
