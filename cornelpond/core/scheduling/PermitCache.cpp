#include "cornelpond/core/scheduling/PermitCache.h"

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

} // namespace

PermitCache::PermitCache(WorkerOrders& orders, Clock const& clock, std::function<void()> onNewPermits)
    : orders(orders)
    , clock(clock)
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
    this->pendingQueries.push_back({ stage, spec, candidates });
    this->sendNextQuery();
    return false;
}

void PermitCache::sendNextQuery()
{
    if (this->isQueryInFlight || this->pendingQueries.empty())
        return;
    PermitQuery const query = std::move(this->pendingQueries.front());
    this->pendingQueries.pop_front();
    this->isQueryInFlight = true;
    Duration const timeout = query.spec.decisionTime + query.spec.decisionTimePerWorker * static_cast<int64_t>(query.candidates.size()) + answerTimeoutMargin;
    TimePoint const sentAt = this->clock.now();
    this->orders.requestPermits(query.stage, query.candidates, timeout, [this, alive = std::weak_ptr<bool>(this->lifetime), stage = query.stage, sentAt](PermitAnswer const& answer) {
        if (alive.expired())
            return;
        this->isQueryInFlight = false;
        this->onAnswered(stage, sentAt, answer);
        this->sendNextQuery();
    });
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
