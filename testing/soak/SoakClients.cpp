#include "testing/soak/SoakClients.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cornelpond {

using Json = nlohmann::json;

namespace {

    constexpr Duration queryInterval = Duration::milliseconds(700);
    constexpr Duration cancelRepeatInterval = Duration::milliseconds(500);
    constexpr Duration retryDelay = Duration::milliseconds(300);
    constexpr Duration configurationReadInterval = Duration::milliseconds(250);
    constexpr Duration configurationApplyBound = Duration::milliseconds(2000);
    constexpr Duration hostsApplyBound = Duration::seconds(8); ///< After an acknowledged configuration, also for hosts that were out of touch.
    constexpr Duration cancelBound = Duration::seconds(3); ///< From the acknowledgement of a cancel to the last start of a task.
    constexpr Duration acknowledgementBound = Duration::seconds(4); ///< While the fleet serves, a cancel that is sent again and again is acknowledged by then.
    constexpr Duration maxServingGap = Duration::seconds(1);
    constexpr unsigned maxTries = 5;
    constexpr unsigned maxOperatorTries = 20;
    constexpr int clientDeadlineMs = 3000;

    constexpr int ok = 200;
    constexpr int gone = 410;
    constexpr int notFound = 404;
    constexpr int tooMany = 429;
    constexpr int unavailable = 503;
    constexpr int firstClientError = 400;
    constexpr int firstServerError = 500;

    int statusOf(HttpOutcome const& outcome)
    {
        return outcome.kind == HttpOutcome::Kind::Answered ? outcome.response.status : 0;
    }

    bool isRefusal(int status)
    {
        return status == tooMany || status == unavailable;
    }

    Json routeOf(std::string const& name, uint64_t version)
    {
        return { { "name", name }, { "host", "jobs.example" }, { "path-prefix", "/" + name + "/" }, { "timeout-ms", 2000 + version }, { "target-latency-ms", 500 }, { "service", "fleet" }, { "max-attempts", 3 }, { "stretch-factor", 2.0 } };
    }

    TaskLength lengthOf(JobSpec const& job)
    {
        constexpr Duration minLasting = Duration::seconds(30);
        StageSpec const& first = job.stages.front();
        return first.isService || first.estimatedRunTime >= minLasting ? TaskLength::Lasting : TaskLength::Short;
    }

    std::string submissionBody(JobSpec const& job)
    {
        Json steps = Json::array();
        for (auto const& stage : job.stages) {
            Json step { { "count", stage.taskCount }, { "cpu", stage.need.milliCores }, { "memory-request-mb", stage.need.memoryMiB }, { "estimated-ms", stage.estimatedRunTime.toMilliseconds() } };
            if (!stage.dependsOn.empty())
                step["after"] = stage.dependsOn;
            if (stage.savesCheckpoints)
                step["checkpointing"] = true;
            if (stage.isService)
                step["long-running"] = true;
            steps.push_back(step);
        }
        return Json { { "task-spec", job.payload }, { "steps", steps } }.dump();
    }

} // namespace

SoakClients::SoakClients(EventLoop& loop, HttpClient& client, Random& random, SoakAddresses addresses, CancelCheck& cancelCheck, bool hasSecondQueue, SoakLoad const& load, std::function<void(JobSpec const&)> onSubmit)
    : loop(loop)
    , client(client)
    , random(random)
    , addresses(std::move(addresses))
    , cancelCheck(cancelCheck)
    , hasSecondQueue(hasSecondQueue)
    , hasSecondQueueNow(hasSecondQueue)
    , load(load)
    , onSubmit(std::move(onSubmit))
{
}

void SoakClients::onTick()
{
    TimePoint const now = this->loop.now();
    if (this->isSubmitting && this->highestAcknowledgedVersion && now >= this->nextSubmit) {
        this->nextSubmit = now + this->load.submitInterval;
        this->submitNewJob(this->drawAnyJob());
    }
    this->cancelAtDrawnTimes();
    if (now >= this->nextConfigurationRead) {
        this->nextConfigurationRead = now + configurationReadInterval;
        this->readConfiguration();
    }
    for (auto& [id, job] : this->jobs) {
        if (job.isCallOpen || job.isEnded || now < job.nextCall)
            continue;
        if (job.submissionState == SubmissionState::Submitting)
            this->submit(job);
        else if (job.submissionState == SubmissionState::Accepted && job.isCancelRequested && !job.isCancelAcknowledged && !job.cancelDueAt)
            this->cancel(job);
        else if (job.submissionState == SubmissionState::Accepted)
            this->queryJob(job);
    }
}

