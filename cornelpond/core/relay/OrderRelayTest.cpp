#include "cornelpond/core/relay/OrderRelay.h"

#include "testing/fakes/FakeClock.h"

#include <catch2/catch.hpp>

#include <utility>
#include <vector>

using namespace cornelpond;

namespace {

HostId const leaderHost("leader");
HostId const relayHost("relay");
TaskRef const task { JobId("job"), 0, 0, 1 };
WorkerTarget const worker { WorkerId("w1"), "10.0.0.1:80", DataCentreId("north") };

/// Workers that keep every order open until the test answers it.
class OpenOrders final : public WorkerOrders {
public:
    void start(WorkerTarget const&, StartOrder const& order, Done done) override
    {
        this->starts.push_back(order);
        this->answers.push_back(std::move(done));
    }
    void stop(WorkerTarget const&, StopOrder const&, Done done) override { this->answers.push_back(std::move(done)); }
    void throttle(WorkerTarget const&, ThrottleOrder const&, Done done) override { this->answers.push_back(std::move(done)); }
    void renew(WorkerTarget const&, RenewOrder const&, std::function<void(RenewAnswer const&)> done) override { this->renewals.push_back(std::move(done)); }
    void requestPermits(TaskRef const&, std::vector<WorkerId> const&, Duration, std::function<void(PermitAnswer const&)> done) override { done(PermitAnswer()); }

    std::vector<StartOrder> starts;
    std::vector<Done> answers;
    std::vector<std::function<void(RenewAnswer const&)>> renewals;
};

/// A leader, and the host that passes its orders on.
class Pair {
public:
    /// Delivers what either host sent, until nothing is on its way.
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

    OrderRelayHooks hooks(HostId const& passesTo)
    {
        OrderRelayHooks hooks;
        hooks.relayFor = [passesTo](WorkerTarget const&) { return passesTo; };
        hooks.isReachable = [this](HostId const&) { return this->isLinkUp; };
        hooks.send = [this](HostId const& to, std::string payload) { this->sent.emplace_back(to, std::move(payload)); };
        return hooks;
    }

    void start()
    {
        this->leader.start(worker, StartOrder { task, AttemptNumber(1), "x", Duration::seconds(4), Term(2), "", "" }, [this](OrderAnswer const& answer) { this->results.push_back(answer.result); });
    }

    void renew()
    {
        this->leader.renew(worker, RenewOrder(), [this](RenewAnswer const& answer) { this->results.push_back(answer.order.result); });
    }

    FakeClock clock;
    bool isLinkUp = true;
    std::vector<std::pair<HostId, std::string>> sent;
    OpenOrders leaderDirect;
    OpenOrders relayDirect;
    OrderRelay leader { clock, clock, leaderDirect, DispatchTimes(), 100, this->hooks(relayHost) };
    OrderRelay relay { clock, clock, relayDirect, DispatchTimes(), 1, this->hooks(HostId()) };
    std::vector<OrderResult> results;
};

OrderAnswer accepted()
{
    return { OrderResult::Accepted, true, Duration::seconds(1) };
}

} // namespace

TEST_CASE("an order is carried out by the relay, once, and its answer comes back")
{
    Pair pair;
    pair.start();
    pair.deliver();
    CHECK(pair.leaderDirect.starts.empty());
    REQUIRE(pair.relayDirect.starts.size() == 1);
    CHECK(pair.relayDirect.starts[0].task == task);
    CHECK(pair.results.empty());
    pair.relayDirect.answers[0](accepted());
    pair.deliver();
    CHECK(pair.results == std::vector<OrderResult> { OrderResult::Accepted });
    CHECK(pair.leader.openOrderCount() == 0);
}

TEST_CASE("orders of one moment share a message")
{
    Pair pair;
    for (int i = 0; i < 50; i++)
        pair.start();
    pair.clock.advance(Duration::milliseconds(5));
    CHECK(pair.sent.size() == 1);
}

TEST_CASE("an order that the relay took and never answered is Unknown, and a late answer changes nothing")
{
    Pair pair;
    pair.start();
    pair.deliver();
    pair.deliver(Duration::seconds(2));
    CHECK(pair.results == std::vector<OrderResult> { OrderResult::Unknown });
    pair.relayDirect.answers[0](accepted());
    pair.deliver();
    CHECK(pair.results.size() == 1);
}

TEST_CASE("when the link breaks, orders that were sent are Unknown and those that were not are NotSent")
{
    Pair pair;
    pair.start();
    pair.deliver();
    pair.isLinkUp = false;
    pair.leader.onPeerDown(relayHost);
    CHECK(pair.results == std::vector<OrderResult> { OrderResult::Unknown });
    pair.start();
    pair.deliver();
    CHECK(pair.results.back() == OrderResult::NotSent);
}

TEST_CASE("a worker that its relay cannot reach is ordered directly, and by the relay again later")
{
    Pair pair;
    for (size_t i = 0; i < 2; i++) {
        pair.renew();
        pair.deliver();
        REQUIRE(pair.relayDirect.renewals.size() == i + 1);
        pair.relayDirect.renewals[i]({ { OrderResult::Unknown, false, Duration() }, 0, {} });
        pair.deliver();
    }
    pair.start();
    pair.deliver();
    CHECK(pair.leaderDirect.starts.size() == 1);
    pair.renew();
    REQUIRE(pair.leaderDirect.renewals.size() == 1);
    pair.leaderDirect.renewals[0]({ accepted(), 0, {} });
    pair.deliver(Duration::seconds(6));
    pair.start();
    pair.deliver();
    CHECK(pair.relayDirect.starts.size() == 1);
}
