#pragma once

// The API of workers and backend servers: their announcements.
//
//   POST /v1/workers/announce          WorkerAnnouncement -> AnnouncementAnswer
//   POST /v1/backend-servers/announce  BackendServerAnnouncement -> expiry

#include "cornelpond/app/Api.h"
#include "cornelpond/core/routing/BackendServerTable.h"
#include "cornelpond/core/tasks/Scheduler.h"
#include "cornelpond/ports/Clock.h"
#include "cornelpond/ports/EventSink.h"

#include <functional>

namespace cornelpond {

class WorkerApi {
public:
    /// All references must outlive the API. `onServersChanged` is called when a backend server joined.
    WorkerApi(Clock const& clock, EventSink& events, Scheduler& scheduler, BackendServerTable& backendServers, DataCentreId dataCentre, Duration expiry, JsonLimits limits,
        std::function<void()> onServersChanged);

    void addRoutes(ApiRouter& router);

private:
    void announceBackendServer(ApiCall const& call);

    Clock const& clock;
    EventSink& events;
    Scheduler& scheduler;
    BackendServerTable& backendServers;
    DataCentreId dataCentre;
    Duration expiry;
    JsonLimits limits;
    std::function<void()> onServersChanged;
};

} // namespace cornelpond
