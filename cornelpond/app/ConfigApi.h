#pragma once

// The operators' API for the configuration.
//
//   GET /v1/config?version=N   the version in force, or an older one
//   GET /v1/config/history     who changed what when
//   PUT /v1/config             {"expectedVersion", "operationId", "author", "document"}

#include "cornelpond/app/Api.h"
#include "cornelpond/core/config/ConfigService.h"
#include "cornelpond/core/config/LocalConfig.h"
#include "cornelpond/ports/Clock.h"
#include "cornelpond/ports/EventSink.h"

namespace cornelpond {

class ConfigApi {
public:
    /// All references must outlive the API. `inForce` answers where this host keeps no log of the group.
    ConfigApi(Clock const& clock, EventSink& events, ConfigService& config, LocalConfig const& inForce, JsonLimits limits)
        : clock(clock)
        , events(events)
        , config(config)
        , localConfig(inForce)
        , limits(limits)
    {
    }

    void addRoutes(ApiRouter& router);

private:
    void changeConfig(ApiCall const& call);
    static HttpResponse changeRefusal(ConfigResult const& result);

    Clock const& clock;
    EventSink& events;
    ConfigService& config;
    LocalConfig const& localConfig;
    JsonLimits limits;
};

} // namespace cornelpond
