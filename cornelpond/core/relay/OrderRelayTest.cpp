#include "cornelpond/core/relay/OrderRelay.h"

#include "testing/fakes/EventFields.h"
#include "testing/fakes/FakeClock.h"
#include "testing/fakes/RecordingEventSink.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <utility>
#include <vector>

using namespace cornelpond;

namespace {

HostId const leaderHost("leader");
HostId const relayHost("relay");
TaskRef const task { JobId("job"), 0, 0, 1 };
WorkerTarget const worker { WorkerId("w1"), "10.0.0.1:80", DataCentreId("north") };

/// Keeps every order open until the test answers it.
class OpenOrders final : public WorkerOrders {
public:
    void start(WorkerTarget const&, StartOrder const& order, Done done) override
    {
        this->starts.push_back(order);
        this->answers.push_back(std::move(done));
    }
    void stop(WorkerTarget const&, StopOrder const& order, Done done) override
    {
        this->stops.push_back(order);
        this->answers.push_back(std::move(done));
    }
    void throttle(WorkerTarget const&, ThrottleOrder const& order, Done done) override
    {
        this->throttles.push_back(order);
        this->answers.push_back(std::move(done));
    }
    void renew(WorkerTarget const&, RenewOrder const& order, std::function<void(RenewAnswer const&)> done) override
    {
        this->renewOrders.push_back(order);
        this->renewals.push_back(std::move(done));
    }
    void requestPermits(TaskRef const&, std::vector<WorkerId> const&, Duration, std::function<void(PermitAnswer const&)> done) override { done(PermitAnswer()); }

    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::vector<ThrottleOrder> throttles;
    std::vector<Done> answers;
    std::vector<RenewOrder> renewOrders;
    std::vector<std::function<void(RenewAnswer const&)>> renewals;
};

OrderAnswer accepted()
{
    return { OrderResult::Accepted, true, Duration::seconds(1) };
}

/// A leader and its relay.
class LeaderAndRelay {
public:
    /// Advances the clock by `span` in steps of 1 ms and delivers what either host has sent.
    void deliver(Duration span = Duration::milliseconds(30))
    {
        constexpr Duration step = Duration::milliseconds(1);
        for (TimePoint const end = this->clock.now() + span; this->clock.now() < end;) {
            this->clock.advance(step);
            auto const due = std::move(this->sent);
            this->sent.clear();
            for (auto const& [to, payload] : due)
                (to == leaderHost ? this->leader : this->relay).onMessage(to == leaderHost ? relayHost : leaderHost, payload);
        }
    }

    OrderRelayHooks hooks(HostId const& relayId)
    {
        OrderRelayHooks hooks;
        hooks.relayFor = [relayId](WorkerTarget const&) { return relayId; };
        hooks.isReachable = [this](HostId const&) { return this->isLinkUp; };
        hooks.knowsListingChanges = [this](HostId const&) { return this->hasListingChanges; };
        hooks.knowsDeadlines = [this](HostId const&) { return this->hasDeadlines; };
        hooks.knowsProcesses = [this](HostId const&) { return this->hasProcesses; };
        hooks.send = [this](HostId const& to, std::string payload) { this->sent.emplace_back(to, std::move(payload)); };
        hooks.emit = [this](Event const& event) { this->events.emit(event); };
        return hooks;
    }

    void start()
    {
        this->leader.start(worker, StartOrder { task, AttemptNumber(1), "x", Duration::seconds(4), Term(2), "", "" }, [this](OrderAnswer const& answer) { this->results.push_back(answer.result); });
    }

    void stop(StopWay way)
    {
        this->leader.stop(worker, { task, AttemptNumber(1), Term(2), way }, [this](OrderAnswer const& answer) { this->results.push_back(answer.result); });
    }

    void sendOneOfEach()
    {
        auto const note = [this](OrderAnswer const& answer) { this->results.push_back(answer.result); };
        this->start();
        this->leader.stop(worker, StopOrder { task, AttemptNumber(1), Term(2) }, note);
        this->leader.throttle(worker, ThrottleOrder { task, AttemptNumber(1), 50, Term(2) }, note);
        this->renew();
    }

