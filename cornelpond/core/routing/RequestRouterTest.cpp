#include "cornelpond/core/routing/RequestRouter.h"

#include "testing/fakes/FakeClock.h"
#include "testing/fakes/RecordingEventSink.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace cornelpond;

namespace {

struct Sent {
    RequestId request;
    BackendServerId server;
    bool fresh = false;
};

/// A router over servers that answer only when the test says so.
class Bed {
public:
    explicit Bed(RouterOptions options = RouterOptions())
        : servers(Duration::seconds(1000))
        , router(std::move(options), this->hooks(), this->events, this->clock, this->random, this->servers)
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
        this->open.erase(attempt);
        return this->router.onAttemptEnded(attempt, { result, mayHaveRun });
    }

    AttemptId onlyOpen() const
    {
        REQUIRE(this->open.size() == 1);
        return this->open.begin()->first;
    }

    RouterHooks hooks()
    {
        RouterHooks hooks;
        hooks.send = [this](SendAttempt const& send) {
            this->open[send.attempt] = { send.request, send.target->server, send.needsFreshConnection };
            this->sent[send.request]++;
            this->sendCount++;
        };
        hooks.cancel = [this](AttemptId attempt) { this->open.erase(attempt); };
        hooks.refuse = [this](RequestId id, RouterRefusal const& refusal) { this->refused[id] = refusal; };
        return hooks;
    }

    FakeClock clock;
    RecordingEventSink events;
    SeededRandom random { 7 };
    BackendServerTable servers;
    std::map<AttemptId, Sent> open;
    std::map<RequestId, int> sent;
    std::map<RequestId, RouterRefusal> refused;
    size_t sendCount = 0;
    uint64_t nextRequest = 1;
    RequestRouter router;
};

} // namespace

TEST_CASE("a repeatable request is tried again on another server and a fresh connection")
{
    Bed bed;
    bed.announce("a", 1);
    bed.announce("b", 1);
    RequestId const id = bed.submit();
    AttemptId const first = bed.onlyOpen();
    BackendServerId const failed = bed.open.at(first).server;
    CHECK_FALSE(bed.finish(first, AttemptResult::Broken).passesAnswer);
    Sent const second = bed.open.at(bed.onlyOpen());
    CHECK(second.server != failed);
    CHECK(second.fresh);
    AttemptDecision const verdict = bed.finish(bed.onlyOpen(), AttemptResult::Answered);
    CHECK(verdict.passesAnswer);
    CHECK(verdict.request == id);
}

TEST_CASE("a not-repeatable request is never sent again once bytes may have left")
{
    Bed bed;
    bed.announce("a", 1);
    bed.announce("b", 1);
    RequestId const id = bed.submit(false);
    bed.finish(bed.onlyOpen(), AttemptResult::ConnectFailed, false);
    CHECK(bed.sent[id] == 2);
    CHECK(bed.open.at(bed.onlyOpen()).fresh);
    bed.finish(bed.onlyOpen(), AttemptResult::Broken);
    CHECK(bed.sent[id] == 2);
    CHECK(bed.refused.at(id).code == ResultCode::OutcomeUnknown);
    CHECK(bed.refused.at(id).mayHaveRun);
}

TEST_CASE("a server that fails fast is ejected, probed and readmitted; the ejected share is capped")
{
    Bed bed;
    bed.announce("a", 100);
    bed.announce("b", 100);
    bed.announce("c", 100);
    auto const failAllBut = [&](std::string const& good) {
        auto const open = bed.open;
        for (auto const& [attempt, sent] : open)
            bed.finish(attempt, sent.server == BackendServerId(good) ? AttemptResult::Answered : AttemptResult::Broken);
    };
    for (int i = 0; i < 100; i++) {
        bed.submit();
        failAllBut("a");
    }
    CHECK(bed.events.count(EventId::BackendServerEjected) == 1);
    bed.clock.advance(Duration::seconds(2));
    for (int i = 0; i < 10; i++) {
        bed.submit();
        auto const open = bed.open;
        for (auto const& [attempt, sent] : open)
            bed.finish(attempt, AttemptResult::Answered);
    }
    CHECK(bed.events.count(EventId::BackendServerReadmitted) == 1);
}

