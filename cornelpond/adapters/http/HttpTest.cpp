#include "cornelpond/adapters/http/HttpClient.h"
#include "cornelpond/adapters/http/HttpServer.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <memory>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

using namespace cornelpond;

namespace {

HttpRequest makeRequest(std::string const& path, std::string const& body = "")
{
    HttpRequest request;
    request.method = body.empty() ? "GET" : "POST";
    request.path = path;
    request.body = body;
    return request;
}

/// Runs the loop until `done` returns true; the time limit only ends a hanging test.
void runUntil(EventLoop& loop, std::function<bool()> const& done)
{
    TimePoint const limit = loop.now() + Duration::seconds(30);
    bool isDone = done();
    while (!isDone && loop.now() < limit) {
        loop.runOnce();
        usleep(200);
        isDone = done();
    }
    REQUIRE(isDone);
}

HttpOutcome exchange(EventLoop& loop, HttpClient& client, uint16_t port, HttpRequest const& request, Duration timeout = Duration::seconds(20))
{
    std::optional<HttpOutcome> result;
    HttpSendOptions options;
    options.timeout = timeout;
    client.send({ "127.0.0.1", port }, request, options, [&](HttpOutcome const& outcome) { result = outcome; });
    runUntil(loop, [&] { return result.has_value(); });
    return *result;
}

/// Connects a plain socket, for tests that send raw bytes.
int connectTo(uint16_t port)
{
    int const handle = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(handle, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    return handle;
}

std::string sendRaw(EventLoop& loop, uint16_t port, std::string const& bytes)
{
    int const handle = connectTo(port);
    REQUIRE(send(handle, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
    std::string answer;
    char buffer[4096];
    runUntil(loop, [&] {
        ssize_t const length = recv(handle, buffer, sizeof(buffer), MSG_DONTWAIT);
        if (length > 0)
            answer.append(buffer, static_cast<size_t>(length));
        return length == 0 || (length < 0 && errno != EAGAIN) || answer.find('}') != std::string::npos;
    });
    close(handle);
    return answer;
}

/// All that the server sends on one connection until it closes it.
std::string readUntilClosed(EventLoop& loop, uint16_t port, std::string const& bytes)
{
    int const handle = connectTo(port);
    REQUIRE(send(handle, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
    std::string received;
    char buffer[4096];
    runUntil(loop, [&] {
        ssize_t const length = recv(handle, buffer, sizeof(buffer), MSG_DONTWAIT);
        if (length > 0)
            received.append(buffer, static_cast<size_t>(length));
        return length == 0 || (length < 0 && errno != EAGAIN);
    });
    close(handle);
    return received;
}

size_t countOf(std::string const& text, std::string const& part)
{
    size_t count = 0;
    for (size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size()))
        count++;
    return count;
}

/// Opens a listening socket that accepts nothing by itself; returns its port.
uint16_t listenRaw(int& handle)
{
    handle = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(handle, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    REQUIRE(listen(handle, 16) == 0);
    socklen_t length = sizeof(address);
    getsockname(handle, reinterpret_cast<sockaddr*>(&address), &length);
    return ntohs(address.sin_port);
}

} // namespace

TEST_CASE("a request is answered, at once or later, over a reused connection")
{
    EventLoop loop;
    HttpServer server(loop, HttpLimits(), [&](HttpRequest const& request, HttpResponder const& responder) {
        HttpResponse response;
        response.body = request.method + " " + request.path + "?" + request.query + " " + request.body;
        if (request.path == "/later")
            loop.after(Duration::milliseconds(5), [responder, response] { responder.answer(response); });
        else
            responder.answer(response);
    });
    uint16_t const port = server.listen({ "127.0.0.1", 0 });
    HttpClient client(loop, HttpClientLimits());
    for (int i = 0; i < 3; i++) {
        CHECK(exchange(loop, client, port, makeRequest("/now", "body")).response.body == "POST /now? body");
        CHECK(exchange(loop, client, port, makeRequest("/later")).response.body == "GET /later? ");
    }
    runUntil(loop, [&] { return server.openRequests() == 0; });
}

TEST_CASE("an answer after the client disconnected does nothing")
{
    EventLoop loop;
    std::optional<HttpResponder> pendingResponder;
    bool isDisconnected = false;
    HttpServer server(loop, HttpLimits(), [&](HttpRequest const&, HttpResponder const& responder) {
        responder.onClientDisconnected([&] { isDisconnected = true; });
        pendingResponder = responder;
    });
    uint16_t const port = server.listen({ "127.0.0.1", 0 });
    int const handle = connectTo(port);
    std::string const bytes = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
    REQUIRE(send(handle, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0);
    runUntil(loop, [&] { return pendingResponder.has_value(); });
    close(handle);
    runUntil(loop, [&] { return isDisconnected; });
    CHECK(pendingResponder->isClientDisconnected());
    pendingResponder->answer({ 200, {}, "late" });
    pendingResponder.reset();
    runUntil(loop, [&] { return server.openRequests() == 0; });
}

TEST_CASE("bad input is answered with a result code and the server goes on serving")
{
    EventLoop loop;
    HttpLimits limits;
    limits.maxBodyBytes = 1000;
    limits.maxHeaderBytes = 500;
    HttpServer server(loop, limits, [&](HttpRequest const&, HttpResponder const& responder) { responder.answer({ 200, {}, "ok" }); });
    uint16_t const port = server.listen({ "127.0.0.1", 0 });
    CHECK(sendRaw(loop, port, "NONSENSE\r\n\r\n").find("\"code\":110") != std::string::npos);
    CHECK(sendRaw(loop, port, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n").find("\"code\":103") != std::string::npos);
    CHECK(sendRaw(loop, port, "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(600, 'x') + "\r\n\r\n").find("\"code\":103") != std::string::npos);
    HttpClient client(loop, HttpClientLimits());
    CHECK(exchange(loop, client, port, makeRequest("/")).response.body == "ok");
}

TEST_CASE("a connection that closes after its answer carries no second response")
{
    EventLoop loop;
    HttpServer server(loop, HttpLimits(), [&](HttpRequest const& request, HttpResponder const& responder) {
        if (request.path == "/later")
            loop.after(Duration::milliseconds(5), [responder] { responder.answer({ 200, {}, "{}" }); });
        else
            responder.answer({ 200, {}, "{}" });
    });
    uint16_t const port = server.listen({ "127.0.0.1", 0 });
    bool const isDraining = GENERATE(false, true);
    server.setClosing(isDraining);
    std::string const path = GENERATE("/now", "/later");
    std::string const field = GENERATE("Connection: close\r\n", "");
    if (!isDraining && field.empty())
        return; // The connection stays open.
    std::string const head = "POST " + path + " HTTP/1.1\r\nHost: a\r\n" + field;
    INFO(head << "draining: " << isDraining);
    std::string const received = readUntilClosed(loop, port, head + "Content-Length: 5\r\n\r\nhello");
    CHECK(countOf(received, "HTTP/1.1 ") == 1);
    CHECK(countOf(received, "HTTP/1.1 200") == 1);
    CHECK(countOf(received, "Connection: ") == 1);
}

TEST_CASE("a request is read as it was sent wherever its bytes are split")
{
    EventLoop loop;
    std::vector<HttpRequest> seen;
    HttpServer server(loop, HttpLimits(), [&](HttpRequest const& request, HttpResponder const& responder) {
        seen.push_back(request);
        responder.answer({ 200, {}, "{}" });
    });
    uint16_t const port = server.listen({ "127.0.0.1", 0 });
    std::string const text = "POST /3sve9sqx/7f3a91c2?a=b&c=d HTTP/1.1\r\nHost: gora26.example\r\nX-Patience: 3000\r\nContent-Length: 5\r\n\r\nhello";
    int const handle = connectTo(port);
    for (size_t split = 1; split < text.size(); split++) {
        seen.clear();
        for (auto const& part : { text.substr(0, split), text.substr(split) }) {
            REQUIRE(send(handle, part.data(), part.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(part.size()));
            for (int turn = 0; turn < 3; turn++) {
                usleep(100);
                loop.runOnce();
            }
        }
        runUntil(loop, [&] { return !seen.empty(); });
        INFO("split after " << split << " bytes");
        CHECK(seen[0].path == "/3sve9sqx/7f3a91c2");
        CHECK(seen[0].query == "a=b&c=d");
        CHECK(seen[0].body == "hello");
        REQUIRE(seen[0].headers.find("Host"));
        CHECK(*seen[0].headers.find("Host") == "gora26.example");
        REQUIRE(seen[0].headers.find("X-Patience"));
        CHECK(*seen[0].headers.find("X-Patience") == "3000");
    }
    close(handle);
}

TEST_CASE("the outcome tells whether the request may have run")
{
    EventLoop loop;
    HttpClient client(loop, HttpClientLimits());
    int unused = 0;
    uint16_t const closedPort = listenRaw(unused);
    close(unused);
    HttpOutcome const refused = exchange(loop, client, closedPort, makeRequest("/"));
    CHECK(refused.kind == HttpOutcome::Kind::ConnectFailed);
    CHECK_FALSE(refused.mayHaveRun);

    int silent = 0;
    uint16_t const silentPort = listenRaw(silent);
    HttpOutcome const timedOut = exchange(loop, client, silentPort, makeRequest("/"), Duration::milliseconds(50));
    CHECK(timedOut.kind == HttpOutcome::Kind::TimedOutBeforeResponse);
    CHECK(timedOut.mayHaveRun);
    close(silent);
}

namespace {

/// Answers one connection at a time with fixed bytes, then closes it if asked.
class RawServer {
public:
    RawServer()
        : port(listenRaw(this->listener))
    {
    }

    ~RawServer()
    {
        close(this->accepted);
        close(this->listener);
    }

    RawServer(RawServer const&) = delete;
    RawServer& operator=(RawServer const&) = delete;

    HttpOutcome exchange(EventLoop& loop, HttpClient& client, std::string const& method, std::string const& answer, bool closes)
    {
        HttpRequest request = makeRequest("/");
        request.method = method;
        std::optional<HttpOutcome> result;
        client.send({ "127.0.0.1", this->port }, request, HttpSendOptions(), [&](HttpOutcome const& outcome) { result = outcome; });
        bool answered = false;
        runUntil(loop, [&] {
            int const newSocket = accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK);
            if (newSocket >= 0) {
                close(this->accepted);
                this->accepted = newSocket;
                this->connections++;
            }
            char buffer[4096];
            if (!answered && this->accepted >= 0 && recv(this->accepted, buffer, sizeof(buffer), MSG_DONTWAIT) > 0) {
                answered = true;
                REQUIRE(send(this->accepted, answer.data(), answer.size(), MSG_NOSIGNAL) > 0);
                if (closes)
                    shutdown(this->accepted, SHUT_RDWR);
            }
            return result.has_value();
        });
        return *result;
    }

    int listener = -1;
    int accepted = -1;
    int connections = 0;
    uint16_t port;
};

} // namespace

TEST_CASE("a truncated response is reported as Truncated, never as a success")
{
    EventLoop loop;
    HttpClient client(loop, HttpClientLimits());
    RawServer server;
    std::vector<std::string> const truncated = {
        "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly this",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n9\r\nhal",
        "HTTP/1.1 200 OK\r\n\r\nlength unknown",
        "HTTP/1.1 200 OK\r\nContent-Le",
    };
    for (auto const& answer : truncated) {
        INFO(answer);
        HttpOutcome const outcome = server.exchange(loop, client, "GET", answer, true);
        CHECK(outcome.kind == HttpOutcome::Kind::Truncated);
        CHECK(outcome.mayHaveRun);
    }
    HttpOutcome const closed = server.exchange(loop, client, "GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true);
    CHECK(closed.kind == HttpOutcome::Kind::Answered);
}

TEST_CASE("a response without a body is not reported as Truncated")
{
    EventLoop loop;
    HttpClient client(loop, HttpClientLimits());
    RawServer server;
    HttpOutcome const head = server.exchange(loop, client, "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n", false);
    CHECK(head.kind == HttpOutcome::Kind::Answered);
    CHECK(*head.response.headers.find("Content-Length") == "100");
    CHECK(server.exchange(loop, client, "GET", "HTTP/1.1 204 No Content\r\n\r\n", false).response.status == 204);
    CHECK(server.exchange(loop, client, "GET", "HTTP/1.1 304 Not Modified\r\n\r\n", false).response.status == 304);
    CHECK(server.connections == 1);
}

TEST_CASE("a connection that stalls within a response is closed and not reused")
{
    EventLoop loop;
    HttpClientLimits limits;
    limits.progressTimeout = Duration::milliseconds(50);
    HttpClient client(loop, limits);
    RawServer server;
    HttpOutcome const stalled = server.exchange(loop, client, "GET", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly this", false);
    CHECK(stalled.kind == HttpOutcome::Kind::TimedOutInResponse);
    CHECK(server.exchange(loop, client, "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false).response.body == "ok");
    CHECK(server.connections == 2);
}

namespace {

/// A server that answers only when told to, and counts the connections that it accepted and that are open.
class HeldServer {
public:
    explicit HeldServer(EventLoop& loop)
        : server(loop, HttpLimits(), [this](HttpRequest const& request, HttpResponder const& responder) {
            this->paths.push_back(request.path);
            this->held.push_back(responder);
        })
        , port(this->server.listen({ "127.0.0.1", 0 }))
    {
    }

    void answerAll()
    {
        for (auto const& responder : std::exchange(this->held, {}))
            responder.answer({ 200, {}, "ok" });
    }

    std::vector<std::string> paths;
    std::vector<HttpResponder> held;
    HttpServer server;
    uint16_t port;
};

HttpClientLimits boundedTo(size_t connections)
{
    HttpClientLimits limits;
    limits.maxConnections = connections;
    return limits;
}

} // namespace

TEST_CASE("requests beyond the bound on connections wait for one and are answered, the urgent ones first")
{
    EventLoop loop;
    HeldServer server(loop);
    HttpClient client(loop, boundedTo(2));
    size_t answered = 0;
    auto const send = [&](std::string const& path, bool isUrgent) {
        HttpSendOptions options;
        options.isUrgent = isUrgent;
        client.send({ "127.0.0.1", server.port }, makeRequest(path), options, [&](HttpOutcome const& outcome) { answered += outcome.kind == HttpOutcome::Kind::Answered; });
    };
    send("/first", false);
    send("/second", false);
    send("/third", false);
    send("/urgent", true);
    CHECK(client.openConnections() == 2);
    CHECK(client.waitingRequests() == 2);
    runUntil(loop, [&] { return server.paths.size() == 2; });
    server.held.front().answer({ 200, {}, "ok" });
    runUntil(loop, [&] { return server.paths.size() == 3; });
    CHECK(server.paths.back() == "/urgent");
    runUntil(loop, [&] {
        server.answerAll();
        return answered == 4;
    });
    CHECK(client.openConnections() <= 2);
    CHECK(client.counters().connectionsOpened == 2);
}

TEST_CASE("a request that finds no connection in time was not sent")
{
    EventLoop loop;
    HeldServer server(loop);
    HttpClient client(loop, boundedTo(1));
    client.send({ "127.0.0.1", server.port }, makeRequest("/held"), HttpSendOptions(), [](HttpOutcome const&) {});
    HttpOutcome const outcome = exchange(loop, client, server.port, makeRequest("/waits"), Duration::milliseconds(50));
    CHECK(outcome.kind == HttpOutcome::Kind::ConnectFailed);
    CHECK_FALSE(outcome.mayHaveRun);
    CHECK(client.waitingRequests() == 0);
    CHECK(client.counters().requestsUnsent == 1);
    CHECK(std::find(server.paths.begin(), server.paths.end(), "/waits") == server.paths.end());
}

TEST_CASE("at the bound the longest idle connection makes room for one to another address")
{
    EventLoop loop;
    HeldServer first(loop);
    HeldServer second(loop);
    HeldServer third(loop);
    HttpClient client(loop, boundedTo(2));
    auto const ask = [&](HeldServer& server) {
        std::optional<HttpOutcome> result;
        client.send({ "127.0.0.1", server.port }, makeRequest("/"), HttpSendOptions(), [&](HttpOutcome const& outcome) { result = outcome; });
        runUntil(loop, [&] {
            server.answerAll();
            return result.has_value();
        });
        CHECK(result->kind == HttpOutcome::Kind::Answered);
    };
    ask(first);
    ask(second);
    ask(third);
    CHECK(client.openConnections() == 2);
    CHECK(client.counters().idleConnectionsEvicted == 1);
    CHECK_FALSE(client.hasIdleConnection({ "127.0.0.1", first.port }));
    CHECK(client.hasIdleConnection({ "127.0.0.1", second.port }));
}

TEST_CASE("a burst to many addresses far beyond the bound is served to its end")
{
    EventLoop loop;
    constexpr size_t serverCount = 20;
    std::vector<std::unique_ptr<HeldServer>> servers;
    servers.reserve(serverCount);
    for (size_t i = 0; i < serverCount; i++)
        servers.push_back(std::make_unique<HeldServer>(loop));
    HttpClient client(loop, boundedTo(4));
    size_t answered = 0;
    size_t mostOpen = 0;
    constexpr size_t requestsEach = 10;
    for (size_t i = 0; i < requestsEach; i++) {
        for (auto const& server : servers)
            client.send({ "127.0.0.1", server->port }, makeRequest("/"), HttpSendOptions(), [&](HttpOutcome const& outcome) { answered += outcome.kind == HttpOutcome::Kind::Answered; });
    }
    runUntil(loop, [&] {
        for (auto const& server : servers)
            server->answerAll();
        mostOpen = std::max(mostOpen, client.openConnections());
        return answered == requestsEach * servers.size();
    });
    CHECK(mostOpen <= 4);
}

TEST_CASE("a server at its bound on connections refuses new ones with a reason and serves the open ones")
{
    EventLoop loop;
    HttpLimits limits;
    limits.maxConnections = 2;
    HttpServer server(loop, limits, [](HttpRequest const&, HttpResponder const& responder) { responder.answer({ 200, {}, "ok" }); });
    uint16_t const port = server.listen({ "127.0.0.1", 0 });
    int const idle = connectTo(port);
    HttpClient client(loop, HttpClientLimits());
    CHECK(exchange(loop, client, port, makeRequest("/")).response.status == 200);
    CHECK(server.openConnections() == 2);
    std::string const refused = readUntilClosed(loop, port, "");
    CHECK(refused.find("503") != std::string::npos);
    CHECK(refused.find("\"ran\":\"no\"") != std::string::npos);
    CHECK(server.refusedConnections() == 1);
    CHECK(exchange(loop, client, port, makeRequest("/")).response.status == 200);
    close(idle);
    runUntil(loop, [&] { return server.openConnections() == 1; });
    HttpClient other(loop, HttpClientLimits());
    CHECK(exchange(loop, other, port, makeRequest("/")).response.status == 200);
}

TEST_CASE("a request that needs an idle connection is not sent on a new one")
{
    EventLoop loop;
    HeldServer server(loop);
    HttpClient client(loop, HttpClientLimits());
    Address const address { "127.0.0.1", server.port };
    constexpr int64_t tag = 7;
    auto const ask = [&](bool needsIdleConnection) {
        std::optional<HttpOutcome> result;
        HttpSendOptions options;
        options.needsIdleConnection = needsIdleConnection;
        if (needsIdleConnection)
            options.peerTag = tag;
        client.send(address, makeRequest("/"), options, [&](HttpOutcome const& outcome) { result = outcome; });
        CHECK_FALSE(result);
        runUntil(loop, [&] {
            server.answerAll();
            return result.has_value();
        });
        return *result;
    };
    HttpOutcome const first = ask(false);
    HttpOutcome const unsent = ask(true);
    CHECK(unsent.kind == HttpOutcome::Kind::ConnectFailed);
    CHECK_FALSE(unsent.mayHaveRun);
    CHECK(client.counters().connectionsOpened == 1);
    CHECK(client.openExchanges() == 0);
    client.tagIdleConnection(address, first.idleConnection, tag);
    CHECK(ask(true).wasPooled);
    CHECK(client.counters().connectionsOpened == 1);
}

TEST_CASE("a request that names a tag reuses only a connection with that tag")
{
    EventLoop loop;
    HeldServer server(loop);
    HttpClient client(loop, HttpClientLimits());
    Address const address { "127.0.0.1", server.port };
    constexpr int64_t tag = 7;
    auto const ask = [&](std::optional<int64_t> peerTag) {
        std::optional<HttpOutcome> result;
        HttpSendOptions options;
        options.peerTag = peerTag;
        client.send(address, makeRequest("/"), options, [&](HttpOutcome const& outcome) { result = outcome; });
        runUntil(loop, [&] {
            server.answerAll();
            return result.has_value();
        });
        return *result;
    };
    HttpOutcome const first = ask(std::nullopt);
    CHECK_FALSE(client.hasIdleConnection(address, tag));
    client.tagIdleConnection(address, first.idleConnection, tag);
    CHECK(client.hasIdleConnection(address, tag));
    CHECK(ask(std::nullopt).wasPooled);
    CHECK(client.hasIdleConnection(address, tag));
    CHECK(ask(tag).wasPooled);
    CHECK_FALSE(ask(tag + 1).wasPooled);
    CHECK(client.hasIdleConnection(address, tag));
    CHECK(client.openConnections() == 2);
}
