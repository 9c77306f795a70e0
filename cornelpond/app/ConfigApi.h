#pragma once

// The operators' API for the configuration.
//
//   GET /v1/config?version=N   the version in force, or an older one
//   GET /v1/config/history     author, operation and time of each version
//   PUT /v1/config             {"expectedVersion", "operationId", "author", "document"}

#include "cornelpond/app/Api.h"
#include "cornelpond/core/config/ConfigService.h"
#include "cornelpond/core/config/LocalConfig.h"
#include "cornelpond/ports/Clock.h"
#include "cornelpond/ports/EventSink.h"

namespace cornelpond {

class ConfigApi {
public:
    /// All references must outlive the API. The version in force is read from `localConfig`, which also a host
    /// without a log of the configuration group has.
    ConfigApi(Clock const& clock, EventSink& events, ConfigService& config, LocalConfig const& localConfig, JsonLimits limits)
        : clock(clock)
        , events(events)
        , config(config)
        , localConfig(localConfig)
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
