#include "cornelpond/core/tasks/TaskCommand.h"

#include "cornelpond/core/base/Json.h"
#include "cornelpond/core/base/ResultCode.h"
#include "cornelpond/core/tasks/TaskJson.h"

#include <nlohmann/json.hpp>

namespace cornelpond {

namespace {

    /// The first element of an encoded command. The numbers are stored, so they must not change.
    enum class CommandTag : uint8_t {
        Submit = 1,
        Start = 2,
        Confirm = 3,
        Evict = 4,
        End = 5,
        Cancel = 6,
        CancelMatching = 7,
        SetDrained = 8,
        RemoveEnded = 9,
    };

    nlohmann::json tagged(CommandTag tag, nlohmann::json::array_t fields)
    {
        fields.insert(fields.begin(), static_cast<uint8_t>(tag));
        return fields;
    }

    nlohmann::json encode(SubmitTask const& command)
    {
        return tagged(CommandTag::Submit, { toJson(command.spec), command.submittedAtMs });
    }

    nlohmann::json encode(StartAttempt const& command)
    {
        return tagged(CommandTag::Start, { command.task.value(), command.attempt.value(), command.worker.value(), command.incarnation });
    }

    nlohmann::json encode(ConfirmAttempt const& command)
    {
        return tagged(CommandTag::Confirm, { command.task.value(), command.attempt.value() });
    }

    nlohmann::json encode(EvictAttempt const& command)
    {
        return tagged(CommandTag::Evict, { command.task.value(), command.attempt.value() });
    }

    nlohmann::json encode(EndAttempt const& command)
    {
        return tagged(CommandTag::End,
            { command.task.value(), command.attempt.value(), static_cast<uint8_t>(command.outcome), command.checkpoint.value(), command.endedAtMs });
    }

    nlohmann::json encode(CancelTask const& command)
    {
        return tagged(CommandTag::Cancel, { command.task.value(), command.cancelledAtMs });
    }

    nlohmann::json encode(CancelMatching const& command)
    {
        return tagged(CommandTag::CancelMatching, { command.selector.text(), command.cancelledAtMs });
    }

    nlohmann::json encode(SetWorkerDrained const& command)
    {
        return tagged(CommandTag::SetDrained, { command.worker.value(), command.drained });
    }

    nlohmann::json encode(RemoveEndedTasks const& command)
    {
        return tagged(CommandTag::RemoveEnded, { command.endedBeforeMs, command.maxKeptRecords, command.forgetIdsBeforeMs });
    }

    AttemptOutcome outcomeFromNumber(uint8_t number)
    {
        if (number > static_cast<uint8_t>(AttemptOutcome::NeverStarted))
            throw Error(ResultCode::StorageDamaged, "unknown attempt outcome " + std::to_string(number));
        return static_cast<AttemptOutcome>(number);
    }

    TaskCommand decode(nlohmann::json const& fields)
    {
        auto const task = [&] { return TaskId(fields.at(1).get<std::string>()); };
        auto const attempt = [&] { return AttemptNumber(fields.at(2).get<uint64_t>()); };
        switch (static_cast<CommandTag>(fields.at(0).get<uint8_t>())) {
        case CommandTag::Submit:
            return SubmitTask { taskSpecFromJson(fields.at(1)), fields.at(2).get<int64_t>() };
        case CommandTag::Start:
            return StartAttempt { task(), attempt(), WorkerId(fields.at(3).get<std::string>()), fields.size() > 4 ? fields[4].get<std::string>() : std::string() };
        case CommandTag::Confirm:
            return ConfirmAttempt { task(), attempt() };
        case CommandTag::Evict:
            return EvictAttempt { task(), attempt() };
        case CommandTag::End:
            return EndAttempt { task(), attempt(), outcomeFromNumber(fields.at(3).get<uint8_t>()),
                CheckpointId(fields.at(4).get<std::string>()), fields.at(5).get<int64_t>() };
        case CommandTag::Cancel:
            return CancelTask { task(), fields.at(2).get<int64_t>() };
        case CommandTag::CancelMatching:
            return CancelMatching { Selector::parse(fields.at(1).get<std::string>()), fields.at(2).get<int64_t>() };
        case CommandTag::SetDrained:
            return SetWorkerDrained { WorkerId(fields.at(1).get<std::string>()), fields.at(2).get<bool>() };
        case CommandTag::RemoveEnded:
            return RemoveEndedTasks { fields.at(1).get<int64_t>(), fields.at(2).get<uint64_t>(), fields.at(3).get<int64_t>() };
        }
        throw Error(ResultCode::StorageDamaged, "unknown task command");
    }

} // namespace

std::string encodeTaskCommands(TaskCommandBatch const& commands)
{
    nlohmann::json encoded = nlohmann::json::array();
    for (auto const& command : commands)
        encoded.push_back(std::visit([](auto const& value) { return encode(value); }, command));
    return toCbor(encoded);
}

TaskCommandBatch decodeTaskCommands(std::string_view bytes)
{
    try {
        TaskCommandBatch commands;
        for (auto const& fields : fromCbor(bytes))
            commands.push_back(decode(fields));
        return commands;
    } catch (nlohmann::json::exception const& error) {
        throw Error(ResultCode::StorageDamaged, std::string("task command: ") + error.what());
    }
}

} // namespace cornelpond
