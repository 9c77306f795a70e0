#include "testing/fakes/FakeFleet.h"

#include <algorithm>

namespace cornelpond {

namespace {

    constexpr Duration oneWay = Duration::milliseconds(2);
    constexpr Duration answerTimeout = Duration::milliseconds(600);
    constexpr Duration checkpointInterval = Duration::seconds(2);
    constexpr Duration serviceStartup = Duration::milliseconds(400);
    constexpr double serviceUse = 0.42;
    constexpr int64_t restingTailShare = 3; ///< A service task that nobody disturbs is at a third of its target.

} // namespace

FakeFleet::FakeFleet(FakeClock& clock, Random& random)
    : clock(clock)
    , random(random)
    , lastStep(clock.now())
{
}

void FakeFleet::addWorker(WorkerProfile const& profile, double speed)
{
    Worker worker;
    worker.profile = profile;
    worker.speed = speed;
    worker.bornAt = this->clock.now();
    this->workers[profile.id] = worker;
}

void FakeFleet::expect(JobSpec const& job, double factor)
{
    this->jobs[job.id] = { job, factor };
}

void FakeFleet::setHarm(std::string const& service, std::string const& bestEffort, double slope)
{
    this->harm[{ service, bestEffort }] = slope;
}

WorkerReport FakeFleet::report(WorkerId const& id)
{
    Worker& worker = this->workers.at(id);
    WorkerReport report;
    report.profile = worker.profile;
    report.sequence = ++worker.sequence;
    report.drainRemaining = Duration::seconds(2);
    return report;
}

std::vector<WorkerId> FakeFleet::workersUp() const
{
    std::vector<WorkerId> up;
    for (auto const& [id, worker] : this->workers) {
        if (worker.isUp && !worker.isCut)
            up.push_back(id);
    }
    return up;
}

void FakeFleet::crash(WorkerId const& id)
{
    Worker& worker = this->workers.at(id);
    worker.isUp = false;
    worker.runs.clear();
    this->breakWaiting(worker);
}

/// What waited for an answer learns that its connection is gone.
void FakeFleet::breakWaiting(Worker& worker)
{
    for (auto const& waiting : worker.waiting)
        this->clock.after(oneWay, [done = waiting.done] { done(RenewAnswer()); });
    worker.waiting.clear();
}

void FakeFleet::restart(WorkerId const& id)
{
    Worker& worker = this->workers.at(id);
    this->breakWaiting(worker);
    WorkerProfile profile = worker.profile;
    double const speed = worker.speed;
    profile.bornMs++;
    profile.isDraining = false;
    this->addWorker(profile, speed);
}

void FakeFleet::setCut(WorkerId const& id, bool isCut)
{
    this->workers.at(id).isCut = isCut;
}

size_t FakeFleet::runningCount(JobId const& job) const
{
    size_t count = 0;
    for (auto const& [id, worker] : this->workers)
        count += static_cast<size_t>(std::count_if(worker.runs.begin(), worker.runs.end(), [&](auto const& run) { return run.first.first.job == job; }));
    return count;
}

unsigned FakeFleet::slowestThrottle(JobId const& job) const
{
    unsigned slowest = 100;
    for (auto const& [id, worker] : this->workers) {
        for (auto const& [key, run] : worker.runs) {
            if (key.first.job == job)
                slowest = std::min(slowest, run.throttle);
        }
    }
    return slowest;
}

std::set<std::string> FakeFleet::imagesOn(WorkerId const& id) const
{
    std::set<std::string> images;
    for (auto const& [key, run] : this->workers.at(id).runs)
        images.insert(run.stage.image);
    return images;
}

OrderAnswer FakeFleet::answer(Worker const& worker, OrderResult result) const
{
    return { result, true, this->clock.now() - worker.bornAt };
}

/// Brings an order to the worker and its answer back, or neither, or late. An order waits in the process that
/// took it: a later life of the worker does not carry it out.
void FakeFleet::deliver(WorkerTarget const& target, std::function<OrderAnswer(Worker&)> action, Done done)
{
    bool const isLate = this->random.nextDouble() < this->faults.lateOrders;
    auto const span = static_cast<uint64_t>((this->faults.lateMax - this->faults.lateMin).toMicroseconds()) + 1;
    Duration const way = isLate ? this->faults.lateMin + Duration::microseconds(static_cast<int64_t>(this->random.below(span))) : oneWay;
    if (isLate)
        this->clock.after(answerTimeout, [done] { done(OrderAnswer()); });
    if (this->answersOtherLife(target)) {
        OrderAnswer other;
        other.result = OrderResult::OtherLife;
        this->clock.after(oneWay * 2, [done, other] { done(other); });
        return;
    }
    int64_t const life = this->workers.at(target.id).profile.bornMs;
    this->clock.after(way, [this, id = target.id, life, isLate, action = std::move(action), done = std::move(done)] {
        Worker& worker = this->workers.at(id);
        bool const isReached = worker.isUp && !worker.isCut && worker.profile.bornMs == life;
        OrderAnswer given;
        if (isReached)
            given = action(worker);
        else if (!worker.isUp)
            given.result = OrderResult::NotSent;
        if (!isLate)
            this->clock.after(isReached || !worker.isUp ? oneWay : answerTimeout, [done, given] { done(given); });
    });
}

/// Nobody of that name is there: the worker at the address says so.
bool FakeFleet::answersOtherLife(WorkerTarget const& target) const
{
    return !this->workers.count(target.id);
}

void FakeFleet::start(WorkerTarget const& worker, StartOrder const& order, Done done)
{
    this->deliver(
        worker, [this, order](Worker& target) { return this->carryOutStart(target, order); }, std::move(done));
}

OrderAnswer FakeFleet::carryOutStart(Worker& worker, StartOrder const& order)
{
    if (order.epoch < worker.epoch)
        return this->answer(worker, OrderResult::RefusedEpoch);
    worker.epoch = order.epoch;
    TimePoint const leaseEnd = worker.bornAt + order.leaseUntil;
    if (leaseEnd <= this->clock.now())
        return this->answer(worker, OrderResult::RefusedLate);
    worker.leaseEnd = std::max(worker.leaseEnd, leaseEnd);
    AttemptKey const key { order.task, order.attempt };
    if (worker.runs.count(key))
        return this->answer(worker, OrderResult::Accepted);
    auto const closed = worker.closed.find(order.task);
    if (closed != worker.closed.end() && order.attempt <= closed->second)
        return this->answer(worker, OrderResult::RefusedOld);
    auto const job = this->jobs.find(order.task.job);
    if (job == this->jobs.end()) {
        this->seen.unknownStarts++;
        return this->answer(worker, OrderResult::Invalid);
    }
    StageSpec const& stage = job->second.first.stages[order.task.stage];
    Resources need = stage.need;
    if (stage.isBestEffort)
        need.milliCores = 0;
    if (!(need + this->reservedOn(worker)).fitsIn(worker.profile.capacity)) {
        this->seen.overCapacity++;
        return this->answer(worker, OrderResult::RefusedRoom);
    }
    this->recordStart(order.task, stage, worker);
    Run run;
    run.stage = stage;
    run.left = Duration::microseconds(static_cast<int64_t>(static_cast<double>(stage.estimatedRunTime.toMicroseconds()) * job->second.second));
    run.checkpoint = order.checkpoint;
    run.willFail = this->random.nextDouble() < this->faults.failures;
    worker.runs.emplace(key, run);
    return this->answer(worker, OrderResult::Accepted);
}

void FakeFleet::recordStart(TaskRef const& task, StageSpec const& stage, Worker const& worker)
{
    this->seen.starts++;
    if (this->onStart)
        this->onStart(task);
    this->seen.startsWhileDraining += worker.profile.isDraining;
    this->seen.startsAfterDone += this->doneAcknowledged.count(task);
    for (auto const& [id, other] : this->workers) {
        bool const runsThere = std::any_of(other.runs.begin(), other.runs.end(), [&](auto const& run) { return run.first.first == task; });
        this->seen.doubleRuns += runsThere && !stage.allowsSpeculativeCopies;
    }
    JobSpec const& job = this->jobs.at(task.job).first;
    for (auto const earlier : stage.dependsOn) {
        for (uint32_t index = 0; index < job.stages[earlier].taskCount; index++)
            this->seen.brokenOrder += !this->doneSeen.count({ task.job, task.occurrence, earlier, index });
    }
}

void FakeFleet::stop(WorkerTarget const& worker, StopOrder const& order, Done done)
{
    this->deliver(
        worker, [this, order](Worker& target) { return this->carryOutStop(target, order); }, std::move(done));
}

OrderAnswer FakeFleet::carryOutStop(Worker& worker, StopOrder const& order)
{
    if (order.epoch < worker.epoch)
        return this->answer(worker, OrderResult::RefusedEpoch);
    worker.epoch = order.epoch;
    AttemptNumber& closed = worker.closed[order.task];
    closed = std::max(closed, order.attempt);
    AttemptKey const key { order.task, order.attempt };
    if (worker.runs.count(key))
        this->end(worker, key, AttemptEnd::Stopped);
    return this->answer(worker, OrderResult::Accepted);
}

void FakeFleet::throttle(WorkerTarget const& worker, ThrottleOrder const& order, Done done)
{
    this->deliver(
        worker,
        [this, order](Worker& target) {
            auto const run = target.runs.find({ order.task, order.attempt });
            if (run != target.runs.end())
                run->second.throttle = order.speedPercent;
            return this->answer(target, run == target.runs.end() ? OrderResult::RefusedOld : OrderResult::Accepted);
        },
        std::move(done));
}

void FakeFleet::renew(WorkerTarget const& target, RenewOrder const& given, std::function<void(RenewAnswer const&)> done)
{
    if (this->answersOtherLife(target)) {
        RenewAnswer other;
        other.order.result = OrderResult::OtherLife;
        this->clock.after(oneWay * 2, [done, other] { done(other); });
        return;
    }
    bool const isLost = this->random.nextDouble() < this->faults.lateOrders;
    Worker const& addressed = this->workers.at(target.id);
    bool const isSameProcess = addressed.hasAnswered;
    RenewOrder order = given;
    if (!isSameProcess) {
        order.acknowledgedEnds = 0;
        order.maxWait = Duration();
    }
    this->clock.after(oneWay, [this, id = target.id, life = addressed.profile.bornMs, isSameProcess, order, isLost, done = std::move(done)] {
        Worker& worker = this->workers.at(id);
        bool const isBroken = isSameProcess && worker.profile.bornMs != life;
        if (!worker.isUp || worker.isCut || isLost || isBroken) {
            RenewAnswer lost;
            lost.order.result = worker.isUp ? OrderResult::Unknown : OrderResult::NotSent;
            this->clock.after(answerTimeout, [done, lost] { done(lost); });
            return;
        }
        if (order.epoch < worker.epoch) {
            RenewAnswer refused;
            refused.order = this->answer(worker, OrderResult::RefusedEpoch);
            this->clock.after(oneWay, [done, refused] { done(refused); });
            return;
        }
        worker.epoch = order.epoch;
        if (order.extendsLease)
            worker.leaseEnd = std::max(worker.leaseEnd, worker.bornAt + order.leaseUntil);
        worker.waiting.push_back({ order, done, this->clock.now() + order.maxWait });
        this->answerWaiting(worker, false);
    });
}

void FakeFleet::answerWaiting(Worker& worker, bool isForced)
{
    for (auto at = worker.waiting.begin(); at != worker.waiting.end();) {
        bool const hasNews = !worker.ended.empty() && worker.ended.back().number > at->order.acknowledgedEnds;
        if (!isForced && !hasNews && this->clock.now() < at->until) {
            ++at;
            continue;
        }
        RenewAnswer const answer = this->list(worker, at->order);
        bool const isCut = worker.isCut;
        auto const done = std::move(at->done);
        at = worker.waiting.erase(at);
        this->clock.after(isCut ? answerTimeout : oneWay, [done, answer, isCut] { done(isCut ? RenewAnswer() : answer); });
    }
}

RenewAnswer FakeFleet::list(Worker& worker, RenewOrder const& order)
{
    auto const isForgotten = [&](ListedEnd const& end) { return end.number <= order.acknowledgedEnds; };
    for (auto const& end : worker.ended) {
        if (!isForgotten(end))
            continue;
        if (end.end == AttemptEnd::Done && end.number > worker.voidEnds)
            this->doneAcknowledged.insert(end.task);
        this->seen.acknowledgedTooEarly += this->mayForget && !this->mayForget(end, worker.profile.id);
    }
    worker.ended.erase(std::remove_if(worker.ended.begin(), worker.ended.end(), isForgotten), worker.ended.end());
    RenewAnswer answer;
    worker.hasAnswered = true;
    answer.acknowledgedEnds = order.acknowledgedEnds;
    answer.order = this->answer(worker, OrderResult::Accepted);
    answer.listing.bornMs = worker.profile.bornMs;
    for (auto const& [key, run] : worker.runs) {
        bool const isAtWork = run.stage.isService && run.age >= serviceStartup;
        int64_t const figure = run.stage.isService ? run.tailMs : static_cast<int64_t>(run.usedMilliCores);
        answer.listing.running.push_back({ key.first, key.second, run.checkpoint, isAtWork ? 100U : 0U, figure });
    }
    answer.listing.ended = worker.ended;
    return answer;
}

void FakeFleet::requestPermits(TaskRef const&, std::vector<WorkerId> const& asked, Duration, std::function<void(PermitAnswer const&)> done)
{
    PermitAnswer answer;
    answer.isAnswered = true;
    answer.validity = Duration::seconds(3);
    for (size_t i = 0; i < asked.size(); i += 2)
        answer.permits.push_back({ asked[i], "ticket" });
    this->clock.after(oneWay * 2, [done, answer] { done(answer); });
}

Resources FakeFleet::reservedOn(Worker const& worker) const
{
    Resources sum;
    for (auto const& [key, run] : worker.runs) {
        Resources need = run.stage.need;
        if (run.stage.isBestEffort)
            need.milliCores = 0;
        sum += need;
    }
    return sum;
}

void FakeFleet::end(Worker& worker, AttemptKey const& key, AttemptEnd how)
{
    Run const run = worker.runs.at(key);
    bool const saves = how == AttemptEnd::Stopped && run.stage.savesCheckpoints;
    std::string const checkpoint = saves ? "c" + std::to_string(this->nextCheckpoint++) : run.checkpoint;
    worker.runs.erase(key);
    AttemptNumber& closed = worker.closed[key.first];
    closed = std::max(closed, key.second);
    worker.ended.push_back({ ++worker.endCount, key.first, key.second, how, checkpoint });
    if (how == AttemptEnd::Done)
        this->doneSeen[key.first] = true;
}

void FakeFleet::step()
{
    Duration const span = this->clock.now() - this->lastStep;
    this->lastStep = this->clock.now();
    for (auto& [id, worker] : this->workers) {
        if (!worker.isUp)
            continue;
        if (this->clock.now() >= worker.leaseEnd) {
            worker.voidEnds = worker.endCount;
            while (!worker.runs.empty())
                this->end(worker, AttemptKey(worker.runs.begin()->first), AttemptEnd::LeaseExpired); // A copy: the run goes.
        }
        this->work(worker, span);
        this->answerWaiting(worker, false);
    }
}

void FakeFleet::work(Worker& worker, Duration span)
{
    auto const capacity = static_cast<double>(worker.profile.capacity.milliCores);
    double used = 0;
    double asked = 0;
    for (auto const& [key, run] : worker.runs) {
        auto const need = static_cast<double>(run.stage.need.milliCores);
        if (run.stage.isBestEffort)
            asked += need * run.throttle / 100;
        else
            used += run.stage.isService ? need * serviceUse : need;
    }
    double const share = asked > 0 ? std::clamp((capacity - used) / asked, 0.0, 1.0) : 1;
    std::map<std::string, double> uses;
    std::vector<std::pair<AttemptKey, AttemptEnd>> ends;
    for (auto& [key, run] : worker.runs) {
        double const pace = run.stage.isBestEffort ? share * run.throttle / 100 : 1;
        run.age = run.age + span;
        run.usedMilliCores = static_cast<double>(run.stage.need.milliCores) * (run.stage.isBestEffort ? pace : 1);
        if (run.stage.isBestEffort)
            uses[run.stage.image] += run.usedMilliCores / capacity;
        if (run.stage.isService)
            continue;
        auto const progress = Duration::microseconds(static_cast<int64_t>(static_cast<double>(span.toMicroseconds()) * pace * worker.speed));
        run.left = run.left - progress;
        run.worked = run.worked + progress;
        if (run.stage.savesCheckpoints && run.worked >= checkpointInterval) {
            run.worked = Duration();
            run.checkpoint = "c" + std::to_string(this->nextCheckpoint++);
        }
        if (run.left <= Duration())
            ends.emplace_back(key, run.willFail ? AttemptEnd::Failed : AttemptEnd::Done);
    }
    for (auto& [key, run] : worker.runs) {
        if (!run.stage.isService || run.stage.latencyTarget <= Duration())
            continue;
        double ratio = 1.0 / static_cast<double>(restingTailShare);
        for (auto const& [image, use] : uses) {
            auto const slope = this->harm.find({ run.stage.image, image });
            ratio += slope == this->harm.end() ? 0 : slope->second * use;
        }
        run.tailMs = static_cast<int64_t>(static_cast<double>(run.stage.latencyTarget.toMilliseconds()) * ratio);
        run.overFor = ratio > 1 ? run.overFor + span : Duration();
        this->seen.longestOverTarget = std::max(this->seen.longestOverTarget, run.overFor);
        if (ratio > 1)
            this->seen.overTarget = this->seen.overTarget + span;
    }
    for (auto const& [key, how] : ends)
        this->end(worker, key, how);
}

} // namespace cornelpond
