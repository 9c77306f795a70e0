#include "cornelpond/app/LeaderForwarder.h"

#include "cornelpond/core/base/Cbor.h"
#include "cornelpond/core/base/Json.h"
#include "testing/fakes/FakeClock.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

#include <deque>

using namespace cornelpond;

namespace {

struct SentMessage {
    HostId to;
    PeerMessage message;
};

class FakeTransport final : public Transport {
public:
    void send(HostId const& to, PeerMessage message) override { this->sent.push_back({ to, std::move(message) }); }
    bool isReachable(HostId const&) const override { return true; }

    std::deque<SentMessage> sent;
};

HostId const origin("h1");
HostId const leader("h2");

struct ForwarderPair {
    ForwarderPair()
        : originForwarder(this->clock, this->toLeader, 1000, [](ForwardedRequest const&, ApiAnswerCallback const&) { FAIL("served at the origin"); })
        , leaderForwarder(this->clock, this->toOrigin, 2000, [this](ForwardedRequest const& request, ApiAnswerCallback const& answer) {
            if (this->isFaulty)
                nlohmann::json().at("missing");
            this->served = request;
            this->pendingAnswer = answer;
        })
    {
    }

    void forward(std::string const& body = std::string())
    {
        ForwardedRequest request;
        request.group = GroupId("config");
        request.request = { "PUT", "/v1/config", "a=b", {}, body };
        this->originForwarder.forward(leader, request, Duration::seconds(5), [this](HttpResponse const& response) { this->answers.push_back(response); });
    }

    void deliver()
    {
        while (!this->toLeader.sent.empty()) {
            this->leaderForwarder.onMessage(origin, this->toLeader.sent.front().message.payload);
            this->toLeader.sent.pop_front();
        }
        while (!this->toOrigin.sent.empty()) {
            this->originForwarder.onMessage(leader, this->toOrigin.sent.front().message.payload);
            this->toOrigin.sent.pop_front();
        }
    }

    int codeOf(size_t index) const { return nlohmann::json::parse(this->answers.at(index).body)["code"].get<int>(); }

    FakeClock clock;
    FakeTransport toLeader;
    FakeTransport toOrigin;
    bool isFaulty = false; ///< The leader fails while it serves a request.
    ForwardedRequest served;
    ApiAnswerCallback pendingAnswer;
    std::vector<HttpResponse> answers;
    LeaderForwarder originForwarder;
    LeaderForwarder leaderForwarder;
};

} // namespace

TEST_CASE("a request is forwarded to the leader and its whole answer is returned")
{
    ForwarderPair pair;
    pair.forward(std::string("\0{}\xff", 4));
    pair.deliver();
    CHECK(pair.served.group == GroupId("config"));
    CHECK(pair.served.request.method == "PUT");
    CHECK(pair.served.request.query == "a=b");
    CHECK(pair.served.request.body == std::string("\0{}\xff", 4));
    pair.pendingAnswer(jsonResponse(409, { { "code", 200 } }));
    pair.deliver();
    REQUIRE(pair.answers.size() == 1);
    CHECK(pair.answers[0].status == 409);
    CHECK(pair.answers[0].body == "{\"code\":200}");
    CHECK(*pair.answers[0].headers.find("content-type") == "application/json");
    CHECK(pair.originForwarder.openRequests() == 0);
}

TEST_CASE("a request fails once when its answer or link is lost, and a late answer is dropped")
{
    ForwarderPair pair;
    pair.forward();
    pair.deliver();
    pair.clock.advance(Duration::seconds(5));
    REQUIRE(pair.answers.size() == 1);
    CHECK(pair.codeOf(0) == static_cast<int>(ResultCode::ForwardFailed));
    pair.pendingAnswer(jsonResponse(200, { { "code", 0 } }));
    pair.deliver();
    CHECK(pair.answers.size() == 1);

    pair.forward();
    pair.originForwarder.onPeerDown(HostId("another"));
    CHECK(pair.answers.size() == 1);
    pair.originForwarder.onPeerDown(leader);
    CHECK(pair.answers.size() == 2);
    pair.clock.advance(Duration::seconds(10));
    CHECK(pair.answers.size() == 2);
}

