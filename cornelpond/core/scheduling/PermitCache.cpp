#include "cornelpond/core/scheduling/PermitCache.h"

namespace cornelpond {

namespace {

    constexpr Duration answerSlack = Duration::milliseconds(500); ///< Beyond what the service says it takes.
    constexpr Duration askAgainAfter = Duration::milliseconds(150);
    /// A permit that runs out this soon may be refused on arrival.
    constexpr Duration validityMargin = Duration::milliseconds(200);
    std::set<WorkerId> const noWorkers;

    TaskRef stageOf(TaskRef task)
    {
        task.index = 0;
        return task;
    }

} // namespace

PermitCache::PermitCache(WorkerOrders& orders, Clock const& clock, std::function<void()> onAnswer)
    : orders(orders)
    , clock(clock)
    , onNewPermits(std::move(onAnswer))
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
    PermitQuery const question = std::move(this->pendingQueries.front());
    this->pendingQueries.pop_front();
    this->isQueryInFlight = true;
    Duration const timeout = question.spec.decisionTime + question.spec.decisionTimePerWorker * static_cast<int64_t>(question.candidates.size()) + answerSlack;
    TimePoint const askedAt = this->clock.now();
    this->orders.requestPermits(question.stage, question.candidates, timeout, [this, alive = std::weak_ptr<bool>(this->lifetime), stage = question.stage, askedAt](PermitAnswer const& answer) {
        if (alive.expired())
            return;
        this->isQueryInFlight = false;
        this->onAnswered(stage, askedAt, answer);
        this->sendNextQuery();
    });
}

void PermitCache::onAnswered(TaskRef const& stage, TimePoint askedAt, PermitAnswer const& answer)
{
    auto const found = this->permitsByStage.find(stage);
    if (found == this->permitsByStage.end())
        return;
    StagePermits& permits = found->second;
    permits.isQueryPending = false;
    permits.retryAt = this->clock.now() + askAgainAfter;
    permits.validUntil = askedAt + answer.validity - validityMargin;
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
    auto at = this->permitsByStage.lower_bound(TaskRef { job, 0, 0, 0 });
    while (at != this->permitsByStage.end() && at->first.job == job)
        at = this->permitsByStage.erase(at);
}

void PermitCache::clear()
{
    this->permitsByStage.clear();
    this->pendingQueries.clear();
    this->isQueryInFlight = false;
    this->lifetime = std::make_shared<bool>(true);
}

} // namespace cornelpond
