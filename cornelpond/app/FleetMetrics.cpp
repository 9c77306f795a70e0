#include "cornelpond/app/FleetMetrics.h"

#include <algorithm>
#include <set>

namespace cornelpond {

namespace {

    /// The upper bound of the size class as a label value, "inf" for the last class.
    std::string sizeLabel(size_t sizeClass)
    {
        return sizeClass < sizeClassBoundsCoreSeconds.size() ? std::to_string(sizeClassBoundsCoreSeconds.at(sizeClass)) : "inf";
    }

    /// Workers announce the names of data centres themselves.
    std::string labelValue(DataCentreId const& dataCentre)
    {
        std::string text = dataCentre.value();
        std::replace_if(
            text.begin(), text.end(), [](char byte) { return byte < ' ' || byte > '~' || byte == '"' || byte == '\\'; }, '_');
        return text;
    }

    void setEvacuationGauges(DataCentreId const& dataCentre, EvacuationProgress const& left, bool isEvacuated, Metrics& metrics)
    {
        std::string const label = "dataCentre=\"" + labelValue(dataCentre) + "\"";
        metrics.setGauge("evacuated{" + label + "}", isEvacuated ? 1 : 0);
        metrics.setGauge("evacuationAgeMs{" + label + "}", left.age.toMilliseconds());
        auto const tasks = [&](char const* taskClass, size_t count) { metrics.setGauge("evacuationTasksLeft{" + label + ",class=\"" + taskClass + "\"}", static_cast<int64_t>(count)); };
        tasks("short", left.shortTasks);
        tasks("bestEffort", left.bestEffort);
        tasks("service", left.service);
    }

} // namespace

void fillSchedulerMetrics(JobScheduler const& scheduler, Metrics& metrics)
{
    auto const gauge = [&](char const* name, size_t value) { metrics.setGauge(name, static_cast<int64_t>(value)); };
    gauge("jobsKnown", scheduler.jobs().all().size());
    SchedulerCounters const& counters = scheduler.counters();
    gauge("jobsActive", scheduler.activeJobCount());
    gauge("jobsPending", scheduler.pendingJobCount());
    gauge("jobsAccepted", counters.jobsAccepted);
    gauge("jobsRefused", counters.jobsRefused);
    gauge("jobsCompleted", counters.jobsCompleted);
    gauge("jobsFailed", counters.jobsFailed);
    gauge("jobsCancelled", counters.jobsCancelled);
    for (auto const& [result, count] : counters.cancelsAnswered)
        metrics.setGauge("cancelsAnswered{outcome=\"" + std::string(callResultName(result)) + "\"}", static_cast<int64_t>(count));
    CancelledRuns const cancelled = scheduler.cancelledRuns();
    gauge("cancelledJobsWithRuns", cancelled.jobs);
    gauge("cancelledAttempts", cancelled.attempts);
    auto const evacuations = scheduler.evacuation().progress();
    std::set<DataCentreId> dataCentres;
    for (auto const& [id, worker] : scheduler.roster().all())
        dataCentres.insert(worker.dataCentre);
    for (auto const& dataCentre : dataCentres) {
        if (!evacuations.count(dataCentre))
            setEvacuationGauges(dataCentre, EvacuationProgress(), false, metrics);
    }
    for (auto const& [dataCentre, left] : evacuations)
        setEvacuationGauges(dataCentre, left, true, metrics);
    gauge("jobsWithoutWorkers", scheduler.evacuation().jobsWithoutWorkers().count);
    metrics.setGauge("oldestCancelledRunMs", cancelled.oldest.toMilliseconds());
    EndedJobReport const& endedJobs = scheduler.dispatcher().endedJobReport();
    for (Duration const age : { Duration::seconds(2), Duration::seconds(5) })
        metrics.setGauge("endedJobAttempts{olderThanMs=\"" + std::to_string(age.toMilliseconds()) + "\"}", static_cast<int64_t>(endedJobs.attemptsOlderThan(age)));
    gauge("strayAttempts", endedJobs.listedOrphans());
    StopCounters const& stops = scheduler.dispatcher().stopCounters();
    gauge("stopsSent", stops.sent);
    gauge("stopsRepeated", stops.repeated);
    auto const& workers = scheduler.dispatcher().workers();
    gauge("leasesWithheld", static_cast<size_t>(std::count_if(workers.begin(), workers.end(), [](auto const& entry) { return entry.second.isLeaseWithheld; })));
    WorkerProcessCounters const& processes = scheduler.dispatcher().processCounters();
    gauge("workerProcessesReplaced", processes.replaced);
    gauge("startsForFormerProcess", processes.startsNotSent);
    gauge("startsByOtherProcess", processes.startsByOtherProcess);
    gauge("ordersRefusedForFormerProcess", processes.ordersRefused);
    FormerOrderWorkers const formerOrders = scheduler.dispatcher().formerOrderWorkers();
    gauge("workersWithFormerOrders", formerOrders.mayReceive);
    gauge("workersWithFormerLeases", formerOrders.mayHoldLease);
    metrics.setHistogram("stopConfirmationMs", stops.confirmationTime);
    for (auto const& [outcome, count] : scheduler.localityCounters().starts)
        metrics.setGauge("localityStarts{outcome=\"" + std::string(localityOutcomeName(outcome)) + "\"}", static_cast<int64_t>(count));
    for (auto const& [outcome, waits] : scheduler.localityCounters().waits)
        metrics.setHistogram("localityWaitMs" + std::string(outcome == LocalityOutcome::NearAfterWait ? "Near" : "Elsewhere"), waits);
    PermitCounters const& permits = scheduler.permitCache().counters();
    gauge("permitQueries{outcome=\"answered\"}", permits.answered);
    gauge("permitQueries{outcome=\"unanswered\"}", permits.unanswered);
    gauge("permitWorkersAsked", permits.workersAsked);
    gauge("permitWorkersGranted", permits.workersPermitted);
    gauge("permitQueriesWaiting", scheduler.permitCache().waitingQueries());
    gauge("stagesWithoutPermit", scheduler.permitCache().stagesWithoutPermit());
    metrics.setHistogram("permitQueryMs", permits.queryDuration);
    gauge("startsDecided", counters.startsDecided);
    gauge("copiesStarted", counters.copiesStarted);
    gauge("evictions", scheduler.evictionCount());
    for (auto const& [end, count] : counters.attemptEnds)
        metrics.setGauge("attemptsEnded{outcome=\"" + std::string(attemptEndName(end)) + "\"}", static_cast<int64_t>(count));
    for (auto const& [key, count] : counters.jobEnds)
        metrics.setGauge("jobsEnded{coreSeconds=\"" + sizeLabel(key.first) + "\",outcome=\"" + std::string(jobOutcomeName(key.second)) + "\"}", static_cast<int64_t>(count));
    auto const unfinished = scheduler.activeJobsBySize();
    for (size_t sizeClass = 0; sizeClass < unfinished.size(); sizeClass++)
        metrics.setGauge("jobsUnfinished{coreSeconds=\"" + sizeLabel(sizeClass) + "\"}", static_cast<int64_t>(unfinished.at(sizeClass)));
    RoomSummary const room = scheduler.room();
    metrics.setGauge("capacityMilliCores", room.capacityMilliCores);
    metrics.setGauge("reservedMilliCores", room.reservedMilliCores);
    metrics.setGauge("serviceMilliCores", room.serviceMilliCores);
    for (size_t i = 0; i < summarizedNeedsCores.size(); i++) {
        std::string const label = "{cores=\"" + std::to_string(summarizedNeedsCores.at(i)) + "\"}";
        metrics.setGauge("freePlaces" + label, room.freePlaces.at(i));
        metrics.setGauge("placesBesideServices" + label, room.placesBesideServices.at(i));
    }
    WaitingSummary const waiting = scheduler.waitingTasks();
    auto const waitingGauges = [&](std::string const& taskClass, WaitingTasks const& tasks) {
        metrics.setGauge("waitingTasks{class=\"" + taskClass + "\"}", static_cast<int64_t>(tasks.count));
        metrics.setGauge("oldestWaitingTaskMs{class=\"" + taskClass + "\"}", tasks.oldest.toMilliseconds());
    };
    waitingGauges("short", waiting.shortTasks);
    waitingGauges("bestEffort", waiting.bestEffort);
    waitingGauges("service", waiting.service);
    gauge("passes", counters.passes);
    gauge("placementChoices", scheduler.placementCounters().choices);
    gauge("workersExamined", scheduler.placementCounters().workersExamined);
    gauge("attemptsChecked", scheduler.dispatcher().attemptsChecked());
    metrics.setHistogram("passDurationMs", counters.passDuration);
    metrics.setHistogram("tickGapMs", scheduler.tickGap());
    metrics.setHistogram("submitLatencyMs", counters.submitLatency);
    metrics.setHistogram("placeLatencyMs", counters.placeLatency);
    metrics.setHistogram("completionLatencyMs", counters.completionLatency);
    StepTimes const& steps = scheduler.stepTimes();
    for (size_t step = 0; step < jobStepCount; step++)
        metrics.setHistogram(std::string(jobStepName(static_cast<JobStep>(step))) + "Ms", steps.histogram(static_cast<JobStep>(step)));
    metrics.setHistogram("firstStageStartMs", steps.firstStages());
    metrics.setHistogram("laterStageStartMs", steps.laterStages());
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

void fillRelayMetrics(OrderRelay const& relay, Metrics& metrics)
{
    auto const gauge = [&](char const* name, uint64_t value) { metrics.setGauge(name, static_cast<int64_t>(value)); };
    OrderRelayCounters const& counters = relay.counters();
    gauge("relayedOrders", counters.ordersRelayed);
    gauge("relayBatchesSent", counters.batchesSent);
    gauge("relayBatchesReceived", counters.batchesReceived);
    gauge("relayedAnswers", counters.answersReceived);
    gauge("relayedListings", counters.listingsReceived);
    gauge("relayedListingChanges", counters.listingChangesReceived);
    gauge("relayedListingRows", counters.listingRowsReceived);
    gauge("relayedOrdersExpired", counters.ordersExpired);
    gauge("relayedOrdersOpen", relay.openOrderCount());
    for (auto const& [result, count] : counters.startsExecuted)
        gauge(("relayedStartsExecuted{result=\"" + std::string(orderResultName(result)) + "\"}").c_str(), count);
    for (auto const& [result, count] : counters.stopsExecuted)
        gauge(("relayedStopsExecuted{result=\"" + std::string(orderResultName(result)) + "\"}").c_str(), count);
}

void fillConnectionMetrics(ConnectionFigures const& figures, Metrics& metrics)
{
    auto const gauge = [&](char const* name, uint64_t value) { metrics.setGauge(name, static_cast<int64_t>(value)); };
    gauge("incomingConnections", figures.incomingOpen);
    gauge("incomingConnectionsBound", figures.incomingBound);
    gauge("incomingConnectionsRefused", figures.incomingRefused);
    gauge("outgoingConnections", figures.outgoingOpen);
    gauge("outgoingConnectionsBound", figures.outgoingBound);
    gauge("outgoingRequestsWaiting", figures.requestsWaiting);
    gauge("outgoingRequestsDelayed", figures.requestsDelayed);
    gauge("outgoingRequestsUnsent", figures.requestsUnsent);
}

void fillLogMetrics(EventSink const& events, Metrics& metrics)
{
    for (auto const& [id, count] : events.suppressedEvents())
        metrics.setGauge("eventsSuppressed{event=\"" + std::string(eventInfo(id).name) + "\"}", static_cast<int64_t>(count));
}

HttpResponse metricsResponse(Metrics const& metrics)
{
    HttpResponse response;
    response.headers.add("Content-Type", "text/plain");
    response.body = metrics.text();
    return response;
}

} // namespace cornelpond
