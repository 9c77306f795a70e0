#pragma once

// One control host of a fleet: stores the replicated log, votes, and schedules while it is the leader. Serves
// workers and operators.
//
// Example:
//   ControlHost host(loop, settings, events);
//   host.start();
//   loop.run();

#include "cornelpond/adapters/http/HttpClient.h"
#include "cornelpond/adapters/http/HttpServer.h"
#include "cornelpond/adapters/metrics/Metrics.h"
#include "cornelpond/app/ConnectionReport.h"
#include "cornelpond/app/DescriptorBudget.h"
#include "cornelpond/app/FleetSettings.h"
#include "cornelpond/app/HostNetwork.h"
#include "cornelpond/core/relay/OrderRelay.h"
#include "cornelpond/core/relay/RelayChoice.h"
#include "cornelpond/core/scheduling/JobService.h"
#include "cornelpond/ports/Random.h"
#include "platform/ControlApi.h"
#include "platform/WorkerClient.h"

#include <set>
#include <vector>

namespace cornelpond {

class ControlHost {
public:
    /// `loop` and `events` must outlive the host. Reads the host's identity from its disk, or creates and
    /// stores it there.
    ControlHost(EventLoop& loop, FleetSettings settings, EventSink& events);
    ~ControlHost();
    ControlHost(ControlHost const&) = delete;
    ControlHost& operator=(ControlHost const&) = delete;

    /// Reads the data folder and opens the listeners. Throws Error.
    void start();

    /// Hands its leadership over and finishes the requests in flight, within the shutdown bound of the
    /// settings, then calls `done`.
    void shutDown(std::function<void()> done);

    void onSettingsChanged(FleetSettings const& changed);

private:
    HostNetworkHooks networkHooks();
    OrderRelayHooks relayHooks();
    void updateRelays();
    void failOrdersOfLostRelays(std::vector<RelayHost> const& relays);
    std::string heartbeatAddress(WorkerProfile const& worker) const;
    bool hasHosts(DataCentreId const& dataCentre) const;
    bool isFollowingLeader() const;
    StateMachineHooks groupHooks();
    void serveLocally(ApiKind api, HttpRequest const& request, ApiAnswerCallback const& answer);
    void handleControl(HttpRequest const& request, HttpResponder const& responder);
    void handleMetrics(HttpRequest const& request, HttpResponder const& responder);
    void tick();
    void scheduleWork();
    ConnectionFigures connectionFigures() const;
    void finishShutDown();

    EventLoop& loop;
    FleetSettings settings;
    EventSink& events;
    DescriptorBudget descriptors;
    SeededRandom random;
    Settings hostSettings;
    Metrics metrics;
    HttpClient client;
    platform::WorkerClient workerClient;
    RelayChoice relayChoice;
    OrderRelay orderRelay;
    JobService jobService;
    platform::ControlApi controlApi;
    HostNetwork hostNetwork;
    HttpServer controlServer;
    HttpServer metricsServer;
    ConnectionReport connectionReport;
    TimerId tickTimer;
    TimerId workTimer;
    TimePoint nextRelayUpdate;
    std::set<HostId> relayHosts; ///< At the last update.
    std::function<void()> onShutDownComplete;
    TimePoint shutDownEarliest;
    TimePoint shutDownDeadline;
};

} // namespace cornelpond
