#include "review/standin/Proxy.h"

#include <array>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

    constexpr Milliseconds cutPollInterval = Milliseconds(5);
    constexpr int pollMs = 20;
    constexpr Milliseconds connectTimeout = Milliseconds(1000);

    /// Passes on what has arrived; false once the connection has ended.
    bool passOn(int from, int to)
    {
        std::array<char, 16384> buffer {};
        ssize_t const count = recv(from, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count <= 0)
            return false;
        for (ssize_t sent = 0; sent < count;) {
            ssize_t const part = send(to, buffer.data() + sent, static_cast<size_t>(count - sent), MSG_NOSIGNAL);
            if (part <= 0)
                return false;
            sent += part;
        }
        return true;
    }

} // namespace

Proxy::Proxy(std::string const& ip, uint16_t port, Endpoint target)
    : target(std::move(target))
    , listener(listenOn(ip, port))
    , boundPort(portOf(this->listener))
    , acceptor([this] { this->acceptAll(); })
{
}

Proxy::~Proxy()
{
    this->isClosing = true;
    shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    close(this->listener);
    for (auto& thread : this->threads)
        thread.join();
}

void Proxy::acceptAll()
{
    while (!this->isClosing) {
        int const client = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0)
            continue;
        std::lock_guard<std::mutex> const lock(this->mutex);
        this->threads.emplace_back([this, client] { this->forward(client); });
    }
}

void Proxy::forward(int client)
{
    while (this->isCut && !this->isClosing)
        std::this_thread::sleep_for(cutPollInterval);
    int const server = this->isClosing ? -1 : connectTo(this->target, connectTimeout);
    while (server >= 0 && !this->isClosing) {
        if (this->isCut) {
            std::this_thread::sleep_for(cutPollInterval);
            continue;
        }
        std::array<pollfd, 2> ends { pollfd { client, POLLIN, 0 }, pollfd { server, POLLIN, 0 } };
        if (poll(ends.data(), ends.size(), pollMs) <= 0 || this->isCut)
            continue;
        bool const isOpen = (!ends[0].revents || passOn(client, server)) && (!ends[1].revents || passOn(server, client));
        if (!isOpen)
            break;
    }
    if (server >= 0)
        close(server);
    close(client);
}

} // namespace review