    /// Has the relay answer an order, so that the leader learns its clock.
    void exchangeClocks()
    {
        this->renew();
        this->deliver();
        this->relayDirect.renewals.at(0)({ accepted(), 0, WorkerListing() });
        this->deliver();
        this->relayDirect.renewals.clear();
        this->relayDirect.renewOrders.clear();
        this->results.clear();
    }

    void renew(RenewOrder const& order = RenewOrder())
    {
        this->leader.renew(worker, order, [this](RenewAnswer const& answer) { this->results.push_back(answer.order.result); });
    }

    FakeClock clock;
    RecordingEventSink events; ///< Of both hosts.
    bool hasListingChanges = true; ///< Both hosts are of a version that knows them.
    bool hasDeadlines = true; ///< Both hosts are of a version that knows them.
    bool hasProcesses = true; ///< Both hosts are of a version that knows orders for one process.
    bool isLinkUp = true;
    std::vector<std::pair<HostId, std::string>> sent;
    OpenOrders leaderDirect;
    OpenOrders relayDirect;
    OrderRelay leader { clock, clock, leaderDirect, DispatchTimes(), 100, this->hooks(relayHost) };
    OrderRelay relay { clock, clock, relayDirect, DispatchTimes(), 1, this->hooks(HostId()) };
    std::vector<OrderResult> results;
    std::vector<size_t> listedRows; ///< Of each renewal's answer.
};

} // namespace

TEST_CASE("the relay sends an order to the worker once and returns its answer")
{
    LeaderAndRelay hosts;
    hosts.start();
    hosts.deliver();
    CHECK(hosts.leaderDirect.starts.empty());
    REQUIRE(hosts.relayDirect.starts.size() == 1);
    CHECK(hosts.relayDirect.starts[0].task == task);
    CHECK(hosts.results.empty());
    hosts.relayDirect.answers[0](accepted());
    hosts.deliver();
    CHECK(hosts.results == std::vector<OrderResult> { OrderResult::Accepted });
    CHECK(hosts.leader.openOrderCount() == 0);
}

TEST_CASE("orders given at the same time share a message")
{
    LeaderAndRelay hosts;
    for (int i = 0; i < 50; i++)
        hosts.start();
    hosts.clock.advance(Duration::milliseconds(5));
    CHECK(hosts.sent.size() == 1);
}

TEST_CASE("an order that the relay received and never answered ends as Unknown, and a late answer is ignored")
{
    LeaderAndRelay hosts;
    hosts.start();
    hosts.deliver();
    hosts.deliver(Duration::seconds(2));
    CHECK(hosts.results == std::vector<OrderResult> { OrderResult::Unknown });
    hosts.relayDirect.answers[0](accepted());
    hosts.deliver();
    CHECK(hosts.results.size() == 1);
}

TEST_CASE("when the link breaks, sent orders end as Unknown and unsent ones as NotSent")
{
    LeaderAndRelay hosts;
    hosts.start();
    hosts.deliver();
    hosts.isLinkUp = false;
    hosts.leader.onPeerDown(relayHost);
    CHECK(hosts.results == std::vector<OrderResult> { OrderResult::Unknown });
    hosts.start();
    hosts.deliver();
    CHECK(hosts.results.back() == OrderResult::NotSent);
}

TEST_CASE("orders to a worker that its relay cannot reach go directly, and through the relay again later")
{
    LeaderAndRelay hosts;
    for (size_t i = 0; i < 2; i++) {
        hosts.renew();
        hosts.deliver();
        REQUIRE(hosts.relayDirect.renewals.size() == i + 1);
        hosts.relayDirect.renewals[i]({ { OrderResult::Unknown, false, Duration() }, 0, {} });
        hosts.deliver();
    }
    hosts.start();
    hosts.deliver();
    CHECK(hosts.leaderDirect.starts.size() == 1);
    hosts.renew();
    REQUIRE(hosts.leaderDirect.renewals.size() == 1);
    hosts.leaderDirect.renewals[0]({ accepted(), 0, {} });
    hosts.deliver(Duration::seconds(6));
    hosts.start();
    hosts.deliver();
    CHECK(hosts.relayDirect.starts.size() == 1);
}

