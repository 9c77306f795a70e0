// The only translation unit that includes websocketpp.

#include "cornelpond/adapters/peer/WebSocket.h"

#include "cornelpond/core/base/ResultCode.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>

#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <variant>

namespace cornelpond {

namespace {

    constexpr size_t initialMaxMessageBytes = 4096;

    using Server = websocketpp::server<websocketpp::config::core>;
    using Client = websocketpp::client<websocketpp::config::core_client>;

    /// A socket address of either IP family.
    struct SocketAddress {
        sockaddr_storage storage {};
        int length = sizeof(sockaddr_storage);
    };

    std::string uriText(Address const& address)
    {
        return address.ip.find(':') == std::string::npos ? address.text() : "[" + address.ip + "]:" + std::to_string(address.port);
    }

    SocketAddress toSocketAddress(Address const& address)
    {
        SocketAddress result;
        auto* v4 = reinterpret_cast<sockaddr_in*>(&result.storage);
        auto* v6 = reinterpret_cast<sockaddr_in6*>(&result.storage);
        if (inet_pton(AF_INET, address.ip.c_str(), &v4->sin_addr) == 1) {
            v4->sin_family = AF_INET;
            v4->sin_port = htons(address.port);
            result.length = sizeof(sockaddr_in);
        } else if (inet_pton(AF_INET6, address.ip.c_str(), &v6->sin6_addr) == 1) {
            v6->sin6_family = AF_INET6;
            v6->sin6_port = htons(address.port);
            result.length = sizeof(sockaddr_in6);
        } else {
            throw Error(ResultCode::BadSettings, "not an IP number: " + address.ip);
        }
        return result;
    }

    void setNoDelay(int socket)
    {
        int const on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

    template <typename Endpoint>
    void disableLogging(Endpoint& endpoint)
    {
        endpoint.clear_access_channels(websocketpp::log::alevel::all);
        endpoint.clear_error_channels(websocketpp::log::elevel::all);
    }

} // namespace

struct WebSocketConnection::State {
    State(EventLoop& loop, WebSocketHooks hooks)
        : loop(loop)
        , hooks(std::move(hooks))
    {
    }

    ~State()
    {
        this->isClosed = true;
        if (this->buffer)
            bufferevent_free(this->buffer);
    }

