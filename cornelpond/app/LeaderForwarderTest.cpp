#include "cornelpond/app/LeaderForwarder.h"

#include "testing/fakes/FakeClock.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <deque>

using namespace cornelpond;

namespace {

struct Sent {
    HostId to;
    PeerMessage message;
};

class FakeTransport final : public Transport {
public:
    void send(HostId const& to, PeerMessage message) override { this->sent.push_back({ to, std::move(message) }); }
    bool isReachable(HostId const&) const override { return true; }

    std::deque<Sent> sent;
};

HostId const origin("h1");
HostId const leader("h2");

struct Both {
    Both()
        : here(this->clock, this->toLeader, 1000, [](ForwardedRequest const&, ApiAnswerCallback const&) { FAIL("served at the origin"); })
        , there(this->clock, this->toOrigin, 2000, [this](ForwardedRequest const& request, ApiAnswerCallback const& answer) {
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
        this->here.forward(leader, request, Duration::seconds(5), [this](HttpResponse const& response) { this->answers.push_back(response); });
    }

    void deliver()
    {
        while (!this->toLeader.sent.empty()) {
            this->there.onMessage(origin, this->toLeader.sent.front().message.payload);
            this->toLeader.sent.pop_front();
        }
        while (!this->toOrigin.sent.empty()) {
            this->here.onMessage(leader, this->toOrigin.sent.front().message.payload);
            this->toOrigin.sent.pop_front();
        }
    }

    int codeOf(size_t index) const { return nlohmann::json::parse(this->answers.at(index).body)["code"].get<int>(); }

    FakeClock clock;
    FakeTransport toLeader;
    FakeTransport toOrigin;
    ForwardedRequest served;
    ApiAnswerCallback pendingAnswer;
    std::vector<HttpResponse> answers;
    LeaderForwarder here;
    LeaderForwarder there;
};

} // namespace

TEST_CASE("a request goes to the leader and its whole answer comes back")
{
    Both both;
    both.forward(std::string("\0{}\xff", 4));
    both.deliver();
    CHECK(both.served.group == GroupId("config"));
    CHECK(both.served.request.method == "PUT");
    CHECK(both.served.request.query == "a=b");
    CHECK(both.served.request.body == std::string("\0{}\xff", 4));
    both.pendingAnswer(jsonResponse(409, { { "code", 200 } }));
    both.deliver();
    REQUIRE(both.answers.size() == 1);
    CHECK(both.answers[0].status == 409);
    CHECK(both.answers[0].body == "{\"code\":200}");
    CHECK(*both.answers[0].headers.find("content-type") == "application/json");
    CHECK(both.here.openRequests() == 0);
}

TEST_CASE("a lost answer or link fails the request once, and a late answer is dropped")
{
    Both both;
    both.forward();
    both.deliver();
    both.clock.advance(Duration::seconds(5));
    REQUIRE(both.answers.size() == 1);
    CHECK(both.codeOf(0) == static_cast<int>(ResultCode::ForwardFailed));
    both.pendingAnswer(jsonResponse(200, { { "code", 0 } }));
    both.deliver();
    CHECK(both.answers.size() == 1);

    both.forward();
    both.here.onPeerDown(HostId("another"));
    CHECK(both.answers.size() == 1);
    both.here.onPeerDown(leader);
    CHECK(both.answers.size() == 2);
    both.clock.advance(Duration::seconds(10));
    CHECK(both.answers.size() == 2);
}

TEST_CASE("an answer counts only from the host that was asked")
{
    Both both;
    both.forward();
    both.there.onMessage(origin, both.toLeader.sent.front().message.payload);
    both.pendingAnswer(jsonResponse(200, { { "code", 0 } }));
    both.here.onMessage(HostId("another"), both.toOrigin.sent.front().message.payload);
    CHECK(both.answers.empty());
    both.here.onMessage(leader, "garbage");
    both.deliver();
    CHECK(both.answers.size() == 1);
}
