#include "cornelpond/adapters/http/PeerBoundClient.h"

#include "cornelpond/adapters/http/HttpServer.h"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <unistd.h>
#include <vector>

using namespace cornelpond;

namespace {

constexpr int64_t formerTag = 4;
constexpr int64_t presentTag = 5;

/// The present process of a peer; it answers questions with its tag.
class TaggedPeer {
public:
    explicit TaggedPeer(EventLoop& loop)
        : server(loop, HttpLimits(), [this](HttpRequest const& request, HttpResponder const& responder) { this->answer(request, responder); })
        , address { "127.0.0.1", this->server.listen({ "127.0.0.1", 0 }) }
    {
    }

    void answer(HttpRequest const& request, HttpResponder const& responder)
    {
        this->paths.push_back(request.path);
        bool const isQuestion = request.path == "/question";
        if (isQuestion && this->leavesQuestions) {
            this->open.push_back(responder);
            return;
        }
        HttpResponse response { 200, {}, isQuestion ? std::to_string(presentTag) : "done" };
        if (this->closesConnections)
            response.headers.add("Connection", "close");
        responder.answer(response);
    }

    bool leavesQuestions = false;
    bool closesConnections = false;
    std::vector<std::string> paths;
    std::vector<HttpResponder> open;
    HttpServer server;
    Address address;
};

class Hosts {
public:
    PeerBoundOutcome send(int64_t peerTag, Duration timeout = Duration::seconds(20))
    {
        std::optional<PeerBoundOutcome> result;
        PeerQuestion const question { this->request("/question"), [](HttpOutcome const& outcome) {
                                         bool const isAnswered = outcome.kind == HttpOutcome::Kind::Answered;
                                         return isAnswered ? std::optional<int64_t>(std::stoll(outcome.response.body)) : std::nullopt;
                                     } };
        this->bound.send(this->peer.address, peerTag, this->request("/order"), question, timeout, [&](PeerBoundOutcome const& outcome) { result = outcome; });
        CHECK_FALSE(result);
        TimePoint const limit = this->loop.now() + Duration::seconds(30);
        while (!result && this->loop.now() < limit) {
            this->loop.runOnce();
            usleep(200);
        }
        REQUIRE(result);
        return *result;
    }

    static HttpRequest request(std::string const& path) { return { "POST", path, "", {}, "x" }; }

    EventLoop loop;
    TaggedPeer peer { loop };
    HttpClient client { loop, HttpClientLimits() };
    PeerBoundClient bound { loop, client };
};

} // namespace

TEST_CASE("a request for a former process of the peer is not sent to the present one")
{
    Hosts hosts;
    CHECK(hosts.send(formerTag).kind == PeerBoundOutcome::Kind::OtherPeer);
    CHECK(hosts.send(formerTag).kind == PeerBoundOutcome::Kind::OtherPeer);
    CHECK(hosts.peer.paths == std::vector<std::string> { "/question", "/question" });
}

TEST_CASE("a request for the present process is sent, with one question for each connection")
{
    Hosts hosts;
    for (int i = 0; i < 2; i++) {
        PeerBoundOutcome const outcome = hosts.send(presentTag);
        CHECK(outcome.kind == PeerBoundOutcome::Kind::Sent);
        CHECK(outcome.exchange.response.body == "done");
    }
    CHECK(hosts.peer.paths == std::vector<std::string> { "/question", "/order", "/order" });
    CHECK(hosts.client.counters().connectionsOpened == 1);
}

TEST_CASE("a request to a peer that does not say which process it is is not sent")
{
    Hosts hosts;
    hosts.peer.leavesQuestions = true;
    PeerBoundOutcome const outcome = hosts.send(presentTag, Duration::milliseconds(100));
    CHECK(outcome.kind == PeerBoundOutcome::Kind::Unidentified);
    CHECK(outcome.exchange.kind == HttpOutcome::Kind::TimedOutBeforeResponse);
    CHECK(hosts.peer.paths == std::vector<std::string> { "/question" });
}

TEST_CASE("a request to a peer that closes the connection on which it said which process it is is not sent on another one")
{
    Hosts hosts;
    hosts.peer.closesConnections = true;
    CHECK(hosts.send(presentTag).kind == PeerBoundOutcome::Kind::Unidentified);
    CHECK(hosts.peer.paths == std::vector<std::string> { "/question" });
}
