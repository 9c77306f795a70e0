#include "testing/fakes/JobBench.h"

#include <algorithm>

namespace cornelpond {

namespace {

    constexpr Duration step = Duration::milliseconds(10);

    QueueId const restrictedQueue("restricted");

    QueueConfig benchQueues()
    {
        QueueConfig config;
        config.version = ConfigVersion(1);
        config.services.push_back({ ServiceId("fleet"), true, false });
        QueueSpec urgent;
        urgent.name = QueueId("urgent");
        urgent.host = "jobs.example";
        urgent.pathPrefix = "/urgent/";
        urgent.service = ServiceId("fleet");
        urgent.maxAttempts = 3;
        urgent.stretchFactor = 1.5;
        urgent.latencyTarget = Duration::milliseconds(250);
        QueueSpec plans = urgent;
        plans.name = QueueId("plans");
        plans.pathPrefix = "/plans/";
        plans.priority = 2;
        plans.stretchFactor = 2;
        plans.latencyTarget = Duration::seconds(1);
        QueueSpec restricted = plans;
        restricted.name = restrictedQueue;
        restricted.pathPrefix = "/restricted/";
        restricted.permits = { true, Duration::milliseconds(20), Duration::milliseconds(2), Duration::seconds(3) };
        config.queues = { urgent, plans, restricted };
        return config;
    }

} // namespace

JobBench::JobBench(uint64_t seed, size_t hosts, OrdersFactory const& makeOrders, JobLimits const& limits)
    : random(seed)
    , group(hosts, this->random)
    , fleet(this->clock, this->random)
    , orders(makeOrders ? makeOrders(this->clock, this->fleet) : nullptr)
    , services(hosts)
    , limits(limits)
    , queues(benchQueues())
{
    for (size_t host = 0; host < hosts; host++)
        this->startService(host);
    this->fleet.policy().times = this->queues.queues.back().permits;
    this->elect(0);
    this->leader().replaceQueues(this->queues, [](CallResult) {});
    this->run(step * 2);
}

void JobBench::startService(size_t host)
{
    WorkerOrders& reached = this->orders ? *this->orders : this->fleet;
    this->services[host] = std::make_unique<JobService>(this->clock, this->events, reached, DispatchTimes(), this->limits);
    this->group.setHooks(host, this->services[host]->hooks());
    this->services[host]->attach(this->group.log(host));
}

void JobBench::elect(size_t host)
{
    this->group.elect(host);
    this->announceWorkers();
}

void JobBench::crashLeader()
{
    size_t const crashed = this->group.leader();
    this->group.crashLeader();
    this->startService(crashed);
}

void JobBench::addWorkers(size_t count, int64_t milliCores, size_t dataCentres)
{
    constexpr size_t workersPerRack = 8;
    constexpr int64_t memoryMiB = 62000;
    for (size_t i = 0; i < count; i++) {
        WorkerProfile profile;
        profile.id = WorkerId("w" + std::to_string(i));
        profile.bornMs = 1;
        profile.service = ServiceId("fleet");
        profile.address = "10.0.0." + std::to_string(i) + ":80";
        profile.rack = RackId("r" + std::to_string(i / workersPerRack));
        profile.labels = { "a", profile.rack.value() };
        if (dataCentres) {
            profile.dataCentre = DataCentreId("dc" + std::to_string(i % dataCentres));
            profile.labels.push_back(profile.dataCentre.value());
        }
        profile.capacity = { milliCores, memoryMiB, 0 };
        this->fleet.addWorker(profile);
    }
    this->announceWorkers();
    this->run(Duration::milliseconds(200));
}

std::optional<CallResult> JobBench::evacuate(EvacuationChange change, std::string const& dataCentre)
{
    auto const answer = std::make_shared<std::optional<CallResult>>(); // It may come after this function has returned.
    this->leader().changeEvacuation(change, DataCentreId(dataCentre), [answer](CallResult result, Duration) { *answer = result; });
    this->run(Duration::milliseconds(50));
    return *answer;
}

QueueSpec const& JobBench::queueOf(JobSpec const& job) const
{
    return this->queues.queues[job.stages.front().isBestEffort ? 1 : 0];
}

void JobBench::submit(JobSpec const& job, double runTimeFactor)
{
    this->fleet.registerJob(job, runTimeFactor);
    this->submittedAt.try_emplace(job.id, this->clock.now());
    this->leader().scheduler().submit(job, this->queueOf(job), [this](SubmitResult const& result) { this->submitResults.push_back(result); });
}

void JobBench::submitWithPermits(JobSpec const& job)
{
    this->fleet.registerJob(job);
    this->fleet.requirePermits(job.id);
    this->submittedAt.try_emplace(job.id, this->clock.now());
    this->leader().scheduler().submit(job, this->queues.queues.back(), [this](SubmitResult const& result) { this->submitResults.push_back(result); });
}

void JobBench::setPolicyTimes(PermitSpec const& times)
{
    this->fleet.policy().times = times;
    this->queues.version = ConfigVersion(this->queues.version.value() + 1);
    this->queues.queues.back().permits = times;
    this->leader().replaceQueues(this->queues, [](CallResult) {});
    this->run(step * 2);
}

void JobBench::cancel(JobId const& job)
{
    this->leader().scheduler().cancel(job, [](CallResult) {});
}

void JobBench::run(Duration span)
{
    for (TimePoint const end = this->clock.now() + span; this->clock.now() < end;)
        this->tick();
}

bool JobBench::runUntilIdle(Duration bound)
{
    for (TimePoint const end = this->clock.now() + bound; this->clock.now() < end;) {
        this->tick();
        if (!this->group.hasCurrentLeader())
            continue;
        auto const& all = this->leader().scheduler().jobs().all();
        if (std::all_of(all.begin(), all.end(), [](auto const& job) { return job.second.state != JobState::Active; }))
            return true;
    }
    return false;
}

void JobBench::tick()
{
    this->clock.advance(step);
    this->fleet.step();
    if (this->isCommitting)
        this->group.commit(SIZE_MAX);
    for (auto const& service : this->services)
        service->onTick();
    if (this->clock.now() >= this->nextAnnouncement)
        this->announceWorkers();
    if (!this->group.hasCurrentLeader())
        return;
    for (auto const& [id, job] : this->leader().scheduler().jobs().all()) {
        if (job.state != JobState::Active)
            this->endedAt.try_emplace(id, this->clock.now());
    }
}

void JobBench::announceWorkers()
{
    this->nextAnnouncement = this->clock.now() + this->announceInterval;
    if (!this->group.hasCurrentLeader())
        return;
    for (auto const& worker : this->fleet.reachableWorkers())
        this->leader().scheduler().workerRegistration().announce(this->fleet.report(worker), [](CallResult) {});
}

Duration JobBench::turnaroundTime(JobId const& job) const
{
    auto const ended = this->endedAt.find(job);
    return ended == this->endedAt.end() ? Duration::infinite() : ended->second - this->submittedAt.at(job);
}

JobSpec makeJob(std::string const& id, uint32_t tasks, int64_t milliCores, Duration estimate)
{
    JobSpec job;
    job.id = JobId(id);
    StageSpec stage;
    stage.taskCount = tasks;
    stage.need = { milliCores, 500, 0 };
    stage.estimatedRunTime = estimate;
    job.stages.push_back(stage);
    return job;
}

JobSpec makeServiceJob(std::string const& id, uint32_t tasks, int64_t milliCores, std::string const& image)
{
    JobSpec job = makeJob(id, tasks, milliCores, Duration::milliseconds(400));
    job.stages[0].isService = true;
    job.stages[0].image = image;
    job.stages[0].latencyTarget = Duration::milliseconds(18);
    return job;
}

JobSpec makeBestEffortJob(std::string const& id, uint32_t tasks, int64_t milliCores, Duration estimate, std::string const& image)
{
    JobSpec job = makeJob(id, tasks, milliCores, estimate);
    job.stages[0].isBestEffort = true;
    job.stages[0].savesCheckpoints = true;
    job.stages[0].image = image;
    return job;
}

} // namespace cornelpond
