#include "cornelpond/core/relay/RelayMessage.h"

#include "cornelpond/core/base/ResultCode.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace cornelpond;

namespace {

TaskRef const task { JobId("5c0e7a21d94b36f8"), 2, 1, 17 };
constexpr int64_t bornMs = 1700000000123;
WorkerTarget const target { WorkerId("w1"), "10.0.0.1:80", DataCentreId("north") };

RelayBatch batchOfAllKinds()
{
    RelayBatch batch;
    batch.orders.push_back({ 1, target, StartOrder { task, AttemptNumber(3), "payload", Duration::milliseconds(486000), Term(7), "saved", "ticket" } });
    batch.orders.push_back({ 2, target, StopOrder { task, AttemptNumber(3), Term(7) } });
    batch.orders.push_back({ 3, target, ThrottleOrder { task, AttemptNumber(3), 40, Term(7) } });
    batch.orders.push_back({ 4, target, RenewOrder { true, Duration::milliseconds(486000), Term(7), 57, Duration::milliseconds(700) } });
    batch.answers.push_back({ 5, OrderAnswer { OrderResult::RefusedRoom, true, Duration::milliseconds(482113) } });
    RenewAnswer renewed { { OrderResult::Accepted, true, Duration::milliseconds(482113) }, 57, {} };
    renewed.listing.bornMs = 1700000000000;
    renewed.listing.running.push_back({ task, AttemptNumber(3), "saved", 41, -1 });
    renewed.listing.running.push_back({ task, AttemptNumber(4), "", 100, 0 });
    renewed.listing.ended.push_back({ 58, task, AttemptNumber(2), AttemptEnd::Failed, "saved" });
    renewed.listing.isComplete = false;
    batch.answers.push_back({ 6, renewed });
    batch.orders.push_back({ 7, target, RenewOrder { true, Duration::milliseconds(486000), Term(7), 57, Duration::milliseconds(700) }, 4 });
    ListingChangeAnswer change { { OrderResult::Accepted, true, Duration::milliseconds(482113) }, 57, 4, {}, 6 };
    change.change.changed.push_back({ 0, "saved2", 42, -1 });
    change.change.changed.push_back({ 3, std::nullopt, 43, 250 });
    change.change.removed = { 1, 2 };
    change.change.added.push_back({ task, AttemptNumber(5), "", 0, -1 });
    change.change.ended.push_back({ 58, task, AttemptNumber(4), AttemptEnd::Done, "" });
    change.change.isComplete = false;
    batch.answers.push_back({ 7, change });
    batch.answers.push_back({ 8, NumberedListingAnswer { 5, renewed } });
    batch.orders.push_back({ 9, target, StartOrder { task, AttemptNumber(3), "payload", Duration::milliseconds(486000), Term(7), "saved", "ticket", bornMs } });
    batch.orders.push_back({ 10, target, RenewOrder { true, Duration::milliseconds(486000), Term(7), 57, Duration::milliseconds(700), bornMs }, 4 });
    batch.orders.push_back({ 11, target, RenewOrder { true, Duration::milliseconds(486000), Term(7), 57, Duration::milliseconds(700), bornMs } });
    batch.answers.push_back({ 9, OrderAnswer { OrderResult::OtherProcess, false, Duration() } });
    batch.senderClock = TimePoint::fromMicroseconds(7000001);
    batch.deadline = TimePoint::fromMicroseconds(9000001);
    return batch;
}

} // namespace

