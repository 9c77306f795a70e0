#pragma once

// The metrics that the hosts of a fleet serve on their metrics address.

#include "cornelpond/adapters/http/HttpTypes.h"
#include "cornelpond/adapters/metrics/Metrics.h"
#include "cornelpond/app/ConnectionReport.h"
#include "cornelpond/core/relay/OrderRelay.h"
#include "cornelpond/core/scheduling/JobScheduler.h"
#include "cornelpond/ports/EventSink.h"

namespace cornelpond {

void fillSchedulerMetrics(JobScheduler const& scheduler, Metrics& metrics);
void fillRelayMetrics(OrderRelay const& relay, Metrics& metrics);
void fillConnectionMetrics(ConnectionFigures const& figures, Metrics& metrics);
void fillLogMetrics(EventSink const& events, Metrics& metrics);

HttpResponse metricsResponse(Metrics const& metrics);

} // namespace cornelpond
