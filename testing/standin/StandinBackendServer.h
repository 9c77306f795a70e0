#pragma once

// A stand-in for a backend server of the platform: announces itself, answers each HTTP request after its
// service time with the request's method, path, query and body, and records the requests. Connections pass
// through a FaultProxy of its own, which counts them and can truncate answers or stop forwarding.
//
// Example:
//   StandinBackendServer server(loop, client, random, record, options);
//   server.start();

#include "cornelpond/adapters/http/HttpClient.h"
#include "cornelpond/adapters/http/HttpServer.h"
#include "cornelpond/core/routing/BackendServerTable.h"
#include "testing/faultproxy/FaultProxy.h"
#include "testing/standin/Record.h"

#include <memory>
#include <set>
#include <string>

namespace cornelpond {

struct StandinBackendServerOptions {
    BackendServerAnnouncement announcement; ///< The port is filled in when it is 0.
    std::vector<Address> entryHosts; ///< After a failed announcement the next one is used.
    Duration announceInterval = Duration::seconds(1);
    Duration serviceTime; ///< Between a request's arrival and its answer.
};

class StandinBackendServer {
public:
    /// References must outlive the server.
    StandinBackendServer(EventLoop& loop, HttpClient& client, Random& random, RecordFile& record, StandinBackendServerOptions options);
    ~StandinBackendServer();

    /// Opens the listener and begins to announce.
    void start();

    /// Sends a last announcement, which says that it leaves.
    void leave();

    /// Starts to announce itself again.
    void join();

    /// Sends no further announcements, without notice.
    void stopAnnouncing();

    void setServiceTime(Duration serviceTime) { this->options.serviceTime = serviceTime; }

    /// Whether it answers every request with status 500.
    void setFailsAll(bool failsAll) { this->failsAll = failsAll; }

    /// Faults between the entry hosts and this server.
    void setFaults(LinkFaults const& faults) { this->proxy->setFaults(faults); }

    /// Discards all further bytes of the connections that are open now, for good.
    void silenceOpenConnections() { this->proxy->silenceOpenConnections(); }

    uint16_t port() const { return this->options.announcement.port; }
    uint64_t receivedRequestCount() const { return this->receivedRequests; }

private:
    /// Since when a limit has been exceeded without interruption.
    struct LimitExcess {
        bool isOngoing = false;
        bool isRecorded = false;
        TimePoint since;
    };

    void announce();
    void answer(HttpRequest const& request, HttpResponder const& responder);
    void finish(uint64_t requestNumber, RecordEntry entry, RecordKind kind);
    void add(RecordEntry entry, RecordKind kind);
    void checkLimits();
    void checkLimit(LimitExcess& excess, bool isExceeded, RecordKind kind);

    EventLoop& loop;
    HttpClient& client;
    Random& random;
    RecordFile& record;
    StandinBackendServerOptions options;
    HttpServer server;
    std::unique_ptr<FaultProxy> proxy;
    std::set<uint64_t> requestsInFlight;
    LimitExcess slotExcess;
    LimitExcess connectionExcess;
    size_t nextHost = 0;
    uint64_t receivedRequests = 0;
    bool hasLeft = false;
    bool failsAll = false;
    TimerId timer;
};

} // namespace cornelpond
