#pragma once

// A small blocking HTTP/1.1 client and server for the stand-ins.
//
// Example:
//   Server server("127.0.0.1", [](Request const& request) { return Response { 200, "{}" }; });
//   Response const answer = call({ "127.0.0.1", server.port() }, { "GET", "/", {}, "" }, std::chrono::seconds(1));

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Milliseconds = std::chrono::milliseconds;

struct Endpoint {
    std::string ip;
    uint16_t port = 0;

    std::string text() const { return this->ip + ":" + std::to_string(this->port); }
};

struct Request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

struct Response {
    int status = 0; ///< 0: no complete answer.
    std::string body;
};

/// Opens a connection, sends one request and reads the answer. Gives up at once when `isAborted` becomes true.
Response call(Endpoint const& to, Request const& request, Milliseconds timeout, std::atomic<bool> const* isAborted = nullptr);

/// A listening socket; throws std::runtime_error when the address is in use. Port 0 chooses a free one.
int listenOn(std::string const& ip, uint16_t port);
uint16_t portOf(int socket);
/// A connected socket, or -1.
int connectTo(Endpoint const& to, Milliseconds timeout);

class Server {
public:
    using Handler = std::function<Response(Request const&)>;

    Server(std::string const& ip, uint16_t port, Handler handler);
    /// Closes all connections at once, as the end of a process does.
    ~Server();
    Server(Server const&) = delete;
    Server& operator=(Server const&) = delete;

    uint16_t port() const { return this->boundPort; }

private:
    void acceptAll();
    void serve(int socket);

    Handler handler;
    int listener;
    uint16_t boundPort;
    std::atomic<bool> isClosing { false };
    std::mutex mutex;
    std::set<int> sockets;
    std::vector<std::thread> threads;
    std::thread acceptor;
};

} // namespace review
