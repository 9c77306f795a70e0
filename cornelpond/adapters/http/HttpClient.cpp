#include "cornelpond/adapters/http/HttpClient.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <utility>

namespace cornelpond {

namespace {

    struct MethodName {
        evhttp_cmd_type type;
        std::string_view name;
    };

    constexpr std::array methods = {
        MethodName { EVHTTP_REQ_GET, "GET" },
        MethodName { EVHTTP_REQ_POST, "POST" },
        MethodName { EVHTTP_REQ_PUT, "PUT" },
        MethodName { EVHTTP_REQ_DELETE, "DELETE" },
        MethodName { EVHTTP_REQ_HEAD, "HEAD" },
        MethodName { EVHTTP_REQ_PATCH, "PATCH" },
        MethodName { EVHTTP_REQ_OPTIONS, "OPTIONS" },
    };

    bool findMethod(std::string_view name, evhttp_cmd_type& type)
    {
        for (auto const& method : methods) {
            if (method.name == name) {
                type = method.type;
                return true;
            }
        }
        return false;
    }

    /// True once the TCP handshake is done, so that bytes of the request may have been sent.
    bool isConnected(evhttp_connection* connection)
    {
        evutil_socket_t const socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
        sockaddr_storage peer {};
        socklen_t length = sizeof(peer);
        return socket >= 0 && !getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &length);
    }

    HttpResponse toResponse(evhttp_request* request)
    {
        HttpResponse response;
        response.status = evhttp_request_get_response_code(request);
        evkeyvalq* fields = evhttp_request_get_input_headers(request);
        for (evkeyval* field = fields->tqh_first; field; field = field->next.tqe_next)
            response.headers.add(field->key, field->value);
        evbuffer* body = evhttp_request_get_input_buffer(request);
        response.body.resize(evbuffer_get_length(body));
        evbuffer_remove(body, response.body.data(), response.body.size());
        return response;
    }

    bool hasBody(std::string_view method, int status)
    {
        constexpr int noContent = 204;
        constexpr int notModified = 304;
        return method != "HEAD" && status >= 200 && status != noContent && status != notModified;
    }

    /// True when the response has no body, or states its length and was received to its end.
    bool isComplete(std::string_view method, HttpResponse const& response)
    {
        if (!hasBody(method, response.status))
            return true;
        std::string const* encoding = response.headers.find("Transfer-Encoding");
        if (encoding)
            return HttpHeaders::equalName(*encoding, "chunked");
        std::string const* length = response.headers.find("Content-Length");
        return length && *length == std::to_string(response.body.size());
    }

    /// Makes the kernel close a connection whose peer has vanished: an idle one by TCP keepalive, one with
    /// unacknowledged bytes by TCP_USER_TIMEOUT.
    void enableDeadPeerDetection(evhttp_connection* connection, Duration tcpUserTimeout)
    {
        constexpr int on = 1;
        constexpr int keepaliveIdleSeconds = 5;
        constexpr int keepaliveIntervalSeconds = 2;
        constexpr int keepaliveProbes = 2;
        evutil_socket_t const socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
        if (socket < 0)
            return;
        int const tcpUserTimeoutMs = static_cast<int>(tcpUserTimeout.toMilliseconds());
        auto const set = [socket](int level, int name, int value) { setsockopt(socket, level, name, &value, sizeof(value)); };
        set(IPPROTO_TCP, TCP_NODELAY, on);
        set(SOL_SOCKET, SO_KEEPALIVE, on);
        set(IPPROTO_TCP, TCP_KEEPIDLE, keepaliveIdleSeconds);
        set(IPPROTO_TCP, TCP_KEEPINTVL, keepaliveIntervalSeconds);
        set(IPPROTO_TCP, TCP_KEEPCNT, keepaliveProbes);
        set(IPPROTO_TCP, TCP_USER_TIMEOUT, tcpUserTimeoutMs);
    }

    bool hasConnectionClose(HttpResponse const& response)
    {
        std::string const* connection = response.headers.find("Connection");
        return connection && HttpHeaders::equalName(*connection, "close");
    }

} // namespace