namespace {

WorkerListing listingOf(uint32_t rowCount)
{
    WorkerListing listing;
    for (uint32_t i = 0; i < rowCount; i++)
        listing.running.push_back({ TaskRef { JobId("job"), 0, 0, i }, AttemptNumber(1), "", 50, 900 });
    return listing;
}

/// Renews once; the worker answers with that many rows. `isAnswerLost`: the link drops the relay's answer.
void list(LeaderAndRelay& hosts, OrderRelay& leader, uint32_t rowCount, bool isAnswerLost = false)
{
    leader.renew(worker, RenewOrder(), [&hosts](RenewAnswer const& answer) {
        hosts.results.push_back(answer.order.result);
        hosts.listedRows.push_back(answer.listing.running.size());
    });
    hosts.deliver();
    REQUIRE_FALSE(hosts.relayDirect.renewals.empty());
    auto const done = std::move(hosts.relayDirect.renewals.back());
    hosts.relayDirect.renewals.clear();
    done({ accepted(), 0, listingOf(rowCount) });
    if (isAnswerLost) {
        hosts.clock.advance(Duration::milliseconds(100));
        hosts.sent.clear();
    }
    hosts.deliver(isAnswerLost ? Duration::seconds(2) : Duration::milliseconds(30));
}

} // namespace

TEST_CASE("listings arrive whole at the leader whether or not the relay sends only the changes")
{
    for (bool const hasChanges : { true, false }) {
        LeaderAndRelay hosts;
        hosts.hasListingChanges = hasChanges;
        for (uint32_t const rowCount : { 3, 5, 2 })
            list(hosts, hosts.leader, rowCount);
        CHECK(hosts.listedRows == std::vector<size_t> { 3, 5, 2 });
        CHECK(hosts.leader.counters().listingsReceived == 3);
        CHECK(hosts.leader.counters().listingChangesReceived == (hasChanges ? 2 : 0));
    }
}

TEST_CASE("a listing with ends waits for other answers no longer than an order for others")
{
    constexpr Duration orderDelay = Duration::milliseconds(2);
    constexpr Duration oneWay = Duration::milliseconds(1);
    for (bool const hasEnds : { true, false }) {
        LeaderAndRelay hosts;
        hosts.renew();
        hosts.deliver();
        WorkerListing listing = listingOf(1);
        if (hasEnds)
            listing.ended.push_back({ 1, task, AttemptNumber(1), AttemptEnd::Done, "" });
        hosts.relayDirect.renewals.at(0)({ accepted(), 0, listing });
        hosts.deliver(orderDelay + oneWay);
        CHECK(hosts.results.size() == (hasEnds ? 1 : 0));
        hosts.deliver();
        CHECK(hosts.results.size() == 1);
    }
}

TEST_CASE("after a lost answer the relay sends the whole listing")
{
    LeaderAndRelay hosts;
    list(hosts, hosts.leader, 3);
    list(hosts, hosts.leader, 4, true);
    CHECK(hosts.results.back() == OrderResult::Unknown);
    list(hosts, hosts.leader, 5);
    CHECK(hosts.results.back() == OrderResult::Accepted);
    CHECK(hosts.listedRows.back() == 5);
    CHECK(hosts.leader.counters().listingChangesReceived == 0);
    list(hosts, hosts.leader, 6);
    CHECK(hosts.leader.counters().listingChangesReceived == 1);
}

