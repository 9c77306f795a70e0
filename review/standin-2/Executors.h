#pragma once

// Stand-ins of executors. Each takes orders at its own address, guards its capacity, runs each task for the time that the
// task-spec names, kills everything when its lease ends, and checks in. A task-spec is {"ms":[MS of step 0, ...]}.
//
// Example:
//   Executors executors(fleet, record);
//   executors.add(0, { "a", "r1" });
//   executors.runningTasks("5c0e7a21d94b36f8");

#include "Fleet.h"

#include <memory>
#include <set>

namespace review {

class Executors {
public:
    Executors(Fleet& fleet, Record& record)
        : fleet(fleet)
        , record(record)
    {
    }
    ~Executors();
    Executors(Executors const&) = delete;
    Executors& operator=(Executors const&) = delete;

    /// Boots an executor at the address of that number. The first label is its kind, the second its rack.
    /// `firstCheckInMs`: from the boot to its first check-in.
    void add(int number, std::vector<std::string> const& labels, int firstCheckInMs = 0);
    /// Ends it without notice, with all that runs there.
    void crash(int number);
    /// While unhealthy it answers starts with 503 and does nothing.
    void setUnhealthy(int number, bool isUnhealthy);
    /// While grey it fails all that it starts, soon after the start.
    void setGrey(int number, bool isGrey);
    /// From now on starts need the ticket of the policy service.
    void requireTickets() { this->needsTickets = true; }

    static std::string id(int number);
    static std::string ticket(std::string const& step, std::string const& executor) { return "t-" + executor + "-" + step; }

    /// Tasks of the submission that run now, or have ever begun.
    size_t runningTasks(std::string const& submission);
    size_t begunTasks(std::string const& submission);
    /// Runs of the submission's tasks, by their number, of which a task has ended failed.
    size_t failedRuns(std::string const& submission);
    /// Starts on executors without the label that their step requires.
    size_t startsOnOtherKind() const { return this->otherKindStarts; }
    /// Share of all executors' cores that is in use now.
    double usedShare();
    /// Cores, in thousandths, that are free on the executor now.
    int freeCpu(int number);

    static constexpr int capacityCpu = 16000;

private:
    struct Run {
        int64_t run;
        double startedAt;
        double lastsMs;
        int cpu;
        size_t gangSize; ///< 0: no gang.
    };

    /// One run of a gang, over all executors.
    struct Gang {
        size_t present = 0;
        double completeAt = 0; ///< When all members were present; 0: not yet.
        bool isBroken = false; ///< A member has ended otherwise than done.
    };

    struct Executor {
        int number = 0;
        std::vector<std::string> labels;
        int64_t bornMs = 0;
        double bootedAt = 0;
        std::mutex mutex;
        int64_t fence = 0;
        double leaseUntilMs = 0; ///< By its own clock.
        std::map<std::string, Run> running;
        std::map<std::string, int64_t> highestRuns; ///< Stopped or ended.
        Json ended = Json::array();
        int64_t lastEnd = 0;
        bool isUnhealthy = false;
        bool isGrey = false;
        std::atomic<bool> isUp { true };
        std::unique_ptr<HttpServer> server;
    };

    HttpReply handle(Executor& executor, HttpCall const& call);
    HttpReply start(Executor& executor, Json const& order);
    HttpReply stop(Executor& executor, Json const& order);
    HttpReply hold(Executor& executor, Json const& order);
    void endDue(Executor& executor);
    /// How the run ends now; empty if it goes on.
    std::string howEnded(Executor const& executor, std::string const& task, Run const& run);
    void end(Executor& executor, std::string const& task, std::string const& how);
    double clockMs(Executor const& executor) const;
    HttpReply answer(Executor const& executor, int status, Json body) const;
    void checkIn(std::shared_ptr<Executor> const& executor, int firstCheckInMs);

    Fleet& fleet;
    Record& record;
    std::mutex mutex;
    std::map<int, std::shared_ptr<Executor>> executors;
    std::mutex countMutex; ///< Guards what follows. Taken last.
    std::map<std::string, size_t> begun; ///< By submission.
    std::map<std::string, std::set<int64_t>> failed; ///< By submission.
    std::map<std::pair<std::string, int64_t>, Gang> gangs; ///< By step and run.
    std::atomic<bool> needsTickets { false };
    std::atomic<size_t> otherKindStarts { 0 };
};

/// One step of a submission: what it asks for, and how long each of its tasks runs.
struct Step {
    int count = 1;
    int cpu = 1000;
    int runMs = 500;
    int estimatedMs = 500;
    int antiAffinity = 0;
    bool isGang = false;
    std::string requirement;
};

/// The body of a POST that hands the steps in.
std::string submissionBody(std::vector<Step> const& steps);

} // namespace review
