#pragma once

// One entry host of a fleet: forwards clients' calls to the leader among the control hosts, and answers
// readiness checks.
//
// Leaders may change or fail while clients wait. A call is retried while its client waits; once no leader has
// been reachable for a while, calls are refused at once.
//
// Example:
//   EntryGateway gateway(loop, settings, events);
//   gateway.start();
//   loop.run();

#include "cornelpond/adapters/http/HttpServer.h"
#include "cornelpond/adapters/metrics/Metrics.h"
#include "cornelpond/app/ConnectionReport.h"
#include "cornelpond/app/DescriptorBudget.h"
#include "cornelpond/app/FleetSettings.h"
#include "cornelpond/app/HostNetwork.h"
#include "cornelpond/ports/Random.h"

namespace cornelpond {

class EntryGateway {
public:
    /// `loop` and `events` must outlive the gateway.
    EntryGateway(EventLoop& loop, FleetSettings settings, EventSink& events);
    ~EntryGateway();
    EntryGateway(EntryGateway const&) = delete;
    EntryGateway& operator=(EntryGateway const&) = delete;

    void start();

    /// Answers readiness checks with a refusal, keeps serving during the drain notice, finishes open calls within
    /// the shutdown bound of the settings, then calls `done`.
    void shutDown(std::function<void()> done);

    void onSettingsChanged(FleetSettings const& changed);

private:
    HostNetworkHooks networkHooks() const;
    void handleCaller(HttpRequest const& request, HttpResponder const& responder);
    void handleReadiness(HttpRequest const& request, HttpResponder const& responder);
    void handleMetrics(HttpRequest const& request, HttpResponder const& responder);
    void recordCall(HttpRequest const& request, HttpResponse const& response, Duration elapsed);
    bool isLeaderReachable() const;
    ConnectionFigures connectionFigures() const;
    void tick();
    void finishShutDown();

    EventLoop& loop;
    FleetSettings settings;
    EventSink& events;
    DescriptorBudget descriptors;
    SeededRandom random;
    Settings hostSettings;
    Metrics metrics;
    HostNetwork hostNetwork;
    HttpServer callerServer;
    HttpServer readinessServer;
    HttpServer metricsServer;
    ConnectionReport connectionReport;
    TimerId tickTimer;
    TimePoint leaderLastReachable; ///< When a leader was last reachable.
    std::function<void()> onShutDownComplete;
    TimePoint drainNoticeEnd;
    TimePoint shutDownDeadline;
};

} // namespace cornelpond