JobSpec SoakClients::drawJob()
{
    constexpr uint64_t maxTasks = 4;
    constexpr char const* digits = "0123456789abcdef";
    JobSpec job;
    std::string id;
    while (id.size() < 16)
        id += digits[this->random.below(16)];
    job.id = JobId(id);
    job.payload = "payload";
    bool const isService = this->random.below(this->load.jobsPerServiceJob) == 0;
    size_t const stages = isService ? 1 : 1 + this->random.below(2);
    for (uint32_t i = 0; i < stages; i++) {
        StageSpec stage;
        stage.taskCount = static_cast<uint32_t>(1 + this->random.below(maxTasks));
        stage.need = { static_cast<int64_t>(200 + this->random.below(800)), 100, 0 };
        stage.estimatedRunTime = Duration::milliseconds(static_cast<int64_t>(100 + this->random.below(900)));
        stage.savesCheckpoints = !isService && this->random.below(2);
        stage.isService = isService;
        if (i)
            stage.dependsOn = { i - 1 };
        job.stages.push_back(stage);
    }
    return job;
}

JobSpec SoakClients::drawAnyJob()
{
    constexpr Duration lastingRunTime = Duration::seconds(60);
    bool const isLasting = this->load.jobsPerLastingJob && !this->random.below(this->load.jobsPerLastingJob);
    return isLasting ? this->drawLongJob(lastingRunTime) : this->drawJob();
}

JobSpec SoakClients::drawLongJob(Duration minRunTime)
{
    JobSpec job = this->drawJob();
    job.stages.resize(1);
    job.stages.front().isService = false;
    job.stages.front().estimatedRunTime = job.stages.front().estimatedRunTime * 2 + minRunTime;
    return job;
}

void SoakClients::submitLongJobs(size_t count)
{
    constexpr Duration minRunTime = Duration::seconds(10);
    for (size_t i = 0; i < count; i++)
        this->submitNewJob(this->drawLongJob(minRunTime));
}

void SoakClients::submitNewJob(JobSpec spec)
{
    Job job;
    job.spec = std::move(spec);
    job.isOfSecondQueue = this->hasSecondQueue && this->random.below(2);
    if (this->load.maxTimeToCancel > Duration() && lengthOf(job.spec) == TaskLength::Lasting)
        job.cancelDueAt = this->loop.now() + this->drawTimeToCancel();
    this->newestPath = pathOf(job);
    this->onSubmit(job.spec);
    this->submit(this->jobs.emplace(job.spec.id, job).first->second);
}

Address const& SoakClients::randomEntryAddress()
{
    return this->addresses.entryAddresses[this->random.below(this->addresses.entryAddresses.size())];
}

/// One cancel in eight is sent before its submission can have been answered.
Duration SoakClients::drawTimeToCancel()
{
    constexpr uint64_t cancelsPerEarlyOne = 8;
    constexpr Duration earlyBound = Duration::milliseconds(20);
    Duration const bound = this->random.below(cancelsPerEarlyOne) ? this->load.maxTimeToCancel : earlyBound;
    return Duration::microseconds(static_cast<int64_t>(this->random.below(static_cast<uint64_t>(bound.toMicroseconds()))));
}

void SoakClients::sendRequest(Job& job, std::string const& method, std::string const& body, std::function<void(HttpOutcome const&)> done)
{
    job.isCallOpen = true;
    this->send(job, method, body, [this, id = job.spec.id, done = std::move(done)](HttpOutcome const& outcome) {
        Job& called = this->jobs.at(id);
        called.isCallOpen = false;
        called.nextCall = this->loop.now() + retryDelay;
        done(outcome);
    });
}

void SoakClients::send(Job const& job, std::string const& method, std::string const& body, std::function<void(HttpOutcome const&)> done)
{
    HttpRequest request { method, pathOf(job), "", {}, body };
    request.headers.add("Host", "jobs.example");
    request.headers.add("Content-Type", "application/json");
    request.headers.add("X-Deadline-Ms", std::to_string(clientDeadlineMs));
    HttpSendOptions options;
    options.timeout = Duration::milliseconds(clientDeadlineMs);
    this->client.send(this->randomEntryAddress(), request, options, std::move(done));
}

void SoakClients::submit(Job& job)
{
    job.tries++;
    this->sendRequest(job, "POST", submissionBody(job.spec), [this, id = job.spec.id](HttpOutcome const& outcome) { this->onSubmitted(id, outcome); });
}

