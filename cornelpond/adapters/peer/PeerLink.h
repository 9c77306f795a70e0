#pragma once

// Links to the other entry hosts: one authenticated WebSocket connection per pair of hosts, monitored by
// heartbeats and dialled again when it breaks or goes silent.
//
// Example:
//   PeerLink link(loop, random, events, self, PeerLinkTimes(), hooks);
//   link.listen({ "127.0.0.1", 7003 });
//   link.addPeer({ HostId("h2"), DataCentreId("north"), { "127.0.0.2", 7003 } });
//   link.start();
//   link.send(HostId("h2"), { PeerChannel::Agreement, bytes });
//
// Loop thread only. The host with the lower id dials. A peer of another cluster or protocol version, an
// unknown host and a wrong token are refused without a reply. A peer that was added without a data centre
// takes the one in its hello.

#include "cornelpond/adapters/peer/PeerFrame.h"
#include "cornelpond/adapters/peer/WebSocket.h"
#include "cornelpond/ports/EventSink.h"
#include "cornelpond/ports/Random.h"
#include "cornelpond/ports/Transport.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace cornelpond {

/// The identity of this host on its links, and which peers it admits and dials.
struct PeerLocalHost {
    std::string cluster;
    HostId host;
    DataCentreId dataCentre;
    std::string token;
    bool admitNewHosts = false; ///< Accept hosts that are not in the settings when cluster and token match.
    bool isControlHost = false; ///< Few hosts are; they monitor each other closely.
    bool dialsAllPeers = false; ///< Dial every peer regardless of the ids, because peers may not have this host in their list yet.
    std::map<Address, Address> routes; ///< From a peer's own address to the one to dial when its own cannot be reached.
};

/// Another entry host and the address at which it accepts peer connections.
struct PeerAddress {
    HostId host;
    DataCentreId dataCentre;
    Address address;
};

struct PeerLinkTimes {
    Duration minHeartbeatInterval = Duration::milliseconds(500);
    Duration heartbeatIntervalPerPeer = Duration::milliseconds(4); ///< Limits the periodic heartbeats of a host to 250 per second over all its peers but control hosts.
    int64_t maxMissedHeartbeats = 4; ///< A connection that receives nothing for this many heartbeat intervals of its peer is closed.
    Duration handshakeTimeout = Duration::seconds(2); ///< From the start of a connection to a valid hello.
    Duration minBackoff = Duration::milliseconds(100);
    Duration maxBackoff = Duration::seconds(2);
    Duration formerHostRetryDelay = Duration::seconds(10); ///< Before dialling a host again when another host answered at its address.
    Duration backupDialDelay = Duration::seconds(3); ///< When new hosts are admitted, the higher id dials too after the link was down for this long.
};

struct PeerLinkLimits {
    size_t maxQueuedBytes = 8 * 1024 * 1024; ///< Per peer; messages beyond it are dropped and counted.
    size_t maxMessageBytes = 16 * 1024 * 1024;
    size_t maxUnauthenticatedConnections = 64; ///< Accepted connections without a valid hello so far.
    size_t maxConnections = SIZE_MAX; ///< Open at once, in either direction; each takes a file descriptor.
};

struct PeerLinkHooks {
    Transport::Receiver onMessage;
    std::function<void(PeerAddress const& peer, bool isUp)> onLinkChanged;
    std::function<std::string()> heartbeatPayload; ///< Returns the payload of the next heartbeat.
    std::function<void(HostId const& from, std::string const& payload)> onHeartbeat;
};

struct PeerLinkCounters {
    uint64_t messagesSent = 0;
    uint64_t messagesDropped = 0; ///< The peer was unreachable or its queue was full.
    uint64_t heartbeatsSent = 0;
    uint64_t connectionsMade = 0;
    uint64_t connectionsRefused = 0;
    uint64_t bytesSent = 0; ///< Bytes of the sockets, queued ones included, without TCP and IP headers.
    uint64_t bytesReceived = 0;
    std::map<PeerChannel, uint64_t> messagesReceived;
    uint64_t socketReads = 0; ///< System calls that read or wrote bytes.
    uint64_t socketWrites = 0;
};

