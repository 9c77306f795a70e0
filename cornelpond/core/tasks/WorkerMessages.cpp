#include "cornelpond/core/tasks/WorkerMessages.h"

#include "cornelpond/core/base/Json.h"
#include "cornelpond/core/base/ResultCode.h"
#include "cornelpond/core/tasks/TaskJson.h"

#include <nlohmann/json.hpp>

namespace cornelpond {

namespace {

    ReportedAttempt reportedAttemptFromJson(nlohmann::json const& value)
    {
        ReportedAttempt attempt;
        attempt.task = TaskId(value.at("task").get<std::string>());
        attempt.attempt = AttemptNumber(wholeNumber(value.at("attempt")));
        attempt.state = value.value("ended", false) ? ReportedAttemptState::Ended : ReportedAttemptState::Running;
        uint64_t const outcome = wholeNumber(value.value("outcome", nlohmann::json(0U)));
        if (outcome > static_cast<uint8_t>(AttemptOutcome::NeverStarted))
            throw Error(ResultCode::SchemaViolation, "/held: unknown outcome");
        attempt.outcome = static_cast<AttemptOutcome>(outcome);
        attempt.checkpoint = CheckpointId(value.value("checkpoint", std::string()));
        if (value.contains("reserved"))
            attempt.reserved = resourcesFromJson(value["reserved"], "/held/reserved");
        if (value.contains("used"))
            attempt.used = resourcesFromJson(value["used"], "/held/used");
        return attempt;
    }

    nlohmann::json toJson(ReportedAttempt const& attempt)
    {
        nlohmann::json value = { { "task", attempt.task.value() }, { "attempt", attempt.attempt.value() },
            { "reserved", toJson(attempt.reserved) }, { "used", toJson(attempt.used) } };
        if (!attempt.checkpoint.empty())
            value["checkpoint"] = attempt.checkpoint.value();
        if (attempt.state == ReportedAttemptState::Ended) {
            value["ended"] = true;
            value["outcome"] = static_cast<uint8_t>(attempt.outcome);
        }
        return value;
    }

    nlohmann::json toJson(WorkerCommand const& command)
    {
        nlohmann::json value = {
            { "kind", static_cast<uint8_t>(command.kind) },
            { "task", command.task.value() },
            { "attempt", command.attempt.value() },
            { "epoch", command.epoch.value() },
        };
        if (command.kind == WorkerCommandKind::Start) {
            value["resources"] = toJson(command.resources);
            value["checkpoint"] = command.checkpoint.value();
            value["command"] = command.command;
        }
        if (command.kind == WorkerCommandKind::Throttle)
            value["percent"] = command.percent;
        return value;
    }

    WorkerCommand commandFromJson(nlohmann::json const& value)
    {
        WorkerCommand command;
        uint64_t const kind = wholeNumber(value.at("kind"));
        if (kind > static_cast<uint8_t>(WorkerCommandKind::Throttle))
            throw Error(ResultCode::SchemaViolation, "/commands: unknown kind");
        command.kind = static_cast<WorkerCommandKind>(kind);
        command.task = TaskId(value.at("task").get<std::string>());
        command.attempt = AttemptNumber(wholeNumber(value.at("attempt")));
        command.epoch = Term(wholeNumber(value.at("epoch")));
        if (value.contains("resources"))
            command.resources = resourcesFromJson(value["resources"], "/commands/resources");
        command.checkpoint = CheckpointId(value.value("checkpoint", std::string()));
        command.command = value.value("command", std::string());
        command.percent = value.value("percent", int64_t(100));
        return command;
    }

} // namespace

WorkerAnnouncement workerAnnouncementFromJson(nlohmann::json const& value)
{
    try {
        WorkerAnnouncement announcement;
        announcement.worker = WorkerId(value.at("worker").get<std::string>());
        if (!isLabelWord(announcement.worker.value()))
            throw Error(ResultCode::SchemaViolation, "/worker: expected letters, digits or any of ._-/");
        announcement.incarnation = value.at("incarnation").get<std::string>();
        announcement.number = AnnouncementNumber(wholeNumber(value.at("number")));
        announcement.rack = RackId(value.value("rack", std::string()));
        announcement.labels = labelsFromJson(value.value("labels", nlohmann::json::object()), "/labels");
        announcement.capacity = resourcesFromJson(value.at("capacity"), "/capacity");
        announcement.commandAddress = value.value("commandAddress", std::string());
        auto const attempts = value.find("held");
        if (attempts == value.end())
            return announcement;
        announcement.held.reserve(attempts->size());
        for (auto const& attempt : *attempts)
            announcement.held.push_back(reportedAttemptFromJson(attempt));
        return announcement;
    } catch (nlohmann::json::exception const& error) {
        throw Error(ResultCode::SchemaViolation, std::string("announcement: ") + error.what());
    }
}

nlohmann::json toJson(WorkerAnnouncement const& announcement)
{
    nlohmann::json held = nlohmann::json::array();
    for (auto const& attempt : announcement.held)
        held.push_back(toJson(attempt));
    return {
        { "worker", announcement.worker.value() },
        { "incarnation", announcement.incarnation },
        { "number", announcement.number.value() },
        { "rack", announcement.rack.value() },
        { "labels", announcement.labels },
        { "capacity", toJson(announcement.capacity) },
        { "commandAddress", announcement.commandAddress },
        { "held", std::move(held) },
    };
}

nlohmann::json toJson(AnnouncementAnswer const& answer)
{
    nlohmann::json commands = nlohmann::json::array();
    for (auto const& command : answer.commands)
        commands.push_back(toJson(command));
    return {
        { "number", answer.number.value() },
        { "incarnation", answer.incarnation },
        { "epoch", answer.epoch.value() },
        { "leaseMs", answer.lease.toMilliseconds() },
        { "commands", std::move(commands) },
    };
}

AnnouncementAnswer announcementAnswerFromJson(nlohmann::json const& value)
{
    try {
        AnnouncementAnswer answer;
        answer.number = AnnouncementNumber(wholeNumber(value.at("number")));
        answer.incarnation = value.value("incarnation", std::string());
        answer.epoch = Term(wholeNumber(value.at("epoch")));
        answer.lease = Duration::milliseconds(value.at("leaseMs").get<int64_t>());
        for (auto const& command : value.at("commands"))
            answer.commands.push_back(commandFromJson(command));
        return answer;
    } catch (nlohmann::json::exception const& error) {
        throw Error(ResultCode::SchemaViolation, std::string("announcement answer: ") + error.what());
    }
}

} // namespace cornelpond
