#include "cornelpond/app/WorkerApi.h"

#include "cornelpond/core/tasks/WorkerMessages.h"

#include <nlohmann/json.hpp>

namespace cornelpond {

WorkerApi::WorkerApi(Clock const& clock, EventSink& events, Scheduler& scheduler, BackendServerTable& backendServers, DataCentreId dataCentre, Duration expiry, JsonLimits limits,
    std::function<void()> onServersChanged)
    : clock(clock)
    , events(events)
    , scheduler(scheduler)
    , backendServers(backendServers)
    , dataCentre(std::move(dataCentre))
    , expiry(expiry)
    , limits(limits)
    , onServersChanged(std::move(onServersChanged))
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
    BackendServerAnnouncement announcement = backendServerAnnouncementFromJson(call.body(this->limits));
    if (announcement.dataCentre.empty())
        announcement.dataCentre = this->dataCentre;
    bool const joined = this->backendServers.announce(announcement, this->clock.now());
    if (joined) {
        this->events.emit(Event(EventId::BackendServerJoined).with("server", announcement.server).with("service", announcement.service).with("slots", announcement.slots));
        this->onServersChanged();
    }
    if (announcement.leaving)
        this->events.emit(Event(EventId::BackendServerLeft).with("server", announcement.server).with("reason", "said so"));
    call.answer(jsonResponse(200, { { "code", 0 }, { "expiryMs", this->expiry.toMilliseconds() } }));
}

} // namespace cornelpond
