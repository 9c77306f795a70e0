#pragma once

// An HTTP/1.1 client on evhttp with a pool of idle connections. A connection carries one request at a
// time. A connection whose request failed or timed out is closed, never reused; when it came from the pool,
// the idle connections to the same address are closed too. A response must state its length (Content-Length
// or chunked) and be complete. One that is delimited by the end of the connection cannot be distinguished
// from a truncated one and is reported as Truncated.
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
    Duration maxIdleAge = Duration::seconds(10); ///< An idle connection older than this may be dead; it is closed, not reused.
    Duration connectTimeout = Duration::seconds(1);
    Duration progressTimeout = Duration::seconds(5); ///< Longest gap within a response that has begun.
    Duration tcpUserTimeout = Duration::seconds(10); ///< The connection is closed when sent bytes stay unacknowledged this long.
};

struct HttpSendOptions {
    Duration timeout = Duration::seconds(10); ///< From the call to the end of the response.
    bool needsFreshConnection = false; ///< Opens a connection instead of taking one from the pool.
};

/// How one exchange ended.
struct HttpOutcome {
    enum class Kind {
        Answered, ///< The response is complete.
        ConnectFailed, ///< No byte of the request left this host.
        ConnectionLost, ///< The connection failed before a byte of the response arrived.
        Truncated, ///< The response began and was malformed, incomplete or of unknown length.
        TimedOutBeforeResponse, ///< The timeout passed before a byte of the response arrived.
        TimedOutInResponse, ///< The timeout or the progress timeout passed within the response.
        Cancelled,
    };

    Kind kind = Kind::Answered;
    bool wasPooled = false; ///< The request was sent on a connection from the pool.
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

    /// Closes the exchange's connection; `done` is called with Cancelled. Does nothing when the exchange has ended.
    void cancel(HttpExchangeId exchange);

    /// True when the next request to the address would be sent on a pooled connection, and so reach the
    /// process that answered on it before.
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
    void finish(Exchange& exchange, HttpOutcome const& outcome, bool isReusable);
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
