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
    std::vector<Address> entries; ///< Where clients call.
    std::vector<Address> controls; ///< Where operators call.
};

class SoakClients {
public:
    /// `onSubmit` hears of each job before its first submission.
    SoakClients(EventLoop& loop, HttpClient& client, Random& random, SoakAddresses addresses, std::function<void(JobSpec const&)> onSubmit);

    /// Submits, asks and cancels what is due.
    void onTick();

    /// No new jobs from now on; asks about the old ones, and cancels those that would last.
    void stopSubmitting();
    void cancelSome(size_t count);

    /// Sends two configurations at once, to two hosts.
    void raceConfigurations();

    /// True once each accepted job is known to have ended, and the newest acknowledged configuration is read.
    bool isSettled() const;
    std::string unsettled() const;

    /// A task of the job has started on a worker.
    void onStarted(JobId const& job);

    std::vector<std::string> const& violations() const { return this->broken; }
    size_t acceptedJobs() const;
    size_t refusedJobs() const;
    uint64_t acknowledgedVersion() const { return this->acknowledged; }

private:
    enum class Fate {
        Submitting,
        Accepted,
        Refused, ///< Every try was refused: it must never run.
        GivenUp, ///< Its outcome is unknown.
    };

    struct Job {
        JobSpec spec;
        Fate fate = Fate::Submitting;
        unsigned tries = 0;
        bool isUnclear = false; ///< Some try got no clear answer.
        bool isCallOpen = false;
        bool isCancelSent = false;
        bool isCancelled = false; ///< Acknowledged.
        bool isEnded = false;
        bool hasStarted = false;
        std::string state; ///< The last one read.
        TimePoint nextCall;
    };

    void submitNew();
    void submit(Job& job);
    void onSubmitted(JobId const& id, HttpOutcome const& outcome);
    void ask(Job& job);
    void onAsked(JobId const& id, HttpOutcome const& outcome);
    void cancel(Job& job);
    void call(Job& job, std::string const& method, std::string const& body, std::function<void(HttpOutcome const&)> done);
    void sendConfiguration(uint64_t version, size_t host, unsigned triesLeft);
    void readConfiguration();
    void onConfigurationRead(TimePoint askedAt, HttpOutcome const& outcome);
    void violate(std::string what) { this->broken.push_back(std::move(what)); }
    Address const& anyEntry();
    JobSpec drawJob();

    EventLoop& loop;
    HttpClient& client;
    Random& random;
    SoakAddresses addresses;
    std::function<void(JobSpec const&)> onSubmit;
    std::map<JobId, Job> jobs;
    std::vector<std::string> broken;
    bool isSubmitting = true;
    TimePoint nextSubmit;
    TimePoint nextRead;
    uint64_t nextVersion = 1;
    uint64_t acknowledged = 0; ///< The highest acknowledged version.
    std::map<uint64_t, TimePoint> acknowledgedAt;
    std::map<uint64_t, std::string> sent; ///< Configuration bodies by version.
    uint64_t lastRead = 0; ///< Of the last configuration read.
};

} // namespace cornelpond
