#pragma once

// A backend server as the platform would run one: announces itself, answers HTTP after a set time with
// the request's own method, path, query and body, and records each run. Connections come through a
// fault-injecting proxy of its own, which counts them and can cut answers short or go silent.
//
// Example:
//   StandinBackendServer server(loop, client, options);
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
    std::vector<Address> entryHosts; ///< Announces to one after the other until one answers.
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

    /// Announces once more that it leaves.
    void leave();

    /// Announces itself again.
    void join();

    /// Announces nothing more and says nothing about it.
    void stopAnnouncing();

    void setServiceTime(Duration serviceTime) { this->options.serviceTime = serviceTime; }

    /// Answers everything with status 500, or no longer.
    void setFailsAll(bool failsAll) { this->failsAll = failsAll; }

    /// Faults between the entry hosts and this server.
    void setFaults(LinkFaults const& faults) { this->proxy->setFaults(faults); }

    /// Connections open now go silent for good.
    void silenceOpenConnections() { this->proxy->silenceOpenConnections(); }

    uint16_t port() const { return this->options.announcement.port; }
    uint64_t receivedRequestCount() const { return this->receivedRequests; }

private:
    /// A limit that is exceeded without a break.
    struct LimitExcess {
        bool isOngoing = false;
        bool isRecorded = false;
        TimePoint since;
    };

    void announce();
    void answer(HttpRequest const& request, HttpResponder const& responder);
    void finish(uint64_t run, RecordEntry entry, RecordKind how);
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
