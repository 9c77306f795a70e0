#include "cornelpond/adapters/http/HttpServer.h"

#include "cornelpond/core/base/ResultCode.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <evhtp.h>

#include <arpa/inet.h>
#include <charconv>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>

namespace cornelpond {

namespace internal {

    /// One received request, shared by libevhtp's hooks and the responders.
    struct PendingRequest {
        HttpServer* server = nullptr;
        evhtp_request_t* request = nullptr; ///< Null once libevhtp has freed it.
        EventLoop* loop = nullptr;
        bool isAnswered = false;
        bool isDisconnected = false; ///< The client closed the connection, or libevhtp freed the request.
        std::function<void()> onDisconnected;
    };

    /// Of one server; its connections may outlive it.
    struct ServerConnections {
        HttpLimits limits;
        size_t open = 0;
        uint64_t refused = 0;
    };

} // namespace internal

namespace {

    using PendingPointer = std::shared_ptr<internal::PendingRequest>;

    /// What the hooks of one connection share; freed when the connection ends.
    struct ConnectionState {
        std::shared_ptr<internal::ServerConnections> connections;
        HttpLimits limits;
        size_t headerBytes = 0;
        bool isRefused = false;
        bool isInMessage = false; ///< The header of a message was passed to libevhtp, and the message has not ended.
        bool isLastAnswer = false; ///< The answer that closes the connection was given.
        bufferevent_data_cb readCallback = nullptr; ///< libevhtp's own read callback.
    };

    ConnectionState* stateOf(evhtp_connection_t* connection)
    {
        return connection->hooks ? static_cast<ConnectionState*>(connection->hooks->on_headers_start_arg) : nullptr;
    }

    bool hasCompleteHeader(evbuffer* input)
    {
        constexpr char end[] = "\r\n\r\n";
        return evbuffer_search(input, end, sizeof(end) - 1, nullptr).pos >= 0;
    }

    /// False when the first line cannot be that of an HTTP request, so that libevhtp refuses it at once.
    bool canBecomeRequest(evbuffer* input)
    {
        size_t lineEndBytes = 0;
        evbuffer_ptr const lineEnd = evbuffer_search_eol(input, nullptr, &lineEndBytes, EVBUFFER_EOL_CRLF);
        if (lineEnd.pos < 0)
            return true;
        constexpr char version[] = " HTTP/1.";
        evbuffer_ptr const found = evbuffer_search(input, version, sizeof(version) - 1, nullptr);
        return found.pos >= 0 && found.pos < lineEnd.pos;
    }

    /// Passes a header to libevhtp only when it is complete. When a path is split between two reads, libevhtp
    /// 1.2.18 reads past the end of the received bytes and adds a wrong byte to the path.
    void readCompleteHeaders(bufferevent* bev, void* argument)
    {
        auto* connection = static_cast<evhtp_connection_t*>(argument);
        ConnectionState* state = stateOf(connection);
        if (!state)
            return;
        evbuffer* input = bufferevent_get_input(bev);
        bool const isBounded = evbuffer_get_length(input) <= state->limits.maxHeaderBytes * 2;
        if (!state->isInMessage && !hasCompleteHeader(input) && isBounded && canBecomeRequest(input))
            return;
        state->readCallback(bev, argument);
    }

    std::string refusalBody(ResultCode code, std::string const& message)
    {
        auto const& info = resultCodeInfo(code);
        return "{\"code\":" + std::to_string(static_cast<int>(code)) + ",\"name\":\"" + std::string(info.name) + "\",\"message\":\"" + message + "\",\"ran\":\"no\"}";
    }

