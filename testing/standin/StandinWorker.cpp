#include "testing/standin/StandinWorker.h"

#include "cornelpond/core/base/ResultCode.h"

#include <nlohmann/json.hpp>

#include <random>
#include <sstream>

namespace cornelpond {

namespace {

    constexpr Duration tickInterval = Duration::milliseconds(10);
    constexpr int64_t defaultRunMs = 100;

    /// A parsed command of a task.
    struct ParsedCommand {
        Duration runTime = Duration::milliseconds(defaultRunMs);
        bool fails = false;
    };

    ParsedCommand parseCommand(std::string const& command)
    {
        std::istringstream words(command);
        std::string verb;
        int64_t milliseconds = defaultRunMs;
        words >> verb >> milliseconds;
        if (verb == "hang")
            return { Duration::infinite(), false };
        if (verb == "run" || verb == "fail")
            return { Duration::milliseconds(milliseconds), verb == "fail" };
        return {};
    }

    /// The progress saved in a checkpoint, whose id ends in "/MILLISECONDS"; zero without one.
    Duration progressIn(CheckpointId const& checkpoint)
    {
        size_t const slash = checkpoint.value().rfind('/');
        return slash == std::string::npos ? Duration() : Duration::milliseconds(std::stoll(checkpoint.value().substr(slash + 1)));
    }

} // namespace

StandinWorker::StandinWorker(EventLoop& loop, HttpClient& client, RecordFile& record, StandinWorkerOptions givenOptions)
    : loop(loop)
    , client(client)
    , record(record)
    , options(std::move(givenOptions))
    , commandServer(loop, HttpLimits(), [this](HttpRequest const& request, HttpResponder const& responder) { this->handleCommands(request, responder); })
    , driftSetAt(loop.now())
    , clockAtDriftSet(loop.now())
{
}

StandinWorker::~StandinWorker()
{
    this->loop.cancel(this->timer);
}

TimePoint StandinWorker::now() const
{
    constexpr int64_t million = 1000000;
    Duration const elapsed = this->loop.now() - this->driftSetAt;
    return this->clockAtDriftSet + elapsed + Duration::microseconds(elapsed.toMicroseconds() / million * this->driftPpm);
}

void StandinWorker::setDrift(int64_t partsPerMillion)
{
    this->clockAtDriftSet = this->now();
    this->driftSetAt = this->loop.now();
    this->driftPpm = partsPerMillion;
}

void StandinWorker::start()
{
    uint16_t const port = this->commandServer.listen({ this->options.ip, 0 });
    this->commandAddress = Address { this->options.ip, port }.text();
    this->beginIncarnation();
    this->tick();
}

void StandinWorker::beginIncarnation()
{
    this->incarnation = std::to_string(std::random_device()());
    // Above all numbers of earlier incarnations, so that a delayed command is not taken for a current one.
    this->lastAnnouncement = AnnouncementNumber(static_cast<uint64_t>(this->loop.wallMilliseconds()));
    RecordEntry entry;
    entry.atUs = this->loop.now().toMicroseconds();
    entry.kind = RecordKind::WorkerUp;
    entry.place = this->options.worker.value();
    entry.resources = this->options.capacity;
    this->record.add(entry);
}

void StandinWorker::die()
{
    this->isDead = true;
    for (auto const& [task, attempt] : this->attempts) {
        if (attempt.report.state == ReportedAttemptState::Running)
            this->recordEnd(attempt, diedOutcome);
    }
    this->attempts.clear();
    this->highestAttempts.clear();
    this->announcementSentAt.clear();
    this->usageSamples.clear();
    this->epoch = Term();
    this->leaseEnd = TimePoint();
}

void StandinWorker::restart()
{
    if (!this->isDead)
        this->die();
    this->isDead = false;
    this->beginIncarnation();
}

void StandinWorker::handleCommands(HttpRequest const& request, HttpResponder const& responder)
{
    if (this->isSilent || this->isDead)
        return;
    AnnouncementAnswer const answer = announcementAnswerFromJson(nlohmann::json::parse(request.body));
    auto const sent = this->announcementSentAt.find(answer.number);
    bool const isFresh = answer.incarnation == this->incarnation && sent != this->announcementSentAt.end() && this->now() < sent->second + answer.lease;
    for (auto const& command : answer.commands) {
        if (isFresh && answer.epoch >= this->epoch)
            this->execute(command);
    }
    responder.answer({ 200, {}, "{}" });
}

void StandinWorker::tick()
{
    this->timer = this->loop.after(tickInterval, [this] { this->tick(); });
    if (this->isDead)
        return;
    TimePoint const now = this->now();
    this->stopAtLeaseEnd(now);
    this->endDueAttempts(now);
    this->sampleUsage();
    if (this->isSilent || now < this->nextAnnouncementAt)
        return;
    this->nextAnnouncementAt = now + this->options.announceInterval;
    this->announce();
}

void StandinWorker::sampleUsage()
{
    UsageSample sample { this->now(), {} };
    for (auto const& [task, attempt] : this->attempts) {
        Resources used = attempt.report.reserved;
        used.milliCores = used.milliCores * this->usagePercent / 100 * attempt.ratePercent / 100;
        used.memoryMiB = used.memoryMiB * this->usagePercent / 100;
        sample.used.emplace(task, used);
    }
    this->usageSamples.push_back(std::move(sample));
    // Keeps the newest sample that is at least usageLag old.
    while (this->usageSamples.size() > 1 && this->usageSamples[1].at + this->options.usageLag <= this->now())
        this->usageSamples.pop_front();
}

Resources StandinWorker::laggedUsage(TaskId const& task) const
{
    auto const found = this->usageSamples.front().used.find(task);
    return found == this->usageSamples.front().used.end() ? Resources() : found->second;
}

void StandinWorker::announce()
{
    WorkerAnnouncement announcement;
    announcement.worker = this->options.worker;
    announcement.incarnation = this->incarnation;
    announcement.number = this->lastAnnouncement = this->lastAnnouncement.next();
    announcement.rack = this->options.rack;
    announcement.labels = this->options.labels;
    announcement.capacity = this->options.capacity;
    announcement.commandAddress = this->commandAddress;
    for (auto& [task, attempt] : this->attempts) {
        attempt.report.used = this->laggedUsage(task);
        announcement.held.push_back(attempt.report);
    }
    TimePoint const now = this->now();
    this->announcementSentAt[announcement.number] = now;
    while (this->announcementSentAt.begin()->second + this->lease < now)
        this->announcementSentAt.erase(this->announcementSentAt.begin());
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/workers/announce";
    request.body = toJson(announcement).dump();
    HttpSendOptions sendOptions;
    sendOptions.timeout = this->options.announceInterval;
    Address const host = this->options.entryHosts[this->nextHost % this->options.entryHosts.size()];
    this->client.send(host, request, sendOptions, [this, now, sender = this->incarnation](HttpOutcome const& outcome) {
        if (sender == this->incarnation)
            this->onAnswer(now, outcome);
    });
}

void StandinWorker::onAnswer(TimePoint sentAt, HttpOutcome const& outcome)
{
    if (this->isSilent || this->isDead)
        return;
    if (outcome.kind != HttpOutcome::Kind::Answered || outcome.response.status != 200) {
        this->nextHost++;
        return;
    }
    AnnouncementAnswer const answer = announcementAnswerFromJson(nlohmann::json::parse(outcome.response.body));
    if (answer.epoch < this->epoch)
        return;
    this->epoch = answer.epoch;
    this->lease = answer.lease;
    this->leaseEnd = std::max(this->leaseEnd, sentAt + answer.lease);
    for (auto const& command : answer.commands)
        this->execute(command);
}

void StandinWorker::execute(WorkerCommand const& command)
{
    if (command.epoch < this->epoch)
        return;
    this->epoch = command.epoch;
    if (command.kind == WorkerCommandKind::Start) {
        this->startAttempt(command);
        return;
    }
    auto const found = this->attempts.find(command.task);
    if (found == this->attempts.end() || found->second.report.attempt != command.attempt)
        return;
    if (command.kind == WorkerCommandKind::AcknowledgeEnd && found->second.report.state == ReportedAttemptState::Ended)
        this->attempts.erase(found);
    else if (command.kind == WorkerCommandKind::Stop && found->second.report.state == ReportedAttemptState::Running)
        found->second.stopsAt = std::min(found->second.stopsAt, this->now() + this->options.checkpointTime);
    else if (command.kind == WorkerCommandKind::Throttle && found->second.report.state == ReportedAttemptState::Running)
        this->setRate(found->second, command.percent);
}

void StandinWorker::startAttempt(WorkerCommand const& command)
{
    AttemptNumber& highest = this->highestAttempts[command.task];
    if (command.attempt <= highest)
        return;
    highest = command.attempt;
    ParsedCommand const parsed = parseCommand(command.command);
    Attempt attempt;
    attempt.report.task = command.task;
    attempt.report.attempt = command.attempt;
    attempt.report.reserved = command.resources;
    attempt.report.checkpoint = command.checkpoint;
    attempt.fails = parsed.fails || this->options.failsAll;
    attempt.runTime = this->options.failsAll ? Duration() : parsed.runTime;
    attempt.progress = progressIn(command.checkpoint);
    attempt.progressAt = this->now();
    this->attempts[command.task] = attempt;
    this->startedAttempts++;
    RecordEntry entry;
    entry.atUs = this->loop.now().toMicroseconds();
    entry.kind = RecordKind::AttemptStart;
    entry.place = this->options.worker.value();
    entry.task = command.task;
    entry.attempt = command.attempt.value();
    entry.resources = command.resources;
    entry.checkpoint = command.checkpoint.value();
    this->record.add(entry);
    // Announce it at the next tick, so that the leader soon counts the task as running.
    this->nextAnnouncementAt = std::min(this->nextAnnouncementAt, this->now() + tickInterval);
}

void StandinWorker::setRate(Attempt& attempt, int64_t percent) const
{
    TimePoint const now = this->now();
    attempt.progress = attempt.progress + Duration::microseconds((now - attempt.progressAt).toMicroseconds() * attempt.ratePercent / 100);
    attempt.progressAt = now;
    attempt.ratePercent = percent;
}

void StandinWorker::endAttempt(Attempt& attempt, AttemptOutcome outcome)
{
    this->setRate(attempt, attempt.ratePercent);
    attempt.report.state = ReportedAttemptState::Ended;
    attempt.report.outcome = outcome;
    if (outcome == AttemptOutcome::Stopped)
        attempt.report.checkpoint
            = CheckpointId(attempt.report.task.value() + "/" + std::to_string(attempt.report.attempt.value()) + "/" + std::to_string(attempt.progress.toMilliseconds()));
    this->recordEnd(attempt, std::string(attemptOutcomeName(outcome)));
    this->nextAnnouncementAt = std::min(this->nextAnnouncementAt, this->now() + tickInterval);
}

void StandinWorker::endDueAttempts(TimePoint now)
{
    for (auto& [task, attempt] : this->attempts) {
        if (attempt.report.state != ReportedAttemptState::Running)
            continue;
        Duration const progress = attempt.progress + Duration::microseconds((now - attempt.progressAt).toMicroseconds() * attempt.ratePercent / 100);
        if (progress >= attempt.runTime)
            this->endAttempt(attempt, attempt.fails ? AttemptOutcome::Failed : AttemptOutcome::Finished);
        else if (now >= attempt.stopsAt)
            this->endAttempt(attempt, AttemptOutcome::Stopped);
    }
}

void StandinWorker::stopAtLeaseEnd(TimePoint now)
{
    if (now < this->leaseEnd)
        return;
    for (auto& [task, attempt] : this->attempts) {
        if (attempt.report.state != ReportedAttemptState::Running)
            continue;
        this->setRate(attempt, attempt.ratePercent);
        this->recordEnd(attempt, leaseEndOutcome);
        // Reported until the leader acknowledges the end, so that the leader need not wait for the attempt.
        attempt.report.state = ReportedAttemptState::Ended;
        attempt.report.outcome = AttemptOutcome::Lost;
    }
}

void StandinWorker::recordEnd(Attempt const& attempt, std::string const& outcome)
{
    RecordEntry entry;
    entry.atUs = this->loop.now().toMicroseconds();
    entry.kind = RecordKind::AttemptEnd;
    entry.place = this->options.worker.value();
    entry.task = attempt.report.task;
    entry.attempt = attempt.report.attempt.value();
    entry.outcome = outcome;
    if (outcome == attemptOutcomeName(AttemptOutcome::Stopped))
        entry.checkpoint = attempt.report.checkpoint.value();
    this->record.add(entry);
}

} // namespace cornelpond