TEST_CASE("a leader that was started again gets the whole listing first")
{
    LeaderAndRelay hosts;
    list(hosts, hosts.leader, 3);
    OrderRelay restarted(hosts.clock, hosts.clock, hosts.leaderDirect, DispatchTimes(), 5000, hosts.hooks(relayHost));
    restarted.renew(worker, RenewOrder(), [&hosts](RenewAnswer const& answer) { hosts.listedRows.push_back(answer.listing.running.size()); });
    hosts.clock.advance(Duration::milliseconds(5));
    REQUIRE(hosts.sent.size() == 1);
    hosts.relay.onMessage(leaderHost, hosts.sent[0].second);
    hosts.sent.clear();
    hosts.relayDirect.renewals.back()({ accepted(), 0, listingOf(4) });
    hosts.clock.advance(Duration::milliseconds(30));
    REQUIRE(hosts.sent.size() == 1);
    restarted.onMessage(relayHost, hosts.sent[0].second);
    CHECK(hosts.listedRows.back() == 4);
    CHECK(restarted.counters().listingChangesReceived == 0);
}

TEST_CASE("a change of a listing that the leader does not hold ends the renewal as Unknown, and the next listing is whole")
{
    LeaderAndRelay hosts;
    list(hosts, hosts.leader, 3);
    hosts.renew();
    hosts.clock.advance(Duration::milliseconds(5));
    REQUIRE(hosts.sent.size() == 1);
    uint64_t const id = decodeRelayBatch(hosts.sent[0].second).orders[0].id;
    hosts.sent.clear();
    RelayBatch wrong;
    wrong.answers.push_back({ id, ListingChangeAnswer { accepted(), 0, 77, ListingChange() } });
    hosts.leader.onMessage(relayHost, encodeRelayBatch(wrong));
    CHECK(hosts.results.back() == OrderResult::Unknown);
    list(hosts, hosts.leader, 4);
    CHECK(hosts.listedRows.back() == 4);
    CHECK(hosts.leader.counters().listingChangesReceived == 0);
}

TEST_CASE("an order that comes twice leaves the leader with the listing that it received")
{
    LeaderAndRelay hosts;
    hosts.leader.renew(worker, RenewOrder(), [](RenewAnswer const&) {});
    hosts.clock.advance(Duration::milliseconds(5));
    REQUIRE(hosts.sent.size() == 1);
    hosts.sent.push_back(hosts.sent[0]);
    hosts.deliver();
    REQUIRE(hosts.relayDirect.renewals.size() == 2);
    for (size_t i = 0; i < 2; i++) {
        hosts.relayDirect.renewals[i]({ accepted(), 0, listingOf(i ? 5 : 3) });
        hosts.deliver();
    }
    hosts.relayDirect.renewals.clear();
    list(hosts, hosts.leader, 6);
    CHECK(hosts.listedRows.back() == 6);
}

TEST_CASE("a relay passes an acknowledgement on only to the process of which the leader holds a listing from it")
{
    constexpr int64_t bornMs = 1700000000123;
    LeaderAndRelay hosts;
    RenewOrder order;
    order.acknowledgedEnds = 57;
    order.maxWait = Duration::milliseconds(700);
    hosts.renew(order); // The ends were listed by way of another relay, perhaps by an earlier process of the worker.
    hosts.deliver();
    REQUIRE(hosts.relayDirect.renewOrders.size() == 1);
    CHECK(hosts.relayDirect.renewOrders[0].acknowledgedEnds == 0);
    CHECK(hosts.relayDirect.renewOrders[0].maxWait == Duration());
    RenewAnswer answer;
    answer.order = accepted();
    answer.listing.bornMs = bornMs;
    hosts.relayDirect.renewals[0](answer);
    hosts.deliver();
    hosts.renew(order);
    hosts.deliver();
    REQUIRE(hosts.relayDirect.renewOrders.size() == 2);
    CHECK(hosts.relayDirect.renewOrders[1].acknowledgedEnds == 57);
    CHECK(hosts.relayDirect.renewOrders[1].processBornMs == bornMs);
    CHECK(hosts.relayDirect.renewOrders[1].maxWait == order.maxWait);
}

