#include "cornelpond/core/tasks/TaskJson.h"

#include "cornelpond/core/base/ResultCode.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace cornelpond {

namespace {

    constexpr int64_t maxAmount = int64_t(1) << 40;
    constexpr size_t maxIdBytes = 200;
    constexpr size_t maxCommandBytes = 16 * 1024;
    constexpr uint32_t maxFailuresLimit = 1000;
    constexpr std::array taskSpecKeys = { "id", "association", "class", "resources", "labels", "workers", "expectedRunTimeMs", "command", "maxFailures" };

    [[noreturn]] void throwViolation(std::string const& pointer, std::string const& what)
    {
        throw Error(ResultCode::SchemaViolation, pointer + ": " + what);
    }

    int64_t amountAt(nlohmann::json const& object, std::string const& key, std::string const& pointer, int64_t fallback)
    {
        if (!object.contains(key))
            return fallback;
        auto const& value = object[key];
        if (!value.is_number_integer())
            throwViolation(pointer + "/" + key, "expected a whole number");
        if (value.is_number_unsigned() && value.get<uint64_t>() > static_cast<uint64_t>(maxAmount))
            throwViolation(pointer + "/" + key, "too large");
        auto const amount = value.get<int64_t>();
        if (amount < 0 || amount > maxAmount)
            throwViolation(pointer + "/" + key, "out of range");
        return amount;
    }

    std::string textAt(nlohmann::json const& object, std::string const& key, std::string const& fallback)
    {
        if (!object.contains(key))
            return fallback;
        if (!object[key].is_string())
            throwViolation("/" + key, "expected a string");
        return object[key].get<std::string>();
    }

    std::string idAt(nlohmann::json const& object, std::string const& key)
    {
        std::string id = textAt(object, key, std::string());
        if (!isLabelWord(id) || id.size() > maxIdBytes)
            throwViolation("/" + key, "expected 1 to 200 letters, digits or any of ._-/");
        return id;
    }

    TaskClass taskClassFromName(std::string const& name)
    {
        if (name == "batch")
            return TaskClass::Batch;
        if (name == "latency-critical")
            return TaskClass::LatencyCritical;
        throwViolation("/class", "expected 'batch' or 'latency-critical'");
    }

    void requireKnownKeys(nlohmann::json const& value)
    {
        for (auto const& item : value.items()) {
            if (std::find(taskSpecKeys.begin(), taskSpecKeys.end(), item.key()) == taskSpecKeys.end())
                throwViolation("/" + item.key(), "unknown key");
        }
    }

    Selector workersFromJson(nlohmann::json const& value)
    {
        try {
            return Selector::parse(textAt(value, "workers", std::string()));
        } catch (Error const& error) {
            if (error.code() != ResultCode::BadSelector)
                throw;
            throw Error(ResultCode::BadSelector, std::string("/workers: ") + error.what());
        }
    }

    TaskState taskStateFromName(std::string const& name)
    {
        for (uint8_t number = 0; number <= static_cast<uint8_t>(TaskState::Cancelled); number++) {
            auto const state = static_cast<TaskState>(number);
            if (taskStateName(state) == name)
                return state;
        }
        throw Error(ResultCode::StorageDamaged, "unknown task state '" + name + "'");
    }

    AttemptRecord attemptRecordFromJson(nlohmann::json const& value)
    {
        AttemptRecord record;
        record.attempt = AttemptNumber(value.at("attempt").get<uint64_t>());
        record.worker = WorkerId(value.at("worker").get<std::string>());
        record.endedAtMs = value.at("endedAtMs").get<int64_t>();
        auto const name = value.at("outcome").get<std::string>();
        for (uint8_t number = 0; number <= static_cast<uint8_t>(AttemptOutcome::NeverStarted); number++) {
            if (attemptOutcomeName(static_cast<AttemptOutcome>(number)) == name)
                record.outcome = static_cast<AttemptOutcome>(number);
        }
        return record;
    }

} // namespace

nlohmann::json toJson(Resources const& resources)
{
    return { { "milliCores", resources.milliCores }, { "memoryMiB", resources.memoryMiB }, { "accelerators", resources.accelerators } };
}

nlohmann::json toJson(TaskSpec const& spec)
{
    return {
        { "id", spec.id.value() },
        { "association", spec.association.value() },
        { "class", std::string(taskClassName(spec.taskClass)) },
        { "resources", toJson(spec.resources) },
        { "labels", spec.labels },
        { "workers", spec.workers.text() },
        { "expectedRunTimeMs", spec.expectedRunTimeMs },
        { "command", spec.command },
        { "maxFailures", spec.maxFailures },
    };
}

