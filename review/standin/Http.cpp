#include "review/standin/Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

    using Clock = std::chrono::steady_clock;

    sockaddr_in addressOf(std::string const& ip, uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        return address;
    }

    bool sendAll(int socket, std::string const& bytes)
    {
        size_t sent = 0;
        while (sent < bytes.size()) {
            ssize_t const count = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<size_t>(count);
        }
        return true;
    }

    std::string lowerCase(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(), [](unsigned char byte) { return static_cast<char>(std::tolower(byte)); });
        return text;
    }

    /// One message: its first line, headers and body.
    struct Message {
        std::string firstLine;
        std::map<std::string, std::string> headers;
        std::string body;
    };

    /// Reads messages from a socket. Nothing once the connection has ended or the deadline has passed.
    class Reader {
    public:
        explicit Reader(int socket, std::atomic<bool> const* isAborted = nullptr)
            : socket(socket)
            , isAborted(isAborted)
        {
        }

        std::optional<Message> next(std::optional<Clock::time_point> deadline)
        {
            size_t headerEnd = 0;
            while ((headerEnd = this->pending.find("\r\n\r\n")) == std::string::npos) {
                if (!this->readMore(deadline))
                    return std::nullopt;
            }
            Message message = parseHeader(this->pending.substr(0, headerEnd));
            this->pending.erase(0, headerEnd + 4);
            auto const length = message.headers.find("content-length");
            size_t const bytes = length == message.headers.end() ? 0 : std::stoul(length->second);
            while (this->pending.size() < bytes) {
                if (!this->readMore(deadline))
                    return std::nullopt;
            }
            message.body = this->pending.substr(0, bytes);
            this->pending.erase(0, bytes);
            return message;
        }

    private:
        static Message parseHeader(std::string const& text)
        {
            Message message;
            size_t start = text.find("\r\n");
            message.firstLine = text.substr(0, start);
            while (start != std::string::npos) {
                start += 2;
                size_t const end = text.find("\r\n", start);
                std::string const line = text.substr(start, end == std::string::npos ? end : end - start);
                size_t const colon = line.find(':');
                if (colon != std::string::npos) {
                    size_t const value = line.find_first_not_of(' ', colon + 1);
                    message.headers[lowerCase(line.substr(0, colon))] = value == std::string::npos ? std::string() : line.substr(value);
                }
                start = end;
            }
            return message;
        }

        bool readMore(std::optional<Clock::time_point> deadline)
        {
            constexpr int pollMs = 20;
            pollfd entry { this->socket, POLLIN, 0 };
            while (poll(&entry, 1, deadline ? pollMs : -1) <= 0) {
                if ((deadline && Clock::now() >= *deadline) || (this->isAborted && *this->isAborted))
                    return false;
            }
            char buffer[16384];
            ssize_t const count = recv(this->socket, buffer, sizeof(buffer), 0);
            if (count <= 0)
                return false;
            this->pending.append(buffer, static_cast<size_t>(count));
            return true;
        }

        int socket;
        std::atomic<bool> const* isAborted;
        std::string pending;
    };

} // namespace

int listenOn(std::string const& ip, uint16_t port)
{
    constexpr int backlog = 256;
    int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in const address = addressOf(ip, port);
    if (bind(socket, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) || listen(socket, backlog)) {
        close(socket);
        throw std::runtime_error("cannot listen on " + ip + ":" + std::to_string(port));
    }
    return socket;
}

uint16_t portOf(int socket)
{
    sockaddr_in address {};
    socklen_t length = sizeof(address);
    getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length);
    return ntohs(address.sin_port);
}

int connectTo(Endpoint const& to, Milliseconds timeout)
{
    int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in const address = addressOf(to.ip, to.port);
    int error = connect(socket, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) ? errno : 0;
    if (error == EINPROGRESS) {
        pollfd entry { socket, POLLOUT, 0 };
        socklen_t length = sizeof(error);
        if (poll(&entry, 1, static_cast<int>(timeout.count())) != 1 || getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &length))
            error = ETIMEDOUT;
    }
    if (error) {
        close(socket);
        return -1;
    }
    fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) & ~O_NONBLOCK);
    int const on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return socket;
}

Response call(Endpoint const& to, Request const& request, Milliseconds timeout, std::atomic<bool> const* isAborted)
{
    Clock::time_point const deadline = Clock::now() + timeout;
    int const socket = connectTo(to, timeout);
    if (socket < 0)
        return {};
    std::string text = request.method + " " + request.path + " HTTP/1.1\r\n";
    if (!request.headers.count("host"))
        text += "Host: " + to.text() + "\r\n";
    for (auto const& [name, value] : request.headers)
        text.append(name).append(": ").append(value).append("\r\n");
    text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(request.body.size()) + "\r\nConnection: close\r\n\r\n" + request.body;
    Response response;
    if (sendAll(socket, text)) {
        Reader reader(socket, isAborted);
        if (auto const message = reader.next(deadline)) {
            size_t const space = message->firstLine.find(' ');
            response.status = space == std::string::npos ? 0 : std::atoi(message->firstLine.c_str() + space); // NOLINT(cert-err34-c)
            response.body = message->body;
        }
    }
    close(socket);
    return response;
}

Server::Server(std::string const& ip, uint16_t port, Handler handler)
    : handler(std::move(handler))
    , listener(listenOn(ip, port))
    , boundPort(portOf(this->listener))
    , acceptor([this] { this->acceptAll(); })
{
}

Server::~Server()
{
    this->isClosing = true;
    shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    close(this->listener);
    {
        std::lock_guard<std::mutex> const lock(this->mutex);
        for (int const socket : this->sockets)
            shutdown(socket, SHUT_RDWR);
    }
    for (auto& thread : this->threads)
        thread.join();
}

void Server::acceptAll()
{
    while (!this->isClosing) {
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

void Server::serve(int socket)
{
    Reader reader(socket);
    while (!this->isClosing) {
        auto const message = reader.next(std::nullopt);
        if (!message)
            break;
        Request request;
        size_t const first = message->firstLine.find(' ');
        size_t const second = message->firstLine.find(' ', first + 1);
        request.method = message->firstLine.substr(0, first);
        request.path = message->firstLine.substr(first + 1, second - first - 1);
        request.headers = message->headers;
        request.body = message->body;
        Response const response = this->handler(request);
        if (this->isClosing || !response.status)
            break;
        std::string const text = "HTTP/1.1 " + std::to_string(response.status) + " Answer\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
        if (!sendAll(socket, text))
            break;
    }
    std::lock_guard<std::mutex> const lock(this->mutex);
    this->sockets.erase(socket);
    close(socket);
}

} // namespace review
