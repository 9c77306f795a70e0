#include "cornelpond/core/relay/ExecutedStarts.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

namespace {

ExecutedStarts::Key keyOfTask(uint32_t index, uint64_t attempt = 1, char const* worker = "w1")
{
    return ExecutedStarts::keyOf({ JobId("job"), 0, 0, index }, AttemptNumber(attempt), WorkerId(worker));
}

TimePoint const at = TimePoint() + Duration::seconds(7);

} // namespace

TEST_CASE("a start is known by task, attempt and worker, with its first order and latest result")
{
    ExecutedStarts starts(10);
    starts.onSent(keyOfTask(1), at);
    REQUIRE(starts.find(keyOfTask(1)));
    CHECK(starts.find(keyOfTask(1))->sentAt == at);
    CHECK(!starts.find(keyOfTask(1))->result);
    CHECK(!starts.find(keyOfTask(2)));
    CHECK(!starts.find(keyOfTask(1, 2)));
    CHECK(!starts.find(keyOfTask(1, 1, "w2")));
    starts.onAnswered(keyOfTask(1), OrderResult::Unknown);
    starts.onSent(keyOfTask(1), at + Duration::seconds(1));
    starts.onAnswered(keyOfTask(1), OrderResult::Accepted);
    CHECK(starts.find(keyOfTask(1))->sentAt == at);
    CHECK(starts.find(keyOfTask(1))->orders == 2);
    CHECK(starts.find(keyOfTask(1))->result == OrderResult::Accepted);
}

TEST_CASE("the oldest starts are forgotten beyond the bound, and late answers to them are ignored")
{
    ExecutedStarts starts(3);
    for (uint32_t index = 0; index < 5; index++)
        starts.onSent(keyOfTask(index), at);
    starts.onAnswered(keyOfTask(0), OrderResult::Accepted);
    CHECK(!starts.find(keyOfTask(0)));
    CHECK(!starts.find(keyOfTask(1)));
    for (uint32_t index = 2; index < 5; index++)
        CHECK(starts.find(keyOfTask(index)));
}