TEST_CASE("another data centre is used only when no server here is usable")
{
    RouterOptions options;
    options.balancer.dataCentre = DataCentreId("here");
    Bed bed(options);
    bed.announce("far", 8, "there");
    bed.announce("near", 1, "here");
    bed.submit();
    CHECK(bed.open.at(bed.onlyOpen()).server == BackendServerId("near"));
    bed.submit();
    CHECK(bed.router.queuedRequests() == 1);
    BackendServerAnnouncement leaving;
    leaving.server = BackendServerId("near");
    leaving.leaving = true;
    bed.servers.announce(leaving, bed.clock.now());
    bed.router.onServersChanged();
    CHECK(bed.router.queuedRequests() == 0);
    CHECK(bed.open.size() == 2);
}

TEST_CASE("retries stay within their budget and hedges within theirs")
{
    RouterOptions options;
    options.isHedging = [](ServiceId const&) { return true; };
    Bed bed(options);
    for (int i = 0; i < 20; i++)
        bed.announce("s" + std::to_string(i), 1000);
    constexpr size_t count = 1000;
    for (size_t i = 0; i < count; i++)
        bed.submit(true, Duration::seconds(10));
    bed.clock.advance(Duration::milliseconds(100));
    bed.router.onTick();
    size_t const hedges = bed.sendCount - count;
    CHECK(hedges > 0);
    CHECK(hedges <= count / 20 + 5);
    while (!bed.open.empty())
        bed.finish(bed.open.begin()->first, AttemptResult::Broken);
    CHECK(bed.sendCount - count - hedges <= count / 10 + 10);
    CHECK(bed.router.openRequests() == 0);
}

TEST_CASE("every request ends once, with its own answer or a true refusal")
{
    rc::prop("under any interleaving of answers, faults, leaving callers and servers", [] {
        Bed bed;
        bed.announce("a", 2);
        bed.announce("b", 1);
        std::set<RequestId> waiting;
        auto const forgetRefused = [&] {
            for (auto const& [id, refusal] : bed.refused) {
                RC_ASSERT(waiting.erase(id) == 1U);
                // "did not run" only where nothing was sent, or every attempt failed to connect.
                if (!refusal.mayHaveRun)
                    RC_ASSERT(bed.sent[id] == 0);
            }
            bed.refused.clear();
        };
        auto const steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
        for (int step : steps) {
            if (step < 40) {
                waiting.insert(RequestId(bed.nextRequest));
                bed.submit(step % 2 == 0, Duration::milliseconds(step * 5 + 1));
            } else if (step < 80 && !bed.open.empty()) {
                auto const picked = std::next(bed.open.begin(), step % static_cast<int>(bed.open.size()));
                RequestId const owner = picked->second.request;
                auto const result = static_cast<AttemptResult>(step % 7);
                AttemptDecision const verdict = bed.finish(picked->first, result == AttemptResult::ConnectFailed ? AttemptResult::Broken : result);
                if (verdict.passesAnswer) {
                    RC_ASSERT(verdict.request == owner);
                    RC_ASSERT(waiting.erase(owner) == 1U);
                }
            } else if (step < 90 && !waiting.empty()) {
                bed.router.onCallerGone(*waiting.begin());
                waiting.erase(waiting.begin());
            } else {
                bed.clock.advance(Duration::milliseconds(step));
                bed.router.onTick();
            }
            forgetRefused();
            for (auto const& [attempt, sent] : bed.open)
                RC_ASSERT(waiting.count(sent.request) == 1U);
            for (auto const& [id, server] : bed.servers.all())
                RC_ASSERT(server.inFlight <= server.lastAnnouncement.slots);
            RC_ASSERT(bed.router.openRequests() == waiting.size());
        }
    });
}

TEST_CASE("a request on a pooled connection that went silent is tried again though the retry budget is spent")
{
    RetryBudget spent(RetryBudgetLimits { 0, 0 });
    InteractiveRequest request;
    request.isRepeatable = true;
    request.deadline = TimePoint::fromMicroseconds(0) + Duration::seconds(6);
    for (bool const isPooled : { false, true }) {
        RequestFlow flow(request);
        flow.addAttempt(AttemptId(1), { BackendServerId("s1"), TimePoint(), false, false });
        AttemptReport report;
        report.result = AttemptResult::Silent;
        report.isOnPooledConnection = isPooled;
        FlowDecision const decision = flow.onAttemptEnded(AttemptId(1), report, spent, TimePoint::fromMicroseconds(0) + Duration::seconds(3));
        CHECK(decision.step == (isPooled ? FlowStep::Retry : FlowStep::Refuse));
    }
}
