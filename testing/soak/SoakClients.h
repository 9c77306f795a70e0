#pragma once

// The clients and operators of a soak run. They submit, query and cancel jobs and change the configuration, send
// requests without a clear answer again, and record every answer that violates a guarantee.
//
// Example:
//   SoakClients clients(loop, client, random, addresses, cancelCheck, false, onSubmit);
//   clients.onTick(); // every few milliseconds
//   clients.violations();

#include "cornelpond/adapters/http/HttpClient.h"
#include "cornelpond/core/jobs/JobSpec.h"
#include "cornelpond/ports/Random.h"
#include "testing/soak/CancelCheck.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cornelpond {

struct SoakAddresses {
    std::vector<Address> entryAddresses; ///< Entry hosts, to which clients send requests.
    std::vector<Address> controlAddresses; ///< Control hosts, to which operators send requests.
};

struct SoakLoad {
    Duration submitInterval = Duration::milliseconds(60);
    uint64_t jobsPerServiceJob = 40; ///< One job in so many is a service job.
    uint64_t jobsPerLastingJob = 0; ///< One of the others in so many has tasks that run for a minute; 0: none.
    Duration maxTimeToCancel; ///< Jobs with tasks that last are cancelled within this time of their submission, whether it is answered or not; zero: only as told.
};

class SoakClients {
public:
    /// `cancelCheck` is told of all cancels. `hasSecondQueue`: a share of the jobs goes to a queue that removeQueue() removes.
    /// `onSubmit` is called for each job before its first submission.
    SoakClients(EventLoop& loop, HttpClient& client, Random& random, SoakAddresses addresses, CancelCheck& cancelCheck, bool hasSecondQueue, SoakLoad const& load, std::function<void(JobSpec const&)> onSubmit);

    /// Sends the submissions, queries and cancellations that are due.
    void onTick();

    /// Submits no new jobs from now on, keeps querying the old ones, and cancels the service jobs.
    void stopSubmitting();
    void pauseSubmitting(Duration span) { this->nextSubmit = this->loop.now() + span; }
    /// Submits jobs whose tasks outlast a lease.
    void submitLongJobs(size_t count);
    void cancelJobs(size_t count);
    /// Cancels jobs of the second queue of which tasks have started, service jobs first.
    void cancelSecondQueueJobs(size_t count);

    /// Sends the next two configuration versions at once, each to a control host drawn at random.
    void raceConfigurations();

    /// Sends two configurations at once, both with or both without the second queue.
    void setSecondQueue(bool isConfigured);

    /// The cancel that is to be sent next, as a path; empty if there is none. It has waited longest for its acknowledgement.
    std::string takePendingCancel();
    /// To be called with the answer to a DELETE of a path of takePendingCancel().
    void onCancelAnswered(std::string const& path, int status);

    /// True once all accepted jobs have ended and the newest acknowledged configuration has been read.
    bool isSettled() const;
    std::string unsettledReason() const;

    /// To be called when a task of the job starts on a worker; `orderedAt`: when the order reached the worker.
    void onTaskStarted(JobId const& job, TimePoint orderedAt);

    /// The path of the job that was submitted last.
    std::string newestJobPath() const { return this->newestPath; }

    std::vector<std::string> const& violations() const { return this->foundViolations; }
    size_t acceptedJobs() const;
    size_t refusedJobs() const;
    uint64_t acknowledgedVersion() const { return this->highestAcknowledgedVersion; }

private:
    enum class SubmissionState {
        Submitting,
        Accepted,
        Refused, ///< Every try was refused, so the job must never run.
        GivenUp, ///< Its outcome is unknown.
    };

    struct Job {
        JobSpec spec;
        bool isOfSecondQueue = false;
        SubmissionState submissionState = SubmissionState::Submitting;
        unsigned tries = 0;
        bool hasUnclearOutcome = false; ///< At least one try got no clear answer.
        bool isCallOpen = false;
        bool isCancelRequested = false;
        bool isCancelAcknowledged = false;
        bool isEnded = false;
        bool hasStarted = false;
        bool isOutOfSight = false; ///< Last answered 404, as its queue may be removed.
        bool isCancelSent = false;
        TimePoint cancelFirstSentAt;
        TimePoint cancelAcknowledgedAt;
        std::string state; ///< As last read.
        TimePoint nextCall;
        std::optional<TimePoint> cancelDueAt; ///< When the cancel is to be sent next, if its time was drawn.
    };

    void submitNewJob(JobSpec spec);
    void submit(Job& job);
    void onSubmitted(JobId const& id, HttpOutcome const& outcome);
    void queryJob(Job& job);
    void onJobQueried(JobId const& id, HttpOutcome const& outcome);
    void cancel(Job& job);
    void onCancelAnswered(JobId const& id, int status);
    bool mayBeUnconfigured(Job const& job) const;
    bool isSettled(Job const& job) const;
    static std::string pathOf(Job const& job);
    std::string configurationBody(uint64_t version) const;
    bool mustNotStart(Job const& job, TimePoint orderedAt) const;
    void noteServed();
    void noteCancelSent(Job& job);
    void cancelAtDrawnTimes();
    Job* mostUrgentDrawnCancel(TimePoint dueBy);
    void send(Job const& job, std::string const& method, std::string const& body, std::function<void(HttpOutcome const&)> done);
    void sendRequest(Job& job, std::string const& method, std::string const& body, std::function<void(HttpOutcome const&)> done);
    void sendConfiguration(uint64_t version, size_t host, unsigned triesLeft);
    void readConfiguration();
    void onConfigurationRead(TimePoint askedAt, HttpOutcome const& outcome);
    void reportViolation(std::string text) { this->foundViolations.push_back(std::move(text)); }
    Address const& randomEntryAddress();
    JobSpec drawJob();
    JobSpec drawLongJob(Duration minRunTime);
    JobSpec drawAnyJob();
    Duration drawTimeToCancel();

    EventLoop& loop;
    HttpClient& client;
    Random& random;
    SoakAddresses addresses;
    CancelCheck& cancelCheck;
    bool hasSecondQueue;
    bool hasSecondQueueNow; ///< In the configuration that was sent last.
    SoakLoad load;
    std::function<void(JobSpec const&)> onSubmit;
    std::map<JobId, Job> jobs;
    std::vector<std::string> foundViolations;
    bool isSubmitting = true;
    TimePoint nextSubmit;
    TimePoint nextConfigurationRead;
    uint64_t nextVersion = 1;
    uint64_t highestAcknowledgedVersion = 0; ///< Highest acknowledged configuration version.
    std::map<uint64_t, TimePoint> acknowledgedAt;
    std::map<uint64_t, std::string> sentConfigurations; ///< Configuration bodies by version.
    uint64_t lastVersionWithoutQueue = 0; ///< Highest version sent without the second queue.
    uint64_t lastReadVersion = 0; ///< Version of the last configuration read.
    std::string newestPath = "/jobs/none";
    TimePoint servingSince; ///< Since this time each second brought an accepted submission or cancel.
    TimePoint lastServed;
};

} // namespace cornelpond
