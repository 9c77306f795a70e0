#include "cornelpond/core/admission/AdmissionQueue.h"

#include <algorithm>

namespace cornelpond {

namespace {

    constexpr size_t maxRateSamples = 64;
    constexpr size_t minRateSamples = 8;
    constexpr Duration rateWindow = Duration::seconds(2);
    constexpr double maxCredit = 2;
    constexpr int64_t serviceTimeSmoothingDivisor = 8;

    template <typename Queues>
    auto findLongest(Queues& queues)
    {
        return std::max_element(queues.begin(), queues.end(), [](auto const& left, auto const& right) { return left.second.requests.size() < right.second.requests.size(); });
    }

} // namespace

AdmissionQueue::AdmissionQueue(AdmissionLimits limits, WeightOf weightOf)
    : limits(limits)
    , weightOf(std::move(weightOf))
{
}

AssociationId AdmissionQueue::queueKeyOf(InteractiveRequest const& request) const
{
    return this->limits.isFair ? request.association : AssociationId();
}

size_t AdmissionQueue::classOf(InteractiveRequest const& request) const
{
    return this->limits.isFair ? static_cast<size_t>(request.requestClass) : 0;
}

bool AdmissionQueue::isFull(size_t additionalBytes) const
{
    return this->count >= this->limits.maxRequests || this->heldBytes + additionalBytes > this->limits.maxBytes;
}

AdmissionDecision AdmissionQueue::push(InteractiveRequest const& request, TimePoint now)
{
    AdmissionDecision decision;
    size_t const index = this->classOf(request);
    decision.expectedWait = this->expectedWait(static_cast<RequestClass>(index), this->queueKeyOf(request), now);
    if (this->limits.refusesUnmeetable && now + decision.expectedWait + this->serviceTime > request.deadline) {
        decision.code = ResultCode::DeadlineUnmeetable;
        return decision;
    }
    while (this->isFull(request.memoryBytes)) {
        auto displaced = this->displaceFor(index, this->queueKeyOf(request), now);
        if (!displaced) {
            decision.code = ResultCode::QueueFull;
            return decision;
        }
        decision.displaced.push_back(std::move(*displaced));
    }
    ClassQueue& classQueue = this->classes[index];
    auto const [associationQueue, isNew] = classQueue.associationQueues.try_emplace(this->queueKeyOf(request));
    if (isNew) {
        associationQueue->second.virtualTime = classQueue.virtualTime;
        associationQueue->second.nonEmptySince = now;
    }
    associationQueue->second.requests.push_back(request);
    classQueue.count++;
    this->count++;
    this->heldBytes += request.memoryBytes;
    return decision;
}

/// Removes and returns a queued request to make room for a new one, if one may go. The class furthest above its
/// reserved places loses the oldest request of its longest association queue. In the class of the new request
/// that queue makes room only when it is longer by more than one than the queue of the new request's association,
/// or when it is that association's own queue and is served newest first.
std::optional<InteractiveRequest> AdmissionQueue::displaceFor(size_t requestClass, AssociationId const& association, TimePoint now)
{
    auto const placesAboveReserve = [&](size_t index) {
        double const reserved = this->limits.reservedShares[index] * static_cast<double>(this->limits.maxRequests);
        return static_cast<double>(this->classes[index].count) - reserved;
    };
    size_t victim = requestClass;
    for (size_t index = 0; index < requestClassCount; index++) {
        if (placesAboveReserve(index) > placesAboveReserve(victim))
            victim = index;
    }
    ClassQueue& classQueue = this->classes[victim];
    if (!this->limits.isFair || !classQueue.count)
        return std::nullopt;
    auto const longest = findLongest(classQueue.associationQueues);
    bool const makesRoom = victim != requestClass || this->makesRoomFor(*longest, classQueue, association, now);
    return makesRoom ? std::optional(this->takeFrom(classQueue, longest, false)) : std::nullopt;
}

/// Whether the longest association queue of a class makes room for a new request of `association` in that class.
bool AdmissionQueue::makesRoomFor(std::pair<AssociationId const, AssociationQueue> const& longest, ClassQueue const& classQueue, AssociationId const& association, TimePoint now) const
{
    if (longest.first == association)
        return this->isOverloaded(longest.second, now);
    auto const own = classQueue.associationQueues.find(association);
    size_t const ownLength = own == classQueue.associationQueues.end() ? 0 : own->second.requests.size();
    return longest.second.requests.size() > ownLength + 1;
}

InteractiveRequest AdmissionQueue::takeFrom(ClassQueue& classQueue, std::map<AssociationId, AssociationQueue>::iterator associationQueue, bool takesNewest)
{
    auto& requests = associationQueue->second.requests;
    InteractiveRequest request = std::move(takesNewest ? requests.back() : requests.front());
    if (takesNewest)
        requests.pop_back();
    else
        requests.pop_front();
    if (requests.empty())
        classQueue.associationQueues.erase(associationQueue);
    classQueue.count--;
    this->count--;
    this->heldBytes -= request.memoryBytes;
    return request;
}

/// Every class with queued requests earns its reserved share with each dispatch. The class with the highest
/// credit of at least 1 is dispatched and pays 1; when there is none, the most urgent class with queued requests
/// is dispatched.
size_t AdmissionQueue::chooseClass()
{
    size_t chosen = requestClassCount;
    for (size_t index = 0; index < requestClassCount; index++) {
        ClassQueue& classQueue = this->classes[index];
        classQueue.credit = classQueue.count ? std::min(classQueue.credit + this->limits.reservedShares[index], maxCredit) : 0;
        bool const hasEarned = classQueue.credit >= 1 && (chosen == requestClassCount || classQueue.credit > this->classes[chosen].credit);
        if (classQueue.count && hasEarned)
            chosen = index;
    }
    for (size_t index = 0; chosen == requestClassCount; index++) {
        if (this->classes[index].count)
            return index;
    }
    this->classes[chosen].credit -= 1;
    return chosen;
}

std::optional<InteractiveRequest> AdmissionQueue::pop(TimePoint now)
{
    if (!this->count)
        return std::nullopt;
    ClassQueue& classQueue = this->classes[this->chooseClass()];
    auto const associationQueue = std::min_element(
        classQueue.associationQueues.begin(), classQueue.associationQueues.end(), [](auto const& left, auto const& right) { return left.second.virtualTime < right.second.virtualTime; });
    classQueue.virtualTime = std::max(classQueue.virtualTime, associationQueue->second.virtualTime);
    associationQueue->second.virtualTime += 1 / static_cast<double>(std::max<int64_t>(1, this->weightOf(associationQueue->first)));
    this->recordDispatch(now);
    return this->takeFrom(classQueue, associationQueue, this->isOverloaded(associationQueue->second, now));
}

bool AdmissionQueue::isOverloaded(AssociationQueue const& associationQueue, TimePoint now) const
{
    return this->limits.isFair && now - associationQueue.nonEmptySince >= this->limits.overloadAfter;
}

bool AdmissionQueue::remove(RequestId id)
{
    for (auto& classQueue : this->classes) {
        for (auto associationQueue = classQueue.associationQueues.begin(); associationQueue != classQueue.associationQueues.end(); ++associationQueue) {
            auto& requests = associationQueue->second.requests;
            auto const found = std::find_if(requests.begin(), requests.end(), [&](auto const& request) { return request.id == id; });
            if (found == requests.end())
                continue;
            std::rotate(requests.begin(), found, found + 1);
            this->takeFrom(classQueue, associationQueue, false);
            return true;
        }
    }
    return false;
}

std::vector<InteractiveRequest> AdmissionQueue::takeExpired(TimePoint now)
{
    std::vector<InteractiveRequest> expired;
    for (auto& classQueue : this->classes) {
        for (auto& [association, associationQueue] : classQueue.associationQueues) {
            for (auto const& request : associationQueue.requests) {
                if (request.deadline <= now)
                    expired.push_back(request);
            }
        }
    }
    for (auto const& request : expired)
        this->remove(request.id);
    return expired;
}

void AdmissionQueue::onServed(Duration measuredTime)
{
    this->serviceTime = this->serviceTime == Duration() ? measuredTime : this->serviceTime + (measuredTime - this->serviceTime) / serviceTimeSmoothingDivisor;
}

void AdmissionQueue::recordDispatch(TimePoint now)
{
    this->dispatchTimes.push_back(now);
    if (this->dispatchTimes.size() > maxRateSamples)
        this->dispatchTimes.pop_front();
}

double AdmissionQueue::dispatchesPerSecond(TimePoint now) const
{
    auto const first = std::find_if(this->dispatchTimes.begin(), this->dispatchTimes.end(), [&](TimePoint dispatchTime) { return now - dispatchTime <= rateWindow; });
    auto const sampleCount = static_cast<size_t>(this->dispatchTimes.end() - first);
    if (sampleCount < minRateSamples || *first == now)
        return 0;
    return static_cast<double>(sampleCount) / (now - *first).toSeconds();
}

/// Lower bound of the share of dispatches that a class gets while the same classes have queued requests.
double AdmissionQueue::shareOf(size_t requestClass) const
{
    double othersReservedShares = 0;
    bool isMoreUrgentQueued = false;
    for (size_t index = 0; index < requestClassCount; index++) {
        if (index == requestClass || !this->classes[index].count)
            continue;
        othersReservedShares += this->limits.reservedShares[index];
        isMoreUrgentQueued = isMoreUrgentQueued || index < requestClass;
    }
    return isMoreUrgentQueued ? this->limits.reservedShares[requestClass] : 1 - othersReservedShares;
}

Duration AdmissionQueue::expectedWait(RequestClass requestClass, AssociationId const& association, TimePoint now) const
{
    double const rate = this->dispatchesPerSecond(now);
    if (rate <= 0 || !this->count)
        return Duration();
    ClassQueue const& classQueue = this->classes[static_cast<size_t>(requestClass)];
    auto const weight = [&](AssociationId const& id) { return static_cast<double>(std::max<int64_t>(1, this->weightOf(id))); };
    double totalWeight = weight(association);
    double requestsAhead = 0;
    for (auto const& [other, associationQueue] : classQueue.associationQueues) {
        if (other == association)
            requestsAhead = this->isOverloaded(associationQueue, now) ? 0 : static_cast<double>(associationQueue.requests.size());
        else
            totalWeight += weight(other);
    }
    double const ownRate = rate * this->shareOf(static_cast<size_t>(requestClass)) * weight(association) / totalWeight;
    return Duration::microseconds(static_cast<int64_t>((requestsAhead + 1) / ownRate * 1e6));
}

} // namespace cornelpond
