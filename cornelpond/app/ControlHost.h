#pragma once

// One control host of a fleet: votes, stores, and schedules while it leads. Serves workers and operators.
//
// Example:
//   ControlHost host(loop, settings, events);
//   host.start();
//   loop.run();

#include "cornelpond/adapters/http/HttpClient.h"
#include "cornelpond/adapters/http/HttpServer.h"
#include "cornelpond/adapters/metrics/Metrics.h"
#include "cornelpond/app/FleetSettings.h"
#include "cornelpond/app/HostNetwork.h"
#include "cornelpond/core/relay/OrderRelay.h"
#include "cornelpond/core/relay/RelayChoice.h"
#include "cornelpond/core/scheduling/JobService.h"
#include "cornelpond/ports/Random.h"
#include "platform/ControlApi.h"
#include "platform/WorkerClient.h"

namespace cornelpond {

/// Connections kept open to each worker: its long poll and a few orders at once. With hundreds of workers more
/// would use up the process's descriptors, and the log could not be written any more.
constexpr size_t idleConnectionsPerWorker = 5;

class ControlHost {
public:
    /// `loop` and `events` must outlive the host. Reads and keeps the host's identity on its disk.
    ControlHost(EventLoop& loop, FleetSettings settings, EventSink& events);
    ~ControlHost();
    ControlHost(ControlHost const&) = delete;
    ControlHost& operator=(ControlHost const&) = delete;

    /// Reads the data folder and opens the listeners. Throws Error.
    void start();

    /// Hands leadership over, finishes what is in flight, then calls `done`.
    void shutDown(std::function<void()> done);

    void onSettingsChanged(FleetSettings const& changed);

private:
    HostNetworkHooks networkHooks();
    OrderRelayHooks relayHooks();
    void chooseRelays();
    std::string heartbeatAddress(WorkerProfile const& worker) const;
    bool followsLeader() const;
    StateMachineHooks groupHooks();
    void serveHere(ApiKind api, HttpRequest const& request, ApiAnswer const& answer);
    void handleControl(HttpRequest const& request, HttpResponder const& responder);
    void handleMetrics(HttpRequest const& request, HttpResponder const& responder);
    void tick();
    void finishShutDown();

    EventLoop& loop;
    FleetSettings settings;
    EventSink& events;
    SeededRandom random;
    Settings network;
    Metrics metrics;
    HttpClient client;
    platform::WorkerClient orders;
    RelayChoice relayChoice;
    OrderRelay relay;
    JobService service;
    platform::ControlApi api;
    HostNetwork hosts;
    HttpServer controlServer;
    HttpServer metricsServer;
    TimerId tickTimer;
    TimePoint nextRelayChoice;
    std::function<void()> onShutDown;
    TimePoint shutDownEarliest;
    TimePoint shutDownBound;
};

} // namespace cornelpond
