// The only translation unit that includes websocketpp.

#include "cornelpond/adapters/peer/WebSocket.h"

#include "cornelpond/core/base/ResultCode.h"

#include <event2/event.h>
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
#include <unistd.h>

#include <array>
#include <cerrno>
#include <variant>

namespace cornelpond {

namespace {

    constexpr size_t initialMaxMessageBytes = 4096;
    /// Read at once from a socket. With smaller pieces a busy link wakes the loop for each of them.
    constexpr size_t readBufferBytes = 64 * 1024;
    constexpr size_t maxRetainedOutputBytes = 1024 * 1024; ///< A larger output buffer is freed once it is empty.

    using Server = websocketpp::server<websocketpp::config::core>;
    using Client = websocketpp::client<websocketpp::config::core_client>;

    /// A socket address of either IP family.
    struct SocketAddress {
        sockaddr_storage storage {};
        socklen_t length = sizeof(sockaddr_storage);
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

/// Reads once for each time that the socket becomes readable and writes once in a turn of the loop, whatever the number
/// of messages: bufferevents read pieces of 4 KiB and need three system calls for a write.
struct WebSocketConnection::State {
    State(EventLoop& loop, WebSocketHooks hooks)
        : loop(loop)
        , hooks(std::move(hooks))
    {
    }

    ~State()
    {
        this->isClosed = true;
        for (event* handle : { this->readEvent, this->writeEvent, this->flushEvent }) {
            if (handle)
                event_free(handle);
        }
        if (this->socket >= 0)
            ::close(this->socket);
    }

    /// Takes ownership of the socket.
    void attach(int newSocket)
    {
        this->socket = newSocket;
        evutil_make_socket_nonblocking(newSocket);
        evutil_make_socket_closeonexec(newSocket);
        setNoDelay(newSocket);
        this->readEvent = event_new(this->loop.base(), newSocket, EV_READ | EV_PERSIST, onReadable, this);
        this->writeEvent = event_new(this->loop.base(), newSocket, EV_WRITE, onWritable, this);
        this->flushEvent = event_new(this->loop.base(), -1, 0, onFlushDue, this);
        if (!this->readEvent || !this->writeEvent || !this->flushEvent)
            throw Error(ResultCode::Internal, "cannot create the events of a connection");
    }

    /// Starts to connect; the handshake follows once the socket is writable.
    void connect(Address const& address)
    {
        SocketAddress const target = toSocketAddress(address);
        int const newSocket = ::socket(target.storage.ss_family, SOCK_STREAM, 0);
        if (newSocket < 0)
            throw Error(ResultCode::Unreachable, "cannot create a socket");
        this->attach(newSocket);
        if (::connect(newSocket, reinterpret_cast<sockaddr const*>(&target.storage), target.length) < 0 && errno != EINPROGRESS)
            throw Error(ResultCode::Unreachable, "cannot connect to " + address.text());
        this->isConnecting = true;
        event_add(this->writeEvent, nullptr);
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
        if (this->isClosed)
            return {};
        if (!this->queuedBytes())
            event_active(this->flushEvent, 0, 0);
        this->output.append(bytes, count);
        this->bytesSent += count;
        return {};
    }

    size_t queuedBytes() const { return this->output.size() - this->writtenOutputBytes; }

    /// Writes what the socket accepts, and waits until it accepts more.
    void flush()
    {
        while (this->queuedBytes()) {
            ssize_t const count = ::send(this->socket, this->output.data() + this->writtenOutputBytes, this->queuedBytes(), MSG_NOSIGNAL | MSG_DONTWAIT);
            this->writeCalls++;
            if (count < 0 && errno == EINTR)
                continue;
            if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
                event_add(this->writeEvent, nullptr);
                break;
            }
            if (count < 0) {
                this->close("the connection broke");
                return;
            }
            this->writtenOutputBytes += static_cast<size_t>(count);
        }
        this->discardWrittenOutput();
    }

