#include "testing/fakes/FakeFleet.h"

#include <algorithm>

namespace cornelpond {

namespace {

    constexpr Duration oneWayDelay = Duration::milliseconds(2);
    constexpr Duration answerTimeout = Duration::milliseconds(600);
    constexpr Duration checkpointInterval = Duration::seconds(2);
    constexpr Duration serviceStartup = Duration::milliseconds(400);
    constexpr double serviceCpuShare = 0.42; ///< Share of its requested CPU that a service task uses.
    constexpr int64_t idleTailDivisor = 3; ///< Without interference the tail latency is a third of the target.

} // namespace

FakeFleet::FakeFleet(FakeClock& clock, Random& random)
    : clock(clock)
    , random(random)
    , otherWorkerDelay(oneWayDelay * 2)
    , lastStepAt(clock.now())
{
}

void FakeFleet::addWorker(WorkerProfile const& profile, double speed)
{
    Worker worker;
    worker.profile = profile;
    worker.speed = speed;
    worker.startedAt = this->clock.now();
    this->workers[profile.id] = worker;
}

void FakeFleet::registerJob(JobSpec const& job, double factor)
{
    this->jobs[job.id] = { job, factor };
}

void FakeFleet::setInterference(std::string const& service, std::string const& bestEffort, double slope)
{
    this->interferenceSlopes[{ service, bestEffort }] = slope;
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

std::vector<WorkerId> FakeFleet::reachableWorkers() const
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
    this->failPendingRenewals(worker);
}

/// Answers the pending renewals with an unknown result, as a lost connection does.
void FakeFleet::failPendingRenewals(Worker& worker)
{
    for (auto const& renewal : worker.pendingRenewals)
        this->clock.after(oneWayDelay, [done = renewal.done] { done(RenewAnswer()); });
    worker.pendingRenewals.clear();
}

void FakeFleet::restart(WorkerId const& id)
{
    this->restart(id, this->workers.at(id).profile.bornMs + 1);
}

void FakeFleet::restart(WorkerId const& id, int64_t bornMs)
{
    Worker& worker = this->workers.at(id);
    this->failPendingRenewals(worker);
    WorkerProfile profile = worker.profile;
    double const speed = worker.speed;
    auto const unread = std::move(worker.unreadOrders);
    profile.bornMs = bornMs;
    profile.isDraining = false;
    this->addWorker(profile, speed);
    for (auto const& read : unread)
        read(this->workers.at(id));
}

void FakeFleet::restartAt(WorkerId const& id, std::string address, Duration answerDelay)
{
    this->restart(id);
    this->workers.at(id).profile.address = std::move(address);
    this->otherWorkerDelay = answerDelay;
}

void FakeFleet::setCut(WorkerId const& id, bool isCut)
{
    this->workers.at(id).isCut = isCut;
}

std::vector<FakeFleet::RunningTask> FakeFleet::runningTasks() const
{
    std::vector<RunningTask> running;
    for (auto const& [id, worker] : this->workers) {
        for (auto const& [key, run] : worker.runs)
            running.push_back({ id, key.first, key.second, run.age });
    }
    return running;
}

size_t FakeFleet::runningCount(JobId const& job) const
{
    size_t count = 0;
    for (auto const& [id, worker] : this->workers)
        count += static_cast<size_t>(std::count_if(worker.runs.begin(), worker.runs.end(), [&](auto const& run) { return run.first.first.job == job; }));
    return count;
}

unsigned FakeFleet::lowestSpeedPercent(JobId const& job) const
{
    unsigned slowest = 100;
    for (auto const& [id, worker] : this->workers) {
        for (auto const& [key, run] : worker.runs) {
            if (key.first.job == job)
                slowest = std::min(slowest, run.speedPercent);
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

OrderAnswer FakeFleet::makeAnswer(Worker const& worker, OrderResult result) const
{
    return { result, true, this->clock.now() - worker.startedAt };
}

Duration FakeFleet::drawLateDelay()
{
    auto const span = static_cast<uint64_t>((this->faults.maxLateDelay - this->faults.minLateDelay).toMicroseconds()) + 1;
    return this->faults.minLateDelay + Duration::microseconds(static_cast<int64_t>(this->random.below(span)));
}

/// Carries an order to the worker and the answer back. A late order times out for the sender and is carried out
/// afterwards, by whichever process of the worker is up then. One that names its process is carried out by no other, unless
/// orders outlive processes.
void FakeFleet::deliver(WorkerTarget const& target, int64_t processBornMs, std::function<OrderAnswer(Worker&)> action, Done done)
{
    bool const isLate = this->random.nextDouble() < this->faults.lateOrderShare;
    Duration const delay = isLate ? this->drawLateDelay() : oneWayDelay;
    if (isLate)
        this->clock.after(answerTimeout, [done] { done(OrderAnswer()); });
    if (this->isOtherWorker(target)) {
        OrderAnswer other;
        other.result = OrderResult::OtherLife;
        this->clock.after(this->otherWorkerDelay, [done, other] { done(other); });
        return;
    }
    this->clock.after(delay, [this, id = target.id, processBornMs, isLate, action = std::move(action), done = std::move(done)] {
        Worker& worker = this->workers.at(id);
        if (this->faults.ordersOutliveProcesses && !worker.isUp) {
            worker.unreadOrders.push_back(action);
            if (!isLate)
                this->clock.after(answerTimeout, [done] { done(OrderAnswer()); });
            return;
        }
        bool const isReached = worker.isUp && !worker.isCut;
        bool const isOtherProcess = processBornMs && worker.profile.bornMs != processBornMs && !this->faults.ordersOutliveProcesses;
        OrderAnswer given;
        if (isReached && isOtherProcess)
            given.result = OrderResult::OtherProcess;
        else if (isReached)
            given = action(worker);
        else if (!worker.isUp)
            given.result = OrderResult::NotSent;
        if (!isLate)
            this->clock.after(isReached || !worker.isUp ? oneWayDelay : answerTimeout, [done, given] { done(given); });
    });
}

/// True if the worker is not at that address; such an order is answered as if by another worker.
bool FakeFleet::isOtherWorker(WorkerTarget const& target) const
{
    auto const found = this->workers.find(target.id);
    return found == this->workers.end() || (!found->second.profile.address.empty() && found->second.profile.address != target.address);
}

void FakeFleet::start(WorkerTarget const& target, StartOrder const& order, Done done)
{
    auto const found = this->workers.find(target.id);
    if (found != this->workers.end() && found->second.losesStarts) {
        this->clock.after(answerTimeout, [done = std::move(done)] { done(OrderAnswer()); });
        return;
    }
    this->deliver(
        target, order.processBornMs, [this, order](Worker& worker) { return this->executeStart(worker, order); }, std::move(done));
}

void FakeFleet::extendLease(Worker& worker, TimePoint until, TimePoint now)
{
    worker.leaseEnd = std::max(worker.leaseEnd, std::min(until, now + maxLease));
}

OrderAnswer FakeFleet::executeStart(Worker& worker, StartOrder const& order)
{
    if (worker.isUnhealthy)
        return this->makeAnswer(worker, OrderResult::NotDone);
    if (order.epoch < worker.epoch)
        return this->makeAnswer(worker, OrderResult::RefusedEpoch);
    worker.epoch = order.epoch;
    TimePoint const leaseEnd = worker.startedAt + order.leaseUntil;
    if (leaseEnd <= this->clock.now())
        return this->makeAnswer(worker, OrderResult::RefusedLate);
    extendLease(worker, leaseEnd, this->clock.now());
    AttemptKey const key { order.task, order.attempt };
    if (worker.runs.count(key))
        return this->makeAnswer(worker, OrderResult::Accepted);
    auto const closed = worker.closedUpTo.find(order.task);
    if (closed != worker.closedUpTo.end() && order.attempt <= closed->second)
        return this->makeAnswer(worker, OrderResult::RefusedOld);
    auto const job = this->jobs.find(order.task.job);
    if (job == this->jobs.end()) {
        this->recorded.unknownJobStarts++;
        return this->makeAnswer(worker, OrderResult::Invalid);
    }
    if (this->jobsWithPermits.count(order.task.job) && !this->hasValidTicket(worker, order)) {
        this->recorded.startsWithoutPermit++;
        return this->makeAnswer(worker, OrderResult::RefusedPermit);
    }
    StageSpec const& stage = job->second.first.stages[order.task.stage];
    if (!(stage.reservedPerTask() + this->reservedResources(worker)).fitsIn(worker.profile.capacity)) {
        this->recorded.overCapacityStarts++;
        return this->makeAnswer(worker, OrderResult::RefusedRoom);
    }
    this->recordStart(order.task, stage, worker);
    Run run;
    run.stage = stage;
    bool const isAway = !stage.dataRack.empty() && worker.profile.rack != stage.dataRack;
    run.remainingWork = stage.estimatedRunTime.scaled(job->second.second * (isAway ? this->slowdownElsewhere : 1));
    run.checkpoint = order.checkpoint;
    run.willFail = this->random.nextDouble() < this->faults.failureShare;
    worker.runs.emplace(key, run);
    return this->makeAnswer(worker, OrderResult::Accepted);
}

void FakeFleet::recordStart(TaskRef const& task, StageSpec const& stage, Worker const& worker)
{
    this->recorded.starts++;
    if (this->onStart)
        this->onStart(task);
    this->recorded.startsWhileDraining += worker.profile.isDraining;
    this->recorded.startsAfterDone += this->acknowledgedDoneTasks.count(task);
    auto& startedOn = this->workersStartedOn[task];
    startedOn.insert(worker.profile.id);
    for (auto const& id : startedOn) {
        Worker const& other = this->workers.at(id);
        bool const isRunningThere = std::any_of(other.runs.begin(), other.runs.end(), [&](auto const& run) { return run.first.first == task; });
        this->recorded.duplicateRuns += isRunningThere && !stage.allowsSpeculativeCopies;
    }
    JobSpec const& job = this->jobs.at(task.job).first;
    for (auto const earlier : stage.dependsOn) {
        for (uint32_t index = 0; index < job.stages[earlier].taskCount; index++)
            this->recorded.startsBeforeDependencies += !this->doneTasks.count({ task.job, task.occurrence, earlier, index });
    }
}

bool FakeFleet::isLost(Worker const& worker, StopOrder const& order) const
{
    switch (worker.lostStops) {
    case LostStops::None:
        return false;
    case LostStops::Usual:
        return order.way != StopWay::OtherRoute;
    case LostStops::AllButIdleConnection:
        return worker.ordersOnOpenConnection;
    case LostStops::All:
        return true;
    }
    return true;
}

void FakeFleet::stop(WorkerTarget const& target, StopOrder const& order, Done done)
{
    auto const found = this->workers.find(target.id);
    if (found != this->workers.end() && this->isLost(found->second, order)) {
        this->clock.after(answerTimeout, [done = std::move(done)] { done(OrderAnswer()); });
        return;
    }
    if (found != this->workers.end())
        found->second.ordersOnOpenConnection++;
    this->deliver(
        target, 0, [this, order](Worker& worker) { return this->executeStop(worker, order); },
        [this, id = target.id, done = std::move(done)](OrderAnswer const& answer) {
            this->leaveOpenConnection(id);
            done(answer);
        });
}

void FakeFleet::leaveOpenConnection(WorkerId const& worker)
{
    unsigned& orders = this->workers.at(worker).ordersOnOpenConnection;
    orders -= orders > 0; // A restarted worker begins without any.
}

OrderAnswer FakeFleet::executeStop(Worker& worker, StopOrder const& order)
{
    if (order.epoch < worker.epoch)
        return this->makeAnswer(worker, OrderResult::RefusedEpoch);
    worker.epoch = order.epoch;
    AttemptNumber& closed = worker.closedUpTo[order.task];
    closed = std::max(closed, order.attempt);
    AttemptKey const key { order.task, order.attempt };
    if (!worker.runs.count(key))
        return this->makeAnswer(worker, OrderResult::Accepted);
    if (this->faults.maxStopTime <= Duration()) {
        this->endAttempt(worker, key, AttemptEnd::Stopped);
        return this->makeAnswer(worker, OrderResult::Accepted);
    }
    auto const takes = Duration::microseconds(static_cast<int64_t>(this->random.below(static_cast<uint64_t>(this->faults.maxStopTime.toMicroseconds()))));
    this->clock.after(takes, [this, id = worker.profile.id, bornMs = worker.profile.bornMs, key] {
        Worker& stopping = this->workers.at(id);
        if (stopping.profile.bornMs == bornMs && stopping.runs.count(key))
            this->endAttempt(stopping, key, AttemptEnd::Stopped);
    });
    return this->makeAnswer(worker, OrderResult::Accepted);
}

void FakeFleet::throttle(WorkerTarget const& worker, ThrottleOrder const& order, Done done)
{
    this->deliver(
        worker, 0,
        [this, order](Worker& target) {
            auto const run = target.runs.find({ order.task, order.attempt });
            if (run != target.runs.end())
                run->second.speedPercent = order.speedPercent;
            return this->makeAnswer(target, run == target.runs.end() ? OrderResult::RefusedOld : OrderResult::Accepted);
        },
        std::move(done));
}

void FakeFleet::renew(WorkerTarget const& target, RenewOrder const& given, std::function<void(RenewAnswer const&)> whenDone)
{
    if (this->isOtherWorker(target)) {
        RenewAnswer other;
        other.order.result = OrderResult::OtherLife;
        this->clock.after(this->otherWorkerDelay, [whenDone, other] { whenDone(other); });
        return;
    }
    bool const isLost = this->random.nextDouble() < this->faults.lateOrderShare;
    Worker& addressed = this->workers.at(target.id);
    addressed.ordersOnOpenConnection++;
    std::function<void(RenewAnswer const&)> const done = [this, id = target.id, whenDone = std::move(whenDone)](RenewAnswer const& answer) {
        this->leaveOpenConnection(id);
        whenDone(answer);
    };
    bool const isSameProcess = addressed.hasAnsweredRenewal;
    RenewOrder order = given;
    if (!isSameProcess) {
        order.acknowledgedEnds = 0;
        order.maxWait = Duration();
    }
    if (isLost && this->faults.ordersOutliveProcesses)
        this->clock.after(this->drawLateDelay(), [this, id = target.id, order] { this->executeUnanswered(this->workers.at(id), order); });
    this->clock.after(oneWayDelay, [this, id = target.id, incarnation = addressed.profile.bornMs, isSameProcess, order, isLost, done] {
        Worker& worker = this->workers.at(id);
        bool const isBroken = isSameProcess && worker.profile.bornMs != incarnation && !this->faults.ordersOutliveProcesses;
        if (!worker.isUp && !isLost && this->faults.ordersOutliveProcesses)
            worker.unreadOrders.push_back([this, order](Worker& later) { this->executeUnanswered(later, order); });
        if (!worker.isUp || worker.isCut || isLost || isBroken) {
            RenewAnswer lost;
            lost.order.result = worker.isUp ? OrderResult::Unknown : OrderResult::NotSent;
            this->clock.after(answerTimeout, [done, lost] { done(lost); });
            return;
        }
        if (!this->acceptRenewal(worker, order)) {
            RenewAnswer refused;
            refused.order = this->makeAnswer(worker, OrderResult::RefusedEpoch);
            this->clock.after(oneWayDelay, [done, refused] { done(refused); });
            return;
        }
        worker.pendingRenewals.push_back({ order, done, this->clock.now() + order.maxWait });
        this->answerPendingRenewals(worker, false);
    });
}

/// Extends the lease; false when the order's epoch is refused.
bool FakeFleet::acceptRenewal(Worker& worker, RenewOrder const& order)
{
    if (order.epoch < worker.epoch)
        return false;
    worker.epoch = order.epoch;
    bool const isOtherProcess = order.processBornMs && order.processBornMs != worker.profile.bornMs && !this->faults.ordersOutliveProcesses;
    if (order.extendsLease && !isOtherProcess)
        extendLease(worker, worker.startedAt + order.leaseUntil, this->clock.now());
    return true;
}

void FakeFleet::executeUnanswered(Worker& worker, RenewOrder const& order)
{
    if (worker.isUp && this->acceptRenewal(worker, order))
        this->acknowledge(worker, order);
}

void FakeFleet::answerPendingRenewals(Worker& worker, bool isForced)
{
    for (auto at = worker.pendingRenewals.begin(); at != worker.pendingRenewals.end();) {
        bool const hasNewEnds = !worker.unacknowledgedEnds.empty() && worker.unacknowledgedEnds.back().number > at->order.acknowledgedEnds;
        if (!isForced && !hasNewEnds && this->clock.now() < at->waitEndsAt) {
            ++at;
            continue;
        }
        RenewAnswer const answer = this->acknowledgeAndList(worker, at->order);
        bool const isCut = worker.isCut;
        auto const done = std::move(at->done);
        at = worker.pendingRenewals.erase(at);
        this->clock.after(isCut ? answerTimeout : oneWayDelay, [done, answer, isCut] { done(isCut ? RenewAnswer() : answer); });
    }
}

void FakeFleet::acknowledge(Worker& worker, RenewOrder const& order)
{
    auto const isAcknowledged = [&](ListedEnd const& end) { return end.number <= order.acknowledgedEnds; };
    for (auto const& end : worker.unacknowledgedEnds) {
        if (!isAcknowledged(end))
            continue;
        if (end.end == AttemptEnd::Done && end.number > worker.lastEndBeforeLeaseExpiry)
            this->acknowledgedDoneTasks.insert(end.task);
        this->recorded.prematureAcknowledgements += this->acknowledgementCheck && !this->acknowledgementCheck(end, worker.profile.id);
    }
    worker.unacknowledgedEnds.erase(std::remove_if(worker.unacknowledgedEnds.begin(), worker.unacknowledgedEnds.end(), isAcknowledged), worker.unacknowledgedEnds.end());
}

RenewAnswer FakeFleet::acknowledgeAndList(Worker& worker, RenewOrder const& order)
{
    this->acknowledge(worker, order);
    RenewAnswer answer;
    worker.hasAnsweredRenewal = true;
    answer.acknowledgedEnds = order.acknowledgedEnds;
    answer.order = this->makeAnswer(worker, OrderResult::Accepted);
    answer.listing.bornMs = worker.profile.bornMs;
    for (auto const& [key, run] : worker.runs) {
        bool const isServing = run.stage.isService && run.age >= serviceStartup;
        int64_t const latencyMsOrMilliCores = run.stage.isService ? run.tailLatencyMs : static_cast<int64_t>(run.usedMilliCores);
        answer.listing.running.push_back({ key.first, key.second, run.checkpoint, isServing ? 100U : 0U, latencyMsOrMilliCores });
    }
    answer.listing.ended = worker.unacknowledgedEnds;
    return answer;
}

void FakeFleet::requestPermits(TaskRef const& stage, std::vector<WorkerId> const& asked, Duration timeout, std::function<void(PermitAnswer const&)> done)
{
    this->receivedPermitQueries.push_back({ stage, asked, this->clock.now() });
    if (!this->policyService.isAnswering) {
        this->clock.after(timeout, [done] { done(PermitAnswer()); });
        return;
    }
    PermitSpec const& times = this->policyService.times;
    Duration const takes = times.decisionTime + times.decisionTimePerWorker * static_cast<int64_t>(asked.size());
    this->clock.after(oneWayDelay + takes, [this, stage, asked, done] {
        PermitAnswer answer;
        answer.isAnswered = true;
        answer.validity = this->policyService.times.validity;
        for (auto const& id : asked) {
            if (this->policyService.allows && !this->policyService.allows(stage, id))
                continue;
            std::string const ticket = this->ticketText(stage, this->workers.at(id));
            this->ticketsValidUntil[ticket] = this->clock.now() + answer.validity;
            answer.permits.push_back({ id, ticket });
        }
        this->clock.after(oneWayDelay, [done, answer] { done(answer); });
    });
}

/// Names the stage, the worker and its process.
std::string FakeFleet::ticketText(TaskRef const& task, Worker const& worker) const
{
    return stageKey(task).text() + "/" + worker.profile.id.value() + "/" + std::to_string(worker.profile.bornMs);
}

bool FakeFleet::hasValidTicket(Worker const& worker, StartOrder const& order) const
{
    auto const issued = this->ticketsValidUntil.find(order.permit);
    return order.permit == this->ticketText(order.task, worker) && issued != this->ticketsValidUntil.end() && this->clock.now() <= issued->second;
}

Resources FakeFleet::reservedResources(Worker const& worker) const
{
    Resources sum;
    for (auto const& [key, run] : worker.runs)
        sum += run.stage.reservedPerTask();
    return sum;
}

void FakeFleet::endAttempt(Worker& worker, AttemptKey const& key, AttemptEnd how)
{
    Run const run = worker.runs.at(key);
    bool const saves = how == AttemptEnd::Stopped && run.stage.savesCheckpoints;
    std::string const checkpoint = saves ? "c" + std::to_string(this->nextCheckpoint++) : run.checkpoint;
    worker.runs.erase(key);
    AttemptNumber& closed = worker.closedUpTo[key.first];
    closed = std::max(closed, key.second);
    worker.unacknowledgedEnds.push_back({ ++worker.endCount, key.first, key.second, how, checkpoint });
    if (how == AttemptEnd::Done)
        this->doneTasks[key.first] = true;
}

void FakeFleet::step()
{
    Duration const span = this->clock.now() - this->lastStepAt;
    this->lastStepAt = this->clock.now();
    for (auto& [id, worker] : this->workers) {
        if (!worker.isUp)
            continue;
        if (this->clock.now() >= worker.leaseEnd) {
            worker.lastEndBeforeLeaseExpiry = worker.endCount;
            while (!worker.runs.empty())
                this->endAttempt(worker, AttemptKey(worker.runs.begin()->first), AttemptEnd::LeaseExpired); // Copies the key because the run is erased.
        }
        this->advanceRuns(worker, span);
        this->answerPendingRenewals(worker, false);
    }
}

void FakeFleet::advanceRuns(Worker& worker, Duration span)
{
    auto const capacity = static_cast<double>(worker.profile.capacity.milliCores);
    double used = 0;
    double asked = 0;
    for (auto const& [key, run] : worker.runs) {
        auto const need = static_cast<double>(run.stage.need.milliCores);
        if (run.stage.isBestEffort)
            asked += need * run.speedPercent / 100;
        else
            used += run.stage.isService ? need * serviceCpuShare : need;
    }
    double const share = asked > 0 ? std::clamp((capacity - used) / asked, 0.0, 1.0) : 1;
    std::map<std::string, double> cpuShareByImage;
    std::vector<std::pair<AttemptKey, AttemptEnd>> ends;
    for (auto& [key, run] : worker.runs) {
        double const speedFactor = run.stage.isBestEffort ? share * run.speedPercent / 100 : 1;
        run.age = run.age + span;
        run.usedMilliCores = static_cast<double>(run.stage.need.milliCores) * (run.stage.isBestEffort ? speedFactor : 1);
        if (run.stage.isBestEffort)
            cpuShareByImage[run.stage.image] += run.usedMilliCores / capacity;
        if (run.stage.isService)
            continue;
        auto const progress = Duration::microseconds(static_cast<int64_t>(static_cast<double>(span.toMicroseconds()) * speedFactor * worker.speed));
        run.remainingWork = run.remainingWork - progress;
        run.workSinceCheckpoint = run.workSinceCheckpoint + progress;
        if (run.stage.savesCheckpoints && run.workSinceCheckpoint >= checkpointInterval) {
            run.workSinceCheckpoint = Duration();
            run.checkpoint = "c" + std::to_string(this->nextCheckpoint++);
        }
        if (run.remainingWork <= Duration())
            ends.emplace_back(key, run.willFail ? AttemptEnd::Failed : AttemptEnd::Done);
    }
    for (auto& [key, run] : worker.runs) {
        if (!run.stage.isService || run.stage.latencyTarget <= Duration())
            continue;
        double ratio = 1.0 / static_cast<double>(idleTailDivisor);
        for (auto const& [image, use] : cpuShareByImage) {
            auto const slope = this->interferenceSlopes.find({ run.stage.image, image });
            ratio += slope == this->interferenceSlopes.end() ? 0 : slope->second * use;
        }
        run.tailLatencyMs = static_cast<int64_t>(static_cast<double>(run.stage.latencyTarget.toMilliseconds()) * ratio);
        run.timeOverTarget = ratio > 1 ? run.timeOverTarget + span : Duration();
        this->recorded.longestTimeOverTarget = std::max(this->recorded.longestTimeOverTarget, run.timeOverTarget);
        if (ratio > 1)
            this->recorded.timeOverTarget = this->recorded.timeOverTarget + span;
    }
    for (auto const& [key, how] : ends)
        this->endAttempt(worker, key, how);
}

} // namespace cornelpond
