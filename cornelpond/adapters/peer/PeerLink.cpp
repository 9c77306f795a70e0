#include "cornelpond/adapters/peer/PeerLink.h"

#include "cornelpond/core/base/ConstantTime.h"
#include "cornelpond/core/base/ResultCode.h"

#include <algorithm>
#include <unistd.h>
#include <vector>

namespace cornelpond {

namespace {

    constexpr Duration tickInterval = Duration::milliseconds(50);
    /// A longer time between two ticks means that this process stalled, not its peers.
    constexpr Duration ownStallThreshold = Duration::milliseconds(500);

} // namespace

struct PeerLink::Connection {
    uint64_t id = 0;
    std::unique_ptr<WebSocketConnection> socket;
    HostId peer; ///< The host that was dialled, or that sent a valid hello; empty before that.
    bool isOutbound = false;
    Address address; ///< The peer's address when it was dialled.
    bool isEstablished = false;
    bool isDead = false; ///< To be freed by the next freeDeadConnections().
    TimePoint openedAt;
    TimePoint lastReceivedAt;
    TimePoint lastHeartbeatSentAt;
    Duration heartbeatInterval; ///< Of the heartbeats sent, as this host's hello gave it: the peer counts on it while the connection lasts.
    Duration peerHeartbeatInterval;
};

struct PeerLink::Peer {
    PeerAddress address;
    uint32_t features = 0; ///< As in the hello of the last established connection.
    uint64_t connectionId = 0; ///< Id of the established connection, or 0.
    uint64_t diallingConnectionId = 0; ///< Id of the connection being dialled, or 0.
    Duration backoff;
    TimePoint nextDialAt;
    TimePoint downSince;
};

PeerLink::PeerLink(EventLoop& loop, Random& random, EventSink& events, PeerLocalHost localHost, PeerLinkTimes times, PeerLinkLimits limits, PeerLinkHooks hooks)
    : loop(loop)
    , random(random)
    , events(events)
    , localHost(std::move(localHost))
    , times(times)
    , limits(limits)
    , hooks(std::move(hooks))
{
}

PeerLink::~PeerLink()
{
    this->loop.cancel(this->tickTimer);
}

uint16_t PeerLink::listen(Address const& address)
{
    this->listener = std::make_unique<WebSocketListener>(this->loop, address, [this](int socket) { this->accept(socket); });
    this->listenAddress = { address.ip, this->listener->port() };
    return this->listener->port();
}

void PeerLink::addPeer(PeerAddress const& peer)
{
    Peer& entry = this->peers[peer.host];
    entry.address = peer;
    entry.downSince = this->loop.now();
    entry.nextDialAt = this->loop.now();
}

void PeerLink::removePeer(HostId const& host)
{
    if (Connection* connection = this->establishedConnection(host))
        this->drop(*connection, "removed");
    this->peers.erase(host);
}

void PeerLink::start()
{
    this->lastTick = this->loop.now();
    this->tick();
}

void PeerLink::send(HostId const& to, PeerMessage message)
{
    Connection* connection = this->establishedConnection(to);
    std::string const bytes = connection ? encode(message) : std::string();
    if (!connection || connection->socket->queuedBytes() + bytes.size() > this->limits.maxQueuedBytes) {
        this->accumulatedCounters.messagesDropped++;
        return;
    }
    this->accumulatedCounters.messagesSent++;
    this->write(*connection, bytes);
}

bool PeerLink::isReachable(HostId const& peer) const
{
    return this->establishedConnection(peer) != nullptr;
}

bool PeerLink::hasFeature(HostId const& peer, PeerFeature feature) const
{
    auto const known = this->peers.find(peer);
    return known != this->peers.end() && known->second.features & static_cast<uint32_t>(feature);
}

void PeerLink::sendHeartbeats()
{
    for (auto const& [id, connection] : this->connections) {
        if (connection->isEstablished && !connection->isDead)
            this->sendHeartbeat(*connection);
    }
}

size_t PeerLink::queuedBytes(HostId const& peer) const
{
    Connection const* connection = this->establishedConnection(peer);
    return connection ? connection->socket->queuedBytes() : 0;
}

Duration PeerLink::silentFor(HostId const& peer) const
{
    Connection const* connection = this->establishedConnection(peer);
    return connection ? this->loop.now() - connection->lastReceivedAt : Duration::infinite();
}

Duration PeerLink::heartbeatInterval() const
{
    return std::max(this->times.minHeartbeatInterval, this->times.heartbeatIntervalPerPeer * static_cast<int64_t>(this->peers.size()));
}

PeerLinkCounters PeerLink::counters() const
{
    PeerLinkCounters total = this->accumulatedCounters;
    for (auto const& [id, connection] : this->connections)
        addSocketCounters(*connection->socket, total);
    return total;
}

void PeerLink::addSocketCounters(WebSocketConnection const& socket, PeerLinkCounters& total)
{
    total.bytesSent += socket.bytesSent();
    total.bytesReceived += socket.bytesReceived();
    total.socketReads += socket.readCalls();
    total.socketWrites += socket.writeCalls();
}

void PeerLink::accept(int socket)
{
    bool const isFull = this->connections.size() >= this->limits.maxConnections;
    if (isFull || this->unauthenticatedConnectionCount() >= this->limits.maxUnauthenticatedConnections) {
        this->accumulatedCounters.connectionsRefused++;
        ::close(socket);
        return;
    }
    auto connection = std::make_unique<Connection>();
    connection->id = this->nextConnectionId++;
    connection->openedAt = this->loop.now();
    connection->socket = WebSocketConnection::accept(this->loop, socket, this->connectionHooks(connection->id));
    this->connections.emplace(connection->id, std::move(connection));
}

void PeerLink::dial(Peer& peer)
{
    auto connection = std::make_unique<Connection>();
    connection->id = this->nextConnectionId++;
    connection->openedAt = this->loop.now();
    connection->peer = peer.address.host;
    connection->isOutbound = true;
    connection->address = peer.address.address;
    peer.backoff = this->nextBackoff(peer.backoff);
    peer.nextDialAt = this->loop.now() + peer.backoff;
    auto const route = this->localHost.routes.find(peer.address.address);
    Address const& target = route == this->localHost.routes.end() ? peer.address.address : route->second;
    try {
        connection->socket = WebSocketConnection::dial(this->loop, target, this->connectionHooks(connection->id));
    } catch (Error const&) {
        return; // The next dial is due after the back-off.
    }
    peer.diallingConnectionId = connection->id;
    this->connections.emplace(connection->id, std::move(connection));
}

WebSocketHooks PeerLink::connectionHooks(uint64_t id)
{
    auto const withConnection = [this, id](auto const& action) {
        auto const found = this->connections.find(id);
        if (found != this->connections.end() && !found->second->isDead)
            action(*found->second);
    };
    WebSocketHooks socketHooks;
    socketHooks.onOpen = [this, withConnection] { withConnection([&](Connection& connection) { this->onOpen(connection); }); };
    socketHooks.onMessage = [this, withConnection](std::string const& bytes) { withConnection([&](Connection& connection) { this->onBytes(connection, bytes); }); };
    socketHooks.onClosed = [this, withConnection](std::string const& reason) { withConnection([&](Connection& connection) { this->onClosed(connection, reason); }); };
    return socketHooks;
}

void PeerLink::onOpen(Connection& connection)
{
    if (connection.isOutbound)
        this->write(connection, encode(this->hello(connection)));
}

void PeerLink::onBytes(Connection& connection, std::string const& bytes)
{
    connection.lastReceivedAt = this->loop.now();
    try {
        PeerFrame const frame = decodePeerFrame(bytes);
        auto const* hello = std::get_if<PeerHello>(&frame);
        if (!connection.isEstablished) {
            hello ? this->onHello(connection, *hello) : this->refuse(connection, HostId(), "no hello");
            return;
        }
        if (auto const* message = std::get_if<PeerMessage>(&frame)) {
            this->accumulatedCounters.messagesReceived[message->channel]++;
            if (this->hooks.onMessage)
                this->hooks.onMessage(connection.peer, *message);
        } else if (auto const* heartbeat = std::get_if<PeerHeartbeat>(&frame)) {
            if (this->hooks.onHeartbeat)
                this->hooks.onHeartbeat(connection.peer, heartbeat->payload);
        }
    } catch (Error const& error) {
        this->refuse(connection, connection.peer, error.what());
    }
}

void PeerLink::onHello(Connection& connection, PeerHello const& hello)
{
    if (connection.isOutbound && hello.host != connection.peer)
        this->onAddressTakenOver(hello.host, connection);
    std::string const fault = this->findHelloFault(connection, hello);
    if (!fault.empty()) {
        this->refuse(connection, hello.host, fault);
        return;
    }
    if (!connection.isOutbound)
        this->write(connection, encode(this->hello(connection)));
    this->establish(connection, hello);
}

/// Another host answered at the dialled address, so it has taken the place of the former host. The former
/// host is dialled again only after `formerHostRetryDelay`.
void PeerLink::onAddressTakenOver(HostId const& newHost, Connection& connection)
{
    auto const former = this->peers.find(connection.peer);
    if (former == this->peers.end())
        return;
    former->second.diallingConnectionId = 0;
    former->second.nextDialAt = this->loop.now() + this->times.formerHostRetryDelay;
    if (this->localHost.admitNewHosts)
        connection.peer = newHost;
}

std::string PeerLink::findHelloFault(Connection const& connection, PeerHello const& hello) const
{
    if (!constantTimeEqual(this->localHost.token, hello.token))
        return "wrong token";
    if (hello.cluster != this->localHost.cluster)
        return "another cluster";
    if (hello.protocol != peerProtocolVersion)
        return "another protocol version";
    if (hello.host == this->localHost.host)
        return "this host's own name";
    if (connection.isOutbound && hello.host != connection.peer && !this->localHost.admitNewHosts)
        return "another host than the one dialled";
    auto const known = this->peers.find(hello.host);
    if (known == this->peers.end())
        return this->localHost.admitNewHosts ? "" : "unknown host";
    DataCentreId const& expected = known->second.address.dataCentre;
    return expected.empty() || expected == hello.dataCentre ? "" : "another data centre than in the settings";
}

/// Both ends decide in the same way. When the same host dialled both connections, it has lost the older one,
/// and the newer one replaces it. When each host dialled one, the connection that the lower id dialled wins
/// unless it is the older one and has been silent for more than two heartbeat intervals.
bool PeerLink::canReplace(Connection const& older, Connection const& newer) const
{
    if (older.isOutbound == newer.isOutbound)
        return true;
    bool const isNewerFromLowerId = newer.isOutbound == (this->localHost.host < newer.peer);
    Duration const silence = this->loop.now() - older.lastReceivedAt;
    return isNewerFromLowerId || silence > older.peerHeartbeatInterval * 2;
}

void PeerLink::establish(Connection& connection, PeerHello const& hello)
{
    connection.peer = hello.host;
    connection.peerHeartbeatInterval = std::max(hello.heartbeatInterval, this->times.minHeartbeatInterval);
    if (this->isBetweenControlHosts(hello))
        connection.heartbeatInterval = connection.peerHeartbeatInterval = this->times.minHeartbeatInterval;
    if (!this->peers.count(hello.host))
        this->addPeer({ hello.host, hello.dataCentre, { hello.listenIp, hello.listenPort } });
    Peer& peer = this->peers[hello.host];
    if (peer.address.dataCentre.empty())
        peer.address.dataCentre = hello.dataCentre;
    bool const isAtFormerAddress = connection.isOutbound && !(peer.address.address == connection.address);
    if (Connection* older = this->establishedConnection(hello.host)) {
        if (isAtFormerAddress || !this->canReplace(*older, connection)) {
            this->drop(connection, "a connection is open");
            return;
        }
        this->drop(*older, "replaced by a newer connection");
    }
    connection.isEstablished = true;
    connection.socket->setMaxMessageBytes(this->limits.maxMessageBytes);
    peer.connectionId = connection.id;
    peer.features = hello.features;
    peer.backoff = Duration();
    this->accumulatedCounters.connectionsMade++;
    this->events.emit(Event(EventId::PeerConnected).with("peer", hello.host).with("dataCentre", hello.dataCentre).with("dialled", static_cast<int>(connection.isOutbound)));
    this->sendHeartbeat(connection);
    if (this->hooks.onLinkChanged)
        this->hooks.onLinkChanged(peer.address, true);
}

void PeerLink::refuse(Connection& connection, HostId const& claimed, std::string const& reason)
{
    this->accumulatedCounters.connectionsRefused++;
    this->events.emit(Event(EventId::PeerRefused).with("peer", claimed).with("reason", reason));
    this->drop(connection, reason);
}

void PeerLink::onClosed(Connection& connection, std::string const& reason)
{
    this->drop(connection, reason);
}

void PeerLink::drop(Connection& connection, std::string const& reason)
{
    if (connection.isDead)
        return;
    connection.isDead = true;
    auto const found = this->peers.find(connection.peer);
    if (found == this->peers.end())
        return;
    Peer& peer = found->second;
    if (peer.diallingConnectionId == connection.id)
        peer.diallingConnectionId = 0;
    if (peer.connectionId != connection.id)
        return;
    peer.connectionId = 0;
    peer.downSince = this->loop.now();
    peer.backoff = this->nextBackoff(peer.backoff);
    peer.nextDialAt = this->loop.now() + peer.backoff;
    this->events.emit(Event(EventId::PeerLost).with("peer", connection.peer).with("reason", reason));
    if (this->hooks.onLinkChanged)
        this->hooks.onLinkChanged(peer.address, false);
}

void PeerLink::write(Connection& connection, std::string const& bytes)
{
    connection.socket->send(bytes);
}

void PeerLink::sendHeartbeat(Connection& connection)
{
    connection.lastHeartbeatSentAt = this->loop.now();
    this->accumulatedCounters.heartbeatsSent++;
    this->write(connection, encode(PeerHeartbeat { this->hooks.heartbeatPayload ? this->hooks.heartbeatPayload() : std::string() }));
}

/// Such a link carries the replicated log and the orders to workers, so its loss must be noticed soon in a fleet of any size.
bool PeerLink::isBetweenControlHosts(PeerHello const& hello) const
{
    return this->localHost.isControlHost && hello.features & static_cast<uint32_t>(PeerFeature::FastHeartbeats);
}

PeerHello PeerLink::hello(Connection& connection) const
{
    PeerHello hello;
    hello.cluster = this->localHost.cluster;
    hello.host = this->localHost.host;
    hello.dataCentre = this->localHost.dataCentre;
    hello.token = this->localHost.token;
    hello.heartbeatInterval = connection.heartbeatInterval = this->heartbeatInterval();
    hello.listenIp = this->listenAddress.ip;
    hello.listenPort = this->listenAddress.port;
    hello.features = ownPeerFeatures | (this->localHost.isControlHost ? static_cast<uint32_t>(PeerFeature::FastHeartbeats) : 0);
    return hello;
}

void PeerLink::tick()
{
    this->tickTimer = this->loop.after(tickInterval, [this] { this->tick(); });
    this->resetSilenceAfterOwnStall();
    for (auto const& [id, connection] : this->connections) {
        if (!connection->isDead)
            this->checkConnection(*connection);
    }
    for (auto& [host, peer] : this->peers)
        this->dialWhenDue(peer);
    this->freeDeadConnections();
}

void PeerLink::resetSilenceAfterOwnStall()
{
    TimePoint const now = this->loop.now();
    if (now - this->lastTick > ownStallThreshold) {
        for (auto const& [id, connection] : this->connections)
            connection->lastReceivedAt = now;
    }
    this->lastTick = now;
}

void PeerLink::checkConnection(Connection& connection)
{
    TimePoint const now = this->loop.now();
    if (!connection.isEstablished) {
        if (now - connection.openedAt > this->times.handshakeTimeout)
            this->drop(connection, "no handshake in time");
        return;
    }
    if (now - connection.lastReceivedAt > connection.peerHeartbeatInterval * this->times.maxMissedHeartbeats)
        this->drop(connection, "silent");
    else if (now - connection.lastHeartbeatSentAt >= connection.heartbeatInterval)
        this->sendHeartbeat(connection);
}

void PeerLink::dialWhenDue(Peer& peer)
{
    TimePoint const now = this->loop.now();
    if (peer.connectionId || peer.diallingConnectionId || now < peer.nextDialAt || peer.address.address.ip.empty() || this->isAddressTaken(peer))
        return;
    bool const isBackupDue = this->localHost.admitNewHosts && now - peer.downSince > this->times.backupDialDelay;
    if (this->localHost.dialsAllPeers || this->localHost.host < peer.address.host || isBackupDue)
        this->dial(peer);
}

/// True while another host is connected at the address of `former`: dialling the address again would only
/// replace that connection.
bool PeerLink::isAddressTaken(Peer const& former) const
{
    return std::any_of(this->peers.begin(), this->peers.end(), [&](auto const& entry) {
        PeerAddress const& address = entry.second.address;
        return entry.second.connectionId && address.host != former.address.host && address.address == former.address.address;
    });
}

void PeerLink::freeDeadConnections()
{
    for (auto at = this->connections.begin(); at != this->connections.end();) {
        Connection const& connection = *at->second;
        if (!connection.isDead) {
            ++at;
            continue;
        }
        addSocketCounters(*connection.socket, this->accumulatedCounters);
        at = this->connections.erase(at);
    }
}

size_t PeerLink::unauthenticatedConnectionCount() const
{
    return static_cast<size_t>(std::count_if(this->connections.begin(), this->connections.end(), [](auto const& entry) { return !entry.second->isEstablished && !entry.second->isOutbound; }));
}

PeerLink::Connection* PeerLink::establishedConnection(HostId const& peer) const
{
    auto const known = this->peers.find(peer);
    if (known == this->peers.end() || !known->second.connectionId)
        return nullptr;
    auto const found = this->connections.find(known->second.connectionId);
    return found == this->connections.end() || found->second->isDead ? nullptr : found->second.get();
}

Duration PeerLink::nextBackoff(Duration previous)
{
    Duration const doubled = std::max(this->times.minBackoff, previous * 2);
    Duration const bounded = std::min(doubled, this->times.maxBackoff);
    auto const half = static_cast<uint64_t>(bounded.toMicroseconds() / 2);
    return bounded / 2 + Duration::microseconds(static_cast<int64_t>(this->random.below(half + 1)));
}

} // namespace cornelpond
