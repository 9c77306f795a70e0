#include "cornelpond/core/admission/AdmissionQueue.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <set>

using namespace cornelpond;

namespace {

int64_t equalWeight(AssociationId const&)
{
    return 1;
}

InteractiveRequest makeRequest(uint64_t id, RequestClass requestClass, std::string const& association = "a")
{
    InteractiveRequest request;
    request.id = RequestId(id);
    request.requestClass = requestClass;
    request.association = AssociationId(association);
    request.deadline = TimePoint() + Duration::seconds(100);
    request.memoryBytes = 10;
    return request;
}

} // namespace

TEST_CASE("each class gets its reserved share of the dispatches under overload, and the rest goes to the most urgent")
{
    AdmissionLimits limits;
    AdmissionQueue queue(limits, equalWeight);
    std::array<int, requestClassCount> served {};
    uint64_t id = 0;
    for (int round = 0; round < 1000; round++) {
        for (auto requestClass : { RequestClass::Urgent, RequestClass::Normal, RequestClass::Background }) {
            while (queue.size(requestClass) < 10)
                queue.push(makeRequest(++id, requestClass), TimePoint());
        }
        served[static_cast<size_t>(queue.pop(TimePoint())->requestClass)]++;
    }
    CHECK(served[1] >= 190);
    CHECK(served[2] >= 90);
    CHECK(served[0] >= 600);
}

TEST_CASE("associations of one class are served by weight")
{
    AdmissionQueue queue(AdmissionLimits(), [](AssociationId const& id) { return id.value() == "heavy" ? 3 : 1; });
    for (uint64_t i = 0; i < 200; i++) {
        queue.push(makeRequest(2 * i, RequestClass::Normal, "heavy"), TimePoint());
        queue.push(makeRequest(2 * i + 1, RequestClass::Normal, "light"), TimePoint());
    }
    int heavy = 0;
    for (int i = 0; i < 200; i++)
        heavy += queue.pop(TimePoint())->association == AssociationId("heavy") ? 1 : 0;
    CHECK(heavy >= 148);
    CHECK(heavy <= 152);
}

TEST_CASE("a full queue displaces a request of the longest association queue and keeps the other classes' places")
{
    AdmissionLimits limits;
    limits.maxRequests = 10;
    AdmissionQueue queue(limits, equalWeight);
    for (uint64_t i = 0; i < 10; i++)
        CHECK(queue.push(makeRequest(i, RequestClass::Background), TimePoint()).code == ResultCode::Ok);
    CHECK(queue.push(makeRequest(10, RequestClass::Background), TimePoint()).code == ResultCode::QueueFull);
    AdmissionDecision const urgent = queue.push(makeRequest(11, RequestClass::Urgent), TimePoint());
    CHECK(urgent.code == ResultCode::Ok);
    REQUIRE(urgent.displaced.size() == 1);
    CHECK(urgent.displaced.front().id == RequestId(0));
    CHECK(queue.push(makeRequest(12, RequestClass::Background, "b"), TimePoint()).displaced.size() == 1);
}

TEST_CASE("a request that cannot be served before its deadline is refused at once")
{
    AdmissionQueue queue(AdmissionLimits(), equalWeight);
    TimePoint now;
    uint64_t id = 0;
    for (; id < 50; id++)
        queue.push(makeRequest(id, RequestClass::Normal), now);
    for (int i = 0; i < 20; i++) {
        now = now + Duration::milliseconds(20);
        queue.pop(now);
    }
    InteractiveRequest shortDeadlineRequest = makeRequest(id, RequestClass::Normal);
    shortDeadlineRequest.deadline = now + Duration::milliseconds(300);
    AdmissionDecision const decision = queue.push(shortDeadlineRequest, now);
    CHECK(decision.code == ResultCode::DeadlineUnmeetable);
    CHECK(decision.expectedWait > Duration::milliseconds(300));
    shortDeadlineRequest.deadline = now + Duration::seconds(2);
    CHECK(queue.push(shortDeadlineRequest, now).code == ResultCode::Ok);
}

TEST_CASE("under lasting overload the newest request is served first")
{
    AdmissionQueue queue(AdmissionLimits(), equalWeight);
    for (uint64_t i = 0; i < 5; i++)
        queue.push(makeRequest(i, RequestClass::Normal), TimePoint());
    CHECK(queue.pop(TimePoint())->id == RequestId(0));
    CHECK(queue.pop(TimePoint() + Duration::seconds(1))->id == RequestId(4));
}

TEST_CASE("the queue stays within its bounds and loses no request")
{
    rc::prop("whatever is pushed, popped or removed", [] {
        AdmissionLimits limits;
        limits.maxRequests = 8;
        limits.maxBytes = 60;
        AdmissionQueue queue(limits, equalWeight);
        std::set<uint64_t> waiting;
        TimePoint now;
        uint64_t nextId = 1;
        auto const steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
        for (int step : steps) {
            now = now + Duration::milliseconds(step);
            if (step < 25) {
                InteractiveRequest const request = makeRequest(nextId++, static_cast<RequestClass>(step % 3), step % 2 ? "a" : "b");
                AdmissionDecision const decision = queue.push(request, now);
                for (auto const& displaced : decision.displaced)
                    RC_ASSERT(waiting.erase(displaced.id.value()) == 1U);
                if (decision.code == ResultCode::Ok)
                    waiting.insert(request.id.value());
            } else if (step < 35) {
                auto const popped = queue.pop(now);
                RC_ASSERT(popped.has_value() == !waiting.empty());
                if (popped)
                    RC_ASSERT(waiting.erase(popped->id.value()) == 1U);
            } else if (!waiting.empty()) {
                RC_ASSERT(queue.remove(RequestId(*waiting.begin())));
                waiting.erase(waiting.begin());
            }
            RC_ASSERT(queue.size() == waiting.size());
            RC_ASSERT(queue.size() <= limits.maxRequests);
            RC_ASSERT(queue.bytes() == waiting.size() * 10);
            RC_ASSERT(queue.bytes() <= limits.maxBytes);
        }
    });
}
