#include "cornelpond/core/routing/RequestRouter.h"

#include "testing/fakes/FakeClock.h"
#include "testing/fakes/RecordingEventSink.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace cornelpond;

namespace {

struct SentAttempt {
    RequestId request;
    BackendServerId server;
    bool usesFreshConnection = false;
};

/// A router with backend servers whose attempts end only when the test ends them.
class RouterFixture {
public:
    explicit RouterFixture(RouterOptions options = RouterOptions())
        : servers(Duration::seconds(1000))
        , router(std::move(options), this->makeHooks(), this->events, this->clock, this->random, this->servers)
    {
    }

    void announce(std::string const& name, uint32_t slots, std::string const& dataCentre = "")
    {
        BackendServerAnnouncement announcement;
        announcement.server = BackendServerId(name);
        announcement.service = ServiceId("plan");
        announcement.dataCentre = DataCentreId(dataCentre);
        announcement.slots = slots;
        this->servers.announce(announcement, this->clock.now());
        this->router.onServersChanged();
    }

    RequestId submit(bool repeatable = true, Duration timeout = Duration::seconds(1))
    {
        InteractiveRequest request;
        request.id = RequestId(this->nextRequest++);
        request.service = ServiceId("plan");
        request.deadline = this->clock.now() + timeout;
        request.isRepeatable = repeatable;
        this->router.submit(request);
        return request.id;
    }

    AttemptDecision finish(AttemptId attempt, AttemptResult result, bool mayHaveRun = true)
    {
        this->openAttempts.erase(attempt);
        return this->router.onAttemptEnded(attempt, { result, mayHaveRun });
    }

    AttemptId onlyOpenAttempt() const
    {
        REQUIRE(this->openAttempts.size() == 1);
        return this->openAttempts.begin()->first;
    }

    RouterHooks makeHooks()
    {
        RouterHooks hooks;
        hooks.send = [this](SendAttempt const& send) {
            this->openAttempts[send.attempt] = { send.request, send.target->server, send.needsFreshConnection };
            this->sendsByRequest[send.request]++;
            this->sendCount++;
        };
        hooks.cancel = [this](AttemptId attempt) { this->openAttempts.erase(attempt); };
        hooks.refuse = [this](RequestId id, RouterRefusal const& refusal) { this->refused[id] = refusal; };
        return hooks;
    }

    FakeClock clock;
    RecordingEventSink events;
    SeededRandom random { 7 };
    BackendServerTable servers;
    std::map<AttemptId, SentAttempt> openAttempts;
    std::map<RequestId, int> sendsByRequest;
    std::map<RequestId, RouterRefusal> refused;
    size_t sendCount = 0;
    uint64_t nextRequest = 1;
    RequestRouter router;
};

} // namespace

TEST_CASE("a repeatable request is tried again on another server and a fresh connection")
{
    RouterFixture fixture;
    fixture.announce("a", 1);
    fixture.announce("b", 1);
    RequestId const id = fixture.submit();
    AttemptId const first = fixture.onlyOpenAttempt();
    BackendServerId const failed = fixture.openAttempts.at(first).server;
    CHECK_FALSE(fixture.finish(first, AttemptResult::Broken).passesAnswer);
    SentAttempt const second = fixture.openAttempts.at(fixture.onlyOpenAttempt());
    CHECK(second.server != failed);
    CHECK(second.usesFreshConnection);
    AttemptDecision const decision = fixture.finish(fixture.onlyOpenAttempt(), AttemptResult::Answered);
    CHECK(decision.passesAnswer);
    CHECK(decision.request == id);
}

TEST_CASE("a not-repeatable request is never sent again once bytes of it may have left this host")
{
    RouterFixture fixture;
    fixture.announce("a", 1);
    fixture.announce("b", 1);
    RequestId const id = fixture.submit(false);
    fixture.finish(fixture.onlyOpenAttempt(), AttemptResult::ConnectFailed, false);
    CHECK(fixture.sendsByRequest[id] == 2);
    CHECK(fixture.openAttempts.at(fixture.onlyOpenAttempt()).usesFreshConnection);
    fixture.finish(fixture.onlyOpenAttempt(), AttemptResult::Broken);
    CHECK(fixture.sendsByRequest[id] == 2);
    CHECK(fixture.refused.at(id).code == ResultCode::OutcomeUnknown);
    CHECK(fixture.refused.at(id).mayHaveRun);
}

TEST_CASE("a server whose attempts fail is ejected, probed and readmitted; the ejected share is capped")
{
    RouterFixture fixture;
    fixture.announce("a", 100);
    fixture.announce("b", 100);
    fixture.announce("c", 100);
    auto const failAllBut = [&](std::string const& good) {
        auto const openAttempts = fixture.openAttempts;
        for (auto const& [attempt, sent] : openAttempts)
            fixture.finish(attempt, sent.server == BackendServerId(good) ? AttemptResult::Answered : AttemptResult::Broken);
    };
    for (int i = 0; i < 100; i++) {
        fixture.submit();
        failAllBut("a");
    }
    CHECK(fixture.events.count(EventId::BackendServerEjected) == 1);
    fixture.clock.advance(Duration::seconds(2));
    for (int i = 0; i < 10; i++) {
        fixture.submit();
        auto const openAttempts = fixture.openAttempts;
        for (auto const& [attempt, sent] : openAttempts)
            fixture.finish(attempt, AttemptResult::Answered);
    }
    CHECK(fixture.events.count(EventId::BackendServerReadmitted) == 1);
}

