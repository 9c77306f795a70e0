#include "cornelpond/core/scheduling/PermitCache.h"

#include "cornelpond/core/jobs/StageKey.h"

#include <algorithm>
#include <utility>

namespace cornelpond {

namespace {

    constexpr size_t minQueryWorkers = 12; ///< The policy service takes longer with each worker.
    constexpr size_t maxQueryWorkers = 100; ///< The most that the policy service accepts.
    constexpr Duration maxDecisionTime = Duration::milliseconds(500); ///< Of queries for more than the least number of workers: others wait for them.
    /// Wait for an answer beyond the time that the policy service is configured to take.
    constexpr Duration answerTimeoutMargin = Duration::milliseconds(500);
    constexpr Duration retryDelay = Duration::milliseconds(150);
    /// A permit that expires sooner than this may be refused when the order arrives. At most this share of its validity, so that
    /// permits of a short validity can be used at all.
    constexpr Duration validityMargin = Duration::milliseconds(200);
    constexpr int64_t validitySharesKept = 4;
    /// A policy may change its mind: after such a pause, refused workers are asked about again.
    constexpr Duration minRoundPause = Duration::seconds(2);
    constexpr Duration maxRoundPause = Duration::seconds(30);
    constexpr size_t maxSearchesPerCall = 8; ///< Of the workers of a stage; bounds the work where many stages have nothing to ask.

    Duration decisionTime(PermitSpec const& spec, size_t workerCount)
    {
        return spec.decisionTime + spec.decisionTimePerWorker * static_cast<int64_t>(workerCount);
    }