    void attach(int socket)
    {
        this->buffer = bufferevent_socket_new(this->loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
        if (!this->buffer)
            throw Error(ResultCode::Internal, "cannot create a bufferevent");
        bufferevent_setcb(this->buffer, onReadable, nullptr, onEvent, this);
        bufferevent_enable(this->buffer, EV_READ | EV_WRITE);
    }

    template <typename Pointer>
    void setConnection(Pointer const& pointer)
    {
        this->connection = pointer;
        pointer->set_max_message_size(initialMaxMessageBytes);
        pointer->set_write_handler([this](websocketpp::connection_hdl const&, char const* bytes, size_t count) { return this->write(bytes, count); });
        pointer->set_open_handler([this](websocketpp::connection_hdl const&) {
            this->isOpen = true;
            this->hooks.onOpen();
        });
        pointer->set_message_handler([this](websocketpp::connection_hdl const&, auto const& message) {
            // An exception that left the handler would drop the rest of the bytes that were read with this message.
            if (!this->isClosed)
                this->loop.runGuarded([&] { this->hooks.onMessage(message->get_payload()); });
        });
        pointer->set_fail_handler([this](websocketpp::connection_hdl const&) { this->close("the handshake failed"); });
        pointer->set_close_handler([this](websocketpp::connection_hdl const&) { this->close("closed by the peer"); });
    }

    std::error_code write(char const* bytes, size_t count)
    {
        if (!this->isClosed) {
            bufferevent_write(this->buffer, bytes, count);
            this->bytesSent += count;
        }
        return {};
    }

    void read()
    {
        evbuffer* input = bufferevent_get_input(this->buffer);
        std::string bytes(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        this->bytesReceived += bytes.size();
        std::visit([&](auto const& pointer) { pointer->read_all(bytes.data(), bytes.size()); }, this->connection);
    }

    void close(std::string const& reason)
    {
        if (this->isClosed)
            return;
        this->isClosed = true;
        bufferevent_disable(this->buffer, EV_READ | EV_WRITE);
        this->hooks.onClosed(reason);
    }

    static void onReadable(bufferevent*, void* argument)
    {
        auto* state = static_cast<State*>(argument);
        if (!state->isClosed)
            state->loop.runGuarded([state] { state->read(); });
    }

    static void onEvent(bufferevent* buffer, short events, void* argument)
    {
        auto* state = static_cast<State*>(argument);
        if (state->isClosed)
            return;
        if (events & BEV_EVENT_CONNECTED) {
            setNoDelay(bufferevent_getfd(buffer));
            state->loop.runGuarded([state] { state->startClient(); });
        } else if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
            state->loop.runGuarded([state, events] { state->close(events & BEV_EVENT_EOF ? "closed by the peer" : "the connection broke"); });
        }
    }

    /// Sends the request of the WebSocket handshake; called once TCP is connected.
    void startClient()
    {
        auto const& pointer = std::get<Client::connection_ptr>(this->connection);
        this->client.connect(pointer);
    }

    EventLoop& loop;
    WebSocketHooks hooks;
    Server server;
    Client client;
    std::variant<Server::connection_ptr, Client::connection_ptr> connection;
    bufferevent* buffer = nullptr;
    bool isOpen = false;
    bool isClosed = false;
    uint64_t bytesSent = 0;
    uint64_t bytesReceived = 0;
};

WebSocketConnection::WebSocketConnection(std::unique_ptr<State> state)
    : state(std::move(state))
{
}

WebSocketConnection::~WebSocketConnection() = default;

std::unique_ptr<WebSocketConnection> WebSocketConnection::dial(EventLoop& loop, Address const& address, WebSocketHooks hooks)
{
    auto state = std::make_unique<State>(loop, std::move(hooks));
    disableLogging(state->client);
    websocketpp::lib::error_code error;
    Client::connection_ptr const pointer = state->client.get_connection("ws://" + uriText(address) + "/peer", error);
    if (error)
        throw Error(ResultCode::Unreachable, error.message());
    state->setConnection(pointer);
    state->attach(-1);
    SocketAddress const target = toSocketAddress(address);
    if (bufferevent_socket_connect(state->buffer, reinterpret_cast<sockaddr const*>(&target.storage), target.length) < 0)
        throw Error(ResultCode::Unreachable, "cannot connect to " + address.text());
    return std::unique_ptr<WebSocketConnection>(new WebSocketConnection(std::move(state)));
}

std::unique_ptr<WebSocketConnection> WebSocketConnection::accept(EventLoop& loop, int socket, WebSocketHooks hooks)
{
    setNoDelay(socket);
    auto state = std::make_unique<State>(loop, std::move(hooks));
    disableLogging(state->server);
    state->attach(socket);
    Server::connection_ptr const pointer = state->server.get_connection();
    state->setConnection(pointer);
    pointer->start();
    return std::unique_ptr<WebSocketConnection>(new WebSocketConnection(std::move(state)));
}

void WebSocketConnection::send(std::string const& bytes)
{
    if (!this->state->isOpen || this->state->isClosed)
        return;
    std::visit([&](auto const& pointer) { pointer->send(bytes, websocketpp::frame::opcode::binary); }, this->state->connection);
}

void WebSocketConnection::setMaxMessageBytes(size_t bytes)
{
    std::visit([&](auto const& pointer) { pointer->set_max_message_size(bytes); }, this->state->connection);
}

size_t WebSocketConnection::queuedBytes() const
{
    return evbuffer_get_length(bufferevent_get_output(this->state->buffer));
}

uint64_t WebSocketConnection::bytesSent() const
{
    return this->state->bytesSent;
}

uint64_t WebSocketConnection::bytesReceived() const
{
    return this->state->bytesReceived;
}

WebSocketListener::WebSocketListener(EventLoop& loop, Address const& address, OnAccept onAccept)
    : loop(loop)
    , onAccept(std::move(onAccept))
{
    SocketAddress const target = toSocketAddress(address);
    unsigned const flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC;
    this->listener = evconnlistener_new_bind(loop.base(), onSocket, this, flags, -1, reinterpret_cast<sockaddr const*>(&target.storage), target.length);
    if (!this->listener)
        throw Error(ResultCode::BadSettings, "cannot listen for peers on " + address.text());
    sockaddr_storage bound {};
    socklen_t length = sizeof(bound);
    getsockname(evconnlistener_get_fd(this->listener), reinterpret_cast<sockaddr*>(&bound), &length);
    // The port is at the same offset for both IP families.
    this->boundPort = ntohs(reinterpret_cast<sockaddr_in const*>(&bound)->sin_port);
}

WebSocketListener::~WebSocketListener()
{
    evconnlistener_free(this->listener);
}

void WebSocketListener::onSocket(evconnlistener*, int socket, sockaddr*, int, void* argument)
{
    auto* listener = static_cast<WebSocketListener*>(argument);
    listener->loop.runGuarded([&] { listener->onAccept(socket); });
}

} // namespace cornelpond
