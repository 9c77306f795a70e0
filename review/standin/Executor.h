#pragma once

// An executor as the users' pages describe it: runs what it is told to start under a lease, keeps the highest fencing
// token, lists what runs and what has ended, and checks in with the control hosts.
//
// The task-spec tells how a task behaves: "ms=800" is its work. The executor's own behaviour is set by ExecutorFaults.
//
// Example:
//   Executor executor(setup, controls, record);
//   executor.boot();

#include "review/standin/Http.h"
#include "review/standin/Record.h"

#include <nlohmann/json_fwd.hpp>

#include <condition_variable>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace review {

/// What the members of all gangs know of each other, by step and run: the platform's way to have them work together.
class GangBoard {
public:
    /// A member has started. `size`: how many belong to the gang.
    void join(std::string const& gang, size_t size);
    void fail(std::string const& gang);
    bool isComplete(std::string const& gang) const;
    bool hasFailed(std::string const& gang) const;

private:
    struct Gang {
        size_t present = 0;
        size_t size = 0;
        bool hasFailed = false;
    };

    mutable std::mutex mutex;
    std::map<std::string, Gang> gangs;
};

struct ExecutorSetup {
    std::string id;
    std::string ip;
    std::string kind = "a";
    std::string rack = "r1-1";
    int64_t milliCores = 16000;
    int64_t memoryMb = 64000;
    bool guardsCapacity = true;
    std::shared_ptr<GangBoard> gangs; ///< Of all executors; tasks whose task-spec says "gang=SIZE" are members.
};

/// The ticket that the service for advice gives out for the step of the task, on that executor. Tasks whose task-spec says
/// "ticketed" are started only with it.
std::string ticketFor(std::string const& task, std::string const& executor);

struct ExecutorFaults {
    bool refusesStarts = false; ///< Answers each start with 503: it is unhealthy and has done nothing.
    bool failsStarted = false; ///< All that it starts ends as failed at once.
};

class Executor {
public:
    static constexpr Milliseconds heartbeatInterval = Milliseconds(1500);
    static constexpr int64_t maxHoldMs = 6000;

    Executor(ExecutorSetup setup, std::vector<Endpoint> controls, Record& record);
    ~Executor();
    Executor(Executor const&) = delete;
    Executor& operator=(Executor const&) = delete;

    /// Starts a life, at a new address unless it keeps the former one. `firstCheckIn`: how long after its start it sends its
    /// first check-in.
    void boot(Milliseconds firstCheckIn = Milliseconds(0), bool keepsAddress = false);
    /// Ends at once: nothing runs any more, and nothing of this life is known to the next.
    void crash();
    /// The control host, by its place in the list, that the next check-in goes to.
    void setNextControl(size_t index);
    /// True once a check-in of this life was acknowledged.
    bool isCheckedIn() const;
    /// The kind of the lives that boot from now on.
    void setKind(std::string const& kind) { this->setup.kind = kind; }
    void setFaults(ExecutorFaults faults);
    /// Reports draining with the next check-ins.
    void drain();
    /// True once a check-in as draining was acknowledged.
    bool isDrainAcknowledged() const;
    /// The body of a deregister call of this life.
    std::string deregisterBody() const;
    /// Called with the percent and whether a task of the image fills; returns the fifth value of its row.
    void setLoadFigure(std::function<int64_t(std::string const& spec)> figure);

    std::string const& id() const { return this->setup.id; }
    int64_t bornMs() const;
    size_t runningCount() const;

private:
    using RunKey = std::pair<std::string, uint64_t>;

    struct Running {
        size_t recordIndex = 0;
        std::string spec;
        int64_t endsAtMs = 0; ///< On the executor's clock.
        std::optional<int64_t> stopAtMs;
        int64_t milliCores = 0;
        std::string gang; ///< Empty if it belongs to none.
        int64_t startedAtMs = 0; ///< On the executor's clock.
        int64_t workMs = 0;
    };

    struct Ended {
        uint64_t number = 0;
        RunKey key;
        std::string how;
    };

    int64_t clockMs() const;
    Response handle(Request const& request);
    Response handleStart(nlohmann::json const& body);
    Response handleStop(nlohmann::json const& body);
    Response handleHold(nlohmann::json const& body, std::unique_lock<std::mutex>& lock);
    Response listing() const;
    Response refusal(char const* reason) const;
    bool isFenced(nlohmann::json const& body);
    void extendLease(nlohmann::json const& body);
    void end(RunKey const& key, std::string const& how);
    void endAll(std::string const& how);
    void runTasks();
    void step();
    /// How the run ends now; empty if it works on.
    std::string endOf(Running& run);
    void checkIn(Milliseconds first);
    bool sendCheckIn();

    ExecutorSetup setup;
    std::vector<Endpoint> controls;
    Record& record;
    std::unique_ptr<Server> server;
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::thread taskThread;
    std::thread checkInThread;
    bool isUp = false;
    std::atomic<bool> isEnding { false }; ///< Aborts a check-in that waits for its answer.
    ExecutorFaults faults;
    std::function<int64_t(std::string const&)> loadFigure;

    std::chrono::steady_clock::time_point bootedAt;
    int64_t born = 0;
    uint16_t port = 0;
    uint64_t sequence = 0;
    size_t nextControl = 0;
    std::string checkInAddress;
    bool isDraining = false;
    bool drainAcknowledged = false;
    bool checkedIn = false;
    uint64_t fence = 0;
    int64_t leaseUntilMs = 0;
    uint64_t lastEnd = 0;
    std::map<RunKey, Running> running;
    std::vector<Ended> ended;
    std::map<std::string, uint64_t> highestOver; ///< By task: the highest run that was stopped or has ended here.
};

} // namespace review
