#include "testing/standin/StandinWorker.h"

#include "cornelpond/core/base/ResultCode.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <random>
#include <sstream>

namespace cornelpond {

namespace {

    constexpr Duration tickInterval = Duration::milliseconds(10);
    constexpr int64_t defaultRunMs = 100;

    /// What a task's command asks of the stand-in.
    struct RunPlan {
        Duration runTime = Duration::milliseconds(defaultRunMs);
        bool fails = false;
    };

    RunPlan planOf(std::string const& command)
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

} // namespace

StandinWorker::StandinWorker(EventLoop& loop, HttpClient& client, StandinWorkerOptions givenOptions)
    : loop(loop)
    , client(client)
    , options(std::move(givenOptions))
    , commandServer(loop, HttpLimits(), [this](HttpRequest const& request, HttpResponder const& responder) {
        if (this->silent)
            return;
        AnnouncementAnswer const answer = announcementAnswerFromJson(nlohmann::json::parse(request.body));
        auto const sent = this->sentAt.find(answer.number);
        bool const fresh = answer.incarnation == this->incarnation && sent != this->sentAt.end() && this->loop.now() < sent->second + answer.lease;
        for (auto const& command : answer.commands) {
            if (fresh && answer.epoch >= this->epoch)
                this->obey(command);
        }
        responder.answer({ 200, {}, "{}" });
    })
    , incarnation(std::to_string(std::random_device()()))
{
}

StandinWorker::~StandinWorker()
{
    this->loop.cancel(this->timer);
}

void StandinWorker::start()
{
    uint16_t const port = this->commandServer.listen({ this->options.ip, 0 });
    this->commandAddress = Address { this->options.ip, port }.text();
    this->tick();
}

void StandinWorker::tick()
{
    this->timer = this->loop.after(tickInterval, [this] { this->tick(); });
    TimePoint const now = this->loop.now();
    this->stopAtLeaseEnd(now);
    this->endDueAttempts(now);
    if (this->silent || now < this->nextAnnouncement)
        return;
    this->nextAnnouncement = now + this->options.announceInterval;
    this->announce();
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
    for (auto const& [task, attempt] : this->attempts)
        announcement.held.push_back(attempt.held);
    TimePoint const now = this->loop.now();
    this->sentAt[announcement.number] = now;
    while (this->sentAt.begin()->second + this->lease < now)
        this->sentAt.erase(this->sentAt.begin());
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/workers/announce";
    request.body = toJson(announcement).dump();
    HttpSendOptions sendOptions;
    sendOptions.timeout = this->options.announceInterval;
    Address const host = this->options.entryHosts[this->nextHost % this->options.entryHosts.size()];
    this->client.send(host, request, sendOptions, [this, now](HttpOutcome const& outcome) { this->onAnswer(now, outcome); });
}

void StandinWorker::onAnswer(TimePoint sentAt, HttpOutcome const& outcome)
{
    if (this->silent)
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
        this->obey(command);
}

void StandinWorker::obey(WorkerCommand const& command)
{
    if (command.epoch < this->epoch)
        return;
    this->epoch = command.epoch;
    if (command.kind == WorkerCommandKind::Start) {
        this->startAttempt(command);
        return;
    }
    auto const found = this->attempts.find(command.task);
    if (found == this->attempts.end() || found->second.held.attempt != command.attempt)
        return;
    if (command.kind == WorkerCommandKind::Forget && found->second.held.state == HeldState::Ended)
        this->attempts.erase(found);
    else if (command.kind == WorkerCommandKind::Stop && found->second.held.state == HeldState::Running)
        this->end(found->second, AttemptOutcome::Stopped);
}

void StandinWorker::startAttempt(WorkerCommand const& command)
{
    AttemptNumber& highest = this->highestSeen[command.task];
    if (command.attempt <= highest)
        return;
    highest = command.attempt;
    RunPlan const plan = planOf(command.command);
    Attempt attempt;
    attempt.held.task = command.task;
    attempt.held.attempt = command.attempt;
    attempt.held.reserved = command.resources;
    attempt.held.used = command.resources;
    attempt.fails = plan.fails || this->options.failsAll;
    attempt.endsAt = this->loop.now() + (this->options.failsAll ? Duration() : plan.runTime);
    this->attempts[command.task] = attempt;
    this->starts++;
    this->record("start", command.task, command.attempt);
    // Tell the leader at once, so that the task counts as running.
    this->nextAnnouncement = std::min(this->nextAnnouncement, this->loop.now() + tickInterval);
}

void StandinWorker::end(Attempt& attempt, AttemptOutcome outcome)
{
    attempt.held.state = HeldState::Ended;
    attempt.held.outcome = outcome;
    if (outcome == AttemptOutcome::Stopped)
        attempt.held.checkpoint = CheckpointId(attempt.held.task.value() + "/" + std::to_string(attempt.held.attempt.value()));
    this->record(std::string(attemptOutcomeName(outcome)), attempt.held.task, attempt.held.attempt);
    this->nextAnnouncement = std::min(this->nextAnnouncement, this->loop.now() + tickInterval);
}

void StandinWorker::endDueAttempts(TimePoint now)
{
    for (auto& [task, attempt] : this->attempts) {
        if (attempt.held.state == HeldState::Running && now >= attempt.endsAt)
            this->end(attempt, attempt.fails ? AttemptOutcome::Failed : AttemptOutcome::Finished);
    }
}

void StandinWorker::stopAtLeaseEnd(TimePoint now)
{
    if (now < this->leaseEnd)
        return;
    for (auto& [task, attempt] : this->attempts) {
        if (attempt.held.state != HeldState::Running)
            continue;
        this->record("leaseEnd", task, attempt.held.attempt);
        // Reported until the leader forgets it, so that the attempt need not be waited for.
        attempt.held.state = HeldState::Ended;
        attempt.held.outcome = AttemptOutcome::Lost;
    }
}

void StandinWorker::record(std::string const& what, TaskId const& task, AttemptNumber attempt)
{
    if (this->options.recordFile.empty())
        return;
    std::ofstream out(this->options.recordFile, std::ios::app);
    out << this->loop.wallMilliseconds() << " " << what << " " << this->options.worker.value() << " " << task.value() << " " << attempt.value() << "\n";
}

} // namespace cornelpond