    void discardWrittenOutput()
    {
        if (this->writtenOutputBytes < this->output.size() / 2)
            return; // Moving the rest to the front after every write would cost more than the memory.
        this->output.erase(0, this->writtenOutputBytes);
        this->writtenOutputBytes = 0;
        if (this->output.empty() && this->output.capacity() > maxRetainedOutputBytes)
            this->output.shrink_to_fit();
    }

    void read()
    {
        // Shared by all connections: read_all() copies the bytes.
        static thread_local std::array<char, readBufferBytes> buffer;
        ssize_t const count = ::recv(this->socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
            return;
        if (count <= 0) {
            this->close(count ? "the connection broke" : "closed by the peer");
            return;
        }
        this->readCalls++;
        this->bytesReceived += static_cast<size_t>(count);
        std::visit([&](auto const& pointer) { pointer->read_all(buffer.data(), static_cast<size_t>(count)); }, this->connection);
    }

    void onConnected()
    {
        this->isConnecting = false;
        int error = 0;
        socklen_t length = sizeof(error);
        if (getsockopt(this->socket, SOL_SOCKET, SO_ERROR, &error, &length) < 0 || error) {
            this->close("the connection broke");
            return;
        }
        event_add(this->readEvent, nullptr);
        this->startClient();
    }

    void close(std::string const& reason)
    {
        if (this->isClosed)
            return;
        this->isClosed = true;
        for (event* handle : { this->readEvent, this->writeEvent, this->flushEvent })
            event_del(handle);
        this->hooks.onClosed(reason);
    }

    static void onReadable(evutil_socket_t, short, void* argument)
    {
        auto* state = static_cast<State*>(argument);
        if (!state->isClosed)
            state->loop.runGuarded([state] { state->read(); });
    }

    static void onWritable(evutil_socket_t, short, void* argument)
    {
        auto* state = static_cast<State*>(argument);
        if (!state->isClosed)
            state->loop.runGuarded([state] { state->isConnecting ? state->onConnected() : state->flush(); });
    }

    static void onFlushDue(evutil_socket_t, short, void* argument)
    {
        auto* state = static_cast<State*>(argument);
        if (!state->isClosed)
            state->loop.runGuarded([state] { state->flush(); });
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
    int socket = -1;
    event* readEvent = nullptr;
    event* writeEvent = nullptr;
    event* flushEvent = nullptr; ///< Activated by the first write of a turn of the loop.
    std::string output; ///< Accepted for sending; the first `writtenOutputBytes` are written.
    size_t writtenOutputBytes = 0;
    bool isConnecting = false;
    bool isOpen = false;
    bool isClosed = false;
    uint64_t bytesSent = 0;
    uint64_t bytesReceived = 0;
    uint64_t readCalls = 0;
    uint64_t writeCalls = 0;
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
    state->connect(address);
    return std::unique_ptr<WebSocketConnection>(new WebSocketConnection(std::move(state)));
}

std::unique_ptr<WebSocketConnection> WebSocketConnection::accept(EventLoop& loop, int socket, WebSocketHooks hooks)
{
    auto state = std::make_unique<State>(loop, std::move(hooks));
    disableLogging(state->server);
    state->attach(socket);
    event_add(state->readEvent, nullptr);
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
    return this->state->queuedBytes();
}

uint64_t WebSocketConnection::bytesSent() const
{
    return this->state->bytesSent;
}

uint64_t WebSocketConnection::bytesReceived() const
{
    return this->state->bytesReceived;
}

uint64_t WebSocketConnection::readCalls() const
{
    return this->state->readCalls;
}

uint64_t WebSocketConnection::writeCalls() const
{
    return this->state->writeCalls;
}

WebSocketListener::WebSocketListener(EventLoop& loop, Address const& address, OnAccept onAccept)
    : loop(loop)
    , onAccept(std::move(onAccept))
{
    SocketAddress const target = toSocketAddress(address);
    unsigned const flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC;
    this->listener = evconnlistener_new_bind(loop.base(), onSocket, this, flags, -1, reinterpret_cast<sockaddr const*>(&target.storage), static_cast<int>(target.length));
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