TEST_CASE("another data centre is used only when this one has no usable server")
{
    RouterOptions options;
    options.balancer.dataCentre = DataCentreId("here");
    RouterFixture fixture(options);
    fixture.announce("far", 8, "there");
    fixture.announce("near", 1, "here");
    fixture.submit();
    CHECK(fixture.openAttempts.at(fixture.onlyOpenAttempt()).server == BackendServerId("near"));
    fixture.submit();
    CHECK(fixture.router.queuedRequests() == 1);
    BackendServerAnnouncement leaving;
    leaving.server = BackendServerId("near");
    leaving.leaving = true;
    fixture.servers.announce(leaving, fixture.clock.now());
    fixture.router.onServersChanged();
    CHECK(fixture.router.queuedRequests() == 0);
    CHECK(fixture.openAttempts.size() == 2);
}

TEST_CASE("retries stay within their budget and hedges within theirs")
{
    RouterOptions options;
    options.isHedging = [](ServiceId const&) { return true; };
    RouterFixture fixture(options);
    for (int i = 0; i < 20; i++)
        fixture.announce("s" + std::to_string(i), 1000);
    constexpr size_t count = 1000;
    for (size_t i = 0; i < count; i++)
        fixture.submit(true, Duration::seconds(10));
    fixture.clock.advance(Duration::milliseconds(100));
    fixture.router.onTick();
    size_t const hedges = fixture.sendCount - count;
    CHECK(hedges > 0);
    CHECK(hedges <= count / 20 + 5);
    while (!fixture.openAttempts.empty())
        fixture.finish(fixture.openAttempts.begin()->first, AttemptResult::Broken);
    CHECK(fixture.sendCount - count - hedges <= count / 10 + 10);
    CHECK(fixture.router.openRequests() == 0);
}

TEST_CASE("every request ends once, with its own answer or a refusal that says correctly whether it may have run")
{
    rc::prop("under any interleaving of answers, faults and disconnecting callers", [] {
        RouterFixture fixture;
        fixture.announce("a", 2);
        fixture.announce("b", 1);
        std::set<RequestId> waiting;
        auto const removeRefused = [&] {
            for (auto const& [id, refusal] : fixture.refused) {
                RC_ASSERT(waiting.erase(id) == 1U);
                // Only a request that was never sent may be said not to have run: this test reports no ConnectFailed.
                if (!refusal.mayHaveRun)
                    RC_ASSERT(fixture.sendsByRequest[id] == 0);
            }
            fixture.refused.clear();
        };
        auto const steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
        for (int step : steps) {
            if (step < 40) {
                waiting.insert(RequestId(fixture.nextRequest));
                fixture.submit(step % 2 == 0, Duration::milliseconds(step * 5 + 1));
            } else if (step < 80 && !fixture.openAttempts.empty()) {
                auto const picked = std::next(fixture.openAttempts.begin(), step % static_cast<int>(fixture.openAttempts.size()));
                RequestId const owner = picked->second.request;
                auto const result = static_cast<AttemptResult>(step % 7);
                AttemptDecision const decision = fixture.finish(picked->first, result == AttemptResult::ConnectFailed ? AttemptResult::Broken : result);
                if (decision.passesAnswer) {
                    RC_ASSERT(decision.request == owner);
                    RC_ASSERT(waiting.erase(owner) == 1U);
                }
            } else if (step < 90 && !waiting.empty()) {
                fixture.router.onCallerGone(*waiting.begin());
                waiting.erase(waiting.begin());
            } else {
                fixture.clock.advance(Duration::milliseconds(step));
                fixture.router.onTick();
            }
            removeRefused();
            for (auto const& [attempt, sent] : fixture.openAttempts)
                RC_ASSERT(waiting.count(sent.request) == 1U);
            for (auto const& [id, server] : fixture.servers.all())
                RC_ASSERT(server.inFlight <= server.lastAnnouncement.slots);
            RC_ASSERT(fixture.router.openRequests() == waiting.size());
        }
    });
}

TEST_CASE("a request on a pooled connection that went silent is tried again although the retry budget is exhausted")
{
    RetryBudget exhaustedBudget(RetryBudgetLimits { 0, 0 });
    InteractiveRequest request;
    request.isRepeatable = true;
    request.deadline = TimePoint::fromMicroseconds(0) + Duration::seconds(6);
    for (bool const isPooled : { false, true }) {
        RequestFlow flow(request);
        flow.addAttempt(AttemptId(1), { BackendServerId("s1"), TimePoint(), false, false });
        AttemptReport report;
        report.result = AttemptResult::Silent;
        report.isOnPooledConnection = isPooled;
        FlowDecision const decision = flow.onAttemptEnded(AttemptId(1), report, exhaustedBudget, TimePoint::fromMicroseconds(0) + Duration::seconds(3));
        CHECK(decision.step == (isPooled ? FlowStep::Retry : FlowStep::Refuse));
    }
}