TEST_CASE("a repeated stop goes past a relay that does not answer, and through it when the direct route is in use")
{
    LeaderAndRelay hosts;
    hosts.stop(StopWay::Usual);
    hosts.stop(StopWay::OtherRoute);
    hosts.deliver();
    CHECK(hosts.relayDirect.stops.size() == 1);
    CHECK(hosts.leaderDirect.stops.size() == 1);
    for (int i = 0; i < 2; i++) {
        hosts.renew();
        hosts.deliver(Duration::seconds(3));
    }
    hosts.stop(StopWay::Usual);
    hosts.stop(StopWay::OtherRoute);
    hosts.deliver();
    CHECK(hosts.leaderDirect.stops.size() == 2);
    REQUIRE(hosts.relayDirect.stops.size() == 2);
    CHECK(hosts.relayDirect.stops[1].way == StopWay::Usual);
}

TEST_CASE("a relay that was paused past the deadline of its orders starts and throttles nothing and extends no lease, but stops")
{
    LeaderAndRelay hosts;
    hosts.exchangeClocks();
    hosts.sendOneOfEach();
    hosts.clock.advance(Duration::seconds(3));
    hosts.deliver();
    CHECK(hosts.relayDirect.starts.empty());
    CHECK(hosts.relayDirect.throttles.empty());
    CHECK(hosts.relayDirect.stops.size() == 1);
    REQUIRE(hosts.relayDirect.renewOrders.size() == 1);
    CHECK_FALSE(hosts.relayDirect.renewOrders[0].extendsLease);
    CHECK(hosts.relay.counters().ordersExpired == 4);
}

TEST_CASE("a relay that was paused past the deadline of a renewal acknowledges no ends for a process that may be gone")
{
    LeaderAndRelay hosts;
    hosts.exchangeClocks();
    RenewOrder order;
    order.acknowledgedEnds = 57;
    order.processBornMs = 1700000000123;
    hosts.renew(order);
    hosts.clock.advance(Duration::seconds(3));
    hosts.deliver();
    REQUIRE(hosts.relayDirect.renewOrders.size() == 1);
    CHECK(hosts.relayDirect.renewOrders[0].acknowledgedEnds == 0);
    CHECK_FALSE(hosts.relayDirect.renewOrders[0].extendsLease);
}

TEST_CASE("orders that reach the relay before the leader gives them up are carried out")
{
    LeaderAndRelay hosts;
    hosts.exchangeClocks();
    hosts.sendOneOfEach();
    hosts.clock.advance(Duration::milliseconds(750));
    hosts.deliver();
    CHECK(hosts.relayDirect.starts.size() == 1);
    CHECK(hosts.relayDirect.throttles.size() == 1);
    CHECK(hosts.relayDirect.stops.size() == 1);
    REQUIRE(hosts.relayDirect.renewOrders.size() == 1);
    CHECK(hosts.relayDirect.renewOrders[0].extendsLease);
}

TEST_CASE("an answer that the leader read late does not expire later orders")
{
    LeaderAndRelay hosts;
    hosts.exchangeClocks();
    hosts.renew();
    hosts.deliver();
    hosts.relayDirect.renewals.at(0)({ accepted(), 0, WorkerListing() });
    hosts.clock.advance(Duration::seconds(2)); // The answer waits at the leader.
    hosts.deliver();
    hosts.start();
    hosts.deliver();
    CHECK(hosts.relayDirect.starts.size() == 1);
}

TEST_CASE("hosts that know no deadlines get none and carry orders out")
{
    LeaderAndRelay hosts;
    hosts.hasDeadlines = false;
    hosts.exchangeClocks();
    hosts.start();
    hosts.clock.advance(Duration::milliseconds(5));
    REQUIRE(hosts.sent.size() == 1);
    CHECK_FALSE(decodeRelayBatch(hosts.sent[0].second).senderClock);
    hosts.clock.advance(Duration::seconds(3));
    hosts.deliver();
    CHECK(hosts.relayDirect.starts.size() == 1);
}