struct HttpClient::Exchange {
    HttpClient* client = nullptr;
    uint64_t id = 0;
    Address to;
    Done done;
    evhttp_connection* connection = nullptr;
    evhttp_request* request = nullptr;
    std::string method;
    evhttp_cmd_type type = EVHTTP_REQ_GET;
    HttpRequest outgoing; ///< Until it is sent.
    HttpSendOptions options;
    bool wasPooled = false; ///< The connection came from the pool.
    std::optional<int64_t> peerTag; ///< Of the connection.
    TimePoint startedAt; ///< When it was sent, or began to wait for a connection.
    TimePoint deadline;
    TimePoint lastProgressAt; ///< When bytes of the response last arrived.
    bool hasResponseBegun = false;
    evbuffer_cb_entry* inputCallback = nullptr;
    TimerId timer;

    static void onInput(evbuffer*, evbuffer_cb_info const* info, void* argument)
    {
        auto& exchange = *static_cast<Exchange*>(argument);
        if (!info->n_added)
            return;
        exchange.hasResponseBegun = true;
        exchange.lastProgressAt = exchange.client->loop.now();
    }

    evbuffer* input() const { return bufferevent_get_input(evhttp_connection_get_bufferevent(this->connection)); }
};

HttpClient::HttpClient(EventLoop& loop, HttpClientLimits limits)
    : loop(loop)
    , limits(limits)
{
}

HttpClient::~HttpClient()
{
    for (auto& [id, exchange] : this->exchanges) {
        this->loop.cancel(exchange->timer);
        if (!exchange->connection)
            continue;
        evhttp_cancel_request(exchange->request);
        evhttp_connection_free(exchange->connection);
    }
    for (auto& [address, connections] : this->idleConnections) {
        for (auto const& connection : connections)
            evhttp_connection_free(connection.connection);
    }
    this->freeDiscarded();
    this->loop.cancel(this->freeTimer);
    this->loop.cancel(this->dispatchTimer);
}

HttpExchangeId HttpClient::send(Address const& to, HttpRequest const& request, HttpSendOptions const& options, Done done)
{
    auto owned = std::make_unique<Exchange>();
    Exchange* exchange = owned.get();
    exchange->client = this;
    exchange->id = this->nextExchangeId++;
    exchange->to = to;
    exchange->done = std::move(done);
    this->exchanges.emplace(exchange->id, std::move(owned));
    HttpExchangeId const id(exchange->id);

    evhttp_cmd_type type = EVHTTP_REQ_GET;
    if (!findMethod(request.method, type)) {
        exchange->timer = this->loop.after(Duration(), [this, id] { this->abort(id.value(), HttpOutcome::Kind::ConnectFailed); });
        return id;
    }
    exchange->method = request.method;
    exchange->type = type;
    exchange->options = options;
    exchange->startedAt = this->loop.now();
    exchange->deadline = exchange->startedAt + options.timeout;
    bool const isFirst = this->waitingUrgent.empty() && (options.isUrgent || this->waiting.empty());
    if ((isFirst || this->hasIdleConnection(to, options.peerTag)) && this->dispatch(*exchange, request))
        return id;
    exchange->outgoing = request;
    this->totals.requestsDelayed++;
    (options.isUrgent ? this->waitingUrgent : this->waiting).push_back(id.value());
    this->armTimer(*exchange);
    return id;
}