class PeerLink final : public Transport {
public:
    /// References must outlive the link. Unset hooks are skipped.
    PeerLink(EventLoop& loop, Random& random, EventSink& events, PeerLocalHost localHost, PeerLinkTimes times, PeerLinkLimits limits, PeerLinkHooks hooks);
    ~PeerLink() override;
    PeerLink(PeerLink const&) = delete;
    PeerLink& operator=(PeerLink const&) = delete;

    /// Returns the bound port. Throws Error(BadSettings) when the address cannot be bound.
    uint16_t listen(Address const& address);

    /// Adds a peer to keep a connection to, or replaces the address of a known peer.
    void addPeer(PeerAddress const& peer);

    /// Closes the connection and refuses the host from now on, unless new hosts are admitted.
    void removePeer(HostId const& host);

    /// Starts to dial peers and to monitor the connections.
    void start();

    void send(HostId const& to, PeerMessage message) override;
    bool isReachable(HostId const& peer) const override;

    /// True when the peer's last hello named the feature.
    bool hasFeature(HostId const& peer, PeerFeature feature) const;

    /// Sends a heartbeat to all connected peers now, for a payload that should not wait for the next interval.
    void sendHeartbeats();

    /// Bytes queued for the peer; 0 when it is unreachable.
    size_t queuedBytes(HostId const& peer) const;

    Duration heartbeatInterval() const;
    /// Since anything was last received from the peer; infinite when it is unreachable.
    Duration silentFor(HostId const& peer) const;
    size_t openConnections() const { return this->connections.size(); }
    PeerLinkCounters counters() const;

private:
    struct Connection;
    struct Peer;

    void accept(int socket);
    void dial(Peer& peer);
    WebSocketHooks connectionHooks(uint64_t id);
    void onOpen(Connection& connection);
    void onBytes(Connection& connection, std::string const& bytes);
    void onHello(Connection& connection, PeerHello const& hello);
    void onClosed(Connection& connection, std::string const& reason);
    void onAddressTakenOver(HostId const& newHost, Connection& connection);
    std::string findHelloFault(Connection const& connection, PeerHello const& hello) const;
    bool canReplace(Connection const& older, Connection const& newer) const;
    void establish(Connection& connection, PeerHello const& hello);
    void refuse(Connection& connection, HostId const& claimed, std::string const& reason);
    void drop(Connection& connection, std::string const& reason);
    void write(Connection& connection, std::string const& bytes);
    void sendHeartbeat(Connection& connection);
    PeerHello hello(Connection& connection) const;
    bool isBetweenControlHosts(PeerHello const& hello) const;
    void tick();
    void resetSilenceAfterOwnStall();
    void checkConnection(Connection& connection);
    void dialWhenDue(Peer& peer);
    bool isAddressTaken(Peer const& former) const;
    void freeDeadConnections();
    size_t unauthenticatedConnectionCount() const;
    Connection* establishedConnection(HostId const& peer) const;
    Duration nextBackoff(Duration previous);
    static void addSocketCounters(WebSocketConnection const& socket, PeerLinkCounters& total);

    EventLoop& loop;
    Random& random;
    EventSink& events;
    PeerLocalHost localHost;
    PeerLinkTimes times;
    PeerLinkLimits limits;
    PeerLinkHooks hooks;
    std::unique_ptr<WebSocketListener> listener;
    Address listenAddress;
    std::map<HostId, Peer> peers;
    std::map<uint64_t, std::unique_ptr<Connection>> connections;
    uint64_t nextConnectionId = 1;
    TimerId tickTimer;
    TimePoint lastTick;
    PeerLinkCounters accumulatedCounters; ///< Event counts of all connections, and bytes of those that were freed.
};

} // namespace cornelpond
