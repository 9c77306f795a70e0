// Guards against a job that has run and is answered 404: the first attempt was carried out, its answer was lost, and the
// queue was gone at the second one.

#include "cornelpond/app/CallAttempts.h"

#include "cornelpond/app/Api.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace cornelpond;

namespace {

HttpResponse withStatus(int status)
{
    return jsonResponse(status, nlohmann::json::object());
}

HttpResponse const lostAnswer = refusal(ResultCode::ForwardFailed, "no answer");

} // namespace

TEST_CASE("after a lost answer no answer says that the call was not carried out")
{
    for (int const status : { 404, 429, 503 }) {
        CallAttempts attempts(true);
        CHECK(attempts.finalAnswer(withStatus(status)).status == status);
        CHECK(attempts.onAnswer(lostAnswer) == CallAttempts::Next::TryAgain);
        // A change of leader in between changes nothing.
        CHECK(attempts.onAnswer(refusal(ResultCode::NotLeader, "")) == CallAttempts::Next::TryAgain);
        CHECK(attempts.onAnswer(withStatus(status)) == CallAttempts::Next::Answer);
        HttpResponse const answer = attempts.finalAnswer(withStatus(status));
        CHECK(answer.status == resultCodeInfo(ResultCode::OutcomeUnknown).httpStatus);
        CHECK(nlohmann::json::parse(answer.body).at("code") == static_cast<int>(ResultCode::OutcomeUnknown));
    }
}

TEST_CASE("after a lost answer, success and refusals that hold for every attempt are passed on")
{
    for (int const status : { 200, 400, 405, 410, 413, 422 }) {
        CallAttempts attempts(true);
        attempts.onAnswer(lostAnswer);
        CHECK(attempts.onAnswer(withStatus(status)) == CallAttempts::Next::Answer);
        CHECK(attempts.finalAnswer(withStatus(status)).status == status);
    }
}

TEST_CASE("a call that was refused by a host that does not lead has not been carried out there")
{
    CallAttempts attempts(true);
    CHECK(attempts.onAnswer(refusal(ResultCode::NotLeader, "")) == CallAttempts::Next::TryAgain);
    for (int const status : { 404, 429, 503 })
        CHECK(attempts.finalAnswer(withStatus(status)).status == status);
}

TEST_CASE("a call that must not be carried out twice is not tried again after a lost answer")
{
    CallAttempts attempts(false);
    CHECK(attempts.onAnswer(lostAnswer) == CallAttempts::Next::Answer);
    CHECK(attempts.finalAnswer(lostAnswer).body == lostAnswer.body);
}

TEST_CASE("a late answer ends the call only if later attempts cannot contradict it")
{
    CallAttempts attempts(true);
    attempts.onAnswer(lostAnswer);
    for (int const status : { 200, 400, 410, 422 })
        CHECK(attempts.isConclusive(withStatus(status)));
    for (int const status : { 404, 429, 502, 503, 504 })
        CHECK_FALSE(attempts.isConclusive(withStatus(status)));
}
