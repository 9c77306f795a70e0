#pragma once

// WebSocket connections and listeners on the event loop: websocketpp's iostream transport over non-blocking sockets.
// Binary messages only. What is sent in one turn of the loop is written at its end, in one call.
//
// Example:
//   auto connection = WebSocketConnection::dial(loop, { "127.0.0.1", 7003 }, hooks);
//   connection->send(bytes);
//
// Loop thread only. Hooks may call any function of the connection but must not destroy it; destroy it
// later from the loop.

#include "cornelpond/adapters/http/HttpTypes.h"
#include "cornelpond/adapters/runtime/EventLoop.h"

#include <functional>
#include <memory>
#include <string>

struct evconnlistener;
struct sockaddr;

namespace cornelpond {

struct WebSocketHooks {
    std::function<void()> onOpen; ///< The WebSocket handshake is done.
    std::function<void(std::string const& bytes)> onMessage;
    std::function<void(std::string const& reason)> onClosed; ///< Called once; no other hook is called after it.
};

class WebSocketConnection {
public:
    /// Starts to connect. Throws Error(Unreachable) when that fails at once.
    static std::unique_ptr<WebSocketConnection> dial(EventLoop& loop, Address const& address, WebSocketHooks hooks);

    /// Takes ownership of an accepted socket and answers its WebSocket handshake.
    static std::unique_ptr<WebSocketConnection> accept(EventLoop& loop, int socket, WebSocketHooks hooks);

    ~WebSocketConnection(); ///< Closes without calling a hook.
    WebSocketConnection(WebSocketConnection const&) = delete;
    WebSocketConnection& operator=(WebSocketConnection const&) = delete;

    /// Queues one binary message. Does nothing before onOpen or after onClosed.
    void send(std::string const& bytes);

    /// A longer message closes the connection. Until this is called, the limit is 4096 bytes.
    void setMaxMessageBytes(size_t bytes);

    /// Bytes that wait to be written to the socket.
    size_t queuedBytes() const;

    /// All bytes written (queued ones included) and read, with the handshake and the frame headers.
    uint64_t bytesSent() const;
    uint64_t bytesReceived() const;

    /// System calls that read or wrote bytes.
    uint64_t readCalls() const;
    uint64_t writeCalls() const;

    struct State; ///< Defined in the source file.

private:
    explicit WebSocketConnection(std::unique_ptr<State> state);

    std::unique_ptr<State> state;
};

class WebSocketListener {
public:
    using OnAccept = std::function<void(int socket)>; ///< The callee owns the socket.

    /// Throws Error(BadSettings) when the address cannot be bound.
    WebSocketListener(EventLoop& loop, Address const& address, OnAccept onAccept);
    ~WebSocketListener();
    WebSocketListener(WebSocketListener const&) = delete;
    WebSocketListener& operator=(WebSocketListener const&) = delete;

    uint16_t port() const { return this->boundPort; }

private:
    static void onSocket(evconnlistener*, int socket, sockaddr*, int, void* argument);

    EventLoop& loop;
    OnAccept onAccept;
    evconnlistener* listener = nullptr;
    uint16_t boundPort = 0;
};

} // namespace cornelpond
