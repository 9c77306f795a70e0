#pragma once

// The requests of one service that wait for a free slot. Bounded in number and bytes, with a floor for
// each class, weighted fair shares over associations, and refusal at once of what cannot be served in
// time. Under lasting overload the newest request of an association goes first.
//
// Example:
//   AdmissionQueue queue(AdmissionLimits(), weightOf);
//   AdmissionVerdict const verdict = queue.push(request, now);
//   for (auto const& displaced : verdict.displaced)
//       refuse(displaced, ResultCode::QueueFull);
//   if (verdict.code != ResultCode::Ok)
//       refuse(request, verdict.code, verdict.expectedWait);
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
    size_t maxBytes = 64 * 1024 * 1024;
    /// Part of the dispatches, and of the places in the queue, that each class gets however much the
    /// others ask for. The sum must stay below 1; the rest goes to the most urgent.
    std::array<double, requestClassCount> reservedShares = { 0.3, 0.2, 0.1 };
    /// An association that has waited without a break for this long is served newest first.
    Duration overloadAfter = Duration::milliseconds(500);
    bool refusesUnmeetable = true; ///< Off only in measurements.
    bool isFair = true; ///< Off only in measurements: one first-in first-out queue.
};

/// What became of a pushed request.
struct AdmissionDecision {
    ResultCode code = ResultCode::Ok; ///< Ok, QueueFull or DeadlineUnmeetable.
    Duration expectedWait;
    std::vector<InteractiveRequest> displaced; ///< Waiting requests that had to make room.
};

class AdmissionQueue {
public:
    using WeightOf = std::function<int64_t(AssociationId const&)>;

    AdmissionQueue(AdmissionLimits limits, WeightOf weightOf);

    AdmissionDecision push(InteractiveRequest const& request, TimePoint now);

    /// The request that goes next.
    std::optional<InteractiveRequest> pop(TimePoint now);

    /// Takes a request out, because its caller has left.
    bool remove(RequestId id);

    /// Removes and returns the requests whose deadline has passed.
    std::vector<InteractiveRequest> takeExpired(TimePoint now);

    /// Tells how long a served request took, so that later ones can be judged.
    void onServed(Duration serviceTime);

    /// How long a new request of this class and association would wait; zero before enough was seen.
    Duration expectedWait(RequestClass requestClass, AssociationId const& association, TimePoint now) const;

    size_t size() const { return this->count; }
    size_t bytes() const { return this->heldBytes; }
    size_t size(RequestClass requestClass) const { return this->classes[static_cast<size_t>(requestClass)].count; }

private:
    struct AssociationQueue {
        std::deque<InteractiveRequest> requests;
        double virtualTime = 0;
        TimePoint nonEmptySince;
    };

    struct ClassQueue {
        std::map<AssociationId, AssociationQueue> associationQueues; ///< Only associations with waiting requests.
        size_t count = 0;
        double virtualTime = 0;
        double credit = 0;
    };

    AssociationId queueKeyOf(InteractiveRequest const& request) const;
    size_t classOf(InteractiveRequest const& request) const;
    bool isFull(size_t moreBytes) const;
    std::optional<InteractiveRequest> displaceFor(size_t requestClass, AssociationId const& association, TimePoint now);
    bool makesRoomFor(std::pair<AssociationId const, AssociationQueue> const& longest, ClassQueue const& queue, AssociationId const& association, TimePoint now) const;
    size_t chooseClass();
    InteractiveRequest takeFrom(ClassQueue& queue, std::map<AssociationId, AssociationQueue>::iterator line, bool newest);
    bool isOverloaded(AssociationQueue const& line, TimePoint now) const;
    void recordDispatch(TimePoint now);
    double dispatchesPerSecond(TimePoint now) const;
    double shareOf(size_t requestClass) const;

    AdmissionLimits limits;
    WeightOf weightOf;
    std::array<ClassQueue, requestClassCount> classes;
    size_t count = 0;
    size_t heldBytes = 0;
    std::deque<TimePoint> dispatchTimes; ///< The latest, for the rate.
    Duration serviceTime;
};

} // namespace cornelpond
