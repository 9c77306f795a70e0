#include "cornelpond/app/WorkerApi.h"

#include "cornelpond/core/tasks/WorkerMessages.h"

#include <nlohmann/json.hpp>

namespace cornelpond {

WorkerApi::WorkerApi(Scheduler& scheduler, Duration expiry, JsonLimits limits, std::function<void(BackendServerAnnouncement const&)> onBackendServer)
    : scheduler(scheduler)
    , announcementExpiry(expiry)
    , limits(limits)
    , onBackendServer(std::move(onBackendServer))
{
}

void WorkerApi::addRoutes(ApiRouter& router)
{
    router.add("POST", "/v1/workers/announce", [this](ApiCall const& call) {
        AnnouncementAnswer const answer = this->scheduler.onAnnouncement(workerAnnouncementFromJson(call.body(this->limits)));
        call.answer(jsonResponse(200, cornelpond::toJson(answer)));
    });
    router.add("POST", "/v1/backend-servers/announce", [this](ApiCall const& call) { this->announceBackendServer(call); });
}

void WorkerApi::announceBackendServer(ApiCall const& call)
{
    this->onBackendServer(backendServerAnnouncementFromJson(call.body(this->limits)));
    call.answer(jsonResponse(200, { { "code", 0 }, { "expiryMs", this->announcementExpiry.toMilliseconds() } }));
}

} // namespace cornelpond
