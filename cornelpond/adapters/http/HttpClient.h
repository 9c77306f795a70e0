#pragma once

// An HTTP/1.1 client on evhttp with a pool of idle connections. A connection carries one request at a
// time. A connection whose request failed or timed out is closed, never reused; when it came from the pool,
// the idle connections to the same address are closed too. A response must state its length (Content-Length
// or chunked) and be complete. One that is delimited by the end of the connection cannot be distinguished
// from a truncated one and is reported as Truncated.
//
// The client keeps to a bound on its open connections. At the bound the longest idle connection makes room; without an
// idle one, requests wait for a connection, the urgent ones first, until their timeout.
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

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>

struct evhttp_connection;
struct evhttp_request;

namespace cornelpond {

struct HttpClientLimits {
    size_t maxBodyBytes = 16 * 1024 * 1024;
    size_t maxHeaderBytes = 64 * 1024;
    size_t maxIdlePerAddress = 64;
    size_t maxConnections = SIZE_MAX; ///< Open at once, idle ones included; each takes a file descriptor.
    Duration maxIdleAge = Duration::seconds(10); ///< An idle connection older than this may be dead; it is closed, not reused.
    Duration connectTimeout = Duration::seconds(1);
    Duration progressTimeout = Duration::seconds(5); ///< Longest gap within a response that has begun.
    Duration tcpUserTimeout = Duration::seconds(10); ///< The connection is closed when sent bytes stay unacknowledged this long.
};

struct HttpSendOptions {
    Duration timeout = Duration::seconds(10); ///< From the call to the end of the response.
    bool needsFreshConnection = false; ///< Opens a connection instead of taking one from the pool.
    std::optional<int64_t> peerTag; ///< Reuses only a connection with this tag.
    bool needsIdleConnection = false; ///< Opens no connection: without one in the pool, the request is not sent and ends as ConnectFailed.
    bool isUrgent = false; ///< Where requests wait for a connection, goes before those that are not urgent.
};

/// Work done since the client was made, for metrics and tests.
struct HttpClientCounters {
    uint64_t connectionsOpened = 0;
    uint64_t idleConnectionsEvicted = 0; ///< Closed to make room for a connection to another address.
    uint64_t requestsDelayed = 0; ///< Waited for a connection.
    uint64_t requestsUnsent = 0; ///< Timed out while they waited for a connection.
};

/// How one exchange ended.
struct HttpOutcome {
    enum class Kind {
        Answered, ///< The response is complete.
        ConnectFailed, ///< No byte of the request left this host, also where it found no free connection in time.
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
    uint64_t idleConnection = 0; ///< Names the connection for tagIdleConnection; 0 when it was closed.
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
    bool hasIdleConnection(Address const& to, std::optional<int64_t> peerTag = std::nullopt) const;

    /// Gives a connection that an outcome named a tag, for example of the process that answered on it. To be called by the
    /// handler of that outcome. The tag stays while the connection is open.
    void tagIdleConnection(Address const& to, uint64_t idleConnection, int64_t peerTag);

    size_t openExchanges() const { return this->exchanges.size(); }
    size_t openConnections() const { return this->openConnectionCount; }
    size_t waitingRequests() const { return this->waitingUrgent.size() + this->waiting.size(); }
    HttpClientCounters const& counters() const { return this->totals; }

private:
    struct Exchange;
    struct IdleConnection {
        evhttp_connection* connection = nullptr;
        TimePoint idleSince;
        uint64_t order = 0; ///< Rises with each connection that becomes idle.
        std::optional<int64_t> peerTag;
    };

    static void onDone(evhttp_request* request, void* argument);
    bool dispatch(Exchange& exchange, HttpRequest const& outgoing);
    void scheduleDispatch();
    void dispatchWaiting();
    void dispatchWaiting(std::deque<uint64_t>& queue);
    static void removeFrom(std::deque<uint64_t>& queue, uint64_t id);
    bool makeRoom();
    void checkTimeouts(uint64_t id);
    void armTimer(Exchange& exchange);

    bool isUsable(IdleConnection const& connection) const;
    IdleConnection takeIdleConnection(Address const& to, std::optional<int64_t> peerTag);
    void evictIdleConnection(Address const& to);
    evhttp_connection* makeConnection(Address const& to);
    uint64_t poolConnection(Exchange const& exchange);
    void closeIdleConnections(Address const& to);
    void finish(Exchange& exchange, HttpOutcome const& outcome, bool isReusable);
    void abort(uint64_t id, HttpOutcome::Kind kind);
    void scheduleFree(evhttp_connection* connection);
    void freeConnection(evhttp_connection* connection);
    void freeDiscarded();

    EventLoop& loop;
    HttpClientLimits limits;
    std::map<uint64_t, std::unique_ptr<Exchange>> exchanges;
    std::map<Address, std::list<IdleConnection>> idleConnections; ///< Longest idle first.
    std::map<uint64_t, Address> idleOrder; ///< Of all idle connections, by their `order`.
    uint64_t nextIdleOrder = 1;
    evhttp_connection* answeringConnection = nullptr; ///< Whose callback is running; it must not be freed there.
    std::list<evhttp_connection*> discardedConnections; ///< Freed from a timer, outside evhttp's callbacks.
    size_t openConnectionCount = 0; ///< Discarded ones that are not freed yet included.
    std::deque<uint64_t> waitingUrgent; ///< Exchanges without a connection, oldest first.
    std::deque<uint64_t> waiting;
    uint64_t nextExchangeId = 1;
    bool isFreeScheduled = false;
    TimerId freeTimer;
    bool isDispatchScheduled = false;
    TimerId dispatchTimer;
    HttpClientCounters totals;
};

} // namespace cornelpond
