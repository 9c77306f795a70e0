#include "cornelpond/core/scheduling/PermitCache.h"

#include <algorithm>

namespace cornelpond {

namespace {

    /// Wait for an answer beyond the time that the policy service is configured to take.
    constexpr Duration answerTimeoutMargin = Duration::milliseconds(500);
    constexpr Duration retryDelay = Duration::milliseconds(150);
    /// A permit that expires sooner than this may be refused when the order arrives.
    constexpr Duration validityMargin = Duration::milliseconds(200);
    std::set<WorkerId> const noWorkers;

    TaskRef stageOf(TaskRef task)
    {
        task.index = 0;
        return task;
    }

    /// The first of the workers, separated by commas.
    std::string textOf(std::vector<WorkerId> const& workers)
    {
        constexpr size_t maxLogged = 12;
        std::string text;
        for (size_t i = 0; i < std::min(maxLogged, workers.size()); i++)
            text.append(i ? "," : "").append(workers[i].value());
        return text;
    }

} // namespace

PermitCache::PermitCache(WorkerOrders& orders, Clock const& clock, EventSink& events, std::function<void()> onNewPermits)
    : orders(orders)
    , clock(clock)
    , events(events)
    , onNewPermits(std::move(onNewPermits))
{
}

bool PermitCache::ensurePermits(TaskRef const& task, PermitSpec const& spec, std::vector<WorkerId> const& candidates)
{
    TaskRef const stage = stageOf(task);
    StagePermits& permits = this->permitsByStage[stage];
    TimePoint const now = this->clock.now();
    if (!permits.workers.empty() && now < permits.validUntil)
        return true;
    if (permits.isQueryPending || now < permits.retryAt || candidates.empty())
        return false;
    permits.isQueryPending = true;
    permits.workers.clear();
    permits.tickets.clear();
    this->pendingQueries.push_back({ stage, spec, candidates, now, now });
    this->sendNextQuery();
    return false;
}

void PermitCache::sendNextQuery()
{
    if (this->isQueryInFlight || this->pendingQueries.empty())
        return;
    PermitQuery query = std::move(this->pendingQueries.front());
    this->pendingQueries.pop_front();
    this->isQueryInFlight = true;
    Duration const timeout = query.spec.decisionTime + query.spec.decisionTimePerWorker * static_cast<int64_t>(query.candidates.size()) + answerTimeoutMargin;
    query.sentAt = this->clock.now();
    this->orders.requestPermits(query.stage, query.candidates, timeout, [this, alive = std::weak_ptr<bool>(this->lifetime), query](PermitAnswer const& answer) {
        if (alive.expired())
            return;
        this->isQueryInFlight = false;
        this->report(query, answer);
        this->onAnswered(query.stage, query.sentAt, answer);
        this->sendNextQuery();
    });
}

void PermitCache::report(PermitQuery const& query, PermitAnswer const& answer)
{
    Duration const lasted = this->clock.now() - query.sentAt;
    this->totals.answered += answer.isAnswered;
    this->totals.unanswered += !answer.isAnswered;
    this->totals.workersAsked += query.candidates.size();
    this->totals.workersPermitted += answer.permits.size();
    this->totals.queryDuration.observe(lasted);
    this->events.emit(Event(EventId::PermitsAnswered)
                          .with("stage", query.stage.text())
                          .with("asked", query.candidates.size())
                          .with("workers", textOf(query.candidates))
                          .with("granted", answer.permits.size())
                          .with("answered", static_cast<int>(answer.isAnswered))
                          .with("lastedMs", lasted)
                          .with("waitedMs", query.sentAt - query.requestedAt)
                          .with("waiting", this->pendingQueries.size()));
}

void PermitCache::onAnswered(TaskRef const& stage, TimePoint sentAt, PermitAnswer const& answer)
{
    auto const found = this->permitsByStage.find(stage);
    if (found == this->permitsByStage.end())
        return;
    StagePermits& permits = found->second;
    permits.isQueryPending = false;
    permits.retryAt = this->clock.now() + retryDelay;
    permits.validUntil = sentAt + answer.validity - validityMargin;
    for (auto const& permit : answer.permits) {
        permits.workers.insert(permit.worker);
        permits.tickets[permit.worker] = permit.ticket;
    }
    if (!permits.workers.empty())
        this->onNewPermits();
}

std::set<WorkerId> const& PermitCache::permittedWorkers(TaskRef const& task) const
{
    auto const found = this->permitsByStage.find(stageOf(task));
    return found == this->permitsByStage.end() ? noWorkers : found->second.workers;
}

std::string PermitCache::ticket(TaskRef const& task, WorkerId const& worker) const
{
    auto const stage = this->permitsByStage.find(stageOf(task));
    if (stage == this->permitsByStage.end())
        return std::string();
    auto const found = stage->second.tickets.find(worker);
    return found == stage->second.tickets.end() ? std::string() : found->second;
}

void PermitCache::invalidate(TaskRef const& task, WorkerId const& worker)
{
    auto const stage = this->permitsByStage.find(stageOf(task));
    if (stage == this->permitsByStage.end())
        return;
    stage->second.workers.erase(worker);
    stage->second.tickets.erase(worker);
}

void PermitCache::forgetJob(JobId const& job)
{
    auto entry = this->permitsByStage.lower_bound(TaskRef { job, 0, 0, 0 });
    while (entry != this->permitsByStage.end() && entry->first.job == job)
        entry = this->permitsByStage.erase(entry);
}

void PermitCache::clear()
{
    this->permitsByStage.clear();
    this->pendingQueries.clear();
    this->isQueryInFlight = false;
    this->lifetime = std::make_shared<bool>(true);
}

} // namespace cornelpond
