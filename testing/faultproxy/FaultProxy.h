#pragma once

// A TCP proxy that injects faults into one link: delay, jitter, stalls, cuts of one or both
// directions, and connections that go silent for good while new ones work.
//
// Example:
//   FaultProxy proxy(loop, random, { "127.0.0.1", 0 }, { "127.0.0.1", 7001 });
//   proxy.setFaults(faults);

#include "cornelpond/adapters/http/HttpTypes.h"
#include "cornelpond/adapters/runtime/EventLoop.h"
#include "cornelpond/ports/Random.h"

#include <cstdint>
#include <map>
#include <memory>

struct bufferevent;
struct evconnlistener;
struct sockaddr;

namespace cornelpond {

/// What the link does to bytes. TCP hides loss from its users; a lost segment shows as a stall.
struct LinkFaults {
    Duration delay; ///< One way.
    Duration jitter; ///< Random extra delay, uniform between 0 and this; the order of bytes is kept.
    double stallProbability = 0; ///< Of each chunk of bytes.
    Duration stall; ///< Extra delay of a chunk that stalls.
    bool isCutToServer = false; ///< While set, bytes from the client are discarded.
    bool isCutToClient = false; ///< While set, bytes from the server are discarded.
    bool refusesNewConnections = false; ///< New connections are closed at once.
    size_t maxConnections = SIZE_MAX; ///< Further ones are reset.
    size_t maxBytesToClient = 0; ///< A connection is closed after this many bytes to the client; 0: no limit.
};

class FaultProxy {
public:
    /// References must outlive the proxy.
    FaultProxy(EventLoop& loop, Random& random, Address const& listen, Address target);
    ~FaultProxy();
    FaultProxy(FaultProxy const&) = delete;
    FaultProxy& operator=(FaultProxy const&) = delete;

    uint16_t port() const { return this->boundPort; }
    void setFaults(LinkFaults const& faults) { this->faults = faults; }
    LinkFaults const& currentFaults() const { return this->faults; }

    size_t openConnectionCount() const { return this->connections.size(); }
    uint64_t resetConnectionCount() const { return this->resetConnections; } ///< Those over `maxConnections`.

    /// Discards all further bytes of the connections that are open now, for good, without closing them.
    void silenceOpenConnections() { this->silenceEach(1); }
    /// Does so to every other one.
    void silenceHalf() { this->silenceEach(2); }

    /// Closes all open connections.
    void closeOpenConnections();

    /// Until resume(), forwards nothing and lets new connections hang. Bytes that are sent meanwhile are forwarded afterwards.
    void pause();
    void resume();

private:
    struct Connection;
    struct Direction;

    static void onAccept(evconnlistener*, int socket, sockaddr*, int, void* argument);
    static void onReadable(bufferevent* from, void* argument);
    static void onEvent(bufferevent* from, short events, void* argument);

    void accept(int socket);
    void setPaused(bool isPaused);
    void silenceEach(size_t distance);
    void forward(Direction& direction);
    void deliver(uint64_t connectionId, bool toServer, std::string const& bytes);
    void close(uint64_t connectionId);
    bool isCut(Direction const& direction) const;
    void send(Direction& direction, std::string const& bytes);

    EventLoop& loop;
    Random& random;
    Address target;
    evconnlistener* listener = nullptr;
    uint16_t boundPort = 0;
    LinkFaults faults;
    std::map<uint64_t, std::unique_ptr<Connection>> connections;
    uint64_t nextConnectionId = 1;
    uint64_t resetConnections = 0;
};

} // namespace cornelpond
