#include "cornelpond/app/FleetMetrics.h"

namespace cornelpond {

void fillSchedulerMetrics(JobScheduler const& scheduler, Metrics& metrics)
{
    auto const gauge = [&](char const* name, size_t value) { metrics.setGauge(name, static_cast<int64_t>(value)); };
    gauge("jobsKnown", scheduler.jobs().all().size());
    SchedulerCounters const& counters = scheduler.counters();
    gauge("jobsActive", scheduler.activeJobCount());
    gauge("jobsAccepted", counters.jobsAccepted);
    gauge("jobsRefused", counters.jobsRefused);
    gauge("jobsCompleted", counters.jobsCompleted);
    gauge("jobsFailed", counters.jobsFailed);
    gauge("jobsCancelled", counters.jobsCancelled);
    gauge("startsDecided", counters.startsDecided);
    gauge("evictions", counters.evictions);
    for (auto const& [end, count] : counters.attemptEnds)
        metrics.setGauge("attemptsEnded{outcome=\"" + std::string(attemptEndName(end)) + "\"}", static_cast<int64_t>(count));
    metrics.setHistogram("submitLatencyMs", counters.submitLatency);
    metrics.setHistogram("placeLatencyMs", counters.placeLatency);
    metrics.setHistogram("completionLatencyMs", counters.completionLatency);
    gauge("leads", scheduler.dispatcher().isLeading());
    size_t placedAttempts = 0;
    size_t workersWithListing = 0;
    for (auto const& [id, worker] : scheduler.dispatcher().workers()) {
        placedAttempts += worker.placed.size();
        workersWithListing += worker.hasListing;
    }
    gauge("workersKnown", scheduler.dispatcher().workers().size());
    gauge("workersInTouch", workersWithListing);
    gauge("attemptsPlaced", placedAttempts);
}

HttpResponse metricsResponse(Metrics const& metrics)
{
    HttpResponse response;
    response.headers.add("Content-Type", "text/plain");
    response.body = metrics.text();
    return response;
}

} // namespace cornelpond