void SoakClients::onSubmitted(JobId const& id, HttpOutcome const& outcome)
{
    Job& job = this->jobs.at(id);
    int const status = statusOf(outcome);
    if (status == ok) {
        this->noteServed();
        job.submissionState = SubmissionState::Accepted;
        this->cancelCheck.onAccepted(id);
        job.isCancelRequested |= !this->isSubmitting && lengthOf(job.spec) == TaskLength::Lasting;
        return;
    }
    if (status == gone && job.isCancelSent) { // The cancel came first.
        job.submissionState = SubmissionState::GivenUp;
        return;
    }
    bool const isUnconfigured = status == notFound && this->mayBeUnconfigured(job);
    if (status >= firstClientError && status < firstServerError && status != tooMany && !isUnconfigured)
        this->reportViolation("submission of " + id.value() + " was answered " + std::to_string(status));
    bool const isNotSent = outcome.kind == HttpOutcome::Kind::ConnectFailed;
    job.hasUnclearOutcome |= !isRefusal(status) && !isUnconfigured && !isNotSent;
    if (job.tries < maxTries)
        return;
    job.submissionState = job.hasUnclearOutcome ? SubmissionState::GivenUp : SubmissionState::Refused;
    if (job.submissionState == SubmissionState::Refused && job.hasStarted)
        this->reportViolation("job " + id.value() + " ran though every try to submit it was refused");
}

void SoakClients::noteServed()
{
    TimePoint const now = this->loop.now();
    if (now - this->lastServed > maxServingGap)
        this->servingSince = now;
    this->lastServed = now;
}

bool SoakClients::mustNotStart(Job const& job, TimePoint orderedAt) const
{
    if (job.isCancelAcknowledged)
        return orderedAt - job.cancelAcknowledgedAt > cancelBound;
    bool const isServing = orderedAt - this->lastServed <= maxServingGap;
    return job.isCancelSent && isServing && orderedAt - std::max(job.cancelFirstSentAt, this->servingSince) > acknowledgementBound + cancelBound;
}

void SoakClients::onTaskStarted(JobId const& id, TimePoint orderedAt)
{
    auto const found = this->jobs.find(id);
    if (found == this->jobs.end())
        return;
    Job& job = found->second;
    job.hasStarted = true;
    this->cancelCheck.onTaskStarted(id, orderedAt);
    if (job.submissionState == SubmissionState::Refused)
        this->reportViolation("job " + id.value() + " ran though every try to submit it was refused");
    if (this->mustNotStart(job, orderedAt))
        this->reportViolation("a task of job " + id.value() + " was started though its cancel " + (job.isCancelAcknowledged ? "had been acknowledged" : "had been sent again while others were served"));
}

void SoakClients::queryJob(Job& job)
{
    this->sendRequest(job, "GET", "", [this, id = job.spec.id](HttpOutcome const& outcome) { this->onJobQueried(id, outcome); });
}

void SoakClients::onJobQueried(JobId const& id, HttpOutcome const& outcome)
{
    Job& job = this->jobs.at(id);
    job.nextCall = this->loop.now() + queryInterval;
    int const status = statusOf(outcome);
    job.isOutOfSight = status == notFound && this->mayBeUnconfigured(job);
    if (status == gone)
        this->reportViolation("accepted job " + id.value() + " is no longer known");
    if (status != ok)
        return;
    Json const body = Json::parse(outcome.response.body, nullptr, false);
    std::string const state = body.is_object() ? body.value("state", "") : "";
    bool const isFinal = job.state == "completed" || job.state == "cancelled";
    if (isFinal && state != job.state)
        this->reportViolation("job " + id.value() + " went from " + job.state + " back to " + state);
    if (state == "failed" || (state == "cancelled" && !job.isCancelRequested))
        this->reportViolation("job " + id.value() + " is " + state + " without cause");
    job.state = state;
    job.isEnded = state == "completed" || state == "cancelled";
}

void SoakClients::noteCancelSent(Job& job)
{
    job.isCancelRequested = true;
    if (!job.isCancelSent)
        job.cancelFirstSentAt = this->loop.now();
    job.isCancelSent = true;
    if (job.cancelDueAt)
        job.cancelDueAt = this->loop.now() + cancelRepeatInterval;
    this->cancelCheck.onCancelSent(job.spec.id, lengthOf(job.spec), job.submissionState == SubmissionState::Accepted);
}

/// The unacknowledged cancel with a drawn time that has been due for longest; null if none was due at `dueBy`.
SoakClients::Job* SoakClients::mostUrgentDrawnCancel(TimePoint dueBy)
{
    Job* first = nullptr;
    for (auto& [id, job] : this->jobs) {
        bool const isDue = job.cancelDueAt && *job.cancelDueAt <= dueBy && !job.isCancelAcknowledged;
        if (isDue && (!first || *job.cancelDueAt < *first->cancelDueAt))
            first = &job;
    }
    return first;
}

