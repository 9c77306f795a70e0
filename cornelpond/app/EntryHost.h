#pragma once

// One entry host: wires the core to its adapters and owns the listeners.
//
// Example:
//   EntryHost host(loop, settings, events);
//   host.start();
//   loop.run();

#include "cornelpond/adapters/http/HttpClient.h"
#include "cornelpond/adapters/http/HttpServer.h"
#include "cornelpond/adapters/metrics/Metrics.h"
#include "cornelpond/app/Api.h"
#include "cornelpond/app/CommandPusher.h"
#include "cornelpond/app/ConfigApi.h"
#include "cornelpond/app/HostNetwork.h"
#include "cornelpond/app/InteractiveService.h"
#include "cornelpond/app/Settings.h"
#include "cornelpond/app/TaskApi.h"
#include "cornelpond/app/TaskGroupReplica.h"
#include "cornelpond/app/WorkerApi.h"
#include "cornelpond/core/agreement/StateMachineSet.h"
#include "cornelpond/core/config/ConfigService.h"
#include "cornelpond/core/routing/BackendServerTable.h"
#include "cornelpond/core/tasks/Scheduler.h"
#include "cornelpond/ports/Random.h"

#include <map>

namespace cornelpond {

class EntryHost {
public:
    /// `loop` and `events` must outlive the host.
    EntryHost(EventLoop& loop, Settings settings, EventSink& events);
    ~EntryHost();

    /// Reads the data folder and opens the listeners. Throws Error.
    void start();

    /// Reports itself as draining, stops accepting requests after the drain notice, finishes those in flight
    /// within the shutdown bound (both from the settings), then calls `done`.
    void shutDown(std::function<void()> done);

private:
    void addHealthAndMetricsRoutes(ApiRouter& router);
    void onConfig(ConfigRecord const& record);
    HostNetworkHooks networkHooks();
    HttpResponse health() const;
    GroupId groupOf(HttpRequest const& request) const;
    void routeRequest(ApiKind api, HttpRequest const& request, ApiAnswerCallback const& answer);
    void serveLocally(ApiKind api, HttpRequest const& request, ApiAnswerCallback const& answer);
    void answerStatus(ApiCall const& call);
    nlohmann::json hostStatus() const;
    nlohmann::json taskStatus() const;
    void handleCaller(HttpRequest request, HttpResponder const& responder);
    void handleWorker(HttpRequest const& request, HttpResponder const& responder);
    void handleOperator(HttpRequest const& request, HttpResponder const& responder);
    void expireBackendServers();
    void tick();
    void stopAccepting();
    void finishShutDown();
    StateMachineHooks taskHooks();
    StateMachineHooks configHooks();
    JsonLimits jsonLimits() const;
    HttpLimits httpLimits() const;

    EventLoop& loop;
    Settings settings;
    EventSink& events;
    Metrics metrics;
    SeededRandom random;
    HttpClient client;
    BackendServerTable backendServers;
    Policy policy;
    CommandPusher commandPusher;
    StateMachineSet taskMachines; ///< Tasks and claims of this data centre.
    StateMachineSet configMachines;
    InteractiveService interactiveService;
    Scheduler scheduler;
    ConfigService configService;
    std::map<DataCentreId, TaskGroupReplica> witnessReplicas; ///< Replicas of other data centres' task groups.
    HostNetwork hostNetwork;
    WorkerApi workerApi;
    TaskApi taskApi;
    ConfigApi configApi;
    ApiRouter workerRouter;
    ApiRouter operatorRouter;
    HttpServer callerServer;
    HttpServer workerServer;
    HttpServer operatorServer;
    TimerId tickTimer;
    std::function<void()> onShutDownComplete;
    bool isAccepting = true;
    TimePoint drainNoticeEnd; ///< Until then new requests are served, although /health answers 503.
    TimePoint shutDownDeadline;
};

} // namespace cornelpond