/// Sends the request on a pooled or a new connection. False when there is no room for a connection; the exchange is then
/// unchanged. Otherwise the exchange may have ended when this returns.
bool HttpClient::dispatch(Exchange& exchange, HttpRequest const& outgoing)
{
    IdleConnection const pooled = exchange.options.needsFreshConnection ? IdleConnection() : this->takeIdleConnection(exchange.to, exchange.options.peerTag);
    bool const wasPooled = pooled.connection;
    if (!wasPooled && exchange.options.needsIdleConnection) {
        exchange.timer = this->loop.after(Duration(), [this, id = exchange.id] { this->abort(id, HttpOutcome::Kind::ConnectFailed); });
        return true;
    }
    if (!wasPooled && !this->makeRoom())
        return false;
    exchange.connection = wasPooled ? pooled.connection : this->makeConnection(exchange.to);
    exchange.peerTag = pooled.peerTag;
    exchange.wasPooled = wasPooled;
    exchange.startedAt = this->loop.now();
    exchange.inputCallback = evbuffer_add_cb(exchange.input(), Exchange::onInput, &exchange);
    exchange.request = evhttp_request_new(onDone, &exchange);
    evkeyvalq* fields = evhttp_request_get_output_headers(exchange.request);
    for (auto const& field : outgoing.headers.all())
        evhttp_add_header(fields, field.name.c_str(), field.value.c_str());
    if (!outgoing.headers.find("Host"))
        evhttp_add_header(fields, "Host", exchange.to.text().c_str());
    evbuffer_add(evhttp_request_get_output_buffer(exchange.request), outgoing.body.data(), outgoing.body.size());
    std::string const uri = outgoing.query.empty() ? outgoing.path : outgoing.path + "?" + outgoing.query;
    this->armTimer(exchange);
    evhttp_connection* const used = exchange.connection;
    // When the call fails, evhttp has already called onDone, which freed the exchange.
    if (!evhttp_make_request(used, exchange.request, exchange.type, uri.c_str()))
        enableDeadPeerDetection(used, this->limits.tcpUserTimeout);
    return true;
}

/// True when another connection may be opened. At the bound, closes the connection that has been idle for longest.
bool HttpClient::makeRoom()
{
    if (this->openConnectionCount >= this->limits.maxConnections && !this->idleOrder.empty())
        this->evictIdleConnection(Address(this->idleOrder.begin()->second));
    return this->openConnectionCount < this->limits.maxConnections;
}

void HttpClient::evictIdleConnection(Address const& to)
{
    auto const found = this->idleConnections.find(to);
    IdleConnection const evicted = found->second.front();
    this->idleOrder.erase(evicted.order);
    found->second.pop_front();
    if (found->second.empty())
        this->idleConnections.erase(found);
    this->totals.idleConnectionsEvicted++;
    if (evicted.connection == this->answeringConnection)
        this->scheduleFree(evicted.connection);
    else
        this->freeConnection(evicted.connection);
}

void HttpClient::freeConnection(evhttp_connection* connection)
{
    this->openConnectionCount--;
    evhttp_connection_free(connection);
}

void HttpClient::scheduleDispatch()
{
    if (this->isDispatchScheduled || !this->waitingRequests())
        return;
    this->isDispatchScheduled = true;
    this->dispatchTimer = this->loop.after(Duration(), [this] {
        this->isDispatchScheduled = false;
        this->dispatchWaiting();
    });
}

void HttpClient::dispatchWaiting()
{
    this->dispatchWaiting(this->waitingUrgent);
    if (this->waitingUrgent.empty())
        this->dispatchWaiting(this->waiting);
}

void HttpClient::dispatchWaiting(std::deque<uint64_t>& queue)
{
    while (!queue.empty()) {
        uint64_t const id = queue.front();
        Exchange& exchange = *this->exchanges.at(id);
        TimerId const waitTimer = exchange.timer;
        HttpRequest const outgoing = exchange.outgoing;
        if (!this->dispatch(exchange, outgoing))
            return;
        this->loop.cancel(waitTimer);
        // Not the front any more when the handler of a failed exchange has sent urgent requests.
        removeFrom(queue, id);
    }
}

void HttpClient::removeFrom(std::deque<uint64_t>& queue, uint64_t id)
{
    auto const found = std::find(queue.begin(), queue.end(), id);
    if (found != queue.end())
        queue.erase(found);
}

/// Arms the timer for the next time at which the exchange may have to be aborted.
void HttpClient::armTimer(Exchange& exchange)
{
    TimePoint next = exchange.deadline;
    if (!exchange.connection)
        next = exchange.deadline;
    else if (!isConnected(exchange.connection))
        next = std::min(next, exchange.startedAt + this->limits.connectTimeout);
    else if (exchange.hasResponseBegun)
        next = std::min(next, exchange.lastProgressAt + this->limits.progressTimeout);
    else
        next = std::min(next, std::max(this->loop.now(), exchange.startedAt) + this->limits.progressTimeout);
    Duration const wait = std::max(next - this->loop.now(), Duration());
    exchange.timer = this->loop.after(wait, [this, id = exchange.id] { this->checkTimeouts(id); });
}