TEST_CASE("a relay sends a start and a lease on with the process that they are meant for")
{
    constexpr int64_t bornMs = 1700000000123;
    LeaderAndRelay hosts;
    StartOrder start;
    start.processBornMs = bornMs;
    hosts.leader.start(worker, start, [](OrderAnswer const&) {});
    RenewOrder renew;
    renew.acknowledgedEnds = 57;
    renew.processBornMs = bornMs;
    hosts.renew(renew);
    hosts.deliver();
    REQUIRE(hosts.relayDirect.starts.size() == 1);
    CHECK(hosts.relayDirect.starts[0].processBornMs == bornMs);
    REQUIRE(hosts.relayDirect.renewOrders.size() == 1);
    CHECK(hosts.relayDirect.renewOrders[0].processBornMs == bornMs);
    CHECK(hosts.relayDirect.renewOrders[0].acknowledgedEnds == 57);
}

TEST_CASE("a host that knows no orders for one process of a worker relays none")
{
    LeaderAndRelay hosts;
    hosts.hasProcesses = false;
    hosts.sendOneOfEach();
    hosts.deliver();
    CHECK(hosts.leaderDirect.starts.size() == 1);
    CHECK(hosts.leaderDirect.stops.size() == 1);
    CHECK(hosts.leaderDirect.throttles.size() == 1);
    CHECK(hosts.leaderDirect.renewOrders.size() == 1);
    CHECK(hosts.relayDirect.starts.empty());
    CHECK(hosts.relayDirect.renewOrders.empty());
}

TEST_CASE("orders for a relay that is out of reach are not sent, whatever is known of it")
{
    LeaderAndRelay hosts;
    hosts.hasProcesses = false;
    hosts.isLinkUp = false;
    hosts.start();
    hosts.deliver();
    CHECK(hosts.leaderDirect.starts.empty());
    CHECK(hosts.results == std::vector<OrderResult> { OrderResult::NotSent });
}

namespace {

using Fields = std::vector<std::pair<std::string, std::string>>;

Fields fieldsOf(Event const& event)
{
    Fields fields;
    for (auto const& field : event.fields())
        fields.emplace_back(field.key, field.value);
    return fields;
}

} // namespace

TEST_CASE("a relay logs a start once, when it has the answer")
{
    LeaderAndRelay hosts;
    StartOrder const order { task, AttemptNumber(3), "x", Duration::seconds(4), Term(2097153), "", "", 1700000000000 };
    hosts.leader.start(worker, order, [](OrderAnswer const&) {});
    hosts.deliver();
    CHECK(hosts.events.all().empty());
    hosts.relayDirect.answers.at(0)(accepted());
    REQUIRE(hosts.events.all().size() == 1);
    CHECK(hosts.events.all()[0].id() == EventId::RelayedStartExecuted);
    CHECK(fieldsOf(hosts.events.all()[0]) == Fields { { "leader", "leader" }, { "task", task.text() }, { "attempt", "3" }, { "worker", "w1" }, { "epoch", "2097153" }, { "processBornMs", "1700000000000" }, { "leaseUntilMs", "4000" }, { "expired", "0" }, { "result", "accepted" }, { "lastedMs", "28" }, { "clockMs", "1000" } });
    CHECK(hosts.relay.counters().startsExecuted == std::map<OrderResult, uint64_t> { { OrderResult::Accepted, 1 } });
    CHECK(hosts.leader.counters().startsExecuted.empty());
}

