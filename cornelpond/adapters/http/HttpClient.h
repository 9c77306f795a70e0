#pragma once

// An HTTP/1.1 client on evhttp with a pool of idle connections. One request at a time runs on a
// connection; a connection whose request failed or timed out is closed, never reused, and takes the idle
// ones to the same address with it. An answer must say where it ends (Content-Length or chunked) and be
// whole; one that ends with the connection cannot be told from a truncated one and counts as that.
//
// Example:
//   client.send({ "10.0.0.7", 8080 }, request, HttpSendOptions(), [](HttpOutcome const& outcome) {
//       if (outcome.kind == HttpOutcome::Kind::Answered)
//           use(outcome.response);
//   });
//
// Loop thread only.

#include "cornelpond/adapters/http/HttpTypes.h"
#include "cornelpond/adapters/runtime/EventLoop.h"

#include <functional>
#include <list>
#include <map>
#include <memory>

struct evhttp_connection;
struct evhttp_request;

namespace cornelpond {

struct HttpClientLimits {
    size_t maxBodyBytes = 16 * 1024 * 1024;
    size_t maxHeaderBytes = 64 * 1024;
    size_t maxIdlePerAddress = 64;
    Duration maxIdleAge = Duration::seconds(10); ///< An older idle connection may be silent; it is closed.
    Duration connectTimeout = Duration::seconds(1);
    Duration progressTimeout = Duration::seconds(5); ///< Longest gap within an answer that has begun.
    Duration tcpUserTimeout = Duration::seconds(10); ///< Sent bytes that stay unacknowledged end the connection.
};

struct HttpSendOptions {
    Duration timeout = Duration::seconds(10); ///< From the call to the whole answer.
    bool needsFreshConnection = false; ///< Never a pooled connection.
};

/// How one exchange ended.
struct HttpOutcome {
    enum class Kind {
        Answered, ///< The answer is whole.
        ConnectFailed, ///< No byte of the request left this host.
        ConnectionLost, ///< The connection failed before a byte of the answer.
        Truncated, ///< The answer began and was malformed, incomplete or of unknown length.
        TimedOutBeforeResponse, ///< Time ran out before a byte of the answer.
        TimedOutInResponse, ///< Time ran out within the answer.
        Cancelled,
    };

    Kind kind = Kind::Answered;
    bool wasPooled = false; ///< It ran on a connection that had answered before.
    bool mayHaveRun = true; ///< False only when no byte of the request can have reached the server.
    HttpResponse response;
};

using HttpExchangeId = NumberId<struct HttpExchangeIdTag>;

class HttpClient {
public:
    using Done = std::function<void(HttpOutcome const&)>;

    /// `loop` must outlive the client.
    HttpClient(EventLoop& loop, HttpClientLimits limits);
    ~HttpClient();
    HttpClient(HttpClient const&) = delete;
    HttpClient& operator=(HttpClient const&) = delete;

    /// Calls `done` exactly once, never before this returns, unless the client is destroyed first.
    HttpExchangeId send(Address const& to, HttpRequest const& request, HttpSendOptions const& options, Done done);

    /// Closes the exchange's connection; `done` is called with Cancelled. No-op when it has ended.
    void cancel(HttpExchangeId exchange);

    /// True when the next request to the address would run on a connection that has answered before, and so
    /// reach the same process.
    bool hasIdleConnection(Address const& to) const;

    size_t openExchanges() const { return this->exchanges.size(); }

private:
    struct Exchange;
    struct IdleConnection {
        evhttp_connection* connection = nullptr;
        TimePoint idleSince;
    };

    static void onDone(evhttp_request* request, void* argument);
    void checkTimeouts(uint64_t id);
    void armTimer(Exchange& exchange);

    bool isUsable(IdleConnection const& connection) const;
    evhttp_connection* takeIdleConnection(Address const& to);
    evhttp_connection* makeConnection(Address const& to);
    void poolConnection(Address const& to, evhttp_connection* connection);
    void closeIdleConnections(Address const& to);
    void finish(Exchange& exchange, HttpOutcome const& outcome, bool reusable);
    void abort(uint64_t id, HttpOutcome::Kind kind);
    void scheduleFree(evhttp_connection* connection);
    void freeDiscarded();

    EventLoop& loop;
    HttpClientLimits limits;
    std::map<uint64_t, std::unique_ptr<Exchange>> exchanges;
    std::map<Address, std::list<IdleConnection>> idleConnections;
    std::list<evhttp_connection*> discardedConnections; ///< Freed from a timer, outside evhttp's callbacks.
    uint64_t nextExchangeId = 1;
    bool isFreeScheduled = false;
    TimerId freeTimer;
};

} // namespace cornelpond
