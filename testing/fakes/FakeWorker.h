#pragma once

// A worker that keeps the rules of a lease and a record of what it ran, without sockets.
//
// Example:
//   FakeWorker worker(WorkerId("w1"), capacity);
//   WorkerAnnouncement const sent = worker.announce(clock.now());
//   worker.onAnswer(answer, clock.now());

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
        announcement.number = this->number = this->number.next();
        announcement.rack = this->rack;
        announcement.capacity = this->capacity;
        announcement.commandAddress = "127.0.0.1:1";
        for (auto const& [task, held] : this->attempts)
            announcement.held.push_back(held);
        this->sentAt[this->number] = now;
        return announcement;
    }

    /// Takes an answer or a pushed message, however late; `renews` for an answer.
    void onAnswer(AnnouncementAnswer const& answer, TimePoint now, bool renews)
    {
        auto const sent = this->sentAt.find(answer.number);
        bool const mine = answer.incarnation == std::to_string(this->incarnation) && sent != this->sentAt.end();
        if (!mine || answer.epoch < this->epoch)
            return;
        this->epoch = answer.epoch;
        if (renews)
            this->leaseEnd = std::max(this->leaseEnd, sent->second + answer.lease);
        bool const fresh = now < sent->second + answer.lease && now < this->leaseEnd;
        for (auto const& command : answer.commands)
            this->obey(command, fresh);
    }

    /// Stops at lease end by itself.
    void onTick(TimePoint now)
    {
        if (now < this->leaseEnd)
            return;
        for (auto& [task, held] : this->attempts) {
            if (held.state == ReportedAttemptState::Running)
                this->end(held, AttemptOutcome::Lost);
        }
    }

    /// The running attempts end so.
    void endAll(AttemptOutcome outcome)
    {
        for (auto& [task, held] : this->attempts) {
            if (held.state == ReportedAttemptState::Running)
                this->end(held, outcome);
        }
    }

    /// The process dies with all its attempts and starts anew without memory.
    void restart()
    {
        this->incarnation++;
        this->number = AnnouncementNumber();
        this->sentAt.clear();
        this->attempts.clear();
        this->highest.clear();
        this->epoch = Term();
        this->leaseEnd = TimePoint();
    }

    std::vector<ReportedAttempt> running() const
    {
        std::vector<ReportedAttempt> result;
        for (auto const& [task, held] : this->attempts) {
            if (held.state == ReportedAttemptState::Running)
                result.push_back(held);
        }
        return result;
    }

    using Start = std::pair<TaskId, AttemptNumber>;
    std::vector<Start> const& starts() const { return this->startRecord; }
    WorkerId const& workerId() const { return this->id; }

    Resources const& size() const { return this->capacity; }

private:
    void obey(WorkerCommand const& command, bool fresh)
    {
        if (command.epoch < this->epoch)
            return;
        if (command.kind == WorkerCommandKind::Start) {
            if (fresh && this->highest[command.task] < command.attempt)
                this->start(command);
            return;
        }
        auto const found = this->attempts.find(command.task);
        if (found == this->attempts.end() || found->second.attempt != command.attempt)
            return;
        if (command.kind == WorkerCommandKind::AcknowledgeEnd && found->second.state == ReportedAttemptState::Ended)
            this->attempts.erase(found);
        else if (command.kind == WorkerCommandKind::Stop && found->second.state == ReportedAttemptState::Running)
            this->end(found->second, AttemptOutcome::Stopped);
    }

    void start(WorkerCommand const& command)
    {
        this->highest[command.task] = command.attempt;
        ReportedAttempt held;
        held.task = command.task;
        held.attempt = command.attempt;
        held.reserved = command.resources;
        this->attempts[command.task] = held;
        this->startRecord.emplace_back(command.task, command.attempt);
    }

    void end(ReportedAttempt& held, AttemptOutcome outcome)
    {
        held.state = ReportedAttemptState::Ended;
        held.outcome = outcome;
    }

    WorkerId id;
    RackId rack;
    Resources capacity;
    uint64_t incarnation = 1;
    AnnouncementNumber number;
    std::map<AnnouncementNumber, TimePoint> sentAt;
    std::map<TaskId, ReportedAttempt> attempts;
    std::map<TaskId, AttemptNumber> highest;
    std::vector<Start> startRecord;
    Term epoch;
    TimePoint leaseEnd;
};

} // namespace cornelpond