TEST_CASE("an answer is accepted only from the host that the request was sent to")
{
    ForwarderPair pair;
    pair.forward();
    pair.leaderForwarder.onMessage(origin, pair.toLeader.sent.front().message.payload);
    pair.pendingAnswer(jsonResponse(200, { { "code", 0 } }));
    pair.originForwarder.onMessage(HostId("another"), pair.toOrigin.sent.front().message.payload);
    CHECK(pair.answers.empty());
    pair.originForwarder.onMessage(leader, "garbage");
    pair.deliver();
    CHECK(pair.answers.size() == 1);
}

TEST_CASE("an answer with a status out of range is dropped, not converted")
{
    ForwarderPair pair;
    pair.forward();
    auto const answerWithStatus = [](uint64_t status) {
        CborWriter out;
        out.array(4);
        out.number(2);
        out.number(1000);
        out.number(status);
        out.bytes("{}");
        return out.take();
    };
    for (uint64_t const status : { uint64_t { 1000 }, (uint64_t { 1 } << 32U) + 200, UINT64_MAX })
        pair.originForwarder.onMessage(leader, answerWithStatus(status));
    CHECK(pair.answers.empty());
    pair.originForwarder.onMessage(leader, answerWithStatus(200));
    REQUIRE(pair.answers.size() == 1);
    CHECK(pair.answers[0].status == 200);
}

TEST_CASE("property: a corrupted request or answer is read or dropped, and nothing is thrown")
{
    rc::prop("truncated or changed messages throw nothing and answer a request at most once", [] {
        auto const corrupted = [](std::string bytes) {
            auto const at = *rc::gen::inRange<size_t>(0, bytes.size());
            if (*rc::gen::arbitrary<bool>())
                bytes.resize(at);
            else
                bytes[at] = *rc::gen::arbitrary<char>();
            return bytes;
        };
        ForwarderPair pair;
        pair.forward("body");
        std::string const request = pair.toLeader.sent.front().message.payload;
        pair.leaderForwarder.onMessage(origin, corrupted(request));
        pair.leaderForwarder.onMessage(origin, request);
        pair.pendingAnswer(jsonResponse(409, { { "code", 200 } }));
        std::string const answer = pair.toOrigin.sent.back().message.payload;
        pair.originForwarder.onMessage(leader, corrupted(answer));
        pair.originForwarder.onMessage(leader, answer);
        RC_ASSERT(pair.answers.size() == 1U);
    });
}

TEST_CASE("a fault while the leader serves a request reaches the event loop, which logs it")
{
    ForwarderPair pair;
    pair.isFaulty = true;
    pair.forward();
    CHECK_THROWS_AS(pair.deliver(), nlohmann::json::exception);
}

TEST_CASE("answers and requests with numbers out of range are dropped")
{
    ForwarderPair pair;
    pair.forward();
    nlohmann::json request = fromCbor(pair.toLeader.sent.front().message.payload);
    for (auto const& odd : { nlohmann::json(300), nlohmann::json(-1), nlohmann::json(1e300), nlohmann::json("x") }) {
        nlohmann::json changed = request;
        changed[3] = odd;
        pair.leaderForwarder.onMessage(origin, toCbor(changed));
        CHECK(pair.served.request.method.empty());
    }
    pair.deliver();
    pair.pendingAnswer(jsonResponse(200, { { "code", 0 } }));
    nlohmann::json answer = fromCbor(pair.toOrigin.sent.front().message.payload);
    for (auto const& odd : { nlohmann::json(100000), nlohmann::json(-1), nlohmann::json(1e300) }) {
        nlohmann::json changed = answer;
        changed[2] = odd;
        pair.originForwarder.onMessage(leader, toCbor(changed));
        CHECK(pair.answers.empty());
    }
    pair.deliver();
    CHECK(pair.answers.size() == 1);
}