/// Sends the cancels that no open connection has taken in time.
void SoakClients::cancelAtDrawnTimes()
{
    constexpr Duration timeToTake = Duration::milliseconds(50);
    while (Job* job = this->mostUrgentDrawnCancel(this->loop.now() - timeToTake)) {
        this->noteCancelSent(*job);
        this->send(*job, "DELETE", "", [this, id = job->spec.id](HttpOutcome const& outcome) { this->onCancelAnswered(id, statusOf(outcome)); });
    }
}

void SoakClients::cancel(Job& job)
{
    this->noteCancelSent(job);
    this->sendRequest(job, "DELETE", "", [this, id = job.spec.id](HttpOutcome const& outcome) { this->onCancelAnswered(id, statusOf(outcome)); });
}

void SoakClients::onCancelAnswered(JobId const& id, int status)
{
    Job& job = this->jobs.at(id);
    bool const mayBeGone = job.submissionState != SubmissionState::Accepted || this->mayBeUnconfigured(job);
    if (status == gone && !mayBeGone)
        this->reportViolation("accepted job " + id.value() + " was unknown when it was cancelled");
    bool const isAcknowledged = status == ok || (status == gone && mayBeGone);
    if (!isAcknowledged || job.isCancelAcknowledged)
        return;
    job.isCancelAcknowledged = true;
    job.cancelAcknowledgedAt = this->loop.now();
    this->cancelCheck.onCancelAcknowledged(id);
    this->noteServed();
}

std::string SoakClients::pathOf(Job const& job)
{
    return (job.isOfSecondQueue ? "/reports/" : "/jobs/") + job.spec.id.value();
}

std::string SoakClients::takePendingCancel()
{
    if (Job* drawn = this->mostUrgentDrawnCancel(this->loop.now())) {
        this->noteCancelSent(*drawn);
        return pathOf(*drawn);
    }
    Job const* oldest = nullptr;
    for (auto const& [id, job] : this->jobs) {
        if (!job.cancelDueAt && job.isCancelSent && !job.isCancelAcknowledged && (!oldest || job.cancelFirstSentAt < oldest->cancelFirstSentAt))
            oldest = &job;
    }
    return oldest ? pathOf(*oldest) : "";
}

void SoakClients::onCancelAnswered(std::string const& path, int status)
{
    this->onCancelAnswered(JobId(path.substr(path.rfind('/') + 1)), status);
}

/// True if a host that knows no newer configuration than it must may not know the job's queue.
bool SoakClients::mayBeUnconfigured(Job const& job) const
{
    if (!job.isOfSecondQueue || !this->lastVersionWithoutQueue)
        return false;
    auto const newer = this->acknowledgedAt.upper_bound(this->lastVersionWithoutQueue);
    return std::none_of(newer, this->acknowledgedAt.end(), [this](auto const& entry) { return this->loop.now() > entry.second + hostsApplyBound; });
}

void SoakClients::stopSubmitting()
{
    this->isSubmitting = false;
    for (auto& [id, job] : this->jobs)
        job.isCancelRequested |= job.submissionState == SubmissionState::Accepted && lengthOf(job.spec) == TaskLength::Lasting;
}

void SoakClients::cancelJobs(size_t count)
{
    for (auto& [id, job] : this->jobs) {
        if (!count)
            return;
        if (job.submissionState != SubmissionState::Accepted || job.isEnded || job.isCancelRequested)
            continue;
        job.isCancelRequested = true;
        count--;
    }
}

void SoakClients::cancelSecondQueueJobs(size_t count)
{
    for (bool const isService : { true, false }) {
        for (auto& [id, job] : this->jobs) {
            bool const isOpen = job.submissionState == SubmissionState::Accepted && job.hasStarted && !job.isEnded && !job.isCancelRequested;
            if (!count || !isOpen || !job.isOfSecondQueue || job.spec.stages.front().isService != isService)
                continue;
            job.isCancelRequested = true;
            count--;
        }
    }
}

void SoakClients::setSecondQueue(bool isConfigured)
{
    this->hasSecondQueueNow = isConfigured;
    this->raceConfigurations();
}

std::string SoakClients::configurationBody(uint64_t version) const
{
    Json routes = { routeOf("jobs", version) };
    if (this->hasSecondQueueNow)
        routes.push_back(routeOf("reports", version));
    return Json { { "version", version }, { "routes", routes }, { "services", { { { "name", "fleet" }, { "enforces-capacity", true } } } } }.dump();
}