void HttpClient::checkTimeouts(uint64_t id)
{
    auto const found = this->exchanges.find(id);
    if (found == this->exchanges.end())
        return;
    Exchange& exchange = *found->second;
    TimePoint const now = this->loop.now();
    bool const isStalled = exchange.hasResponseBegun && now - exchange.lastProgressAt >= this->limits.progressTimeout;
    bool const isWaiting = !exchange.connection;
    bool const isUnconnected = !isWaiting && !isConnected(exchange.connection) && now - exchange.startedAt >= this->limits.connectTimeout;
    if (isUnconnected || (isWaiting && now >= exchange.deadline))
        this->abort(id, HttpOutcome::Kind::ConnectFailed);
    else if (now >= exchange.deadline || isStalled)
        this->abort(id, exchange.hasResponseBegun ? HttpOutcome::Kind::TimedOutInResponse : HttpOutcome::Kind::TimedOutBeforeResponse);
    else
        this->armTimer(exchange);
}

void HttpClient::cancel(HttpExchangeId exchange)
{
    this->abort(exchange.value(), HttpOutcome::Kind::Cancelled);
}

void HttpClient::abort(uint64_t id, HttpOutcome::Kind kind)
{
    auto const found = this->exchanges.find(id);
    if (found == this->exchanges.end())
        return;
    Exchange& exchange = *found->second;
    if (!exchange.connection && !exchange.method.empty()) {
        removeFrom(this->waitingUrgent, id);
        removeFrom(this->waiting, id);
        this->totals.requestsUnsent += kind == HttpOutcome::Kind::ConnectFailed;
    }
    HttpOutcome outcome;
    outcome.kind = kind;
    outcome.mayHaveRun = exchange.connection && isConnected(exchange.connection);
    if (exchange.request)
        evhttp_cancel_request(exchange.request);
    exchange.request = nullptr;
    this->finish(exchange, outcome, false);
}

void HttpClient::onDone(evhttp_request* request, void* argument)
{
    auto& exchange = *static_cast<Exchange*>(argument);
    HttpClient* client = exchange.client;
    evhttp_connection* const outer = std::exchange(client->answeringConnection, exchange.connection);
    exchange.request = nullptr;
    HttpOutcome outcome;
    bool const hasResponse = request && evhttp_request_get_response_code(request);
    if (hasResponse) {
        outcome.response = toResponse(request);
        bool const isResponseComplete = isComplete(exchange.method, outcome.response);
        outcome.kind = isResponseComplete ? HttpOutcome::Kind::Answered : HttpOutcome::Kind::Truncated;
        client->finish(exchange, outcome, isResponseComplete && !hasConnectionClose(outcome.response));
        client->answeringConnection = outer;
        return;
    }
    // evhttp passes a request without a response code when connecting failed, and null when the connection failed later.
    outcome.kind = request ? HttpOutcome::Kind::ConnectFailed : HttpOutcome::Kind::ConnectionLost;
    if (exchange.hasResponseBegun)
        outcome.kind = HttpOutcome::Kind::Truncated;
    outcome.mayHaveRun = !request || exchange.hasResponseBegun;
    client->finish(exchange, outcome, false);
    client->answeringConnection = outer;
}

void HttpClient::finish(Exchange& exchange, HttpOutcome const& outcome, bool isReusable)
{
    this->loop.cancel(exchange.timer);
    if (exchange.inputCallback)
        evbuffer_remove_cb_entry(exchange.input(), exchange.inputCallback);
    if (exchange.wasPooled && !isReusable && outcome.kind != HttpOutcome::Kind::Cancelled)
        this->closeIdleConnections(exchange.to);
    HttpOutcome reported = outcome;
    if (exchange.connection && isReusable)
        reported.idleConnection = this->poolConnection(exchange);
    else if (exchange.connection)
        this->scheduleFree(exchange.connection);
    reported.wasPooled = exchange.wasPooled;
    this->scheduleDispatch();
    Done const done = std::move(exchange.done);
    this->exchanges.erase(exchange.id);
    this->loop.runGuarded([&] { done(reported); });
}

