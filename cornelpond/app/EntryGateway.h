#pragma once

// One entry host of a fleet: takes clients' calls, has the leader among the control hosts serve them, and
// says whether it is ready for new connections.
//
// Load pattern it answers: leaders that change or vanish while clients wait. A call is tried again while its
// client waits; once no leader has been in reach for a while, calls are refused at once.
//
// Example:
//   EntryGateway gateway(loop, settings, events);
//   gateway.start();
//   loop.run();

#include "cornelpond/adapters/http/HttpServer.h"
#include "cornelpond/adapters/metrics/Metrics.h"
#include "cornelpond/app/FleetSettings.h"
#include "cornelpond/app/HostNetwork.h"
#include "cornelpond/ports/Random.h"

namespace cornelpond {

class EntryGateway {
public:
    /// `loop` and `events` must outlive the host.
    EntryGateway(EventLoop& loop, FleetSettings settings, EventSink& events);
    ~EntryGateway();
    EntryGateway(EntryGateway const&) = delete;
    EntryGateway& operator=(EntryGateway const&) = delete;

    void start();

    /// Says that it is not ready, serves until clients have moved on, then calls `done`.
    void shutDown(std::function<void()> done);

    void onSettingsChanged(FleetSettings const& changed);

private:
    HostNetworkHooks networkHooks() const;
    void handleCaller(HttpRequest const& request, HttpResponder const& responder);
    void handleReadiness(HttpRequest const& request, HttpResponder const& responder);
    void handleMetrics(HttpRequest const& request, HttpResponder const& responder);
    void recordCall(HttpRequest const& request, HttpResponse const& response, Duration lasted);
    bool isLeaderReachable() const;
    void tick();
    void finishShutDown();

    EventLoop& loop;
    FleetSettings settings;
    EventSink& events;
    SeededRandom random;
    Settings hostSettings;
    Metrics metrics;
    HostNetwork hostNetwork;
    HttpServer callerServer;
    HttpServer readinessServer;
    HttpServer metricsServer;
    TimerId tickTimer;
    TimePoint leaderLastReachable; ///< When some leader was last in reach.
    std::function<void()> onShutDownComplete;
    TimePoint drainNoticeEnd;
    TimePoint shutDownDeadline;
};

} // namespace cornelpond
