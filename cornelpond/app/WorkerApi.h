#pragma once

// The API of workers and backend servers: their announcements.
//
//   POST /v1/workers/announce          WorkerAnnouncement -> AnnouncementAnswer
//   POST /v1/backend-servers/announce  BackendServerAnnouncement -> expiry

#include "cornelpond/app/Api.h"
#include "cornelpond/core/routing/BackendServerTable.h"
#include "cornelpond/core/tasks/Scheduler.h"

#include <functional>

namespace cornelpond {

class WorkerApi {
public:
    /// `scheduler` must outlive the API. `onBackendServer` gets every backend server's announcement.
    WorkerApi(Scheduler& scheduler, Duration expiry, JsonLimits limits, std::function<void(BackendServerAnnouncement const&)> onBackendServer);

    void addRoutes(ApiRouter& router);

private:
    void announceBackendServer(ApiCall const& call);

    Scheduler& scheduler;
    Duration announcementExpiry;
    JsonLimits limits;
    std::function<void(BackendServerAnnouncement const&)> onBackendServer;
};

} // namespace cornelpond
