#pragma once

// Executors of one service, as PROTOCOL.md describes them: they check in, take starts, stops and leases, and list what runs and
// what has ended. All share one lock.
//
// A task's spec is "ms=N", and for a gang "ms=N gang=M" with its number of members: it works for N ms.
//
// Example:
//   Executors executors(record, controlAddresses, bounds);
//   executors.add({ "e1", "127.0.0.1", 9000, 16000, { "a", "r1" } });
//   executors.cut("e1", true);

#include "review/standin-3/Http.h"
#include "review/standin-3/Record.h"

#include <condition_variable>
#include <memory>
#include <nlohmann/json.hpp>

namespace review {

/// The values of the bounds on the site's page.
struct Bounds {
    int64_t heartbeatMs = 1500;
    int64_t maxHoldMs = 6000;
    int64_t stopMs = 200; ///< At most stop-timeout-ms, 400.
    int64_t gangTimeoutMs = 3000;
};

struct ExecutorSpec {
    std::string id;
    std::string ip;
    uint16_t port = 0;
    int64_t cpu = 16000;
    std::vector<std::string> labels;
    std::string service = "svc";
    std::string zone = "z1";
};

/// One run of a task on an executor.
struct RunRecord {
    std::string task;
    uint64_t run = 0;
    std::string executor;
    int64_t startedMs = 0; ///< On the steady clock.
    int64_t endedMs = 0; ///< 0 while it runs.
    std::string how;
};

class Executors {
public:
    Executors(Record& record, std::vector<std::string> controlAddresses, Bounds bounds);
    ~Executors();
    Executors(Executors const&) = delete;
    Executors& operator=(Executors const&) = delete;

    /// The cores that each task of a step needs, which the start order does not name. Call before the job is submitted.
    void setNeed(std::string const& job, int64_t cpu);
    void add(ExecutorSpec const& spec);
    /// While an executor is cut off, nothing reaches it and nothing that it sends arrives; it runs on.
    void cut(std::string const& executor, bool isCut);
    /// Ends the executor for good, with all that it runs.
    void crash(std::string const& executor);
    /// Ends the executor with all that it runs; it starts again after the time, under its id and address, with other labels. It
    /// checks in a while later, within the interval of its check-ins. Returns once it has started again.
    void restart(std::string const& executor, int64_t downMs, std::vector<std::string> const& labels);
    /// True while an executor with this id runs and has the label.
    bool hasLabel(std::string const& executor, std::string const& label);
    /// True once each executor has answered a renewal.
    bool areAllReached();

    /// All runs so far, in the order of their starts.
    std::vector<RunRecord> runs();
    /// The runs of tasks whose names begin with the prefix.
    std::vector<RunRecord> runsOf(std::string const& prefix);
    bool isRunning(std::string const& prefix);

private:
    struct Run {
        size_t record = 0; ///< Index in `history`.
        uint64_t number = 0;
        int64_t cpu = 0;
        int64_t workMs = 0;
        size_t gangSize = 0; ///< 0: no gang.
        int64_t startedMs = 0;
        int64_t workingSinceMs = -1; ///< -1: waits for the other members.
        int64_t stopAtMs = -1; ///< -1: it isn't being stopped.
        bool isBroken = false; ///< Another member of its gang has ended.
    };

    struct End {
        uint64_t number = 0;
        std::string task;
        uint64_t run = 0;
        std::string how;
    };

    struct Executor {
        ExecutorSpec spec;
        int64_t bornWallMs = 0;
        int64_t bornSteadyMs = 0;
        uint64_t fence = 0;
        uint64_t sequence = 0;
        int64_t leaseUntilMs = 0; ///< On its own clock.
        std::map<std::string, Run> running;
        std::map<std::string, uint64_t> closedRuns;
        std::vector<End> ended;
        uint64_t lastEnd = 0;
        bool isCut = false;
        bool isCrashed = false;
        bool isReached = false;
        std::unique_ptr<HttpServer> server;
        std::thread heart;

        bool isUnreachable() const { return this->isCut || this->isCrashed; }
        int64_t clockMs() const { return steadyMs() - this->bornSteadyMs; }
    };

    void waitWhileCut(Executor const& executor, std::unique_lock<std::mutex>& lock);
    std::optional<HttpAnswer> handle(Executor& executor, HttpMessage const& request);
    HttpAnswer answerOrder(Executor& executor, HttpMessage const& request, nlohmann::json const& body, std::unique_lock<std::mutex>& lock);
    HttpAnswer start(Executor& executor, nlohmann::json const& body);
    HttpAnswer stop(Executor& executor, nlohmann::json const& body);
    HttpAnswer hold(Executor& executor, nlohmann::json const& body, std::unique_lock<std::mutex>& lock);
    static void extendLease(Executor& executor, nlohmann::json const& body, int64_t maxHoldMs);
    void end(Executor& executor, std::string const& task, std::string const& how);
    void breakGang(std::string const& step, uint64_t run);
    void startWorkOfGang(std::string const& step, uint64_t run, size_t size);
    void tick();
    void tick(Executor& executor);
    void startServer(Executor& executor);
    void checkIn(Executor& executor, int64_t firstAfterMs);

    Record& record;
    std::vector<std::string> controlAddresses;
    Bounds bounds;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::unique_ptr<Executor>> executors;
    std::map<std::string, int64_t> needs; ///< By job.
    std::vector<RunRecord> history;
    bool isEnding = false;
    std::thread ticker;
};

} // namespace review
