#pragma once

// Orders to workers, and what workers list of themselves.
//
// Contract: an order that got no answer may be carried out seconds later, after newer ones. `done` is
// called exactly once, never before the call returns. Loop thread only.
//
// Example:
//   orders.start(target, StartOrder { ... }, [](OrderAnswer const& answer) {
//       if (answer.result == OrderResult::Unknown)
//           sendAgain();
//   });

#include "cornelpond/core/base/Duration.h"
#include "cornelpond/core/base/Ids.h"
#include "cornelpond/core/jobs/JobCommand.h"

#include <functional>
#include <string>
#include <vector>

namespace cornelpond {

/// Which life of a worker an order is meant for.
struct WorkerTarget {
    WorkerId id;
    std::string address; ///< "IP:PORT".
    DataCentreId dataCentre;
};

enum class OrderResult {
    Accepted,
    RefusedEpoch, ///< The worker knows a higher epoch.
    RefusedOld, ///< The attempt, or a later one, has ended or was stopped there.
    RefusedLate, ///< The lease that came with the order is over.
    RefusedRoom, ///< It does not fit.
    RefusedPermit, ///< The permit is missing or no longer valid.
    NotDone, ///< The worker is unhealthy and has done nothing.
    Invalid, ///< The worker could not use the order.
    OtherLife, ///< Another worker answers at the address.
    Unknown, ///< No whole answer; it may be carried out later.
    NotSent, ///< No byte of the order left this host.
};

std::string_view orderResultName(OrderResult result);

struct OrderAnswer {
    OrderResult result = OrderResult::Unknown;
    bool hasClock = false;
    Duration workerClock; ///< The worker's steady clock when it answered.
};

struct StartOrder {
    TaskRef task;
    AttemptNumber attempt;
    std::string payload;
    Duration leaseUntil; ///< On the worker's clock; holds for all that runs there.
    Term epoch;
    std::string checkpoint; ///< Empty: from the beginning.
    std::string permit; ///< Empty: none needed.
};

struct StopOrder {
    TaskRef task;
    AttemptNumber attempt;
    Term epoch;
};

/// Lets a task work, and disturb its neighbours, at a share of its speed.
struct ThrottleOrder {
    TaskRef task;
    AttemptNumber attempt;
    unsigned speedPercent = 100;
    Term epoch;
};

/// Renews the lease of all that runs on a worker, acknowledges ends and asks for its lists.
struct RenewOrder {
    bool extendsLease = true;
    Duration leaseUntil; ///< On the worker's clock.
    Term epoch;
    /// Ends up to this number may be forgotten. Only passed on where the order is sure to reach the process that
    /// listed them: another life of the worker would forget ends of its own.
    uint64_t acknowledgedEnds = 0;
    Duration maxWait; ///< How long the worker may wait for an end before it answers.
};

struct ListedAttempt {
    TaskRef task;
    AttemptNumber attempt;
    std::string checkpoint;
    unsigned progressPercent = 0; ///< 100 for a service task at work.
    int64_t latencyMsOrMilliCores = -1; ///< Rough, lags half a second: tail latency in ms of a service task, else milli-cores in use; -1: not given.
};

struct ListedEnd {
    uint64_t number = 0; ///< Counts the ends of one life of the worker from 1.
    TaskRef task;
    AttemptNumber attempt;
    AttemptEnd end = AttemptEnd::Done;
    std::string checkpoint;
};

struct WorkerListing {
    int64_t bornMs = 0; ///< Which life lists; 0 when not given.
    std::vector<ListedAttempt> running;
    std::vector<ListedEnd> ended; ///< Rising; all that were not acknowledged, or the first so many.
    bool hasAllEnds = true;
};

struct RenewAnswer {
    OrderAnswer order;
    uint64_t acknowledgedEnds = 0; ///< What was passed on.
    WorkerListing listing; ///< Meaningful when accepted.
};

struct Permit {
    WorkerId worker;
    std::string ticket;
};

/// What the policy service said of a stage.
struct PermitAnswer {
    bool isAnswered = false; ///< False: busy, unreachable or unreadable; ask again later.
    std::vector<Permit> permits;
    Duration validity;
};

class WorkerOrders {
public:
    using Done = std::function<void(OrderAnswer const&)>;

    virtual ~WorkerOrders() = default;

    virtual void start(WorkerTarget const& worker, StartOrder const& order, Done done) = 0;
    virtual void stop(WorkerTarget const& worker, StopOrder const& order, Done done) = 0;
    virtual void throttle(WorkerTarget const& worker, ThrottleOrder const& order, Done done) = 0;
    virtual void renew(WorkerTarget const& worker, RenewOrder const& order, std::function<void(RenewAnswer const&)> done) = 0;

    /// Asks which of the workers may run the stage of `stage` (its index counts for nothing).
    virtual void requestPermits(TaskRef const& stage, std::vector<WorkerId> const& workers, Duration timeout, std::function<void(PermitAnswer const&)> done) = 0;
};

} // namespace cornelpond
