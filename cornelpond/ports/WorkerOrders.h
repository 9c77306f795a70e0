#pragma once

// Orders to workers, and the attempts and ends that workers list in answer to a renewal.
//
// Contract: an order without an answer may be carried out seconds later, after newer orders, and also by a later process
// of the worker, even if it names another; one that has seen a higher epoch refuses it. `done` is called exactly once, never before the call returns. Loop thread only.
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

/// The worker to which an order is sent.
struct WorkerTarget {
    WorkerId id;
    std::string address; ///< "IP:PORT".
    DataCentreId dataCentre;
};

enum class OrderResult {
    Accepted,
    RefusedEpoch, ///< The worker has seen a higher epoch.
    RefusedOld, ///< The attempt or a later one has already ended or been stopped on the worker.
    RefusedLate, ///< The lease in the order has expired.
    RefusedRoom, ///< The attempt does not fit into the free resources of the worker.
    RefusedPermit, ///< The permit is missing or no longer valid.
    NotDone, ///< The worker is unhealthy or busy and did not carry out the order.
    Invalid, ///< The worker rejected the order as invalid or for an unknown reason.
    OtherLife, ///< Another worker answered at the address.
    Unknown, ///< No complete answer; the order may still be carried out.
    NotSent, ///< No byte of the order left this host.
    OtherProcess, ///< The worker was started again; the order was meant for another process of it, and was not sent.
};

/// The name of the result in log events.
std::string_view orderResultName(OrderResult result);

struct OrderAnswer {
    OrderResult result = OrderResult::Unknown;
    bool hasClock = false; ///< `workerClock` is given.
    Duration workerClock; ///< The worker's steady clock when it answered.
};

struct StartOrder {
    TaskRef task;
    AttemptNumber attempt;
    std::string payload;
    Duration leaseUntil; ///< On the worker's clock; for all attempts on the worker.
    Term epoch;
    std::string checkpoint; ///< To resume from; empty: start from the beginning.
    std::string permit; ///< Ticket of the permit; empty: none needed.
    /// Start time (ms) of the process by whose clock `leaseUntil` is. The order is not sent to another process of the worker, which would
    /// hold its lease for as long as it grants one. 0: the worker gives none, and the order is sent to any.
    int64_t processBornMs = 0;
};

/// How a stop order travels to the worker. A stop that is not confirmed is repeated another way.
enum class StopWay {
    Usual, ///< Like every other order.
    OtherRoute, ///< On a new connection, directly if orders to the worker go through a relay, else through the relay.
    RenewalConnection, ///< Right after an answered renewal, while no order is open, so that it reuses the connection of that renewal.
};

/// The name of the way in log events.
std::string_view stopWayName(StopWay way);

struct StopOrder {
    TaskRef task;
    AttemptNumber attempt;
    Term epoch;
    StopWay way = StopWay::Usual; ///< Not passed on to a relay, which sends the order the usual way.
};

/// Throttles an attempt to a part of its full speed, which also reduces its interference with its neighbours.
struct ThrottleOrder {
    TaskRef task;
    AttemptNumber attempt;
    unsigned speedPercent = 100;
    Term epoch;
};

/// Renews the lease of all attempts on a worker, acknowledges ends and asks for the listing.
struct RenewOrder {
    bool extendsLease = true; ///< False: the lease end stays as it is.
    Duration leaseUntil; ///< On the worker's clock.
    Term epoch;
    uint64_t acknowledgedEnds = 0; ///< The worker may forget ends up to this number.
    Duration maxWait; ///< Time for which the worker may delay its answer until an attempt ends.
    /// Start time (ms) of the process by whose clock `leaseUntil` is and that listed the acknowledged ends; 0 if it did not give
    /// one. The lease and the acknowledgement are sent only when the order is certain to reach that process: another one of the
    /// worker would hold its lease for as long as it grants one, and forget ends of its own. Else the order only asks for the listing.
    int64_t processBornMs = 0;
};

/// An attempt that a worker lists as running.
struct ListedAttempt {
    TaskRef task;
    AttemptNumber attempt;
    std::string checkpoint;
    unsigned progressPercent = 0; ///< 100 for a service task that is serving.
    int64_t latencyMsOrMilliCores = -1; ///< Tail latency in ms of a service task, milli-cores in use of any other; rough, lags by half a second; -1: not given.
};

/// The end of an attempt that a worker lists.
struct ListedEnd {
    uint64_t number = 0; ///< Counts the ends of one process of the worker from 1.
    TaskRef task;
    AttemptNumber attempt;
    AttemptEnd end = AttemptEnd::Done;
    std::string checkpoint;
};

struct WorkerListing {
    int64_t bornMs = 0; ///< Start time of the listing process in ms, which identifies it; 0 when not given.
    std::vector<ListedAttempt> running;
    std::vector<ListedEnd> ended; ///< By increasing number; all unacknowledged ends or, without `isComplete`, the first ones.
    /// False when ends are left out or a row could not be read: an attempt that is missing may still run.
    bool isComplete = true;
};

struct RenewAnswer {
    OrderAnswer order;
    uint64_t acknowledgedEnds = 0; ///< The number that was sent to the worker; 0 when it was left out.
    WorkerListing listing; ///< Valid when the order was accepted.
};

/// Allows a worker to run a stage.
struct Permit {
    WorkerId worker;
    std::string ticket;
};

/// The permits that the permit service granted for a stage.
struct PermitAnswer {
    bool isAnswered = false; ///< False: the service was busy, unreachable or gave no valid answer; ask again later.
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

    /// Asks the permit service which of the workers may run the stage of `stage`, whose index is ignored.
    virtual void requestPermits(TaskRef const& stage, std::vector<WorkerId> const& workers, Duration timeout, std::function<void(PermitAnswer const&)> done) = 0;
};

} // namespace cornelpond
