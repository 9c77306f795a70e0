#include "cornelpond/core/relay/ListingChange.h"

#include "cornelpond/core/base/ResultCode.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <tuple>

using namespace cornelpond;

namespace {

ListedAttempt row(uint32_t index, unsigned progressPercent = 50, int64_t figure = 900, std::string const& checkpoint = std::string())
{
    return { TaskRef { JobId("5c0e7a21d94b36f8"), 0, 0, index }, AttemptNumber(1), checkpoint, progressPercent, figure };
}

WorkerListing listingOf(std::vector<ListedAttempt> rows)
{
    WorkerListing listing;
    listing.bornMs = 7;
    listing.running = std::move(rows);
    return listing;
}

auto fieldsOf(ListedAttempt const& listed)
{
    return std::make_tuple(listed.task.index, listed.attempt.value(), listed.checkpoint, listed.progressPercent, listed.latencyMsOrMilliCores);
}

using Fields = decltype(fieldsOf(ListedAttempt()));

std::vector<Fields> sortedFields(WorkerListing const& listing)
{
    std::vector<Fields> fields;
    for (auto const& listed : listing.running)
        fields.push_back(fieldsOf(listed));
    std::sort(fields.begin(), fields.end());
    return fields;
}

WorkerListing arbitraryListing()
{
    std::vector<ListedAttempt> rows;
    for (uint32_t index = 0; index < 8; index++) {
        if (*rc::gen::arbitrary<bool>())
            rows.push_back(row(index, *rc::gen::inRange(0U, 3U), *rc::gen::inRange<int64_t>(-1, 2), *rc::gen::element<std::string>("", "a", "b")));
    }
    if (*rc::gen::arbitrary<bool>())
        std::reverse(rows.begin(), rows.end());
    WorkerListing listing = listingOf(std::move(rows));
    listing.isComplete = *rc::gen::arbitrary<bool>();
    if (*rc::gen::arbitrary<bool>())
        listing.ended.push_back({ 3, TaskRef { JobId("job"), 0, 0, 9 }, AttemptNumber(1), AttemptEnd::Done, "" });
    return listing;
}

} // namespace

TEST_CASE("property: the changed listing equals the later one, over any number of changes")
{
    rc::prop("a held listing follows the worker's", [] {
        WorkerListing held = arbitraryListing();
        for (int step = 0; step < 4; step++) {
            WorkerListing const next = arbitraryListing();
            auto const change = listingChange(held, next);
            RC_ASSERT(change.has_value());
            applyListingChange(held, *change);
            RC_ASSERT(sortedFields(held) == sortedFields(next));
            RC_ASSERT(held.isComplete == next.isComplete);
            RC_ASSERT(held.ended.size() == next.ended.size());
        }
    });
}

TEST_CASE("rows that stay as they are are no part of a change")
{
    auto const change = listingChange(listingOf({ row(1), row(2), row(3) }), listingOf({ row(1), row(3, 51), row(4) }));
    REQUIRE(change);
    REQUIRE(change->changed.size() == 1);
    CHECK(change->changed[0].index == 2);
    CHECK_FALSE(change->changed[0].checkpoint);
    CHECK(change->removed == std::vector<uint64_t> { 1 });
    REQUIRE(change->added.size() == 1);
    CHECK(change->added[0].task.index == 4);
}

TEST_CASE("the listing of another process of the worker is no change of the former one's")
{
    WorkerListing restarted = listingOf({ row(1) });
    restarted.bornMs = 8;
    CHECK_FALSE(listingChange(listingOf({ row(1) }), restarted));
}

TEST_CASE("a listing with an attempt twice is sent whole, and followed by a change that drops one")
{
    WorkerListing doubled = listingOf({ row(1), row(1, 60) });
    CHECK_FALSE(listingChange(listingOf({ row(1) }), doubled));
    auto const change = listingChange(doubled, listingOf({ row(1, 70) }));
    REQUIRE(change);
    applyListingChange(doubled, *change);
    CHECK(sortedFields(doubled) == sortedFields(listingOf({ row(1, 70) })));
}

TEST_CASE("a change of another listing throws")
{
    WorkerListing listing = listingOf({ row(1) });
    ListingChange beyond;
    beyond.changed.push_back({ 1, std::nullopt, 0, 0 });
    CHECK_THROWS_AS(applyListingChange(listing, beyond), Error);
    ListingChange unordered;
    unordered.removed = { 0, 0 };
    CHECK_THROWS_AS(applyListingChange(listing, unordered), Error);
}

TEST_CASE("listings that are not renewed are forgotten")
{
    ListingMemory memory;
    TimePoint const start = TimePoint::fromMicroseconds(0);
    memory.remember(WorkerId("gone"), { HostId("leader"), 1, RenewAnswer(), start });
    memory.remember(WorkerId("here"), { HostId("leader"), 2, RenewAnswer(), start + Duration::seconds(9) });
    CHECK(memory.find(WorkerId("gone"), HostId("leader")));
    CHECK_FALSE(memory.find(WorkerId("gone"), HostId("other")));
    memory.forgetOlderThan(start + Duration::seconds(5));
    CHECK_FALSE(memory.find(WorkerId("gone"), HostId("leader")));
    CHECK(memory.size() == 1);
}