TEST_CASE("a decoded batch equals the encoded one")
{
    std::string const bytes = encodeRelayBatch(batchOfAllKinds());
    RelayBatch const read = decodeRelayBatch(bytes);
    REQUIRE(read.orders.size() == 8);
    CHECK(read.orders[0].worker.address == target.address);
    CHECK(read.orders[0].worker.dataCentre == target.dataCentre);
    auto const& start = std::get<StartOrder>(read.orders[0].order);
    CHECK(start.task == task);
    CHECK(start.leaseUntil == Duration::milliseconds(486000));
    CHECK(start.permit == "ticket");
    CHECK(std::get<ThrottleOrder>(read.orders[2].order).speedPercent == 40);
    CHECK(std::get<RenewOrder>(read.orders[3].order).acknowledgedEnds == 57);
    REQUIRE(read.answers.size() == 5);
    CHECK(std::get<OrderAnswer>(read.answers[0].answer).result == OrderResult::RefusedRoom);
    auto const& renewed = std::get<RenewAnswer>(read.answers[1].answer);
    CHECK(renewed.listing.running[0].latencyMsOrMilliCores == -1);
    CHECK(renewed.listing.running[1].latencyMsOrMilliCores == 0);
    CHECK(renewed.listing.ended[0].end == AttemptEnd::Failed);
    CHECK_FALSE(renewed.listing.isComplete);
    CHECK_FALSE(read.orders[3].heldListing);
    CHECK(read.orders[4].heldListing == 4U);
    CHECK(start.processBornMs == 0);
    CHECK(std::get<StartOrder>(read.orders[5].order).processBornMs == bornMs);
    CHECK(std::get<StartOrder>(read.orders[5].order).permit == "ticket");
    CHECK(std::get<RenewOrder>(read.orders[6].order).processBornMs == bornMs);
    CHECK(std::get<RenewOrder>(read.orders[6].order).acknowledgedEnds == 57);
    CHECK(read.orders[6].heldListing == 4U);
    CHECK(std::get<RenewOrder>(read.orders[7].order).processBornMs == bornMs);
    CHECK_FALSE(read.orders[7].heldListing);
    CHECK(std::get<OrderAnswer>(read.answers[4].answer).result == OrderResult::OtherProcess);
    auto const& change = std::get<ListingChangeAnswer>(read.answers[2].answer);
    CHECK(change.heldListing == 4);
    CHECK(change.listing == 6);
    CHECK(change.acknowledgedEnds == 57);
    CHECK(change.change.changed[0].checkpoint == std::optional<std::string>("saved2"));
    CHECK_FALSE(change.change.changed[1].checkpoint);
    CHECK(change.change.changed[1].latencyMsOrMilliCores == 250);
    CHECK(change.change.removed == std::vector<uint64_t> { 1, 2 });
    CHECK(change.change.ended[0].number == 58);
    CHECK_FALSE(change.change.isComplete);
    auto const& numbered = std::get<NumberedListingAnswer>(read.answers[3].answer);
    CHECK(numbered.listing == 5);
    CHECK(read.senderClock == TimePoint::fromMicroseconds(7000001));
    CHECK(read.deadline == TimePoint::fromMicroseconds(9000001));
    CHECK(numbered.answer.listing.running.size() == 2);
    CHECK(numbered.answer.acknowledgedEnds == renewed.acknowledgedEnds);
    CHECK(encodeRelayBatch(read) == bytes);
}

TEST_CASE("property: corrupted bytes decode or throw a typed error, nothing else")
{
    rc::prop("truncated or changed bytes decode or throw a typed error", [] {
        std::string bytes = encodeRelayBatch(batchOfAllKinds());
        auto const at = *rc::gen::inRange<size_t>(0, bytes.size());
        if (*rc::gen::arbitrary<bool>())
            bytes.resize(at);
        else
            bytes[at] = *rc::gen::arbitrary<char>();
        try {
            decodeRelayBatch(bytes);
        } catch (Error const& error) {
            RC_ASSERT(error.code() == ResultCode::MalformedMessage);
        }
    });
}

TEST_CASE("results, ends and times out of range are refused, not converted")
{
    auto const isRefused = [](RelayBatch const& batch) {
        try {
            decodeRelayBatch(encodeRelayBatch(batch));
            return false;
        } catch (Error const& error) {
            return error.code() == ResultCode::MalformedMessage;
        }
    };
    RelayBatch result;
    result.answers.push_back({ 1, OrderAnswer { static_cast<OrderResult>(99), false, Duration() } });
    CHECK(isRefused(result));
    RelayBatch time;
    time.answers.push_back({ 1, OrderAnswer { OrderResult::Accepted, true, Duration::milliseconds(-1) } });
    CHECK(isRefused(time));
    RelayBatch end;
    RenewAnswer listed;
    listed.listing.ended.push_back({ 1, task, AttemptNumber(1), static_cast<AttemptEnd>(9), "" });
    end.answers.push_back({ 1, listed });
    CHECK(isRefused(end));
    RelayBatch numberedEnd;
    numberedEnd.answers.push_back({ 1, NumberedListingAnswer { 5, listed } });
    CHECK(isRefused(numberedEnd));
    RelayBatch changedEnd;
    ListingChangeAnswer change;
    change.change.ended = listed.listing.ended;
    changedEnd.answers.push_back({ 1, change });
    CHECK(isRefused(changedEnd));
    RelayBatch changeResult;
    changeResult.answers.push_back({ 1, ListingChangeAnswer { { static_cast<OrderResult>(99), false, Duration() }, 0, 4, {} } });
    CHECK(isRefused(changeResult));
    RelayBatch changeTime;
    changeTime.answers.push_back({ 1, ListingChangeAnswer { { OrderResult::Accepted, true, Duration::milliseconds(-1) }, 0, 4, {} } });
    CHECK(isRefused(changeTime));
    CHECK_FALSE(isRefused(batchOfAllKinds()));
}

TEST_CASE("a batch without a clock is encoded as by hosts that know no deadlines")
{
    RelayBatch batch = batchOfAllKinds();
    std::string const full = encodeRelayBatch(batch);
    batch.senderClock.reset();
    std::string const plain = encodeRelayBatch(batch);
    CHECK(full.compare(0, plain.size(), plain) == 0);
    CHECK(plain.size() < full.size());
    RelayBatch const read = decodeRelayBatch(plain);
    CHECK_FALSE(read.senderClock);
    CHECK_FALSE(read.deadline);
}
