#pragma once

// A small HTTP/1.1 server and client over loopback, with one thread a connection. Bodies have a Content-Length.
//
// Example:
//   HttpServer server("127.0.0.1", 8080, [](HttpMessage const& request) { return HttpAnswer { 200, "{}" }; });
//   std::optional<HttpAnswer> answer = call("127.0.0.1:8080", "GET", "/x", {}, "", 1000);

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using HttpFields = std::map<std::string, std::string>; ///< Names in lower case.

struct HttpMessage {
    std::string method;
    std::string path;
    HttpFields fields;
    std::string body;
};

struct HttpAnswer {
    int status = 0;
    std::string body;
};

/// Milliseconds of the steady clock.
int64_t steadyMs();
/// Milliseconds since 1970.
int64_t wallMs();
void sleepMs(int64_t milliseconds);

class HttpServer {
public:
    /// Returns the answer; nothing to close the connection without one.
    using Handler = std::function<std::optional<HttpAnswer>(HttpMessage const&)>;

    /// Throws std::runtime_error when the address is not free.
    HttpServer(std::string const& ip, uint16_t port, Handler handler);
    ~HttpServer();
    HttpServer(HttpServer const&) = delete;
    HttpServer& operator=(HttpServer const&) = delete;

    /// Closes the listener and all connections, as the end of a process does.
    void close();

private:
    void accept();
    void serve(int socket);

    Handler handler;
    int listener = -1;
    std::atomic<bool> isClosing { false };
    std::mutex mutex;
    std::set<int> sockets;
    std::vector<std::thread> threads;
    std::thread acceptor;
};

/// Sends one request on a connection of its own. Nothing when there was no complete answer within the time.
std::optional<HttpAnswer> call(std::string const& address, std::string const& method, std::string const& path, HttpFields const& fields, std::string const& body, int64_t timeoutMs);

} // namespace review
