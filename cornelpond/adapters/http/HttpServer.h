#pragma once

// An HTTP/1.1 server on libevhtp. A handler may answer its request later; the answer is discarded when the
// client has disconnected by then.
//
// Example:
//   HttpServer server(loop, HttpLimits(), [](HttpRequest request, HttpResponder responder) {
//       responder.answer({ 200, {}, "hello" });
//   });
//   uint16_t const port = server.listen({ "127.0.0.1", 0 });
//
// Loop thread only.

#include "cornelpond/adapters/http/HttpTypes.h"
#include "cornelpond/adapters/runtime/EventLoop.h"

#include <cstdint>
#include <functional>
#include <memory>

struct evhtp;
struct evhtp_connection;
struct evhtp_request;

namespace cornelpond {

struct HttpLimits {
    size_t maxBodyBytes = 1024 * 1024;
    size_t maxHeaderBytes = 16 * 1024;
    Duration idleTimeout = Duration::seconds(60);
    size_t maxConnections = SIZE_MAX; ///< Open at once; further ones get a refusal and are closed. Each takes a file descriptor.
};

namespace internal {
    struct PendingRequest;
    struct ServerConnections;
} // namespace internal

/// Answers one request. Copies refer to the same request; only the first answer is sent.
class HttpResponder {
public:
    explicit HttpResponder(std::shared_ptr<internal::PendingRequest> pending)
        : pending(std::move(pending))
    {
    }

    /// Does nothing when the client has disconnected or the request was answered.
    void answer(HttpResponse const& response) const;

    /// Calls `callback` once when the client disconnects before the answer.
    void onClientDisconnected(std::function<void()> callback) const;

    bool isClientDisconnected() const;

private:
    std::shared_ptr<internal::PendingRequest> pending;
};

class HttpServer {
public:
    using Handler = std::function<void(HttpRequest request, HttpResponder responder)>;

    /// `loop` must outlive the server.
    HttpServer(EventLoop& loop, HttpLimits limits, Handler handler);
    ~HttpServer();
    HttpServer(HttpServer const&) = delete;
    HttpServer& operator=(HttpServer const&) = delete;

    /// Returns the bound port (useful for port 0). Throws Error(BadSettings) when it cannot be bound.
    uint16_t listen(Address const& address);

    /// Accepts no further connections; open requests can still be answered.
    void stopListening();

    /// Received requests that libevhtp has not freed or that a responder still refers to.
    size_t openRequests() const { return this->openRequestCount; }

    size_t openConnections() const;
    uint64_t refusedConnections() const; ///< At the bound, since the server was made.

    /// While true, each answer closes its connection.
    void setClosing(bool closing) { this->isClosing = closing; }

private:
    friend struct internal::PendingRequest;
    friend class HttpResponder;

    static void onRequest(evhtp_request* request, void* argument);
    void handle(evhtp_request* request);

    EventLoop& loop;
    Handler handler;
    evhtp* server;
    size_t openRequestCount = 0;
    std::shared_ptr<internal::ServerConnections> connections;
    bool isListening = false;
    bool isClosing = false;
};

} // namespace cornelpond
