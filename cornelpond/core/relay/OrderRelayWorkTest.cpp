// What the relays cost the leader, counted as work rather than time.

#include "cornelpond/core/relay/OrderRelay.h"

#include "testing/fakes/FakeClock.h"

#include <catch2/catch.hpp>

#include <utility>
#include <vector>

using namespace cornelpond;

namespace {

HostId const leaderHost("leader");
HostId const relayHost("relay");

/// Counts how often the time is asked for.
class CountingClock final : public Clock {
public:
    explicit CountingClock(Clock const& inner)
        : inner(inner)
    {
    }

    TimePoint now() const override
    {
        this->reads++;
        return this->inner.now();
    }
    int64_t wallMilliseconds() const override { return this->inner.wallMilliseconds(); }

    mutable size_t reads = 0;

private:
    Clock const& inner;
};

/// A worker that answers renewals when the test tells it to.
class ListingWorkers final : public WorkerOrders {
public:
    void start(WorkerTarget const&, StartOrder const&, Done) override { FAIL("unexpected order"); }
    void stop(WorkerTarget const&, StopOrder const&, Done) override { FAIL("unexpected order"); }
    void throttle(WorkerTarget const&, ThrottleOrder const&, Done) override { FAIL("unexpected order"); }
    void renew(WorkerTarget const&, RenewOrder const&, std::function<void(RenewAnswer const&)> done) override { this->renewals.push_back(std::move(done)); }
    void requestPermits(TaskRef const&, std::vector<WorkerId> const&, Duration, std::function<void(PermitAnswer const&)>) override { FAIL("unexpected order"); }

    void answerAll(WorkerListing const& listing)
    {
        auto const open = std::exchange(this->renewals, {});
        for (auto const& done : open)
            done({ { OrderResult::Accepted, true, Duration::seconds(1) }, 0, listing });
    }

    std::vector<std::function<void(RenewAnswer const&)>> renewals;
};

/// A leader and its relay, without delay between them.
class LeaderAndRelay {
public:
    OrderRelayHooks hooks(HostId const& relayId)
    {
        OrderRelayHooks hooks;
        hooks.relayFor = [relayId](WorkerTarget const&) { return relayId; };
        hooks.isReachable = [](HostId const&) { return true; };
        hooks.knowsListingChanges = [this](HostId const&) { return this->hasListingChanges; };
        hooks.knowsDeadlines = [](HostId const&) { return true; };
        hooks.knowsProcesses = [](HostId const&) { return true; };
        hooks.send = [this](HostId const& to, std::string payload) {
            if (to == leaderHost) {
                this->bytesToLeader += payload.size();
                this->messagesToLeader++;
            }
            this->sent.emplace_back(to, std::move(payload));
        };
        return hooks;
    }

    void advance(Duration span)
    {
        constexpr Duration step = Duration::milliseconds(1);
        for (TimePoint const end = this->clock.now() + span; this->clock.now() < end;) {
            this->clock.advance(step);
            for (auto const& [to, payload] : std::exchange(this->sent, {}))
                (to == leaderHost ? this->leader : this->relay).onMessage(to == leaderHost ? relayHost : leaderHost, payload);
        }
    }

    void renew(WorkerTarget const& worker, Duration maxWait = Duration())
    {
        RenewOrder order;
        order.maxWait = maxWait;
        this->leader.renew(worker, order, [this](RenewAnswer const& answer) { this->answers.push_back(answer); });
    }

    /// Renews once and answers with the listing.
    void list(WorkerTarget const& worker, WorkerListing const& listing)
    {
        this->renew(worker);
        this->advance(Duration::milliseconds(30));
        this->workers.answerAll(listing);
        this->advance(Duration::milliseconds(30));
    }

    FakeClock clock;
    bool hasListingChanges = true; ///< Both hosts are of a version that knows them.
    CountingClock leaderClock { clock };
    std::vector<std::pair<HostId, std::string>> sent;
    size_t bytesToLeader = 0;
    size_t messagesToLeader = 0;
    ListingWorkers noWorkers;
    ListingWorkers workers;
    OrderRelay leader { leaderClock, clock, noWorkers, DispatchTimes(), 100, this->hooks(relayHost) };
    OrderRelay relay { clock, clock, workers, DispatchTimes(), 1, this->hooks(HostId()) };
    std::vector<RenewAnswer> answers;
};

WorkerTarget targetNumber(size_t number)
{
    return { WorkerId("w" + std::to_string(number)), "10.0.0.1:80", DataCentreId("north") };
}

WorkerListing listingOf(uint32_t rowCount)
{
    WorkerListing listing;
    listing.bornMs = 1700000000000;
    for (uint32_t i = 0; i < rowCount; i++)
        listing.running.push_back({ TaskRef { JobId("5c0e7a21d94b36f8"), 0, 0, i }, AttemptNumber(1), "", 50, 900 });
    return listing;
}

} // namespace

TEST_CASE("open orders are not looked at before they are due")
{
    constexpr size_t orderCount = 1000;
    LeaderAndRelay hosts;
    for (size_t i = 0; i < orderCount; i++)
        hosts.renew(targetNumber(i), Duration::seconds(10));
    hosts.advance(Duration::milliseconds(50));
    hosts.leaderClock.reads = 0;
    hosts.advance(Duration::seconds(1));
    CHECK(hosts.leaderClock.reads < orderCount);
}

TEST_CASE("the answers of a busy relay share messages")
{
    // 400 answers a second, as a relay of 70 workers with six answers a second each.
    LeaderAndRelay hosts;
    constexpr size_t answerCount = 400;
    for (size_t i = 0; i < 2 * answerCount; i++)
        hosts.renew(targetNumber(i), Duration::seconds(10));
    hosts.advance(Duration::milliseconds(20));
    auto const renewals = std::exchange(hosts.workers.renewals, {});
    REQUIRE(renewals.size() == 2 * answerCount);
    for (size_t i = 0; i < 2 * answerCount; i++) {
        if (i == answerCount)
            hosts.messagesToLeader = 0;
        renewals[i]({ { OrderResult::Accepted, true, Duration::seconds(1) }, 0, WorkerListing() });
        hosts.advance(i % 2 ? Duration::milliseconds(2) : Duration::milliseconds(3));
    }
    CHECK(hosts.messagesToLeader <= answerCount / 6);
}

TEST_CASE("a relay sends the leader only what changed in a worker's list")
{
    constexpr uint32_t rowCount = 20;
    constexpr size_t maxUnchangedListingBytes = 32; // A row is some 30 bytes.
    constexpr size_t maxChangedRowBytes = 8;
    LeaderAndRelay hosts;
    hosts.list(targetNumber(1), listingOf(rowCount));
    hosts.bytesToLeader = 0;
    hosts.list(targetNumber(1), listingOf(rowCount));
    CHECK(hosts.bytesToLeader <= maxUnchangedListingBytes);

    WorkerListing progressed = listingOf(rowCount);
    for (auto& row : progressed.running)
        row.progressPercent++;
    hosts.bytesToLeader = 0;
    hosts.list(targetNumber(1), progressed);
    CHECK(hosts.bytesToLeader <= maxUnchangedListingBytes + rowCount * maxChangedRowBytes);
    REQUIRE(hosts.answers.size() == 3);
    for (auto const& answer : hosts.answers)
        CHECK(answer.listing.running.size() == rowCount);
    CHECK(hosts.answers[2].listing.running[rowCount - 1].progressPercent == 51);
}
