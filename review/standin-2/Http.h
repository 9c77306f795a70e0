#pragma once

// A small HTTP/1.1 server and client over blocking sockets, one thread for each connection. For stand-ins only.
//
// Example:
//   HttpServer server("127.0.0.1", 8080, [](HttpCall const& call) { return HttpReply { 200, "{}" }; });
//   HttpReply const reply = callHttp("127.0.0.1", 8080, { "GET", "/state", "", "" }, 1000);

#include <functional>
#include <memory>
#include <string>

namespace review {

struct HttpCall {
    std::string method;
    std::string path;
    std::string host; ///< Empty in a call to be sent: the address.
    std::string body;
    std::string expectedInstance; ///< X-Expected-Instance of a received call.
};

struct HttpReply {
    int status = 0; ///< 0: no answer; from a server's handler: the connection is closed without one.
    std::string body;
};

class HttpServer {
public:
    using Handler = std::function<HttpReply(HttpCall const&)>;

    /// Throws std::runtime_error when it cannot listen.
    HttpServer(std::string const& ip, int port, Handler handler);
    /// Closes all connections.
    ~HttpServer();
    HttpServer(HttpServer const&) = delete;
    HttpServer& operator=(HttpServer const&) = delete;

private:
    struct Shared;
    std::shared_ptr<Shared> shared;
};

HttpReply callHttp(std::string const& ip, int port, HttpCall const& call, int timeoutMs);

} // namespace review
