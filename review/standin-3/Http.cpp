#include "review/standin-3/Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

    sockaddr_in socketAddress(std::string const& ip, uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        return address;
    }

    std::string lowerCase(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(), [](unsigned char byte) { return static_cast<char>(std::tolower(byte)); });
        return text;
    }

    bool waitFor(int socket, int16_t events, int64_t deadlineMs)
    {
        while (true) {
            int64_t const left = deadlineMs - steadyMs();
            if (left <= 0)
                return false;
            pollfd entry { socket, events, 0 };
            int const ready = poll(&entry, 1, static_cast<int>(left));
            if (ready > 0)
                return true;
            if (ready < 0 && errno != EINTR)
                return false;
        }
    }

    bool sendAll(int socket, std::string const& bytes, int64_t deadlineMs)
    {
        size_t sent = 0;
        while (sent < bytes.size()) {
            if (!waitFor(socket, POLLOUT, deadlineMs))
                return false;
            ssize_t const count = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count <= 0 && errno != EAGAIN)
                return false;
            sent += static_cast<size_t>(std::max<ssize_t>(count, 0));
        }
        return true;
    }

    /// Reads one message. `firstLine`: the request line or the status line. False at the end of the connection.
    bool readMessage(int socket, std::string& buffer, std::string& firstLine, HttpFields& fields, std::string& body, int64_t deadlineMs)
    {
        size_t headerEnd = std::string::npos;
        size_t length = 0;
        while (true) {
            if (headerEnd == std::string::npos) {
                headerEnd = buffer.find("\r\n\r\n");
                if (headerEnd != std::string::npos) {
                    std::string const header = buffer.substr(0, headerEnd + 2);
                    size_t at = header.find("\r\n");
                    firstLine = header.substr(0, at);
                    while (at + 2 < header.size()) {
                        size_t const end = header.find("\r\n", at + 2);
                        std::string const line = header.substr(at + 2, end - at - 2);
                        size_t const colon = line.find(':');
                        if (colon != std::string::npos) {
                            size_t const value = line.find_first_not_of(' ', colon + 1);
                            fields[lowerCase(line.substr(0, colon))] = value == std::string::npos ? std::string() : line.substr(value);
                        }
                        at = end;
                    }
                    auto const found = fields.find("content-length");
                    length = found == fields.end() ? 0 : std::stoul(found->second);
                }
            }
            if (headerEnd != std::string::npos && buffer.size() >= headerEnd + 4 + length) {
                body = buffer.substr(headerEnd + 4, length);
                buffer.erase(0, headerEnd + 4 + length);
                return true;
            }
            if (!waitFor(socket, POLLIN, deadlineMs))
                return false;
            char bytes[16384];
            ssize_t const count = recv(socket, bytes, sizeof(bytes), MSG_DONTWAIT);
            if (count == 0 || (count < 0 && errno != EAGAIN))
                return false;
            buffer.append(bytes, static_cast<size_t>(std::max<ssize_t>(count, 0)));
        }
    }

} // namespace

int64_t steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void sleepMs(int64_t milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

HttpServer::HttpServer(std::string const& ip, uint16_t port, Handler handler)
    : handler(std::move(handler))
    , listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    int const on = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in const address = socketAddress(ip, port);
    if (bind(this->listener, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) != 0 || ::listen(this->listener, 128) != 0) {
        ::close(this->listener);
        throw std::runtime_error("cannot listen on " + ip + ":" + std::to_string(port));
    }
    this->acceptor = std::thread([this] { this->accept(); });
}

HttpServer::~HttpServer()
{
    this->close();
}

void HttpServer::close()
{
    if (this->isClosing.exchange(true))
        return;
    this->acceptor.join();
    ::close(this->listener);
    std::vector<std::thread> ending;
    {
        std::lock_guard<std::mutex> const lock(this->mutex);
        for (int const socket : this->sockets)
            shutdown(socket, SHUT_RDWR);
        ending.swap(this->threads);
    }
    for (auto& thread : ending)
        thread.join();
}

void HttpServer::accept()
{
    constexpr int64_t checkMs = 50;
    while (!this->isClosing) {
        if (!waitFor(this->listener, POLLIN, steadyMs() + checkMs))
            continue;
        int const socket = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            continue;
        int const on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::lock_guard<std::mutex> const lock(this->mutex);
        this->sockets.insert(socket);
        this->threads.emplace_back([this, socket] { this->serve(socket); });
    }
}

void HttpServer::serve(int socket)
{
    constexpr int64_t idleMs = 120 * 1000;
    constexpr int64_t sendMs = 5000;
    std::string buffer;
    while (!this->isClosing) {
        HttpMessage request;
        std::string line;
        if (!readMessage(socket, buffer, line, request.fields, request.body, steadyMs() + idleMs))
            break;
        size_t const first = line.find(' ');
        size_t const second = line.find(' ', first + 1);
        if (first == std::string::npos || second == std::string::npos)
            break;
        request.method = line.substr(0, first);
        request.path = line.substr(first + 1, second - first - 1);
        std::optional<HttpAnswer> const answer = this->handler(request);
        if (!answer)
            break;
        std::string const text = "HTTP/1.1 " + std::to_string(answer->status) + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(answer->body.size()) + "\r\n\r\n" + answer->body;
        if (!sendAll(socket, text, steadyMs() + sendMs))
            break;
    }
    std::lock_guard<std::mutex> const lock(this->mutex);
    this->sockets.erase(socket);
    ::close(socket);
}

std::optional<HttpAnswer> call(std::string const& address, std::string const& method, std::string const& path, HttpFields const& fields, std::string const& body, int64_t timeoutMs)
{
    int64_t const deadlineMs = steadyMs() + timeoutMs;
    size_t const colon = address.find(':');
    sockaddr_in const to = socketAddress(address.substr(0, colon), static_cast<uint16_t>(std::stoul(address.substr(colon + 1))));
    int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (socket < 0)
        return std::nullopt;
    std::optional<HttpAnswer> result;
    int const connected = connect(socket, reinterpret_cast<sockaddr const*>(&to), sizeof(to));
    if ((connected == 0 || errno == EINPROGRESS) && waitFor(socket, POLLOUT, deadlineMs)) {
        std::string text = method + ' ' + path + " HTTP/1.1\r\n";
        for (auto const& [name, value] : fields)
            text.append(name).append(": ").append(value).append("\r\n");
        text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::string buffer;
        std::string line;
        HttpFields answered;
        HttpAnswer answer;
        if (sendAll(socket, text, deadlineMs) && readMessage(socket, buffer, line, answered, answer.body, deadlineMs) && line.size() > 12) {
            answer.status = std::stoi(line.substr(9, 3));
            result = answer;
        }
    }
    ::close(socket);
    return result;
}

} // namespace review
