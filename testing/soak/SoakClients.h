#pragma once

// The clients and operators of a soak run: they submit, ask, cancel and change the configuration over open
// connections, resend what got no clear answer, and note every answer that breaks a promise.
//
// Example:
//   SoakClients clients(loop, client, random, addresses, onSubmit);
//   clients.onTick(); // every few milliseconds
//   clients.violations();

#include "cornelpond/adapters/http/HttpClient.h"
#include "cornelpond/core/jobs/JobSpec.h"
#include "cornelpond/ports/Random.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cornelpond {

struct SoakAddresses {
    std::vector<Address> entryAddresses; ///< Where clients call.
    std::vector<Address> controlAddresses; ///< Where operators call.
};

class SoakClients {
public:
    /// `onSubmit` hears of each job before its first submission.
    SoakClients(EventLoop& loop, HttpClient& client, Random& random, SoakAddresses addresses, std::function<void(JobSpec const&)> onSubmit);

    /// Submits, asks and cancels what is due.
    void onTick();

    /// No new jobs from now on; asks about the old ones, and cancels those that would last.
    void stopSubmitting();
    void cancelJobs(size_t count);

    /// Sends two configurations at once, to two hosts.
    void raceConfigurations();

    /// True once each accepted job is known to have ended, and the newest acknowledged configuration is read.
    bool isSettled() const;
    std::string unsettledReason() const;

    /// A task of the job has started on a worker.
    void onTaskStarted(JobId const& job);

    std::vector<std::string> const& violations() const { return this->foundViolations; }
    size_t acceptedJobs() const;
    size_t refusedJobs() const;
    uint64_t acknowledgedVersion() const { return this->highestAcknowledgedVersion; }

private:
    enum class SubmissionState {
        Submitting,
        Accepted,
        Refused, ///< Every try was refused: it must never run.
        GivenUp, ///< Its outcome is unknown.
    };

    struct Job {
        JobSpec spec;
        SubmissionState submissionState = SubmissionState::Submitting;
        unsigned tries = 0;
        bool hasUnclearOutcome = false; ///< Some try got no clear answer.
        bool isCallOpen = false;
        bool isCancelRequested = false;
        bool isCancelAcknowledged = false; ///< Acknowledged.
        bool isEnded = false;
        bool hasStarted = false;
        std::string state; ///< The last one read.
        TimePoint nextCall;
    };

    void submitNewJob();
    void submit(Job& job);
    void onSubmitted(JobId const& id, HttpOutcome const& outcome);
    void queryJob(Job& job);
    void onJobQueried(JobId const& id, HttpOutcome const& outcome);
    void cancel(Job& job);
    void sendRequest(Job& job, std::string const& method, std::string const& body, std::function<void(HttpOutcome const&)> done);
    void sendConfiguration(uint64_t version, size_t host, unsigned triesLeft);
    void readConfiguration();
    void onConfigurationRead(TimePoint askedAt, HttpOutcome const& outcome);
    void reportViolation(std::string what) { this->foundViolations.push_back(std::move(what)); }
    Address const& randomEntryAddress();
    JobSpec drawJob();

    EventLoop& loop;
    HttpClient& client;
    Random& random;
    SoakAddresses addresses;
    std::function<void(JobSpec const&)> onSubmit;
    std::map<JobId, Job> jobs;
    std::vector<std::string> foundViolations;
    bool isSubmitting = true;
    TimePoint nextSubmit;
    TimePoint nextConfigurationRead;
    uint64_t nextVersion = 1;
    uint64_t highestAcknowledgedVersion = 0; ///< The highest acknowledged version.
    std::map<uint64_t, TimePoint> acknowledgedAt;
    std::map<uint64_t, std::string> sentConfigurations; ///< Configuration bodies by version.
    uint64_t lastReadVersion = 0; ///< Of the last configuration read.
};

} // namespace cornelpond
