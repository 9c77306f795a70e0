#include "testing/soak/IdleConnections.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cornelpond {

namespace {

    constexpr Duration reconnectInterval = Duration::milliseconds(50);

    /// The connected socket, or -1. On loopback a connection is made or refused at once.
    int connectTo(Address const& address)
    {
        int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        sockaddr_in to {};
        to.sin_family = AF_INET;
        to.sin_port = htons(address.port);
        inet_pton(AF_INET, address.ip.c_str(), &to.sin_addr);
        // A server whose backlog is full leaves the connection in progress.
        if (descriptor >= 0 && (::connect(descriptor, reinterpret_cast<sockaddr const*>(&to), sizeof to) == 0 || errno == EINPROGRESS))
            return descriptor;
        if (descriptor >= 0)
            ::close(descriptor);
        return -1;
    }

    bool isClosedByPeer(int descriptor)
    {
        char byte = 0;
        ssize_t const count = ::recv(descriptor, &byte, 1, MSG_DONTWAIT | MSG_PEEK);
        return count == 0 || (count < 0 && errno != EAGAIN);
    }

} // namespace

IdleConnections::IdleConnections(Clock& clock, Address address)
    : clock(clock)
    , address(std::move(address))
{
}

IdleConnections::~IdleConnections()
{
    this->setCount(0);
}

void IdleConnections::setCount(size_t wanted)
{
    this->count = wanted;
    while (this->descriptors.size() > this->count) {
        ::close(this->descriptors.back());
        this->descriptors.pop_back();
    }
}

void IdleConnections::step()
{
    if (!this->count || this->clock.now() < this->nextAction)
        return;
    this->nextAction = this->clock.now() + reconnectInterval;
    this->dropClosed();
    while (this->descriptors.size() < this->count) {
        int const descriptor = connectTo(this->address);
        if (descriptor < 0)
            return;
        this->descriptors.push_back(descriptor);
    }
}

void IdleConnections::dropClosed()
{
    auto const open = std::partition(this->descriptors.begin(), this->descriptors.end(), [](int descriptor) { return !isClosedByPeer(descriptor); });
    std::for_each(open, this->descriptors.end(), [](int descriptor) { ::close(descriptor); });
    this->descriptors.erase(open, this->descriptors.end());
}

} // namespace cornelpond
