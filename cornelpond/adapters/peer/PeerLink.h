#pragma once

// Links to the other entry hosts: one authenticated WebSocket connection a pair, watched by heartbeats
// and dialled again when it breaks or goes silent.
//
// Example:
//   PeerLink link(loop, random, events, self, PeerLinkTimes(), hooks);
//   link.listen({ "127.0.0.1", 7003 });
//   link.addPeer({ HostId("h2"), DataCentreId("north"), { "127.0.0.2", 7003 } });
//   link.start();
//   link.send(HostId("h2"), { PeerChannel::Agreement, bytes });
//
// Loop thread only. The host with the lower id dials. A peer of another cluster or protocol, an unknown
// host and a wrong token are refused without a word. A peer whose data centre is not known yet takes the one
// it names.

#include "cornelpond/adapters/peer/PeerFrame.h"
#include "cornelpond/adapters/peer/WebSocket.h"
#include "cornelpond/ports/EventSink.h"
#include "cornelpond/ports/Random.h"
#include "cornelpond/ports/Transport.h"

#include <functional>
#include <map>
#include <memory>

namespace cornelpond {

/// Who this host is on the link.
struct PeerLocalHost {
    std::string cluster;
    HostId host;
    DataCentreId dataCentre;
    std::string token;
    bool admitNewHosts = false; ///< Take hosts that no setting names when cluster and token are right.
    bool dialsAllPeers = false; ///< Others may not know this host yet: it dials them whatever its id.
    std::map<Address, Address> routes; ///< Where to dial a peer that cannot be reached at its own address.
};

/// Another entry host and where it accepts peers.
struct PeerAddress {
    HostId host;
    DataCentreId dataCentre;
    Address address;
};

struct PeerLinkTimes {
    Duration minHeartbeatInterval = Duration::milliseconds(500);
    Duration heartbeatIntervalPerPeer = Duration::milliseconds(25); ///< Bounds a host's heartbeats to 40 a second.
    int64_t maxMissedHeartbeats = 4; ///< A connection is silent after so many of its peer's intervals.
    Duration handshakeTimeout = Duration::seconds(2);
    Duration minBackoff = Duration::milliseconds(100);
    Duration maxBackoff = Duration::seconds(2);
    Duration formerHostRetryDelay = Duration::seconds(10); ///< For a host whose address another one has taken.
    Duration backupDialDelay = Duration::seconds(3); ///< After it the higher id dials too when new hosts are admitted.
};

struct PeerLinkLimits {
    size_t maxQueuedBytes = 8 * 1024 * 1024; ///< For each peer; messages beyond it are dropped and counted.
    size_t maxMessageBytes = 16 * 1024 * 1024;
    size_t maxUnauthenticatedConnections = 64; ///< That have not shown who they are.
};

struct PeerLinkHooks {
    Transport::Receiver onMessage;
    std::function<void(PeerAddress const& peer, bool isUp)> onLinkChanged;
    std::function<std::string()> heartbeatPayload; ///< What to tell a peer with the next heartbeat.
    std::function<void(HostId const& from, std::string const& payload)> onHeartbeat;
};

struct PeerLinkCounters {
    uint64_t messagesSent = 0;
    uint64_t messagesDropped = 0; ///< Peer out of reach or queue full.
    uint64_t heartbeatsSent = 0;
    uint64_t connectionsMade = 0;
    uint64_t connectionsRefused = 0;
    uint64_t bytesSent = 0; ///< As the sockets saw them, without TCP and IP headers.
    uint64_t bytesReceived = 0;
};

class PeerLink final : public Transport {
public:
    /// References must outlive the link. Unset hooks are skipped.
    PeerLink(EventLoop& loop, Random& random, EventSink& events, PeerLocalHost self, PeerLinkTimes times, PeerLinkLimits limits, PeerLinkHooks hooks);
    ~PeerLink() override;
    PeerLink(PeerLink const&) = delete;
    PeerLink& operator=(PeerLink const&) = delete;

    /// Returns the bound port. Throws Error(BadSettings).
    uint16_t listen(Address const& address);

    /// Starts to keep a connection to the peer; replaces the address of one that is known.
    void addPeer(PeerAddress const& peer);

    /// Closes the connection and refuses the host from now on, unless new hosts are admitted.
    void removePeer(HostId const& host);

    /// Starts to dial and to watch the connections.
    void start();

    void send(HostId const& to, PeerMessage message) override;
    bool isReachable(HostId const& peer) const override;

    /// Tells all peers the heartbeat payload now, for news that should not wait.
    void sendHeartbeats();

    /// Bytes queued towards the peer; 0 when it is out of reach.
    size_t queuedBytes(HostId const& peer) const;

    Duration heartbeatInterval() const;
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
    void onAddressTakenOver(HostId const& newcomer, Connection& connection);
    std::string findHelloFault(Connection const& connection, PeerHello const& hello) const;
    bool canReplace(Connection const& older, Connection const& newer) const;
    void establish(Connection& connection, PeerHello const& hello);
    void refuse(Connection& connection, HostId const& claimed, std::string const& reason);
    void drop(Connection& connection, std::string const& reason);
    void write(Connection& connection, std::string const& bytes);
    void sendHeartbeat(Connection& connection);
    PeerHello hello() const;
    void tick();
    void resetSilenceAfterOwnStall();
    void checkConnection(Connection& connection);
    void dialWhenDue(Peer& peer);
    bool isAddressTaken(Peer const& former) const;
    void freeDeadConnections();
    size_t unauthenticatedConnectionCount() const;
    Connection* establishedConnection(HostId const& peer) const;
    Duration nextBackoff(Duration previous);

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
    PeerLinkCounters accumulatedCounters; ///< Of connections that are gone.
};

} // namespace cornelpond
