#pragma once

// Admission queue of one service: the requests that wait for a free slot of a backend server. It is bounded
// in number and bytes, reserves a share for each request class, and divides a class among associations by
// weighted fair queueing. A request that is not expected to be served before its deadline is refused at once.
// Under lasting overload an association is served newest first.
//
// Example:
//   AdmissionQueue queue(AdmissionLimits(), weightOf);
//   AdmissionDecision const decision = queue.push(request, now);
//   for (auto const& displaced : decision.displaced)
//       refuse(displaced, ResultCode::QueueFull);
//   if (decision.code != ResultCode::Ok)
//       refuse(request, decision.code, decision.expectedWait);
//   std::optional<InteractiveRequest> const next = queue.pop(now);
//
// Loop thread only.

#include "cornelpond/core/admission/InteractiveRequest.h"
#include "cornelpond/core/base/ResultCode.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace cornelpond {

struct AdmissionLimits {
    size_t maxRequests = 1000;
    size_t maxBytes = 64 * 1024 * 1024; ///< Sum of InteractiveRequest::memoryBytes.
    /// Fraction of the dispatches and of the places in the queue that each class gets under any load of the
    /// others, by RequestClass. The sum must stay below 1; the remaining dispatches go to the most urgent class
    /// that has requests.
    std::array<double, requestClassCount> reservedShares = { 0.3, 0.2, 0.1 };
    /// An association whose queue in a class has not been empty for this long is served newest first.
    Duration overloadAfter = Duration::milliseconds(500);
    bool refusesUnmeetable = true; ///< False only in measurements: requests that are expected to miss their deadline are queued.
    bool isFair = true; ///< False only in measurements: one first-in, first-out queue.
};

/// Outcome of AdmissionQueue::push.
struct AdmissionDecision {
    ResultCode code = ResultCode::Ok; ///< Ok, QueueFull or DeadlineUnmeetable.
    Duration expectedWait;
    std::vector<InteractiveRequest> displaced; ///< Removed from the queue to make room; the caller refuses them.
};

class AdmissionQueue {
public:
    using WeightOf = std::function<int64_t(AssociationId const&)>;

    AdmissionQueue(AdmissionLimits limits, WeightOf weightOf);

    AdmissionDecision push(InteractiveRequest const& request, TimePoint now);

    /// Removes and returns the request to dispatch next; nullopt when the queue is empty.
    std::optional<InteractiveRequest> pop(TimePoint now);

    /// Removes a request whose caller has disconnected. Returns false when it is not queued.
    bool remove(RequestId id);

    /// Removes and returns the requests whose deadline has passed.
    std::vector<InteractiveRequest> takeExpired(TimePoint now);

    /// Records the service time of an answered request, from which `push` estimates whether a deadline can be met.
    void onServed(Duration measuredTime);

    /// Expected wait of a new request of this class and association; zero while the queue is empty or recent
    /// dispatches are too few for an estimate.
    Duration expectedWait(RequestClass requestClass, AssociationId const& association, TimePoint now) const;

    size_t size() const { return this->count; }
    size_t bytes() const { return this->heldBytes; }
    size_t size(RequestClass requestClass) const { return this->classes[static_cast<size_t>(requestClass)].count; }

private:
    struct AssociationQueue {
        std::deque<InteractiveRequest> requests;
        double virtualTime = 0; ///< Advances by 1 / weight with each dispatch; the lowest is served next.
        TimePoint nonEmptySince;
    };

    struct ClassQueue {
        std::map<AssociationId, AssociationQueue> associationQueues; ///< Only associations with queued requests.
        size_t count = 0;
        double virtualTime = 0; ///< Where the queue of a newly waiting association starts.
        double credit = 0; ///< Dispatches earned by reservedShares.
    };

    AssociationId queueKeyOf(InteractiveRequest const& request) const;
    size_t classOf(InteractiveRequest const& request) const;
    bool isFull(size_t additionalBytes) const;
    std::optional<InteractiveRequest> displaceFor(size_t requestClass, AssociationId const& association, TimePoint now);
    bool makesRoomFor(std::pair<AssociationId const, AssociationQueue> const& longest, ClassQueue const& classQueue, AssociationId const& association, TimePoint now) const;
    size_t chooseClass();
    InteractiveRequest takeFrom(ClassQueue& classQueue, std::map<AssociationId, AssociationQueue>::iterator associationQueue, bool takesNewest);
    bool isOverloaded(AssociationQueue const& associationQueue, TimePoint now) const;
    void recordDispatch(TimePoint now);
    double dispatchesPerSecond(TimePoint now) const;
    double shareOf(size_t requestClass) const;

    AdmissionLimits limits;
    WeightOf weightOf;
    std::array<ClassQueue, requestClassCount> classes;
    size_t count = 0;
    size_t heldBytes = 0;
    std::deque<TimePoint> dispatchTimes; ///< Of the latest dispatches, oldest first.
    Duration serviceTime; ///< Exponentially smoothed; zero before the first sample.
};

} // namespace cornelpond
