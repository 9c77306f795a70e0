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

    /// One request between its arrival and the moment libevhtp frees it.
    struct PendingRequest {
        HttpServer* server = nullptr;
        evhtp_request_t* request = nullptr; ///< Null once libevhtp has freed it.
        EventLoop* loop = nullptr;
        bool answered = false;
        bool gone = false; ///< The caller closed its end, or the request was freed.
        std::function<void()> onGone;
    };

} // namespace internal

namespace {

    using PendingPointer = std::shared_ptr<internal::PendingRequest>;

    /// What one connection's hooks need; lives as long as the connection.
    struct ConnectionState {
        HttpLimits limits;
        size_t headerBytes = 0;
        bool refused = false;
        bool inMessage = false; ///< The header of a message was handed to libevhtp, and the message is not over.
        bufferevent_data_cb parse = nullptr; ///< libevhtp's own reader.
    };

    ConnectionState* stateOf(evhtp_connection_t* connection)
    {
        return connection->hooks ? static_cast<ConnectionState*>(connection->hooks->on_headers_start_arg) : nullptr;
    }

    bool holdsWholeHeader(evbuffer* input)
    {
        constexpr char end[] = "\r\n\r\n";
        return evbuffer_search(input, end, sizeof(end) - 1, nullptr).pos >= 0;
    }

    /// False for a first line that no HTTP request has: libevhtp is to refuse it at once.
    bool mayBecomeRequest(evbuffer* input)
    {
        size_t lineEndBytes = 0;
        evbuffer_ptr const lineEnd = evbuffer_search_eol(input, nullptr, &lineEndBytes, EVBUFFER_EOL_CRLF);
        if (lineEnd.pos < 0)
            return true;
        constexpr char version[] = " HTTP/1.";
        evbuffer_ptr const found = evbuffer_search(input, version, sizeof(version) - 1, nullptr);
        return found.pos >= 0 && found.pos < lineEnd.pos;
    }

    /// libevhtp 1.2.18 reads past the end of what has arrived when a path is split between two reads, and so
    /// takes a wrong byte into it: a header is kept back until it is whole.
    void readWholeHeaders(bufferevent* bev, void* argument)
    {
        auto* connection = static_cast<evhtp_connection_t*>(argument);
        ConnectionState* state = stateOf(connection);
        if (!state)
            return;
        evbuffer* input = bufferevent_get_input(bev);
        bool const isBounded = evbuffer_get_length(input) <= state->limits.maxHeaderBytes * 2;
        if (!state->inMessage && !holdsWholeHeader(input) && isBounded && mayBecomeRequest(input))
            return;
        state->parse(bev, argument);
    }

    std::string refusalBody(ResultCode code, std::string const& message)
    {
        auto const& info = resultCodeInfo(code);
        return "{\"code\":" + std::to_string(static_cast<int>(code)) + ",\"name\":\"" + std::string(info.name) + "\",\"message\":\"" + message + "\",\"ran\":\"no\"}";
    }

    /// Writes a refusal straight to the socket; libevhtp closes the connection after a parse error without
    /// a word of its own. A full socket buffer loses the refusal, never more.
    void refuseAndClose(evhtp_connection_t* connection, ConnectionState& state, ResultCode code, std::string const& message)
    {
        state.refused = true;
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
        state->inMessage = true;
        return EVHTP_RES_OK;
    }