TEST_CASE("a relay logs a start that got no answer, and a stop")
{
    LeaderAndRelay hosts;
    hosts.start();
    hosts.stop(StopWay::Usual);
    hosts.deliver();
    hosts.relayDirect.answers.at(0)(OrderAnswer());
    hosts.relayDirect.answers.at(1)(accepted());
    REQUIRE(hosts.events.all().size() == 2);
    CHECK(fieldsOf(hosts.events.all()[0]) == Fields { { "leader", "leader" }, { "task", task.text() }, { "attempt", "1" }, { "worker", "w1" }, { "epoch", "2" }, { "processBornMs", "0" }, { "leaseUntilMs", "4000" }, { "expired", "0" }, { "result", "unknown" }, { "lastedMs", "28" } });
    CHECK(hosts.events.all()[1].id() == EventId::RelayedStopExecuted);
    CHECK(fieldsOf(hosts.events.all()[1]) == Fields { { "leader", "leader" }, { "task", task.text() }, { "attempt", "1" }, { "worker", "w1" }, { "epoch", "2" }, { "expired", "0" }, { "starts", "1" }, { "startResult", "open" }, { "sinceStartMs", "0" }, { "result", "accepted" }, { "lastedMs", "28" }, { "clockMs", "1000" } });
    CHECK(hosts.relay.counters().startsExecuted == std::map<OrderResult, uint64_t> { { OrderResult::Unknown, 1 } });
    CHECK(hosts.relay.counters().stopsExecuted == std::map<OrderResult, uint64_t> { { OrderResult::Accepted, 1 } });
}

TEST_CASE("the line of a stop tells which starts of the attempt the relay sent before, when and with which result")
{
    LeaderAndRelay hosts;
    hosts.start();
    hosts.deliver();
    hosts.relayDirect.answers.at(0)(accepted());
    hosts.clock.advance(Duration::seconds(3));
    hosts.stop(StopWay::Usual);
    hosts.deliver();
    hosts.relayDirect.answers.at(1)(accepted());
    REQUIRE(hosts.events.all().size() == 2);
    Event const known = hosts.events.all()[1];
    CHECK(valueOf(known, "starts") == "1");
    CHECK(valueOf(known, "startResult") == "accepted");
    CHECK(std::stoi(valueOf(known, "sinceStartMs")) >= 3000);
    CHECK(std::stoi(valueOf(known, "sinceStartMs")) < 3100);
    hosts.leader.stop(worker, StopOrder { task, AttemptNumber(2), Term(2), StopWay::Usual }, [](OrderAnswer const&) {});
    hosts.deliver();
    hosts.relayDirect.answers.at(2)(accepted());
    REQUIRE(hosts.events.all().size() == 3);
    Event const unknown = hosts.events.all()[2];
    CHECK(valueOf(unknown, "starts") == "0");
    CHECK(valueOf(unknown, "startResult") == "notKnown");
    CHECK(valueOf(unknown, "sinceStartMs") == "-1");
}

TEST_CASE("a relay logs no renewals and throttles, and nothing of a leader that sends directly")
{
    LeaderAndRelay hosts;
    hosts.renew();
    hosts.leader.throttle(worker, ThrottleOrder { task, AttemptNumber(1), 50, Term(2) }, [](OrderAnswer const&) {});
    hosts.relay.start(worker, StartOrder(), [](OrderAnswer const&) {});
    hosts.deliver();
    hosts.relayDirect.renewals.at(0)({ accepted(), 0, {} });
    for (auto const& answer : hosts.relayDirect.answers)
        answer(accepted());
    CHECK(hosts.relayDirect.answers.size() == 2);
    CHECK(hosts.events.all().empty());
}

TEST_CASE("a relay logs starts and stops that arrive after their deadline as expired")
{
    LeaderAndRelay hosts;
    hosts.exchangeClocks();
    hosts.start();
    hosts.stop(StopWay::Usual);
    hosts.clock.advance(Duration::seconds(2));
    hosts.deliver();
    for (auto const& answer : hosts.relayDirect.answers)
        answer(accepted());
    REQUIRE(hosts.events.all().size() == 2);
    auto const valueOf = [&](size_t event, std::string const& key) {
        auto const fields = fieldsOf(hosts.events.all()[event]);
        auto const found = std::find_if(fields.begin(), fields.end(), [&](auto const& field) { return field.first == key; });
        return found == fields.end() ? std::string() : found->second;
    };
    CHECK(valueOf(0, "expired") == "1");
    CHECK(valueOf(0, "result") == "notSent");
    CHECK(valueOf(1, "expired") == "1");
    CHECK(valueOf(1, "result") == "accepted");
}
