#include "cornelpond/core/admission/AdmissionQueue.h"

#include <algorithm>

namespace cornelpond {

namespace {

    constexpr size_t rateSamples = 64;
    constexpr size_t minRateSamples = 8;
    constexpr Duration rateWindow = Duration::seconds(2);
    constexpr double maxCredit = 2;
    constexpr int64_t serviceTimeSmoothing = 8;

    template <typename Lines>
    auto findLongest(Lines& lines)
    {
        return std::max_element(lines.begin(), lines.end(), [](auto const& left, auto const& right) { return left.second.requests.size() < right.second.requests.size(); });
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

bool AdmissionQueue::isFull(size_t moreBytes) const
{
    return this->count >= this->limits.maxRequests || this->heldBytes + moreBytes > this->limits.maxBytes;
}

AdmissionDecision AdmissionQueue::push(InteractiveRequest const& request, TimePoint now)
{
    AdmissionDecision verdict;
    size_t const index = this->classOf(request);
    verdict.expectedWait = this->expectedWait(static_cast<RequestClass>(index), this->queueKeyOf(request), now);
    if (this->limits.refusesUnmeetable && now + verdict.expectedWait + this->serviceTime > request.deadline) {
        verdict.code = ResultCode::DeadlineUnmeetable;
        return verdict;
    }
    while (this->isFull(request.memoryBytes)) {
        auto displaced = this->displaceFor(index, this->queueKeyOf(request), now);
        if (!displaced) {
            verdict.code = ResultCode::QueueFull;
            return verdict;
        }
        verdict.displaced.push_back(std::move(*displaced));
    }
    ClassQueue& queue = this->classes[index];
    auto const [line, isNew] = queue.associationQueues.try_emplace(this->queueKeyOf(request));
    if (isNew) {
        line->second.virtualTime = queue.virtualTime;
        line->second.nonEmptySince = now;
    }
    line->second.requests.push_back(request);
    queue.count++;
    this->count++;
    this->heldBytes += request.memoryBytes;
    return verdict;
}

/// The class furthest above its reserved places gives way; in the newcomer's own class a longer line
/// does, or its own line's oldest once the newest goes first.
std::optional<InteractiveRequest> AdmissionQueue::displaceFor(size_t requestClass, AssociationId const& association, TimePoint now)
{
    auto const above = [&](size_t index) {
        double const reserved = this->limits.reservedShares[index] * static_cast<double>(this->limits.maxRequests);
        return static_cast<double>(this->classes[index].count) - reserved;
    };
    size_t victim = requestClass;
    for (size_t index = 0; index < requestClassCount; index++) {
        if (above(index) > above(victim))
            victim = index;
    }
    ClassQueue& queue = this->classes[victim];
    if (!this->limits.isFair || !queue.count)
        return std::nullopt;
    auto const longest = findLongest(queue.associationQueues);
    bool const givesWay = victim != requestClass || this->makesRoomFor(*longest, queue, association, now);
    return givesWay ? std::optional(this->takeFrom(queue, longest, false)) : std::nullopt;
}

/// Whether the longest line of a class makes room for a newcomer of the same class.
bool AdmissionQueue::makesRoomFor(std::pair<AssociationId const, AssociationQueue> const& longest, ClassQueue const& queue, AssociationId const& association, TimePoint now) const
{
    if (longest.first == association)
        return this->isOverloaded(longest.second, now);
    auto const own = queue.associationQueues.find(association);
    size_t const ownLength = own == queue.associationQueues.end() ? 0 : own->second.requests.size();
    return longest.second.requests.size() > ownLength + 1;
}

InteractiveRequest AdmissionQueue::takeFrom(ClassQueue& queue, std::map<AssociationId, AssociationQueue>::iterator line, bool newest)
{
    auto& requests = line->second.requests;
    InteractiveRequest request = std::move(newest ? requests.back() : requests.front());
    if (newest)
        requests.pop_back();
    else
        requests.pop_front();
    if (requests.empty())
        queue.associationQueues.erase(line);
    queue.count--;
    this->count--;
    this->heldBytes -= request.memoryBytes;
    return request;
}

/// Every waiting class earns its floor with each dispatch; a whole credit buys the next one, and what
/// nobody has earned goes to the most urgent.
size_t AdmissionQueue::chooseClass()
{
    size_t chosen = requestClassCount;
    for (size_t index = 0; index < requestClassCount; index++) {
        ClassQueue& queue = this->classes[index];
        queue.credit = queue.count ? std::min(queue.credit + this->limits.reservedShares[index], maxCredit) : 0;
        bool const hasEarned = queue.credit >= 1 && (chosen == requestClassCount || queue.credit > this->classes[chosen].credit);
        if (queue.count && hasEarned)
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
    ClassQueue& queue = this->classes[this->chooseClass()];
    auto const line = std::min_element(
        queue.associationQueues.begin(), queue.associationQueues.end(), [](auto const& left, auto const& right) { return left.second.virtualTime < right.second.virtualTime; });
    queue.virtualTime = std::max(queue.virtualTime, line->second.virtualTime);
    line->second.virtualTime += 1 / static_cast<double>(std::max<int64_t>(1, this->weightOf(line->first)));
    this->recordDispatch(now);
    return this->takeFrom(queue, line, this->isOverloaded(line->second, now));
}

bool AdmissionQueue::isOverloaded(AssociationQueue const& line, TimePoint now) const
{
    return this->limits.isFair && now - line.nonEmptySince >= this->limits.overloadAfter;
}

bool AdmissionQueue::remove(RequestId id)
{
    for (auto& queue : this->classes) {
        for (auto line = queue.associationQueues.begin(); line != queue.associationQueues.end(); ++line) {
            auto& requests = line->second.requests;
            auto const found = std::find_if(requests.begin(), requests.end(), [&](auto const& request) { return request.id == id; });
            if (found == requests.end())
                continue;
            std::rotate(requests.begin(), found, found + 1);
            this->takeFrom(queue, line, false);
            return true;
        }
    }
    return false;
}

std::vector<InteractiveRequest> AdmissionQueue::takeExpired(TimePoint now)
{
    std::vector<InteractiveRequest> expired;
    for (auto& queue : this->classes) {
        for (auto& [association, line] : queue.associationQueues) {
            for (auto const& request : line.requests) {
                if (request.deadline <= now)
                    expired.push_back(request);
            }
        }
    }
    for (auto const& request : expired)
        this->remove(request.id);
    return expired;
}

void AdmissionQueue::onServed(Duration taken)
{
    this->serviceTime = this->serviceTime == Duration() ? taken : this->serviceTime + (taken - this->serviceTime) / serviceTimeSmoothing;
}

void AdmissionQueue::recordDispatch(TimePoint now)
{
    this->dispatchTimes.push_back(now);
    if (this->dispatchTimes.size() > rateSamples)
        this->dispatchTimes.pop_front();
}

double AdmissionQueue::dispatchesPerSecond(TimePoint now) const
{
    auto const first = std::find_if(this->dispatchTimes.begin(), this->dispatchTimes.end(), [&](TimePoint at) { return now - at <= rateWindow; });
    auto const seen = static_cast<size_t>(this->dispatchTimes.end() - first);
    if (seen < minRateSamples || *first == now)
        return 0;
    return static_cast<double>(seen) / (now - *first).toSeconds();
}

/// What a class gets at least, given who waits now.
double AdmissionQueue::shareOf(size_t requestClass) const
{
    double othersFloors = 0;
    bool moreUrgentWaits = false;
    for (size_t index = 0; index < requestClassCount; index++) {
        if (index == requestClass || !this->classes[index].count)
            continue;
        othersFloors += this->limits.reservedShares[index];
        moreUrgentWaits = moreUrgentWaits || index < requestClass;
    }
    return moreUrgentWaits ? this->limits.reservedShares[requestClass] : 1 - othersFloors;
}

Duration AdmissionQueue::expectedWait(RequestClass requestClass, AssociationId const& association, TimePoint now) const
{
    double const rate = this->dispatchesPerSecond(now);
    if (rate <= 0 || !this->count)
        return Duration();
    ClassQueue const& queue = this->classes[static_cast<size_t>(requestClass)];
    auto const weight = [&](AssociationId const& id) { return static_cast<double>(std::max<int64_t>(1, this->weightOf(id))); };
    double weights = weight(association);
    double ahead = 0;
    for (auto const& [other, line] : queue.associationQueues) {
        if (other == association)
            ahead = this->isOverloaded(line, now) ? 0 : static_cast<double>(line.requests.size());
        else
            weights += weight(other);
    }
    double const ownRate = rate * this->shareOf(static_cast<size_t>(requestClass)) * weight(association) / weights;
    return Duration::microseconds(static_cast<int64_t>((ahead + 1) / ownRate * 1e6));
}

} // namespace cornelpond
