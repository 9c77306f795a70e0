#include "cornelpond/core/scheduling/PermitBook.h"

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

PermitBook::PermitBook(WorkerOrders& orders, Clock const& clock, std::function<void()> onAnswer)
    : orders(orders)
    , clock(clock)
    , onNewPermits(std::move(onAnswer))
{
}

bool PermitBook::request(TaskRef const& task, PermitSpec const& spec, std::vector<WorkerId> const& candidates)
{
    TaskRef const stage = stageOf(task);
    StagePermits& permits = this->stages[stage];
    TimePoint const now = this->clock.now();
    if (!permits.workers.empty() && now < permits.validUntil)
        return true;
    if (permits.isAsked || now < permits.askAgain || candidates.empty())
        return false;
    permits.isAsked = true;
    permits.workers.clear();
    permits.tickets.clear();
    this->questions.push_back({ stage, spec, candidates });
    this->askNext();
    return false;
}

void PermitBook::askNext()
{
    if (this->isOpen || this->questions.empty())
        return;
    Question const question = std::move(this->questions.front());
    this->questions.pop_front();
    this->isOpen = true;
    Duration const timeout = question.spec.decision + question.spec.perWorker * static_cast<int64_t>(question.candidates.size()) + answerSlack;
    TimePoint const askedAt = this->clock.now();
    this->orders.askPermits(question.stage, question.candidates, timeout, [this, alive = std::weak_ptr<bool>(this->lifetime), stage = question.stage, askedAt](PermitAnswer const& answer) {
        if (alive.expired())
            return;
        this->isOpen = false;
        this->onAnswered(stage, askedAt, answer);
        this->askNext();
    });
}

void PermitBook::onAnswered(TaskRef const& stage, TimePoint askedAt, PermitAnswer const& answer)
{
    auto const found = this->stages.find(stage);
    if (found == this->stages.end())
        return;
    StagePermits& permits = found->second;
    permits.isAsked = false;
    permits.askAgain = this->clock.now() + askAgainAfter;
    permits.validUntil = askedAt + answer.validity - validityMargin;
    for (auto const& permit : answer.permits) {
        permits.workers.insert(permit.worker);
        permits.tickets[permit.worker] = permit.ticket;
    }
    if (!permits.workers.empty())
        this->onNewPermits();
}

std::set<WorkerId> const& PermitBook::allowed(TaskRef const& task) const
{
    auto const found = this->stages.find(stageOf(task));
    return found == this->stages.end() ? noWorkers : found->second.workers;
}

std::string PermitBook::ticket(TaskRef const& task, WorkerId const& worker) const
{
    auto const stage = this->stages.find(stageOf(task));
    if (stage == this->stages.end())
        return std::string();
    auto const found = stage->second.tickets.find(worker);
    return found == stage->second.tickets.end() ? std::string() : found->second;
}

void PermitBook::invalidate(TaskRef const& task, WorkerId const& worker)
{
    auto const stage = this->stages.find(stageOf(task));
    if (stage == this->stages.end())
        return;
    stage->second.workers.erase(worker);
    stage->second.tickets.erase(worker);
}

void PermitBook::forgetJob(JobId const& job)
{
    auto at = this->stages.lower_bound(TaskRef { job, 0, 0, 0 });
    while (at != this->stages.end() && at->first.job == job)
        at = this->stages.erase(at);
}

void PermitBook::clear()
{
    this->stages.clear();
    this->questions.clear();
    this->isOpen = false;
    this->lifetime = std::make_shared<bool>(true);
}

} // namespace cornelpond