void SoakClients::raceConfigurations()
{
    uint64_t const version = this->nextVersion;
    this->nextVersion += 2;
    if (!this->hasSecondQueueNow)
        this->lastVersionWithoutQueue = version + 1;
    this->sendConfiguration(version, this->random.below(this->addresses.controlAddresses.size()), maxOperatorTries);
    this->sendConfiguration(version + 1, this->random.below(this->addresses.controlAddresses.size()), maxOperatorTries);
}

void SoakClients::sendConfiguration(uint64_t version, size_t host, unsigned triesLeft)
{
    std::string const body = this->sentConfigurations.emplace(version, this->configurationBody(version)).first->second;
    HttpRequest request { "POST", "/v1/configuration/replace", "", {}, body };
    request.headers.add("Content-Type", "application/json");
    HttpSendOptions options;
    options.timeout = Duration::seconds(1);
    this->client.send(this->addresses.controlAddresses[host], request, options, [this, version, host, triesLeft](HttpOutcome const& outcome) {
        int const status = statusOf(outcome);
        if (status == ok) {
            this->highestAcknowledgedVersion = std::max(this->highestAcknowledgedVersion, version);
            this->acknowledgedAt.emplace(version, this->loop.now());
        } else if (status >= firstClientError && status < firstServerError) {
            this->reportViolation("valid configuration " + std::to_string(version) + " was answered " + std::to_string(status));
        } else if (triesLeft) {
            size_t const next = (host + 1) % this->addresses.controlAddresses.size();
            this->loop.after(retryDelay, [this, version, next, triesLeft] { this->sendConfiguration(version, next, triesLeft - 1); });
        }
    });
}

void SoakClients::readConfiguration()
{
    HttpSendOptions options;
    options.timeout = Duration::seconds(1);
    size_t const host = this->random.below(this->addresses.controlAddresses.size());
    this->client.send(this->addresses.controlAddresses[host], { "GET", "/v1/configuration/read", "", {}, "" }, options, [this, asked = this->loop.now()](HttpOutcome const& outcome) { this->onConfigurationRead(asked, outcome); });
}

void SoakClients::onConfigurationRead(TimePoint askedAt, HttpOutcome const& outcome)
{
    if (statusOf(outcome) != ok)
        return;
    Json const body = Json::parse(outcome.response.body, nullptr, false);
    uint64_t const version = body.is_object() ? body.value("version", uint64_t()) : 0;
    this->lastReadVersion = version;
    auto const known = this->sentConfigurations.find(version);
    if (known == this->sentConfigurations.end() || Json::parse(known->second) != body)
        this->reportViolation("configuration " + std::to_string(version) + " differs from the one that was sent");
    for (auto const& [older, at] : this->acknowledgedAt) {
        if (older > version && askedAt > at + configurationApplyBound)
            this->reportViolation("configuration " + std::to_string(version) + " was read after " + std::to_string(older) + " was acknowledged");
    }
}

/// A job whose queue is removed cannot be read.
bool SoakClients::isSettled(Job const& job) const
{
    bool const isOutOfSight = job.isOutOfSight && this->mayBeUnconfigured(job);
    return job.submissionState != SubmissionState::Submitting && (job.submissionState != SubmissionState::Accepted || job.isEnded || isOutOfSight);
}

bool SoakClients::isSettled() const
{
    return this->unsettledReason().empty();
}

std::string SoakClients::unsettledReason() const
{
    for (auto const& [id, job] : this->jobs) {
        if (!this->isSettled(job))
            return "job " + id.value() + " is '" + job.state + "'";
    }
    std::string pendingCancel = this->cancelCheck.pendingReason();
    if (!pendingCancel.empty())
        return pendingCancel;
    return this->lastReadVersion >= this->highestAcknowledgedVersion ? "" : "configuration " + std::to_string(this->lastReadVersion) + " is read, " + std::to_string(this->highestAcknowledgedVersion) + " was acknowledged";
}

size_t SoakClients::acceptedJobs() const
{
    return static_cast<size_t>(std::count_if(this->jobs.begin(), this->jobs.end(), [](auto const& entry) { return entry.second.submissionState == SubmissionState::Accepted; }));
}

size_t SoakClients::refusedJobs() const
{
    return static_cast<size_t>(std::count_if(this->jobs.begin(), this->jobs.end(), [](auto const& entry) { return entry.second.submissionState == SubmissionState::Refused; }));
}

} // namespace cornelpond