    evhtp_res onHeader(evhtp_request_t* request, evhtp_header_t* header, void* argument)
    {
        auto* state = static_cast<ConnectionState*>(argument);
        state->headerBytes += header->klen + header->vlen;
        if (state->headerBytes <= state->limits.maxHeaderBytes)
            return EVHTP_RES_OK;
        refuseAndClose(request->conn, *state, ResultCode::BodyTooLarge, "the header fields are too large");
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
            refuseAndClose(request->conn, *state, ResultCode::BadHeader, "unusable Content-Length");
            return EVHTP_RES_USER;
        }
        if (bytes <= state->limits.maxBodyBytes)
            return EVHTP_RES_OK;
        refuseAndClose(request->conn, *state, ResultCode::BodyTooLarge, "the body is too large");
        return EVHTP_RES_USER;
    }

    evhtp_res onConnectionEnd(evhtp_connection_t* connection, void* argument)
    {
        std::unique_ptr<ConnectionState> const state(static_cast<ConnectionState*>(argument));
        if (!state->refused && htparser_get_error(connection->parser) != htparse_error_none)
            refuseAndClose(connection, *state, ResultCode::BadHeader, "malformed HTTP");
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
        auto* state = new ConnectionState { *static_cast<HttpLimits*>(argument) };
        evhtp_connection_set_hook(connection, evhtp_hook_on_headers_start, asHook(onHeadersStart), state);
        evhtp_connection_set_hook(connection, evhtp_hook_on_header, asHook(onHeader), state);
        evhtp_connection_set_hook(connection, evhtp_hook_on_headers, asHook(onHeaders), state);
        evhtp_connection_set_hook(connection, evhtp_hook_on_connection_fini, asHook(onConnectionEnd), state);
        bufferevent_event_cb onEvent = nullptr;
        bufferevent_data_cb onWrite = nullptr;
        void* owner = nullptr;
        bufferevent_getcb(connection->bev, &state->parse, &onWrite, &onEvent, &owner);
        bufferevent_setcb(connection->bev, readWholeHeaders, onWrite, onEvent, owner);
        return EVHTP_RES_OK;
    }

    void tellGone(internal::PendingRequest& pending)
    {
        pending.gone = true;
        auto const onGone = std::move(pending.onGone);
        pending.onGone = nullptr;
        if (!pending.answered && onGone)
            onGone();
    }

    /// The caller closed while its request is paused. libevhtp keeps the connection until the request is
    /// resumed; that happens from a timer, outside its own callback.
    void onRequestError(evhtp_request_t*, evhtp_error_flags, void* argument)
    {
        PendingPointer const pending = *static_cast<PendingPointer*>(argument);
        if (pending->gone || pending->answered)
            return;
        tellGone(*pending);
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
            state->inMessage = false;
        tellGone(**holder);
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
    if (!request || this->pending->gone || this->pending->answered)
        return;
    this->pending->answered = true;
    this->pending->onGone = nullptr;
    for (auto const& field : response.headers.all())
        evhtp_headers_add_header(request->headers_out, evhtp_header_new(field.name.c_str(), field.value.c_str(), 1, 1));
    if (this->pending->server->isClosing) {
        evhtp_headers_add_header(request->headers_out, evhtp_header_new("Connection", "close", 0, 0));
        request->flags &= static_cast<uint16_t>(~EVHTP_REQ_FLAG_KEEPALIVE);
    }
    evbuffer_add(request->buffer_out, response.body.data(), response.body.size());
    evhtp_send_reply(request, static_cast<evhtp_res>(response.status));
    evhtp_request_resume(request);
}

void HttpResponder::onClientDisconnected(std::function<void()> callback) const
{
    if (!this->pending->gone && !this->pending->answered)
        this->pending->onGone = std::move(callback);
}

bool HttpResponder::isClientDisconnected() const
{
    return this->pending->gone;
}

HttpServer::HttpServer(EventLoop& loop, HttpLimits limits, Handler handler)
    : loop(loop)
    , limits(limits)
    , handler(std::move(handler))
    , server(evhtp_new(loop.base(), nullptr))
{
    evhtp_set_gencb(this->server, onRequest, this);
    evhtp_set_post_accept_cb(this->server, onAccepted, &this->limits);
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
    // Pausing stops reading; only a read tells that the caller has closed.
    bufferevent_enable(request->conn->bev, EV_READ);
    HttpResponder const responder(pending);
    bool returned = false;
    this->loop.runGuarded([&] {
        this->handler(toHttpRequest(request), responder);
        returned = true;
    });
    if (!returned)
        responder.answer({ 500, {}, refusalBody(ResultCode::Internal, "internal fault") });
}

} // namespace cornelpond