    /// Writes a refusal directly to the socket, because libevhtp closes the connection after a parse error
    /// without a response. The write does not wait: when the socket buffer is full, the refusal is lost.
    void sendRefusal(evhtp_connection_t* connection, ConnectionState& state, ResultCode code, std::string const& message)
    {
        state.isRefused = true;
        auto const& info = resultCodeInfo(code);
        std::string const body = refusalBody(code, message);
        std::string const text = "HTTP/1.1 " + std::to_string(info.httpStatus) + " Refused\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
        send(connection->sock, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    }

    evhtp_res onHeadersStart(evhtp_request_t*, void* argument)
    {
        auto* state = static_cast<ConnectionState*>(argument);
        state->headerBytes = 0;
        state->isInMessage = true;
        return EVHTP_RES_OK;
    }

    evhtp_res onHeader(evhtp_request_t* request, evhtp_header_t* header, void* argument)
    {
        auto* state = static_cast<ConnectionState*>(argument);
        state->headerBytes += header->klen + header->vlen;
        if (state->headerBytes <= state->limits.maxHeaderBytes)
            return EVHTP_RES_OK;
        sendRefusal(request->conn, *state, ResultCode::BodyTooLarge, "the header fields are too large");
        return EVHTP_RES_USER;
    }

    evhtp_res onHeaders(evhtp_request_t* request, evhtp_headers_t* headers, void* argument)
    {
        auto* state = static_cast<ConnectionState*>(argument);
        char const* length = evhtp_header_find(headers, "Content-Length");
        if (!length)
            return EVHTP_RES_OK;
        size_t bytes = 0;
        char const* const end = length + std::strlen(length);
        auto const parsed = std::from_chars(length, end, bytes);
        if (parsed.ec != std::errc() || parsed.ptr != end) {
            sendRefusal(request->conn, *state, ResultCode::BadHeader, "unusable Content-Length");
            return EVHTP_RES_USER;
        }
        if (bytes <= state->limits.maxBodyBytes)
            return EVHTP_RES_OK;
        sendRefusal(request->conn, *state, ResultCode::BodyTooLarge, "the body is too large");
        return EVHTP_RES_USER;
    }

    evhtp_res onConnectionEnd(evhtp_connection_t* connection, void* argument)
    {
        std::unique_ptr<ConnectionState> const state(static_cast<ConnectionState*>(argument));
        state->connections->open--;
        // libevhtp leaves a parser error on a connection that it closes after the answer to a paused request.
        bool const hasFailed = !state->isLastAnswer && htparser_get_error(connection->parser) != htparse_error_none;
        if (!state->isRefused && hasFailed)
            sendRefusal(connection, *state, ResultCode::BadHeader, "malformed HTTP");
        return EVHTP_RES_OK;
    }

    /// libevhtp stores hooks of all signatures under one type and casts them back.
    template <typename Hook>
    evhtp_hook asHook(Hook hook)
    {
        return reinterpret_cast<evhtp_hook>(reinterpret_cast<void*>(hook));
    }

    evhtp_res onAccepted(evhtp_connection_t* connection, void* argument)
    {
        auto const& connections = *static_cast<std::shared_ptr<internal::ServerConnections>*>(argument);
        auto* state = new ConnectionState { connections, connections->limits };
        connections->open++;
        evhtp_connection_set_hook(connection, evhtp_hook_on_headers_start, asHook(onHeadersStart), state);
        evhtp_connection_set_hook(connection, evhtp_hook_on_header, asHook(onHeader), state);
        evhtp_connection_set_hook(connection, evhtp_hook_on_headers, asHook(onHeaders), state);
        evhtp_connection_set_hook(connection, evhtp_hook_on_connection_fini, asHook(onConnectionEnd), state);
        bufferevent_event_cb onEvent = nullptr;
        bufferevent_data_cb onWrite = nullptr;
        void* owner = nullptr;
        bufferevent_getcb(connection->bev, &state->readCallback, &onWrite, &onEvent, &owner);
        bufferevent_setcb(connection->bev, readCompleteHeaders, onWrite, onEvent, owner);
        if (connections->open <= connections->limits.maxConnections)
            return EVHTP_RES_OK;
        connections->refused++;
        sendRefusal(connection, *state, ResultCode::QueueFull, "too many open connections");
        return EVHTP_RES_ERROR; // libevhtp closes the connection.
    }

    void notifyDisconnected(internal::PendingRequest& pending)
    {
        pending.isDisconnected = true;
        auto const onDisconnected = std::move(pending.onDisconnected);
        pending.onDisconnected = nullptr;
        if (!pending.isAnswered && onDisconnected)
            onDisconnected();
    }

    /// The client closed the connection while its request is paused. libevhtp keeps the connection until the
    /// request is resumed; a timer resumes it, outside libevhtp's callback.
    void onRequestError(evhtp_request_t*, evhtp_error_flags, void* argument)
    {
        PendingPointer const pending = *static_cast<PendingPointer*>(argument);
        if (pending->isDisconnected || pending->isAnswered)
            return;
        notifyDisconnected(*pending);
        pending->loop->after(Duration(), [pending] {
            if (pending->request)
                evhtp_request_resume(pending->request);
        });
    }

    evhtp_res onRequestEnd(evhtp_request_t* request, void* argument)
    {
        std::unique_ptr<PendingPointer> const holder(static_cast<PendingPointer*>(argument));
        (*holder)->request = nullptr;
        if (ConnectionState* state = request->conn ? stateOf(request->conn) : nullptr)
            state->isInMessage = false;
        notifyDisconnected(**holder);
        return EVHTP_RES_OK;
    }

    int copyHeader(evhtp_kv_t* field, void* argument)
    {
        static_cast<HttpHeaders*>(argument)->add(std::string(field->key, field->klen), std::string(field->val, field->vlen));
        return 0;
    }

    HttpRequest toHttpRequest(evhtp_request_t* request)
    {
        HttpRequest result;
        result.method = htparser_get_methodstr_m(request->method);
        if (request->uri && request->uri->path && request->uri->path->full)
            result.path = request->uri->path->full;
        if (request->uri && request->uri->query_raw)
            result.query = reinterpret_cast<char const*>(request->uri->query_raw);
        evhtp_kvs_for_each(request->headers_in, copyHeader, &result.headers);
        size_t const length = evbuffer_get_length(request->buffer_in);
        result.body.resize(length);
        evbuffer_copyout(request->buffer_in, result.body.data(), length);
        return result;
    }

} // namespace

void HttpResponder::answer(HttpResponse const& response) const
{
    evhtp_request_t* request = this->pending->request;
    if (!request || this->pending->isDisconnected || this->pending->isAnswered)
        return;
    this->pending->isAnswered = true;
    this->pending->onDisconnected = nullptr;
    for (auto const& field : response.headers.all())
        evhtp_headers_add_header(request->headers_out, evhtp_header_new(field.name.c_str(), field.value.c_str(), 1, 1));
    // libevhtp adds "Connection: close" itself.
    if (this->pending->server->isClosing)
        request->flags &= static_cast<uint16_t>(~EVHTP_REQ_FLAG_KEEPALIVE);
    if (ConnectionState* state = request->conn ? stateOf(request->conn) : nullptr)
        state->isLastAnswer = !(request->flags & EVHTP_REQ_FLAG_KEEPALIVE);
    evbuffer_add(request->buffer_out, response.body.data(), response.body.size());
    evhtp_send_reply(request, static_cast<evhtp_res>(response.status));
    evhtp_request_resume(request);
}

void HttpResponder::onClientDisconnected(std::function<void()> callback) const
{
    if (!this->pending->isDisconnected && !this->pending->isAnswered)
        this->pending->onDisconnected = std::move(callback);
}

bool HttpResponder::isClientDisconnected() const
{
    return this->pending->isDisconnected;
}

HttpServer::HttpServer(EventLoop& loop, HttpLimits limits, Handler handler)
    : loop(loop)
    , handler(std::move(handler))
    , server(evhtp_new(loop.base(), nullptr))
    , connections(std::make_shared<internal::ServerConnections>(internal::ServerConnections { limits }))
{
    evhtp_set_gencb(this->server, onRequest, this);
    evhtp_set_post_accept_cb(this->server, onAccepted, &this->connections);
    evhtp_set_max_body_size(this->server, limits.maxBodyBytes);
    evhtp_enable_flag(this->server, EVHTP_FLAG_ENABLE_NODELAY);
    timeval idle {};
    idle.tv_sec = limits.idleTimeout.toMilliseconds() / 1000;
    evhtp_set_timeouts(this->server, &idle, &idle);
}

HttpServer::~HttpServer()
{
    this->stopListening();
    evhtp_free(this->server);
}

uint16_t HttpServer::listen(Address const& address)
{
    constexpr int backlog = 1024;
    if (evhtp_bind_socket(this->server, address.ip.c_str(), address.port, backlog) < 0)
        throw Error(ResultCode::BadSettings, "cannot listen on " + address.text() + ": " + std::strerror(errno));
    this->isListening = true;
    sockaddr_storage bound {};
    socklen_t length = sizeof(bound);
    getsockname(evconnlistener_get_fd(this->server->server), reinterpret_cast<sockaddr*>(&bound), &length);
    if (bound.ss_family == AF_INET6)
        return ntohs(reinterpret_cast<sockaddr_in6*>(&bound)->sin6_port);
    return ntohs(reinterpret_cast<sockaddr_in*>(&bound)->sin_port);
}

void HttpServer::stopListening()
{
    if (this->isListening)
        evhtp_unbind_socket(this->server);
    this->isListening = false;
}

size_t HttpServer::openConnections() const
{
    return this->connections->open;
}

uint64_t HttpServer::refusedConnections() const
{
    return this->connections->refused;
}

void HttpServer::onRequest(evhtp_request* request, void* argument)
{
    static_cast<HttpServer*>(argument)->handle(request);
}

void HttpServer::handle(evhtp_request* request)
{
    auto pending = std::shared_ptr<internal::PendingRequest>(new internal::PendingRequest, [this](internal::PendingRequest* ended) {
        delete ended;
        this->openRequestCount--;
    });
    this->openRequestCount++;
    pending->server = this;
    pending->request = request;
    pending->loop = &this->loop;
    auto* holder = new PendingPointer(pending);
    evhtp_request_set_hook(request, evhtp_hook_on_request_fini, asHook(onRequestEnd), holder);
    evhtp_request_set_hook(request, evhtp_hook_on_error, asHook(onRequestError), holder);
    evhtp_request_pause(request);
    // Pausing disables reading, but only a read detects that the client has closed the connection.
    bufferevent_enable(request->conn->bev, EV_READ);
    HttpResponder const responder(pending);
    bool hasReturned = false;
    this->loop.runGuarded([&] {
        this->handler(toHttpRequest(request), responder);
        hasReturned = true;
    });
    if (!hasReturned)
        responder.answer({ 500, {}, refusalBody(ResultCode::Internal, "internal fault") });
}

} // namespace cornelpond