nlohmann::json toJson(Task const& task)
{
    nlohmann::json history = nlohmann::json::array();
    for (auto const& record : task.history) {
        history.push_back({ { "attempt", record.attempt.value() }, { "worker", record.worker.value() },
            { "outcome", std::string(attemptOutcomeName(record.outcome)) }, { "endedAtMs", record.endedAtMs } });
    }
    return {
        { "spec", toJson(task.spec) },
        { "state", std::string(taskStateName(task.state)) },
        { "attempt", task.attempt.value() },
        { "worker", task.worker.value() },
        { "incarnation", task.incarnation },
        { "checkpoint", task.checkpoint.value() },
        { "cancelRequested", task.cancelRequested },
        { "failures", task.failures },
        { "evictions", task.evictions },
        { "sequence", task.sequence },
        { "submittedAtMs", task.submittedAtMs },
        { "endedAtMs", task.endedAtMs },
        { "history", std::move(history) },
    };
}

Resources resourcesFromJson(nlohmann::json const& value, std::string const& pointer)
{
    if (!value.is_object())
        throwViolation(pointer, "expected an object");
    for (auto const& item : value.items()) {
        if (item.key() != "milliCores" && item.key() != "memoryMiB" && item.key() != "accelerators")
            throwViolation(pointer + "/" + item.key(), "unknown key");
    }
    Resources resources;
    resources.milliCores = amountAt(value, "milliCores", pointer, 0);
    resources.memoryMiB = amountAt(value, "memoryMiB", pointer, 0);
    resources.accelerators = amountAt(value, "accelerators", pointer, 0);
    return resources;
}

Labels labelsFromJson(nlohmann::json const& value, std::string const& pointer)
{
    if (!value.is_object())
        throwViolation(pointer, "expected an object of strings");
    Labels labels;
    for (auto const& item : value.items()) {
        if (!isLabelWord(item.key()))
            throwViolation(pointer + "/" + item.key(), "a label key may only have letters, digits and ._-/");
        if (!item.value().is_string())
            throwViolation(pointer + "/" + item.key(), "expected a string");
        labels[item.key()] = item.value().get<std::string>();
    }
    return labels;
}

TaskSpec taskSpecFromJson(nlohmann::json const& value)
{
    if (!value.is_object())
        throwViolation("", "expected an object");
    requireKnownKeys(value);
    TaskSpec spec;
    spec.id = TaskId(idAt(value, "id"));
    spec.association = AssociationId(idAt(value, "association"));
    spec.taskClass = taskClassFromName(textAt(value, "class", "batch"));
    if (value.contains("resources"))
        spec.resources = resourcesFromJson(value["resources"], "/resources");
    if (value.contains("labels"))
        spec.labels = labelsFromJson(value["labels"], "/labels");
    spec.workers = workersFromJson(value);
    spec.expectedRunTimeMs = amountAt(value, "expectedRunTimeMs", "", 0);
    spec.command = textAt(value, "command", std::string());
    if (spec.command.size() > maxCommandBytes)
        throwViolation("/command", "longer than 16 KiB");
    int64_t const failures = amountAt(value, "maxFailures", "", spec.maxFailures);
    if (failures < 1 || failures > maxFailuresLimit)
        throwViolation("/maxFailures", "expected 1 to 1000");
    spec.maxFailures = static_cast<uint32_t>(failures);
    return spec;
}

Task taskFromJson(nlohmann::json const& value)
{
    try {
        Task task;
        task.spec = taskSpecFromJson(value.at("spec"));
        task.state = taskStateFromName(value.at("state").get<std::string>());
        task.attempt = AttemptNumber(value.at("attempt").get<uint64_t>());
        task.worker = WorkerId(value.at("worker").get<std::string>());
        task.incarnation = value.value("incarnation", std::string());
        task.checkpoint = CheckpointId(value.at("checkpoint").get<std::string>());
        task.cancelRequested = value.at("cancelRequested").get<bool>();
        task.failures = value.at("failures").get<uint32_t>();
        task.evictions = value.at("evictions").get<uint32_t>();
        task.sequence = value.at("sequence").get<uint64_t>();
        task.submittedAtMs = value.at("submittedAtMs").get<int64_t>();
        task.endedAtMs = value.at("endedAtMs").get<int64_t>();
        for (auto const& record : value.value("history", nlohmann::json::array()))
            task.history.push_back(attemptRecordFromJson(record));
        return task;
    } catch (nlohmann::json::exception const& error) {
        throw Error(ResultCode::StorageDamaged, std::string("task record: ") + error.what());
    }
}

} // namespace cornelpond
