#include "testing/faultproxy/FaultProxy.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <cstring>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>

namespace cornelpond {

namespace {

    constexpr int listenBacklog = 256;

    sockaddr_in toSockaddr(Address const& address)
    {
        sockaddr_in result {};
        result.sin_family = AF_INET;
        result.sin_port = htons(address.port);
        if (inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr) != 1)
            throw std::runtime_error("not an IPv4 address: " + address.ip);
        return result;
    }

    /// Closes the socket with a reset instead of an orderly end.
    void resetSocket(int socket)
    {
        linger const immediate { 1, 0 };
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &immediate, sizeof(immediate));
        evutil_closesocket(socket);
    }

} // namespace

struct FaultProxy::Direction {
    FaultProxy* proxy = nullptr;
    uint64_t connectionId = 0;
    bool toServer = false;
    bufferevent* from = nullptr;
    bufferevent* to = nullptr;
    size_t bytesSent = 0;
    TimePoint lastDelivery; ///< Later bytes are delivered after it, so that jitter does not reorder them.
};

struct FaultProxy::Connection {
    Direction toServer;
    Direction toClient;
    bool isSilent = false;

    ~Connection()
    {
        bufferevent_free(this->toServer.from);
        bufferevent_free(this->toServer.to);
    }
};

FaultProxy::FaultProxy(EventLoop& loop, Random& random, Address const& listen, Address target)
    : loop(loop)
    , random(random)
    , target(std::move(target))
{
    sockaddr_in const address = toSockaddr(listen);
    this->listener = evconnlistener_new_bind(loop.base(), onAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, listenBacklog,
        reinterpret_cast<sockaddr const*>(&address), sizeof(address));
    if (!this->listener)
        throw std::runtime_error("cannot listen on " + listen.text() + ": " + std::strerror(errno));
    sockaddr_in bound {};
    socklen_t length = sizeof(bound);
    getsockname(evconnlistener_get_fd(this->listener), reinterpret_cast<sockaddr*>(&bound), &length);
    this->boundPort = ntohs(bound.sin_port);
}

FaultProxy::~FaultProxy()
{
    this->closeOpenConnections();
    evconnlistener_free(this->listener);
}

/// Silences the first of each `distance` connections.
void FaultProxy::silenceEach(size_t distance)
{
    size_t index = 0;
    for (auto& [id, connection] : this->connections) {
        if (index++ % distance == 0)
            connection->isSilent = true;
    }
}

void FaultProxy::closeOpenConnections()
{
    this->connections.clear();
}

void FaultProxy::pause()
{
    // The kernel accepts one connection with this backlog and leaves further ones without an answer, as a host that is down does.
    evconnlistener_disable(this->listener);
    ::listen(evconnlistener_get_fd(this->listener), 0);
    this->setPaused(true);
}

void FaultProxy::resume()
{
    ::listen(evconnlistener_get_fd(this->listener), listenBacklog);
    evconnlistener_enable(this->listener);
    this->setPaused(false);
}

void FaultProxy::setPaused(bool isPaused)
{
    for (auto& [id, connection] : this->connections) {
        for (bufferevent* each : { connection->toServer.from, connection->toClient.from }) {
            if (isPaused)
                bufferevent_disable(each, EV_READ);
            else
                bufferevent_enable(each, EV_READ);
        }
    }
}

void FaultProxy::onAccept(evconnlistener*, int socket, sockaddr*, int, void* argument)
{
    static_cast<FaultProxy*>(argument)->accept(socket);
}