    /// The largest number of workers, up to `wanted`, whose permits arrive early enough to be used and whose query does not hold up
    /// those of other stages for long.
    size_t boundedQueryWorkers(size_t wanted, PermitSpec const& spec)
    {
        size_t count = std::clamp(wanted, minQueryWorkers, maxQueryWorkers);
        while (count > minQueryWorkers && decisionTime(spec, count) > maxDecisionTime)
            count--;
        while (count > 1 && decisionTime(spec, count) * 2 > spec.validity)
            count--;
        return count;
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

PermitCache::PermitCache(WorkerOrders& orders, Clock const& clock, EventSink& events, NeedOf needOf, std::function<void()> onNewPermits)
    : orders(orders)
    , clock(clock)
    , events(events)
    , needOf(std::move(needOf))
    , onNewPermits(std::move(onNewPermits))
{
}

void PermitCache::request(TaskRef const& task)
{
    TaskRef const stage = stageKey(task);
    StagePermits& permits = this->permitsByStage[stage];
    TimePoint const now = this->clock.now();
    if (permits.hasTurn || now < permits.retryAt)
        return;
    permits.hasTurn = true;
    this->turns.push_back({ stage, now });
}

void PermitCache::sendQueries()
{
    for (size_t searches = 0; !this->isQueryInFlight && !this->turns.empty() && this->clock.now() >= this->pausedUntil && searches < maxSearchesPerCall;) {
        Turn const turn = this->turns.front();
        this->turns.pop_front();
        if (!this->permitsByStage.count(turn.stage))
            continue; // Its job has ended.
        this->takeTurn(turn);
        searches++;
    }
}

void PermitCache::takeTurn(Turn const& turn)
{
    StagePermits& permits = this->permitsByStage.at(turn.stage);
    PermitNeed const need = this->needOf(turn.stage);
    std::vector<WorkerId> workers = this->chooseWorkers(permits, need);
    if (!workers.empty()) {
        this->send({ turn.stage, need.spec, std::move(workers), turn.requestedAt, this->clock.now() });
        return;
    }
    permits.hasTurn = false;
    permits.retryAt = this->clock.now() + retryDelay;
    bool const isAnyRefused = std::any_of(need.workers.begin(), need.workers.end(), [&](WorkerId const& worker) { return this->isRefused(permits, worker); });
    if (isAnyRefused && !permits.pausedUntil)
        this->pauseRound(turn.stage, permits, need.workers.size());
}

/// The workers of the next query: those that were allowed before come first, then those that were not asked about, and those that
/// were refused only in a new round. Empty when there is nothing to ask now.
std::vector<WorkerId> PermitCache::chooseWorkers(StagePermits& permits, PermitNeed const& need)
{
    if (permits.pausedUntil && this->clock.now() >= *permits.pausedUntil) {
        permits.pausedUntil.reset();
        permits.refused.clear();
    }
    this->refreshValidWorkers(permits);
    std::vector<WorkerId> workers;
    for (auto const& worker : need.workers) {
        if (!permits.validWorkers.count(worker) && !this->isRefused(permits, worker))
            workers.push_back(worker);
    }
    std::stable_partition(workers.begin(), workers.end(), [&](WorkerId const& worker) { return permits.permits.count(worker) > 0; });
    workers.resize(std::min(workers.size(), boundedQueryWorkers(permits.queryWorkers, need.spec)));
    return workers;
}

/// Ends a round: nothing is left to ask about but refused workers.
void PermitCache::pauseRound(TaskRef const& stage, StagePermits& permits, size_t workerCount)
{
    Duration pause = minRoundPause;
    for (unsigned i = 0; i < permits.rounds && pause < maxRoundPause; i++)
        pause = std::min(pause * 2, maxRoundPause);
    permits.pausedUntil = this->clock.now() + pause;
    permits.queryWorkers = 0;
    permits.rounds++;
    this->events.emit(Event(EventId::PermitsExhausted)
                          .with("stage", stage.text())
                          .with("workers", workerCount)
                          .with("permitted", permits.validWorkers.size())
                          .with("round", permits.rounds)
                          .with("pauseMs", pause));
}

void PermitCache::send(PermitQuery const& query)
{
    this->isQueryInFlight = true;
    Duration const timeout = decisionTime(query.spec, query.workers.size()) + answerTimeoutMargin;
    this->orders.requestPermits(query.stage, query.workers, timeout, [this, alive = std::weak_ptr<bool>(this->lifetime), query](PermitAnswer const& answer) {
        if (alive.expired())
            return;
        this->isQueryInFlight = false;
        this->report(query, answer);
        this->onAnswered(query, answer);
        this->sendQueries();
    });
}

void PermitCache::report(PermitQuery const& query, PermitAnswer const& answer)
{
    Duration const lasted = this->clock.now() - query.sentAt;
    this->totals.answered += answer.isAnswered;
    this->totals.unanswered += !answer.isAnswered;
    this->totals.workersAsked += query.workers.size();
    this->totals.workersPermitted += answer.permits.size();
    this->totals.queryDuration.observe(lasted);
    this->events.emit(Event(EventId::PermitsAnswered)
                          .with("stage", query.stage.text())
                          .with("asked", query.workers.size())
                          .with("workers", textOf(query.workers))
                          .with("granted", answer.permits.size())
                          .with("answered", static_cast<int>(answer.isAnswered))
                          .with("lastedMs", lasted)
                          .with("waitedMs", query.sentAt - query.requestedAt)
                          .with("waiting", this->turns.size()));
}

void PermitCache::onAnswered(PermitQuery const& query, PermitAnswer const& answer)
{
    TimePoint const now = this->clock.now();
    if (!answer.isAnswered)
        this->pausedUntil = now + retryDelay;
    auto const found = this->permitsByStage.find(query.stage);
    if (found == this->permitsByStage.end())
        return;
    StagePermits& permits = found->second;
    permits.hasTurn = false;
    if (!answer.isAnswered) {
        permits.queryWorkers = 0;
        this->request(query.stage);
        return;
    }
    this->storeAnswer(permits, query, answer);
    if (answer.permits.empty()) {
        permits.queryWorkers = std::clamp(permits.queryWorkers, minQueryWorkers, maxQueryWorkers) * 2;
        this->request(query.stage);
        return;
    }
    permits.rounds = 0;
    this->onNewPermits();
}

void PermitCache::storeAnswer(StagePermits& permits, PermitQuery const& query, PermitAnswer const& answer)
{
    // The service takes the time that it is configured to take before it decides.
    TimePoint const decidedAt = std::min(this->clock.now(), query.sentAt + decisionTime(query.spec, query.workers.size()));
    TimePoint const validUntil = decidedAt + answer.validity - std::min(validityMargin, answer.validity / validitySharesKept);
    for (auto const& worker : query.workers)
        this->setRefused(permits, worker, true);
    for (auto const& permit : answer.permits) {
        HeldPermit& held = permits.permits[permit.worker];
        held.ticket = permit.ticket;
        held.validUntil = validUntil;
        this->setRefused(permits, permit.worker, false);
    }
    for (auto const& worker : query.workers) {
        if (this->isRefused(permits, worker))
            permits.permits.erase(worker);
    }
    permits.validWorkersUntil = TimePoint();
}

std::set<WorkerId> const& PermitCache::permittedWorkers(TaskRef const& task)
{
    StagePermits& permits = this->permitsByStage[stageKey(task)];
    this->refreshValidWorkers(permits);
    return permits.validWorkers;
}

void PermitCache::refreshValidWorkers(StagePermits& permits) const
{
    TimePoint const now = this->clock.now();
    if (now < permits.validWorkersUntil)
        return;
    permits.validWorkers.clear();
    permits.validWorkersUntil = TimePoint::infiniteFuture();
    for (auto const& [worker, permit] : permits.permits) {
        if (now >= permit.validUntil)
            continue;
        permits.validWorkers.insert(worker);
        permits.validWorkersUntil = std::min(permits.validWorkersUntil, permit.validUntil);
    }
}

bool PermitCache::mayPermit(TaskRef const& task, WorkerId const& worker) const
{
    auto const found = this->permitsByStage.find(stageKey(task));
    return found == this->permitsByStage.end() || !this->isRefused(found->second, worker);
}

std::string PermitCache::ticket(TaskRef const& task, WorkerId const& worker) const
{
    auto const stage = this->permitsByStage.find(stageKey(task));
    if (stage == this->permitsByStage.end())
        return std::string();
    auto const found = stage->second.permits.find(worker);
    return found == stage->second.permits.end() ? std::string() : found->second.ticket;
}

void PermitCache::invalidate(TaskRef const& task, WorkerId const& worker)
{
    auto const stage = this->permitsByStage.find(stageKey(task));
    if (stage == this->permitsByStage.end())
        return;
    StagePermits& permits = stage->second;
    auto const held = permits.permits.find(worker);
    if (held == permits.permits.end())
        return;
    permits.validWorkersUntil = TimePoint();
    TimePoint const now = this->clock.now();
    std::optional<TimePoint> const before = std::exchange(held->second.ticketRefusedAt, now);
    held->second.validUntil = now;
    // A ticket that expired on its way, or belongs to a former process of the worker, is followed by one that the worker takes.
    if (before && now - *before < minRoundPause) {
        permits.permits.erase(held);
        this->setRefused(permits, worker, true);
    }
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
    this->workerNumbers.clear();
    this->turns.clear();
    this->isQueryInFlight = false;
    this->pausedUntil = TimePoint();
    this->lifetime = std::make_shared<bool>(true);
}

size_t PermitCache::stagesWithoutPermit() const
{
    return static_cast<size_t>(std::count_if(this->permitsByStage.begin(), this->permitsByStage.end(), [](auto const& entry) { return entry.second.rounds > 0 && entry.second.permits.empty(); }));
}

size_t PermitCache::workerNumber(WorkerId const& worker)
{
    return this->workerNumbers.try_emplace(worker, this->workerNumbers.size()).first->second;
}

bool PermitCache::isRefused(StagePermits const& permits, WorkerId const& worker) const
{
    auto const number = this->workerNumbers.find(worker);
    return number != this->workerNumbers.end() && number->second < permits.refused.size() && permits.refused[number->second];
}

void PermitCache::setRefused(StagePermits& permits, WorkerId const& worker, bool isRefused)
{
    size_t const number = this->workerNumber(worker);
    if (number >= permits.refused.size())
        permits.refused.resize(number + 1);
    permits.refused[number] = isRefused;
}

} // namespace cornelpond