bool HttpClient::hasIdleConnection(Address const& to, std::optional<int64_t> peerTag) const
{
    auto const found = this->idleConnections.find(to);
    return found != this->idleConnections.end()
        && std::any_of(found->second.begin(), found->second.end(), [&](auto const& connection) { return (!peerTag || connection.peerTag == peerTag) && this->isUsable(connection); });
}

void HttpClient::tagIdleConnection(Address const& to, uint64_t idleConnection, int64_t peerTag)
{
    auto const found = this->idleConnections.find(to);
    if (found == this->idleConnections.end())
        return;
    for (auto& connection : found->second) {
        if (connection.order == idleConnection)
            connection.peerTag = peerTag;
    }
}

/// False when the connection is too old, or no longer connected: evhttp would reconnect it by itself.
bool HttpClient::isUsable(IdleConnection const& connection) const
{
    return this->loop.now() - connection.idleSince <= this->limits.maxIdleAge && isConnected(connection.connection);
}

/// The newest usable one, with the tag if one is given. Closes those that it finds unusable.
HttpClient::IdleConnection HttpClient::takeIdleConnection(Address const& to, std::optional<int64_t> peerTag)
{
    auto const found = this->idleConnections.find(to);
    if (found == this->idleConnections.end())
        return IdleConnection();
    auto& connections = found->second;
    for (auto at = connections.end(); at != connections.begin();) {
        --at;
        bool const isMatch = !peerTag || at->peerTag == peerTag;
        bool const isTaken = isMatch && this->isUsable(*at);
        if (isMatch) {
            IdleConnection const connection = *at;
            this->idleOrder.erase(connection.order);
            at = connections.erase(at);
            if (isTaken)
                return connection;
            this->scheduleFree(connection.connection);
        }
    }
    return IdleConnection();
}

evhttp_connection* HttpClient::makeConnection(Address const& to)
{
    evhttp_connection* connection = evhttp_connection_base_new(this->loop.base(), nullptr, to.ip.c_str(), to.port);
    evhttp_connection_set_max_body_size(connection, static_cast<ev_ssize_t>(this->limits.maxBodyBytes));
    evhttp_connection_set_max_headers_size(connection, static_cast<ev_ssize_t>(this->limits.maxHeaderBytes));
    evhttp_connection_set_retries(connection, 0);
    this->openConnectionCount++;
    this->totals.connectionsOpened++;
    return connection;
}

/// Called when a pooled connection failed: a device on the path may have dropped the state of all of them.
void HttpClient::closeIdleConnections(Address const& to)
{
    auto const found = this->idleConnections.find(to);
    if (found == this->idleConnections.end())
        return;
    for (auto const& connection : found->second) {
        this->idleOrder.erase(connection.order);
        this->scheduleFree(connection.connection);
    }
    this->idleConnections.erase(found);
}

/// Returns the connection's order among the idle ones, or 0 if it was closed.
uint64_t HttpClient::poolConnection(Exchange const& exchange)
{
    auto& connections = this->idleConnections[exchange.to];
    if (connections.size() >= this->limits.maxIdlePerAddress) {
        this->scheduleFree(exchange.connection);
        return 0;
    }
    uint64_t const order = this->nextIdleOrder++;
    connections.push_back({ exchange.connection, this->loop.now(), order, exchange.peerTag });
    this->idleOrder.emplace(order, exchange.to);
    return order;
}

void HttpClient::scheduleFree(evhttp_connection* connection)
{
    this->discardedConnections.push_back(connection);
    if (this->isFreeScheduled)
        return;
    this->isFreeScheduled = true;
    this->freeTimer = this->loop.after(Duration(), [this] { this->freeDiscarded(); });
}

void HttpClient::freeDiscarded()
{
    this->isFreeScheduled = false;
    for (auto* connection : this->discardedConnections)
        this->freeConnection(connection);
    this->discardedConnections.clear();
    this->scheduleDispatch();
}

} // namespace cornelpond
