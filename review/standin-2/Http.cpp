#include "Http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <mutex>
#include <set>
#include <stdexcept>
#include <thread>

namespace review {

namespace {

    using Clock = std::chrono::steady_clock;

    sockaddr_in socketAddress(std::string const& ip, int port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        return address;
    }

    bool sendAll(int socket, std::string const& bytes)
    {
        size_t sent = 0;
        while (sent < bytes.size()) {
            ssize_t const count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<size_t>(count);
        }
        return true;
    }

    /// The value of a header field in the header block; empty if there is none.
    std::string headerValue(std::string const& header, std::string const& name)
    {
        size_t at = 0;
        while ((at = header.find("\r\n", at)) != std::string::npos) {
            at += 2;
            if (strncasecmp(header.c_str() + at, name.c_str(), name.size()) != 0 || header[at + name.size()] != ':')
                continue;
            size_t const begin = header.find_first_not_of(' ', at + name.size() + 1);
            return header.substr(begin, header.find("\r\n", begin) - begin);
        }
        return std::string();
    }

    /// Reads one message with a Content-Length, or without a body, into `header` and `body`. False at the end of the connection
    /// or after the deadline.
    bool readMessage(int socket, std::string& buffer, std::string& header, std::string& body, Clock::time_point deadline)
    {
        size_t headerEnd = std::string::npos;
        size_t length = 0;
        for (;;) {
            if (headerEnd == std::string::npos && (headerEnd = buffer.find("\r\n\r\n")) != std::string::npos) {
                header = buffer.substr(0, headerEnd + 2);
                std::string const given = headerValue(header, "Content-Length");
                length = given.empty() ? 0 : std::stoul(given);
            }
            if (headerEnd != std::string::npos && buffer.size() >= headerEnd + 4 + length) {
                body = buffer.substr(headerEnd + 4, length);
                buffer.erase(0, headerEnd + 4 + length);
                return true;
            }
            auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count();
            pollfd ready { socket, POLLIN, 0 };
            if (left <= 0 || ::poll(&ready, 1, static_cast<int>(left)) <= 0)
                return false;
            char bytes[16384];
            ssize_t const count = ::recv(socket, bytes, sizeof(bytes), 0);
            if (count <= 0)
                return false;
            buffer.append(bytes, static_cast<size_t>(count));
        }
    }

} // namespace

struct HttpServer::Shared {
    int listener = -1;
    Handler handler;
    std::mutex mutex;
    std::set<int> sockets;
    bool isClosed = false;

    void serve(int socket)
    {
        std::string buffer;
        std::string header;
        std::string body;
        while (readMessage(socket, buffer, header, body, Clock::now() + std::chrono::hours(1))) {
            HttpCall call;
            size_t const methodEnd = header.find(' ');
            call.method = header.substr(0, methodEnd);
            call.path = header.substr(methodEnd + 1, header.find(' ', methodEnd + 1) - methodEnd - 1);
            call.host = headerValue(header, "Host");
            call.expectedInstance = headerValue(header, "X-Expected-Instance");
            call.body = body;
            HttpReply const reply = this->handler(call);
            std::string const text = "HTTP/1.1 " + std::to_string(reply.status) + " -\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body;
            if (!reply.status || !sendAll(socket, text))
                break;
        }
        std::lock_guard<std::mutex> const lock(this->mutex);
        this->sockets.erase(socket);
        ::close(socket);
    }
};

HttpServer::HttpServer(std::string const& ip, int port, Handler handler)
    : shared(std::make_shared<Shared>())
{
    this->shared->handler = std::move(handler);
    this->shared->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    setsockopt(this->shared->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in const address = socketAddress(ip, port);
    if (::bind(this->shared->listener, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) < 0 || ::listen(this->shared->listener, 256) < 0)
        throw std::runtime_error("cannot listen on " + ip + ": " + std::strerror(errno));
    std::thread([shared = this->shared] {
        for (;;) {
            int const socket = ::accept4(shared->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                return;
            int const noDelay = 1;
            setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
            std::lock_guard<std::mutex> const lock(shared->mutex);
            if (shared->isClosed) {
                ::close(socket);
                return;
            }
            shared->sockets.insert(socket);
            std::thread([shared, socket] { shared->serve(socket); }).detach();
        }
    }).detach();
}

HttpServer::~HttpServer()
{
    std::lock_guard<std::mutex> const lock(this->shared->mutex);
    this->shared->isClosed = true;
    ::shutdown(this->shared->listener, SHUT_RDWR);
    ::close(this->shared->listener);
    for (int const socket : this->shared->sockets)
        ::shutdown(socket, SHUT_RDWR);
}

HttpReply callHttp(std::string const& ip, int port, HttpCall const& call, int timeoutMs)
{
    auto const deadline = Clock::now() + std::chrono::milliseconds(timeoutMs);
    int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval const limit { timeoutMs / 1000, timeoutMs % 1000 * 1000 };
    setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    sockaddr_in const address = socketAddress(ip, port);
    HttpReply reply;
    std::string const text = call.method + ' ' + call.path + " HTTP/1.1\r\nHost: " + (call.host.empty() ? ip : call.host)
        + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " + std::to_string(call.body.size()) + "\r\n\r\n" + call.body;
    std::string buffer;
    std::string header;
    bool const isAnswered = ::connect(socket, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) == 0 && sendAll(socket, text) && readMessage(socket, buffer, header, reply.body, deadline);
    ::close(socket);
    if (isAnswered)
        reply.status = std::stoi(header.substr(header.find(' ') + 1));
    return reply;
}

} // namespace review