void FaultProxy::accept(int socket)
{
    if (this->faults.refusesNewConnections) {
        evutil_closesocket(socket);
        return;
    }
    if (this->connections.size() >= this->faults.maxConnections) {
        this->resetConnections++;
        resetSocket(socket);
        return;
    }
    auto connection = std::make_unique<Connection>();
    uint64_t const id = this->nextConnectionId++;
    bufferevent* client = bufferevent_socket_new(this->loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    bufferevent* server = bufferevent_socket_new(this->loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    connection->toServer = { this, id, true, client, server, 0, TimePoint() };
    connection->toClient = { this, id, false, server, client, 0, TimePoint() };
    bufferevent_setcb(client, onReadable, nullptr, onEvent, &connection->toServer);
    bufferevent_setcb(server, onReadable, nullptr, onEvent, &connection->toClient);
    bufferevent_enable(client, EV_READ | EV_WRITE);
    bufferevent_enable(server, EV_READ | EV_WRITE);
    this->connections.emplace(id, std::move(connection));
    sockaddr_in const address = toSockaddr(this->target);
    if (bufferevent_socket_connect(server, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) < 0)
        this->close(id);
}

void FaultProxy::onReadable(bufferevent*, void* argument)
{
    auto& direction = *static_cast<Direction*>(argument);
    direction.proxy->forward(direction);
}

bool FaultProxy::isCut(Direction const& direction) const
{
    bool const cut = direction.toServer ? this->faults.isCutToServer : this->faults.isCutToClient;
    return cut || this->connections.at(direction.connectionId)->isSilent;
}

void FaultProxy::forward(Direction& direction)
{
    evbuffer* input = bufferevent_get_input(direction.from);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    if (this->isCut(direction)) {
        // TCP would retransmit after the cut. Bytes lost here leave a gap in the stream, so the connection stays silent.
        this->connections.at(direction.connectionId)->isSilent = true;
        return;
    }
    Duration wait = this->faults.delay;
    if (this->faults.jitter > Duration())
        wait = wait + Duration::microseconds(static_cast<int64_t>(this->random.below(static_cast<uint64_t>(this->faults.jitter.toMicroseconds()))));
    if (this->faults.stallProbability > 0 && this->random.nextDouble() < this->faults.stallProbability)
        wait = wait + this->faults.stall;
    if (wait == Duration() && direction.lastDelivery <= this->loop.now()) {
        this->send(direction, bytes);
        return;
    }
    TimePoint const due = std::max(this->loop.now() + wait, direction.lastDelivery + Duration::microseconds(1));
    direction.lastDelivery = due;
    this->loop.after(due - this->loop.now(), [this, id = direction.connectionId, toServer = direction.toServer, bytes = std::move(bytes)] { this->deliver(id, toServer, bytes); });
}

void FaultProxy::deliver(uint64_t connectionId, bool toServer, std::string const& bytes)
{
    auto const found = this->connections.find(connectionId);
    if (found == this->connections.end())
        return;
    Direction& direction = toServer ? found->second->toServer : found->second->toClient;
    if (!this->isCut(direction))
        this->send(direction, bytes);
}

void FaultProxy::send(Direction& direction, std::string const& bytes)
{
    size_t const limit = direction.toServer ? 0 : this->faults.maxBytesToClient;
    if (!limit || direction.bytesSent + bytes.size() <= limit) {
        direction.bytesSent += bytes.size();
        bufferevent_write(direction.to, bytes.data(), bytes.size());
        return;
    }
    // No byte beyond the limit may be sent; the close is delayed so that the bytes before it arrive.
    constexpr Duration flushTime = Duration::milliseconds(20);
    uint64_t const id = direction.connectionId;
    bufferevent_write(direction.to, bytes.data(), limit - direction.bytesSent);
    direction.bytesSent = limit;
    this->connections.at(id)->isSilent = true;
    this->loop.after(flushTime, [this, id] { this->close(id); });
}

void FaultProxy::onEvent(bufferevent*, short events, void* argument)
{
    if (!(events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
        return;
    auto const& direction = *static_cast<Direction*>(argument);
    FaultProxy* proxy = direction.proxy;
    uint64_t const id = direction.connectionId;
    // Delayed bytes arrive before the close. A silent connection is not closed towards the other end.
    if (proxy->connections.at(id)->isSilent)
        return;
    Duration const closeDelay = proxy->faults.delay + proxy->faults.jitter + proxy->faults.stall + Duration::milliseconds(1);
    proxy->loop.after(closeDelay, [proxy, id] { proxy->close(id); });
}

void FaultProxy::close(uint64_t connectionId)
{
    this->connections.erase(connectionId);
}

} // namespace cornelpond
