#pragma once

// A simulated worker without sockets that follows the rules of leases and epochs and records the attempts that
// it starts.
//
// Example:
//   FakeWorker worker(WorkerId("w1"), capacity);
//   WorkerAnnouncement const sent = worker.announce(clock.now());
//   worker.onAnswer(answer, clock.now(), true);

#include "cornelpond/core/tasks/WorkerMessages.h"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace cornelpond {

class FakeWorker {
public:
    FakeWorker(WorkerId id, RackId rack, Resources capacity)
        : id(std::move(id))
        , rack(std::move(rack))
        , capacity(capacity)
    {
    }

    WorkerAnnouncement announce(TimePoint now)
    {
        WorkerAnnouncement announcement;
        announcement.worker = this->id;
        announcement.incarnation = std::to_string(this->incarnation);
        announcement.number = this->lastNumber = this->lastNumber.next();
        announcement.rack = this->rack;
        announcement.capacity = this->capacity;
        announcement.commandAddress = "127.0.0.1:1";
        for (auto const& [task, held] : this->attempts)
            announcement.held.push_back(held);
        this->sentAt[this->lastNumber] = now;
        return announcement;
    }

    /// Handles an answer to an announcement, however late (`renewsLease` is true), or a pushed message.
    void onAnswer(AnnouncementAnswer const& answer, TimePoint now, bool renewsLease)
    {
        auto const sent = this->sentAt.find(answer.number);
        bool const isExpected = answer.incarnation == std::to_string(this->incarnation) && sent != this->sentAt.end();
        if (!isExpected || answer.epoch < this->epoch)
            return;
        this->epoch = answer.epoch;
        if (renewsLease)
            this->leaseEnd = std::max(this->leaseEnd, sent->second + answer.lease);
        bool const isFresh = now < sent->second + answer.lease && now < this->leaseEnd;
        for (auto const& command : answer.commands)
            this->execute(command, isFresh);
    }

    /// Ends the running attempts as lost once the lease has expired.
    void onTick(TimePoint now)
    {
        if (now < this->leaseEnd)
            return;
        for (auto& [task, held] : this->attempts) {
            if (held.state == ReportedAttemptState::Running)
                this->endAttempt(held, AttemptOutcome::Lost);
        }
    }

    /// Ends all running attempts with `outcome`.
    void endRunningAttempts(AttemptOutcome outcome)
    {
        for (auto& [task, held] : this->attempts) {
            if (held.state == ReportedAttemptState::Running)
                this->endAttempt(held, outcome);
        }
    }

    /// Starts a new incarnation without attempts or any earlier state.
    void restart()
    {
        this->incarnation++;
        this->lastNumber = AnnouncementNumber();
        this->sentAt.clear();
        this->attempts.clear();
        this->highestStarted.clear();
        this->epoch = Term();
        this->leaseEnd = TimePoint();
    }

    std::vector<ReportedAttempt> runningAttempts() const
    {
        std::vector<ReportedAttempt> result;
        for (auto const& [task, held] : this->attempts) {
            if (held.state == ReportedAttemptState::Running)
                result.push_back(held);
        }
        return result;
    }

    using Start = std::pair<TaskId, AttemptNumber>;
    std::vector<Start> const& starts() const { return this->startedAttempts; }
    WorkerId const& workerId() const { return this->id; }

    Resources const& totalResources() const { return this->capacity; }

private:
    void execute(WorkerCommand const& command, bool isFresh)
    {
        if (command.epoch < this->epoch)
            return;
        if (command.kind == WorkerCommandKind::Start) {
            if (isFresh && this->highestStarted[command.task] < command.attempt)
                this->startAttempt(command);
            return;
        }
        auto const found = this->attempts.find(command.task);
        if (found == this->attempts.end() || found->second.attempt != command.attempt)
            return;
        if (command.kind == WorkerCommandKind::AcknowledgeEnd && found->second.state == ReportedAttemptState::Ended)
            this->attempts.erase(found);
        else if (command.kind == WorkerCommandKind::Stop && found->second.state == ReportedAttemptState::Running)
            this->endAttempt(found->second, AttemptOutcome::Stopped);
    }

    void startAttempt(WorkerCommand const& command)
    {
        this->highestStarted[command.task] = command.attempt;
        ReportedAttempt held;
        held.task = command.task;
        held.attempt = command.attempt;
        held.reserved = command.resources;
        this->attempts[command.task] = held;
        this->startedAttempts.emplace_back(command.task, command.attempt);
    }

    void endAttempt(ReportedAttempt& held, AttemptOutcome outcome)
    {
        held.state = ReportedAttemptState::Ended;
        held.outcome = outcome;
    }

    WorkerId id;
    RackId rack;
    Resources capacity;
    uint64_t incarnation = 1;
    AnnouncementNumber lastNumber;
    std::map<AnnouncementNumber, TimePoint> sentAt;
    std::map<TaskId, ReportedAttempt> attempts;
    std::map<TaskId, AttemptNumber> highestStarted;
    std::vector<Start> startedAttempts;
    Term epoch;
    TimePoint leaseEnd;
};

} // namespace cornelpond
